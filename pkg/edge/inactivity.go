package edge

import (
	"sync"
	"time"
)

// inactivityRecheckInterval is how often an inactive request that must not be
// abandoned yet is checked again.
const inactivityRecheckInterval = 100 * time.Millisecond

// inactivityTimer abandons a request at a server that has made no progress for too
// long.
type inactivityTimer struct {
	// mayAbandon reports whether the request may be abandoned. It may be slow on a
	// busy host, and must check for unread bytes last.
	mayAbandon func() bool
	abandon    func()

	mu           sync.Mutex
	limit        time.Duration
	lastProgress time.Time // when the last event arrived, or the start
	timer        *time.Timer
}

// newInactivityTimer starts a timer. The caller must stop it.
func newInactivityTimer(limit time.Duration, mayAbandon func() bool, abandon func()) *inactivityTimer {
	w := &inactivityTimer{mayAbandon: mayAbandon, abandon: abandon, limit: limit, lastProgress: time.Now()}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(max(limit, 0), w.expire)
	return w
}

// progress records the arrival of a complete event and sets the limit for the next
// one. Single bytes are no progress.
func (w *inactivityTimer) progress(limit time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastProgress, w.limit = time.Now(), limit
	w.timer.Reset(limit)
}

func (w *inactivityTimer) stop() { w.timer.Stop() }

// expire runs when the timer fires. On a busy host that may be long after data
// arrived, so it checks the limit again.
func (w *inactivityTimer) expire() {
	if w.rearm(0) {
		return
	}
	mayAbandon := w.mayAbandon()
	if mayAbandon && !w.rearm(0) { // data may have arrived during mayAbandon
		w.abandon()
		return
	}
	if !mayAbandon {
		w.rearm(inactivityRecheckInterval)
	}
}

// rearm resets the timer to the rest of the limit, at least to minDelay, and
// reports true. If that is not positive, it reports false and leaves the timer.
func (w *inactivityTimer) rearm(minDelay time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	remaining := max(w.limit-time.Since(w.lastProgress), minDelay)
	if remaining <= 0 {
		return false
	}
	w.timer.Reset(remaining)
	return true
}
