package edge

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"
	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/routing"
	"jackdawtrack.example/jackdawtrack/pkg/shed"
)

// newFloodedServer returns a host that has just learned from a flood of one
// workspace how little it can take, and has taken that.
func newFloodedServer() *Server {
	s := newTestServer("edge")
	s.metrics, s.refusals = newMetrics(metrics.NewRegistry()), rate.NewLimiter(refusalLines, refusalBurst)
	s.shedder = &shedder{Shedder: shed.New()}
	s.table.Store(routing.NewTable(&routing.Config{
		Version: 1, KeysRequired: true,
		Routes:     []routing.Route{{Name: "r", Host: "a.example", PathPrefix: "/x/"}},
		Workspaces: []routing.Workspace{{Name: "flood", Keys: []string{"k1"}}, {Name: "other", Keys: []string{"k2"}}},
	}))
	for range 50 {
		s.shedder.refuses("flood")
	}
	s.shedder.tick(mostLoad)
	for !s.shedder.refuses("flood") {
	}
	return s
}

// Guards against a flooded host that keeps its callers, and against refusals of
// what does not belong to the flood: another workspace, a caller that was turned
// away elsewhere, a request that no configuration allows.
func TestFloodedHostTurnsAwayTheFlood(t *testing.T) {
	for _, c := range []struct {
		name     string
		key      string
		path     string
		patience time.Duration
		status   int // 200 if it is admitted
	}{
		{"flood", "k1", "/x/1", 10 * time.Second, http.StatusServiceUnavailable},
		{"flood without a patience", "k1", "/x/1", 0, http.StatusServiceUnavailable},
		{"other workspace", "k2", "/x/1", 10 * time.Second, http.StatusOK},
		{"turned away before", "k1", "/x/1", 6 * time.Second, http.StatusOK},
		{"no route", "k1", "/y/1", 10 * time.Second, http.StatusNotFound},
		{"no key", "", "/x/1", 10 * time.Second, http.StatusUnauthorized},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newFloodedServer()
			s.ages.of(start, "r", 10*time.Second) // the route's longest patience
			w := httptest.NewRecorder()
			in := &Request{ID: "id", Host: "a.example", Path: c.path, Key: c.key, Patience: c.patience, Arrived: start}
			assert.Equal(t, s.Admits(w, in), c.status == http.StatusOK)
			assert.Equal(t, w.Code, c.status)
			if c.status == http.StatusServiceUnavailable {
				assert.Equal(t, w.Header().Get("Retry-After"), "0.02")
			}
		})
	}
}

// Guards against a host that turns requests away before it was ever overloaded.
func TestCalmHostTurnsNothingAway(t *testing.T) {
	s := newFloodedServer()
	s.shedder = &shedder{Shedder: shed.New()}
	for range 1000 {
		in := &Request{ID: "id", Host: "a.example", Path: "/x/1", Key: "k1", Arrived: start}
		assert.Assert(t, s.Admits(httptest.NewRecorder(), in))
	}
}
