package dispatch

import "time"

const (
	// reserveMargin is the number of free slots, by belief, up to which a slot is
	// reserved before a request is sent. Other edge hosts take slots that are
	// not known here yet, and a request that finds none waits at that engine
	// while another one has room.
	reserveMargin = 4
	// noSlotPause is how long an engine is left alone after it had no slot. A
	// full engine of 12 slots frees one each 100 to 200 ms.
	noSlotPause = 25 * time.Millisecond
	// lateSpare is the part of the slots of an engine that late work leaves free
	// for work that can be on time.
	lateSpare = 1.0 / 6
	// steeredFree is the number of free slots at the median engine that the
	// capacity is steered to. One is free for work that comes next, and none
	// stays free long.
	steeredFree = 1
)

// isNearlyFull reports whether a slot of the engine has to be reserved. Calls
// to a cold engine count against what it bears, so it gets none.
func (d *Dispatcher) isNearlyFull(now time.Time, s *server) bool {
	if !s.info.Reserves || d.isCold(now, s) {
		return false
	}
	running, _ := s.load()
	return running+reserveMargin >= s.info.Slots
}

// Reserved tells that a slot has been reserved for a request whose verdict
// asked for it.
func (d *Dispatcher) Reserved(now time.Time, r *Request) {
	if r.server == nil || !r.reserving {
		return
	}
	r.reserving = false
	d.place(now, r, r.server)
}

// slotPressure is the slots that are taken as a time to compare with a backlog:
// the target with steeredFree slots free, twice the target with none.
func (s *server) slotPressure() time.Duration {
	running, _ := s.load()
	free := s.info.Slots - running
	return time.Duration(min(max(2*steeredFree-free, 0), 2*steeredFree)) * targetPressure / steeredFree
}

// hasSpareSlots reports whether late work may take a slot.
func (s *server) hasSpareSlots() bool {
	running, _ := s.load()
	return float64(running) < (1-lateSpare)*float64(s.info.Slots)
}
