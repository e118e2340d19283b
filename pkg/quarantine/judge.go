package quarantine

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// suspicion is the evidence against one part.
type suspicion struct {
	losses   []*loss
	episodes []time.Time // losses at different times
}

// Poll evaluates new evidence, ends quarantines that lapsed, and returns the
// verdicts that changed since the last call.
func (t *Tracker) Poll(now time.Time) []Change {
	if !t.evaluateAt.IsZero() && !now.Before(t.evaluateAt) {
		t.evaluate(now)
	}
	for part, v := range t.verdicts {
		switch {
		case v.State == Quarantined && now.Sub(v.nextTrialAt()) > lapseTime:
			t.decide(now, part, Lapsed, "no trial")
		case v.State != Quarantined && now.Sub(v.Since) > verdictRetention:
			delete(t.verdicts, part)
		}
	}
	out := t.changes
	t.changes = nil
	return out
}

// evaluate quarantines every part with sufficient evidence, strongest first: each
// quarantine explains losses that then no longer count against other parts.
func (t *Tracker) evaluate(now time.Time) {
	t.evaluateAt = time.Time{}
	losses := t.sortedLosses()
	t.convict(now, losses)
	t.separateCompanions(now, losses)
}

// convict quarantines parts until the evidence that is not explained suffices for
// no other one.
func (t *Tracker) convict(now time.Time, losses []*loss) {
	for {
		suspicions := t.suspicionsOf(now, losses)
		var strongest []uint64
		for part, s := range suspicions {
			if len(s.episodes) < lossesToQuarantine && len(s.episodes) < t.lossesNeeded(part, s) {
				continue
			}
			if due := t.sufficientAt(now, part, s).Add(settleTime); now.Before(due) {
				t.evaluateBy(due)
				continue
			}
			if len(strongest) > 0 {
				order := s.compare(suspicions[strongest[0]])
				if order < 0 {
					continue
				}
				if order > 0 {
					strongest = strongest[:0]
				}
			}
			strongest = append(strongest, part)
		}
		if len(strongest) == 0 {
			return
		}
		slices.Sort(strongest)
		// Parts that are suspects of the same losses cannot be told apart.
		first := suspicions[strongest[0]]
		tied := slices.DeleteFunc(strongest, func(part uint64) bool { return !slices.Equal(suspicions[part].losses, first.losses) })
		for _, part := range tied {
			t.quarantine(now, part, suspicions[part], tied)
		}
	}
}

// sufficientAt returns when the evidence against a part became sufficient, now if
// it is not: the share of lost requests may fall.
func (t *Tracker) sufficientAt(now time.Time, part uint64, s *suspicion) time.Time {
	if needed := t.lossesNeeded(part, s); len(s.episodes) >= needed {
		return s.episodes[needed-1]
	}
	return now
}

// evaluateBy has the evidence evaluated at the given time or before.
func (t *Tracker) evaluateBy(at time.Time) {
	if t.evaluateAt.IsZero() || at.Before(t.evaluateAt) {
		t.evaluateAt = at
	}
}

// suspicionsOf returns the evidence against each part from the losses that no
// quarantined part explains.
func (t *Tracker) suspicionsOf(now time.Time, losses []*loss) map[uint64]*suspicion {
	out := map[uint64]*suspicion{}
	for _, l := range losses {
		if now.Sub(l.at) > lossRetention || t.isExplained(l) {
			continue
		}
		for part := range l.parts {
			if v := t.verdicts[part]; v != nil && v.State == Quarantined || !l.at.After(t.innocentUntil(part)) {
				continue
			}
			s := out[part]
			if s == nil {
				s = &suspicion{}
				out[part] = s
			}
			s.add(l)
		}
	}
	return out
}

// add adds a loss to the evidence. Losses come in order of time.
func (s *suspicion) add(l *loss) {
	s.losses = append(s.losses, l)
	if n := len(s.episodes); n == 0 || l.at.Sub(s.episodes[n-1]) >= episodeGap {
		s.episodes = append(s.episodes, l.at)
	}
}

// separateCompanions makes quarantines unconditional after losses that the part is a
// suspect of and a companion is not. Reports of all hosts on a loss have arrived when
// it is settled.
func (t *Tracker) separateCompanions(now time.Time, losses []*loss) {
	for part, v := range t.verdicts {
		if v.State != Quarantined || len(v.Companions) == 0 {
			continue
		}
		var alone suspicion
		for _, l := range losses {
			if !l.parts[part] || !l.at.After(v.Since) || !l.at.After(t.cleared.at(part)) || t.isExplained(l) {
				continue
			}
			if due := l.at.Add(settleTime); now.Before(due) {
				t.evaluateBy(due)
				break
			}
			alone.add(l)
		}
		if len(alone.episodes) < lossesToSeparate {
			continue
		}
		term := v.Term
		t.decide(now, part, Quarantined, "servers ended without the parts suspected with it", func(next *Verdict) {
			next.Losses += len(alone.losses)
			next.Term = term
		})
	}
}

