package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/feed"
	"jackdawtrack.example/jackdawtrack/pkg/fleet"
	"jackdawtrack.example/jackdawtrack/pkg/logging"
	"jackdawtrack.example/jackdawtrack/pkg/registry"
)

// testRecords is the limit on the stream records of a test host.
const testRecords = 1024

func newTestHost() *Host {
	log := logging.ForComponent("test")
	return &Host{
		log: log, state: fleet.NewState(), streams: newStreamRecords(log, metrics.NewRegistry(), testRecords), releaseSubmits: map[serviceRelease]bool{}, sightings: sightings{},
		servers: registry.New(), edges: map[string]*edge{}, coreDataCentres: map[string]string{},
		urgentChange: make(chan struct{}), vouched: feed.NewLiveness(),
	}
}

// nextAnnouncements returns the announcements that the watcher is sent next.
func (w *watcher) nextAnnouncements() *apiv1.FleetEvent {
	e := &apiv1.FleetEvent{}
	w.addAnnouncements(e)
	w.first = false
	return e
}

// Guards against edge hosts that forget each other after a minute without changes:
// the load exchange and the bound for cold servers then leave one out. A host is
// kept while it is connected, and its age counts from the end of its last stream.
func TestEdgeHostIsReportedWhileConnected(t *testing.T) {
	h := newTestHost()
	watch := &watcher{h: h, first: true}
	hello := &apiv1.FleetWatcher{Name: "edge-1", Address: "10.0.0.1:7400", Incarnation: 4}
	h.attachWatcher(hello)
	first := watch.nextAnnouncements()
	assert.Equal(t, len(first.GetEdges()), 1)
	assert.Assert(t, first.GetEdges()[0].GetConnected())
	h.attachWatcher(hello) // a second stream, while the first one is not known to be lost
	h.detachWatcher(hello)
	assert.Equal(t, len(watch.nextAnnouncements().GetEdges()), 0)
	h.detachWatcher(hello)
	h.edges["edge-1"].seen = time.Now().Add(-time.Second)
	last := watch.nextAnnouncements()
	assert.Equal(t, len(last.GetEdges()), 1)
	assert.Assert(t, !last.GetEdges()[0].GetConnected())
	assert.Assert(t, last.GetEdges()[0].GetAgeMs() >= 1000)
	h.attachWatcher(hello)
	assert.Assert(t, watch.nextAnnouncements().GetEdges()[0].GetConnected())
}

// Guards against a message rate that grows with servers times hosts: with 3,002
// servers and 270 edge hosts the core hosts of a load test used up their
// processors. A renewed announcement without a change sends no message. A change is
// sent at once, and so is the silence of a server and the end of the silence.
func TestRenewedAnnouncementsSendNoMessage(t *testing.T) {
	const servers = 3000
	h := newTestHost()
	w := &watcher{h: h, first: true}
	announce := func(id int, sequence uint64, state registry.State, heard time.Time) {
		h.servers.Merge(registry.Entry{ID: fmt.Sprint(id), Address: fmt.Sprint(id), State: state, Sequence: sequence, Heard: heard, ColdUntil: heard, HeardDirectly: true})
	}
	now := time.Now()
	for id := range servers {
		announce(id, 1, registry.Ready, now)
	}
	h.oldestHeard = h.servers.ExpireVouched(now)
	first := w.nextAnnouncements()
	assert.Equal(t, len(first.GetServers()), servers)
	assert.Assert(t, first.GetServers()[0].GetVouched())
	for id := range servers {
		announce(id, 2, registry.Ready, now.Add(time.Second))
	}
	assert.Equal(t, len(w.nextAnnouncements().GetServers()), 0)
	announce(7, 3, registry.Draining, now.Add(time.Second))
	assert.Equal(t, len(w.nextAnnouncements().GetServers()), 1)
	assert.Equal(t, len(w.nextAnnouncements().GetServers()), 0)
	for id := range servers - 1 {
		announce(id, 4, registry.Draining, now.Add(4*time.Second))
	}
	w.nextAnnouncements()
	h.oldestHeard = h.servers.ExpireVouched(now.Add(5 * time.Second))
	silent := w.nextAnnouncements().GetServers()
	assert.Equal(t, len(silent), 1)
	assert.Equal(t, silent[0].GetId(), fmt.Sprint(servers-1))
	assert.Assert(t, !silent[0].GetVouched())
	assert.Equal(t, h.oldestHeard, now.Add(4*time.Second))
	announce(servers-1, 5, registry.Ready, now.Add(5*time.Second))
	assert.Assert(t, w.nextAnnouncements().GetServers()[0].GetVouched())
}

// Guards against a server for which no core host vouches after it began to announce
// itself to another one, and against the earlier host that goes on vouching for it.
func TestServerThatAnnouncesElsewhereIsReleased(t *testing.T) {
	h := newTestHost()
	w := &watcher{h: h, first: true}
	e := registry.Entry{ID: "i", Address: "a", State: registry.Ready, Sequence: 1, StartMS: 1, Heard: time.Now(), HeardDirectly: true}
	h.servers.Merge(e)
	assert.Assert(t, w.nextAnnouncements().GetServers()[0].GetVouched())
	e.Sequence, e.HeardDirectly = 2, false // received by another host
	h.servers.Merge(e)
	released := w.nextAnnouncements().GetServers()
	assert.Equal(t, len(released), 1)
	assert.Assert(t, !released[0].GetVouched())
	e.Sequence = 3
	h.servers.Merge(e)
	assert.Equal(t, len(w.nextAnnouncements().GetServers()), 0, "the watcher receives it from the other host")
	e.Sequence, e.HeardDirectly = 4, true
	h.servers.Merge(e)
	assert.Assert(t, w.nextAnnouncements().GetServers()[0].GetVouched())
}

// Guards against a core host whose process was paused and that then vouches for
// servers that may have died meanwhile.
func TestPausedHostReportsTrueAge(t *testing.T) {
	h := newTestHost()
	w := &watcher{h: h, first: true}
	h.oldestHeard = time.Now().Add(-10 * time.Second) // releaseSilentServers has not run since
	assert.Assert(t, w.nextAnnouncements().GetHeardWithinMs() >= 10_000)
}
