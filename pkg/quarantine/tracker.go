package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Tracker holds the evidence and the verdicts of one host. It is not safe for
// concurrent use.
type Tracker struct {
	self  uint64   // hash of the name of this host
	hosts []uint64 // hashes of all hosts that may hold trials, this one included

	losses   map[Server]*loss
	suspects map[uint64]suspectTimes // those of the losses that are kept
	// clearedParts and clearedRequests hold when suspects were last cleared.
	clearedParts, clearedRequests clearedTable
	// begun counts the answers that began at this host since its last loss, for requests
	// with and without parts: engines and plain services fail by themselves.
	begun    struct{ withParts, withoutParts int }
	verdicts map[uint64]*verdict
	// active is the number of quarantined suspects, restricted that of suspects whose
	// requests are quarantined or tried after a lapse, so that a request costs no lookup
	// without any.
	active, restricted int
	evaluateAt         time.Time // next evaluation of the evidence, zero if none is due
	resumedAt          time.Time // end of the last suspension of this host

	repeats *repeatIndex // during an evaluation

	digestNews  news // for hosts that get the messages of this host
	summaryNews news // for other data centres, if this host speaks for its own
	changes     []Change
}

// suspectTimes holds when a suspect was last lost, and cleared since it became one. The
// tables of cleared suspects may forget it earlier than the loss.
type suspectTimes struct{ lost, cleared time.Time }

// loss is the merged report of one lost server process.
type loss struct {
	server      Server
	at          time.Time
	suspects    map[uint64]lostSuspect
	requests    int               // number of requests among the suspects
	started     time.Time         // of the process, zero if this host did not see it
	reports     map[uint64]report // by host
	explainedBy uint64            // quarantined suspect that caused it, 0 if none is known
	explained   bool
	own         *schedule // nil unless this host reported it
	ownReport   Loss
}

// lostSuspect is what a loss says of a suspect, nothing of a part. Many are kept.
type lostSuspect struct {
	sentBeforeUS uint32 // from the sending of the request to the loss
	copy         Copy
}

func newLostRequest(sentBefore time.Duration, copy Copy) lostSuspect {
	return lostSuspect{uint32(min(max(sentBefore, 0), maxAge).Microseconds()), copy}
}

// sentBefore returns the time from the sending of a request to the loss.
func (s lostSuspect) sentBefore() time.Duration {
	return time.Duration(s.sentBeforeUS) * time.Microsecond
}

// merge returns what two reports say of a request. The copy that was sent last counts.
func (s lostSuspect) merge(o lostSuspect) lostSuspect {
	return lostSuspect{min(s.sentBeforeUS, o.sentBeforeUS), s.copy.merge(o.copy)}
}

// report is what one host counted with a loss.
type report struct{ requests, begun int }

type verdict struct {
	Verdict
	local     bool // decided by this host
	refusedAt time.Time
	refusals  uint64
}

// New returns a Tracker for the host with the given hash of its name.
func New(self uint64) *Tracker {
	return &Tracker{
		self: self, hosts: []uint64{self}, losses: map[Server]*loss{}, suspects: map[uint64]suspectTimes{},
		clearedParts: newClearedTable(maxClearedParts), clearedRequests: newClearedTable(maxClearedRequests), verdicts: map[uint64]*verdict{}, digestNews: newNews(), summaryNews: newNews(),
	}
}

// SetHosts sets the hosts that take turns with trials. This host is always one
// of them.
func (t *Tracker) SetHosts(hosts []uint64) {
	t.hosts = append(slices.Clone(hosts), t.self)
	slices.Sort(t.hosts)
	t.hosts = slices.Compact(t.hosts)
}

// MarkSuspended records that this host did not run until now. What it observes
// next may have happened before.
func (t *Tracker) MarkSuspended(now time.Time) { t.resumedAt = now }

