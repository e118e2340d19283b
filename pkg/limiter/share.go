package limiter

import "time"

// rejoinGracePeriod is how long load reports are ignored after all routers have
// returned. A later report includes all work that a returning router granted
// before its return.
const rejoinGracePeriod = 2 * time.Second

// SetKnownRouters sets how many routers of the data centre are known and live,
// and the rank of this router among the known ones by name, starting at 0. While
// a known router is not live, this router uses only its share of the limit, so
// that routers that cannot reach each other do not overload a server together.
func (l *Limiter) SetKnownRouters(now time.Time, knownRouters, liveRouters, rank int) {
	s := &l.share
	switch {
	case liveRouters < knownRouters && (!s.active || s.knownRouters != knownRouters || s.rank != rank || s.routersReturned):
		*s = share{active: true, knownRouters: knownRouters, rank: rank, reportsAfter: now}
	case liveRouters >= knownRouters && s.active && !s.routersReturned:
		s.routersReturned = true
		s.reportsAfter = now.Add(rejoinGracePeriod)
	}
}

// usablePart returns the slots of a limit that this router may use.
func (s *share) usablePart(limit int) int {
	if !s.active {
		return limit
	}
	ownSlots := limit / s.knownRouters
	if s.rank < limit%s.knownRouters {
		ownSlots++
	}
	return max(min(ownSlots+s.restoredSteps*limit/shareRestoreSteps, limit)-s.slotsOfOthers, 0)
}

// observeLoad adds a shareRestoreSteps-th of the limit for each load report
// without unattributed requests. While routers are missing, the share of a cold
// server does not grow: two routers that both see the server idle could otherwise
// send it a full limit each.
func (s *share) observeLoad(r Load, unattributed int, cold bool) {
	if !s.active || !r.TakenAt.After(s.reportsAfter) {
		return
	}
	if unattributed > 0 {
		s.slotsOfOthers = unattributed
		return
	}
	s.slotsOfOthers = 0
	if cold && !s.routersReturned {
		return
	}
	if s.restoredSteps < shareRestoreSteps {
		s.restoredSteps++
	}
	if s.routersReturned && s.restoredSteps == shareRestoreSteps {
		*s = share{}
	}
}

// markCold removes what load reports added while the server was warm. It changes
// nothing after all routers have returned.
func (s *share) markCold() {
	if s.active && !s.routersReturned {
		s.restoredSteps = 0
	}
}
