package pool

import "time"

// nextSummaryAt returns when the next summary may be sent: after the busy
// interval while asks wait, otherwise after the idle interval. Summaries are
// sent at whole multiples of the interval, so that they share a batch with the
// totals and with the summaries of other pools.
func (o *Owner) nextSummaryAt() time.Time {
	if o.queue.Len() > 0 {
		return nextMultiple(o.summaryCheckedAt, summaryBusyInterval)
	}
	return nextMultiple(o.summaryCheckedAt, summaryIdleInterval)
}

// nextMultiple returns the first whole multiple of the interval after t.
func nextMultiple(t time.Time, interval time.Duration) time.Time {
	return t.Truncate(interval).Add(interval)
}

// sendSummaryIfDue sends a summary when it is due. Between idle intervals it
// sends none if the last one is still accurate enough for the peers.
func (o *Owner) sendSummaryIfDue() {
	if !o.cfg.LendingEnabled || o.now.Before(o.nextSummaryAt()) {
		return
	}
	o.summaryCheckedAt = o.now
	s := o.buildSummary()
	if o.now.Sub(o.summarySentAt) < summaryIdleInterval && o.lastSummarySuffices(&s) {
		return
	}
	o.summarySentAt, o.lastSummary, o.loansSinceSummary = o.now, s, 0
	o.outbox.Summaries = append(o.outbox.Summaries, s)
	o.outbox.LoanReturns = append(o.outbox.LoanReturns, o.loanConfirmations...)
	o.loanConfirmations = o.loanConfirmations[:0]
}

// buildSummary returns the present summary of this shard.
func (o *Owner) buildSummary() Summary {
	s := Summary{From: o.id, Epoch: o.epoch, FreeSlots: uint32(o.freeSlots()), Waiting: uint32(o.queue.Len())}
	if o.now.Before(o.recoveryEnd) {
		s.FreeSlots, s.Waiting = 0, 0 // this owner cannot lend or use a loan yet
	}
	floor, ok := o.queue.Floor()
	if !ok || s.Waiting == 0 {
		return s
	}
	s.Floor = floor
	o.queue.Lowest(summaryMaxValues, func(value int64, count int) {
		s.Lowest = append(s.Lowest, WaitingValue{Value: value, Count: uint32(count)})
	})
	return s
}

// lastSummarySuffices reports whether the last summary is close enough to the
// present one: the values differ by at most half the distance penalty, which
// the comparison of values allows for anyway, the number of waiting asks by at
// most a factor of two, and loans served fewer than half of them.
func (o *Owner) lastSummarySuffices(s *Summary) bool {
	last := &o.lastSummary
	if (s.FreeSlots == 0) != (last.FreeSlots == 0) || (s.Waiting == 0) != (last.Waiting == 0) {
		return false
	}
	if s.Waiting > 2*last.Waiting || last.Waiting > 2*s.Waiting || 2*o.loansSinceSummary >= last.Waiting && s.Waiting > 0 {
		return false
	}
	if len(s.Lowest) != len(last.Lowest) || !withinDistance(s.Floor, last.Floor, o.cfg.DistancePenalty/2) {
		return false
	}
	for i := range s.Lowest {
		if !withinDistance(s.Lowest[i].Value, last.Lowest[i].Value, o.cfg.DistancePenalty/2) {
			return false
		}
	}
	return true
}

// withinDistance reports whether a and b differ by at most limit.
func withinDistance(a, b, limit int64) bool { return a-b <= limit && b-a <= limit }
