package edge

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/dispatch"
	"jackdawtrack.example/jackdawtrack/pkg/routing"
)

// Guards against a queued request that is closed without an answer, or waits on, when its
// deadline passes.
func TestQueuedRequestIsRefusedAtItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		d := dispatch.New("edge", "z", now)
		d.SetServers(now, []dispatch.ServerInfo{{ID: "i", Service: "s", DataCentre: "z", Slots: 1, Ready: true, Heard: now}})
		s := &Server{stopping: newStopping(), dispatcher: d, pendingDecisions: map[*dispatch.Request]chan dispatch.Decision{}, polling: true}
		for {
			r := &dispatch.Request{ID: "r", Service: "s", Arrived: now, Objective: time.Minute, Deadline: now.Add(time.Minute)}
			if v, _ := s.requestDecision(r); v.Action == dispatch.Wait {
				break
			}
		}
		w := httptest.NewRecorder()
		r := &dispatch.Request{ID: "waits", Service: "s", Arrived: now, Objective: time.Minute, Deadline: now.Add(time.Second)}
		x := &proxiedRequest{s: s, w: w, in: &Request{Target: "/x"}, dispatchReq: r, route: &routing.Route{}, callerCtx: t.Context(), deadline: r.Deadline}
		_, err := x.awaitDecision()
		assert.Equal(t, time.Since(now), time.Second)
		x.respondUndispatched(err)
		assert.Equal(t, w.Code, http.StatusServiceUnavailable)
		assert.Assert(t, w.Header().Get("Retry-After") != "")
	})
}
