package dispatch

import (
	"math"
	"slices"
	"time"
)

// buckets is the number of buckets in shareWindow.
const (
	buckets    = 16
	bucketTime = shareWindow / buckets
	// shareInterval is the interval between updates of the fair share.
	shareInterval = 50 * time.Millisecond
	// peerCapacityGain is the fraction of the difference to the mean capacity
	// estimate of the other edge hosts that is corrected in one shareInterval, so
	// that all edge hosts converge to the same fair share.
	peerCapacityGain = 0.15
	// targetPressure is the target of the capacity control loop for the median
	// backlog of the engines. At this backlog short requests with objectives of
	// 300 ms stay on time.
	targetPressure = 80 * time.Millisecond
	// lowPressure is the median backlog up to which a workspace may exceed its
	// fair share by lowPressureFactor, until the capacity estimate has grown. The
	// factor keeps the largest workspace from taking all of the idle capacity.
	lowPressure       = 30 * time.Millisecond
	lowPressureFactor = 1.5
	// maxStepUp and maxStepDown bound the relative change of the capacity in one
	// shareInterval: it halves within a second under high pressure and doubles in
	// a second without pressure.
	maxStepUp   = 0.035
	maxStepDown = 0.035
	// maxCatchUpSteps bounds the steps of one update. After a long interval, the
	// current pressure does not describe the time since the last update.
	maxCatchUpSteps = 10
	// minCapacityFactor bounds the capacity relative to the stated rate,
	// maxCapacityFactor relative to the larger of the stated rate and the service
	// rate in shareWindow.
	minCapacityFactor = 0.2
	maxCapacityFactor = 2
	// outputWeight is the cost of a generated token relative to a prompt token.
	outputWeight = 2
)

// serviceTokens returns the cost of a request in service tokens: prompt tokens
// plus weighted output tokens.
func serviceTokens(r *Request) float64 { return float64(r.PromptTokens + outputWeight*r.OutputTokens) }

// slidingSum is a sum over shareWindow.
type slidingSum struct {
	bucketSums [buckets]float64
	newest     int64 // number of the newest bucket
	sum        float64
}

// advance makes bucket the newest one and drops those that left the window.
func (s *slidingSum) advance(bucket int64) {
	if bucket-s.newest >= buckets {
		*s = slidingSum{newest: bucket}
		return
	}
	for s.newest < bucket {
		s.newest++
		i := s.newest % buckets
		s.sum -= s.bucketSums[i]
		s.bucketSums[i] = 0
	}
}

func (s *slidingSum) add(bucket int64, v float64) {
	s.advance(bucket)
	s.bucketSums[bucket%buckets] += v
	s.sum += v
}

// workspaceUsage holds the demand and the served service tokens of a workspace,
// over shareWindow and in total.
type workspaceUsage struct {
	demand, served                   slidingSum
	ahead                            slidingSum  // take-ups that this edge host sent ahead of new streams
	totalDemand, totalServed         float64     // totals of this edge host
	sentTotals                       usageTotals // totals in the last digest
	localPeerDemand, localPeerServed float64     // totals of the other edge hosts of this data centre
	lastSummarised                   usageTotals // totals in the last summary
	retries                          int         // refusals since retriesSince, used to stagger Retry-After
	retriesSince                     time.Time
}

// usageTotals holds the cumulative usage of a workspace as sent to other edge
// hosts.
type usageTotals struct{ demand, served float64 }

// shares holds the usage of all workspaces and computes their max-min fair
// share.
type shares struct {
	start         time.Time
	usage         map[string]*workspaceUsage
	statedRate    float64 // service tokens per second of all engines, 0 if not stated
	readyFraction float64 // fraction of the engines that are ready
	limits        limitedEngines
	// capacity is the estimated service rate of the engines in service tokens per
	// second. It differs from statedRate by the effect of cached prompt parts,
	// failures and slow engines.
	capacity     float64
	peerCapacity float64       // mean capacity estimate of the other edge hosts, 0 if unknown
	pressure     time.Duration // median backlog or slot pressure of the engines
	fairShare    float64       // service tokens per workspace in shareWindow, 0 for no limit
	updatedAt    time.Time
}

