// Package registry merges the announcements of backend servers, received directly or
// from other hosts, in any order and any number of times. It performs no I/O and
// reads no clock: the current time is an argument.
package registry

import (
	"container/list"
	"time"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/release"
)

// State is the announced state of a backend server.
type State uint32

// Values of State.
const (
	Ready    State = 1
	Draining State = 2 // shutting down, accepts no new requests
	Gone     State = 3 // withdrawn; the same server process never becomes ready again unless it is suspended
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
	// entryTTL is how long an entry is kept without an announcement. Servers announce
	// themselves about once a second. The TTL is longer because edge hosts may still
	// reach a server that is partitioned from the core hosts.
	entryTTL = time.Minute
	// restartGap is the time since the last announcement after which a lower
	// sequence number counts as a restart, for a server that does not state its start
	// time.
	restartGap = 5 * time.Second
	// confirmGap is the time for which a process goes on to announce itself until a
	// withdrawal without a start time is taken back. It is below the announcement
	// interval of 1.2 s; announcements that a partition has delayed arrive together.
	confirmGap = 800 * time.Millisecond
	// outliveTime is the time for which a process goes on to announce itself until it
	// replaces a silent entry that seems newer: two intervals, less what they vary.
	outliveTime = 2 * time.Second
	// maxSequenceStep is the largest step of the sequence number between two
	// announcements of a server that does not state its start time. A larger one may
	// be left over from a process that has ended, and needs a second announcement.
	maxSequenceStep = 16
	// livenessTimeout is how long after an announcement a host that received it
	// directly reports the server as alive. Servers announce themselves every 1.2 s,
	// and some announcements are late.
	livenessTimeout = 3 * time.Second
	// coldTimeTolerance is the largest change of the remaining cold time that is not
	// a modification. Announcements arrive some milliseconds early or late.
	coldTimeTolerance = 250 * time.Millisecond
)

// Entry is the newest known announcement of a backend server.
type Entry struct {
	ID            string
	Service       string
	Address       string // IP and port
	DataCentre    string
	Slots         int
	State         State
	Sequence      uint64
	Release       release.ID
	StartMS       int64     // start time of the server process by its own clock, Unix milliseconds; 0 if not stated
	ColdUntil     time.Time // end of the cold start, by the local clock
	Heard         time.Time // time of the last announcement, by the local clock
	HeardDirectly bool      // the last announcement was received directly from the server
	Leaving       bool      // a response of this server process stated that it is shutting down
	BeforeHeard   time.Time // time of the last announcement of the process before, by the local clock; zero if none was known
	Vouched       bool      // received directly within livenessTimeout: this host reports the server as alive
	KnownSince    time.Time // when a host first heard of this server process, by the local clock; zero if not known
	// Suspensions counts how often a withdrawal without a start time was applied to this
	// process or taken back. It orders both and is odd while the withdrawal is in force.
	Suspensions uint32

	modified     uint64        // value of Registry.lastChange at the last change other than to times
	sourceChange uint64        // value of Registry.lastChange when the server was last heard through another host instead of directly
	element      *list.Element // position in Registry.changeOrder
	rival        series        // announcements that contradict this entry

	suspendedState State // before a suspension, 0 if not known
}

// Change is the effect of an offered announcement.
type Change uint8

// Values of Change.
const (
	Stale    Change = iota // not newer than the known announcement, ignored
	Renewed                // only the time, the sequence number or the receiving host is new
	Modified               // the state, address, service, data centre, slots, release, start or cold time changed
)

// Registry holds one entry for each server id. It is not safe for concurrent
// use.
type Registry struct {
	entries     map[string]*Entry
	changeOrder *list.List // of *Entry, the most recently modified last
	lastChange  uint64     // sequence number of the last change
}

// New returns an empty Registry.
func New() *Registry { return &Registry{entries: map[string]*Entry{}, changeOrder: list.New()} }

// Get returns a copy of the entry of a server, and false if the id is not known.
func (r *Registry) Get(id string) (Entry, bool) {
	e, ok := r.entries[id]
	if !ok {
		return Entry{}, false
	}
	return *e, true
}

