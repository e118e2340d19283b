package edge

import (
	"sync"
	"time"
)

// silenceRecheck is how often a request that was silent for too long, but may
// not be given up yet, is looked at again.
const silenceRecheck = 100 * time.Millisecond

// silenceWatch gives a request up that its server has left without a byte for
// too long.
type silenceWatch struct {
	// allowed says whether the request may be given up. It takes time on a busy
	// host and looks last for bytes that wait to be read.
	allowed func() bool
	giveUp  func()

	mu    sync.Mutex
	limit time.Duration
	heard time.Time // when the last event came, or the begin
	timer *time.Timer
}

// newSilenceWatch begins to wait for the first byte. The caller stops it.
func newSilenceWatch(limit time.Duration, allowed func() bool, giveUp func()) *silenceWatch {
	w := &silenceWatch{allowed: allowed, giveUp: giveUp, limit: limit, heard: time.Now()}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(max(limit, 0), w.expire)
	return w
}

// progress notes that a whole event came, and how long the next one may take. A
// byte now and then is none.
func (w *silenceWatch) progress(limit time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.heard, w.limit = time.Now(), limit
	w.timer.Reset(limit)
}

func (w *silenceWatch) stop() { w.timer.Stop() }

// expire runs when the timer fires, which may be long after bytes came.
func (w *silenceWatch) expire() {
	if w.waits(0) {
		return
	}
	allowed := w.allowed()
	if allowed && !w.waits(0) { // bytes may have come meanwhile
		w.giveUp()
		return
	}
	if !allowed {
		w.waits(silenceRecheck)
	}
}

// waits sets the timer if the server still has time, at least the given one,
// and reports whether it has.
func (w *silenceWatch) waits(least time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	left := max(w.limit-time.Since(w.heard), least)
	if left <= 0 {
		return false
	}
	w.timer.Reset(left)
	return true
}
