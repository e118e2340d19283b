package quarantine

import (
	"maps"
	"slices"
	"time"
)

// quarantine quarantines a suspect on the evidence, which it shares with the tied
// parts. It explains the losses that have all of them, not those in apart.
func (t *Tracker) quarantine(now time.Time, suspect uint64, s *suspicion, tied []uint64, apart map[*loss]bool) {
	reporters := map[uint64]report{}
	for _, l := range s.losses {
		maps.Copy(reporters, l.reports)
		if !apart[l] {
			l.explained, l.explainedBy = true, suspect
		}
	}
	weak := IsRequest(suspect) && t.verdicts[suspect] == nil && len(s.episodes) < t.lossesBeyondChance(suspect, s)
	t.decide(now, suspect, Quarantined, "servers ended before they answered", func(v *Verdict) {
		v.Losses, v.Hosts = len(s.losses), len(reporters)
		if weak {
			v.Term = weakFirstTerm
		}
		for _, other := range tied {
			if other != suspect && len(v.Companions) < MaxCompanions {
				v.Companions = append(v.Companions, other)
			}
		}
	})
}

// lossesWithout returns the losses that lack one of the suspects.
func lossesWithout(suspects []uint64, losses []*loss) map[*loss]bool {
	out := map[*loss]bool{}
	for _, l := range losses {
		if slices.ContainsFunc(suspects, func(s uint64) bool { _, lost := l.suspects[s]; return !lost }) {
			out[l] = true
		}
	}
	return out
}

// decide makes a verdict of this host with the next generation, changed by the
// given functions.
func (t *Tracker) decide(now time.Time, suspect uint64, state State, reason string, changes ...func(*Verdict)) {
	next := Verdict{Suspect: suspect, State: state, Since: now, Term: firstTerm}
	if v := t.verdicts[suspect]; v != nil {
		next.Generation, next.Losses, next.Hosts, next.Term = v.Generation, v.Losses, v.Hosts, v.Term
		if state == Quarantined {
			next.Term = min(v.Term*termFactor, maxTerm)
		}
	}
	next.Generation++
	for _, change := range changes {
		change(&next)
	}
	t.setVerdict(now, next).local = true
	t.announceVerdict(suspect)
	t.changes = append(t.changes, Change{Verdict: next, Reason: reason, Local: true})
}

// setVerdict stores a verdict and makes room for it if necessary.
func (t *Tracker) setVerdict(now time.Time, next Verdict) *verdict {
	v := t.verdicts[next.Suspect]
	if v == nil {
		t.evictVerdict()
		v = &verdict{}
		t.verdicts[next.Suspect] = v
	}
	if v.State == Quarantined && next.State == Released {
		t.reopenLosses(next.Suspect)
	}
	t.count(v, -1)
	v.Verdict, v.local = next, false
	t.count(v, 1)
	t.evaluateBy(now)
	return v
}

// count adds n to the numbers of verdicts that v is counted in.
func (t *Tracker) count(v *verdict, n int) {
	if v.State == Quarantined {
		t.active += n
	}
	if v.State == Quarantined || v.isProbation() {
		t.restricted += n
	}
}

// forget removes a verdict.
func (t *Tracker) forget(v *verdict) {
	t.count(v, -1)
	for _, n := range []*news{&t.digestNews, &t.summaryNews} {
		delete(n.verdicts, v.Suspect)
	}
	delete(t.verdicts, v.Suspect)
}

// reopenLosses lets the losses that a released suspect explained count again.
func (t *Tracker) reopenLosses(suspect uint64) {
	for _, l := range t.losses {
		if l.explained && l.explainedBy == suspect {
			l.explained, l.explainedBy = false, 0
		}
	}
}

// evictVerdict removes a verdict from a full table: the oldest one, quarantined
// suspects last.
func (t *Tracker) evictVerdict() {
	if len(t.verdicts) < MaxVerdicts {
		return
	}
	var victim *verdict
	for _, v := range t.verdicts {
		if victim == nil || v.evictedBefore(victim) {
			victim = v
		}
	}
	t.forget(victim)
}

func (v *verdict) evictedBefore(o *verdict) bool {
	if active := v.State == Quarantined; active != (o.State == Quarantined) {
		return !active
	}
	if !v.Since.Equal(o.Since) {
		return v.Since.Before(o.Since)
	}
	return v.Suspect < o.Suspect
}
