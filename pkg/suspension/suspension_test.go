package suspension

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a suspension that is not noticed: by the first call after it, and by later ones
// once the ticker has looked at the clock.
func TestSuspensionIsNoticed(t *testing.T) {
	for name, ticks := range map[string]int{"before the ticker": 0, "after it": 3} {
		t.Run(name, func(t *testing.T) {
			now := time.Hour
			w := newWatch(func() time.Duration { return now })
			for range 20 {
				now += checkInterval + threshold // late, not a suspension
				assert.Equal(t, w.WasSuspended(time.Second), false)
			}
			now += checkInterval + threshold + time.Millisecond
			for range ticks {
				w.check()
				now += checkInterval
			}
			assert.Equal(t, w.WasSuspended(time.Second), true)
			for range 20 {
				now += checkInterval
				w.check()
			}
			assert.Equal(t, w.WasSuspended(time.Second), false)
			assert.Equal(t, w.WasSuspended(time.Minute), true)
		})
	}
}

// Guards against a clock that does not count.
func TestBootTimeCounts(t *testing.T) {
	assert.Assert(t, BootTime() > 0)
}
