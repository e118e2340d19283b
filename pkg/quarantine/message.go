package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// news holds what is still to be sent, with the number of messages left for each.
type news struct {
	losses   map[lossKey]int
	cleared  map[uint64]int
	verdicts map[uint64]int
}

// lossKey identifies the report of one host on one loss.
type lossKey struct {
	server   Server
	reporter uint64
}

func newNews() news {
	return news{losses: map[lossKey]int{}, cleared: map[uint64]int{}, verdicts: map[uint64]int{}}
}

// queueCleared queues a cleared suspect, unless too many are queued. Then the suspect
// is announced after its next loss.
func (n *news) queueCleared(suspect uint64) {
	if len(n.cleared) < maxPendingMessages {
		n.cleared[suspect] = messageRepeats
	}
}

// schedule says when a loss is sent: in messageRepeats messages, then each time
// that its age has doubled.
type schedule struct {
	firstAt time.Time
	next    time.Time
	repeats int
	sent    int // messages so far
}

func newSchedule(now time.Time) *schedule {
	return &schedule{firstAt: now, next: now, repeats: messageRepeats}
}

// due reports whether to send now, and advances the schedule.
func (s *schedule) due(now time.Time) bool {
	if now.Before(s.next) {
		return false
	}
	s.sent++
	if s.repeats--; s.repeats <= 0 {
		s.next = now.Add(max(now.Sub(s.firstAt), firstResend))
	}
	return true
}

// Message returns the news for other hosts. With complete it lists all verdicts,
// for hosts that missed earlier messages.
func (t *Tracker) Message(now time.Time, complete bool) Message {
	m := Message{Cleared: t.takeCleared(&t.digestNews), Verdicts: t.takeVerdicts(&t.digestNews, complete)}
	for _, l := range t.losses {
		if l.own == nil || l.explained || len(m.Losses) >= MaxLossesPerMessage || !l.own.due(now) {
			continue
		}
		if report := t.uncleared(l, l.ownReport); len(report.Parts)+len(report.Requests) > 0 {
			report.Requests = t.selectRequests(report.Requests, l.own.sent-1)
			m.Losses = append(m.Losses, report)
			t.queueForSummary(lossKey{l.server, t.self})
		}
	}
	return m
}

// uncleared returns a report on a loss without the suspects that were cleared since.
func (t *Tracker) uncleared(l *loss, report Loss) Loss {
	report.Parts = slices.DeleteFunc(slices.Clone(report.Parts), func(part uint64) bool { return t.clearedAt(part).After(l.at) })
	report.Requests = slices.DeleteFunc(slices.Clone(report.Requests), func(r Sent) bool { return t.clearedAt(r.Request).After(l.at) })
	return report
}

// queueForSummary queues a report for the other data centres.
func (t *Tracker) queueForSummary(key lossKey) {
	if len(t.summaryNews.losses) < maxPendingMessages {
		t.summaryNews.losses[key] = messageRepeats
	}
}

// Summary returns the news of this data centre for others. With complete it lists
// all verdicts.
func (t *Tracker) Summary(complete bool) Message {
	m := Message{Cleared: t.takeCleared(&t.summaryNews), Verdicts: t.takeVerdicts(&t.summaryNews, complete)}
	for key, left := range t.summaryNews.losses {
		if len(m.Losses) >= MaxLossesPerMessage {
			break
		}
		countDown(t.summaryNews.losses, key, left)
		l := t.losses[key.server]
		if l == nil || l.explained {
			continue
		}
		m.Losses = append(m.Losses, t.reportOf(l, key.reporter, messageRepeats-left))
	}
	return m
}

// reportOf returns a report with the suspects that all hosts of the data centre
// reported, those first that say most.
func (t *Tracker) reportOf(l *loss, reporter uint64, sent int) Loss {
	r := l.reports[reporter]
	out := Loss{Server: l.server, At: l.at, Reporter: reporter, Lost: r.requests, Begun: r.begun}
	for suspect, lost := range l.suspects {
		if IsRequest(suspect) {
			out.Requests = append(out.Requests, Sent{Request: suspect, At: l.at.Add(-lost.sentBefore()), Copy: lost.copy})
		} else {
			out.Parts = append(out.Parts, suspect)
		}
	}
	out = t.uncleared(l, out)
	slices.Sort(out.Parts)
	out.Parts = out.Parts[:min(len(out.Parts), MaxPartsPerMessage)]
	out.Requests = t.selectRequests(out.Requests, sent)
	return out
}

// selectRequests returns the requests for one message: those of several losses, and the
// others in turn, since any of them may be the one that crashes servers.
func (t *Tracker) selectRequests(requests []Sent, sent int) []Sent {
	if len(requests) <= MaxRequestsPerMessage {
		return requests
	}
	counts := t.lossesOf(requests)
	slices.SortFunc(requests, func(a, b Sent) int {
		return cmp.Or(cmp.Compare(counts[b.Request], counts[a.Request]), cmp.Compare(a.Request, b.Request))
	})
	single := slices.IndexFunc(requests, func(r Sent) bool { return counts[r.Request] < 2 })
	if single < 0 || single >= MaxRequestsPerMessage {
		return requests[:MaxRequestsPerMessage]
	}
	out, room := slices.Clone(requests[:single]), MaxRequestsPerMessage-single
	others := requests[single:]
	for i := range room {
		out = append(out, others[(sent*room+i)%len(others)])
	}
	return out
}

