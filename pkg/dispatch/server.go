package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// initialProbeDelay is the time from a failed connection to the first health
	// check, unless the server announces itself first. Each further failure
	// doubles the interval, up to maxProbeDelay.
	initialProbeDelay = 300 * time.Millisecond
	maxProbeDelay     = 4 * time.Second
	// failureGain is the weight of the newest outcome in the failure rate of a
	// server. The rate halves every failureHalfLife without requests.
	failureGain     = 0.15
	failureHalfLife = 1500 * time.Millisecond
	// maxFailurePenalty is the cost of a server that fails all requests.
	maxFailurePenalty = 900 * time.Millisecond
	// negligibleFailureRate is the failure rate below which the rate is set to 0.
	negligibleFailureRate = 0.001
	// toleratedFailureRate is the failure rate without a cost.
	toleratedFailureRate = 0.08
	// fullBackoff is how long no requests are sent to a server that did not
	// execute one, for example because it was full.
	fullBackoff = 40 * time.Millisecond
	// coldWindow is the window in which requests to a cold server are counted: one
	// second plus network jitter.
	coldWindow = 1100 * time.Millisecond
	// defaultLatency is the initial answer time of a plain server.
	defaultLatency = 30 * time.Millisecond
	// latencyGain is the weight of the newest answer time. The difference to the
	// mean of the service halves every latencyHalfLife without requests.
	latencyGain       = 0.15
	latencyHalfLife   = 2 * time.Second
	restartRateFactor = 0.6 // relative to the known prefill rate, for an engine that has just restarted
)

// peerLoad is the load that another edge host puts on a server.
type peerLoad struct {
	sentTokens    int64 // cumulative
	running       int
	kvTokens      int
	limitSent     int64 // requests under a limit, cumulative
	outcomeCounts outcomeCounts
	local         bool      // the host belongs to this data centre
	silentAt      time.Time // last digest, if it says that the server is silent
}

// server is the state of a backend server as known to this edge host.
type server struct {
	info   ServerInfo
	hash   uint64
	scarce bool // few ready servers of the service are of its release
	prefillModel
	cachedParts  cachedParts
	cachedTokens int // cached prefix of the prompt that is being decided on

	running    int // requests of this edge host
	kvTokens   int
	sentTokens int64 // cumulative, less those of cancelled requests
	sentLoad   loadTotals
	peers      map[string]*peerLoad
	// peerRunning and peerKVTokens are sums over all active peers. localPeers
	// holds the part of this data centre, with the cumulative tokens that its
	// hosts sent.
	peerRunning    int
	peerKVTokens   int
	localPeers     peerLoad
	lastSummarised loadTotals

	failureRate   float64
	failureRateAt time.Time
	outcomeCounts outcomeCounts // of this edge host
	latency       time.Duration // estimated answer time of a plain server
	latencyAt     time.Time
	fullUntil     time.Time
	// noSlotUntil is the end of the backoff after a failed slot reservation.
	noSlotUntil time.Time
	// backoffUntil is the end of the backoff that the server asked for.
	backoffUntil time.Time

	heardAt    time.Time // last event or answer that this edge host got from the server
	healthyAt  time.Time // last health check that succeeded
	busySince  time.Time // start of the requests of this edge host without a gap
	silentAt   time.Time // last check that found the server silent
	wasAvoided bool      // as of the last check of silence
	// toldSilentAt is the latest silentAt of peers.
	toldSilentAt time.Time

	limit requestLimit

	connectTimeouts int       // consecutive connection attempts that timed out
	downSince       time.Time // zero if the server is up
	downUntil       time.Time // end of the backoff; health checks follow nextProbeAt
	downCount       int       // consecutive transitions to down and failed health checks
	misdirected     bool      // another server answered at its address
	endedAt         time.Time // when the announced process was found to have ended, zero if it was not
	otherAt         time.Time // when another process answered on a connection, zero if none did
	nextProbeAt     time.Time

	coldSentAt []time.Time // times of the requests in coldWindow
}

// hashOf returns the hash that identifies a server, host or data centre.
func hashOf(name string) uint64 { return xxhash.Sum64String(name) }

