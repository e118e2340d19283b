package quarantine

import (
	"cmp"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "jackdawtrack.example/jackdawtrack/internal/fixedseed"
)

// model decides from the whole history, without any of the Tracker's indexes. Suspects
// are parts and requests; a request is lost at a time of its own after it was sent.
type model struct {
	losses      []modelLoss
	began       []modelAnswer
	quarantined map[uint64]time.Time
	released    map[uint64]time.Time
	companions  map[uint64][]uint64
	lapsed      map[uint64]bool
	terms       map[uint64]time.Duration
}

type modelLoss struct {
	at          time.Time
	parts       []uint64 // and requests
	lost, begun int
	explainedBy uint64
}

type modelAnswer struct {
	at    time.Time
	parts []uint64
}

func (m *model) innocentUntil(part uint64) time.Time {
	if at := m.answeredAt(part); at.After(m.released[part]) {
		return at
	}
	return m.released[part]
}

func (m *model) answeredAt(part uint64) time.Time {
	var at time.Time
	for _, a := range m.began {
		if slices.Contains(a.parts, part) && a.at.After(at) {
			at = a.at
		}
	}
	return at
}

func (m *model) answered(suspect uint64) bool { return !m.answeredAt(suspect).IsZero() }

// answersSince returns the answers to requests of the same kind since a loss.
func (m *model) answersSince(loss int) int {
	n := 0
	for _, a := range m.began {
		if hasParts(a.parts) == hasParts(m.losses[loss].parts) && a.at.After(m.losses[loss].at) {
			n++
		}
	}
	return n
}

// repeatsOf returns the requests that may explain a loss because they were sent again
// after one, which all requests here are that have two losses.
func (m *model) repeatsOf(loss int) (out []uint64) {
	for _, request := range m.losses[loss].parts {
		n := 0
		for i := range m.losses {
			if m.mayBeCause(request, i) {
				n++
			}
		}
		if m.mayBeCause(request, loss) && n >= 2 {
			out = append(out, request)
		}
	}
	return out
}

// evidence returns the losses against a part and those at different times. Those that a
// request explains count as one, and if merge is set also those that it may explain.
func (m *model) evidence(part uint64, merge bool) (losses []int, episodes []time.Time) {
	var explaining []uint64
	for i, l := range m.losses {
		if !slices.Contains(l.parts, part) || !l.at.After(m.innocentUntil(part)) {
			continue
		}
		if l.explainedBy != 0 && (IsRequest(part) || !IsRequest(l.explainedBy)) {
			continue
		}
		if !IsRequest(part) {
			var requests []uint64
			if l.explainedBy != 0 {
				requests = []uint64{l.explainedBy}
			} else if merge {
				requests = m.repeatsOf(i)
			}
			if slices.ContainsFunc(requests, func(r uint64) bool { return slices.Contains(explaining, r) }) {
				continue
			}
			explaining = append(explaining, requests...)
		}
		losses = append(losses, i)
		if n := len(episodes); n == 0 || l.at.Sub(episodes[n-1]) >= episodeGap {
			episodes = append(episodes, l.at)
		}
	}
	return losses, episodes
}

// needed returns the losses that quarantine a suspect with the given ones.
func (m *model) needed(part uint64, losses []int, episodes []time.Time) int {
	if m.lapsed[part] {
		return 1
	}
	if IsRequest(part) {
		return 3
	}
	return min(max(m.beyondChance(part, losses, episodes), 3), 18)
}

func (m *model) beyondChance(part uint64, losses []int, episodes []time.Time) int {
	first, last, parts := episodes[0], episodes[len(episodes)-1], hasParts(m.losses[losses[0]].parts)
	from := first.Add(-hazardLead)
	if earliest := last.Add(-hazardWindow); from.Before(earliest) {
		from = earliest
	}
	lost, all := 1.0, 48.0
	for _, l := range m.losses {
		if l.at.Before(from) || hasParts(l.parts) != parts {
			continue
		}
		all += float64(l.begun)
		if !slices.Contains(l.parts, part) {
			lost += float64(l.lost)
			all += float64(l.lost)
		}
	}
	var lastLoss time.Time
	for _, l := range m.losses {
		if hasParts(l.parts) == parts {
			lastLoss = l.at
		}
	}
	for _, a := range m.began {
		if hasParts(a.parts) == parts && a.at.After(lastLoss) {
			all++
		}
	}
	return int(math.Ceil(math.Log(maxFalseRate)/math.Log(lost/all) - 1e-6))
}

