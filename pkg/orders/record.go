package orders

import (
	"strconv"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
)

// incarnationSeparator separates the name and the incarnation in a holder.
// Router names must not contain it.
const incarnationSeparator = "@"

// Holder returns the lease holder name of one router incarnation. A restarted
// router is a different holder, because it does not know its earlier orders.
func Holder(router string, incarnation uint64) string {
	return router + incarnationSeparator + strconv.FormatUint(incarnation, 10)
}

// LeaseRecordFromMessage converts a message to a LeaseRecord.
func LeaseRecordFromMessage(m *apiv1.Fence) LeaseRecord {
	return LeaseRecord{Server: m.GetServer(), Number: m.GetNumber(), Holder: m.GetHolder(), Renewal: m.GetRenewal()}
}

// LeaseRecordToMessage converts a LeaseRecord to a message.
func LeaseRecordToMessage(r LeaseRecord) *apiv1.Fence {
	return &apiv1.Fence{Server: r.Server, Number: r.Number, Holder: r.Holder, Renewal: r.Renewal}
}
