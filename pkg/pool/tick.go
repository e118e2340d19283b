package pool

import "time"

// Tick does what is due: expiry, silent servers, lapsed loans and summaries.
func (o *Owner) Tick(now time.Time) {
	if o.closed {
		return
	}
	o.now = now
	o.expire()
	if now.Sub(o.swept) >= housekeeping {
		o.swept = now
		o.queue.Refresh()
		o.lapse()
		o.forgetSilent()
		o.updateFloor()
		for _, s := range o.servers {
			o.fix(s)
		}
	}
	o.dispatch()
	o.summarize()
}

func (o *Owner) expire() {
	for len(o.expiry) > 0 && o.expiry[0].expires <= o.now.UnixNano() {
		w := o.expiry[0]
		key := requestKey{w.ask.Router, w.ask.RequestID}
		after := o.predict(w.Flow(), w.Lane, w.ask.Class.MayWait)
		code := expiredCode(&w.ask)
		o.drop(w)
		o.refuse(key, code, after)
	}
}

// NextTick returns when Tick is due again.
func (o *Owner) NextTick() time.Time {
	next := o.swept.Add(housekeeping)
	if o.now.Before(o.opens) && o.opens.Before(next) {
		next = o.opens
	}
	if len(o.expiry) > 0 {
		next = earliest(next, time.Unix(0, o.expiry[0].expires))
	}
	if at, ok := o.queue.NextStarvation(); ok && at.After(o.now) {
		next = earliest(next, at)
	}
	if o.cfg.Lend {
		next = earliest(next, o.summaryDue())
	}
	if !next.After(o.now) {
		return o.now.Add(time.Millisecond)
	}
	return next
}

func earliest(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func (o *Owner) freeSlots() int {
	n := 0
	for _, s := range o.servers {
		if o.usable(s) {
			st := s.limit.State()
			n += max(st.Limit-st.InFlight, 0)
		}
	}
	return n
}
