package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Check decides on a request with the given shared parts. For Refuse and Trial it
// returns the quarantined part. A trial begins with Begin.
func (t *Tracker) Check(now time.Time, parts []uint64) (Action, uint64) {
	return t.check(now, parts, false)
}

// Begin decides like Check right before the request is sent to a server, and
// begins the trial that it allows.
func (t *Tracker) Begin(now time.Time, parts []uint64) (Action, uint64) {
	return t.check(now, parts, true)
}

func (t *Tracker) check(now time.Time, parts []uint64, begin bool) (Action, uint64) {
	if t.active == 0 {
		return Allow, 0
	}
	var tried []*verdict
	for _, p := range parts {
		v := t.verdicts[p]
		if v == nil || !t.applies(v, func(p uint64) bool { return slices.Contains(parts, p) }) {
			continue
		}
		if !t.mayTry(now, v) {
			v.refusedAt = now
			v.refusals++
			return Refuse, p
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

// applies reports whether a verdict refuses a prompt: the part is quarantined, and
// the prompt has all companions that are quarantined too.
func (t *Tracker) applies(v *verdict, has func(part uint64) bool) bool {
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

// nextTrialAt returns when the next trial may start: one trial in each term.
func (v *verdict) nextTrialAt() time.Time {
	if v.TrialAt.After(v.Since) {
		return v.TrialAt.Add(v.Term)
	}
	return v.Since.Add(v.Term)
}

// mayTry reports whether this host may start a trial of the part now. The hosts
// take turns, in an order that differs by part and is the same for its companions.
func (t *Tracker) mayTry(now time.Time, v *verdict) bool {
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

// resolveTrials renews the quarantine of parts in trial that are suspects of a
// loss after the start of the trial.
func (t *Tracker) resolveTrials(now time.Time, l *loss) {
	for part := range l.parts {
		v := t.verdicts[part]
		if v == nil || v.State != Quarantined || !v.TrialAt.After(v.Since) || l.at.Before(v.TrialAt) || l.at.Sub(v.TrialAt) > trialTimeout {
			continue
		}
		companions := v.Companions
		t.decide(now, part, Quarantined, "the server of the trial ended", func(next *Verdict) {
			next.Losses++
			next.Companions = companions
		})
	}
}

// SuspectsAgain reports whether a request with the parts that was just lost
// together with a server should not be sent to another one: a part of it is
// quarantined, or was a suspect of an earlier loss and was not cleared since.
func (t *Tracker) SuspectsAgain(now time.Time, parts []uint64) bool {
	for _, p := range parts {
		if v := t.verdicts[p]; v != nil && t.applies(v, func(p uint64) bool { return slices.Contains(parts, p) }) {
			return true
		}
		innocent := t.innocentUntil(p)
		if at, ok := t.suspects[p]; !ok || !at.After(innocent) || now.Sub(at) > lossRetention {
			continue
		}
		for _, l := range t.losses {
			if l.parts[p] && l.at.After(innocent) && !t.isExplained(l) {
				return true
			}
		}
	}
	return false
}

// Release ends the quarantine of a part on behalf of an operator. It returns
// false if the part is not quarantined.
func (t *Tracker) Release(now time.Time, part uint64) bool {
	v := t.verdicts[part]
	if v == nil || v.State != Quarantined {
		return false
	}
	t.decide(now, part, Released, "released by an operator")
	return true
}

// Entry is a verdict with the refusals of this host.
type Entry struct {
	Verdict
	Local     bool // decided by this host
	Refusals  uint64
	RefusedAt time.Time // last refusal, zero if there was none
	TrialFrom time.Time // when the next trial may start
}

// List returns all verdicts, ordered by part.
func (t *Tracker) List() []Entry {
	out := make([]Entry, 0, len(t.verdicts))
	for _, v := range t.verdicts {
		out = append(out, Entry{Verdict: v.Verdict, Local: v.local, Refusals: v.refusals, RefusedAt: v.refusedAt, TrialFrom: v.nextTrialAt()})
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.Suspect, b.Suspect) })
	return out
}

// Counts returns the numbers of quarantined parts, of losses and of suspects that
// are kept.
func (t *Tracker) Counts() (quarantined, losses, suspects int) {
	return t.active, len(t.losses), len(t.suspects)
}
