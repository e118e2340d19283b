package streamrecord

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a stream that is taken up again and again and counts as the first one each
// time, and against memory that grows with the names that callers use.
func TestRepeatedTakeUpIsNotTheFirst(t *testing.T) {
	const window = 16 * time.Second
	now := time.Unix(0, 0)
	takeUps := NewTakeUps(3, window)
	key := func(n int) Key { return KeyOf("w", "r", fmt.Sprint(n)) }
	assert.Assert(t, takeUps.Add(now, key(0)))
	for _, after := range []time.Duration{0, time.Second, window - 1} {
		assert.Assert(t, !takeUps.Add(now.Add(after), key(0)), "after %s", after)
	}
	now = now.Add(window)
	for i := range 3 {
		assert.Assert(t, takeUps.Add(now, key(i)), "stream %d", i)
	}
	assert.Assert(t, !takeUps.Add(now, key(3)), "too many to know")
	assert.Equal(t, len(takeUps.recent), 3)
	assert.Equal(t, len(takeUps.known), 3)
	assert.Assert(t, takeUps.Add(now.Add(window), key(3)))
	assert.Equal(t, len(takeUps.known), 1)
	takeUps.Remove(key(3))
	takeUps.Remove(key(3))
	assert.Equal(t, len(takeUps.recent)+len(takeUps.known), 0)
	assert.Assert(t, takeUps.Add(now.Add(window), key(3)), "its take-up was not sent")
}
