// Package shed implements load shedding: it decides which requests an edge host
// refuses at once because its processor is overloaded. The usual cause is one
// caller address that sends many times what a host can forward. The load
// balancer sends all requests of an address to one host, and only after a refusal
// does the caller's next attempt go to another host, which is nearly idle. Without
// load shedding, every request at the overloaded host was late or lost.
//
// The package reads no clock and does no input or output: the time and the load
// are arguments.
package shed

import (
	"math"
	"time"
)

const (
	// TickInterval is the time between calls of Tick. A flood is refused after
	// a few ticks, before requests have waited for an objective of 150 ms.
	TickInterval = 100 * time.Millisecond
	// maxGrowthLoad is the load from which the admission rate does not grow. The
	// rest of the processor is left for running streams.
	maxGrowthLoad = 0.9
	// decreaseFactor is the factor of the admission rate at a load of 1; a higher
	// load divides it.
	decreaseFactor = 0.9
	// decreasePauseTicks is the minimum number of ticks between two decreases.
	// Requests that were admitted before a decrease cause load for about that long.
	decreasePauseTicks = 3
	// admittedSmoothing is the weight of the newest tick in the moving average of
	// admitted requests. The average covers ticks in which a stalled host admits
	// nothing.
	admittedSmoothing = 0.3
	// increaseFactor is the relative growth of the admission rate per tick and unit
	// of load below maxGrowthLoad, while requests are refused. The rate grows slowly
	// near maxGrowthLoad and recovers from minRatePerTick in a few seconds.
	increaseFactor = 0.15
	// minRatePerTick is the lowest admission rate, in requests per tick. A host that
	// admits less could not detect that its overload is over.
	minRatePerTick = 5
	// burstFraction is the fraction of a tick's requests that may arrive at once.
	burstFraction = 0.5
	// countDecay is the factor of the request counts per tick, so that they cover
	// about the last half second.
	countDecay = 0.8
	// maxSheddingTicks bounds the time that SheddingTicks covers.
	maxSheddingTicks = 10
	// minCount is the request count below which a workspace is no longer active.
	minCount = 0.05
)

// Shedder is the load shedder of one host: a token bucket whose rate follows the
// load of the processor. It is not safe for concurrent use.
type Shedder struct {
	ratePerTick     float64 // admission rate, infinite before the first overload
	tokens          float64 // requests that may be admitted now
	refilledAt      time.Time
	admitted        float64 // requests admitted in this tick
	admittedPerTick float64 // moving average of admitted
	refused         bool    // a request was refused in this tick
	pauseTicks      int     // ticks until the next decrease is allowed
	sheddingTicks   int     // ticks with refusals less those without, 0 to maxSheddingTicks

	requestCounts map[string]float64 // recent requests by workspace, decaying
	totalCount    float64            // sum of requestCounts
}

// New returns a Shedder that refuses nothing until the first overload.
func New() *Shedder { return &Shedder{ratePerTick: math.Inf(1), requestCounts: map[string]float64{}} }

// Tick adjusts the admission rate to the load of the processor in the last tick.
// At a load of 1 or more, work waits for the processor.
func (s *Shedder) Tick(load float64) {
	s.pauseTicks = max(s.pauseTicks-1, 0)
	s.admittedPerTick += admittedSmoothing * (s.admitted - s.admittedPerTick)
	switch {
	case load >= 1 && s.pauseTicks == 0:
		s.ratePerTick = max(decreaseFactor/load*min(s.ratePerTick, s.admittedPerTick), minRatePerTick)
		s.pauseTicks = decreasePauseTicks
	case load < maxGrowthLoad && s.refused:
		s.ratePerTick *= 1 + increaseFactor*(maxGrowthLoad-load)
	}
	if s.refused {
		s.sheddingTicks = min(s.sheddingTicks+1, maxSheddingTicks)
	} else {
		s.sheddingTicks = max(s.sheddingTicks-1, 0)
	}
	s.admitted, s.refused = 0, false
	s.decayCounts()
}

// decayCounts applies one tick of decay to the request counts and deletes
// workspaces that are no longer active.
func (s *Shedder) decayCounts() {
	s.totalCount = 0
	for workspace, count := range s.requestCounts {
		if count *= countDecay; count < minCount {
			delete(s.requestCounts, workspace)
			continue
		}
		s.requestCounts[workspace] = count
		s.totalCount += count
	}
}

// ShouldRefuse counts a request and reports whether the host must refuse it.
// Only requests of workspaces that send at least an even share of the host's
// requests are refused, so that a flood of one workspace does not affect the
// others.
func (s *Shedder) ShouldRefuse(now time.Time, workspace string) bool {
	s.requestCounts[workspace]++
	s.totalCount++
	s.refill(now)
	atLeastEvenShare := s.requestCounts[workspace]*float64(len(s.requestCounts)) >= s.totalCount
	if atLeastEvenShare && s.tokens < 1 {
		s.refused = true
		return true
	}
	s.tokens = max(s.tokens-1, 0)
	s.admitted++
	return false
}

// SheddingTicks returns in how many more ticks requests were refused than not, from 0 to
// maxSheddingTicks.
func (s *Shedder) SheddingTicks() int { return s.sheddingTicks }

// refill adds the tokens since the last refill, up to the burst.
func (s *Shedder) refill(now time.Time) {
	ticks := now.Sub(s.refilledAt).Seconds() / TickInterval.Seconds()
	s.refilledAt = now
	s.tokens = min(s.tokens+ticks*s.ratePerTick, max(burstFraction*s.ratePerTick, 1))
	if math.IsInf(s.ratePerTick, 1) {
		s.tokens = s.ratePerTick
	}
}

// AdmissionRate returns the admission rate in requests per second, infinite
// before the first overload.
func (s *Shedder) AdmissionRate() float64 { return s.ratePerTick / TickInterval.Seconds() }
