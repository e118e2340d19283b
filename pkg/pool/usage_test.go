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
	running := o.Take().Grants
	assert.Equal(t, len(running), 1)
	o.SetOrdered(now, "s1", true)
	o.Ask(now, ask(2, "w", draft, now))
	o.Summary(now, Summary{From: shardB, Epoch: 1, Waiting: 1, Lowest: []WaitingValue{{Value: 0, Count: 1}}})
	o.Announce(now, announce("s1", 1))
	out := o.Take()
	assert.Equal(t, len(out.Grants)+len(out.Loans), 0)
	assert.Assert(t, !o.Usage(now).Servers[0].Idle)
	now = now.Add(time.Second)
	o.Settle(now, Settle{GrantID: running[0].GrantID, Epoch: 1, Outcome: OutcomeOK, CostUnits: 500})
	u := o.Usage(now)
	assert.Assert(t, u.Servers[0].Idle)
	assert.Equal(t, u.SlotUnits, 500.0)
	assert.Equal(t, u.Waiting, 1)
	assert.Assert(t, u.Offered > 0 && u.LastUrgent.IsZero())
	assert.Equal(t, len(o.Take().Grants), 0)
	o.SetOrdered(now, "s1", false)
	assert.Equal(t, len(o.Take().Grants), 1)
}
