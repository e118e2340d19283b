package edge

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/dispatch"
)

// Guards against slot reservations on a host whose network link is saturated: each
// took 200 ms, and healthy servers were marked as down after two of them.
func TestSlowReservationsAreSkipped(t *testing.T) {
	var c reserveLatency
	now := start
	for range 20 {
		assert.Assert(t, !c.shouldSkip(now))
		c.record(now, 3*time.Millisecond)
	}
	c.record(now, reserveTimeout)
	assert.Assert(t, c.shouldSkip(now))
	now = now.Add(reserveRetryInterval)
	assert.Assert(t, !c.shouldSkip(now), "one call must test the latency again")
	assert.Assert(t, c.shouldSkip(now))
	for range 10 {
		c.record(now, 3*time.Millisecond)
	}
	assert.Assert(t, !c.shouldSkip(now))
}

// Guards against marking a healthy server as down because the caller left, or this
// host was busy, during a slot reservation.
func TestReserveOutcome(t *testing.T) {
	refused := errors.New("connection refused")
	for _, c := range []struct {
		name       string
		err        error
		sent, left bool
		want       dispatch.Outcome
	}{
		{"connection refused", refused, false, false, dispatch.ConnectFailed},
		{"no connection in time", context.DeadlineExceeded, false, false, dispatch.ConnectTimeout},
		{"no response in time", context.DeadlineExceeded, true, false, dispatch.NoSlot},
		{"connection closed by the server", refused, true, false, dispatch.NoSlot},
		{"the caller left", context.Canceled, false, true, dispatch.NotSent},
		{"the caller left after the request was sent", context.Canceled, true, true, dispatch.NotSent},
	} {
		assert.Equal(t, reserveOutcome(c.err, c.sent, c.left), c.want, c.name)
	}
}
