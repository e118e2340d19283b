package pool

import (
	"container/list"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/fairshare"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// takeUpOrder holds the asks for the rest of a stream that go ahead of new ones, because a
// part of their answer was made. Two bounds leave the others their shares, since a caller
// may name any stream any number of times:
//
//   - In the long run what goes ahead for a workspace is its fair share. It is charged, so
//     that the new asks of the workspace give way.
//   - In the long run every second slot is granted by fair share.
//
// Both allow half of the slots of the pool at once, because streams break off together. An
// ask beyond the first bound is decided as a new one.
type takeUpOrder struct {
	byModel []list.List // of *waitingAsk in order of arrival, by model index
	length  int         // waiting asks that go ahead
	arrived uint64      // number of the last ask that goes ahead
	ahead   int         // grants ahead of new asks less those of new asks, at least 0
	// fairService is the service in units that a workspace that always waits would have
	// received from this owner.
	fairService float64
}

// waitingTakeUp is the state of a waiting ask that goes ahead, zero for others.
type waitingTakeUp struct {
	element *list.Element
	arrived uint64
	units   float64 // charged to the bound of the workspace
}

// burst returns the number of slots that take-ups get ahead of new asks at once.
func (o *Owner) burst() int { return max(o.usableSlots(0)/2, 1) }

// mayGoAhead reports whether an ask goes ahead of new ones. A workspace without any
// take-up ahead may always have one.
func (o *Owner) mayGoAhead(a *Ask, flow *fairshare.Flow) bool {
	if !a.TakesUp {
		return false
	}
	debt := o.takeUpDebt(flow)
	bound := max(float64(o.cfg.FairShare.UrgencyWindow), o.stats.cost*float64(o.burst()))
	return debt == 0 || debt+float64(o.estimate(a)) <= bound
}

func (o *Owner) estimate(a *Ask) uint64 {
	return o.costs.Estimate(a.Workspace, a.Class.Name, a.HintUnits, a.PromptUnits)
}

// takeUpDebt returns the units that went ahead for a workspace beyond its fair share.
func (o *Owner) takeUpDebt(flow *fairshare.Flow) float64 {
	served := o.takeUps.fairService - flow.TakeUpsAt
	flow.TakeUpDebt, flow.TakeUpsAt = max(flow.TakeUpDebt-served, 0), o.takeUps.fairService
	return flow.TakeUpDebt
}

// sendAhead lets a queued ask go ahead of new ones.
func (o *Owner) sendAhead(w *waitingAsk, flow *fairshare.Flow) {
	t := &o.takeUps
	for len(t.byModel) <= w.ModelIndex {
		t.byModel = append(t.byModel, list.List{})
	}
	t.arrived++
	t.length++
	w.takeUp = waitingTakeUp{arrived: t.arrived, units: float64(o.estimate(&w.ask)), element: t.byModel[w.ModelIndex].PushBack(w)}
	flow.TakeUpDebt = o.takeUpDebt(flow) + w.takeUp.units
}

// removeTakeUp removes a waiting ask from those that go ahead. Without a grant it is not
// charged to the bound of its workspace.
func (o *Owner) removeTakeUp(w *waitingAsk, flow *fairshare.Flow, granted bool) {
	if !w.goesAhead() {
		return
	}
	o.takeUps.byModel[w.ModelIndex].Remove(w.takeUp.element)
	o.takeUps.length--
	if !granted {
		o.refundTakeUp(flow, w.takeUp.units)
	}
	w.takeUp = waitingTakeUp{}
}

// refundTakeUp lowers the debt of a workspace by what reached no server.
func (o *Owner) refundTakeUp(flow *fairshare.Flow, units float64) {
	flow.TakeUpDebt = max(o.takeUpDebt(flow)-units, 0)
}

func (w *waitingAsk) goesAhead() bool { return w.takeUp.element != nil }

// nextAsk returns the ask to serve next among the usable models that may is true for, nil
// if there is none, and whether it goes ahead of a new one.
func (o *Owner) nextAsk(usable func(int) bool, may func(*waitingAsk) bool) (next *waitingAsk, ahead bool) {
	if o.queue.Len() == 0 {
		return nil, false
	}
	item := o.queue.Peek(o.now, usable)
	if item == nil {
		return nil, false
	}
	next = item.Request.(*waitingAsk)
	if next.goesAhead() || o.takeUps.length == 0 || o.takeUps.ahead >= o.burst() {
		return next, false
	}
	if w := o.firstTakeUp(usable, may); w != nil {
		return w, true
	}
	return next, false
}

// firstTakeUp returns the first ask that goes ahead among the usable models.
func (o *Owner) firstTakeUp(usable func(int) bool, may func(*waitingAsk) bool) *waitingAsk {
	var first *waitingAsk
	for i := range o.takeUps.byModel {
		l := &o.takeUps.byModel[i]
		if l.Len() == 0 || !usable(i) {
			continue
		}
		for e := l.Front(); e != nil; e = e.Next() {
			w := e.Value.(*waitingAsk)
			if first != nil && first.takeUp.arrived < w.takeUp.arrived {
				break
			}
			if may(w) {
				first = w
				break
			}
		}
	}
	return first
}

// recordOrder records whether a granted ask went ahead of a new one.
func (o *Owner) recordOrder(w *waitingAsk, ahead bool, units uint64) {
	switch {
	case ahead:
		o.takeUps.ahead++
	case !w.goesAhead():
		o.takeUps.ahead = max(o.takeUps.ahead-1, 0)
	}
	o.takeUps.fairService += float64(units) / float64(max(o.queue.Active(), 1))
}

// predictTakeUpWait returns the expected wait of an ask that goes ahead: for those before
// it, and for new asks between them once the burst is used.
func (o *Owner) predictTakeUpWait(modelIndex int) time.Duration {
	before := 0
	if modelIndex < len(o.takeUps.byModel) {
		before = o.takeUps.byModel[modelIndex].Len()
	}
	between := max(before+1-(o.burst()-o.takeUps.ahead), 0)
	between = min(between, o.queue.WaitingForModel(modelIndex)-before)
	return o.slotInterval(modelIndex) * time.Duration(before+between+1)
}

// displaceable returns the waiting ask that a take-up takes the place of in a full queue,
// nil if there is none: the last new one of its workspace, or of the workspace that is
// served last if the take-up goes ahead and its workspace is not the one with a full queue.
func (o *Owner) displaceable(a *Ask, flow *fairshare.Flow) *waitingAsk {
	if !a.TakesUp {
		return nil
	}
	isNew := func(i *fairshare.Item) bool { return !i.Request.(*waitingAsk).ask.TakesUp }
	item := o.queue.LastOf(flow, isNew)
	if item == nil && flow.Waiting() < o.cfg.MaxWaitingPerWorkspace && o.mayGoAhead(a, flow) {
		item = o.queue.Last(isNew)
	}
	if item == nil {
		return nil
	}
	return item.Request.(*waitingAsk)
}

// displace refuses a waiting new ask in favour of a take-up.
func (o *Owner) displace(w *waitingAsk) {
	key, delay := requestKey{w.ask.Router, w.ask.RequestID}, o.nextSlotDelay(w.Flow())
	o.removeWaiting(w, false)
	o.refuse(key, result.QueueFull, delay)
}

// withTakeUps adds the take-ups that go ahead to the number of asks that are served before
// a new one by fair share. All asks ahead of it are at most limit.
func (o *Owner) withTakeUps(before, limit int) int {
	return min(before+min(o.takeUps.length, max(o.burst()-o.takeUps.ahead, 0)+before+1), limit)
}
