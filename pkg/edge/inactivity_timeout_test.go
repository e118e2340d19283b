package edge

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/dispatch"
	"jackdawtrack.example/jackdawtrack/pkg/routing"
)

// Guards against abandoning a request that must not be executed twice at a server
// that is only slow: the caller would get an error although the server may complete
// the request. The same holds for the last attempt of any request.
func TestInactivityTimeoutByRetryPolicy(t *testing.T) {
	const left = 10 * time.Second
	for _, c := range []struct {
		name          string
		repeat        routing.RetryPolicy
		most          int
		sentAttempts  int
		untilDeadline bool // the timeout is not shorter than the time to the deadline
	}{
		{"at most once", routing.AtMostOnce, 3, 0, true},
		{"idempotent", routing.Idempotent, 3, 0, false},
		{"last attempt", routing.Idempotent, 3, 2, true},
		{"only attempt", routing.Resumable, 0, 0, true},
		{"resumable stream", routing.Resumable, 2, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := &proxiedRequest{
				route: &routing.Route{RetryPolicy: c.repeat, MaxAttempts: c.most}, sentAttempts: c.sentAttempts,
				deadline: time.Now().Add(left), dispatchReq: &dispatch.Request{Objective: 200 * time.Millisecond},
			}
			assert.Equal(t, x.inactivityTimeout() >= left, c.untilDeadline)
		})
	}
}
