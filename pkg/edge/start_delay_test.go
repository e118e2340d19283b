package edge

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"
	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/dispatch"
	"jackdawtrack.example/jackdawtrack/pkg/logging"
	"jackdawtrack.example/jackdawtrack/pkg/proxy"
	"jackdawtrack.example/jackdawtrack/pkg/quarantine"
	"jackdawtrack.example/jackdawtrack/pkg/routing"
)

// Guards against an overloaded host that refuses what it could serve within its objective,
// and against one that delays what it could not.
func TestOverloadedHostDelaysWhatStaysWithinItsObjective(t *testing.T) {
	metrics.NewMeter().Stop() // the goroutine of all meters never ends, so it is started outside the bubble
	for _, c := range []struct {
		name     string
		key      string
		patience time.Duration
		accepted bool
		delayed  bool
	}{
		{"first attempt", "k1", 10 * time.Second, true, true},
		{"retry whose objective has passed", "k1", 6 * time.Second, false, false},
		{"other workspace", "k2", 10 * time.Second, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newOverloadedServer()
				s.table.Store(routing.NewTable(&routing.Config{
					Version: 1, KeysRequired: true,
					Routes:     []routing.Route{{Name: "r", Host: "a.example", PathPrefix: "/x/", Timeout: 10 * time.Second, Objective: 400 * time.Millisecond}},
					Workspaces: []routing.Workspace{{Name: "flood", Keys: []string{"k1"}}, {Name: "other", Keys: []string{"k2"}}},
				}))
				now := time.Now()
				s.attemptAges.estimate(now, "r", 10*time.Second) // the longest caller timeout of the route
				in := &Request{ID: "id", Host: "a.example", Path: "/x/1", Target: "/x/1", APIKey: c.key, CallerTimeout: c.patience, Arrived: now}
				w := httptest.NewRecorder()
				assert.Equal(t, s.Admit(w, in), c.accepted)
				if !c.accepted {
					assert.Equal(t, w.Code, http.StatusServiceUnavailable)
					return
				}
				assert.Equal(t, in.startDelay > 0, c.delayed)
				assert.Assert(t, in.startDelay <= 200*time.Millisecond)
				in.awaitStart(t.Context())
				assert.Equal(t, time.Since(now), in.startDelay)
			})
		})
	}
}

// Guards against a delayed request that holds its memory after its caller has left.
func TestDelayEndsWhenTheCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, leave := context.WithCancel(t.Context())
		in := &Request{Arrived: time.Now(), startDelay: time.Hour}
		time.AfterFunc(time.Millisecond, leave)
		in.awaitStart(ctx)
		assert.Equal(t, time.Since(in.Arrived), time.Millisecond)
	})
}

// newDelayServer returns a host with one server, which counts what arrives.
func newDelayServer(t *testing.T) (s *Server, arrived *atomic.Int64) {
	arrived = new(atomic.Int64)
	backend := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { arrived.Add(1) }))
	t.Cleanup(backend.Close)
	now := time.Now()
	d := dispatch.New("edge", "z", now)
	d.SetServers(now, []dispatch.ServerInfo{{ID: "i", Service: "s", DataCentre: "z", Address: backend.Listener.Addr().String(), Slots: 4, Ready: true, Heard: now}})
	s = &Server{
		config: Config{Dialect: silentDialect{}}, transport: proxy.NewTransport(), dispatcher: d, retryBudget: newRetryBudget(RetryBudget{Extra: 50}), quarantine: quarantine.New(1),
		log: logging.ForComponent("edge"), metrics: newMetrics(metrics.NewRegistry()), stopping: newStopping(), pendingDecisions: map[*dispatch.Request]chan dispatch.Decision{},
		refusalLogLimiter: rate.NewLimiter(refusalLogRate, refusalLogBurst),
	}
	t.Cleanup(s.transport.Close)
	return s, arrived
}

// serveDelayed serves a request that the host has delayed, and reports whether the
// connection of its caller was closed.
func (s *Server) serveDelayed(ctx context.Context, w http.ResponseWriter, delay time.Duration) (closed bool) {
	route := &routing.Route{Name: "r", Timeout: 10 * time.Second, Targets: []routing.Target{{Service: "s", Weight: 1}}, MaxAttempts: 1}
	in := &Request{ID: "id", Method: http.MethodGet, Target: "/x", Header: http.Header{}, Arrived: time.Now(), dest: &destination{route: route}, startDelay: delay}
	defer func() { closed = recover() == http.ErrAbortHandler }()
	s.Serve(ctx, w, in)
	return false
}

// Guards against a delayed request that is sent after its caller has left.
func TestDelayedRequestWhoseCallerLeavesIsNotSent(t *testing.T) {
	s, arrived := newDelayServer(t)
	ctx, leave := context.WithCancel(t.Context())
	time.AfterFunc(10*time.Millisecond, leave)
	assert.Assert(t, s.serveDelayed(ctx, httptest.NewRecorder(), time.Hour))
	assert.Equal(t, arrived.Load(), int64(0))
}

// Guards against a delayed request that is sent when a stop leaves no time to answer it, or
// that is not answered.
func TestDelayedRequestIsAnsweredInAStop(t *testing.T) {
	s, arrived := newDelayServer(t)
	w := httptest.NewRecorder()
	assert.Assert(t, !s.serveDelayed(t.Context(), w, time.Millisecond))
	assert.Equal(t, arrived.Load(), int64(1), "the request was not sent before the stop")
	s.RefuseLate(time.Now())
	w = httptest.NewRecorder()
	assert.Assert(t, !s.serveDelayed(t.Context(), w, 10*time.Millisecond))
	assert.Equal(t, w.Code, http.StatusServiceUnavailable)
	assert.Equal(t, arrived.Load(), int64(1))
}
