package router

import (
	"testing"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/pool"
)

// TestHeldGrantKeepsItsEstimate checks that a held grant is reported to a new
// owner with the cost estimate that the previous owner charged.
func TestHeldGrantKeepsItsEstimate(t *testing.T) {
	table := newAskTable()
	shard := pool.ShardID{DataCentre: "north", Pool: "p"}
	w := table.add(shard, pool.Ask{Router: testSelf, Workspace: "w"})
	assert.Assert(t, table.resolveGrant(shard, pool.Grant{RequestID: w.ask.RequestID, GrantID: 2, Epoch: 3, Server: "s1", EstimateUnits: 700}))
	_, grants := table.forShard(shard)
	assert.DeepEqual(t, grants, []pool.HeldGrant{{
		Router: testSelf, GrantID: 2, Epoch: 3, RequestID: w.ask.RequestID, Server: "s1", Workspace: "w", EstimateUnits: 700,
	}})
}
