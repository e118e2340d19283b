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
	suspects map[uint64]time.Time // by part: time of its last loss
	cleared  clearedTable
	begun    int // answers that began at this host since its last loss
	verdicts map[uint64]*verdict
	// active is the number of quarantined parts, so that a request without any
	// costs no lookup.
	active           int
	evaluateAt       time.Time // next evaluation of the evidence, zero if none is due
	ignoreClearUntil time.Time

	digestNews  news // for hosts that get the messages of this host
	summaryNews news // for other data centres, if this host speaks for its own
	changes     []Change
}

// loss is the merged report of one lost server process.
type loss struct {
	server      Server
	at          time.Time
	parts       map[uint64]bool
	reports     map[uint64]report // by host
	explainedBy uint64            // quarantined part that caused it, 0 if none is known
	explained   bool
	own         *schedule // nil unless this host reported it
	ownParts    []uint64
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
		self: self, hosts: []uint64{self}, losses: map[Server]*loss{}, suspects: map[uint64]time.Time{},
		cleared: newClearedTable(), verdicts: map[uint64]*verdict{}, digestNews: newNews(), summaryNews: newNews(),
	}
}

// SetHosts sets the hosts that take turns with trials. This host is always one
// of them.
func (t *Tracker) SetHosts(hosts []uint64) {
	t.hosts = append(slices.Clone(hosts), t.self)
	slices.Sort(t.hosts)
	t.hosts = slices.Compact(t.hosts)
}

// MarkSuspended records that this host did not run for a while. What it observes
// next may have happened before.
func (t *Tracker) MarkSuspended(now time.Time) { t.ignoreClearUntil = now.Add(suspensionTime) }

// AddLoss adds a loss that this host observed. The reporter and the number of
// answers that began are filled in.
func (t *Tracker) AddLoss(now time.Time, in Loss) {
	parts := slices.Clone(in.Parts)
	// Parts that were never cleared come first, in case the list is cut.
	slices.SortStableFunc(parts, func(a, b uint64) int { return t.cleared.at(a).Compare(t.cleared.at(b)) })
	parts = parts[:min(len(parts), MaxSuspectsPerMessage)]
	in.Reporter, in.Parts, in.Begun = t.self, parts, t.begun
	l := t.mergeLoss(now, in)
	if l == nil {
		return
	}
	l.own, l.ownParts, t.begun = newSchedule(now), parts, 0
	t.announceCleared(parts)
}

// mergeLoss merges a loss and returns it if it is new or has news, else nil.
func (t *Tracker) mergeLoss(now time.Time, in Loss) *loss {
	if len(in.Parts) == 0 || now.Sub(in.At) > lossRetention {
		return nil
	}
	l := t.losses[in.Server]
	if l == nil {
		t.makeRoom(now)
		l = &loss{server: in.Server, at: in.At, parts: map[uint64]bool{}, reports: map[uint64]report{}}
		t.losses[in.Server] = l
	}
	_, known := l.reports[in.Reporter]
	if !known && len(l.reports) < MaxReporters {
		l.reports[in.Reporter] = report{min(max(in.Lost, 0), maxCount), min(max(in.Begun, 0), maxCount)}
	}
	added := false
	for _, p := range in.Parts {
		if !l.parts[p] && len(l.parts) < MaxSuspects {
			l.parts[p], added = true, true
			if t.suspects[p].Before(l.at) {
				t.suspects[p] = l.at
			}
		}
	}
	if known && !added {
		return nil
	}
	t.resolveTrials(now, l)
	t.evaluateBy(now)
	return l
}

// makeRoom removes losses that are out of date, and the oldest one of a full table.
func (t *Tracker) makeRoom(now time.Time) {
	var oldest *loss
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
	clear(t.suspects)
	for _, l := range t.losses {
		for p := range l.parts {
			if t.suspects[p].Before(l.at) {
				t.suspects[p] = l.at
			}
		}
	}
}

// AnswerBegan records that an answer to a prompt with the parts began at the given
// time and went on.
func (t *Tracker) AnswerBegan(now, began time.Time, parts []uint64) {
	if now.Before(t.ignoreClearUntil) {
		return
	}
	t.begun = min(t.begun+1, maxCount)
	for _, p := range parts {
		t.clear(now, p, began, true)
	}
}

// clear records that a part was cleared, here or (own is false) at another host.
// An answer that this host saw also ends a quarantine of the part.
func (t *Tracker) clear(now time.Time, part uint64, at time.Time, own bool) (news bool) {
	before := t.cleared.at(part)
	if !t.cleared.put(part, at) {
		return false
	}
	if own {
		if v := t.verdicts[part]; v != nil && v.State == Quarantined && at.After(v.Since) {
			t.decide(now, part, Released, "an answer on it began")
		}
	}
	lossAt, suspect := t.suspects[part]
	if news = suspect && at.After(lossAt) && !before.After(lossAt); news && own {
		t.announcePart(part)
	}
	return news
}

// announceCleared tells other hosts that suspects were cleared after their last
// loss, as far as this host knows.
func (t *Tracker) announceCleared(parts []uint64) {
	for _, p := range parts {
		if t.cleared.at(p).After(t.suspects[p]) {
			t.announcePart(p)
		}
	}
}

// announcePart queues that a part was cleared.
func (t *Tracker) announcePart(part uint64) {
	t.digestNews.queueCleared(part)
	t.summaryNews.queueCleared(part)
}

// announceVerdict queues a verdict of this host. MaxVerdicts bounds the queues.
func (t *Tracker) announceVerdict(part uint64) {
	t.digestNews.verdicts[part], t.summaryNews.verdicts[part] = messageRepeats, messageRepeats
}

// clearedTable holds when parts were last cleared. It keeps the parts of the last
// maxCleared to 2*maxCleared updates.
type clearedTable struct{ newer, older map[uint64]time.Time }

func newClearedTable() clearedTable {
	return clearedTable{newer: map[uint64]time.Time{}, older: map[uint64]time.Time{}}
}

// at returns when the part was last cleared, zero if that is not known.
func (c *clearedTable) at(part uint64) time.Time {
	if at, ok := c.newer[part]; ok {
		return at
	}
	return c.older[part]
}

// put records a time and returns false if a later one is known.
func (c *clearedTable) put(part uint64, at time.Time) bool {
	if !at.After(c.at(part)) {
		return false
	}
	if _, known := c.newer[part]; !known && len(c.newer) >= maxCleared {
		c.older, c.newer = c.newer, map[uint64]time.Time{}
	}
	c.newer[part] = at
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
