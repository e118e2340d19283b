package edge

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

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
