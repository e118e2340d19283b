package core

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/feed"
	"jackdawtrack.example/jackdawtrack/pkg/logging"
	"jackdawtrack.example/jackdawtrack/pkg/registry"
)

func newTestHost() *Host {
	return &Host{
		log: logging.For("test"), servers: registry.New(), edges: map[string]*edge{}, places: map[string]string{},
		urgent: make(chan struct{}), vouched: feed.NewVouched(),
	}
}

// take returns what a watcher is sent next.
func (w *watcher) take() *apiv1.FleetEvent {
	e := &apiv1.FleetEvent{}
	w.announcements(e)
	w.first = false
	return e
}

// Guards against edge hosts that forget each other after a calm minute: the
// load exchange and the bound for cold servers then leave one out. A host stays
// as long as it is connected, and its age counts from the end of its stream.
func TestConnectedEdgeHostsAreVouchedFor(t *testing.T) {
	h := newTestHost()
	watch := &watcher{h: h, first: true}
	hello := &apiv1.FleetWatcher{Name: "edge-1", Address: "10.0.0.1:7400", Incarnation: 4}
	h.attach(hello)
	first := watch.take()
	assert.Equal(t, len(first.GetEdges()), 1)
	assert.Assert(t, first.GetEdges()[0].GetConnected())
	h.attach(hello) // a second stream, while the first one is not known to be lost
	h.detach(hello)
	assert.Equal(t, len(watch.take().GetEdges()), 0)
	h.detach(hello)
	h.edges["edge-1"].seen = time.Now().Add(-time.Second)
	last := watch.take()
	assert.Equal(t, len(last.GetEdges()), 1)
	assert.Assert(t, !last.GetEdges()[0].GetConnected())
	assert.Assert(t, last.GetEdges()[0].GetAgeMs() >= 1000)
	h.attach(hello)
	assert.Assert(t, watch.take().GetEdges()[0].GetConnected())
}

// Guards against announcements that grow with servers times hosts: with 3,002
// servers and 270 edge hosts the core hosts of the sweep used up their
// processors. A server that renews costs no message; a change goes out at once,
// and so does the silence of a server and its end.
func TestRenewalsCostNoMessage(t *testing.T) {
	const servers = 3000
	h := newTestHost()
	w := &watcher{h: h, first: true}
	announce := func(id int, sequence uint64, state registry.State, heard time.Time) {
		h.servers.Offer(registry.Entry{ID: fmt.Sprint(id), Address: fmt.Sprint(id), State: state, Sequence: sequence, Heard: heard, ColdUntil: heard, Direct: true})
	}
	now := time.Now()
	for id := range servers {
		announce(id, 1, registry.Ready, now)
	}
	h.oldestHeard = h.servers.Release(now)
	first := w.take()
	assert.Equal(t, len(first.GetServers()), servers)
	assert.Assert(t, first.GetServers()[0].GetVouched())
	for id := range servers {
		announce(id, 2, registry.Ready, now.Add(time.Second))
	}
	assert.Equal(t, len(w.take().GetServers()), 0)
	announce(7, 3, registry.Draining, now.Add(time.Second))
	assert.Equal(t, len(w.take().GetServers()), 1)
	assert.Equal(t, len(w.take().GetServers()), 0)
	for id := range servers - 1 {
		announce(id, 4, registry.Draining, now.Add(4*time.Second))
	}
	w.take()
	h.oldestHeard = h.servers.Release(now.Add(5 * time.Second))
	silent := w.take().GetServers()
	assert.Equal(t, len(silent), 1)
	assert.Equal(t, silent[0].GetId(), fmt.Sprint(servers-1))
	assert.Assert(t, !silent[0].GetVouched())
	assert.Equal(t, h.oldestHeard, now.Add(4*time.Second))
	announce(servers-1, 5, registry.Ready, now.Add(5*time.Second))
	assert.Assert(t, w.take().GetServers()[0].GetVouched())
}

// Guards against two core hosts of which neither vouches for a server that has
// moved its announcements, and against one that goes on to after it has moved.
func TestServerThatAnnouncesElsewhereIsReleased(t *testing.T) {
	h := newTestHost()
	w := &watcher{h: h, first: true}
	e := registry.Entry{ID: "i", Address: "a", State: registry.Ready, Sequence: 1, BornMS: 1, Heard: time.Now(), Direct: true}
	h.servers.Offer(e)
	assert.Assert(t, w.take().GetServers()[0].GetVouched())
	e.Sequence, e.Direct = 2, false // heard by another host
	h.servers.Offer(e)
	released := w.take().GetServers()
	assert.Equal(t, len(released), 1)
	assert.Assert(t, !released[0].GetVouched())
	e.Sequence = 3
	h.servers.Offer(e)
	assert.Equal(t, len(w.take().GetServers()), 0, "the watcher has it from the other host")
	e.Sequence, e.Direct = 4, true
	h.servers.Offer(e)
	assert.Assert(t, w.take().GetServers()[0].GetVouched())
}

// Guards against a core host that was paused and then vouches for servers that
// may have died meanwhile.
func TestPausedHostTellsTheTrueAge(t *testing.T) {
	h := newTestHost()
	w := &watcher{h: h, first: true}
	h.oldestHeard = time.Now().Add(-10 * time.Second) // no turn of release since
	assert.Assert(t, w.take().GetHeardWithinMs() >= 10_000)
}
