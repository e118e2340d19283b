package core

import (
	"context"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/feed"
	"jackdawtrack.example/jackdawtrack/pkg/logging"
	"jackdawtrack.example/jackdawtrack/pkg/release"
	"jackdawtrack.example/jackdawtrack/pkg/streamrecord"
	"jackdawtrack.example/jackdawtrack/pkg/streamrecord/recorder"
)

// edgeRecorder is the handler of an edge host that only records streams.
type edgeRecorder struct{ *recorder.Recorder }

func (edgeRecorder) HandleEvent(string, *apiv1.FleetEvent) {}
func (edgeRecorder) HandleDisconnect(string, error)        {}

// startRecorder connects the recorder of an edge host to all founders until stop is
// called.
func (c *testCore) startRecorder(name string) (r *recorder.Recorder, stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	c.t.Cleanup(cancel)
	r = recorder.New(logging.ForComponent("test"), metrics.NewRegistry())
	self := &apiv1.FleetWatcher{Name: name, Address: "127.0.9.1:1", Incarnation: 1}
	feed.New(ctx, self, "", nil, edgeRecorder{r}).SetSeeds(c.seeds)
	return r, cancel
}

func (c *testCore) waitStored(stored <-chan struct{}) {
	c.t.Helper()
	select {
	case <-stored:
	case <-time.After(testDeadline):
		c.t.Fatalf("the record was not stored in %s", testDeadline)
	}
}

// Guards against a stream whose record is lost with the edge host that served it, or
// with all core hosts while an edge host has it.
func TestRecordOutlivesEdgeHostsOrCoreHosts(t *testing.T) {
	c := newTestCore(t, 3)
	c.startAll(3)
	for _, id := range []release.ID{v1, v2} {
		c.announce(1, id.String(), id)
		c.waitRelease(id, 1, 2, 3) // the group exists, so that its hosts can restart
	}
	first, _ := c.startRecorder("edge-1")
	second, stopSecond := c.startRecorder("edge-2")
	third, _ := c.startRecorder("edge-3")
	other := streamrecord.KeyOf("w", "r", "other")
	record := testRecord(v2)
	record.Key = other
	c.waitStored(first.Record(testRecord(v1), true))
	c.waitStored(second.Record(record, true))
	find := func(k streamrecord.Key) streamrecord.State {
		_, state := third.Find(t.Context(), streamrecord.Query{Key: k, Service: testService})
		return state
	}
	c.waitFor("the record of a live edge host", func() bool { return find(testKey) == streamrecord.Recorded })
	stopSecond()
	c.waitFor("the record of a dead edge host", func() bool { return find(other) == streamrecord.Recorded })
	for n := 1; n <= 3; n++ {
		c.stop(n)
	}
	assert.Equal(t, find(testKey), streamrecord.Unconfirmed)
	for n := 1; n <= 3; n++ {
		c.start(n, c.seeds, false)
	}
	c.waitFor("the record at restarted core hosts", func() bool { return find(testKey) == streamrecord.Recorded })
	c.waitFor("the answer on a lost record", func() bool {
		state := find(other)
		assert.Assert(t, state == streamrecord.Unknown || state == streamrecord.Unconfirmed, "%s", state)
		return state == streamrecord.Unknown
	})
}
