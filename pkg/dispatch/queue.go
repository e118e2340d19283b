package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// enqueue queues the request, or refuses it if its predicted queueing time
// exceeds the limit of its class.
func (d *Dispatcher) enqueue(now time.Time, r *Request, v Decision) Decision {
	if d.predictedQueueTime(r, v) > d.remainingWait(now, r, v.Class) {
		return d.refuse(now, r, v, refusalReason(v.Class))
	}
	r.queued, r.decision = true, v
	d.queue = append(d.queue, r)
	return v
}

// predictedQueueTime predicts the queueing time of the request: the prefill of
// the requests ahead of it by all engines of the service.
func (d *Dispatcher) predictedQueueTime(r *Request, v Decision) time.Duration {
	svc := d.services[r.Service]
	if svc == nil || len(svc.servers) == 0 || !svc.servers[0].isEngine() {
		return 0
	}
	tokens, prefillRate := 0.0, 0.0
	for _, w := range d.queue {
		if w.Service == r.Service && w.decision.Class <= v.Class {
			tokens += float64(w.PromptTokens)
		}
	}
	for _, s := range svc.servers {
		if s.info.Ready && s.downSince.IsZero() {
			prefillRate += s.prefillRate
		}
	}
	if prefillRate == 0 {
		return 0
	}
	// Assume that the other edge hosts have queues of the same length and get an
	// equal part of the engines.
	return time.Duration(tokens * float64(d.edges) / prefillRate * float64(time.Second))
}

// remainingWait returns how much longer a request of the class may be queued.
func (d *Dispatcher) remainingWait(now time.Time, r *Request, c Class) time.Duration {
	left := r.Deadline.Sub(now)
	waited := now.Sub(r.Arrived)
	switch c {
	case OnTime:
		return min(r.Objective-waited, left)
	case Late:
		return min(maxLateWait-waited, time.Duration(maxLateWaitFraction*float64(left)))
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
	v.Action, v.Reason = Refuse, reason
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
	stagger := time.Duration(u.retries%maxRetrySteps) * retryStep(r, v)
	return d.remainingBackoff(now, r.Service) + min(max(base+stagger, minRetryAfter), maxRetryAfter)
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

// Cancel removes a request from the queue.
func (d *Dispatcher) Cancel(r *Request) {
	if !r.queued {
		return
	}
	r.queued = false
	d.queue = slices.DeleteFunc(d.queue, func(w *Request) bool { return w == r })
}

// QueueLength returns the number of queued requests.
func (d *Dispatcher) QueueLength() int { return len(d.queue) }

// QueuedDecision is the decision on a queued request.
type QueuedDecision struct {
	Request  *Request
	Decision Decision
}

// Poll decides on the queued requests, most urgent first, and returns those
// that are sent or refused.
func (d *Dispatcher) Poll(now time.Time) []QueuedDecision {
	if len(d.queue) == 0 {
		return nil
	}
	sorted := d.sortedQueue(now)
	maxDecisions := max(maxPollEvaluations/max(len(d.servers), 1), minPollDecisions)
	var out []QueuedDecision
	for i, r := range sorted {
		v := r.decision
		if i < maxDecisions || v.Class == OverShare {
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

// sortedQueue returns the queue ordered by class and remaining time. Requests
// of workspaces that have used less of their fair share come first.
func (d *Dispatcher) sortedQueue(now time.Time) []*Request {
	fairShare := d.fairShare(now)
	for _, r := range d.queue {
		left := r.Arrived.Add(r.Objective).Sub(now).Seconds()
		if fairShare > 0 {
			left += r.Objective.Seconds() / 2 * d.shares.usageOf(r.Workspace).served.sum / fairShare
		}
		r.order = float64(r.decision.Class)*classSortStep + left
	}
	order := slices.Clone(d.queue)
	slices.SortStableFunc(order, func(a, b *Request) int { return cmp.Compare(a.order, b.order) })
	return order
}

// classSortStep separates the classes in the sort key of the queue, in seconds.
const classSortStep = 1e6
