package edge

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"
	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/routing"
	"jackdawtrack.example/jackdawtrack/pkg/shed"
	"jackdawtrack.example/jackdawtrack/pkg/streamrecord/recorder"
)

// newOverloadedServer returns a host whose load shedder has set a rate limit
// because of a flood of the workspace "flood" and has used it up.
func newOverloadedServer() *Server {
	s := newTestServer("edge")
	s.metrics, s.refusalLogLimiter = newMetrics(metrics.NewRegistry()), rate.NewLimiter(refusalLogRate, refusalLogBurst)
	s.loadShedder = &loadShedder{Shedder: shed.New()}
	s.table.Store(routing.NewTable(&routing.Config{
		Version: 1, KeysRequired: true,
		Routes:     []routing.Route{{Name: "r", Host: "a.example", PathPrefix: "/x/"}},
		Workspaces: []routing.Workspace{{Name: "flood", Keys: []string{"k1"}}, {Name: "other", Keys: []string{"k2"}}},
	}))
	for range 50 {
		s.loadShedder.admit(&shedAttempt{workspace: "flood"})
	}
	s.loadShedder.tick(maxWaitLoad, 0)
	for s.acceptsFlood() {
	}
	return s
}

// acceptsFlood reports whether the host accepts another request of the flood at once.
func (s *Server) acceptsFlood() bool {
	_, accepted := s.loadShedder.admit(&shedAttempt{workspace: "flood"})
	return accepted
}

// Guards against an overloaded host that sheds nothing or no retries, and against shedding
// requests that do not cause the overload: those of another workspace, and requests that
// fail anyway.
func TestOverloadedHostShedsDominantWorkspace(t *testing.T) {
	metrics.NewMeter().Stop() // the goroutine of all meters never ends, so it is started outside the bubble
	for _, c := range []struct {
		name     string
		key      string
		path     string
		patience time.Duration
		status   int // 200 if the request is admitted
	}{
		{"flood", "k1", "/x/1", 10 * time.Second, http.StatusServiceUnavailable},
		{"flood without a caller timeout", "k1", "/x/1", 0, http.StatusServiceUnavailable},
		{"other workspace", "k2", "/x/1", 10 * time.Second, http.StatusOK},
		{"retry after a refusal", "k1", "/x/1", 6 * time.Second, http.StatusServiceUnavailable},
		{"retry of another workspace", "k2", "/x/1", 6 * time.Second, http.StatusOK},
		{"no route", "k1", "/y/1", 10 * time.Second, http.StatusNotFound},
		{"no key", "", "/x/1", 10 * time.Second, http.StatusUnauthorized},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { // the rate limit admits requests as time passes
				s := newOverloadedServer()
				s.attemptAges.estimate(start, "r", 10*time.Second) // the longest caller timeout of the route
				w := httptest.NewRecorder()
				in := &Request{ID: "id", Host: "a.example", Path: c.path, Target: c.path, APIKey: c.key, CallerTimeout: c.patience, Arrived: start}
				assert.Equal(t, s.Admit(w, in), c.status == http.StatusOK)
				assert.Equal(t, w.Code, c.status)
				if c.status == http.StatusServiceUnavailable {
					assert.Equal(t, w.Header().Get("Retry-After"), "0.02")
				}
			})
		})
	}
}

// Guards against a host that sheds requests although it was never overloaded.
func TestHostWithoutOverloadShedsNothing(t *testing.T) {
	s := newOverloadedServer()
	s.loadShedder = &loadShedder{Shedder: shed.New()}
	for range 1000 {
		in := &Request{ID: "id", Host: "a.example", Path: "/x/1", Target: "/x/1", APIKey: "k1", Arrived: start}
		assert.Assert(t, s.Admit(httptest.NewRecorder(), in))
	}
}

// Guards against a flooded host that stays ready because it sheds the flood, while other
// hosts are idle.
func TestHostThatShedsIsOverloaded(t *testing.T) {
	p := cpuMonitor{cores: 0.4}
	tick := func(share float64, sheddingTicks int) bool {
		p.sheddingTicks = sheddingTicks
		return p.tick(time.Duration(share*p.cores*float64(hostCheckInterval)), hostCheckInterval, 0)
	}
	for range overloadTicks {
		assert.Assert(t, !tick(0.7, overloadTicks/2-1))
	}
	assert.Assert(t, tick(0.7, overloadTicks/2))
	for range 2 * overloadTicks {
		assert.Assert(t, tick(0.3, 1), "ready again while it still sheds")
	}
	assert.Assert(t, !tick(0.3, 0))
}

// Guards against a monitor that does not look at what the host sheds.
func TestFloodedHostIsReportedNotReady(t *testing.T) {
	s := newOverloadedServer()
	s.streamRecords = recorder.New(s.log, s.metrics.registry) // a stall of the test counts as a suspension
	s.ctx, s.stop = context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { defer close(ended); s.monitorHost() }()
	defer func() { s.stop(); <-ended }()
	assert.Assert(t, s.Ready())
	for deadline := time.Now().Add(time.Minute); s.Ready(); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "the host is still ready")
		for range 200 {
			s.acceptsFlood()
		}
	}
}