func hasParts(suspects []uint64) bool {
	return slices.ContainsFunc(suspects, func(s uint64) bool { return !IsRequest(s) })
}

// requestsLost returns the least number of requests that explain the losses, where each
// loss that none of them was lost in has a request of its own; 3 stands for more.
func (m *model) requestsLost(losses []int, suspects []uint64) int {
	least := 3
	for _, first := range suspects {
		for _, second := range suspects {
			requests := 0
			for _, request := range slices.Compact([]uint64{first, second}) {
				if slices.ContainsFunc(losses, func(i int) bool { return m.mayBeCause(request, i) }) {
					requests++
				}
			}
			for _, i := range losses {
				if !m.mayBeCause(first, i) && !m.mayBeCause(second, i) {
					requests++
				}
			}
			least = min(least, requests)
		}
	}
	return least
}

// mayBeCause reports whether the request was lost in the loss and not cleared since.
func (m *model) mayBeCause(request uint64, loss int) bool {
	l := m.losses[loss]
	return IsRequest(request) && slices.Contains(l.parts, request) && l.at.After(m.innocentUntil(request))
}

// applies reports whether a prompt or a loss with the parts falls under the
// quarantine of part.
func (m *model) applies(part uint64, parts []uint64) bool {
	if m.quarantined[part].IsZero() || !slices.Contains(parts, part) {
		return false
	}
	for _, c := range m.companions[part] {
		if !m.quarantined[c].IsZero() && !slices.Contains(parts, c) {
			return false
		}
	}
	return true
}

// separate removes the companions of parts that were lost twice without them.
func (m *model) separate(now time.Time, parts []uint64) {
	for _, p := range parts {
		if m.quarantined[p].IsZero() || len(m.companions[p]) == 0 {
			continue
		}
		m.explain()
		var alone []int
		var explaining []uint64
		for i, l := range m.losses {
			if l.explainedBy != 0 || !slices.Contains(l.parts, p) || !l.at.After(m.answeredAt(p)) {
				continue
			}
			requests := m.repeatsOf(i)
			if !slices.ContainsFunc(requests, func(r uint64) bool { return slices.Contains(explaining, r) }) {
				explaining = append(explaining, requests...)
				alone = append(alone, i)
			}
		}
		if len(alone) >= lossesToSeparate && m.requestsLost(alone, parts) >= lossesToSeparate {
			m.quarantined[p], m.companions[p] = now, nil
		}
	}
}

func (m *model) poll(now time.Time, parts []uint64) {
	m.evaluate(now, parts)
	m.separate(now, parts)
	for p, since := range m.quarantined {
		if now.Sub(since) > m.terms[p]+lapseTime {
			delete(m.quarantined, p)
			m.released[p], m.lapsed[p] = now, true
		}
	}
}

func (m *model) evaluate(now time.Time, suspects []uint64) {
	requests := slices.DeleteFunc(slices.Clone(suspects), func(s uint64) bool { return !IsRequest(s) })
	parts := slices.DeleteFunc(slices.Clone(suspects), IsRequest)
	for m.convict(now, requests, suspects) || m.convict(now, parts, suspects) {
	}
}

// modelSuspicion is the evidence against one candidate.
type modelSuspicion struct {
	suspect    uint64
	losses     []int
	episodes   []time.Time
	needed     int
	sufficient bool
	answered   bool
}

