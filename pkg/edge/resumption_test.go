package edge

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/dispatch"
	"jackdawtrack.example/jackdawtrack/pkg/logging"
	"jackdawtrack.example/jackdawtrack/pkg/quarantine"
	"jackdawtrack.example/jackdawtrack/pkg/registry"
	"jackdawtrack.example/jackdawtrack/pkg/release"
	"jackdawtrack.example/jackdawtrack/pkg/routing"
	"jackdawtrack.example/jackdawtrack/pkg/streamrecord"
	"jackdawtrack.example/jackdawtrack/pkg/streamrecord/recorder"
)

var v1, v2 = release.Of("s", "v1"), release.Of("s", "v2")

// All meters share a goroutine that the first one starts and that never ends. In a bubble
// of synctest, the test would never end either.
var _ = newMetrics(metrics.NewRegistry())

// newStreamTest returns a request whose first event came from a server that was taken
// for its process of v1.
func newStreamTest() *proxiedRequest { return newStreamTestOf(1000) }

// newStreamTestOf is newStreamTest with the start time of the server processes.
func newStreamTestOf(startMS int64) *proxiedRequest {
	s := &Server{log: logging.ForComponent("edge"), metrics: newMetrics(metrics.NewRegistry()), dispatcher: dispatch.New("edge", "z", time.Now())}
	s.fleetView = newFleetView(nil, s.log)
	s.streamRecords = recorder.New(s.log, s.metrics.registry)
	s.takeUps = streamrecord.NewTakeUps(maxTakeUpsKept, dispatch.TakeUpWindow)
	s.announceTest("first", startMS, v1)
	s.announceTest("second", startMS, v1)
	x := &proxiedRequest{s: s, in: &Request{ID: "id", Target: "/x", Arrived: time.Now(), CallerTimeout: time.Minute}, callerCtx: context.Background(), route: &routing.Route{
		Name: "r", Stream: true, RetryPolicy: routing.Resumable, Targets: []routing.Target{{Service: "s", Weight: 1}},
	}}
	x.dispatchReq = &dispatch.Request{Workspace: "w", Service: "s"}
	x.beginStream(x.newExchange(dispatch.Decision{Server: "first", StartMS: startMS, Release: v1}, x.dispatchReq))
	x.headSent = true
	return x
}

func (s *Server) announceTest(id string, startMS int64, r release.ID) {
	before, _ := s.fleetView.servers.Get(id)
	s.fleetView.servers.Merge(registry.Entry{ID: id, Service: "s", Address: "10.0.0.1:80", StartMS: startMS, Release: r, State: registry.Ready, Sequence: before.Sequence + 1, Heard: time.Now()})
	s.doubtStreams(time.Now())
}

func (s *Server) count(metric string) int64 {
	return metrics.GetOrRegisterCounter(metric, s.metrics.registry).Count()
}

func (x *proxiedRequest) goOnAt(server string) *serverExchange {
	return x.newExchange(dispatch.Decision{Server: server, StartMS: x.start.startMS, Release: v1}, x.dispatchReq)
}

// Guards against a stream that goes on at the release of the announcement when its first
// events turn out to be of another process while the next attempt is on its way, or when
// it already goes on.
func TestDoubtEndsAttemptsThatGoOn(t *testing.T) {
	for name, late := range map[string]bool{"on its way": false, "goes on": true} {
		t.Run(name, func(t *testing.T) {
			x := newStreamTest()
			assert.Assert(t, x.mayGoOn())
			e := x.goOnAt("second")
			if late {
				assert.Assert(t, x.checkRelease(e))
			}
			x.s.announceTest("first", 2000, v2)
			assert.Assert(t, !x.mayGoOn())
			if late {
				assert.Equal(t, e.ctx.Err() != nil, true, "the attempt goes on")
			} else {
				assert.Assert(t, !x.checkRelease(e))
			}
			_, state := x.s.streamRecords.Find(t.Context(), streamrecord.Query{Key: streamrecord.KeyOf("w", "r", "id"), Service: "s"})
			assert.Equal(t, state, streamrecord.Conflict)
			x.w, x.headSent, x.in.Resumes = httptest.NewRecorder(), false, "id"
			assert.Assert(t, !x.bindRelease())
			assert.Equal(t, x.s.count("edge.resumptions.conflict"), int64(1))
		})
	}
}

