package streamrecord

import (
	"container/heap"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/release"
)

// Table holds records until they expire. Merging is a join: no record is below one
// release, which is below a conflict, and the later expiry holds. So the order and the
// repetition of messages do not matter. It is not safe for concurrent use.
type Table struct {
	maxRecords   int
	base         time.Time // expiry times count from here, which takes less memory than time.Time
	records      map[Key]*entry
	byExpiry     expiryHeap
	recent       []recentRecord // oldest first, at most maxRecords
	replacements replacementSet
	dropped      uint64
}

// entry is a stored record. release.Unknown stands for a conflict.
type entry struct {
	key     Key
	release release.ID
	expires time.Duration // since Table.base
	index   int           // position in Table.byExpiry
}

// New returns an empty Table of at most maxRecords records.
func New(maxRecords int) *Table {
	return &Table{maxRecords: maxRecords, records: map[Key]*entry{}, replacements: replacementSet{byServer: map[uint32]storedReplacement{}}}
}

// Put merges a record and reports whether that changed the table. A record of a process
// that was replaced by one of another release is merged as a conflict. A lifetime beyond
// MaxTTL is cut. If there are too many records, the one that expires first is dropped,
// which can be the new one.
func (t *Table) Put(now time.Time, r Record) (changed bool) {
	at := t.advance(now)
	expires := min(r.Expires.Sub(t.base), at+MaxTTL)
	if expires <= at {
		return false
	}
	if t.replacements.doubts(at, &r) {
		r.Release = release.Unknown
	}
	t.noteProcess(at, &r)
	if e := t.records[r.Key]; e != nil {
		return t.merge(e, r.Release, expires)
	}
	e := &entry{key: r.Key, release: r.Release, expires: expires}
	t.records[r.Key] = e
	heap.Push(&t.byExpiry, e)
	if len(t.byExpiry) <= t.maxRecords {
		return true
	}
	t.dropped++
	return t.removeFirst() != e
}

// merge joins a known record with another one for its key.
func (t *Table) merge(e *entry, id release.ID, expires time.Duration) (changed bool) {
	if id != e.release && e.release != release.Unknown {
		e.release, changed = release.Unknown, true
	}
	if expires > e.expires {
		e.expires, changed = expires, true
		heap.Fix(&t.byExpiry, e.index)
	}
	return changed
}

// Get returns the release that began the stream, and Recorded, Conflict or Unknown. The
// release is release.Unknown unless the state is Recorded.
func (t *Table) Get(now time.Time, k Key) (release.ID, State) {
	at := t.advance(now)
	e := t.records[k]
	switch {
	case e == nil || e.expires <= at:
		return release.Unknown, Unknown
	case e.release == release.Unknown:
		return release.Unknown, Conflict
	}
	return e.release, Recorded
}

// Live returns all records that have not expired, in any order. Those that were put
// within DoubtTime name their process. A key is repeated if its records name several.
func (t *Table) Live(now time.Time) []Record {
	processes := t.recentProcesses(t.advance(now))
	out := make([]Record, 0, len(t.byExpiry))
	for _, e := range t.byExpiry {
		r := Record{Key: e.key, Release: e.release, Expires: t.base.Add(e.expires)}
		named := processes[e.key]
		if e.release == release.Unknown || len(named) == 0 {
			out = append(out, r)
			continue
		}
		for _, r.Process = range named {
			out = append(out, r)
		}
	}
	return out
}

// Len returns the number of records that had not expired at the last call with a time.
func (t *Table) Len() int { return len(t.byExpiry) }

// Dropped returns the number of records that were dropped before their expiry because
// there were too many, or whose process was.
func (t *Table) Dropped() uint64 { return t.dropped }

// RemoveExpired removes the expired records. The other methods that take the time do
// the same.
func (t *Table) RemoveExpired(now time.Time) { t.advance(now) }

// advance removes the expired records and returns now as a time since t.base.
func (t *Table) advance(now time.Time) time.Duration {
	if t.base.IsZero() {
		t.base = now
	}
	at := now.Sub(t.base)
	for len(t.byExpiry) > 0 && t.byExpiry[0].expires <= at {
		t.removeFirst()
	}
	t.advanceDoubt(at)
	return at
}

// removeFirst removes the record that expires first.
func (t *Table) removeFirst() *entry {
	e := heap.Pop(&t.byExpiry).(*entry)
	delete(t.records, e.key)
	return e
}

// expiryHeap implements heap.Interface, ordered by expiry and then by key.
type expiryHeap []*entry

func (h expiryHeap) Len() int { return len(h) }

func (h expiryHeap) Less(i, j int) bool {
	if h[i].expires != h[j].expires {
		return h[i].expires < h[j].expires
	}
	return string(h[i].key[:]) < string(h[j].key[:])
}

func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	e := x.(*entry)
	e.index = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return e
}
