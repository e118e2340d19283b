package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Poll evaluates new evidence, ends quarantines that lapsed, and returns the
// verdicts that changed since the last call.
func (t *Tracker) Poll(now time.Time) []Change {
	if !t.evaluateAt.IsZero() && !now.Before(t.evaluateAt) {
		t.evaluate(now)
	}
	for part, v := range t.verdicts {
		switch {
		case v.State == Quarantined && now.Sub(v.nextTrialAt()) > lapseTime:
			companions := v.Companions
			t.decide(now, part, Lapsed, "no trial", func(next *Verdict) { next.Companions = companions })
		case v.State != Quarantined && now.Sub(v.Since) > verdictRetention:
			t.forget(v)
		}
	}
	out := t.changes
	t.changes = nil
	return out
}

// evaluate quarantines every suspect with sufficient evidence, strongest first: each
// quarantine explains losses that then no longer count against other suspects.
func (t *Tracker) evaluate(now time.Time) {
	t.evaluateAt = time.Time{}
	losses := t.sortedLosses()
	t.repeats = t.indexRepeats(losses)
	t.convict(now, losses)
	t.separateCompanions(now, losses)
	t.repeats = nil
}

// convict quarantines suspects until the evidence that is not explained suffices for
// no other one. Only losses on which the reports of all hosts have arrived count, since
// a part that is missing from a report yet makes the others the stronger suspects. Parts
// wait while the evidence against a request settles.
func (t *Tracker) convict(now time.Time, losses []*loss) {
	settled := losses
	if i := slices.IndexFunc(losses, func(l *loss) bool { return now.Before(l.at.Add(t.settleTime())) }); i >= 0 {
		settled = losses[:i]
		t.evaluateBy(losses[i].at.Add(t.settleTime()))
	}
	for {
		suspicions := t.suspicionsOf(now, settled, true)
		requests := t.strongest(now, suspicions)
		for _, request := range requests {
			t.quarantine(now, request, suspicions[request], nil, nil)
		}
		if len(requests) > 0 {
			continue
		}
		if len(settled) < len(losses) && len(t.sufficient(now, t.suspicionsOf(now, losses, true))) > 0 {
			return
		}
		suspicions = t.suspicionsOf(now, settled, false)
		parts := t.strongest(now, suspicions)
		apart := lossesWithout(parts, settled)
		for _, part := range parts {
			t.quarantine(now, part, suspicions[part], parts, apart)
		}
		if len(parts) == 0 {
			return
		}
	}
}

// strongest returns the suspects with the strongest sufficient evidence, and with it
// those whose evidence cannot be told apart from it.
func (t *Tracker) strongest(now time.Time, suspicions map[uint64]*suspicion) []uint64 {
	sufficient := t.sufficient(now, suspicions)
	slices.SortFunc(sufficient, func(a, b uint64) int {
		if alone := t.wasRefusedAlone(a); alone != t.wasRefusedAlone(b) {
			if alone {
				return -1
			}
			return 1
		}
		return cmp.Or(suspicions[b].compare(suspicions[a]), cmp.Compare(a, b))
	})
	for len(sufficient) > 0 {
		tied, unsure := t.rivalsOf(sufficient[0], suspicions, sufficient)
		if !unsure {
			return tied
		}
		t.evaluateBy(now.Add(settleTime)) // until an answer or a loss tells them apart
		sufficient = slices.DeleteFunc(sufficient, func(suspect uint64) bool { return slices.Contains(tied, suspect) })
	}
	return nil
}

// sufficient returns the suspects whose evidence suffices.
func (t *Tracker) sufficient(now time.Time, suspicions map[uint64]*suspicion) (out []uint64) {
	for suspect, s := range suspicions {
		if !t.mayBeCause(suspect, s) {
			if len(s.episodes) >= lossesToQuarantine { // until more answers begin
				t.evaluateBy(now.Add(settleTime))
			}
			continue
		}
		if s.needed = t.lossesNeeded(suspect, s); len(s.episodes) < s.needed { // the share of lost requests may fall
			t.evaluateBy(now.Add(settleTime))
			continue
		}
		out = append(out, suspect)
	}
	return out
}