// suspicions returns the evidence against the candidates, the strongest first.
func (m *model) suspicions(now time.Time, candidates, suspects []uint64) (out []modelSuspicion) {
	for _, p := range candidates {
		losses, episodes := m.evidence(p, true)
		if !m.quarantined[p].IsZero() || len(losses) == 0 {
			continue
		}
		s := modelSuspicion{suspect: p, losses: losses, episodes: episodes, needed: m.needed(p, losses, episodes), answered: m.answered(p)}
		s.sufficient = len(episodes) >= 3 || m.lapsed[p]
		s.sufficient = s.sufficient && len(episodes) >= s.needed && !now.Before(episodes[s.needed-1].Add(settleTime))
		if !m.lapsed[p] && (!IsRequest(p) && m.requestsLost(losses, suspects) < 3 || s.answered && m.answersSince(losses[0]) < 16) {
			s.sufficient = false
		}
		out = append(out, s)
	}
	slices.SortStableFunc(out, func(a, b modelSuspicion) int {
		return cmp.Or(cmp.Compare(toInt(m.wasRefusedAlone(b.suspect)), toInt(m.wasRefusedAlone(a.suspect))), cmp.Compare(toInt(a.answered), toInt(b.answered)), cmp.Compare(len(b.episodes), len(a.episodes)), cmp.Compare(len(b.losses), len(a.losses)))
	})
	return out
}

// wasRefusedAlone reports whether a quarantine without companions lapsed.
func (m *model) wasRefusedAlone(suspect uint64) bool {
	return m.lapsed[suspect] && len(m.companions[suspect]) == 0
}

// hasUnexplainedWithout reports whether a has a loss that no request explains and b lacks.
func (m *model) hasUnexplainedWithout(a, b modelSuspicion) bool {
	return slices.ContainsFunc(a.losses, func(i int) bool { return m.losses[i].explainedBy == 0 && !slices.Contains(b.losses, i) })
}

func toInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// missing returns how many losses at different times a has and b has not.
func (m *model) missing(a, b modelSuspicion) (n int) {
	var last time.Time
	for _, i := range a.losses {
		if at := m.losses[i].at; !slices.Contains(b.losses, i) && (last.IsZero() || at.Sub(last) >= episodeGap) {
			n, last = n+1, at
		}
	}
	return n
}

// explains reports whether b may have caused the losses of a: two losses with both, and
// fewer than two with a alone.
func (m *model) explains(a, b modelSuspicion) bool {
	alone := m.missing(a, b)
	return !IsRequest(a.suspect) && (a.answered || !b.answered) && len(b.episodes) >= 2 && len(a.episodes)-alone >= 2 && alone < 2
}

// convict quarantines those of the candidates with the strongest evidence.
func (m *model) convict(now time.Time, candidates, suspects []uint64) bool {
	all := m.suspicions(now, candidates, suspects)
	passed := map[uint64]bool{}
	for _, first := range all {
		if !first.sufficient || passed[first.suspect] {
			continue
		}
		var same []modelSuspicion
		unsure := false
		for _, s := range all {
			switch {
			case s.sufficient && !passed[s.suspect] && m.wasRefusedAlone(first.suspect) && !m.wasRefusedAlone(s.suspect):
			case s.sufficient && !passed[s.suspect] && (s.answered == first.answered && slices.Equal(s.losses, first.losses) || m.explains(first, s) && m.explains(s, first)):
				same = append(same, s)
			case !s.sufficient || passed[s.suspect]:
				all, times := m.evidence(s.suspect, false)
				plausible := IsRequest(s.suspect) || !m.hasUnexplainedWithout(first, s) || m.requestsLost(all, suspects) >= min(len(times), 3)
				unsure = unsure || m.explains(first, s) && plausible && len(first.episodes) < first.needed+2
			}
		}
		if !unsure {
			m.quarantine(now, same)
			return true
		}
		for _, s := range same {
			passed[s.suspect] = true
		}
	}
	return false
}

// quarantine quarantines suspects that cannot be told apart.
func (m *model) quarantine(now time.Time, same []modelSuspicion) {
	for _, s := range same {
		p := s.suspect
		first := 15 * time.Second
		if IsRequest(p) && len(s.episodes) < m.beyondChance(p, s.losses, s.episodes) {
			first = 5 * time.Second
		}
		m.quarantined[p], m.lapsed[p], m.companions[p] = now, false, nil
		for _, o := range same {
			if o.suspect != p && !IsRequest(p) && len(m.companions[p]) < MaxCompanions {
				m.companions[p] = append(m.companions[p], o.suspect)
			}
		}
		if m.terms[p] = min(3*m.terms[p], 10*time.Minute); m.terms[p] == 0 {
			m.terms[p] = first
		}
		for _, i := range s.losses {
			if !slices.ContainsFunc(same, func(o modelSuspicion) bool { return !slices.Contains(m.losses[i].parts, o.suspect) }) || IsRequest(p) {
				m.losses[i].explainedBy = p
			}
		}
	}
	m.explain()
}

