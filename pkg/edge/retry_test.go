package edge

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/dispatch"
	"jackdawtrack.example/jackdawtrack/pkg/routing"
)

// Guards against a request that runs twice: which outcomes at a server allow a
// second one depends on what may be repeated.
func TestMayRepeat(t *testing.T) {
	ran := attemptEnd{sent: true, outcome: dispatch.Broken}
	for _, c := range []struct {
		name   string
		repeat routing.Repeat
		end    attemptEnd
		x      exchangeState
		want   bool
	}{
		{"once, broken off", routing.AtMostOnce, ran, exchangeState{}, false},
		{"once, silent", routing.AtMostOnce, attemptEnd{sent: true, outcome: dispatch.Silent}, exchangeState{}, false},
		{"once, no answer to it", routing.AtMostOnce, attemptEnd{sent: true, outcome: dispatch.Garbled}, exchangeState{}, false},
		{"once, failed", routing.AtMostOnce, attemptEnd{sent: true, outcome: dispatch.ServerError}, exchangeState{}, false},
		{"once, not run", routing.AtMostOnce, attemptEnd{sent: true, outcome: dispatch.NotExecuted}, exchangeState{}, true},
		{"once, another server", routing.AtMostOnce, attemptEnd{sent: true, outcome: dispatch.Misdirected}, exchangeState{}, true},
		{"once, nothing sent", routing.AtMostOnce, attemptEnd{outcome: dispatch.ConnectFailed}, exchangeState{}, true},
		{"once, nothing sent too often", routing.AtMostOnce, attemptEnd{outcome: dispatch.ConnectFailed}, exchangeState{unsent: maxUnsent - 1}, false},
		{"idempotent, broken off", routing.Idempotent, ran, exchangeState{}, true},
		{"idempotent, last attempt", routing.Idempotent, ran, exchangeState{sends: 2}, false},
		{"idempotent, caller has the head", routing.Idempotent, ran, exchangeState{started: true}, false},
		{"resumable, before an event", routing.Resumable, ran, exchangeState{}, true},
		{"resumable, after an event", routing.Resumable, ran, exchangeState{started: true, events: events{last: "4"}}, true},
		{"resumable, after an event without id", routing.Resumable, ran, exchangeState{started: true}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := c.x
			x.route = &routing.Route{Repeat: c.repeat, MaxAttempts: 3}
			x.caller, x.deadline = context.Background(), time.Now().Add(time.Hour)
			assert.Equal(t, x.mayRepeat(c.end), c.want)
			x.deadline = time.Now().Add(-time.Second)
			assert.Assert(t, !x.mayRepeat(c.end), "its time is over")
			gone, cancel := context.WithCancel(context.Background())
			cancel()
			x.caller, x.deadline = gone, time.Now().Add(time.Hour)
			assert.Assert(t, !x.mayRepeat(c.end), "its caller has left")
		})
	}
}
