package edge

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func yes() bool { return true }

// Guards against a stream that is cut although its events come: the timer had
// fired on a busy host before the first event was read (LOST on a grown
// deployment).
func TestBytesThatCameInTimeAreNoSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var given atomic.Int32
		w := newSilenceWatch(750*time.Millisecond, yes, func() { given.Add(1) })
		defer w.stop()
		time.Sleep(700 * time.Millisecond)
		w.progress(time.Second)
		w.expire() // its goroutine gets its turn only now
		time.Sleep(950 * time.Millisecond)
		assert.Equal(t, given.Load(), int32(0))
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, given.Load(), int32(1))
	})
}

// Guards against a host that was busy for longer than the silence may last,
// and gives up although bytes wait to be read.
func TestReaderGetsItsTurnBeforeTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var given atomic.Int32
		var unread atomic.Bool
		w := newSilenceWatch(750*time.Millisecond, func() bool { return !unread.Load() }, func() { given.Add(1) })
		defer w.stop()
		w.timer.Stop() // nothing runs for 2 s, and bytes come
		unread.Store(true)
		time.Sleep(2 * time.Second)
		w.expire()
		time.Sleep(silenceRecheck / 2)
		assert.Equal(t, given.Load(), int32(0))
		unread.Store(false) // the reader gets them
		w.progress(time.Second)
		time.Sleep(950 * time.Millisecond)
		assert.Equal(t, given.Load(), int32(0))
	})
}

// Guards against a stream that is cut because the leave to give it up takes
// long on a busy host and its first event comes meanwhile.
func TestBytesThatComeDuringTheLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var given atomic.Int32
		var watch atomic.Pointer[silenceWatch]
		asked := 0
		w := newSilenceWatch(750*time.Millisecond, func() bool {
			if asked++; asked == 1 {
				watch.Load().progress(time.Second)
			}
			return true
		}, func() { given.Add(1) })
		watch.Store(w)
		defer w.stop()
		time.Sleep(1700 * time.Millisecond)
		assert.Equal(t, given.Load(), int32(0))
	})
}

// Guards against a silence that lasts longer or shorter than stated, and a
// request that is given up without leave.
func TestSilenceEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		var ended atomic.Int64
		var leave atomic.Bool
		w := newSilenceWatch(750*time.Millisecond, leave.Load, func() { ended.Store(int64(time.Since(begun))) })
		defer w.stop()
		time.Sleep(time.Second)
		assert.Equal(t, ended.Load(), int64(0))
		leave.Store(true)
		time.Sleep(silenceRecheck)
		after := time.Duration(ended.Load())
		assert.Assert(t, after >= time.Second && after <= time.Second+silenceRecheck, "%v", after)
	})
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		var ended atomic.Int64
		w := newSilenceWatch(750*time.Millisecond, yes, func() { ended.Store(int64(time.Since(begun))) })
		defer w.stop()
		time.Sleep(time.Second)
		assert.Equal(t, time.Duration(ended.Load()), 750*time.Millisecond)
	})
}
