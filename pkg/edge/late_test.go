package edge

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/dispatch"
	"jackdawtrack.example/jackdawtrack/pkg/quarantine"
	"jackdawtrack.example/jackdawtrack/pkg/routing"
)

// lateCases are requests in a planned stop whose grace period ends in 10 s, with the
// time from which on they are too late.
var lateCases = []struct {
	name   string
	route  routing.Route
	prompt *Prompt
	late   time.Duration // 0 for at once
}{
	{"at most once", routing.Route{Timeout: time.Minute, Objective: 100 * time.Millisecond}, nil, 0},
	{"at most once, ends in time", routing.Route{Timeout: 8 * time.Second, Objective: 100 * time.Millisecond}, nil, 10 * time.Second},
	{"may be repeated", routing.Route{RetryPolicy: routing.Idempotent, Timeout: time.Minute, Objective: 2 * time.Second}, nil, 5 * time.Second},
	{"may be repeated, without a target", routing.Route{RetryPolicy: routing.Idempotent, Timeout: time.Minute}, nil, 0},
	{"stream", routing.Route{RetryPolicy: routing.Resumable, Stream: true, Timeout: time.Minute, Objective: time.Second, MaxEventGap: 100 * time.Millisecond}, &Prompt{MaxOutputTokens: 90, OutputTokensHint: 30}, 4500 * time.Millisecond},
	{"stream of unknown length", routing.Route{RetryPolicy: routing.Resumable, Stream: true, Timeout: time.Minute, Objective: time.Second}, nil, 0},
	{"long stream", routing.Route{RetryPolicy: routing.Resumable, Stream: true, Timeout: time.Minute, Objective: time.Second}, &Prompt{MaxOutputTokens: 1000}, 0},
}

// newLateTest returns a request to a host that stops, whose server is full.
func newLateTest(t *testing.T, route routing.Route, prompt *Prompt) (*proxiedRequest, *httptest.ResponseRecorder) {
	now := time.Now()
	d := dispatch.New("edge", "z", now)
	d.SetServers(now, []dispatch.ServerInfo{{ID: "i", Service: "s", DataCentre: "z", Slots: 1, Ready: true, Heard: now}, {ID: "j", Service: "other", DataCentre: "z", Slots: 9, Ready: true, Heard: now}, {ID: "k", Service: "other", DataCentre: "z", Slots: 9, Ready: true, Heard: now}})
	s := &Server{stopping: newStopping(), dispatcher: d, pendingDecisions: map[*dispatch.Request]chan dispatch.Decision{}, polling: true, metrics: newMetrics(metrics.NewRegistry()), retryBudget: newRetryBudget(RetryBudget{Extra: 50}), quarantine: quarantine.New(1)}
	for {
		r := &dispatch.Request{ID: "r", Service: "s", Arrived: now, Objective: time.Minute, Deadline: now.Add(time.Minute)}
		if v, _ := s.requestDecision(r); v.Action == dispatch.Wait {
			break
		}
	}
	route.MaxAttempts = 3
	in := &Request{Target: "/x", Arrived: now, Prompt: prompt, dest: &destination{route: &route}}
	w := httptest.NewRecorder()
	r := &dispatch.Request{ID: "waits", Service: "s", Arrived: now, Objective: time.Minute, Deadline: now.Add(time.Minute)}
	return &proxiedRequest{s: s, w: w, in: in, route: &route, dispatchReq: r, callerCtx: t.Context(), deadline: in.Deadline()}, w
}

// Guards against queued requests that keep their place in a planned stop although they
// can no longer end in time, and against refusing those that can.
func TestQueuedRequestIsRefusedWhenItIsTooLate(t *testing.T) {
	for _, c := range lateCases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x, w := newLateTest(t, c.route, c.prompt)
				begin := time.Now()
				x.s.RefuseLate(begin.Add(10 * time.Second))
				_, err := x.awaitDecision()
				assert.Equal(t, time.Since(begin), min(c.late, time.Until(x.deadline)+time.Since(begin)))
				x.respondUndispatched(err)
				assert.Equal(t, w.Code, http.StatusServiceUnavailable)
				assert.Assert(t, w.Header().Get("Retry-After") != "")
			})
		})
	}
}

// Guards against attempts that begin too late in a planned stop: the first one, one
// after a failure, and a second one beside a silent server.
func TestNoAttemptBeginsTooLate(t *testing.T) {
	for _, c := range lateCases {
		if c.route.Timeout < time.Minute {
			continue // its deadline ends it
		}
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				for _, late := range []bool{false, true} {
					x, w := newLateTest(t, c.route, c.prompt)
					x.dispatchReq = &dispatch.Request{ID: "first", Service: "other", Arrived: time.Now(), Objective: time.Minute, Deadline: time.Now().Add(time.Minute)}
					v, _ := x.s.requestDecision(x.dispatchReq)
					assert.Equal(t, v.Action, dispatch.Send)
					switch {
					case late:
						x.s.RefuseLate(time.Now().Add(10 * time.Second))
						time.Sleep(c.late)
					case c.late > 0:
						x.s.RefuseLate(time.Now().Add(10 * time.Second))
						time.Sleep(c.late - time.Millisecond)
					}
					second, _ := x.beginHedge(&serverExchange{dispatchReq: x.dispatchReq, decision: v}, "", false)
					assert.Equal(t, second == nil, late, "a second attempt")
					assert.Equal(t, x.dropLate(), late)
					if late {
						assert.Equal(t, w.Code, http.StatusServiceUnavailable)
						x.w, x.mayHaveRun = httptest.NewRecorder(), true
						assert.Assert(t, x.dropLate())
						assert.Equal(t, x.w.(*httptest.ResponseRecorder).Code, http.StatusBadGateway)
						x.headSent = true
						assert.Assert(t, !x.dropLate(), "a stream that has begun is given up")
					}
				}
			})
		})
	}
}

// Guards against giving up a request at a silent server in a planned stop, when it is too
// late to send it to another one: it can only be lost.
func TestSilentServerKeepsRequestWhenItIsTooLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, late := range []bool{false, true} {
			x, _ := newLateTest(t, routing.Route{RetryPolicy: routing.Idempotent, Timeout: time.Minute, Objective: 2 * time.Second}, nil)
			x.dispatchReq = &dispatch.Request{ID: "first", Service: "other", Arrived: time.Now(), Objective: 2 * time.Second, Deadline: x.deadline}
			v, _ := x.s.requestDecision(x.dispatchReq)
			x.s.retryBudget = newRetryBudget(RetryBudget{}) // no second attempt in either case
			h := x.newHedge(x.newExchange(v, x.dispatchReq))
			if late {
				x.s.RefuseLate(time.Now().Add(7 * time.Second))
			}
			time.Sleep(soundSilence + time.Second)
			assert.Equal(t, h.tryReplace(), !late)
		}
	})
}
