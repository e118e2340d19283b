package edge

import (
	"sync"
	"time"
)

// silenceRecheck is the last part of the time that a server may say nothing.
// On a busy host its bytes may have come and wait to be read; the reader gets
// this time.
const silenceRecheck = 100 * time.Millisecond

// silenceWatch gives a request up that its server has left without a byte for
// too long.
type silenceWatch struct {
	allowed func() bool // whether the request may be given up
	giveUp  func()

	mu      sync.Mutex
	limit   time.Duration
	heard   time.Time // when bytes came last, or the begin
	checked bool      // the reader had its time since then
	timer   *time.Timer
}

// newSilenceWatch begins to wait for the first byte. The caller stops it.
func newSilenceWatch(limit time.Duration, allowed func() bool, giveUp func()) *silenceWatch {
	w := &silenceWatch{allowed: allowed, giveUp: giveUp, limit: limit, heard: time.Now()}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(max(limit-silenceRecheck, 0), w.expire)
	return w
}

// bytes notes that bytes came, and how long the next ones may take.
func (w *silenceWatch) bytes(limit time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.heard, w.limit, w.checked = time.Now(), limit, false
	w.timer.Reset(max(limit-silenceRecheck, 0))
}

func (w *silenceWatch) stop() { w.timer.Stop() }

// expire runs when the timer fires, which may be long after bytes came.
func (w *silenceWatch) expire() {
	if w.waits() {
		return
	}
	if !w.allowed() {
		w.again(silenceRecheck)
		return
	}
	if w.waits() { // bytes came while this goroutine waited for the leave
		return
	}
	w.giveUp()
}

// waits reports whether the server still has time, and sets the timer.
func (w *silenceWatch) waits() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	left := w.limit - time.Since(w.heard)
	switch {
	case left > silenceRecheck:
		w.timer.Reset(left - silenceRecheck)
	case !w.checked:
		w.checked = true
		w.timer.Reset(silenceRecheck)
	default:
		return false
	}
	return true
}

func (w *silenceWatch) again(after time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Reset(after)
}