// AddLoss adds a loss that this host observed. The reporter and the number of
// answers that began are filled in.
func (t *Tracker) AddLoss(now time.Time, in Loss) {
	begun := t.begunOf(len(in.Parts) > 0)
	in.Reporter, in.Begun = t.self, *begun
	// Suspects that say most come first, in case a list is cut: parts that were never
	// cleared, requests that were lost before.
	in.Parts = slices.Clone(in.Parts)
	slices.SortStableFunc(in.Parts, func(a, b uint64) int { return t.clearedAt(a).Compare(t.clearedAt(b)) })
	in.Parts = in.Parts[:min(len(in.Parts), MaxPartsPerMessage)]
	in.Requests = slices.Clone(in.Requests)
	slices.SortStableFunc(in.Requests, func(a, b Sent) int { return t.suspects[b.Request].lost.Compare(t.suspects[a.Request].lost) })
	in.Requests = in.Requests[:min(len(in.Requests), MaxRequests)]
	l := t.mergeLoss(now, in)
	if l == nil {
		return
	}
	l.started = in.Started
	l.own, l.ownReport, *begun = newSchedule(now), in, 0
	t.announceCleared(in)
}

// mergeLoss merges a loss and returns it if it is new or has news, else nil.
func (t *Tracker) mergeLoss(now time.Time, in Loss) *loss {
	if len(in.Parts)+len(in.Requests) == 0 || now.Sub(in.At) > lossRetention {
		return nil
	}
	l := t.losses[in.Server]
	if l == nil {
		t.makeRoom(now)
		l = &loss{server: in.Server, at: in.At, suspects: map[uint64]lostSuspect{}, reports: map[uint64]report{}}
		t.losses[in.Server] = l
	}
	_, known := l.reports[in.Reporter]
	if !known && len(l.reports) < MaxReporters {
		l.reports[in.Reporter] = report{min(max(in.Lost, 0), maxCount), min(max(in.Begun, 0), maxCount)}
	}
	added := l.addSuspects(in)
	for _, suspect := range added {
		if times := t.suspects[suspect]; times.lost.Before(l.at) {
			t.suspects[suspect] = suspectTimes{l.at, times.cleared}
		}
	}
	if known && len(added) == 0 {
		return nil
	}
	t.resolveTrials(now, l)
	t.evaluateBy(now)
	return l
}

// addSuspects adds the suspects of a report and returns the new ones. Of a request
// that several hosts lost, the copy that was sent last counts.
func (l *loss) addSuspects(in Loss) (added []uint64) {
	for _, part := range in.Parts {
		if _, known := l.suspects[part]; !known && len(l.suspects)-l.requests < MaxParts {
			l.suspects[part] = lostSuspect{}
			added = append(added, part)
		}
	}
	for _, r := range in.Requests {
		lost := newLostRequest(in.At.Sub(r.At), r.Copy)
		known, ok := l.suspects[r.Request]
		switch {
		case ok:
			l.suspects[r.Request] = known.merge(lost)
		case l.requests < MaxRequests:
			l.suspects[r.Request] = lost
			l.requests++
			added = append(added, r.Request)
		}
	}
	return added
}

// makeRoom removes losses that are out of date, and the oldest one of a full table.
func (t *Tracker) makeRoom(now time.Time) {
	var oldest *loss
	kept := len(t.losses)
	for key, l := range t.losses {
		if now.Sub(l.at) > lossRetention {
			delete(t.losses, key)
			continue
		}
		if oldest == nil || l.at.Before(oldest.at) || l.at.Equal(oldest.at) && l.server.Hash < oldest.server.Hash {
			oldest = l
		}
	}
	if len(t.losses) >= MaxLosses {
		delete(t.losses, oldest.server)
	}
	if len(t.losses) == kept {
		return
	}
	before := t.suspects
	t.suspects = make(map[uint64]suspectTimes, len(before))
	for _, l := range t.losses {
		for suspect := range l.suspects {
			if t.suspects[suspect].lost.Before(l.at) {
				t.suspects[suspect] = suspectTimes{l.at, before[suspect].cleared}
			}
		}
	}
}

// AnswerBegan records that an answer to a request with the suspects, sent and begun at
// the given times, went on. A request that was sent before a suspension of this host may
// have been answered before it, so its answer clears nothing.
func (t *Tracker) AnswerBegan(now, sent, began time.Time, suspects []uint64) {
	if sent.Before(t.resumedAt) {
		return
	}
	begun := t.begunOf(slices.ContainsFunc(suspects, func(s uint64) bool { return !IsRequest(s) }))
	*begun = min(*begun+1, maxCount)
	for _, suspect := range suspects {
		t.clear(now, suspect, began, true)
	}
}

