package router

import (
	"testing"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/pool"
)

// Guards against a held grant that is reported to a new owner without the
// estimate that the lost one charged.
func TestHeldGrantKeepsItsEstimate(t *testing.T) {
	table := newAsks()
	shard := pool.ShardID{DataCentre: "north", Pool: "p"}
	w := table.add(shard, pool.Ask{Router: testSelf, Workspace: "w"})
	assert.Assert(t, table.granted(shard, pool.Grant{RequestID: w.ask.RequestID, GrantID: 2, Epoch: 3, Server: "s1", EstimateUnits: 700}))
	_, grants := table.of(shard)
	assert.DeepEqual(t, grants, []pool.HeldGrant{{
		Router: testSelf, GrantID: 2, Epoch: 3, RequestID: w.ask.RequestID, Server: "s1", Workspace: "w", EstimateUnits: 700,
	}})
}