// Merge merges an announcement and returns its effect.
func (r *Registry) Merge(e Entry) Change {
	current := r.entries[e.ID]
	e.Vouched = e.HeardDirectly && e.State != Gone
	if e.KnownSince.IsZero() && e.HeardDirectly {
		e.KnownSince = e.Heard
	}
	if current == nil {
		r.store(e, true)
		return Modified
	}
	if e.HeardDirectly && e.State != Gone && !current.admits(&e) {
		return Stale
	}
	if current.isAtLeastAsNew(&e) && !current.isOutlivedBy(&e) {
		return Stale
	}
	if e.StartMS == current.StartMS {
		e.KnownSince = earliest(e.KnownSince, current.KnownSince)
	}
	if e.StartMS == current.StartMS && e.State == Gone {
		// A withdrawal may state only the id, so the other fields are kept.
		gone := *current
		gone.State, gone.Heard, gone.HeardDirectly, gone.Vouched = Gone, e.Heard, e.HeardDirectly || gone.HeardDirectly, false
		gone.Suspensions, gone.KnownSince, gone.rival = e.Suspensions, e.KnownSince, series{}
		if current.State != Gone {
			gone.suspendedState = current.State
		}
		r.store(gone, true)
		return Modified
	}
	e.Leaving = current.Leaving && current.sameStart(&e)
	e.BeforeHeard = current.BeforeHeard
	if e.StartMS != current.StartMS || e.Release != current.Release {
		e.BeforeHeard = current.Heard
	}
	e.sourceChange = current.sourceChange
	if current.HeardDirectly && !e.HeardDirectly {
		e.sourceChange = r.lastChange + 1
	}
	modified := current.differsFrom(&e)
	r.store(e, modified || e.Vouched != current.Vouched || e.HeardDirectly != current.HeardDirectly)
	if modified {
		return Modified
	}
	return Renewed
}

// differsFrom reports whether a newer announcement changes anything but times and
// the sequence number. Changes of the cold time up to coldTimeTolerance do not
// count.
func (e *Entry) differsFrom(newer *Entry) bool {
	if newer.State != e.State || newer.StartMS != e.StartMS || newer.Address != e.Address ||
		newer.Service != e.Service || newer.DataCentre != e.DataCentre || newer.Slots != e.Slots || newer.Release != e.Release {
		return true
	}
	cold := max(newer.ColdUntil.Sub(newer.Heard), 0) - max(e.ColdUntil.Sub(newer.Heard), 0)
	return cold.Abs() > coldTimeTolerance
}

// Renew records that another host heard the server process with that start time at the
// given time. Unknown and withdrawn servers are ignored. A suspended one is resumed if it
// was heard for longer than restartGap after the withdrawal.
func (r *Registry) Renew(id string, startMS int64, heard time.Time) {
	e := r.entries[id]
	switch {
	case e == nil || e.StartMS != startMS || !heard.After(e.Heard):
	case e.State != Gone:
		e.Heard = heard
	case e.isSuspended() && heard.Sub(e.Heard) > restartGap:
		r.resume(e, heard)
	}
}

// ExpireVouched clears Vouched of the servers that were not heard for
// livenessTimeout. It returns the oldest Heard time of the servers that stay
// vouched, zero if there are none.
func (r *Registry) ExpireVouched(now time.Time) (oldest time.Time) {
	for _, e := range r.entries {
		switch {
		case !e.Vouched:
		case now.Sub(e.Heard) > livenessTimeout:
			expired := *e
			expired.Vouched = false
			r.store(expired, true)
		case oldest.IsZero() || e.Heard.Before(oldest):
			oldest = e.Heard
		}
	}
	return oldest
}

// isAtLeastAsNew reports whether the entry is at least as new as the other
// announcement, which is then stale.
func (e *Entry) isAtLeastAsNew(other *Entry) bool {
	if e.StartMS != other.StartMS {
		return e.StartMS > other.StartMS
	}
	if e.isWithdrawn() || other.isWithdrawn() {
		return e.isWithdrawn()
	}
	if e.Suspensions != other.Suspensions {
		return e.Suspensions > other.Suspensions
	}
	if e.State == Gone {
		return true
	}
	if other.State == Gone {
		return false
	}
	if e.contradicts(other) && e.isKnownLonger(other) != other.isKnownLonger(e) {
		return e.isKnownLonger(other)
	}
	if other.Sequence > e.Sequence {
		return false
	}
	restarted := e.StartMS == 0 && other.Sequence < e.Sequence && other.Heard.Sub(e.Heard) > restartGap
	return !restarted
}

// isOutlivedBy reports whether an announcement that seems older than the entry
// replaces it, because the entry was wrong: nothing was heard of it for restartGap,
// while another process goes on to announce itself under the id. Another host has
// confirmed the announcements that it passes on.
func (e *Entry) isOutlivedBy(other *Entry) bool {
	if e.State != Ready || other.State == Gone {
		return false
	}
	silent := other.Heard.Sub(e.Heard) > restartGap
	if !other.HeardDirectly {
		return silent
	}
	e.rival.add(other)
	return silent && e.rival.length() >= outliveTime
}

// sameStart reports whether a newer announcement comes from the same server process
// as the entry.
func (e *Entry) sameStart(newer *Entry) bool {
	return e.StartMS == newer.StartMS && (e.StartMS != 0 || newer.Sequence > e.Sequence)
}

