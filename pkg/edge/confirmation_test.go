package edge

import (
	"context"
	"errors"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/confirm"
	"jackdawtrack.example/jackdawtrack/pkg/dispatch"
	"jackdawtrack.example/jackdawtrack/pkg/quarantine"
	"jackdawtrack.example/jackdawtrack/pkg/registry"
	"jackdawtrack.example/jackdawtrack/pkg/release"
	"jackdawtrack.example/jackdawtrack/pkg/routing"
	"jackdawtrack.example/jackdawtrack/pkg/suspension"
)

// newRestTest returns a request for the rest of an answer on a route that is not declared
// as one of streams. The host has applied revision 1 of the state, with v1 alone.
func newRestTest(revision uint64, err error) *proxiedRequest {
	x := newStreamTest()
	x.w, x.start, x.headSent = httptest.NewRecorder(), nil, false
	x.in.Host, x.in.Path, x.in.LastEventID = "h", "/r/", "4"
	x.s.confirmations = confirm.New(func() (uint64, error) { return revision, err })
	x.s.applyState(1, v1)
	x.s.routeTo("s", false)
	x.route = x.s.table.Load().Match("h", "/r/")
	return x
}

// applyState merges a state whose history of the service lists the releases.
func (s *Server) applyState(revision uint64, listed ...release.ID) {
	m := &apiv1.ServiceReleases{Service: "s", Revision: revision}
	for _, id := range listed {
		m.Releases = append(m.Releases, uint64(id))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleetView.releases.merge([]*apiv1.ServiceReleases{m}, s.log)
	s.fleetView.mergeRevision(revision)
}

func (s *Server) routeTo(service string, stream bool) {
	s.table.Store(routing.NewTable(&routing.Config{Routes: []routing.Route{{Name: "r", Host: "h", PathPrefix: "/r/", Stream: stream, Targets: []routing.Target{{Service: service, Weight: 1}}}}}))
}

// Guards against the rest of an answer that goes to a server of another release, on a
// route that is not declared as one of streams, at a host that is out of step: it knows
// one release, because it has not received yet, or never receives, what the core hosts
// agreed on while it stood still or was cut off.
func TestRestIsRefusedAtAHostThatIsOutOfStep(t *testing.T) {
	for name, c := range map[string]struct {
		confirmed uint64
		err       error
		meanwhile func(s *Server) // what the host receives while it waits
		want      string          // part of the refusal, "" for none
		within    time.Duration
	}{
		"in step":               {1, nil, nil, "", 0},
		"a change of something": {2, nil, func(s *Server) { s.applyState(2, v1) }, "", 0},
		"cut off":               {0, errNoCoreHost, nil, "records_unread", 0},
		"no majority":           {0, errors.New("not the leader"), nil, "records_unread", 0},
		"behind":                {2, nil, nil, "records_unread", confirmTimeout},
		"a release joined":      {2, nil, func(s *Server) { s.applyState(2, v1, v2) }, "stream_unknown", 0},
		"the route moved": {2, nil, func(s *Server) {
			s.routeTo("other", false)
			s.applyState(2, v1)
		}, "stream_unknown", 0},
		"the route was removed": {2, nil, func(s *Server) {
			s.table.Store(routing.NewTable(&routing.Config{}))
			s.applyState(2, v1)
		}, "stream_unknown", 0},
		"a server of a release that the history lacks": {1, nil, func(s *Server) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.fleetView.servers.Merge(registry.Entry{ID: "new", Service: "s", Address: "10.0.0.2:80", Release: v2, State: registry.Ready, Sequence: 1, Heard: time.Now()})
		}, "stream_unknown", 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := newRestTest(c.confirmed, c.err)
				if c.meanwhile != nil {
					x.s.confirmations = confirm.New(func() (uint64, error) {
						go c.meanwhile(x.s)
						synctest.Wait()
						return c.confirmed, c.err
					})
				}
				begun := time.Now()
				goesOn := x.bindRest()
				assert.Equal(t, goesOn, c.want == "")
				assert.Equal(t, time.Since(begun), c.within)
				body := x.w.(*httptest.ResponseRecorder).Body.String()
				assert.Check(t, strings.Contains(body, c.want), body)
				if goesOn {
					assert.Equal(t, x.dispatchReq.Release, v1, "a server that joins later can get it")
					assert.Equal(t, x.s.count("edge.resumptions.sole"), int64(1))
				}
			})
		})
	}
}

// Guards against a caller that has left and is waited for, and against a confirmation of
// one revision that lets a host go on which has applied an older one.
func TestViewIsConfirmedOnceItIsApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newRestTest(3, nil)
		done := make(chan error, 1)
		go func() { done <- x.s.confirmView(t.Context()) }()
		synctest.Wait()
		x.s.applyState(2, v1)
		synctest.Wait()
		assert.Equal(t, len(done), 0, "confirmed too early")
		x.s.applyState(3, v1)
		assert.NilError(t, <-done)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		x.s.confirmations = confirm.New(func() (uint64, error) { return 4, nil })
		assert.ErrorIs(t, x.s.confirmView(ctx), context.Canceled)
	})
}

// Guards against a host that has just gone on after a suspension and takes a stream up by
// its own record alone, before or after its monitor has noticed the suspension.
func TestTakeUpRightAfterAStandstillIsNotGuessed(t *testing.T) {
	for name, standStill := range map[string]func(s *Server){
		"not noticed yet": func(s *Server) {
			s.checkedAt.Store(int64(suspension.BootTime() - suspensionThreshold - hostCheckInterval - time.Second))
		},
		"noticed": func(s *Server) {
			s.dispatcher, s.quarantine = dispatch.New("edge", "z", time.Now()), quarantine.New(1)
			s.handleSuspension(time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := newStreamTest()
				x.s.applyState(1, v1)
				w := httptest.NewRecorder()
				x.w, x.headSent, x.in.Resumes = w, false, "id"
				x.s.checkedAt.Store(int64(suspension.BootTime() + time.Hour)) // however slow this test is
				assert.Assert(t, x.bindRelease(), "without a suspension: %s", w.Body)
				standStill(x.s)
				assert.Assert(t, !x.bindRelease(), "taken up by the record of this host alone")
				assert.Check(t, strings.Contains(w.Body.String(), "records_unread"), w.Body)
			})
		})
	}
}

// Guards against a request that is refused because the release of the first server of its
// service is recorded some ms later, and against one that waits without end for that.
func TestRestWaitsForTheRecordOfTheFirstRelease(t *testing.T) {
	for _, recorded := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			x := newRestTest(2, nil)
			x.s.fleetView.releases = releaseHistory{}
			done := make(chan bool, 1)
			begun := time.Now()
			go func() { done <- x.bindRest() }()
			synctest.Wait()
			assert.Equal(t, len(done), 0)
			if recorded {
				x.s.applyState(2, v1)
			}
			assert.Equal(t, <-done, recorded)
			assert.Assert(t, time.Since(begun) <= confirmTimeout)
		})
	}
}
