package pool

import "time"

// summaryDue returns when the next summary may go out: soon while work waits,
// slowly otherwise. Summaries leave at whole multiples of the interval, so that
// they share a batch with the totals and with the summaries of other pools.
func (o *Owner) summaryDue() time.Time {
	if o.queue.Len() > 0 {
		return after(o.summaryAt, summaryBusyInterval)
	}
	return after(o.summaryAt, summaryIdleInterval)
}

// after returns the first whole multiple of the interval after t.
func after(t time.Time, interval time.Duration) time.Time {
	return t.Truncate(interval).Add(interval)
}

// summarize sends a summary when it is due, unless the last one still tells
// the peers enough to decide.
func (o *Owner) summarize() {
	if !o.cfg.Lend || o.now.Before(o.summaryDue()) {
		return
	}
	o.summaryAt = o.now
	s := o.summary()
	if o.now.Sub(o.summarySent) < summaryIdleInterval && o.stillTells(&s) {
		return
	}
	o.summarySent, o.lastSummary, o.loansSince = o.now, s, 0
	o.outbox.Summaries = append(o.outbox.Summaries, s)
	o.outbox.LoanReturns = append(o.outbox.LoanReturns, o.acks...)
	o.acks = o.acks[:0]
}

func (o *Owner) summary() Summary {
	s := Summary{From: o.id, Epoch: o.epoch, FreeSlots: uint32(o.freeSlots()), Waiting: uint32(o.queue.Len())}
	if o.now.Before(o.opens) {
		s.FreeSlots, s.Waiting = 0, 0 // it could not use a loan
	}
	floor, ok := o.queue.Floor()
	if !ok || s.Waiting == 0 {
		return s
	}
	s.Floor = floor
	o.queue.Lowest(summaryLowest, func(value int64, count int) {
		s.Lowest = append(s.Lowest, WaitingValue{Value: value, Count: uint32(count)})
	})
	return s
}

// stillTells reports whether the last summary is near enough to the present
// one: values within half the distance penalty, which the comparison of values
// leaves out anyway, and fewer than half of the waiting asks served by loans.
func (o *Owner) stillTells(s *Summary) bool {
	last := &o.lastSummary
	if (s.FreeSlots == 0) != (last.FreeSlots == 0) || (s.Waiting == 0) != (last.Waiting == 0) {
		return false
	}
	if s.Waiting > 2*last.Waiting || last.Waiting > 2*s.Waiting || 2*o.loansSince >= last.Waiting && s.Waiting > 0 {
		return false
	}
	if len(s.Lowest) != len(last.Lowest) || !near(s.Floor, last.Floor, o.cfg.Distance/2) {
		return false
	}
	for i := range s.Lowest {
		if !near(s.Lowest[i].Value, last.Lowest[i].Value, o.cfg.Distance/2) {
			return false
		}
	}
	return true
}

func near(a, b, most int64) bool { return a-b <= most && b-a <= most }
