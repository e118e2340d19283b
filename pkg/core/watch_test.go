package core

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/registry"
)

// Guards against edge hosts that forget each other after a calm minute: they
// forget a host that no core host has named for so long, and the load exchange
// and the bound for cold servers then leave it out.
func TestEdgeHostsAreNamedAgainWithoutAChange(t *testing.T) {
	h := &Host{servers: registry.New(), edges: map[string]*edge{
		"edge-1": {message: &apiv1.EdgeHost{Name: "edge-1", Address: "10.0.0.1:7400"}, streams: 1},
	}}
	w := &watcher{h: h, first: true}
	first := &apiv1.FleetEvent{}
	assert.Assert(t, w.announcements(first))
	assert.Equal(t, len(first.GetEdges()), 1)
	w.first = false
	soon := &apiv1.FleetEvent{}
	assert.Assert(t, !w.announcements(soon))
	w.edgesAt = time.Now().Add(-edgeRefresh)
	later := &apiv1.FleetEvent{}
	assert.Assert(t, w.announcements(later))
	assert.Equal(t, len(later.GetEdges()), 1)
	assert.Equal(t, later.GetEdges()[0].GetAgeMs(), int64(0))
	assert.Assert(t, edgeRefresh < forgetEdge/4)
}
