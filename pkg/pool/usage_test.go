package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against grants and loans on an engine with a pending placement order,
// against a report of the engine as idle while a request runs, which the order
// would break off, and against an engine that stays unusable after the order.
func TestServerWithPendingOrderDrains(t *testing.T) {
	o, now := newGrantingOwner("s1")
	o.Ask(now, ask(1, "w", draft, now))
	running := o.TakeOutput().Grants
	assert.Equal(t, len(running), 1)
	o.SetOrderPending(now, "s1", true)
	o.Ask(now, ask(2, "w", draft, now))
	o.HandleSummary(now, Summary{From: shardB, Epoch: 1, Waiting: 1, Lowest: []WaitingValue{{Value: 0, Count: 1}}})
	o.HandleAnnouncement(now, announce("s1", 1))
	out := o.TakeOutput()
	assert.Equal(t, len(out.Grants)+len(out.Loans), 0)
	assert.Assert(t, !o.Usage(now).Servers[0].Idle)
	now = now.Add(time.Second)
	o.Settle(now, Settle{GrantID: running[0].GrantID, Epoch: 1, Outcome: OutcomeOK, CostUnits: 500})
	u := o.Usage(now)
	assert.Assert(t, u.Servers[0].Idle)
	assert.Equal(t, u.SlotUnitsPerSecond, 500.0)
	assert.Equal(t, u.Waiting, 1)
	assert.Assert(t, u.OfferedUnits > 0 && u.LastInteractive.IsZero())
	assert.Equal(t, len(o.TakeOutput().Grants), 0)
	o.SetOrderPending(now, "s1", false)
	assert.Equal(t, len(o.TakeOutput().Grants), 1)
}
