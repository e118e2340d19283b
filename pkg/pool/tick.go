package pool

import "time"

// Tick does the work that is due by time: it refuses expired asks, handles
// silent servers and lapsed loans, grants free slots and sends a summary.
func (o *Owner) Tick(now time.Time) {
	if o.handedOver {
		return
	}
	o.now = now
	o.refreshLimited()
	o.refuseExpired()
	if now.Sub(o.housekeepingAt) >= housekeepingInterval {
		o.housekeepingAt = now
		o.queue.RefreshVirtualTimes()
		o.reclaimLapsedLoans()
		o.removeSilentServers()
		o.removeOldRates()
		o.updateFloor()
		for _, s := range o.servers {
			o.reposition(s)
		}
	}
	o.dispatch()
	o.sendSummaryIfDue()
}

// refuseExpired refuses the waiting asks whose expiry time has passed.
func (o *Owner) refuseExpired() {
	for len(o.expiry) > 0 && o.expiry[0].expiryNanos <= o.now.UnixNano() {
		w := o.expiry[0]
		key := requestKey{w.ask.Router, w.ask.RequestID}
		retryAfter := o.predictWait(w.Flow(), w.ModelIndex, w.ask.Class.MayWait)
		code := expiredCode(&w.ask)
		o.removeWaiting(w, false)
		o.refuse(key, code, retryAfter)
	}
}

// NextTick returns when Tick is due again, at least 1 ms after the present
// input.
func (o *Owner) NextTick() time.Time {
	next := o.housekeepingAt.Add(housekeepingInterval)
	if o.now.Before(o.recoveryEnd) && o.recoveryEnd.Before(next) {
		next = o.recoveryEnd
	}
	if len(o.expiry) > 0 {
		next = earlierTime(next, time.Unix(0, o.expiry[0].expiryNanos))
	}
	if at, ok := o.queue.NextStarvationCheck(); ok && at.After(o.now) {
		next = earlierTime(next, at)
	}
	if at, ok := o.nextTokenAt(); ok && o.queue.Len() > 0 {
		next = earlierTime(next, at)
	}
	if o.cfg.LendingEnabled {
		next = earlierTime(next, o.nextSummaryAt())
	}
	if !next.After(o.now) {
		return o.now.Add(time.Millisecond)
	}
	return next
}

func earlierTime(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// freeSlots returns the number of free slots of the usable servers that may get requests now.
func (o *Owner) freeSlots() int {
	n := 0
	for _, s := range o.servers {
		if o.isUsable(s) {
			st := s.limit.State()
			free := max(st.Limit-st.InFlight, 0)
			if s.isLimited() {
				s.rate.refill(o.now, o.ratePart())
				free = min(free, max(int(s.rate.tokens), 0))
			}
			n += free
		}
	}
	return n
}
