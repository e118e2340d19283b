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
	// keep is called if the request makes progress after mayAbandon has reported
	// true. It may be nil.
	keep func()

	mu           sync.Mutex
	limit        time.Duration
	lastProgress time.Time // when the last event arrived, or the start
	timer        *time.Timer
	paused       bool
	abandoned    bool
	stopped      bool
}

// newInactivityTimer starts a timer. The caller must stop it.
func newInactivityTimer(limit time.Duration, mayAbandon func() bool, abandon func()) *inactivityTimer {
	return startInactivityTimer(limit, &inactivityTimer{mayAbandon: mayAbandon, abandon: abandon})
}

// startInactivityTimer starts a timer with the functions of w.
func startInactivityTimer(limit time.Duration, w *inactivityTimer) *inactivityTimer {
	w.limit, w.lastProgress = limit, time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(max(limit, 0), w.expire)
	return w
}

// progress records the arrival of a complete event and sets the limit for the next
// one. Single bytes are no progress. It reports false if the request was abandoned
// before; then another server sends the event.
func (w *inactivityTimer) progress(limit time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.abandoned {
		return false
	}
	w.lastProgress, w.limit = time.Now(), limit
	w.timer.Reset(limit)
	return true
}

// pause sets whether the timer leaves out the time until resume, in which this host
// does not wait for the server.
func (w *inactivityTimer) pause() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.paused = true
}

// resume ends pause. The limit starts anew.
func (w *inactivityTimer) resume() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.paused, w.lastProgress = false, time.Now()
	w.timer.Reset(w.limit)
}

// stop ends the timer and reports whether the request was abandoned.
func (w *inactivityTimer) stop() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
	return w.abandoned
}

// expire runs when the timer fires. On a busy host that may be long after data
// arrived, so it checks the limit again.
func (w *inactivityTimer) expire() {
	if w.rearm(0) {
		return
	}
	switch mayAbandon := w.mayAbandon(); {
	case !mayAbandon:
		w.rearm(inactivityRecheckInterval)
	case w.tryAbandon():
		w.abandon()
	case w.keep != nil: // data arrived during mayAbandon
		w.keep()
	}
}

// tryAbandon marks the request as abandoned, unless it has made progress or ended.
func (w *inactivityTimer) tryAbandon() bool {
	if w.rearm(0) {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.abandoned = !w.stopped && !w.paused && time.Since(w.lastProgress) >= w.limit
	return w.abandoned
}

// rearm resets the timer to the rest of the limit, at least to minDelay, and
// reports true. If that is not positive, it reports false and leaves the timer.
func (w *inactivityTimer) rearm(minDelay time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	remaining := max(w.limit-time.Since(w.lastProgress), minDelay)
	if w.paused {
		remaining = max(remaining, inactivityRecheckInterval)
	}
	if w.stopped {
		return true
	}
	if remaining <= 0 {
		return false
	}
	w.timer.Reset(remaining)
	return true
}
