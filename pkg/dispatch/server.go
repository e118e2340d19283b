package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// firstDown is how long a server stays down after a failed connection if
	// it says nothing; each further failure doubles it up to maxDown.
	firstDown = 300 * time.Millisecond
	maxDown   = 4 * time.Second
	// failGain is the weight of the newest outcome in the failure rate of a
	// server, and failHalf the time in which the rate halves without work.
	failGain = 0.15
	failHalf = 1500 * time.Millisecond
	// failPenalty is added to the predicted time of a server that fails all
	// its requests.
	failPenalty = 900 * time.Millisecond
	// noFail is the rate below which a server counts as without failures.
	noFail = 0.001
	// failFree is the failure rate that costs nothing.
	failFree = 0.08
	// fullPause is how long a server gets nothing after it said it was full.
	fullPause = 40 * time.Millisecond
	// coldWindow is the span over which requests to a cold server are
	// counted: a second and the jitter of links.
	coldWindow = 1100 * time.Millisecond
	// firstLatency is the answer time of a plain server that is not known.
	firstLatency = 30 * time.Millisecond
	// latencyGain is the weight of the newest answer time, and latencyHalf
	// the time in which a difference to the mean halves without work.
	latencyGain = 0.15
	latencyHalf = 2 * time.Second
	restartRate = 0.6 // of the known rate, for an engine that has just started
)

// peerLoad is what another edge host has at a server.
type peerLoad struct {
	tokens  int64 // cumulative
	running int
	kv      int
	ends    ends
	local   bool // a host of this data centre
}

// server is one backend server as this edge host sees it.
type server struct {
	info ServerInfo
	hash uint64
	engine
	kept  kept
	keeps int // tokens of the prompt that is being decided on

	running int // requests of this edge host
	kv      int
	tokens  int64 // sent, cumulative, less cancelled ones
	told    loadMark
	peers   map[string]*peerLoad
	// peerRunning and peerKV are the sums over peers that are heard, and those
	// of near the part of this data centre, with all tokens that it sent.
	peerRunning int
	peerKV      int
	near        peerLoad
	nearTold    loadMark

	fail      float64
	failAt    time.Time
	ends      ends          // at this edge host
	latency   time.Duration // of a plain server
	latencyAt time.Time
	fullUntil time.Time
	// noSlotUntil ends the pause after a slot could not be reserved.
	noSlotUntil time.Time
	// pausedUntil ends the time in which the server wants nothing from this
	// edge host.
	pausedUntil time.Time

	heard time.Time // when it last sent an event or an answer to this edge host

	timeouts  int       // connection attempts in a row without any answer
	downSince time.Time // zero if not down
	downUntil time.Time // after which it is tried again
	downs     int       // in a row
	wrong     bool      // another server answered at its address
	probeAt   time.Time

	coldSent []time.Time // requests in the cold window
}

func hashOf(name string) uint64 { return xxhash.Sum64String(name) }

func newServer(info ServerInfo, now time.Time) *server {
	return &server{
		info: info, hash: hashOf(info.ID), engine: newEngine(now), kept: newKept(),
		peers: map[string]*peerLoad{}, latency: firstLatency, latencyAt: now,
	}
}

func (s *server) model() bool { return s.info.KVTokens > 0 }

// update takes a newer announcement.
func (s *server) update(info ServerInfo, now time.Time) {
	if info.BornMS != s.info.BornMS || info.Address != s.info.Address {
		s.restart(now)
	}
	if info.Heard.After(s.downSince) && !s.downSince.IsZero() {
		s.comeBack()
	}
	s.info = info
}

// restart forgets what belongs to an earlier start of the server.
func (s *server) restart(now time.Time) {
	s.kept = newKept()
	s.backlog, s.at = 0, now
	s.rate = max(s.rate*restartRate, minRate)
	s.fail, s.downs = 0, 0
	s.downSince, s.wrong = time.Time{}, false
	s.pausedUntil = time.Time{}
}

// comeBack makes a server that was down usable. The count of failures in a row
// stays until a request succeeds.
func (s *server) comeBack() {
	s.downSince = time.Time{}
	s.wrong = false
}

// down takes the server out after a failed connection.
func (s *server) down(now time.Time) {
	if s.downSince.IsZero() {
		s.downs++
		s.probeAt = now.Add(firstDown)
	}
	s.downs = max(s.downs, 1) // a success may have come after the last failure
	s.downSince = now
	s.downUntil = now.Add(min(firstDown<<min(s.downs-1, 8), maxDown))
}

