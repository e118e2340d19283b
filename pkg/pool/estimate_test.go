package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/fairshare"
)

// Guards against a request that is charged twice after a change of the owner:
// the lost owner charged the estimate, and the next one must only add the
// difference to the actual cost.
func TestRunningRequestIsChargedOnceAfterAnOwnerIsLost(t *testing.T) {
	const cost = 5000
	old, now := newGrantingOwner("s1")
	old.Ask(now, ask(1, "w", draft, now))
	g := old.TakeOutput().Grants[0]
	ledger := fairshare.NewLedger(fairshare.Origin{Name: "next"})
	totals, _ := old.ledger.OwnTotals() // sent to other routers before the owner is lost
	ledger.Merge(old.ledger.Origin(), totals, true)
	next := NewOwner(shardA, 2, DefaultConfig(), ledger, now)
	next.HandleAnnouncement(now, announce("s1", 0))
	next.HandleHeldGrants(now, router, []HeldGrant{{
		Router: router, GrantID: g.GrantID, Epoch: g.Epoch, RequestID: 1, Server: "s1", Workspace: "w", Class: draft.Name,
		EstimateUnits: g.EstimateUnits,
	}})
	assert.Assert(t, ledger.FleetTotal("w") > 0)
	next.Settle(now.Add(time.Second), Settle{GrantID: g.GrantID, Epoch: g.Epoch, Outcome: OutcomeOK, CostUnits: cost})
	assert.Equal(t, ledger.FleetTotal("w"), int64(cost))
}
