package dispatch

import (
	"cmp"
	"slices"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/release"
)

// enqueue queues the request, or refuses it if its predicted queueing time
// exceeds the limit of its class.
func (d *Dispatcher) enqueue(now time.Time, r *Request, v Decision) Decision {
	if d.predictedQueueTime(now, r, v) > d.remainingWait(now, r, v.Class) {
		return d.refuse(now, r, v, refusalReason(v.Class))
	}
	r.queued, r.decision = true, v
	d.countAhead(now, r)
	d.queue = append(d.queue, r)
	return v
}

// predictedQueueTime predicts the queueing time of the request: the prefill of
// the requests ahead of it by all engines that it may use, as far as their limits allow.
func (d *Dispatcher) predictedQueueTime(now time.Time, r *Request, v Decision) time.Duration {
	svc := d.services[r.Service]
	if svc == nil || len(svc.servers) == 0 {
		return 0
	}
	if !svc.servers[0].isEngine() {
		return d.limitedQueueTime(now, r, svc)
	}
	prefillRate, totalRate := d.readyPrefillRate(now, svc, svc.serversLeft(r)), d.readyPrefillRate(now, svc, svc.servers)
	if prefillRate == 0 {
		return 0
	}
	seconds := 0.0
	for _, w := range d.queue {
		switch {
		case w.idleOnly && !r.idleOnly:
		case w.Service != r.Service || !svc.delays(w, r) || r.ahead && !w.ahead && !svc.isScarce(w.Release):
		case w.decision.Class > v.Class && (r.ahead || !w.ahead):
		case w.Release == release.Unknown:
			seconds += float64(w.PromptTokens) / totalRate
		default:
			seconds += float64(w.PromptTokens) / prefillRate
		}
	}
	if r.ahead { // streams that broke come back at few hosts, not at all of them alike
		return time.Duration(seconds * float64(time.Second))
	}
	// Assume that the other edge hosts have queues of the same length and get an
	// equal part of the engines.
	return time.Duration(seconds * float64(d.edges) * float64(time.Second))
}

// readyPrefillRate returns the prefill rate of those servers of the service that are up, in
// tokens per second. An engine that limits its requests prefills no more than these need.
func (d *Dispatcher) readyPrefillRate(now time.Time, svc *service, servers []*server) (tokensPerSecond float64) {
	for _, s := range servers {
		if !s.info.Ready || !s.downSince.IsZero() {
			continue
		}
		rate := s.prefillRate
		if limit := s.limit.rate(now); limit != noLimit {
			rate = min(rate, max(limit, minLimitRate)*max(svc.meanPrompt, 1))
		}
		tokensPerSecond += rate
	}
	return tokensPerSecond
}

// remainingWait returns how much longer a request of the class may be queued.
func (d *Dispatcher) remainingWait(now time.Time, r *Request, c Class) time.Duration {
	left := r.Deadline.Sub(now)
	waited := now.Sub(r.waitsSince())
	switch c {
	case OnTime:
		return min(r.Objective-waited, left)
	case Late:
		limit := min(maxLateWait-waited, time.Duration(maxLateWaitFraction*float64(left)))
		if r.ahead { // as long as a new stream
			limit = max(limit, min(r.Objective-waited, left))
		}
		return limit
	default:
		return min(time.Duration(maxOverShareWaitFraction*float64(r.Objective))-waited, left)
	}
}

// refusalReason returns the reason for refusing a queued request of the class.
func refusalReason(c Class) Reason {
	if c == OverShare {
		return ReasonOverShare
	}
	return ReasonLate
}

// refuse makes the final decision on a request that has not been sent.
func (d *Dispatcher) refuse(now time.Time, r *Request, v Decision, reason Reason) Decision {
	v.Action, v.Reason = Refuse, d.releaseReason(r, reason)
	v.RetryAfter = d.retryAfter(now, r, v)
	r.queued = false
	return v
}

const (
	// retryResetTime is the age of the first counted refusal after which
	// staggering starts over.
	retryResetTime = shareWindow / 4
	// maxRetrySteps is the number of refusals that get increasing Retry-After
	// values. The next one starts over, because Retry-After is bounded.
	maxRetrySteps = 16
	// maxRetryStep bounds the time between two staggered retries.
	maxRetryStep = shareWindow / 8
)

// retryAfter predicts when there is room for the request, and staggers the
// retries of one workspace after that time.
func (d *Dispatcher) retryAfter(now time.Time, r *Request, v Decision) time.Duration {
	u := d.shares.usageOf(r.Workspace)
	if now.Sub(u.retriesSince) > retryResetTime {
		u.retries, u.retriesSince = 0, now
	}
	u.retries++
	base := minRetryAfter + v.BacklogTime
	if v.FairShare > 0 && v.ServedTokens > v.FairShare {
		// Usage leaves shareWindow at an even rate.
		base += time.Duration((v.ServedTokens - v.FairShare) / v.ServedTokens * float64(shareWindow))
	}
	step := retryStep(r, v)
	if svc := d.services[r.Service]; svc != nil {
		base = max(base, d.limitedQueueTime(now, r, svc))
		if perSecond, limited := d.limitedRate(now, r, svc); limited {
			step = max(step, time.Duration(min(1/max(perSecond, minLimitRate), maxRetryStep.Seconds())*float64(time.Second)))
		}
	}
	stagger := time.Duration(u.retries%maxRetrySteps) * step
	return d.remainingBackoff(now, r) + min(max(base+stagger, minRetryAfter), maxRetryAfter)
}

