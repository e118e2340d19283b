package edge

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
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
