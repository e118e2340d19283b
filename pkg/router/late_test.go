package router

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/class"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// Guards against a request that waits for a server and keeps its place when the router
// stops although it can no longer end in time, and against one that is sent then.
func TestWaitingRequestIsRefusedWhenItIsTooLate(t *testing.T) {
	t.Parallel()
	tr := newTestRouter(t, nil)
	server := newRawServer(t, respondOK)
	tr.announceRawServer(t, "s1", server, backend.Abilities{})
	tr.router.RefuseLate(time.Now().Add(time.Minute)) // less than the longest duration
	for _, class := range []string{"order", "chat"} {
		resp, body := do(t, tr.request(t, http.MethodPost, "/services/p/x", class, "{}"))
		assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable, body)
		assert.Assert(t, resp.Header.Get(headerRetryAfter) != "")
	}
	assert.Equal(t, server.count.Load(), int64(0))
}

// Guards against a bound that refuses requests which can end in time.
func TestLatestStart(t *testing.T) {
	end := time.Now()
	for name, c := range map[string]struct {
		class class.Class
		want  time.Duration // before the end
	}{
		"at most once":              {class.Class{Answer: time.Second, MaxDuration: time.Minute}, time.Minute},
		"may run twice":             {class.Class{Answer: time.Second, MaxDuration: time.Minute, MayRunTwice: true}, 2500 * time.Millisecond},
		"short":                     {class.Class{Answer: time.Second, MaxDuration: 2 * time.Second, MayRunTwice: true}, 2 * time.Second},
		"stream, length not stated": {class.Class{FirstToken: time.Second, MaxDuration: time.Minute, MayRunTwice: true}, time.Minute},
	} {
		q := &request{class: c.class}
		assert.Equal(t, end.Sub(q.latestStart(end)), c.want, name)
	}
	r := newTestRouter(t, nil).router
	q := &request{class: class.Class{MaxDuration: time.Minute}}
	assert.Assert(t, r.refuseLate(q) == nil)
	r.RefuseLate(time.Now().Add(time.Hour))
	assert.Assert(t, r.refuseLate(q) == nil)
	r.RefuseLate(time.Now())
	assert.Equal(t, r.refuseLate(q).Code, result.ShuttingDown)
}