// begunOf returns the count of answers to requests with or without parts.
func (t *Tracker) begunOf(parts bool) *int {
	if parts {
		return &t.begun.withParts
	}
	return &t.begun.withoutParts
}

// hasParts reports whether requests with parts were lost.
func (l *loss) hasParts() bool { return len(l.suspects) > l.requests }

// clear records that a suspect was cleared, here or (own is false) at another host.
// An answer that this host saw also ends a quarantine of the suspect.
func (t *Tracker) clear(now time.Time, suspect uint64, at time.Time, own bool) (news bool) {
	before := t.clearedAt(suspect)
	if !t.clearedTable(suspect).put(suspect, at) {
		return false
	}
	if own {
		if v := t.verdicts[suspect]; v != nil && v.State != Released && at.After(v.Since) {
			t.decide(now, suspect, Released, "an answer on it began")
		}
	}
	times, lost := t.suspects[suspect]
	if lost && at.After(times.cleared) {
		t.suspects[suspect] = suspectTimes{times.lost, at}
	}
	news = lost && at.After(times.lost) && !before.After(times.lost)
	if news && own {
		t.announceSuspect(suspect)
	}
	if news && IsRequest(suspect) { // it no longer explains the losses of its parts
		t.evaluateBy(now)
	}
	return news
}

// announceCleared tells other hosts which suspects of a loss were cleared after their
// last loss, as far as this host knows.
func (t *Tracker) announceCleared(l Loss) {
	announce := func(suspect uint64) {
		if t.clearedAt(suspect).After(t.suspects[suspect].lost) {
			t.announceSuspect(suspect)
		}
	}
	for _, part := range l.Parts {
		announce(part)
	}
	for _, r := range l.Requests {
		announce(r.Request)
	}
}

// announceSuspect queues that a suspect was cleared.
func (t *Tracker) announceSuspect(suspect uint64) {
	t.digestNews.queueCleared(suspect)
	t.summaryNews.queueCleared(suspect)
}

// announceVerdict queues a verdict of this host. MaxVerdicts bounds the queues.
func (t *Tracker) announceVerdict(suspect uint64) {
	t.digestNews.verdicts[suspect], t.summaryNews.verdicts[suspect] = messageRepeats, messageRepeats
}

// clearedTable returns the table that holds when the suspect was cleared.
func (t *Tracker) clearedTable(suspect uint64) *clearedTable {
	if IsRequest(suspect) {
		return &t.clearedRequests
	}
	return &t.clearedParts
}

// clearedAt returns when the suspect was last cleared, zero if that is not known.
func (t *Tracker) clearedAt(suspect uint64) time.Time {
	at := t.clearedTable(suspect).at(suspect)
	if kept := t.suspects[suspect].cleared; kept.After(at) {
		return kept
	}
	return at
}

// clearedTable holds when suspects were last cleared. It keeps those of the last limit
// to 2*limit updates.
type clearedTable struct {
	newer, older map[uint64]time.Time
	limit        int
}

func newClearedTable(limit int) clearedTable {
	return clearedTable{newer: map[uint64]time.Time{}, older: map[uint64]time.Time{}, limit: limit}
}

// at returns when the suspect was last cleared, zero if that is not known.
func (c *clearedTable) at(suspect uint64) time.Time {
	if at, ok := c.newer[suspect]; ok {
		return at
	}
	return c.older[suspect]
}

// put records a time and returns false if a later one is known.
func (c *clearedTable) put(suspect uint64, at time.Time) bool {
	if !at.After(c.at(suspect)) {
		return false
	}
	if _, known := c.newer[suspect]; !known && len(c.newer) >= c.limit {
		c.older, c.newer = c.newer, map[uint64]time.Time{}
	}
	c.newer[suspect] = at
	return true
}

// sortedLosses returns the losses by time, oldest first.
func (t *Tracker) sortedLosses() []*loss {
	out := make([]*loss, 0, len(t.losses))
	for _, l := range t.losses {
		out = append(out, l)
	}
	slices.SortFunc(out, func(a, b *loss) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.server.Hash, b.server.Hash), cmp.Compare(a.server.StartMS, b.server.StartMS))
	})
	return out
}
