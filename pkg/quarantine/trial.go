package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Check decides on a request with the given suspects: itself and its shared parts. For
// Refuse and Trial it returns the quarantined suspect. A trial begins with Begin.
func (t *Tracker) Check(now time.Time, suspects []uint64) (Action, uint64) {
	return t.check(now, suspects, false)
}

// Begin decides like Check right before the request is sent to a server, and
// begins the trial that it allows.
func (t *Tracker) Begin(now time.Time, suspects []uint64) (Action, uint64) {
	return t.check(now, suspects, true)
}

func (t *Tracker) check(now time.Time, suspects []uint64, begin bool) (Action, uint64) {
	if t.restricted == 0 {
		return Allow, 0
	}
	var tried []*verdict
	for _, suspect := range suspects {
		v := t.verdicts[suspect]
		if v == nil || !v.isProbation() && !t.applies(v, func(other uint64) bool { return slices.Contains(suspects, other) }) {
			continue
		}
		if !t.mayTry(now, v) {
			v.refusedAt = now
			v.refusals++
			return Refuse, suspect
		}
		tried = append(tried, v)
	}
	if len(tried) == 0 {
		return Allow, 0
	}
	for _, v := range tried {
		if !begin {
			break
		}
		v.TrialAt = now
		t.announceVerdict(v.Suspect)
		t.changes = append(t.changes, Change{Verdict: v.Verdict, Reason: "trial", Local: true})
	}
	return Trial, tried[0].Suspect
}

// applies reports whether a verdict refuses a request that has its suspect: the suspect
// is quarantined, and the request has all companions that are quarantined too.
func (t *Tracker) applies(v *verdict, has func(suspect uint64) bool) bool {
	if v.State != Quarantined {
		return false
	}
	for _, p := range v.Companions {
		if c := t.verdicts[p]; c != nil && c.State == Quarantined && !has(p) {
			return false
		}
	}
	return true
}

// isProbation reports whether requests with the suspect are tried one at a time at each
// host, until one is answered or lost: its quarantine has lapsed, and callers may send it
// often when they return. A part that was refused only together with others is free.
func (v *verdict) isProbation() bool {
	return v.State == Lapsed && v.Generation > 0 && len(v.Companions) == 0
}

// nextTrialAt returns when the next trial may start: one trial in each term.
func (v *verdict) nextTrialAt() time.Time {
	if v.TrialAt.After(v.Since) {
		return v.TrialAt.Add(v.Term)
	}
	return v.Since.Add(v.Term)
}

// mayTry reports whether this host may start a trial of the suspect now. The hosts take
// turns, in an order that differs by suspect and is the same for its companions.
func (t *Tracker) mayTry(now time.Time, v *verdict) bool {
	if v.isProbation() {
		return now.Sub(v.TrialAt) >= turnTime
	}
	waited := now.Sub(v.nextTrialAt())
	if waited < 0 {
		return false
	}
	key := v.Suspect
	for _, p := range v.Companions {
		key = min(key, p)
	}
	order := slices.Clone(t.hosts)
	slices.SortFunc(order, func(a, b uint64) int {
		return cmp.Or(cmp.Compare(mix(a, key), mix(b, key)), cmp.Compare(a, b))
	})
	return order[int(waited/turnTime)%len(order)] == t.self
}

// mix combines two hashes (the finalizer of SplitMix64).
func mix(a, b uint64) uint64 {
	x := a ^ b*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// resolveTrials renews the quarantine of the suspects in trial of a loss after the
// start of the trial.
func (t *Tracker) resolveTrials(now time.Time, l *loss) {
	for suspect := range l.suspects {
		v := t.verdicts[suspect]
		if v == nil || v.State != Quarantined || !v.TrialAt.After(v.Since) || l.at.Before(v.TrialAt) || l.at.Sub(v.TrialAt) > trialTimeout {
			continue
		}
		companions := v.Companions
		t.decide(now, suspect, Quarantined, "the server of the trial ended", func(next *Verdict) {
			next.Losses++
			next.Companions = companions
		})
	}
}

// SuspectsAgain reports whether a request with the suspects that was just lost
// together with a server should not be sent to another one. One of them is
// quarantined, alone or with companions, or was until its quarantine lapsed; or a part
// was a suspect of an earlier loss, or the request of two, and was not cleared since.
// Any sound request may be lost twice while servers end, so it is sent again once more
// than its parts allow to others.
func (t *Tracker) SuspectsAgain(now time.Time, suspects []uint64) bool {
	for _, suspect := range suspects {
		v := t.verdicts[suspect]
		if v != nil && v.State != Released {
			return true
		}
		least := 1
		if IsRequest(suspect) {
			least = lossesToQuarantine - 1
		}
		if t.hasLosses(now, suspect, least) {
			return true
		}
	}
	return false
}

// hasLosses reports whether a suspect has at least n losses at different times that no
// quarantine explains and that it was not cleared after.
func (t *Tracker) hasLosses(now time.Time, suspect uint64, n int) bool {
	if times, ok := t.suspects[suspect]; !ok || !times.lost.After(t.innocentUntil(suspect)) || now.Sub(times.lost) > lossRetention {
		return false
	}
	s := suspicion{answered: !t.clearedAt(suspect).IsZero()}
	for _, l := range t.sortedLosses() {
		if t.isSuspectOf(suspect, l) && !t.isExplained(l) {
			s.add(l, suspect)
		}
	}
	return len(s.episodes) >= n
}

// Release ends the quarantine of a suspect on behalf of an operator. It returns false
// if the suspect is not quarantined.
func (t *Tracker) Release(now time.Time, suspect uint64) bool {
	v := t.verdicts[suspect]
	if v == nil || v.State != Quarantined {
		return false
	}
	t.decide(now, suspect, Released, "released by an operator")
	return true
}

// Entry is a verdict with the refusals of this host.
type Entry struct {
	Verdict
	Local     bool // decided by this host
	Refusals  uint64
	RefusedAt time.Time // last refusal, zero if there was none
	TrialFrom time.Time // when the next trial may start
	Request   string    // describes a request that this host refused, "" if it is not known
}

// List returns all verdicts, ordered by suspect: parts first.
func (t *Tracker) List() []Entry {
	out := make([]Entry, 0, len(t.verdicts))
	for _, v := range t.verdicts {
		out = append(out, Entry{Verdict: v.Verdict, Local: v.local, Refusals: v.refusals, RefusedAt: v.refusedAt, TrialFrom: v.nextTrialAt()})
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.Suspect, b.Suspect) })
	return out
}

// Counts returns the numbers of quarantined suspects, of losses and of suspects that
// are kept.
func (t *Tracker) Counts() (quarantined, losses, suspects int) {
	return t.active, len(t.losses), len(t.suspects)
}
