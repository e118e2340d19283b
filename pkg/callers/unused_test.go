package callers

import (
	"bufio"
	"context"
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a first request that is reset because it crosses the end of a planned stop,
// and against a stop that lasts for its whole grace period because of an unused connection.
func TestUnusedConnectionIsToldOfTheStop(t *testing.T) {
	for name, stop := range map[string]func(context.Context, *ConnTracker) error{
		"drain": func(ctx context.Context, s *ConnTracker) error { s.Drain(ctx, time.Millisecond); return ctx.Err() },
		"close": func(ctx context.Context, s *ConnTracker) error { return s.WaitClosed(ctx, 0) },
	} {
		t.Run(name, func(t *testing.T) {
			s, caller, _ := startTracked(t)
			waitFor(t, "the connection", func() bool { return s.OpenCount() == 1 })
			ctx, cancel := context.WithTimeout(t.Context(), waitLimit/6)
			defer cancel()
			ended := make(chan error, 1)
			go func() { ended <- stop(ctx, s) }()
			assert.NilError(t, caller.SetDeadline(time.Now().Add(waitLimit/6)))
			in := bufio.NewReader(caller)
			_, err := in.Peek(1)
			assert.NilError(t, err, "the connection ended without an answer")
			_, err = io.WriteString(caller, "GET /x HTTP/1.1\r\nHost: a.example\r\n\r\n") // crosses the close
			assert.NilError(t, err)
			checkClosed(t, in)
			assert.NilError(t, caller.Close())
			assert.NilError(t, <-ended)
		})
	}
}

// Guards against a first request that is refused although it arrives with its connection.
func TestFirstRequestDuringAStopIsAnswered(t *testing.T) {
	s, caller, host := startTracked(t)
	_, err := io.WriteString(caller, "GET /x HTTP/1.1\r\n")
	assert.NilError(t, err)
	waitFor(t, "the begin of the request", func() bool { c := host(); return c != nil && c.hasBegun() })
	host().openedAt = time.Now().Add(-time.Hour)
	s.closeUnused(0)
	_, err = io.WriteString(caller, "Host: a.example\r\n\r\n")
	assert.NilError(t, err)
	checkResponse(t, bufio.NewReader(caller), "/x")
}
