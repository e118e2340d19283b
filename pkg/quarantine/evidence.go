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
	needed   int         // losses at different times that suffice, of a possible cause
	// all has the losses that count as one with another one, too. It is the suspicion itself
	// while there are none.
	all *suspicion
	// explainedBy holds the quarantined requests that explain some of the losses, repeated
	// the repeated ones that may.
	explainedBy map[uint64]bool
	repeated    numberSet
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

// repeatIndex holds the requests that were lost in several losses, as numbers from 1.
type repeatIndex struct {
	requests map[*loss][]int
	order    map[*loss]uint64    // number of the loss
	repeated map[*loss]numberSet // requests that callers sent again after a loss
	counts   []int               // by request, scratch space
	least    map[uint64]int      // results of requestsLost, by a hash of the losses
}

// indexRepeats returns the requests that are suspects of a loss and of another one.
func (t *Tracker) indexRepeats(losses []*loss) *repeatIndex {
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
	x := &repeatIndex{requests: map[*loss][]int{}, repeated: map[*loss]numberSet{}, order: map[*loss]uint64{}, counts: make([]int, len(requests)+1), least: map[uint64]int{}}
	before, repeated := make([]lostCopy, len(requests)+1), make([]bool, len(requests)+1)
	for i, l := range losses {
		x.order[l] = uint64(i)
		for request, lost := range l.suspects {
			number := numbers[request]
			if number == 0 || !t.isSuspectOf(request, l) {
				continue
			}
			x.requests[l] = append(x.requests[l], number)
			if before[number].isRepeatedBy(l.at.Add(-lost.sentBefore()), lost.copy) {
				repeated[number] = true
			}
			before[number] = lostCopy{l.at, before[number].first || lost.copy == FirstCopy}
		}
	}
	for _, l := range losses {
		for _, number := range x.requests[l] {
			if repeated[number] {
				x.repeated[l] = x.repeated[l].with(number, len(numbers))
			}
		}
	}
	return x
}

// lostCopy is the last loss of a request.
type lostCopy struct {
	at    time.Time // zero if there was none
	first bool      // this loss or one before it is of a first copy
}

// isRepeatedBy reports whether a copy that was lost later shows that callers sent the
// request again.
func (c lostCopy) isRepeatedBy(sent time.Time, copy Copy) bool {
	switch {
	case c.at.IsZero() || copy == FurtherCopy:
		return false
	case copy == FirstCopy && c.first:
		return true
	}
	return sent.Sub(c.at) > retryTime
}

// numberSet is a set of numbers, nil if it is empty. Many suspects are compared with many
// requests, which a map takes five times as long for.
type numberSet []uint64

// with returns the set with a number of at most limit. It may change the set.
func (s numberSet) with(number, limit int) numberSet {
	if s == nil {
		s = make(numberSet, limit/64+1)
	}
	s[number/64] |= 1 << (number % 64)
	return s
}

// intersects reports whether two sets of the same limit have a number in common.
func (s numberSet) intersects(o numberSet) bool {
	for i := range min(len(s), len(o)) {
		if s[i]&o[i] != 0 {
			return true
		}
	}
	return false
}

// union returns the numbers of both sets, of the same limit. It may change the first one.
func (s numberSet) union(o numberSet) numberSet {
	if s == nil {
		return slices.Clone(o)
	}
	for i := range o {
		s[i] |= o[i]
	}
	return s
}

// requestsLost returns the least number of requests of which one was lost in each of
// the losses, up to lossesToQuarantine: more than that may be repeats. Many parts have
// the same losses, so each set of losses is looked at once.
func (x *repeatIndex) requestsLost(losses []*loss) int {
	key := uint64(len(losses))
	for _, l := range losses {
		key = mix(key, x.order[l])
	}
	least, known := x.least[key]
	if !known {
		least = x.countRequests(slices.Clone(losses))
		x.least[key] = least
	}
	return least
}

// countRequests takes the request that was lost most often first.
func (x *repeatIndex) countRequests(left []*loss) int {
	for n := range lossesToQuarantine {
		clear(x.counts)
		best := 0
		for _, l := range left {
			for _, request := range x.requests[l] {
				x.counts[request]++
				if x.counts[request] > x.counts[best] || x.counts[request] == x.counts[best] && request > best {
					best = request
				}
			}
		}
		if x.counts[best] <= 1 {
			return min(n+len(left), lossesToQuarantine)
		}
		left = slices.DeleteFunc(left, func(l *loss) bool { return slices.Contains(x.requests[l], best) })
	}
	return lossesToQuarantine
}

