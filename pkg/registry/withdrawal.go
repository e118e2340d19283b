package registry

import "time"

// Withdrawal is a call by which a server withdraws its announcement.
type Withdrawal struct {
	ID      string
	StartMS int64 // start of the process that withdraws, Unix milliseconds; 0 if neither the call nor its connection states it
	// Accepted is when the connection of the call was accepted, by the local clock; zero if
	// not known. It counts if StartMS is 0.
	Accepted time.Time
}

// Withdraw applies a withdrawal and returns its effect, and false if the id is not
// known. One without a start time suspends the known process: the server is gone until
// the process goes on to announce itself. It has no effect if its connection is older
// than that process, because it was sent by one that has ended.
func (r *Registry) Withdraw(w Withdrawal, now time.Time) (Change, bool) {
	e, ok := r.entries[w.ID]
	if !ok {
		return Stale, false
	}
	gone := Entry{ID: w.ID, StartMS: w.StartMS, State: Gone, Heard: now, HeardDirectly: true}
	if w.StartMS == 0 {
		if !w.Accepted.IsZero() && w.Accepted.Before(e.KnownSince) {
			return Stale, true
		}
		gone.StartMS, gone.Suspensions = e.StartMS, e.Suspensions|1
	}
	return r.Merge(gone), true
}

// isWithdrawn reports whether the process has withdrawn for good.
func (e *Entry) isWithdrawn() bool { return e.State == Gone && e.Suspensions%2 == 0 }

// isSuspended reports whether a withdrawal that may be left over from an ended process
// is in force.
func (e *Entry) isSuspended() bool { return e.State == Gone && e.Suspensions%2 != 0 }

// admits reports whether an announcement that was received directly may change the
// entry, as far as it comes from the process of the entry. It sets the Suspensions of
// the announcement.
func (e *Entry) admits(other *Entry) bool {
	if e.StartMS != other.StartMS {
		return true
	}
	other.Suspensions = e.Suspensions
	switch {
	case e.contradicts(other):
		if !e.isOutlivedBy(other) {
			return false
		}
		other.Suspensions += 2 // other hosts take it for newer, whatever its sequence number
		return true
	case e.isSuspended():
		if !e.succeeds(other) {
			return false
		}
		e.rival.add(other)
		if e.rival.length() < confirmGap {
			return false
		}
		other.Suspensions++
		return true
	case e.StartMS == 0 && other.Sequence > e.Sequence+maxSequenceStep:
		e.rival.add(other)
		return e.rival.length() >= confirmGap
	}
	return true
}

// resume ends a suspension that the host which hears the process does not know, because
// the one that received the withdrawal was lost or cut off from it.
func (r *Registry) resume(e *Entry, heard time.Time) {
	resumed := *e
	resumed.State, resumed.Heard = e.suspendedState, heard
	if resumed.State == 0 {
		resumed.State = Ready
	}
	resumed.Suspensions--
	r.store(resumed, true)
}

// succeeds reports whether an announcement of the same start was sent after the last
// one that is known. The sequence numbers of a server without a start time may have
// begun anew.
func (e *Entry) succeeds(other *Entry) bool {
	return other.Sequence > e.Sequence || e.StartMS == 0 && other.Heard.Sub(e.Heard) > confirmGap
}

// series is a row of announcements of one process with rising sequence numbers.
type series struct {
	startMS     int64
	sequence    uint64 // of the last one
	first, last time.Time
}

// add appends an announcement, or begins a new series with it if it does not follow.
// Announcements that were delayed arrive out of order.
func (s *series) add(e *Entry) {
	if s.startMS == e.StartMS && s.sequence == e.Sequence && !s.first.IsZero() {
		return // sent again
	}
	if s.first.IsZero() || s.startMS != e.StartMS || e.Sequence < s.sequence {
		*s = series{startMS: e.StartMS, first: e.Heard}
	}
	s.sequence, s.last = e.Sequence, e.Heard
}

// length returns the time between the first and the last announcement.
func (s *series) length() time.Duration { return s.last.Sub(s.first) }

// earliest returns the earlier of two times, either of which may be zero for unknown.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// ageUS returns the age of t in microseconds, at least 1, and 0 if t is zero.
func ageUS(now, t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return max(now.Sub(t).Microseconds(), 1)
}

// timeOfAge reverses ageUS. The age is at most maxAge.
func timeOfAge(now time.Time, us int64) time.Time {
	if us <= 0 {
		return time.Time{}
	}
	return now.Add(-time.Duration(min(us, maxAge.Microseconds())) * time.Microsecond)
}