// compare orders evidence by its strength.
func (s *suspicion) compare(o *suspicion) int {
	return cmp.Or(cmp.Compare(len(s.episodes), len(o.episodes)), cmp.Compare(len(s.losses), len(o.losses)))
}

// isExplained reports whether a quarantined part is a suspect of the loss. The
// explanation stays when the quarantine lapses.
func (t *Tracker) isExplained(l *loss) bool {
	if l.explained {
		return true
	}
	if t.active == 0 {
		return false
	}
	for part := range l.parts {
		if v := t.verdicts[part]; v != nil && t.applies(v, func(p uint64) bool { return l.parts[p] }) {
			l.explained, l.explainedBy = true, part
			return true
		}
	}
	return false
}

// innocentUntil returns the time up to which losses do not count against a part:
// when it was last cleared or released.
func (t *Tracker) innocentUntil(part uint64) time.Time {
	at := t.cleared.at(part)
	if v := t.verdicts[part]; v != nil && v.State != Quarantined && v.Since.After(at) {
		return v.Since
	}
	return at
}

// lossesNeeded returns the number of losses at different times that quarantine a
// part. All its requests since the first of them were lost; with the share of
// requests that are lost for other reasons, this is how unlikely that is.
func (t *Tracker) lossesNeeded(part uint64, s *suspicion) int {
	if v := t.verdicts[part]; v != nil && v.State == Lapsed {
		return 1
	}
	if len(s.episodes) < lossesToQuarantine {
		return lossesToQuarantine
	}
	share := t.lostShare(part, s.episodes)
	n := int(math.Ceil(math.Log(maxFalseRate)/math.Log(share) - 1e-6))
	return min(max(n, lossesToQuarantine), maxLossesNeeded)
}

// lostShare returns the share of the requests of the fleet that were lost together
// with a server in losses that the part is no suspect of, from some time before
// its first loss, given the times of its losses.
func (t *Tracker) lostShare(part uint64, episodes []time.Time) float64 {
	since := episodes[0].Add(-hazardLead)
	if earliest := episodes[len(episodes)-1].Add(-hazardWindow); since.Before(earliest) {
		since = earliest
	}
	lost, begun := priorLost, t.begun+priorRequests-priorLost
	for _, l := range t.losses {
		if l.at.Before(since) {
			continue
		}
		for _, r := range l.reports {
			begun += r.begun
			if !l.parts[part] {
				lost += r.requests
			}
		}
	}
	return float64(lost) / float64(lost+begun)
}

// quarantine quarantines a part on the evidence, which it shares with the tied parts.
func (t *Tracker) quarantine(now time.Time, part uint64, s *suspicion, tied []uint64) {
	reporters := map[uint64]report{}
	for _, l := range s.losses {
		maps.Copy(reporters, l.reports)
		l.explained, l.explainedBy = true, part
	}
	t.decide(now, part, Quarantined, "servers ended before they answered", func(v *Verdict) {
		v.Losses, v.Hosts = len(s.losses), len(reporters)
		for _, other := range tied {
			if other != part && len(v.Companions) < MaxCompanions {
				v.Companions = append(v.Companions, other)
			}
		}
	})
}

// decide makes a verdict of this host with the next generation, changed by the
// given functions.
func (t *Tracker) decide(now time.Time, part uint64, state State, reason string, changes ...func(*Verdict)) {
	next := Verdict{Suspect: part, State: state, Since: now, Term: firstTerm}
	if v := t.verdicts[part]; v != nil {
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
	t.announceVerdict(part)
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
	t.active -= activeCount(v.State)
	v.Verdict, v.local = next, false
	t.active += activeCount(v.State)
	t.evaluateBy(now)
	return v
}

func activeCount(s State) int {
	if s == Quarantined {
		return 1
	}
	return 0
}

// reopenLosses lets the losses that a released part explained count again.
func (t *Tracker) reopenLosses(part uint64) {
	for _, l := range t.losses {
		if l.explained && l.explainedBy == part {
			l.explained = false
		}
	}
}

// evictVerdict removes a verdict from a full table: the oldest one, quarantined
// parts last.
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
	t.active -= activeCount(victim.State)
	delete(t.verdicts, victim.Suspect)
}

func (v *verdict) evictedBefore(o *verdict) bool {
	if active, otherActive := activeCount(v.State), activeCount(o.State); active != otherActive {
		return active < otherActive
	}
	if !v.Since.Equal(o.Since) {
		return v.Since.Before(o.Since)
	}
	return v.Suspect < o.Suspect
}