// isSuspectOf reports whether a request or part was lost in the loss and was not
// cleared since.
func (t *Tracker) isSuspectOf(suspect uint64, l *loss) bool {
	_, lost := l.suspects[suspect]
	return lost && l.at.After(t.innocentUntil(suspect))
}

// suspicionsOf returns the evidence against each request, or each part, from the losses
// that no quarantined suspect explains. The losses that a request explains, or may
// explain because callers repeated it, count against a part as one: the part may still be
// what the request crashes on.
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
				s.all = s
				out[suspect] = s
			}
			if requests || s.isFirstOf(l, t.repeats) {
				s.add(l, suspect)
				if s.all != s {
					s.all.add(l, suspect)
				}
			} else if !explained {
				s.addToAll(l, suspect)
			}
		}
	}
	return out
}

// isFirstOf reports whether no loss was counted before that the request explains that
// explains this one. Without such a request, those that callers sent again after a loss may
// explain it: each of their losses took a server along.
func (s *suspicion) isFirstOf(l *loss, x *repeatIndex) bool {
	if !l.explained {
		if s.repeated.intersects(x.repeated[l]) {
			return false
		}
		s.repeated = s.repeated.union(x.repeated[l])
		return true
	}
	if s.explainedBy[l.explainedBy] {
		return false
	}
	if s.explainedBy == nil {
		s.explainedBy = map[uint64]bool{}
	}
	s.explainedBy[l.explainedBy] = true
	return true
}

// add adds a loss to the evidence. Losses come in order of time.
func (s *suspicion) add(l *loss, suspect uint64) {
	s.losses = append(s.losses, l)
	if n := len(s.episodes); n == 0 || l.isApartFrom(s.episodes[n-1], suspect, s.answered) {
		s.episodes = append(s.episodes, l.at)
	}
}

// addToAll adds a loss that counts as one with another one.
func (s *suspicion) addToAll(l *loss, suspect uint64) {
	if s.all == s {
		s.all = &suspicion{answered: s.answered, losses: slices.Clone(s.losses), episodes: slices.Clone(s.episodes)}
	}
	s.all.add(l, suspect)
}

// isApartFrom reports whether the loss says more about the suspect than one at the
// earlier time. A copy of a request was sent after the earlier loss; or some time has
// passed and no server ever answered the request: callers send a batch of equal requests
// that wait together. The time of a loss that another host reports is late by the time
// that its message took, so that a copy may seem to be sent before it.
func (l *loss) isApartFrom(earlier time.Time, suspect uint64, answered bool) bool {
	gap := l.at.Sub(earlier)
	if IsRequest(suspect) {
		sentBefore := l.suspects[suspect].sentBefore()
		if answered {
			return gap > 0 && sentBefore <= gap
		}
		return gap > 0 && sentBefore <= gap+reportDelay || gap >= requestEpisodeGap
	}
	return gap >= episodeGap || l.started.After(earlier)
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

// mayBeExplainedBy reports whether another suspect may have caused the losses of this one:
// it has all but fewer than lossesToSeparate at different times, and two at least. One that
// servers answered before does not explain the losses of one that they never answered.
func (s *suspicion) mayBeExplainedBy(o *suspicion, suspect uint64) bool {
	if o.answered && !s.answered || len(o.episodes) < lossesToQuarantine-1 {
		return false
	}
	alone := s.without(o, suspect)
	return alone < lossesToSeparate && len(s.episodes)-alone >= lossesToQuarantine-1
}

// without returns the number of losses at different times that the other suspect does
// not have.
func (s *suspicion) without(o *suspicion, suspect uint64) int {
	alone := suspicion{answered: s.answered}
	for _, l := range s.losses {
		if !slices.Contains(o.losses, l) {
			alone.add(l, suspect)
		}
	}
	return len(alone.episodes)
}

// hasUnexplainedWithout reports whether there is a loss that no quarantined suspect
// explains and that the other suspect does not have.
func (s *suspicion) hasUnexplainedWithout(o *suspicion) bool {
	return slices.ContainsFunc(s.losses, func(l *loss) bool { return !l.explained && !slices.Contains(o.losses, l) })
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
