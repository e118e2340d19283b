package edge

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/dispatch"
	"jackdawtrack.example/jackdawtrack/pkg/routing"
)

// Guards against a request that may run once and is given up at a server that
// is only slow: its caller would get an uncertain end while the server works.
// The same holds for the last attempt of any request.
func TestSilenceThatIsBorne(t *testing.T) {
	const left = 10 * time.Second
	for _, c := range []struct {
		name   string
		repeat routing.Repeat
		most   int
		sends  int
		whole  bool // until the end of the request
	}{
		{"runs once", routing.AtMostOnce, 3, 0, true},
		{"may be repeated", routing.Idempotent, 3, 0, false},
		{"last attempt", routing.Idempotent, 3, 2, true},
		{"only attempt", routing.Resumable, 0, 0, true},
		{"stream that can go on", routing.Resumable, 2, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := &exchangeState{
				route: &routing.Route{Repeat: c.repeat, MaxAttempts: c.most}, sends: c.sends,
				deadline: time.Now().Add(left), work: &dispatch.Request{Objective: 200 * time.Millisecond},
			}
			assert.Equal(t, x.silence() >= left, c.whole)
		})
	}
}