func newServer(info ServerInfo, now time.Time) *server {
	return &server{
		info: info, hash: hashOf(info.ID), prefillModel: newPrefillModel(now), cachedParts: newCached(),
		peers: map[string]*peerLoad{}, latency: defaultLatency, latencyAt: now,
	}
}

// isEngine reports whether the server is a model engine rather than a plain
// server.
func (s *server) isEngine() bool { return s.info.KVTokens > 0 }

// update applies a newer announcement.
func (s *server) update(info ServerInfo, now time.Time) {
	if info.StartMS != s.info.StartMS || info.Address != s.info.Address || info.Release != s.info.Release {
		s.resetState(now)
	}
	s.refuteEnd(info.Heard)
	if info.Heard.After(s.downSince) && !s.downSince.IsZero() {
		s.markUp()
	}
	s.info = info
}

// resetState discards the state of an earlier start of the server.
func (s *server) resetState(now time.Time) {
	s.cachedParts = newCached()
	s.backlogTokens, s.updatedAt = 0, now
	s.prefillRate = max(s.prefillRate*restartRateFactor, minPrefillRate)
	s.failureRate, s.downCount = 0, 0
	s.downSince, s.misdirected, s.endedAt, s.otherAt = time.Time{}, false, time.Time{}, time.Time{}
	s.backoffUntil = time.Time{}
	s.limit.reset()
}

// markUp makes a server that was down available again. downCount is kept until
// a request succeeds.
func (s *server) markUp() {
	s.downSince = time.Time{}
	s.misdirected = false
}

// markDown makes the server unavailable after a failed connection.
func (s *server) markDown(now time.Time) {
	if s.downSince.IsZero() {
		s.downCount++
		s.nextProbeAt = now.Add(initialProbeDelay)
	}
	s.downCount = max(s.downCount, 1) // a success may have reset it since the last failure
	s.downSince = now
	s.downUntil = now.Add(min(initialProbeDelay<<min(s.downCount-1, 8), maxProbeDelay))
}

// load returns the running requests and the KV cache tokens that they occupy,
// summed over all edge hosts.
func (s *server) load() (running, kvTokens int) {
	return s.running + s.peerRunning, s.kvTokens + s.peerKVTokens
}

// setPeerLoad updates the load of another edge host and the sums over all of
// them.
func (s *server) setPeerLoad(p *peerLoad, running, kvTokens int) {
	s.peerRunning += running - p.running
	s.peerKVTokens += kvTokens - p.kvTokens
	if p.local {
		s.localPeers.running += running - p.running
		s.localPeers.kvTokens += kvTokens - p.kvTokens
	}
	p.running, p.kvTokens = running, kvTokens
}

// outcomeCounts holds the cumulative counts of requests that failed and
// succeeded at a server.
type outcomeCounts struct{ failed, good uint32 }

const (
	// peerOutcomeWeight is the weight of an outcome at another edge host relative
	// to a local one. The network path of that host may be the cause of a failure.
	peerOutcomeWeight = 0.5
	// maxPeerOutcomes bounds the failures, and the successes, that are applied per
	// digest.
	maxPeerOutcomes = 6
)

// applyPeerOutcomes updates the failure rate from outcomes at other edge hosts.
// It is used only in large fleets (see Summarises). There each host sends few
// requests to a server, and a server that resets all connections immediately
// appears idle. In a small fleet each host soon detects this by itself. With
// the outcomes of others, its requests would also avoid servers that fail only
// occasionally, and their cached parts would be prefilled again elsewhere.
func (s *server) applyPeerOutcomes(now time.Time, added outcomeCounts) {
	for range min(added.good, maxPeerOutcomes) {
		s.decayFailureRate(now)
		s.failureRate -= failureGain * peerOutcomeWeight * s.failureRate
	}
	for range min(added.failed, maxPeerOutcomes) {
		s.recordFailure(now, peerOutcomeWeight)
	}
}

