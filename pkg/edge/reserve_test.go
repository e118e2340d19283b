package edge

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/dispatch"
)

// Guards against calls for a slot on a host whose link is used up: each took
// 200 ms, and sound servers counted as down after two of them.
func TestSlowCallsForASlotAreLeftOut(t *testing.T) {
	var c callTime
	now := start
	for range 20 {
		assert.Assert(t, !c.slow(now))
		c.add(now, 3*time.Millisecond)
	}
	c.add(now, reserveTimeout)
	assert.Assert(t, c.slow(now))
	now = now.Add(retryCalls)
	assert.Assert(t, !c.slow(now), "one call tries again")
	assert.Assert(t, c.slow(now))
	for range 10 {
		c.add(now, 3*time.Millisecond)
	}
	assert.Assert(t, !c.slow(now))
}

// Guards against a sound server that counts as down because a caller left, or
// this host was busy, during the call for a slot.
func TestOutcomeOfACallForASlot(t *testing.T) {
	refused := errors.New("connection refused")
	for _, c := range []struct {
		name       string
		err        error
		sent, left bool
		want       dispatch.Outcome
	}{
		{"refused", refused, false, false, dispatch.ConnectFailed},
		{"no connection in time", context.DeadlineExceeded, false, false, dispatch.ConnectTimeout},
		{"no answer in time", context.DeadlineExceeded, true, false, dispatch.NoSlot},
		{"broken off by the server", refused, true, false, dispatch.NoSlot},
		{"the caller left", context.Canceled, false, true, dispatch.Unused},
		{"the caller left later", context.Canceled, true, true, dispatch.Unused},
	} {
		assert.Equal(t, outcomeOfCall(c.err, c.sent, c.left), c.want, c.name)
	}
}
