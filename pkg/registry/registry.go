// Package registry merges what backend servers announce of themselves, heard
// directly or from other hosts, in any order and any number of times. It is
// pure: the time is an argument.
package registry

import (
	"container/list"
	"time"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
)

// State of a backend server as it was announced.
type State uint32

// Values of State.
const (
	Ready    State = 1
	Draining State = 2 // leaves soon, takes no new work
	Gone     State = 3 // withdrawn; this start never returns
)

// String returns the state in lower case.
func (s State) String() string {
	switch s {
	case Ready:
		return "ready"
	case Draining:
		return "draining"
	case Gone:
		return "gone"
	}
	return "unknown"
}

const (
	// keepSilent is how long an entry stays without an announcement. Servers
	// announce themselves each second or so; a server that is cut off from
	// the core hosts may still be reached by edge hosts.
	keepSilent = time.Minute
	// restartSilence is the silence after which a lower sequence of a server
	// that does not tell its start counts as a new start.
	restartSilence = 5 * time.Second
	// vouchTime is how long a host vouches for a server that it hears itself.
	// Servers announce themselves each 1.2 s, and some announcements are late.
	vouchTime = 3 * time.Second
	// coldStep is the change of the cold time that is news: announcements
	// arrive some milliseconds early or late.
	coldStep = 250 * time.Millisecond
)

// Entry is the newest known announcement of one backend server.
type Entry struct {
	ID         string
	Service    string
	Address    string // IP and port
	DataCentre string
	Slots      int
	State      State
	Sequence   uint64
	BornMS     int64     // start of the server by its own clock, Unix milliseconds
	ColdUntil  time.Time // by the local clock
	Heard      time.Time // by the local clock
	Direct     bool      // heard by this host itself
	Leaving    bool      // an answer of this start said that the server leaves
	Vouched    bool      // heard by this host itself within vouchTime

	modified uint64 // number of the last change of more than times
	released uint64 // number of the change that made another host hear it
	element  *list.Element
}

// Change says what an offered announcement did.
type Change uint8

// Values of Change.
const (
	Stale    Change = iota // older than what is known
	Renewed                // only time or sequence are new, or who hears it
	Modified               // state, place or start changed
)

// Registry holds one entry for each server id. It is not safe for concurrent
// use.
type Registry struct {
	entries map[string]*Entry
	order   *list.List // of *Entry, the last one was modified last
	changes uint64
}

// New returns an empty Registry.
func New() *Registry { return &Registry{entries: map[string]*Entry{}, order: list.New()} }

// Get returns a copy of the entry.
func (r *Registry) Get(id string) (Entry, bool) {
	e, ok := r.entries[id]
	if !ok {
		return Entry{}, false
	}
	return *e, true
}

// Offer merges an announcement. The entry keeps nothing of the argument.
func (r *Registry) Offer(e Entry) Change {
	present := r.entries[e.ID]
	e.Vouched = e.Direct && e.State != Gone
	if present == nil {
		r.put(e, true)
		return Modified
	}
	if present.supersedes(&e) {
		return Stale
	}
	if e.BornMS == present.BornMS && e.State == Gone {
		// A withdrawal may name the id alone.
		gone := *present
		gone.State, gone.Heard, gone.Direct, gone.Vouched = Gone, e.Heard, e.Direct || gone.Direct, false
		r.put(gone, true)
		return Modified
	}
	e.Leaving = present.Leaving && present.sameStart(&e)
	e.released = present.released
	if present.Direct && !e.Direct {
		e.released = r.changes + 1
	}
	modified := present.differs(&e)
	r.put(e, modified || e.Vouched != present.Vouched || e.Direct != present.Direct)
	if modified {
		return Modified
	}
	return Renewed
}

// differs reports whether a newer announcement says more than that the server
// is still there.
func (e *Entry) differs(newer *Entry) bool {
	if newer.State != e.State || newer.BornMS != e.BornMS || newer.Address != e.Address ||
		newer.Service != e.Service || newer.DataCentre != e.DataCentre || newer.Slots != e.Slots {
		return true
	}
	cold := max(newer.ColdUntil.Sub(newer.Heard), 0) - max(e.ColdUntil.Sub(newer.Heard), 0)
	return cold.Abs() > coldStep
}

// Renew notes that the server was heard at the time, for this start of it.
func (r *Registry) Renew(id string, bornMS int64, heard time.Time) {
	if e := r.entries[id]; e != nil && e.BornMS == bornMS && e.State != Gone && heard.After(e.Heard) {
		e.Heard = heard
	}
}

// Release ends the vouching for servers that this host has not heard for
// vouchTime. It returns when the one that was silent longest of the others was
// heard last, zero if there are none.
func (r *Registry) Release(now time.Time) (oldest time.Time) {
	for _, e := range r.entries {
		switch {
		case !e.Vouched:
		case now.Sub(e.Heard) > vouchTime:
			silent := *e
			silent.Vouched = false
			r.put(silent, true)
		case oldest.IsZero() || e.Heard.Before(oldest):
			oldest = e.Heard
		}
	}
	return oldest
}