// rivalsOf returns a suspect and those of the sufficient ones that cannot be told apart
// from it. It reports unsure if one that lacks evidence, or is unsure itself, may explain
// its losses: the report of another host may be late, or one of the losses has another
// cause. Then a further loss decides, but the suspect gets no more than lossesToSeparate
// further ones.
func (t *Tracker) rivalsOf(suspect uint64, suspicions map[uint64]*suspicion, sufficient []uint64) (rivals []uint64, unsure bool) {
	s := suspicions[suspect]
	for _, other := range sufficient {
		o := suspicions[other]
		if t.wasRefusedAlone(suspect) && !t.wasRefusedAlone(other) {
			continue
		}
		if o.answered == s.answered && slices.Equal(o.losses, s.losses) || !IsRequest(suspect) && s.mayBeExplainedBy(o, suspect) && o.mayBeExplainedBy(s, other) {
			rivals = append(rivals, other)
		}
	}
	if IsRequest(suspect) || len(s.episodes) >= s.needed+lossesToSeparate {
		return rivals, false
	}
	for other, o := range suspicions {
		if !slices.Contains(sufficient, other) && s.mayBeExplainedBy(o, suspect) && (!s.hasUnexplainedWithout(o) || t.repeats.requestsLost(o.all.losses) >= min(len(o.all.episodes), lossesToQuarantine)) {
			return rivals, true
		}
	}
	return rivals, false
}

// wasRefusedAlone reports whether the last quarantine of a suspect lapsed and named no
// companions: losses had told it apart from others, which its return leaves true.
func (t *Tracker) wasRefusedAlone(suspect uint64) bool {
	v := t.verdicts[suspect]
	return v != nil && v.isProbation()
}

// mayBeCause reports whether the evidence may suffice, now or later. Losses that one
// request can explain say nothing about its parts.
func (t *Tracker) mayBeCause(suspect uint64, s *suspicion) bool {
	if len(s.episodes) < lossesToQuarantine && len(s.episodes) < t.lossesNeeded(suspect, s) {
		return false
	}
	if v := t.verdicts[suspect]; v != nil && v.State == Lapsed {
		return true
	}
	if s.answered && t.begunSince(s.losses[0]) < answersToSuspect {
		return false
	}
	return IsRequest(suspect) || t.repeats.requestsLost(s.losses) >= lossesToQuarantine
}

// settleTime is the delay between the last loss and the decision. Without other hosts
// there is nothing to wait for.
func (t *Tracker) settleTime() time.Duration {
	if len(t.hosts) <= 1 {
		return 0
	}
	return settleTime
}

// evaluateBy has the evidence evaluated at the given time or before.
func (t *Tracker) evaluateBy(at time.Time) {
	if t.evaluateAt.IsZero() || at.Before(t.evaluateAt) {
		t.evaluateAt = at
	}
}

// separateCompanions makes quarantines unconditional after losses that the part is a
// suspect of and a companion is not, of as many requests: a host may send one request to
// two servers. Reports of all hosts on a loss have arrived when it is settled.
func (t *Tracker) separateCompanions(now time.Time, losses []*loss) {
	for part, v := range t.verdicts {
		if v.State != Quarantined || len(v.Companions) == 0 {
			continue
		}
		var alone suspicion
		for _, l := range losses {
			if _, lost := l.suspects[part]; !lost || !l.at.After(t.clearedAt(part)) || t.isExplained(l) {
				continue
			}
			if due := l.at.Add(t.settleTime()); now.Before(due) {
				t.evaluateBy(due)
				break
			}
			if alone.isFirstOf(l, t.repeats) {
				alone.add(l, part)
			}
		}
		if len(alone.episodes) < lossesToSeparate || t.repeats.requestsLost(alone.losses) < lossesToSeparate {
			continue
		}
		term := v.Term
		t.decide(now, part, Quarantined, "servers ended without the parts suspected with it", func(next *Verdict) {
			next.Losses += len(alone.losses)
			next.Term = term
		})
	}
}
