package edge

import (
	"maps"
	"sync"
	"time"
)

const (
	// patienceMemory is how long the longest patience of a route counts. Callers
	// change it with a release; first attempts come many times in that time.
	patienceMemory = 20 * time.Second
	// firstShare is the least part of that patience that a first attempt states:
	// callers of one route differ by 15 percent, and a hundredth is lost on the
	// way.
	firstShare = 0.84
)

// ages tells since when a caller has been trying. A caller that was refused
// comes back with what is left of its patience, and its objective still counts
// from its first attempt. The zero value is ready to use.
type ages struct {
	mu     sync.Mutex
	routes map[string]*longestPatience
}

// longestPatience of a route, over a time that is renewed in halves.
type longestPatience struct {
	most, next time.Duration
	since      time.Time
}

// of returns the least age of the first attempt of a request that states its
// patience, 0 if it is a first attempt or if that cannot be told.
func (a *ages) of(now time.Time, route string, patience time.Duration) time.Duration {
	if patience <= 0 {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	l := a.routes[route]
	if l == nil {
		l = &longestPatience{since: now}
		a.add(now, route, l)
	}
	return max(time.Duration(firstShare*float64(l.note(now, patience)))-patience, 0)
}

// add forgets routes without requests: configurations rename them.
func (a *ages) add(now time.Time, route string, l *longestPatience) {
	if a.routes == nil {
		a.routes = map[string]*longestPatience{}
	}
	maps.DeleteFunc(a.routes, func(_ string, old *longestPatience) bool { return now.Sub(old.since) > patienceMemory })
	a.routes[route] = l
}

// note takes the patience of a request and returns the longest.
func (l *longestPatience) note(now time.Time, patience time.Duration) time.Duration {
	if now.Sub(l.since) > patienceMemory/2 {
		l.most, l.next, l.since = l.next, 0, now
	}
	l.next = max(l.next, patience)
	l.most = max(l.most, patience)
	return l.most
}
