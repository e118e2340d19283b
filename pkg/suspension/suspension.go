// Package suspension notices that a process stood still: it was suspended, or its machine was.
// What reached its sockets meanwhile may be long out of date.
package suspension

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// checkInterval is the time between two readings of the clock.
	checkInterval = 50 * time.Millisecond
	// threshold is how late a reading is after a suspension. It is above the delays of a busy
	// machine and below the time after which operators turn to another host.
	threshold = 400 * time.Millisecond
)

// Watch tells when the process last stood still. It is safe for concurrent use.
type Watch struct {
	clock   func() time.Duration
	checked atomic.Int64 // last reading of the clock, in ns
	ended   atomic.Int64 // end of the last suspension, in ns, 0 if there was none
}

// NewWatch returns a Watch that reads the clock, usually BootTime, until ctx ends.
func NewWatch(ctx context.Context, clock func() time.Duration) *Watch {
	w := newWatch(clock)
	go w.run(ctx)
	return w
}

func newWatch(clock func() time.Duration) *Watch {
	w := &Watch{clock: clock}
	w.checked.Store(int64(clock()))
	return w
}

func (w *Watch) run(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			w.check()
		}
	}
}

// check reads the clock and returns the time.
func (w *Watch) check() (now time.Duration) {
	now = w.clock()
	before := time.Duration(w.checked.Swap(int64(now)))
	if now-before > checkInterval+threshold {
		w.ended.Store(int64(now))
	}
	return now
}

// WasSuspended reports whether a suspension ended within the given time.
func (w *Watch) WasSuspended(within time.Duration) bool {
	now := w.check() // a call can come before the ticker
	ended := time.Duration(w.ended.Load())
	return ended != 0 && now-ended < within
}

// BootTime returns the time since the machine booted. Unlike the monotonic clock it includes
// the time for which the machine was suspended.
func BootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0 // not reached: Linux has CLOCK_BOOTTIME since 2.6.39
	}
	return time.Duration(t.Nano())
}