// lossesOf returns the number of losses that have each of the requests.
func (t *Tracker) lossesOf(requests []Sent) map[uint64]int {
	out := make(map[uint64]int, len(requests))
	for _, r := range requests {
		for _, l := range t.losses {
			if _, lost := l.suspects[r.Request]; lost {
				out[r.Request]++
			}
		}
	}
	return out
}

func countDown[K comparable](m map[K]int, key K, left int) {
	if left <= 1 {
		delete(m, key)
		return
	}
	m[key] = left - 1
}

func (t *Tracker) takeCleared(n *news) []Cleared {
	var out []Cleared
	for suspect, left := range n.cleared {
		if len(out) >= MaxClearedPerMessage {
			break
		}
		out = append(out, Cleared{Suspect: suspect, At: t.clearedAt(suspect)})
		countDown(n.cleared, suspect, left)
	}
	return out
}

func (t *Tracker) takeVerdicts(n *news, complete bool) []Verdict {
	var out []Verdict
	for part, left := range n.verdicts {
		if len(out) >= MaxVerdictsPerMessage {
			break
		}
		if v := t.verdicts[part]; v != nil {
			out = append(out, v.Verdict)
		}
		countDown(n.verdicts, part, left)
	}
	if !complete {
		return out
	}
	for part, v := range t.verdicts {
		if len(out) >= MaxVerdictsPerMessage {
			break
		}
		if _, listed := n.verdicts[part]; !listed {
			out = append(out, v.Verdict)
		}
	}
	return out
}

// Merge merges the message of another host. fromSummary is set for messages of
// other data centres, which this host does not pass on.
func (t *Tracker) Merge(now time.Time, m Message, fromSummary bool) {
	for _, l := range m.Losses[:min(len(m.Losses), MaxLossesPerMessage)] {
		l.Parts = l.Parts[:min(len(l.Parts), MaxPartsPerMessage)]
		l.Requests = l.Requests[:min(len(l.Requests), MaxRequestsPerMessage)]
		if l.At.After(now) || t.mergeLoss(now, l) == nil {
			continue
		}
		t.announceCleared(l)
		if !fromSummary {
			t.queueForSummary(lossKey{l.Server, l.Reporter})
		}
	}
	for _, c := range m.Cleared[:min(len(m.Cleared), MaxClearedPerMessage)] {
		if c.At.After(now) {
			continue
		}
		if t.clear(now, c.Suspect, c.At, false) && !fromSummary {
			t.summaryNews.queueCleared(c.Suspect)
		}
	}
	for _, v := range m.Verdicts[:min(len(m.Verdicts), MaxVerdictsPerMessage)] {
		t.mergeVerdict(now, v, fromSummary)
	}
}

// MergeVerdicts merges verdicts that were stored durably. Their ages rest on the time
// of day of another host, which may have jumped: they never make a verdict older that
// this host knows, and never older than its term.
func (t *Tracker) MergeVerdicts(now time.Time, verdicts []Verdict) {
	for _, v := range verdicts[:min(len(verdicts), MaxVerdicts)] {
		if known := t.verdicts[v.Suspect]; known != nil && known.Generation == v.Generation && known.State == v.State {
			continue
		}
		if earliest := now.Add(-min(max(v.Term, weakFirstTerm), maxTerm)); v.State == Quarantined && v.Since.Before(earliest) {
			v.Since = earliest
		}
		t.mergeVerdict(now, v, true)
	}
}

// mergeVerdict merges a verdict of another host.
func (t *Tracker) mergeVerdict(now time.Time, in Verdict, fromSummary bool) {
	if in.Generation == 0 || in.State > Quarantined || in.Since.After(now) {
		return
	}
	in.Term = min(max(in.Term, weakFirstTerm), maxTerm)
	in.Companions = in.Companions[:min(len(in.Companions), MaxCompanions)]
	current := t.verdicts[in.Suspect]
	known := uint64(0)
	if current != nil {
		known = uint64(current.Generation)
	}
	switch {
	case uint64(in.Generation) > known+maxGenerationStep:
		return // no later one may be possible
	case current == nil:
		if in.State != Quarantined && now.Sub(in.Since) > verdictRetention || in.State == Quarantined && now.Sub(in.Since) > in.Term+lapseTime+verdictRetention {
			return
		}
	case in.Generation < current.Generation || in.Generation == current.Generation && in.State < current.State:
		return
	case in.Generation == current.Generation && in.State == current.State:
		t.joinVerdict(current, in)
		return
	}
	t.setVerdict(now, in)
	t.changes = append(t.changes, Change{Verdict: in, Reason: "learned from another host"})
	if !fromSummary {
		t.summaryNews.verdicts[in.Suspect] = messageRepeats
	}
}

// joinVerdict merges two equal decisions of different hosts.
func (t *Tracker) joinVerdict(v *verdict, in Verdict) {
	t.count(v, -1)
	defer t.count(v, 1)
	if in.Since.Before(v.Since) {
		v.Since = in.Since
	}
	// The same trial seems later by the time that its message took.
	if in.TrialAt.Sub(v.TrialAt) > turnTime {
		v.TrialAt = in.TrialAt
	}
	v.Companions = slices.DeleteFunc(slices.Clone(v.Companions), func(p uint64) bool { return !slices.Contains(in.Companions, p) })
	v.Term, v.Losses, v.Hosts = max(v.Term, in.Term), max(v.Losses, in.Losses), max(v.Hosts, in.Hosts)
}
