package dispatch

import (
	"math"
	"slices"
	"time"
)

// candidates holds the lowest-cost servers for a request: over all eligible
// servers, and over those with room for OnTime and for Late requests.
type candidates struct {
	cheapest, cheapestOnTime, cheapestLate       *server
	lowestCost, lowestOnTimeCost, lowestLateCost float64
}

// evaluateServers computes the cost of the request at every eligible server.
func (d *Dispatcher) evaluateServers(now time.Time, r *Request, svc *service) candidates {
	c := candidates{lowestCost: math.Inf(1), lowestOnTimeCost: math.Inf(1), lowestLateCost: math.Inf(1)}
	d.findPrefixHolders(now, r, svc)
	jitterSeed := d.selfHash ^ uint64(now.UnixMilli()/jitterInterval.Milliseconds())
	for _, s := range othersThanSilent(now, r, svc.serversOf(r)) {
		if !d.isEligible(now, r, s) {
			continue
		}
		s.advance(now)
		uncached, fetch := r.planPrefill(s)
		cost := d.cost(now, r, s, uncached, fetch, jitterSeed)
		if cost < c.lowestCost {
			c.cheapest, c.lowestCost = s, cost
		}
		if cost < c.lowestOnTimeCost && s.hasBacklogRoom(uncached, maxOnTimeBacklog) && (!r.leavesPlaces(s) || s.hasLateRoom(uncached)) {
			c.cheapestOnTime, c.lowestOnTimeCost = s, cost
		}
		if cost < c.lowestLateCost && s.hasLateRoom(uncached) && (!r.idleOnly || s.prefillTime(0) <= idleBacklog) {
			c.cheapestLate, c.lowestLateCost = s, cost
		}
	}
	return c
}

// cost returns the predicted time to the first event in seconds, plus weights
// for the delay and work caused to others. jitterSeed changes with each edge
// host and jitterInterval.
func (d *Dispatcher) cost(now time.Time, r *Request, s *server, uncached int, fetch fetch, jitterSeed uint64) float64 {
	if !s.isEngine() {
		return d.plainCost(now, s)
	}
	prefill := float64(uncached)
	t := s.prefillTime(0).Seconds() + (1+queueDelayWeight)*prefill/s.prefillRate + s.firstEventDelay.Seconds()
	if fetch.tokens > 0 {
		t += fetchTimeWeight * fetchTime(s, fetch).Seconds()
	}
	t += s.failurePenalty(now).Seconds()
	t += d.remoteCost(s)
	running, _ := s.load()
	t += fullBatchTime.Seconds() * float64(running) / float64(max(s.info.Slots, 1))
	t += jitterSeconds * float64(mixHash(jitterSeed, s.hash)%1024) / 1024
	// Break ties between equal servers by a hash of the last shared part, so that
	// all edge hosts choose the same server for it.
	if n := len(r.Parts); n > 0 {
		t += tieBreakSeconds * float64(mixHash(r.Parts[n-1].ID, s.hash)%1024) / 1024
	}
	return t
}

// remoteCost returns the cost in seconds of a server in another data centre.
func (d *Dispatcher) remoteCost(s *server) float64 {
	switch {
	case s.info.DataCentre == d.dataCentre:
		return 0
	case d.Summarises():
		return remoteTimeWithSummaries.Seconds()
	}
	return remoteTime.Seconds()
}

const (
	// remoteTimeWithSummaries replaces remoteTime when the load of other data
	// centres is known only from summaries, which are 200 ms old. With this cost a
	// data centre serves its own load as far as it can, and its edge hosts keep
	// connections to local engines.
	remoteTimeWithSummaries = 30 * time.Millisecond
	// fullBatchTime is the cost of an engine with a full batch. Each running
	// request slows down the decode steps of all others.
	fullBatchTime = 20 * time.Millisecond
	// tieBreakSeconds is the maximum cost of the tie-break hash, less than the
	// prefill of 1,000 tokens.
	tieBreakSeconds = 0.015
	// jitterSeconds is the maximum random cost, drawn per edge host, server and
	// jitterInterval. The load estimates of 30 other edge hosts are older than
	// their next decisions, so without jitter all of them choose the engine that
	// appears least loaded. 80 ms is the work that an engine receives while
	// digests are in transit.
	jitterSeconds  = 0.08
	jitterInterval = 50 * time.Millisecond
)

// mixHash combines two hashes.
func mixHash(a, b uint64) uint64 {
	x := a ^ b*0x9E3779B97F4A7C15
	x ^= x >> 31
	x *= 0xBF58476D1CE4E5B9
	return x ^ x>>29
}

// isEligible reports whether the server may get the request.
func (d *Dispatcher) isEligible(now time.Time, r *Request, s *server) bool {
	switch {
	case !r.fits(s) || !s.info.Ready || s.misdirected || slices.Contains(r.ExcludedServers, s.info.ID):
		return false
	case !s.downSince.IsZero() || now.Before(s.fullUntil) || now.Before(s.noSlotUntil) || s.inBackoff(now):
		return false
	}
	if !d.coldLimitAllows(now, s) {
		return false
	}
	if running, kvTokens := s.load(); s.isEngine() && !s.hasPlaceFor(r, running, kvTokens) {
		return false
	}
	if !d.limitAllows(now, s) {
		d.countHold(r)
		return false
	}
	return true
}

// hasPlaceFor reports whether the engine has a slot and memory for the request.
func (s *server) hasPlaceFor(r *Request, running, kvTokens int) bool {
	neededTokens := r.PromptTokens + r.OutputTokens
	return running < s.info.Slots && (kvTokens == 0 || float64(kvTokens+neededTokens) <= maxKVFraction*float64(s.info.KVTokens))
}

// coldLimitAllows enforces ColdRequestsPerSecond on a cold server across all
// edge hosts. Only the edge hosts of the data centre of the server may send,
// each an equal part of the rate. This needs no communication, so a partitioned
// edge host respects the limit too.
func (d *Dispatcher) coldLimitAllows(now time.Time, s *server) bool {
	if s.info.ColdRequestsPerSecond <= 0 || !d.isCold(now, s) {
		return true
	}
	if s.info.DataCentre != d.dataCentre {
		return false
	}
	hosts := len(d.localEdges)
	quota := int(s.info.ColdRequestsPerSecond) / hosts
	if quota == 0 {
		// More hosts than requests per second: the hosts with the lowest
		// names get one each.
		if slices.Index(d.localEdges, d.self) < int(s.info.ColdRequestsPerSecond) {
			quota = 1
		}
	}
	return s.hasColdRoom(now, quota)
}

// isCold reports whether the server is cold, or may have restarted while this
// host was suspended.
func (d *Dispatcher) isCold(now time.Time, s *server) bool {
	return now.Before(s.info.ColdUntil) || now.Before(d.assumeColdUntil) && s.info.Heard.Before(d.assumeColdUntil.Add(-assumeColdTime))
}
