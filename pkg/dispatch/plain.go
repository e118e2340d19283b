package dispatch

import (
	"math"
	"time"
)

// busySlowdown is the relative increase of the answer time of a plain server
// when all its slots are taken. Some servers slow down when they are nearly
// full.
const busySlowdown = 0.3

// decidePlain selects among plain servers.
func (d *Dispatcher) decidePlain(now time.Time, r *Request, svc *service, v Decision) Decision {
	var best *server
	bestCost := math.Inf(1)
	for _, s := range svc.serversOf(r) {
		if !d.isEligible(now, r, s) {
			continue
		}
		running, _ := s.load()
		limit := maxPlainLoadPerSlot * float64(max(s.info.Slots, 1))
		if r.leavesPlaces(s) {
			limit *= 1 - lateSpareFraction
		}
		if float64(running) >= limit {
			continue
		}
		if c := d.plainCost(now, s); c < bestCost {
			best, bestCost = s, c
		}
	}
	if best == nil {
		v.Class = Late
		left := time.Duration(maxPlainWaitFraction*float64(r.Objective)) - now.Sub(r.Arrived)
		if !d.anyAvailableWithin(now, r, svc.serversOf(r), left) {
			return d.refuse(now, r, v, ReasonNoServer)
		}
		if left < 0 {
			return d.refuse(now, r, v, ReasonLate)
		}
		return v
	}
	v.PredictedLatency = time.Duration(bestCost * float64(time.Second))
	return d.assign(now, r, best, v)
}

// plainCost returns the predicted answer time of a plain server in seconds.
func (d *Dispatcher) plainCost(now time.Time, s *server) float64 {
	mean := defaultLatency
	if svc := d.services[s.info.Service]; svc != nil {
		mean = svc.latency
	}
	running, _ := s.load()
	slots := max(s.info.Slots, 1)
	t := s.expectedLatency(now, mean).Seconds()
	t *= 1 + busySlowdown*float64(running)/float64(slots) + float64(max(running+1-slots, 0))/float64(slots)
	t += s.failurePenalty(now).Seconds()
	t += d.remoteCost(s)
	return t
}
