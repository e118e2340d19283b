package edge

import (
	"maps"
	"sync"
	"time"
)

const (
	// callerTimeoutWindow is how long a caller timeout counts towards the longest
	// of its route. Releases of the callers change their timeouts. Many first
	// attempts arrive within the window.
	callerTimeoutWindow = 20 * time.Second
	// firstAttemptShare is the smallest fraction of the longest caller timeout that
	// a first attempt states: timeouts of the callers of one route differ by up to
	// 15 percent, and network latency takes 1 percent.
	firstAttemptShare = 0.84
)

// attemptAges estimates how long ago the first attempt of a request was made. A
// refused caller retries with the rest of its timeout, and the latency objective
// still counts from its first attempt. The zero value is ready to use.
type attemptAges struct {
	mu     sync.Mutex
	routes map[string]*longestTimeout
}

// longestTimeout is the longest caller timeout of a route in a sliding window of
// two halves.
type longestTimeout struct {
	longest, nextLongest time.Duration
	windowStart          time.Time
}

// estimate returns the minimum time since the first attempt of a request with the
// given timeout. It returns 0 for a first attempt and if the request states no
// timeout.
func (a *attemptAges) estimate(now time.Time, route string, callerTimeout time.Duration) time.Duration {
	if callerTimeout <= 0 {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	l := a.routes[route]
	if l == nil {
		l = &longestTimeout{windowStart: now}
		a.addRoute(now, route, l)
	}
	return max(time.Duration(firstAttemptShare*float64(l.observe(now, callerTimeout)))-callerTimeout, 0)
}

// addRoute adds a route and removes those without requests in the window, since
// configurations may rename routes.
func (a *attemptAges) addRoute(now time.Time, route string, l *longestTimeout) {
	if a.routes == nil {
		a.routes = map[string]*longestTimeout{}
	}
	maps.DeleteFunc(a.routes, func(_ string, old *longestTimeout) bool { return now.Sub(old.windowStart) > callerTimeoutWindow })
	a.routes[route] = l
}

// observe records the timeout of a request and returns the longest in the window.
func (l *longestTimeout) observe(now time.Time, callerTimeout time.Duration) time.Duration {
	if now.Sub(l.windowStart) > callerTimeoutWindow/2 {
		l.longest, l.nextLongest, l.windowStart = l.nextLongest, 0, now
	}
	l.nextLongest = max(l.nextLongest, callerTimeout)
	l.longest = max(l.longest, callerTimeout)
	return l.longest
}
