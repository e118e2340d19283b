package dispatch

import (
	"math"
	"slices"
	"time"
)

// A server in need states in its answers how many requests a second it takes from all edge
// hosts together, and nothing in an answer takes the limit back. Answers of one moment may
// differ, and they arrive in any order, so the lowest statement of the last limitMemory counts.

const (
	// limitMemory is how long a statement counts beside newer ones.
	limitMemory = 1500 * time.Millisecond
	// limitEndMemory is how long the end of a limit is kept: hosts that have not heard of it
	// repeat the limit.
	limitEndMemory = 10 * time.Second
	// MaxRequestLimit is the limit from which on a server counts as unlimited, in requests
	// per second.
	MaxRequestLimit = 100_000
)

// noLimit is the rate of a server without a limit.
var noLimit = math.Inf(1)

// limitStatement is what a server stated at a moment.
type limitStatement struct {
	perSecond float64   // noLimit for an answer that states none
	at        time.Time // arrival of the answer at the edge host that got it
	own       bool      // this host got the answer
	local     bool      // a host of this data centre got it
}

// requestLimit is the limit of a server as known to this host.
type requestLimit struct {
	statements []limitStatement // in the order of their time
	noted      float64          // as of the last check for changes, 0 before the first one
	notedAny   bool             // noted is set
	limitTokens
}

// rate returns the limit in requests per second, noLimit if there is none.
func (l *requestLimit) rate(now time.Time) float64 {
	if len(l.statements) == 0 {
		return noLimit
	}
	l.forget(now)
	lowest := noLimit
	for _, st := range l.statements {
		lowest = min(lowest, st.perSecond)
	}
	return lowest
}

// forget drops the statements that newer ones have replaced, and the end of a limit that
// has been over for long.
func (l *requestLimit) forget(now time.Time) {
	newest := len(l.statements) - 1
	keep := slices.IndexFunc(l.statements, func(st limitStatement) bool { return now.Sub(st.at) < limitMemory })
	if keep < 0 {
		keep = newest
	}
	l.statements = l.statements[max(keep, 0):]
	if len(l.statements) == 1 && l.statements[0].perSecond == noLimit && now.Sub(l.statements[0].at) >= limitEndMemory {
		l.statements = nil
	}
}

// add records a statement. One with the same value and source replaces the older one.
func (l *requestLimit) add(now time.Time, st limitStatement) {
	if st.perSecond == noLimit && len(l.statements) == 0 {
		return
	}
	l.statements = slices.DeleteFunc(l.statements, func(old limitStatement) bool {
		return old.perSecond == st.perSecond && old.own == st.own && old.local == st.local && !old.at.After(st.at)
	})
	i := len(l.statements)
	for i > 0 && l.statements[i-1].at.After(st.at) {
		i--
	}
	l.statements = slices.Insert(l.statements, i, st)
	if len(l.statements) > maxLimitStatements {
		l.statements = l.statements[len(l.statements)-maxLimitStatements:]
	}
	l.forget(now)
}

// maxLimitStatements bounds the statements that are kept, for a server that states another
// limit in each answer.
const maxLimitStatements = 16

// RecordLimit records what an answer of the server process that was started at startMS says
// about its limit: the requests per second that it takes from all edge hosts together, or
// nothing (stated false). sentAt is when the answered request was sent: an answer to one
// that was sent before the limit was stated may have been made before, too.
func (d *Dispatcher) RecordLimit(now time.Time, id string, startMS int64, sentAt time.Time, perSecond float64, stated bool) {
	s := d.servers[id]
	if s == nil || s.info.StartMS != startMS {
		return
	}
	l := &s.limit
	if stated && perSecond < MaxRequestLimit {
		d.startTokens(now, s)
		l.add(now, limitStatement{perSecond: max(perSecond, 0), at: now, own: true, local: true})
		d.noteLimit(now, s)
		return
	}
	limited := slices.IndexFunc(l.statements, func(st limitStatement) bool { return st.perSecond != noLimit })
	if limited < 0 || sentAt.Before(l.statements[len(l.statements)-1].at) {
		return
	}
	l.add(now, limitStatement{perSecond: noLimit, at: now, own: true, local: true})
	d.noteLimit(now, s)
}

// LimitChange says that the limit of a server has begun, changed or ended.
type LimitChange struct {
	Server        string
	Before, After float64 // requests per second, +Inf for no limit
}

// maxLimitChanges bounds the changes that are kept until they are taken.
const maxLimitChanges = 1024

// noteLimit keeps a change for TakeLimitNews.
func (d *Dispatcher) noteLimit(now time.Time, s *server) {
	l := &s.limit
	before, after := noLimit, l.rate(now)
	if l.notedAny {
		before = l.noted
	}
	if before == after || len(d.limitChanges) >= maxLimitChanges {
		return
	}
	l.noted, l.notedAny = after, true
	d.limitChanges = append(d.limitChanges, LimitChange{Server: s.info.ID, Before: before, After: after})
}

// LimitNews is what is new about limits of servers.
type LimitNews struct {
	Changes []LimitChange // since the last call
	Held    int           // requests that a limit kept from a server since the last call
	Limited int           // servers that have a limit now
}

// TakeLimitNews returns what is new since the last call.
func (d *Dispatcher) TakeLimitNews(now time.Time) LimitNews {
	out := LimitNews{Held: d.limitHolds}
	for _, s := range d.servers {
		if len(s.limit.statements) > 0 || s.limit.notedAny {
			d.noteLimit(now, s)
		}
		if s.limit.rate(now) != noLimit {
			out.Limited++
		}
	}
	out.Changes, d.limitChanges, d.limitHolds = d.limitChanges, nil, 0
	return out
}
