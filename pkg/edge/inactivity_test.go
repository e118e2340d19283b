package edge

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func alwaysTrue() bool { return true }

// Guards against abandoning a stream whose events arrive in time: on a busy host
// the timer fired before the first event was read, and the request was reported
// as LOST on a large deployment.
func TestLateTimerDoesNotAbandonActiveStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var abandonCount atomic.Int32
		w := newInactivityTimer(750*time.Millisecond, alwaysTrue, func() { abandonCount.Add(1) })
		defer w.stop()
		time.Sleep(700 * time.Millisecond)
		w.progress(time.Second)
		w.expire() // the timer had fired before, but its goroutine runs only now
		time.Sleep(950 * time.Millisecond)
		assert.Equal(t, abandonCount.Load(), int32(0))
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, abandonCount.Load(), int32(1))
	})
}

// Guards against abandoning a stream with unread bytes on a host that was too busy
// to read them within the timeout.
func TestUnreadBytesPreventAbandoning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var abandonCount atomic.Int32
		var unread atomic.Bool
		w := newInactivityTimer(750*time.Millisecond, func() bool { return !unread.Load() }, func() { abandonCount.Add(1) })
		defer w.stop()
		w.timer.Stop() // no goroutine runs for 2 s, and data arrives
		unread.Store(true)
		time.Sleep(2 * time.Second)
		w.expire()
		time.Sleep(inactivityRecheckInterval / 2)
		assert.Equal(t, abandonCount.Load(), int32(0))
		unread.Store(false) // the data is read
		w.progress(time.Second)
		time.Sleep(950 * time.Millisecond)
		assert.Equal(t, abandonCount.Load(), int32(0))
	})
}

// Guards against abandoning a stream whose first event arrives while mayAbandon
// runs, which takes long on a busy host.
func TestProgressDuringMayAbandonResetsTimer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var abandonCount atomic.Int32
		var watch atomic.Pointer[inactivityTimer]
		calls := 0
		w := newInactivityTimer(750*time.Millisecond, func() bool {
			if calls++; calls == 1 {
				watch.Load().progress(time.Second)
			}
			return true
		}, func() { abandonCount.Add(1) })
		watch.Store(w)
		defer w.stop()
		time.Sleep(1700 * time.Millisecond)
		assert.Equal(t, abandonCount.Load(), int32(0))
	})
}

// Guards against an inactivity timeout that is longer or shorter than set, and
// against abandoning a request while mayAbandon reports false.
func TestInactivityTimeoutIsExact(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		startedAt := time.Now()
		var abandonedAfter atomic.Int64
		var mayAbandon atomic.Bool
		w := newInactivityTimer(750*time.Millisecond, mayAbandon.Load, func() { abandonedAfter.Store(int64(time.Since(startedAt))) })
		defer w.stop()
		time.Sleep(time.Second)
		assert.Equal(t, abandonedAfter.Load(), int64(0))
		mayAbandon.Store(true)
		time.Sleep(inactivityRecheckInterval)
		after := time.Duration(abandonedAfter.Load())
		assert.Assert(t, after >= time.Second && after <= time.Second+inactivityRecheckInterval, "%v", after)
	})
	synctest.Test(t, func(t *testing.T) {
		startedAt := time.Now()
		var abandonedAfter atomic.Int64
		w := newInactivityTimer(750*time.Millisecond, alwaysTrue, func() { abandonedAfter.Store(int64(time.Since(startedAt))) })
		defer w.stop()
		time.Sleep(time.Second)
		assert.Equal(t, time.Duration(abandonedAfter.Load()), 750*time.Millisecond)
	})
}

// Guards against abandoning a sound server while this host waits for a slow caller
// to take the last events.
func TestTimeOfSlowCallerDoesNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var abandonCount atomic.Int32
		w := newInactivityTimer(time.Second, alwaysTrue, func() { abandonCount.Add(1) })
		assert.Assert(t, w.progress(time.Second))
		w.pause()
		time.Sleep(5 * time.Second)
		assert.Equal(t, abandonCount.Load(), int32(0))
		w.resume()
		time.Sleep(950 * time.Millisecond)
		assert.Equal(t, abandonCount.Load(), int32(0))
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, abandonCount.Load(), int32(1))
		assert.Assert(t, !w.progress(time.Second), "events after that come from another server")
		assert.Assert(t, w.stop())
	})
}

// Guards against two servers that both send events of a stream: the first one goes on
// while the second has just begun.
func TestProgressKeepsFirstServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var kept, abandoned atomic.Int32
		var timer atomic.Pointer[inactivityTimer]
		w := startInactivityTimer(time.Second, &inactivityTimer{
			mayAbandon: func() bool { return timer.Load().progress(time.Minute) },
			keep:       func() { kept.Add(1) },
			abandon:    func() { abandoned.Add(1) },
		})
		timer.Store(w)
		time.Sleep(2 * time.Second)
		assert.Equal(t, kept.Load(), int32(1))
		assert.Equal(t, abandoned.Load(), int32(0))
		assert.Assert(t, !w.stop())
	})
}
