package edge

import (
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/dispatch"
)

const (
	reasonBudget dispatch.Reason = "the budget for second sends is used up"
	// budgetRetryAfter is the time that refills the budget noticeably.
	budgetRetryAfter = 500 * time.Millisecond
	// budgetUse is the part of the fleet's budget that this host and the
	// others take together. The rest covers requests that each host counts
	// in another window than the fleet.
	budgetUse = 0.6
)

// Budget is what the operators of the platform allow for sends beyond the
// first of each request, in a sliding window over the whole fleet.
type Budget struct {
	Ratio float64 // of the requests for the service
	Extra float64 // beside the ratio
}

// budget is the part of one edge host: a bucket for each service that each
// request fills by its ratio. What is spent in any window is at most the size
// of the bucket and what the requests of the window fill in.
type budget struct {
	Budget
	hosts   int
	buckets map[string]*float64
}

func newBudget(b Budget) budget { return budget{Budget: b, hosts: 1, buckets: map[string]*float64{}} }

func (b *budget) setHosts(n int) { b.hosts = max(n, 1) }

func (b *budget) size() float64 { return budgetUse * b.Extra / float64(b.hosts) }

func (b *budget) of(service string) *float64 {
	v := b.buckets[service]
	if v == nil {
		v = new(float64)
		*v = b.size()
		b.buckets[service] = v
	}
	return v
}

// request counts a first send.
func (b *budget) request(service string) {
	v := b.of(service)
	*v = min(*v+budgetUse*b.Ratio, b.size())
}

// has reports whether a second send can be spent.
func (b *budget) has(service string) bool { return *b.of(service) >= 1 }

// take spends one second send.
func (b *budget) take(service string) bool {
	if !b.has(service) {
		return false
	}
	*b.of(service)--
	return true
}
