package orders

import (
	"strconv"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
)

// holderMark stands between name and incarnation of a holder. It is not
// allowed in names.
const holderMark = "@"

// Holder names one incarnation of a router as the holder of a lease. A router
// that restarted is another holder: it knows nothing of its earlier orders.
func Holder(router string, incarnation uint64) string {
	return router + holderMark + strconv.FormatUint(incarnation, 10)
}

// FromFence converts a message.
func FromFence(m *apiv1.Fence) Record {
	return Record{Server: m.GetServer(), Number: m.GetNumber(), Holder: m.GetHolder(), Renewal: m.GetRenewal()}
}

// ToFence converts a record.
func ToFence(r Record) *apiv1.Fence {
	return &apiv1.Fence{Server: r.Server, Number: r.Number, Holder: r.Holder, Renewal: r.Renewal}
}