func newShares(now time.Time) shares {
	return shares{start: now, usage: map[string]*workspaceUsage{}, readyFraction: 1}
}

// bucket returns the number of the bucket for a time.
func (s *shares) bucket(now time.Time) int64 { return int64(now.Sub(s.start)/bucketTime) + buckets }

// usageOf returns the usage of a workspace and creates it if necessary.
func (s *shares) usageOf(workspace string) *workspaceUsage {
	u := s.usage[workspace]
	if u == nil {
		u = &workspaceUsage{}
		s.usage[workspace] = u
	}
	return u
}

func (s *shares) recordDemand(now time.Time, workspace string, tokens float64) {
	u := s.usageOf(workspace)
	u.demand.add(s.bucket(now), tokens)
	u.totalDemand += tokens
}

func (s *shares) recordServed(now time.Time, workspace string, tokens float64) {
	u := s.usageOf(workspace)
	u.served.add(s.bucket(now), tokens)
	u.totalServed += tokens
}

// withinShare reports whether a request of the given cost in service tokens
// keeps the workspace within its fair share.
func (s *shares) withinShare(now time.Time, workspace string, tokens float64) bool {
	fairShare := s.updateFairShare(now)
	if fairShare == 0 {
		return true
	}
	u := s.usageOf(workspace)
	u.served.advance(s.bucket(now))
	if s.pressure <= lowPressure {
		fairShare *= lowPressureFactor
	}
	// Count only half of the request, so that a workspace with large requests gets
	// its share on average.
	return u.served.sum+tokens/2 <= fairShare
}

// updateFairShare recomputes the fair share if shareInterval has passed, and
// returns it.
func (s *shares) updateFairShare(now time.Time) float64 {
	if now.Sub(s.updatedAt) < shareInterval {
		return s.fairShare
	}
	steps := min(now.Sub(s.updatedAt).Seconds()/shareInterval.Seconds(), maxCatchUpSteps)
	s.updatedAt = now
	bucket := s.bucket(now)
	demand := make([]float64, 0, len(s.usage))
	served := 0.0
	for name, u := range s.usage {
		u.demand.advance(bucket)
		u.served.advance(bucket)
		if u.demand.sum == 0 && u.served.sum == 0 && u.totalDemand == 0 && u.localPeerDemand == 0 {
			delete(s.usage, name) // idle, and known only from other edge hosts
			continue
		}
		demand = append(demand, u.demand.sum)
		served += u.served.sum
	}
	s.adjustCapacity(served/shareWindow.Seconds(), steps)
	s.fairShare = maxMinShare(demand, s.capacity*shareWindow.Seconds())
	return s.fairShare
}

// adjustCapacity moves the capacity so that the median backlog of the engines
// stays at targetPressure. steps is the time since the last call in units of
// shareInterval: edge hosts that update rarely must not slow down the others,
// which average with them.
func (s *shares) adjustCapacity(served, steps float64) {
	if s.statedRate <= 0 {
		s.capacity = 0 // without a stated rate there is no limit
		return
	}
	deviation := float64(targetPressure-s.pressure) / float64(targetPressure)
	s.capacity *= math.Pow(1+min(max(deviation*maxStepUp, -maxStepDown), maxStepUp), steps)
	if s.peerCapacity > 0 {
		s.capacity += (1 - math.Pow(1-peerCapacityGain, steps)) * (s.peerCapacity - s.capacity)
	}
	stated := s.statedRate * s.readyFraction
	most := s.limits.capacity(maxCapacityFactor * max(stated, served))
	s.capacity = min(max(s.capacity, min(minCapacityFactor*stated, minCapacityFactor*most)), most)
}

// maxMinShare returns the max-min fair share: the limit at which the demands,
// each capped at it, add up to the capacity. It returns 0 if all demands fit.
func maxMinShare(demands []float64, capacity float64) float64 {
	if capacity <= 0 {
		return 0
	}
	slices.Sort(demands)
	left := capacity
	for i, demand := range demands {
		if equalShare := left / float64(len(demands)-i); demand > equalShare {
			return equalShare
		}
		left -= demand
	}
	return 0
}