// Guards against events of another release in a stream that goes on at a server whose
// process was replaced while the request was on its way.
func TestEventsOfAReplacedServerAreNotForwarded(t *testing.T) {
	for name, replaced := range map[string]bool{"replaced": true, "as before": false} {
		t.Run(name, func(t *testing.T) {
			x := newAttemptTest()
			x.s.log = logging.ForComponent("edge")
			x.route.MaxAttempts = 3
			x.s.announceTest("first", 1000, v1)
			x.s.announceTest("second", 1000, v1)
			for _, c := range []struct{ server, events string }{{"first", "id: 1\ndata: one\n\nid"}, {"second", "id: 2\ndata: two\n\n"}} {
				x.decision = dispatch.Decision{Server: c.server, StartMS: 1000, Release: v1}
				if c.server == "second" && replaced {
					x.s.announceTest("second", 2000, v2)
				}
				resp, err := parseResponse([]byte(rawHead(http.StatusOK, "Id: "+fuzzID, "Seal: s", "Content-Type: text/event-stream") + c.events))
				assert.NilError(t, err)
				a, aborted := x.receive(resp)
				assert.Assert(t, !aborted)
				if c.server == "second" {
					assert.Equal(t, a.outcome == dispatch.InvalidResponse, replaced, "%s", a.outcome)
				}
			}
			assert.Equal(t, strings.Contains(x.caller.Body.String(), "two"), !replaced, "%q", x.caller.Body)
		})
	}
}

// Guards against a stream that is taken from its silent server, which may go on, by a
// second attempt that may not continue it: its release is not known or in doubt.
func TestStreamOfUnknownReleaseStaysAtItsServer(t *testing.T) {
	for name, c := range map[string]struct {
		release  release.ID
		doubtful bool
		want     bool
	}{
		"known":    {v1, false, true},
		"in doubt": {v1, true, false},
		"unknown":  {release.Unknown, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			x, now := newStreamTest(), time.Now()
			d := dispatch.New("edge", "z", now)
			d.SetServers(now, []dispatch.ServerInfo{
				{ID: "first", Service: "s", DataCentre: "z", Slots: 9, Ready: true, Heard: now, Release: c.release},
				{ID: "second", Service: "s", DataCentre: "z", Slots: 9, Ready: true, Heard: now, Release: c.release},
			})
			x.s.dispatcher, x.s.retryBudget, x.s.quarantine = d, newRetryBudget(RetryBudget{Extra: 50}), quarantine.New(1)
			x.dispatchReq.Release, x.start.doubtful = c.release, c.doubtful
			first := x.goOnAt("first")
			second, _ := x.beginHedge(first, "", true)
			assert.Equal(t, second != nil, c.want)
			second, _ = x.beginHedge(first, "", false)
			assert.Assert(t, second != nil, "nothing was sent to the caller")
		})
	}
}

// Guards against a replaced server that is not noticed because the clock of the new
// process is behind.
func TestEarlierStartOfAnotherReleaseIsNoticed(t *testing.T) {
	x := newStreamTest()
	x.s.fleetView.servers = registry.New()
	x.s.announceTest("second", 500, v2)
	assert.Assert(t, !x.checkRelease(x.goOnAt("second")))
	x.s.announceTest("first", 500, v2)
	assert.Assert(t, !x.mayGoOn())
}

// Guards against a replaced server that is not noticed because neither process states
// its start time, while the next attempt is on its way and when the stream goes on. With
// the same release nothing is in doubt.
func TestReleaseChangesOfOneStartTimeAreNoticed(t *testing.T) {
	x := newStreamTestOf(0)
	x.s.announceTest("first", 0, v1)
	x.s.announceTest("second", 0, v1)
	assert.Assert(t, x.mayGoOn() && x.checkRelease(x.goOnAt("second")))
	x.s.announceTest("second", 0, v2)
	assert.Check(t, !x.checkRelease(x.goOnAt("second")), "the next attempt is on its way")
	x.s.announceTest("first", 0, v2)
	assert.Check(t, !x.mayGoOn())
}

