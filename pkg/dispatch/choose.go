package dispatch

import (
	"math"
	"slices"
	"time"
)

// found holds the cheapest engines for a request: of all, and of those with
// room for work that is on time or late.
type found struct {
	any, onTime, late                *server
	anyPrice, onTimePrice, latePrice float64
}

// scan prices the request at every engine that may take it, once.
func (d *Dispatcher) scan(now time.Time, r *Request, g *service) found {
	f := found{anyPrice: math.Inf(1), onTimePrice: math.Inf(1), latePrice: math.Inf(1)}
	d.findHolders(now, r, g)
	chance := d.hash ^ uint64(now.UnixMilli()/spreadTime.Milliseconds())
	for _, s := range g.servers {
		if !d.mayTake(now, r, s) {
			continue
		}
		s.advance(now)
		left, fetch := r.toRead(s)
		price := d.price(now, r, s, left, fetch, chance)
		if price < f.anyPrice {
			f.any, f.anyPrice = s, price
		}
		if price < f.onTimePrice && s.hasRoom(left, onTimeBacklog) {
			f.onTime, f.onTimePrice = s, price
		}
		if price < f.latePrice && s.hasRoom(left, lateBacklog) && s.hasSpareSlots() {
			f.late, f.latePrice = s, price
		}
	}
	return f
}

// price is the predicted time to the first event in seconds, with what the
// request costs others. chance is drawn anew for each host and spreadTime.
func (d *Dispatcher) price(now time.Time, r *Request, s *server, left int, fetch fetch, chance uint64) float64 {
	if !s.model() {
		return d.plainPrice(now, s)
	}
	uncached := float64(left)
	t := s.wait(0).Seconds() + (1+externality)*uncached/s.rate + s.delay.Seconds()
	if fetch.tokens > 0 {
		t += fetchWeight * fetchTime(s, fetch).Seconds()
	}
	t += s.penalty(now).Seconds()
	t += d.remotePrice(s)
	running, _ := s.load()
	t += fullBatch.Seconds() * float64(running) / float64(max(s.info.Slots, 1))
	t += spread * float64(mix(chance, s.hash)%1024) / 1024
	// Equal servers are told apart by the part that is shared last, so that
	// all edge hosts choose the same one for it.
	if n := len(r.Parts); n > 0 {
		t += tieBreak * float64(mix(r.Parts[n-1].ID, s.hash)%1024) / 1024
	}
	return t
}

// remotePrice is the predicted time that a server in another data centre adds.
func (d *Dispatcher) remotePrice(s *server) float64 {
	switch {
	case s.info.DataCentre == d.dataCentre:
		return 0
	case d.Summarises():
		return remoteSummary.Seconds()
	}
	return remote.Seconds()
}

const (
	// remoteSummary stands for remote where load elsewhere is known from summaries
	// alone: it is 200 ms old. A data centre then takes what it bears itself, and
	// its hosts keep connections to its own engines.
	remoteSummary = 30 * time.Millisecond
	// fullBatch is the predicted time that a full batch adds: each running
	// request makes the steps of all others a little longer.
	fullBatch = 20 * time.Millisecond
	// tieBreak is the largest difference in seconds that the hash of a part
	// makes: less than the reading of 1,000 tokens.
	tieBreak = 0.015
	// spread is the largest difference in seconds that chance makes, other at
	// each edge host and in each spreadTime. Beliefs are older than the next
	// decisions of 30 other hosts; without chance all take the engine that
	// seems to have the least work. 80 ms is the work that an engine gets while
	// digests are on their way.
	spread     = 0.08
	spreadTime = 50 * time.Millisecond
)

func mix(a, b uint64) uint64 {
	x := a ^ b*0x9E3779B97F4A7C15
	x ^= x >> 31
	x *= 0xBF58476D1CE4E5B9
	return x ^ x>>29
}

// mayTake reports whether the server may get the request at all.
func (d *Dispatcher) mayTake(now time.Time, r *Request, s *server) bool {
	switch {
	case !s.info.Ready || s.wrong || slices.Contains(r.Avoid, s.info.ID):
		return false
	case !s.downSince.IsZero() || now.Before(s.fullUntil) || now.Before(s.noSlotUntil) || s.paused(now):
		return false
	}
	if !d.coldAllows(now, s) {
		return false
	}
	if !s.model() {
		return true
	}
	running, kv := s.load()
	need := r.PromptTokens + r.OutputTokens
	return running < s.info.Slots && (kv == 0 || float64(kv+need) <= kvUse*float64(s.info.KVTokens))
}

// coldAllows bounds what all edge hosts together send to a cold server: only
// those of its data centre send, each the same part. The bound holds without
// any exchange, so a host that is cut off keeps it as well.
func (d *Dispatcher) coldAllows(now time.Time, s *server) bool {
	if s.info.ColdRate <= 0 || !d.isCold(now, s) {
		return true
	}
	if s.info.DataCentre != d.dataCentre {
		return false
	}
	hosts := len(d.neighbours)
	quota := int(s.info.ColdRate) / hosts
	if quota == 0 {
		// More hosts than requests: those with the lowest names send one each.
		if slices.Index(d.neighbours, d.self) < int(s.info.ColdRate) {
			quota = 1
		}
	}
	return s.coldRoom(now, quota)
}

func (d *Dispatcher) isCold(now time.Time, s *server) bool {
	return now.Before(s.info.ColdUntil) || now.Before(d.doubtUntil) && s.info.Heard.Before(d.doubtUntil.Add(-doubtTime))
}
