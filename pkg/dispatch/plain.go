package dispatch

import (
	"math"
	"time"
)

// busyWeight is the part of its answer time that a plain server loses when all
// its slots are taken: some slow down when they are nearly full.
const busyWeight = 0.3

// decidePlain chooses among plain servers.
func (d *Dispatcher) decidePlain(now time.Time, r *Request, g *service, v Verdict) Verdict {
	var best *server
	bestCost := math.Inf(1)
	for _, s := range g.servers {
		if !d.mayTake(now, r, s) {
			continue
		}
		running, _ := s.load()
		if float64(running) >= plainQueue*float64(max(s.info.Slots, 1)) {
			continue
		}
		if c := d.plainPrice(now, s); c < bestCost {
			best, bestCost = s, c
		}
	}
	if best == nil {
		v.Class = Late
		left := time.Duration(plainHoldShare*float64(r.Objective)) - now.Sub(r.Arrived)
		if !anyWithin(now, g, left) {
			return d.refuse(now, r, v, ReasonNoServer)
		}
		if left < 0 {
			return d.refuse(now, r, v, ReasonLate)
		}
		return v
	}
	v.Predicted = time.Duration(bestCost * float64(time.Second))
	return d.send(now, r, best, v)
}

// plainPrice is the predicted answer time in seconds.
func (d *Dispatcher) plainPrice(now time.Time, s *server) float64 {
	mean := firstLatency
	if g := d.services[s.info.Service]; g != nil {
		mean = g.latency
	}
	running, _ := s.load()
	slots := max(s.info.Slots, 1)
	t := s.expected(now, mean).Seconds()
	t *= 1 + busyWeight*float64(running)/float64(slots) + float64(max(running+1-slots, 0))/float64(slots)
	t += s.penalty(now).Seconds()
	t += d.remotePrice(s)
	return t
}
