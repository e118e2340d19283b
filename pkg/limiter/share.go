package limiter

import "time"

// rejoinGrace is the time after which a load report can no longer hide work
// that a returning router granted just before it returned.
const rejoinGrace = 2 * time.Second

// SetKnownRouters tells how many routers of the data centre are known, how
// many of them are live, and the rank of this one by name. While one is
// missing, this router uses its own share of the limit: two routers that
// cannot see each other must not overload a server together.
func (l *Limiter) SetKnownRouters(now time.Time, known, live, rank int) {
	s := &l.share
	switch {
	case live < known && (!s.partial || s.known != known || s.rank != rank || s.whole):
		*s = share{partial: true, known: known, rank: rank, since: now}
	case live >= known && s.partial && !s.whole:
		s.whole = true
		s.since = now.Add(rejoinGrace)
	}
}

// of returns the part of a limit that this router may use.
func (s *share) of(limit int) int {
	if !s.partial {
		return limit
	}
	own := limit / s.known
	if s.rank < limit%s.known {
		own++
	}
	return max(min(own+s.raised*limit/shareSteps, limit)-s.lowered, 0)
}

// report restores a quarter of the limit for each report that shows no work of
// others. While routers are missing, the share of a cold server stays: two
// routers that both see it idle could otherwise send a full limit each.
func (s *share) report(r Load, unseen int, cold bool) {
	if !s.partial || !r.Taken.After(s.since) {
		return
	}
	if unseen > 0 {
		s.lowered = unseen
		return
	}
	s.lowered = 0
	if cold && !s.whole {
		return
	}
	if s.raised < shareSteps {
		s.raised++
	}
	if s.whole && s.raised == shareSteps {
		*s = share{}
	}
}

// chill takes back what reports added for a warm server.
func (s *share) chill() {
	if s.partial && !s.whole {
		s.raised = 0
	}
}
