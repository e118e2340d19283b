package dispatch

import (
	"slices"
	"time"
)

// Retry decides on another server for a request that failed at the given one; a stream that
// has begun must be one that may go on there. A take-up or a begun stream for which no
// engine has room is queued, and a later Poll returns its decision. It goes ahead of new
// streams, which would get the next slot otherwise. Any other request is sent or refused.
func (d *Dispatcher) Retry(now time.Time, r *Request, failed string) Decision {
	r.ExcludedServers = append(r.ExcludedServers, failed)
	r.firstEventSeen, r.retriedAt = false, now
	svc := d.services[r.Service]
	if svc != nil {
		if f := d.evaluateServers(now, r, svc); f.cheapest != nil {
			return d.assign(now, r, f.cheapest, Decision{Action: Send, Class: OnTime})
		}
	}
	if svc == nil || !r.continues() || !svc.servers[0].isEngine() {
		return d.refuse(now, r, Decision{}, ReasonNoServer)
	}
	return d.queueIfWaiting(now, r, d.decide(now, r))
}

// queueIfWaiting queues a request whose decision is Wait, or refuses it if there is no room
// in the queue or it would wait for too long.
func (d *Dispatcher) queueIfWaiting(now time.Time, r *Request, v Decision) Decision {
	switch {
	case v.Action != Wait:
	case len(d.queue) >= maxQueuedRequests && !slices.ContainsFunc(d.queue, r.mayDisplace):
		v = d.refuse(now, r, v, ReasonQueueFull)
	default:
		v = d.enqueue(now, r, v)
		if len(d.queue) > maxQueuedRequests {
			d.displaceFor(now, r)
		}
	}
	return v
}

// waitsSince returns the start of the time in which the request may be queued. The attempt
// before a retry has used up the time from the arrival.
func (r *Request) waitsSince() time.Time {
	if r.retriedAt.IsZero() {
		return r.Arrived
	}
	return r.retriedAt
}

// serversLeft returns the servers of the release that the request needs, without those at
// which it failed.
func (svc *service) serversLeft(r *Request) []*server {
	servers := svc.serversOf(r)
	if r.retriedAt.IsZero() {
		return servers
	}
	return slices.DeleteFunc(slices.Clone(servers), func(s *server) bool { return slices.Contains(r.ExcludedServers, s.info.ID) })
}