// explain marks the losses that a quarantined part explains.
func (m *model) explain() {
	for i, l := range m.losses {
		if l.explainedBy != 0 {
			continue
		}
		for _, p := range l.parts {
			if p > m.losses[i].explainedBy && m.applies(p, l.parts) {
				m.losses[i].explainedBy = p
			}
		}
	}
}

func (m *model) release(now time.Time, part uint64) {
	m.released[part], m.lapsed[part] = now, false
	delete(m.quarantined, part)
	delete(m.companions, part)
	for i := range m.losses {
		if m.losses[i].explainedBy == part {
			m.losses[i].explainedBy = 0
		}
	}
	m.explain()
}

// Guards against decisions that differ from the stated rule because of the order
// or the timing of events.
func TestTrackerMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		suspects := []uint64{1, 2, 3, 4, RequestSuspect(5), RequestSuspect(6), RequestSuspect(7)}
		tracker, now := New(1), start
		m := &model{quarantined: map[uint64]time.Time{}, released: map[uint64]time.Time{}, companions: map[uint64][]uint64{}, lapsed: map[uint64]bool{}, terms: map[uint64]time.Duration{}}
		begun := map[bool]int{} // by whether the requests have parts
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(settleTime + time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms"))*time.Millisecond)
			drawn := rapid.SliceOfNDistinct(rapid.SampledFrom(suspects), 1, 4, rapid.ID).Draw(t, "parts")
			slices.Sort(drawn)
			switch rapid.IntRange(0, 9).Draw(t, "kind") {
			case 0, 1, 2, 3, 4, 5:
				lost := rapid.IntRange(1, 12).Draw(t, "lost")
				l := Loss{Server: Server{uint64(step), 1}, At: now, Lost: lost}
				for _, suspect := range drawn {
					if IsRequest(suspect) {
						l.Requests = append(l.Requests, Sent{Request: suspect, At: now.Add(-time.Millisecond)})
					} else {
						l.Parts = append(l.Parts, suspect)
					}
				}
				tracker.AddLoss(now, l)
				m.losses = append(m.losses, modelLoss{at: now, parts: drawn, lost: lost, begun: begun[hasParts(drawn)]})
				m.explain()
				begun[hasParts(drawn)] = 0
			case 6, 7, 8:
				for range rapid.IntRange(1, 12).Draw(t, "answers") {
					tracker.AnswerBegan(now, now, now, drawn)
					m.began = append(m.began, modelAnswer{now, drawn})
					begun[hasParts(drawn)]++
				}
				for _, p := range drawn {
					if m.lapsed[p] {
						m.lapsed[p], m.released[p] = false, now
					}
				}
				for _, p := range drawn {
					if since := m.quarantined[p]; now.After(since) && !since.IsZero() {
						m.release(now, p)
					}
				}
			case 9:
				p := drawn[0]
				if tracker.Release(now, p) != !m.quarantined[p].IsZero() {
					t.Fatalf("step %d: release of part %d differs", step, p)
				}
				if !m.quarantined[p].IsZero() {
					m.release(now, p)
				}
			}
			now = now.Add(settleTime)
			tracker.Poll(now)
			m.poll(now, suspects)
			for _, p := range suspects {
				v := tracker.verdicts[p]
				if got := v != nil && v.State == Quarantined; got != !m.quarantined[p].IsZero() {
					t.Fatalf("step %d, suspect %x: %+v, in the model since %v, term %v, now %v", step, p, v, m.quarantined[p], m.terms[p], now)
				}
				alone := func(suspect uint64) bool { return suspect == p }
				if got, want := v != nil && tracker.applies(v, alone), m.applies(p, []uint64{p}); got != want {
					t.Fatalf("step %d, suspect %x: %+v, refused alone: %v, in the model: %v", step, p, v, got, want)
				}
			}
		}
	})
}
