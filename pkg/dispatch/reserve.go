package dispatch

import "time"

const (
	// reserveMarginSlots is the estimated number of free slots up to which a slot
	// is reserved before a request is sent. Other edge hosts take slots without
	// this host knowing yet, and a request that finds none waits at the engine
	// even if another engine has room.
	reserveMarginSlots = 4
	// noSlotBackoff is how long no requests are sent to an engine after a failed
	// reservation. A full engine with 12 slots frees one every 100 to 200 ms.
	noSlotBackoff = 25 * time.Millisecond
	// maxReservationTime is the time within which an engine that is only full answers.
	maxReservationTime = 100 * time.Millisecond
	// lateSpareFraction is the fraction of the slots of an engine that Late
	// requests leave free for OnTime requests.
	lateSpareFraction = 1.0 / 6
	// targetFreeSlots is the target of the capacity control loop for the free
	// slots of the median engine: one is free for the next request, and none stays
	// free for long.
	targetFreeSlots = 1
)

// needsReservation reports whether a slot of the engine has to be reserved
// before sending. Reservation calls to a cold engine would count against its
// ColdRequestsPerSecond, and those to an engine with a limit against that, so none are made.
func (d *Dispatcher) needsReservation(now time.Time, s *server) bool {
	if !s.info.SupportsReservation || d.isCold(now, s) || s.limit.rate(now) != noLimit {
		return false
	}
	running, _ := s.load()
	return running+reserveMarginSlots >= s.info.Slots
}

// overtakes reports whether a slot is reserved for a take-up so that the engine begins it
// ahead of the requests that wait there: engines admit these in order of arrival. A take-up
// that an engine has kept waiting for its reservation is sent without one.
func (d *Dispatcher) overtakes(now time.Time, r *Request, s *server) bool {
	return r.ahead && r.retriedAt.IsZero() && !r.overtakeFailed && s.info.SupportsReservation && !d.isCold(now, s) && s.limit.rate(now) == noLimit
}

// ConfirmReservation records that the slot for a request has been reserved, as
// requested by its decision.
func (d *Dispatcher) ConfirmReservation(now time.Time, r *Request) {
	if r.server == nil || !r.slotPending {
		return
	}
	r.slotPending = false
	d.recordPlacement(now, r, r.server)
}

// slotPressure expresses the taken slots as a time comparable to a backlog:
// targetPressure at targetFreeSlots, twice that without free slots.
func (s *server) slotPressure() time.Duration {
	running, _ := s.load()
	freeSlots := s.info.Slots - running
	return time.Duration(min(max(2*targetFreeSlots-freeSlots, 0), 2*targetFreeSlots)) * targetPressure / targetFreeSlots
}

// hasLateRoom reports whether the engine has room for a Late request with so many tokens
// to prefill.
func (s *server) hasLateRoom(tokens int) bool {
	return s.hasBacklogRoom(tokens, maxLateBacklog) && s.hasLateSlots()
}

// hasLateSlots reports whether a Late request may take a slot.
func (s *server) hasLateSlots() bool {
	running, _ := s.load()
	return float64(running) < (1-lateSpareFraction)*float64(s.info.Slots)
}
