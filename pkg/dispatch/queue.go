package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// enqueue lets the request wait unless it is known that it would be refused
// later.
func (d *Dispatcher) enqueue(now time.Time, r *Request, v Verdict) Verdict {
	if d.waitOf(r, v) > d.hold(now, r, v.Class) {
		return d.refuse(now, r, v, reasonOf(v.Class))
	}
	r.waiting, r.verdict = true, v
	d.queue = append(d.queue, r)
	return v
}

// waitOf predicts how long the request waits here: the work of those ahead,
// done by all engines of the service.
func (d *Dispatcher) waitOf(r *Request, v Verdict) time.Duration {
	g := d.services[r.Service]
	if g == nil || len(g.servers) == 0 || !g.servers[0].model() {
		return 0
	}
	tokens, rate := 0.0, 0.0
	for _, w := range d.queue {
		if w.Service == r.Service && w.verdict.Class <= v.Class {
			tokens += float64(w.PromptTokens)
		}
	}
	for _, s := range g.servers {
		if s.info.Ready && s.downSince.IsZero() {
			rate += s.rate
		}
	}
	if rate == 0 {
		return 0
	}
	// The other edge hosts hold as much work and get as large a part.
	return time.Duration(tokens * float64(d.edges) / rate * float64(time.Second))
}

// hold returns how long a request of the class may still wait.
func (d *Dispatcher) hold(now time.Time, r *Request, c Class) time.Duration {
	left := r.Deadline.Sub(now)
	waited := now.Sub(r.Arrived)
	switch c {
	case OnTime:
		return min(r.Objective-waited, left)
	case Late:
		return min(lateHold-waited, time.Duration(lateHoldShare*float64(left)))
	default:
		return min(time.Duration(overHoldShare*float64(r.Objective))-waited, left)
	}
}

func reasonOf(c Class) Reason {
	if c == Over {
		return ReasonShare
	}
	return ReasonLate
}

// refuse makes the final verdict on a request that has not been sent.
func (d *Dispatcher) refuse(now time.Time, r *Request, v Verdict, reason Reason) Verdict {
	v.Kind, v.Reason = Refuse, reason
	v.RetryAfter = d.returnTime(now, r, v)
	r.waiting = false
	return v
}

const (
	// turnsSpan is the pause between refusals after which turns begin anew.
	turnsSpan = window / 4
	// mostTurns callers get turns after one another; the next one shares the
	// first turn, because Retry-After has an upper bound.
	mostTurns = 16
	// longestTurn bounds the time between two turns.
	longestTurn = window / 8
)

// returnTime predicts when there is room for the request, and spreads the
// callers of one workspace over the time after that.
func (d *Dispatcher) returnTime(now time.Time, r *Request, v Verdict) time.Duration {
	u := d.shares.of(r.Workspace)
	if now.Sub(u.turnsAt) > turnsSpan {
		u.turns, u.turnsAt = 0, now
	}
	u.turns++
	base := minRetryAfter + v.Backlog
	if v.Level > 0 && v.Served > v.Level {
		// The window frees what it holds evenly.
		base += time.Duration((v.Served - v.Level) / v.Served * float64(window))
	}
	spread := time.Duration(u.turns%mostTurns) * turnTime(r, v)
	return d.pauseLeft(now, r.Service) + min(max(base+spread, minRetryAfter), maxRetryAfter)
}

// turnTime returns the pause between two callers of one workspace: the time in
// which the window frees one request, or a plain server serves one.
func turnTime(r *Request, v Verdict) time.Duration {
	if cost(r) == 0 {
		return firstLatency
	}
	return min(time.Duration(float64(window)*cost(r)/max(v.Level, cost(r))), longestTurn)
}

// Cancel withdraws a request that waits.
func (d *Dispatcher) Cancel(r *Request) {
	if !r.waiting {
		return
	}
	r.waiting = false
	d.queue = slices.DeleteFunc(d.queue, func(w *Request) bool { return w == r })
}

// Waiting returns the number of requests that wait.
func (d *Dispatcher) Waiting() int { return len(d.queue) }

// Decided is a verdict on a request that waited.
type Decided struct {
	Request *Request
	Verdict Verdict
}

// Poll decides on the requests that wait, most urgent first.
func (d *Dispatcher) Poll(now time.Time) []Decided {
	if len(d.queue) == 0 {
		return nil
	}
	order := d.ordered(now)
	most := max(pollPrices/max(len(d.servers), 1), leastScan)
	var out []Decided
	for i, r := range order {
		v := r.verdict
		if i < most || v.Class == Over {
			v = d.decide(now, r)
		}
		if v.Kind == Wait && d.hold(now, r, v.Class) <= 0 {
			v = d.refuse(now, r, v, reasonOf(v.Class))
		}
		r.verdict = v
		if v.Kind != Wait {
			r.waiting = false
			out = append(out, Decided{r, v})
		}
	}
	if len(out) > 0 {
		d.queue = slices.DeleteFunc(d.queue, func(r *Request) bool { return !r.waiting })
	}
	return out
}

// ordered returns the queue by class and time left, those of workspaces that
// got less of their share first.
func (d *Dispatcher) ordered(now time.Time) []*Request {
	level := d.level(now)
	for _, r := range d.queue {
		left := r.Arrived.Add(r.Objective).Sub(now).Seconds()
		if level > 0 {
			left += r.Objective.Seconds() / 2 * d.shares.of(r.Workspace).served.sum / level
		}
		r.order = float64(r.verdict.Class)*classStep + left
	}
	order := slices.Clone(d.queue)
	slices.SortStableFunc(order, func(a, b *Request) int { return cmp.Compare(a.order, b.order) })
	return order
}

// classStep keeps the classes apart in the order of the queue, in seconds.
const classStep = 1e6
