package edge

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/dispatch"
	"jackdawtrack.example/jackdawtrack/pkg/release"
	"jackdawtrack.example/jackdawtrack/pkg/routing"
)

// Guards against executing a request twice that its route allows once only. Which
// outcomes permit a retry depends on the route's Repeat setting.
func TestCanRetry(t *testing.T) {
	ran := attemptResult{sent: true, outcome: dispatch.ConnectionLost}
	for _, c := range []struct {
		name   string
		repeat routing.RetryPolicy
		end    attemptResult
		x      proxiedRequest
		want   bool
	}{
		{"at most once, response interrupted", routing.AtMostOnce, ran, proxiedRequest{}, false},
		{"at most once, server silent", routing.AtMostOnce, attemptResult{sent: true, outcome: dispatch.ResponseTimeout}, proxiedRequest{}, false},
		{"at most once, response to another request", routing.AtMostOnce, attemptResult{sent: true, outcome: dispatch.InvalidResponse}, proxiedRequest{}, false},
		{"at most once, server error", routing.AtMostOnce, attemptResult{sent: true, outcome: dispatch.ServerError}, proxiedRequest{}, false},
		{"at most once, not executed", routing.AtMostOnce, attemptResult{sent: true, outcome: dispatch.NotExecuted}, proxiedRequest{}, true},
		{"at most once, misdirected", routing.AtMostOnce, attemptResult{sent: true, outcome: dispatch.Misdirected}, proxiedRequest{}, true},
		{"at most once, nothing sent", routing.AtMostOnce, attemptResult{outcome: dispatch.ConnectFailed}, proxiedRequest{}, true},
		{"at most once, nothing sent on all allowed attempts", routing.AtMostOnce, attemptResult{outcome: dispatch.ConnectFailed}, proxiedRequest{unsentAttempts: maxUnsentAttempts - 1}, false},
		{"idempotent, response interrupted", routing.Idempotent, ran, proxiedRequest{}, true},
		{"idempotent, last attempt", routing.Idempotent, ran, proxiedRequest{sentAttempts: 2}, false},
		{"idempotent, head already sent to the caller", routing.Idempotent, ran, proxiedRequest{headSent: true}, false},
		{"resumable, before an event", routing.Resumable, ran, proxiedRequest{}, true},
		{"resumable, after an event", routing.Resumable, ran, proxiedRequest{headSent: true, sseParser: sseParser{lastID: "4"}}, true},
		{"resumable, after an event of an unknown release", routing.Resumable, ran, proxiedRequest{headSent: true, sseParser: sseParser{lastID: "4"}, dispatchReq: &dispatch.Request{}}, false},
		{"resumable, after an event that another process may have written", routing.Resumable, ran, proxiedRequest{headSent: true, sseParser: sseParser{lastID: "4"}, start: &streamStart{doubtful: true}}, false},
		{"resumable, not executed after an event that another process may have written", routing.Resumable, attemptResult{sent: true, outcome: dispatch.NotExecuted}, proxiedRequest{headSent: true, sseParser: sseParser{lastID: "4"}, start: &streamStart{doubtful: true}}, false},
		{"resumable, after an event without id", routing.Resumable, ran, proxiedRequest{headSent: true}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := c.x
			x.s = &Server{}
			if x.dispatchReq == nil {
				x.dispatchReq = &dispatch.Request{Release: release.Of("s", "v1")}
			}
			x.route = &routing.Route{RetryPolicy: c.repeat, MaxAttempts: 3}
			x.callerCtx, x.deadline = context.Background(), time.Now().Add(time.Hour)
			assert.Equal(t, x.canRetry(c.end), c.want)
			x.deadline = time.Now().Add(-time.Second)
			assert.Assert(t, !x.canRetry(c.end), "the deadline has passed")
			cancelledCtx, cancel := context.WithCancel(context.Background())
			cancel()
			x.callerCtx, x.deadline = cancelledCtx, time.Now().Add(time.Hour)
			assert.Assert(t, !x.canRetry(c.end), "the caller has left")
		})
	}
}
