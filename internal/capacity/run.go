package capacity

import (
	"io"
	"time"
)

var startTime = time.Unix(1_800_000_000, 0)

// Run takes every measurement and writes one line for each to w.
func Run(w io.Writer) error {
	for _, measure := range []func() Slope{
		CatalogMemory,
		CatalogSnapshotBytes,
		ChangeTraffic,
		ChangeProcessingTime,
		BurnMemory,
		MembershipTraffic,
		MembershipTime,
		MembershipMemory,
		RejoinTime,
		SlotTraffic,
		TotalsTraffic,
		AnnouncementTraffic,
		SummaryTraffic,
		SessionTraffic,
		QueueMemory,
		ServerMemory,
		LedgerMemory,
		DecisionTime,
		ServerChoiceTime,
		RecordMemory,
		RecordTraffic,
		SnapshotSize,
		RestoreTime,
		HeartbeatTraffic,
		ControlIdleTraffic,
		ChangePropagationTime,
		SimultaneousRestartTime,
	} {
		if err := measure().Write(w); err != nil {
			return err
		}
	}
	return nil
}