// load returns the requests and the memory of running requests over all edge
// hosts.
func (s *server) load() (running, kv int) {
	return s.running + s.peerRunning, s.kv + s.peerKV
}

// setPeer replaces the load of another edge host in the sums.
func (s *server) setPeer(p *peerLoad, running, kv int) {
	s.peerRunning += running - p.running
	s.peerKV += kv - p.kv
	if p.local {
		s.near.running += running - p.running
		s.near.kv += kv - p.kv
	}
	p.running, p.kv = running, kv
}

// ends counts requests that have ended at a server.
type ends struct{ failed, good uint32 }

const (
	// sharedWeight is the weight of an outcome at another edge host against one
	// here: its path to the server may be what fails.
	sharedWeight = 0.5
	// mostShared bounds the outcomes of one digest that count.
	mostShared = 6
)

// takeEnds learns from what other edge hosts met at the server. Each host of a
// large fleet sends it few requests, and one that resets all of them at once
// seems to have nothing to do. In a small fleet each host soon knows by itself;
// there the outcomes of others keep work from servers that fail only now and
// then, and their kept parts are read again elsewhere.
func (s *server) takeEnds(now time.Time, more ends) {
	for range min(more.good, mostShared) {
		s.decayFail(now)
		s.fail -= failGain * sharedWeight * s.fail
	}
	for range min(more.failed, mostShared) {
		s.failure(now, sharedWeight)
	}
}

func (s *server) failure(now time.Time, weight float64) {
	s.decayFail(now)
	s.fail += failGain * weight * (1 - s.fail)
}

func (s *server) success(now time.Time) {
	s.decayFail(now)
	s.fail -= failGain * s.fail
	s.downs, s.timeouts = 0, 0
}

func (s *server) decayFail(now time.Time) {
	if s.fail < noFail {
		s.fail, s.failAt = 0, now
		return
	}
	if elapsed := now.Sub(s.failAt); elapsed > 0 {
		s.fail *= math.Exp2(-float64(elapsed) / float64(failHalf))
	}
	s.failAt = now
}

// penalty is the predicted time that failures add.
func (s *server) penalty(now time.Time) time.Duration {
	s.decayFail(now)
	return time.Duration(max(s.fail-failFree, 0) * float64(failPenalty))
}

// answered learns the answer time of a plain server.
func (s *server) answered(now time.Time, took time.Duration, ahead int) {
	if ahead >= s.info.Slots {
		took = took * time.Duration(s.info.Slots) / time.Duration(ahead+1)
	}
	s.latency += time.Duration(latencyGain * float64(took-s.latency))
	s.latencyAt = now
}

// expected returns the answer time of a plain server; without work it tends to
// the mean of its service, so that a server that was slow is tried again.
func (s *server) expected(now time.Time, mean time.Duration) time.Duration {
	half := math.Exp2(-float64(now.Sub(s.latencyAt)) / float64(latencyHalf))
	return mean + time.Duration(half*float64(s.latency-mean))
}

// coldRoom reports whether a cold server may get a request of this edge host.
func (s *server) coldRoom(now time.Time, quota int) bool {
	s.coldSent = slices.DeleteFunc(s.coldSent, func(t time.Time) bool { return now.Sub(t) >= coldWindow })
	return len(s.coldSent) < quota
}

// keptCapacity is the memory in which prompt parts are assumed to stay. The
// prompts of running requests are part of it.
func (s *server) keptCapacity() int { return int(keptUse * float64(s.info.KVTokens)) }

// Probe is a health check that is due.
type Probe struct {
	Server  string
	Address string
	Service string
}

// Probes returns the health checks that are due: only of servers that are down
// and have not announced themselves since, because checks are work for them.
func (d *Dispatcher) Probes(now time.Time) []Probe {
	var out []Probe
	for _, s := range d.servers {
		if s.downSince.IsZero() || s.wrong || !s.info.Ready || now.Before(s.probeAt) || s.paused(now) {
			continue
		}
		s.probeAt = now.Add(min(firstDown<<min(s.downs, 8), maxDown))
		out = append(out, Probe{Server: s.info.ID, Address: s.info.Address, Service: s.info.Service})
	}
	return out
}

// Probed takes the answer to a health check of a server that is down.
func (d *Dispatcher) Probed(now time.Time, id string, healthy bool, coldFor time.Duration) {
	s := d.servers[id]
	if s == nil || s.downSince.IsZero() {
		return
	}
	if !healthy {
		s.downs++
		return
	}
	s.comeBack()
	if until := now.Add(coldFor); until.After(s.info.ColdUntil) {
		s.info.ColdUntil = until
	}
}
