package core

import (
	"fmt"
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

// Guards against announcements that grow with servers times hosts: with 3,002
// servers and 270 edge hosts the core hosts of the sweep used up their
// processors. A change still goes out at once, and a renewal in time.
func TestRenewalsAreBoundedAtSize(t *testing.T) {
	const servers = 3000
	h := &Host{servers: registry.New(), edges: map[string]*edge{}}
	w := &watcher{h: h, first: true}
	announce := func(id int, sequence uint64, state registry.State) {
		h.servers.Offer(registry.Entry{ID: fmt.Sprint(id), Address: fmt.Sprint(id), State: state, Sequence: sequence, Heard: time.Now(), Direct: true})
	}
	sent := func() int {
		e := &apiv1.FleetEvent{}
		w.announcements(e)
		w.first = false
		return len(e.GetServers())
	}
	for id := range servers {
		announce(id, 1, registry.Ready)
	}
	assert.Equal(t, sent(), servers)
	for id := range servers {
		announce(id, 2, registry.Ready)
	}
	assert.Equal(t, sent(), 0)
	announce(7, 3, registry.Draining)
	assert.Equal(t, sent(), 1)
	assert.Equal(t, sent(), 0)
	announce(7, 4, registry.Draining)
	assert.Equal(t, sent(), 0)
	w.renewedAt = time.Now().Add(-renewalInterval(servers))
	assert.Equal(t, sent(), servers)
	assert.Equal(t, renewalInterval(100), flushInterval)
	assert.Assert(t, renewalInterval(1_000_000) <= time.Minute/4)
}
