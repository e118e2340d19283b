package pool

import (
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/fairshare"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// loanDelay is the expected time until a slot from another data centre is
// usable here: one summary interval and two link delays.
const loanDelay = summaryBusyInterval + 10*time.Millisecond

// earlyRefusal reports whether an ask is refused without waiting, with the
// result code and the time after which the caller may retry. An ask of a class
// that may not wait is refused if its first token target cannot be met.
func (o *Owner) earlyRefusal(a *Ask, flow *fairshare.Flow, modelIndex int) (result.Code, time.Duration, bool) {
	remaining := a.Arrived.Add(a.Class.LongestWait()).Sub(o.now)
	if remaining <= 0 {
		return expiredCode(a), o.predictWait(flow, modelIndex, a.Class.MayWait), true
	}
	if a.Class.MayWait {
		return 0, 0, false
	}
	if o.now.Before(o.recoveryEnd) {
		wait := o.recoveryEnd.Sub(o.now)
		return result.OwnerUnavailable, wait, wait > remaining
	}
	if o.hasFreeSlot(modelIndex) {
		return 0, 0, false
	}
	if o.out && !o.peerHasFreeSlot() {
		return result.DataCentreOut, summaryMaxAge, true
	}
	if o.usableSlots(modelIndex) == 0 && !o.peerHasFreeSlot() {
		return result.NoServer, summaryMaxAge, true
	}
	budget := remaining - o.stats.expectedFirstToken(&a.Class)
	wait := o.predictWait(flow, modelIndex, false)
	if o.mayGoAhead(a, flow) {
		wait = min(wait, o.predictTakeUpWait(modelIndex))
	}
	if o.peerHasFreeSlot() {
		wait = min(wait, loanDelay)
	}
	if wait <= budget {
		return 0, 0, false
	}
	return result.TargetUnreachable, o.assignRetryAfter(flow, modelIndex, wait-budget), true
}

// assignRetryAfter returns the time after which a refused request should be
// sent again. excess is the part of the predicted wait that exceeds the budget
// of the request: after that time the queue has drained enough to accept it.
// But each slot that becomes free serves one request only, so callers with the
// same Retry-After would return together and be refused again. Each refusal of
// a workspace therefore gets a later time than the one before, by the time in
// which the workspace gets one more slot.
func (o *Owner) assignRetryAfter(flow *fairshare.Flow, modelIndex int, excess time.Duration) time.Duration {
	retryAt := o.now.Add(max(excess, minRetryAfter))
	if retryAt.Before(flow.LatestRetryAt) {
		retryAt = flow.LatestRetryAt
	}
	if latest := o.now.Add(maxRetryAfter); retryAt.After(latest) {
		retryAt = latest
	}
	if o.usableSlots(modelIndex) > 0 {
		flow.LatestRetryAt = retryAt.Add(o.slotInterval(modelIndex) * time.Duration(max(o.queue.Active(), 1)))
	}
	return retryAt.Sub(o.now)
}

// expiredCode returns the result code for an ask whose longest wait is over.
func expiredCode(a *Ask) result.Code {
	if a.Class.MayWait {
		return result.WaitExpired
	}
	return result.TargetUnreachable
}

// predictWait returns the expected wait of a new ask of the workspace for a
// slot, 0 if no request has succeeded yet or the model has no slot.
func (o *Owner) predictWait(flow *fairshare.Flow, modelIndex int, mayWait bool) time.Duration {
	perSlot := o.slotInterval(modelIndex) // mean time between two slots that become free
	if perSlot == 0 {
		return 0
	}
	ahead := o.queue.WaitingForModel(modelIndex)
	if !mayWait {
		ahead = min(ahead, o.waitingUrgent)
	}
	floor, waiting := o.queue.Floor()
	lead := flow.VirtualTime() - floor - o.cfg.FairShare.UrgencyWindow
	if !mayWait && lead <= 0 {
		// What others have queued beyond their share is served later.
		ahead = o.withTakeUps(o.queue.ServedBefore(flow, modelIndex, o.stats.cost, ahead), ahead)
	}
	wait := perSlot * time.Duration(ahead+1)
	if waiting && lead > 0 && o.stats.cost > 0 {
		// The workspace is served after the floor has risen by lead. The floor
		// rises by the cost of one request when each waiting workspace has been
		// served once.
		rounds := float64(lead) / o.stats.cost
		wait += time.Duration(rounds * float64(o.queue.Active()) * float64(perSlot))
	}
	return wait
}

// nextSlotDelay returns the expected time until a workspace that waits gets its
// next slot: one slot for each waiting workspace.
func (o *Owner) nextSlotDelay(flow *fairshare.Flow) time.Duration {
	if o.usableSlots(0) == 0 {
		return minRetryAfter
	}
	return o.slotInterval(0) * time.Duration(o.queue.Active())
}
