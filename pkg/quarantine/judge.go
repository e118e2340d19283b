package quarantine

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// suspicion is the evidence against one suspect.
type suspicion struct {
	losses   []*loss
	episodes []time.Time // losses at different times
	answered bool        // servers answered it before
	// explainedBy holds the quarantined requests that explain some of the losses.
	explainedBy map[uint64]bool
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
	t.repeats = nil
	t.separateCompanions(now, losses)
}

// convict quarantines suspects until the evidence that is not explained suffices for
// no other one. Parts wait while the evidence against a request settles.
func (t *Tracker) convict(now time.Time, losses []*loss) {
	for {
		suspicions := t.suspicionsOf(now, losses, true)
		requests, settling := t.strongest(now, suspicions)
		for _, request := range requests {
			t.quarantine(now, request, suspicions[request], nil)
		}
		if len(requests) > 0 {
			continue
		}
		if settling {
			return
		}
		suspicions = t.suspicionsOf(now, losses, false)
		parts, _ := t.strongest(now, suspicions)
		for _, part := range parts {
			t.quarantine(now, part, suspicions[part], parts)
		}
		if len(parts) == 0 {
			return
		}
	}
}

// strongest returns the suspects with the strongest sufficient evidence: those of the
// same losses, which cannot be told apart. It also reports whether some evidence
// suffices but has not settled.
func (t *Tracker) strongest(now time.Time, suspicions map[uint64]*suspicion) (tied []uint64, settling bool) {
	for suspect, s := range suspicions {
		if !t.mayBeCause(suspect, s) {
			if len(s.episodes) >= lossesToQuarantine { // until more answers begin
				t.evaluateBy(now.Add(settleTime))
			}
			continue
		}
		needed := t.lossesNeeded(suspect, s)
		if len(s.episodes) < needed { // the share of lost requests may fall
			t.evaluateBy(now.Add(settleTime))
			continue
		}
		if due := s.episodes[needed-1].Add(t.settleTime()); now.Before(due) {
			t.evaluateBy(due)
			settling = true
			continue
		}
		if len(tied) > 0 {
			order := s.compare(suspicions[tied[0]])
			if order < 0 {
				continue
			}
			if order > 0 {
				tied = tied[:0]
			}
		}
		tied = append(tied, suspect)
	}
	if len(tied) == 0 {
		return nil, settling
	}
	slices.Sort(tied)
	first := suspicions[tied[0]]
	return slices.DeleteFunc(tied, func(suspect uint64) bool { return !slices.Equal(suspicions[suspect].losses, first.losses) }), settling
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
	return IsRequest(suspect) || t.requestsLost(s) >= lossesToQuarantine
}

// begunSince returns how many answers began since the loss, to requests with parts if
// those were lost, else without, at hosts that have reported it or a later one.
func (t *Tracker) begunSince(first *loss) int {
	begun, reported := 0, map[uint64]bool{}
	for _, l := range t.sortedLosses() {
		if l.at.Before(first.at) || l.hasParts() != first.hasParts() {
			continue
		}
		for host, r := range l.reports {
			if reported[host] {
				begun += r.begun
			}
			reported[host] = true
		}
	}
	if reported[t.self] {
		begun += *t.begunOf(first.hasParts())
	}
	return begun
}

// requestsLost returns the least number of requests of which one was lost in each of
// the losses, up to lossesToQuarantine: more than that may be repeats. It takes the
// request that was lost most often first.
func (t *Tracker) requestsLost(s *suspicion) int {
	left, counts := slices.Clone(s.losses), map[int]int{}
	for n := range lossesToQuarantine {
		clear(counts)
		best := 0
		for _, l := range left {
			for _, request := range t.repeats[l] {
				counts[request]++
				if counts[request] > counts[best] || counts[request] == counts[best] && request > best {
					best = request
				}
			}
		}
		if counts[best] <= 1 {
			return min(n+len(left), lossesToQuarantine)
		}
		left = slices.DeleteFunc(left, func(l *loss) bool { return slices.Contains(t.repeats[l], best) })
	}
	return lossesToQuarantine
}

// indexRepeats returns, for each loss, the numbers of the requests that are suspects of
// it and of another one.
func (t *Tracker) indexRepeats(losses []*loss) map[*loss][]int {
	counts := map[uint64]int{}
	for _, l := range losses {
		for request := range l.suspects {
			if IsRequest(request) && t.isSuspectOf(request, l) {
				counts[request]++
			}
		}
	}
	requests := slices.DeleteFunc(slices.Sorted(maps.Keys(counts)), func(request uint64) bool { return counts[request] < 2 })
	numbers := make(map[uint64]int, len(requests))
	for i, request := range requests {
		numbers[request] = i + 1
	}
	out := make(map[*loss][]int, len(losses))
	for _, l := range losses {
		for request := range l.suspects {
			if number := numbers[request]; number > 0 && t.isSuspectOf(request, l) {
				out[l] = append(out[l], number)
			}
		}
	}
	return out
}