// recordFailure counts a failure with the given weight in the failure rate.
func (s *server) recordFailure(now time.Time, weight float64) {
	s.decayFailureRate(now)
	s.failureRate += failureGain * weight * (1 - s.failureRate)
}

// recordSuccess counts a success in the failure rate and ends the series of
// connection failures.
func (s *server) recordSuccess(now time.Time) {
	s.decayFailureRate(now)
	s.failureRate -= failureGain * s.failureRate
	s.downCount, s.connectTimeouts = 0, 0
}

// decayFailureRate applies the decay of the failure rate up to now.
func (s *server) decayFailureRate(now time.Time) {
	if s.failureRate < negligibleFailureRate {
		s.failureRate, s.failureRateAt = 0, now
		return
	}
	if elapsed := now.Sub(s.failureRateAt); elapsed > 0 {
		s.failureRate *= math.Exp2(-float64(elapsed) / float64(failureHalfLife))
	}
	s.failureRateAt = now
}

// failurePenalty returns the cost of the server due to its failure rate.
func (s *server) failurePenalty(now time.Time) time.Duration {
	s.decayFailureRate(now)
	return time.Duration(max(s.failureRate-toleratedFailureRate, 0) * float64(maxFailurePenalty))
}

// recordLatency updates the estimated answer time of a plain server.
func (s *server) recordLatency(now time.Time, measured time.Duration, running int) {
	if running >= s.info.Slots {
		measured = measured * time.Duration(s.info.Slots) / time.Duration(running+1)
	}
	s.latency += time.Duration(latencyGain * float64(measured-s.latency))
	s.latencyAt = now
}

// expectedLatency returns the expected answer time of a plain server. Without
// requests it decays to the mean of the service, so that a server that was slow
// is tried again.
func (s *server) expectedLatency(now time.Time, mean time.Duration) time.Duration {
	weight := math.Exp2(-float64(now.Sub(s.latencyAt)) / float64(latencyHalfLife))
	return mean + time.Duration(weight*float64(s.latency-mean))
}

// hasColdRoom reports whether this edge host may send another request to a cold
// server within its quota.
func (s *server) hasColdRoom(now time.Time, quota int) bool {
	s.coldSentAt = slices.DeleteFunc(s.coldSentAt, func(t time.Time) bool { return now.Sub(t) >= coldWindow })
	return len(s.coldSentAt) < quota
}

// cacheCapacity returns the KV cache tokens in which prompt parts are assumed
// to stay cached. It includes the prompts of running requests.
func (s *server) cacheCapacity() int { return int(cacheFraction * float64(s.info.KVTokens)) }

// Probe identifies a server that is due for a health check.
type Probe struct {
	Server  string
	Address string
	Service string
}

// DueProbes returns the servers that are due for a health check. Only servers
// that are down and have not announced themselves since, or that are avoided, are
// checked, because health checks add load.
func (d *Dispatcher) DueProbes(now time.Time) []Probe {
	var out []Probe
	for _, s := range d.servers {
		isDown := !s.downSince.IsZero()
		if !isDown && !s.needsSign(now) || s.misdirected || !s.info.Ready || now.Before(s.nextProbeAt) || s.inBackoff(now) {
			continue
		}
		interval := maxProbeDelay
		if isDown {
			interval = min(initialProbeDelay<<min(s.downCount, 8), maxProbeDelay)
		}
		s.nextProbeAt = now.Add(interval)
		out = append(out, Probe{Server: s.info.ID, Address: s.info.Address, Service: s.info.Service})
	}
	return out
}

// RecordProbe records the result of a health check of a server that is down or
// avoided. coldFor is how much longer the server is cold.
func (d *Dispatcher) RecordProbe(now time.Time, id string, healthy bool, coldFor time.Duration) {
	s := d.servers[id]
	if s == nil || s.downSince.IsZero() && !s.isAvoided(now) {
		return
	}
	if !healthy {
		if !s.downSince.IsZero() {
			s.downCount++
		}
		return
	}
	s.healthyAt = now
	s.markUp()
	if until := now.Add(coldFor); until.After(s.info.ColdUntil) {
		s.info.ColdUntil = until
	}
}
