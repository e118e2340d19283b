// Package shed implements load shedding: it decides which requests an edge host
// delays or refuses at once because its processor is overloaded. The usual cause is
// one workspace that sends many times what a host can forward. The load balancer
// sends all requests of a caller address to one host. After a refusal, the next
// attempts of most callers go to other hosts, which are nearly idle; those of some
// workspaces all come back. Without load shedding, every request at the overloaded
// host was late or lost.
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
	// smallDecreaseFactor is the factor of the admission rate between the rates that take
	// reservedShare and minReservedShare.
	smallDecreaseFactor = 0.94
	// decreasePauseTicks is the minimum number of ticks between two decreases.
	// Requests that were admitted before a decrease cause load for about that long.
	decreasePauseTicks = 3
	// admittedSmoothing is the weight of the newest tick in the moving average of
	// admitted requests. The average covers ticks in which a stalled host admits
	// nothing.
	admittedSmoothing = 0.3
	// While requests are refused or delayed, the admission rate grows per tick by
	// increaseFactor of what is missing to targetUtilisation, as if all load came from
	// admitted requests, and by maxIncrease at most: a host has its callers for 2 s
	// before the balancer moves them.
	targetUtilisation = 0.85
	increaseFactor    = 0.3
	maxIncrease       = 0.3
	// minRatePerTick is the lowest admission rate, in requests per tick. A host that
	// admits less could not detect that its overload is over.
	minRatePerTick = 5
	// reservedShare is the share of the processor that decreases leave for admitted
	// requests, unless work goes on waiting. Refusals cause load too, and refused
	// callers come back, some to the same host: a host that admits less because of that
	// load gets more of it.
	reservedShare = 0.4
	// minReservedShare is the share that is left however long work waits.
	minReservedShare = 0.18
	// refusalCost is the least work of a refusal, in admitted requests.
	refusalCost = 0.15
	// burstFraction is the fraction of a tick's requests that may arrive at once.
	burstFraction = 0.5
	// maxDelay bounds the delay of accepted requests. Hosts that a flood reaches by turns
	// work delayed requests off while another one has the callers. With longer delays, kinds
	// of requests with long objectives would crowd out the others.
	maxDelay = 200 * time.Millisecond
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
	tokens          float64 // requests that may begin now, negative while delayed ones are ahead
	refilledAt      time.Time
	admitted        float64 // requests admitted in this tick
	admittedPerTick float64 // moving average of admitted
	// begins holds the delayed requests by the tick in which they begin, the current one
	// first.
	begins          [maxDelay/TickInterval + 1]float64
	saturated       bool    // a request was refused or delayed in this tick
	refused         float64 // requests refused in this tick
	work            float64 // moving average of the work in saturated ticks, in admitted requests
	workUtilisation float64 // moving average of the utilisation in these ticks
	utilisation     float64 // moving average of the utilisation in all ticks
	pauseTicks      int     // ticks until the next decrease is allowed
	sheddingTicks   int     // saturated ticks less others, 0 to maxSheddingTicks

	requestCounts map[string]float64 // recent requests by workspace, decaying
	totalCount    float64            // sum of requestCounts
}

// New returns a Shedder that refuses nothing until the first overload.
func New() *Shedder { return &Shedder{ratePerTick: math.Inf(1), requestCounts: map[string]float64{}} }

// Tick adjusts the admission rate to the load of the processor in the last tick.
// At a load of 1 or more, work waits for the processor.
func (s *Shedder) Tick(load float64) {
	// While work waits, the processor is fully used, also if the process does not use
	// it: the kernel's work for connections is not part of its CPU time.
	utilisation := min(load, 1)
	s.pauseTicks = max(s.pauseTicks-1, 0)
	s.admitted += s.begins[0]
	copy(s.begins[:], s.begins[1:])
	s.begins[len(s.begins)-1] = 0
	s.admittedPerTick += admittedSmoothing * (s.admitted - s.admittedPerTick)
	if s.saturated {
		s.work += admittedSmoothing * (s.admitted + refusalCost*s.refused - s.work)
		s.workUtilisation += admittedSmoothing * (utilisation - s.workUtilisation)
	}
	s.utilisation += admittedSmoothing * (utilisation - s.utilisation)
	switch {
	case load >= 1 && s.pauseTicks == 0:
		s.decrease(load)
	case load < maxGrowthLoad && s.saturated:
		s.ratePerTick = max(s.ratePerTick, reservedShare*s.fullRate()) * (1 + s.increase())
	}
	if s.saturated {
		s.sheddingTicks = min(s.sheddingTicks+1, maxSheddingTicks)
	} else {
		s.sheddingTicks = max(s.sheddingTicks-1, 0)
	}
	s.admitted, s.refused, s.saturated = 0, 0, false
	s.decayCounts()
}

// increase returns the relative growth of the admission rate in a tick.
func (s *Shedder) increase() float64 {
	return min(max(increaseFactor*(targetUtilisation/s.utilisation-1), 0), maxIncrease)
}

// decrease lowers the admission rate for the load. Below the rate that takes
// reservedShare of the processor it does so in small steps.
func (s *Shedder) decrease(load float64) {
	s.pauseTicks = decreasePauseTicks
	fullRate := s.fullRate()
	small := min(s.ratePerTick, reservedShare*fullRate) * smallDecreaseFactor
	least := max(minReservedShare*fullRate, minRatePerTick)
	s.ratePerTick = max(decreaseFactor/load*min(s.ratePerTick, s.admittedPerTick), small, least)
}

// fullRate returns the admission rate that would take the whole processor if nothing were
// refused, 0 if it is not known.
func (s *Shedder) fullRate() float64 {
	if s.workUtilisation == 0 {
		return 0
	}
	return s.work / s.workUtilisation
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

// Admit counts a request and reports whether the host accepts it, and after which delay
// it may begin. While the processor is saturated, accepted requests begin one after the
// other at the admission rate. A request that would be delayed by more than delayLimit or
// maxDelay is refused. Only requests of workspaces that send at least an even share of the
// host's requests are delayed or refused, so that a flood of one workspace does not affect
// the others.
func (s *Shedder) Admit(now time.Time, workspace string, delayLimit time.Duration) (delay time.Duration, accepted bool) {
	s.requestCounts[workspace]++
	s.totalCount++
	s.refill(now)
	atLeastEvenShare := s.requestCounts[workspace]*float64(len(s.requestCounts)) >= s.totalCount
	if !atLeastEvenShare || s.tokens >= 1 {
		s.tokens = max(s.tokens-1, min(s.tokens, 0))
		s.admitted++
		return 0, true
	}
	s.saturated = true
	delay = time.Duration((1 - s.tokens) / s.ratePerTick * float64(TickInterval))
	if delay > min(delayLimit, maxDelay) {
		s.refused++
		return 0, false
	}
	s.tokens--
	s.begins[delay/TickInterval]++
	return delay, true
}

// SheddingTicks returns in how many more ticks requests were refused or delayed than not,
// from 0 to maxSheddingTicks.
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