// retryStep returns the time between two retries of a workspace: the time in
// which shareWindow frees the tokens of one request, or in which a plain server
// serves one.
func retryStep(r *Request, v Decision) time.Duration {
	if serviceTokens(r) == 0 {
		return defaultLatency
	}
	return min(time.Duration(float64(shareWindow)*serviceTokens(r)/max(v.FairShare, serviceTokens(r))), maxRetryStep)
}

// mayDisplace reports whether a request that continues a stream may have the place of a queued
// new one: of any one if it goes ahead, which is bounded, otherwise of one that is beyond its
// share or of its own workspace.
func (r *Request) mayDisplace(w *Request) bool {
	return r.continues() && !w.continues() && (r.ahead || w.decision.Class == OverShare || w.Workspace == r.Workspace)
}

// displaceFor refuses the queued request of the least urgent class that came last and that
// r may displace. The next Poll returns it.
func (d *Dispatcher) displaceFor(now time.Time, r *Request) {
	last := -1
	for i, w := range d.queue {
		if r.mayDisplace(w) && (last < 0 || w.decision.Class >= d.queue[last].decision.Class) {
			last = i
		}
	}
	w := d.queue[last]
	d.queue = slices.Delete(d.queue, last, last+1)
	d.displaced = append(d.displaced, QueuedDecision{w, d.refuse(now, w, w.decision, ReasonQueueFull)})
}

// Cancel removes a request from the queue.
func (d *Dispatcher) Cancel(r *Request) {
	d.displaced = slices.DeleteFunc(d.displaced, func(q QueuedDecision) bool { return q.Request == r })
	if !r.queued {
		return
	}
	r.queued = false
	d.queue = slices.DeleteFunc(d.queue, func(w *Request) bool { return w == r })
}

// QueueLength returns the number of requests whose decision a later Poll returns.
func (d *Dispatcher) QueueLength() int { return len(d.queue) + len(d.displaced) }

// QueuedDecision is the decision on a queued request.
type QueuedDecision struct {
	Request  *Request
	Decision Decision
}

// Poll decides on the queued requests, most urgent first, and returns those
// that are sent or refused.
func (d *Dispatcher) Poll(now time.Time) []QueuedDecision {
	out := d.displaced
	d.displaced = nil
	if len(d.queue) == 0 {
		return out
	}
	sorted := d.sortedQueue(now)
	seen := map[release.ID]int{} // requests by the release that they need: those that wait for one do not hold up the others
	for _, r := range sorted {
		v := r.decision
		if seen[r.Release]++; seen[r.Release] <= d.maxDecisions(r) || v.Class == OverShare || d.isReleaseGone(r) {
			v = d.decide(now, r)
		}
		if v.Action == Wait && d.remainingWait(now, r, v.Class) <= 0 {
			v = d.refuse(now, r, v, refusalReason(v.Class))
		}
		r.decision = v
		if v.Action != Wait {
			r.queued = false
			out = append(out, QueuedDecision{r, v})
		}
	}
	if len(out) > 0 {
		d.queue = slices.DeleteFunc(d.queue, func(r *Request) bool { return !r.queued })
	}
	return out
}

// maxDecisions returns how many queued requests that need the same release as r a Poll
// decides on.
func (d *Dispatcher) maxDecisions(r *Request) int {
	servers := len(d.servers)
	if svc := d.services[r.Service]; svc != nil && r.Release != release.Unknown {
		servers = len(svc.serversOf(r))
	}
	return max(maxPollEvaluations/max(servers, 1), minPollDecisions)
}

// sortedQueue returns the queue ordered by class and remaining time. Requests
// of workspaces that have used less of their fair share come first, and before them
// take-ups and other streams whose release has few servers. Take-ups that wait for an idle
// engine come last, before what is beyond its share.
func (d *Dispatcher) sortedQueue(now time.Time) []*Request {
	fairShare := d.fairShare(now)
	for _, r := range d.queue {
		left := r.Arrived.Add(r.Objective).Sub(now).Seconds()
		if fairShare > 0 {
			left += r.Objective.Seconds() / 2 * d.shares.usageOf(r.Workspace).served.sum / fairShare
		}
		r.order = float64(r.decision.Class)*classSortStep + left
		switch {
		case r.idleOnly:
			r.order += classSortStep / 2
		case r.ahead || d.needsScarceRelease(r):
			r.order -= scarceAdvance
		}
	}
	order := slices.Clone(d.queue)
	slices.SortStableFunc(order, func(a, b *Request) int { return cmp.Compare(a.order, b.order) })
	return order
}

// classSortStep separates the classes in the sort key of the queue, in seconds.
const classSortStep = 1e6

// scarceAdvance puts Late take-ups, and Late streams whose release has few servers, ahead
// of OnTime requests.
const scarceAdvance = 2 * classSortStep