// isSuspectOf reports whether a request or part was lost in the loss and was not
// cleared since.
func (t *Tracker) isSuspectOf(suspect uint64, l *loss) bool {
	_, lost := l.suspects[suspect]
	return lost && l.at.After(t.innocentUntil(suspect))
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

// suspicionsOf returns the evidence against each request, or each part, from the losses
// that no quarantined suspect explains. The losses that a request explains count
// against a part as one: the part may still be what the request crashes on.
func (t *Tracker) suspicionsOf(now time.Time, losses []*loss, requests bool) map[uint64]*suspicion {
	out := map[uint64]*suspicion{}
	for _, l := range losses {
		explained := t.isExplained(l)
		if now.Sub(l.at) > lossRetention || explained && (requests || !IsRequest(l.explainedBy)) {
			continue
		}
		for suspect := range l.suspects {
			if IsRequest(suspect) != requests {
				continue
			}
			if v := t.verdicts[suspect]; v != nil && v.State == Quarantined || !l.at.After(t.innocentUntil(suspect)) {
				continue
			}
			s := out[suspect]
			if s == nil {
				s = &suspicion{answered: !t.clearedAt(suspect).IsZero()}
				out[suspect] = s
			}
			if !explained || s.isFirstOf(l.explainedBy) {
				s.add(l, suspect)
			}
		}
	}
	return out
}

// isFirstOf reports whether no loss that the request explains was counted before.
func (s *suspicion) isFirstOf(request uint64) bool {
	if s.explainedBy[request] {
		return false
	}
	if s.explainedBy == nil {
		s.explainedBy = map[uint64]bool{}
	}
	s.explainedBy[request] = true
	return true
}

// add adds a loss to the evidence. Losses come in order of time.
func (s *suspicion) add(l *loss, suspect uint64) {
	s.losses = append(s.losses, l)
	if n := len(s.episodes); n == 0 || l.isApartFrom(s.episodes[n-1], suspect, s.answered) {
		s.episodes = append(s.episodes, l.at)
	}
}

// isApartFrom reports whether the loss says more about the suspect than one at the
// earlier time. A copy of a request was sent after the earlier loss; or some time has
// passed and no server ever answered the request: callers send a batch of equal requests
// that wait together.
func (l *loss) isApartFrom(earlier time.Time, suspect uint64, answered bool) bool {
	gap := l.at.Sub(earlier)
	if IsRequest(suspect) {
		return gap > 0 && l.suspects[suspect] <= gap || gap >= requestEpisodeGap && !answered
	}
	return gap >= episodeGap || l.started.After(earlier)
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
			if _, lost := l.suspects[part]; !lost || !l.at.After(v.Since) || !l.at.After(t.clearedAt(part)) || t.isExplained(l) {
				continue
			}
			if due := l.at.Add(t.settleTime()); now.Before(due) {
				t.evaluateBy(due)
				break
			}
			alone.add(l, part)
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

// compare orders evidence by its strength. Suspects that no server answered come
// first.
func (s *suspicion) compare(o *suspicion) int {
	if s.answered != o.answered {
		if o.answered {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(len(s.episodes), len(o.episodes)), cmp.Compare(len(s.losses), len(o.losses)))
}

// isExplained reports whether a quarantined suspect was lost in the loss. The
// explanation stays when the quarantine lapses. Of several suspects a request is the
// explanation, and of equal kinds the greater one, so that all hosts agree.
func (t *Tracker) isExplained(l *loss) bool {
	if l.explained || t.active == 0 {
		return l.explained
	}
	has := func(suspect uint64) bool { _, lost := l.suspects[suspect]; return lost }
	for suspect := range l.suspects {
		if v := t.verdicts[suspect]; v != nil && suspect >= l.explainedBy && t.applies(v, has) {
			l.explained, l.explainedBy = true, suspect
		}
	}
	return l.explained
}

// innocentUntil returns the time up to which losses do not count against a suspect:
// when it was last cleared or released.
func (t *Tracker) innocentUntil(suspect uint64) time.Time {
	at := t.clearedAt(suspect)
	if v := t.verdicts[suspect]; v != nil && v.State != Quarantined && v.Since.After(at) {
		return v.Since
	}
	return at
}

// lossesNeeded returns the number of losses at different times that quarantine a
// suspect.
func (t *Tracker) lossesNeeded(suspect uint64, s *suspicion) int {
	if v := t.verdicts[suspect]; v != nil && v.State == Lapsed {
		return 1
	}
	if IsRequest(suspect) || len(s.episodes) < lossesToQuarantine {
		return lossesToQuarantine
	}
	return min(max(t.lossesBeyondChance(suspect, s), lossesToQuarantine), maxLossesNeeded)
}

// lossesBeyondChance returns the number of losses at different times that happen to a
// suspect by chance with maxFalseRate. All its requests since the first of them were
// lost; with the share of requests that are lost for other reasons, this is how
// unlikely that is.
func (t *Tracker) lossesBeyondChance(suspect uint64, s *suspicion) int {
	share := t.lostShare(suspect, s)
	return int(math.Ceil(math.Log(maxFalseRate)/math.Log(share) - 1e-6))
}

// lostShare returns the share of the requests of the fleet that were lost together
// with a server in losses without the suspect, from some time before its first loss.
// Requests with parts and those without are counted apart.
func (t *Tracker) lostShare(suspect uint64, s *suspicion) float64 {
	since := s.episodes[0].Add(-hazardLead)
	if earliest := s.episodes[len(s.episodes)-1].Add(-hazardWindow); since.Before(earliest) {
		since = earliest
	}
	parts := s.losses[0].hasParts()
	lost, begun := priorLost, *t.begunOf(parts)+priorRequests-priorLost
	for _, l := range t.losses {
		if l.at.Before(since) || l.hasParts() != parts {
			continue
		}
		_, suspected := l.suspects[suspect]
		for _, r := range l.reports {
			begun += r.begun
			if !suspected {
				lost += r.requests
			}
		}
	}
	return float64(lost) / float64(lost+begun)
}

// quarantine quarantines a suspect on the evidence, which it shares with the tied
// parts.
func (t *Tracker) quarantine(now time.Time, suspect uint64, s *suspicion, tied []uint64) {
	reporters := map[uint64]report{}
	for _, l := range s.losses {
		maps.Copy(reporters, l.reports)
		l.explained, l.explainedBy = true, suspect
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