// MarkLeaving marks a server process as shutting down, because one of its
// responses said so. It reports whether the mark is new. The mark stays until
// the server restarts, whatever its announcements state.
func (r *Registry) MarkLeaving(id string, startMS int64) bool {
	e, ok := r.entries[id]
	if !ok || e.Leaving || e.StartMS != startMS || e.State != Ready {
		return false
	}
	leaving := *e
	leaving.Leaving = true
	r.store(leaving, true)
	return true
}

// store replaces the entry. modified states whether anything but times changed;
// then the entry gets a new change number and moves to the end of changeOrder.
func (r *Registry) store(e Entry, modified bool) {
	current := r.entries[e.ID]
	r.entries[e.ID] = &e
	if current != nil && !modified {
		e.modified, e.element = current.modified, current.element
		e.element.Value = &e
		return
	}
	if current != nil {
		r.changeOrder.Remove(current.element)
	}
	r.lastChange++
	e.modified = r.lastChange
	e.element = r.changeOrder.PushBack(&e)
}

// RemoveExpired removes the entries that were not heard for entryTTL.
func (r *Registry) RemoveExpired(now time.Time) {
	for id, e := range r.entries {
		if now.Sub(e.Heard) > entryTTL {
			r.changeOrder.Remove(e.element)
			delete(r.entries, id)
		}
	}
}

// ModifiedSince returns copies of the entries that were modified after the cursor,
// newest first, and the new cursor. Changes of times alone do not count. Its cost is
// proportional to the number of returned entries.
func (r *Registry) ModifiedSince(cursor uint64) (out []Entry, next uint64) {
	for at := r.changeOrder.Back(); at != nil; at = at.Prev() {
		e := at.Value.(*Entry)
		if e.modified <= cursor {
			break
		}
		out = append(out, *e)
	}
	return out, r.lastChange
}

// HandedOverSince reports whether, after the cursor, the server changed from
// being heard directly to being heard through another host.
func (e *Entry) HandedOverSince(cursor uint64) bool { return e.sourceChange > cursor }

// NewestPerAddress returns one entry per address: the server that started last,
// because addresses are reused. A server that was not heard for restartGap does not
// hide one that was, unless it withdrew.
func (r *Registry) NewestPerAddress() []Entry {
	lastHeard := make(map[string]time.Time, len(r.entries))
	for _, e := range r.entries {
		if e.Heard.After(lastHeard[e.Address]) {
			lastHeard[e.Address] = e.Heard
		}
	}
	newest := make(map[string]*Entry, len(r.entries))
	for _, e := range r.entries {
		silent := e.State != Gone && lastHeard[e.Address].Sub(e.Heard) > restartGap
		if other := newest[e.Address]; !silent && (other == nil || startedLater(e, other)) {
			newest[e.Address] = e
		}
	}
	out := make([]Entry, 0, len(newest))
	for _, e := range newest {
		out = append(out, *e)
	}
	return out
}

// startedLater reports whether a started after b. Ties are decided by the last
// announcement and by the id.
func startedLater(a, b *Entry) bool {
	if a.StartMS != b.StartMS {
		return a.StartMS > b.StartMS
	}
	if !a.Heard.Equal(b.Heard) {
		return a.Heard.After(b.Heard)
	}
	return a.ID > b.ID
}

// ToProto returns the announcement to send to another host. It carries ages
// instead of times, because clocks differ.
func (e *Entry) ToProto(now time.Time) *apiv1.ServerAnnouncement {
	return &apiv1.ServerAnnouncement{
		Id: e.ID, Service: e.Service, Address: e.Address, DataCentre: e.DataCentre,
		Slots: uint32(max(e.Slots, 0)), State: uint32(e.State), Sequence: e.Sequence, BornMs: e.StartMS,
		ColdMs:  max(e.ColdUntil.Sub(now).Milliseconds(), 0),
		AgeMs:   max(now.Sub(e.Heard).Milliseconds(), 0),
		Vouched: e.Vouched,
		Release: uint64(e.Release), Suspensions: e.Suspensions, KnownUs: ageUS(now, e.KnownSince),
	}
}

// FromProto converts a received announcement; ages become times of the local
// clock. It does not validate the entry.
func FromProto(m *apiv1.ServerAnnouncement, now time.Time) Entry {
	return Entry{
		ID: m.GetId(), Service: m.GetService(), Address: m.GetAddress(), DataCentre: m.GetDataCentre(),
		Slots: int(m.GetSlots()), State: State(m.GetState()), Sequence: m.GetSequence(), StartMS: m.GetBornMs(),
		ColdUntil: now.Add(clampMS(m.GetColdMs(), 2*MaxColdTime)),
		Heard:     now.Add(-DurationOfAge(m.GetAgeMs())),
		Release:   release.ID(m.GetRelease()), Suspensions: m.GetSuspensions(), KnownSince: timeOfAge(now, m.GetKnownUs()),
	}
}