// Guards against a doubt on streams of a server that came back with the same release, or
// that began long before it came back.
func TestSoundStreamsAreNotDoubted(t *testing.T) {
	x := newStreamTest()
	x.s.announceTest("first", 2000, v1)
	assert.Assert(t, x.mayGoOn())
	x = newStreamTest()
	x.start.at = x.start.at.Add(-streamrecord.DoubtTime - time.Second)
	x.s.announceTest("first", 2000, v2)
	assert.Assert(t, x.mayGoOn())
}

// Guards against streams of a new process that stay recorded at the release before,
// because its clock is behind and it was not believed until the other one was silent for
// seconds. What began well before the silence is not in doubt.
func TestStreamsOfAProcessThatIsBelievedLateAreDoubted(t *testing.T) {
	for age, want := range map[time.Duration]bool{10 * time.Second: false, 11 * time.Second: true} {
		synctest.Test(t, func(t *testing.T) {
			x := newStreamTest()
			e, _ := x.s.fleetView.servers.Get("first")
			e.Heard, e.Sequence = time.Now().Add(-7*time.Second), 2
			x.s.fleetView.servers = registry.New()
			x.s.fleetView.servers.Merge(e)
			x.start.at = x.start.at.Add(-age)
			x.s.announceTest("first", 500, v2)
			assert.Equal(t, x.mayGoOn(), want, "%s", age)
		})
	}
}

// Guards against a resumption at the wrong service of a split route because the list of
// another one is full.
func TestReleaseIsLookedForInListsBeforeFullOnes(t *testing.T) {
	x := newStreamTest()
	x.route.Targets = []routing.Target{{Service: "full", Weight: 1}, {Service: "s", Weight: 1}}
	x.s.fleetView.releases.merge([]*apiv1.ServiceReleases{
		{Service: "full", Releases: []uint64{1, 2, 3, 4, 5, 6, 7, 8}, Revision: 1}, {Service: "s", Releases: []uint64{uint64(v1)}, Revision: 1},
	}, x.s.log)
	assert.Assert(t, x.chooseServiceOf(v1))
	assert.Equal(t, x.dispatchReq.Service, "s")
	assert.Assert(t, x.chooseServiceOf(v2))
	assert.Equal(t, x.dispatchReq.Service, "full")
}

// Guards against streams that are not counted although no core host had their record in
// time, and against counting those whose service has one release.
func TestUnrecordedStreamsAreCounted(t *testing.T) {
	for releases, want := range map[int]int64{1: 0, 2: 1} {
		synctest.Test(t, func(t *testing.T) {
			x := newStreamTest()
			x.s.fleetView.releases.merge([]*apiv1.ServiceReleases{{Service: "s", Releases: []uint64{uint64(v1), uint64(v2)}[:releases], Revision: 1}}, x.s.log)
			before, begun := x.s.count("edge.streams.unrecorded"), time.Now()
			x.start = nil
			x.beginStream(x.newExchange(dispatch.Decision{Server: "first", StartMS: 1000, Release: v1}, x.dispatchReq))
			assert.Equal(t, x.s.count("edge.streams.unrecorded")-before, want, "%d releases", releases)
			assert.Equal(t, time.Since(begun), time.Duration(want)*recordTimeout)
		})
	}
}

// Guards against an answer of several releases that is not counted, or counted for each.
func TestMixedReleasesAreCountedOnce(t *testing.T) {
	x := newStreamTest()
	for i, id := range []release.ID{v1, v1, v2, v1, release.Of("s", "v3")} {
		x.recordRelease(id)
		want := int64(0)
		if i >= 2 {
			want = 1
		}
		assert.Equal(t, x.s.count("edge.streams.mixed_releases"), want, "after %d", i)
	}
}