// Withdraw marks a server as gone. It reports false if the id is not known.
func (r *Registry) Withdraw(id string, bornMS int64, now time.Time) bool {
	e, ok := r.entries[id]
	if !ok {
		return false
	}
	if bornMS == 0 {
		bornMS = e.BornMS
	}
	r.Offer(Entry{ID: id, BornMS: bornMS, State: Gone, Heard: now, Direct: true})
	return true
}

// supersedes reports whether the present entry is at least as new.
func (e *Entry) supersedes(other *Entry) bool {
	if e.BornMS != other.BornMS {
		return e.BornMS > other.BornMS
	}
	if e.State == Gone {
		return true
	}
	if other.State == Gone || other.Sequence > e.Sequence {
		return false
	}
	restarted := e.BornMS == 0 && other.Sequence < e.Sequence && other.Heard.Sub(e.Heard) > restartSilence
	return !restarted
}

// sameStart reports whether a newer announcement comes from the start of the
// server that the entry is about.
func (e *Entry) sameStart(newer *Entry) bool {
	return e.BornMS == newer.BornMS && (e.BornMS != 0 || newer.Sequence > e.Sequence)
}

// Leave notes that an answer of a start of the server said that it leaves. It
// reports whether that is news. The mark holds until a new start, whatever the
// announcements of this one say.
func (r *Registry) Leave(id string, bornMS int64) bool {
	e, ok := r.entries[id]
	if !ok || e.Leaving || e.BornMS != bornMS || e.State != Ready {
		return false
	}
	leaving := *e
	leaving.Leaving = true
	r.put(leaving, true)
	return true
}

// put stores the entry; modified says whether more than its times changed.
func (r *Registry) put(e Entry, modified bool) {
	present := r.entries[e.ID]
	r.entries[e.ID] = &e
	if present != nil && !modified {
		e.modified, e.element = present.modified, present.element
		e.element.Value = &e
		return
	}
	if present != nil {
		r.order.Remove(present.element)
	}
	r.changes++
	e.modified = r.changes
	e.element = r.order.PushBack(&e)
}

// Expire drops entries that were not heard for a minute.
func (r *Registry) Expire(now time.Time) {
	for id, e := range r.entries {
		if now.Sub(e.Heard) > keepSilent {
			r.order.Remove(e.element)
			delete(r.entries, id)
		}
	}
}

// ModifiedSince returns copies of the entries of which more than times changed
// after the cursor, and the new cursor. Its cost is in what it returns.
func (r *Registry) ModifiedSince(cursor uint64) (out []Entry, next uint64) {
	for at := r.order.Back(); at != nil; at = at.Prev() {
		e := at.Value.(*Entry)
		if e.modified <= cursor {
			break
		}
		out = append(out, *e)
	}
	return out, r.changes
}

// ReleasedSince reports whether another host has heard the server in place of
// this one after the cursor.
func (e *Entry) ReleasedSince(cursor uint64) bool { return e.released > cursor }

// Usable returns the entries that hold an address: of several at one address
// the one that started last, because addresses are used again.
func (r *Registry) Usable() []Entry {
	newest := make(map[string]*Entry, len(r.entries))
	for _, e := range r.entries {
		other := newest[e.Address]
		if other == nil || later(e, other) {
			newest[e.Address] = e
		}
	}
	out := make([]Entry, 0, len(newest))
	for _, e := range newest {
		out = append(out, *e)
	}
	return out
}

func later(a, b *Entry) bool {
	if a.BornMS != b.BornMS {
		return a.BornMS > b.BornMS
	}
	if !a.Heard.Equal(b.Heard) {
		return a.Heard.After(b.Heard)
	}
	return a.ID > b.ID
}

// Message returns the entry for another host. Ages replace times.
func (e *Entry) Message(now time.Time) *apiv1.ServerAnnouncement {
	return &apiv1.ServerAnnouncement{
		Id: e.ID, Service: e.Service, Address: e.Address, DataCentre: e.DataCentre,
		Slots: uint32(max(e.Slots, 0)), State: uint32(e.State), Sequence: e.Sequence, BornMs: e.BornMS,
		ColdMs:  max(e.ColdUntil.Sub(now).Milliseconds(), 0),
		AgeMs:   max(now.Sub(e.Heard).Milliseconds(), 0),
		Vouched: e.Vouched,
	}
}

// FromMessage returns the entry of a message by the local clock.
func FromMessage(m *apiv1.ServerAnnouncement, now time.Time) Entry {
	return Entry{
		ID: m.GetId(), Service: m.GetService(), Address: m.GetAddress(), DataCentre: m.GetDataCentre(),
		Slots: int(m.GetSlots()), State: State(m.GetState()), Sequence: m.GetSequence(), BornMS: m.GetBornMs(),
		ColdUntil: now.Add(time.Duration(m.GetColdMs()) * time.Millisecond),
		Heard:     now.Add(-time.Duration(m.GetAgeMs()) * time.Millisecond),
	}
}
