package edge

import (
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/dispatch"
)

const (
	reasonRetryBudget dispatch.Reason = "the retry budget is exhausted"
	// budgetRetryAfter is the Retry-After when the budget is exhausted: by then new
	// requests have refilled part of it.
	budgetRetryAfter = 500 * time.Millisecond
	// usableBudgetShare is the fraction of the fleet's budget that all hosts may
	// spend together. The rest is a margin: each host counts requests in a window
	// that differs from that of the fleet.
	usableBudgetShare = 0.6
)

// RetryBudget bounds the retries of the whole fleet for one service in a
// sliding window. Operators set it.
type RetryBudget struct {
	Ratio float64 // retries per request for the service
	Extra float64 // additional retries, whatever the number of requests
}

// retryBudget is this host's share of the fleet's retry budget: a token bucket for
// each service, credited by each request. In any window it allows at most the
// bucket size plus the credits of the requests in the window.
type retryBudget struct {
	RetryBudget
	hosts   int                 // edge hosts that share the budget
	buckets map[string]*float64 // available retries by service
}

func newRetryBudget(b RetryBudget) retryBudget {
	return retryBudget{RetryBudget: b, hosts: 1, buckets: map[string]*float64{}}
}

// setHosts sets the number of edge hosts that share the budget, at least 1.
func (b *retryBudget) setHosts(n int) { b.hosts = max(n, 1) }

// bucketSize returns the largest number of retries that a bucket holds.
func (b *retryBudget) bucketSize() float64 { return usableBudgetShare * b.Extra / float64(b.hosts) }

// bucket returns the tokens of a service; a new bucket is full.
func (b *retryBudget) bucket(service string) *float64 {
	tokens := b.buckets[service]
	if tokens == nil {
		tokens = new(float64)
		*tokens = b.bucketSize()
		b.buckets[service] = tokens
	}
	return tokens
}

// credit adds the share of one new request to the bucket of its service.
func (b *retryBudget) credit(service string) {
	tokens := b.bucket(service)
	*tokens = min(*tokens+usableBudgetShare*b.Ratio, b.bucketSize())
}

// canSpend reports whether the budget allows another retry.
func (b *retryBudget) canSpend(service string) bool { return *b.bucket(service) >= 1 }

// spend takes the token for one retry and reports false if there is none.
func (b *retryBudget) spend(service string) bool {
	if !b.canSpend(service) {
		return false
	}
	*b.bucket(service)--
	return true
}

// refund returns the token of a retry that reached no server.
func (b *retryBudget) refund(service string) {
	tokens := b.bucket(service)
	*tokens = min(*tokens+1, b.bucketSize())
}
