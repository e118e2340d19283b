package pool

import (
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/fairshare"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// loanDelay is the time that a loan from another data centre takes: a summary
// interval and two link delays.
const loanDelay = summaryBusyInterval + 10*time.Millisecond

// early decides whether an ask is refused before it waits.
func (o *Owner) early(a *Ask, flow *fairshare.Flow, lane int) (result.Code, time.Duration, bool) {
	left := a.Arrived.Add(a.Class.LongestWait()).Sub(o.now)
	if left <= 0 {
		return expiredCode(a), o.predict(flow, lane, a.Class.MayWait), true
	}
	if a.Class.MayWait {
		return 0, 0, false
	}
	if o.now.Before(o.opens) {
		wait := o.opens.Sub(o.now)
		return result.OwnerUnavailable, wait, wait > left
	}
	if o.laneFree(lane) {
		return 0, 0, false
	}
	if o.out && !o.remoteFree() {
		return result.DataCentreOut, summaryMaxAge, true
	}
	if o.usableSlots(lane) == 0 && !o.remoteFree() {
		return result.NoServer, summaryMaxAge, true
	}
	budget := left - o.stats.answerTime(&a.Class)
	wait := o.predict(flow, lane, false)
	if o.remoteFree() {
		wait = min(wait, loanDelay)
	}
	if wait <= budget {
		return 0, 0, false
	}
	return result.TargetUnreachable, o.promise(flow, lane, wait-budget), true
}

// promise returns when a refused request should come back. The wait shrinks as
// the queue drains, so after the excess has passed the same ask would be
// accepted; but only one caller for each slot that becomes free. Callers with
// the same answer would come back together and be refused again.
func (o *Owner) promise(flow *fairshare.Flow, lane int, excess time.Duration) time.Duration {
	at := o.now.Add(max(excess, minRetryAfter))
	if at.Before(flow.Promised) {
		at = flow.Promised
	}
	if latest := o.now.Add(maxRetryAfter); at.After(latest) {
		at = latest
	}
	if slots := o.usableSlots(lane); slots > 0 {
		turn := o.stats.hold / time.Duration(slots) * time.Duration(max(o.queue.Active(), 1))
		flow.Promised = at.Add(turn)
	}
	return at.Sub(o.now)
}

func expiredCode(a *Ask) result.Code {
	if a.Class.MayWait {
		return result.WaitExpired
	}
	return result.TargetUnreachable
}

// predict returns the expected wait of a new ask of the workspace.
func (o *Owner) predict(flow *fairshare.Flow, lane int, mayWait bool) time.Duration {
	slots := o.usableSlots(lane)
	if o.stats.hold == 0 || slots == 0 {
		return 0
	}
	perSlot := o.stats.hold / time.Duration(slots) // time between two free slots
	ahead := o.queue.LaneLen(lane)
	if !mayWait {
		ahead = min(ahead, o.urgent)
	}
	wait := perSlot * time.Duration(ahead+1)
	floor, waiting := o.queue.Floor()
	if lead := flow.Value() - floor - o.cfg.Fair.Window; waiting && lead > 0 && o.stats.cost > 0 {
		// The floor rises by one request's cost for each request of every
		// waiting workspace.
		rounds := float64(lead) / o.stats.cost
		wait += time.Duration(rounds * float64(o.queue.Active()) * float64(perSlot))
	}
	return wait
}

// drainTime returns the time until the workspace gets its next slot.
func (o *Owner) drainTime(flow *fairshare.Flow) time.Duration {
	slots := o.usableSlots(0)
	if slots == 0 {
		return minRetryAfter
	}
	return o.stats.hold / time.Duration(slots) * time.Duration(o.queue.Active())
}
