package membership

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
)

// bucketCount is the number of parts of the member table that an exchange
// compares; 64 digests of 4 bytes leave most of a datagram for records.
const bucketCount = 64

// selfInterval bounds how often this router announces itself again to members
// that hold an outdated record of it.
const selfInterval = time.Second

// claim is the statement of another member that a member is dead which is
// alive here. The member itself is asked before it is believed.
type claim struct {
	name        string
	incarnation uint64
	version     uint32
}

// merge takes one received record.
func (s *Swim) merge(now time.Time, r *apiv1.MemberRecord) {
	if r.Name == s.self.Name {
		s.mergeSelf(now, r)
		return
	}
	e, known := s.table[r.Name]
	switch {
	case !known || r.Incarnation > e.Incarnation:
		s.add(now, r)
	case r.Incarnation == e.Incarnation:
		s.update(now, e, r)
	}
}

// mergeSelf refutes what others wrongly believe of this router.
func (s *Swim) mergeSelf(now time.Time, r *apiv1.MemberRecord) {
	left := r.Incarnation == s.self.Incarnation && Status(r.Status) == Left && s.self.Status != Left
	switch {
	case r.Incarnation > s.self.Incarnation, left:
		// The clock of this host went back since an earlier process, or two
		// processes share the name. That an incarnation left is final.
		s.self.Incarnation, s.self.version = r.Incarnation+1, 0
		s.touch()
		s.queue(s.self)
	case r.Incarnation < s.self.Incarnation:
		if now.Sub(s.selfSent) >= selfInterval {
			s.selfSent = now
			s.queue(s.self)
		}
	case Status(r.Status) != Alive && r.Version >= s.self.version && s.self.Status != Left:
		s.self.version = r.Version + 1
		s.queue(s.self)
	}
}

// add stores a member that is new here, or a new incarnation of a known one.
func (s *Swim) add(now time.Time, r *apiv1.MemberRecord) {
	if isShort(r) {
		return
	}
	age := time.Duration(r.AgeS) * time.Second
	status := Status(r.Status)
	if age >= KnownFor || status > Left {
		return
	}
	e := newEntry(now, r)
	s.table[e.Name] = e
	s.setStatus(now, e, status)
	if !e.Live() {
		e.Since = now.Add(-age)
	}
}

// update merges a record of the same incarnation.
func (s *Swim) update(now time.Time, e *entry, r *apiv1.MemberRecord) {
	status := Status(r.Status)
	newer := r.Version > e.version
	if e.Status == Left || r.Version < e.version && status != Left {
		return
	}
	if !newer && status <= e.Status {
		return
	}
	if status == Dead && e.Live() {
		s.addClaim(e, r)
		return
	}
	e.version = max(e.version, r.Version)
	if e.Draining != r.Draining {
		e.Draining = r.Draining
		s.touch()
	}
	s.setStatus(now, e, status)
}

// setStatus changes the status of a member and queues the change for others.
func (s *Swim) setStatus(now time.Time, e *entry, status Status) {
	if e.Status != status || !s.listed(e) {
		e.Since = now
		s.touch()
	}
	e.Status, e.notify = status, false
	if status == Suspect {
		e.deadline = now.Add(s.suspicionTime())
		if e.deadline.Before(s.nextEnd) {
			s.nextEnd = e.deadline
		}
	}
	s.relist(e)
	s.queue(e)
}

func (s *Swim) listed(e *entry) bool {
	return slices.Contains(s.live, e) || slices.Contains(s.dead, e)
}

// relist puts the member in the list of its status.
func (s *Swim) relist(e *entry) {
	s.live = without(s.live, e.Name)
	s.dead = without(s.dead, e.Name)
	switch {
	case e.Live():
		s.live = insert(s.live, e)
	case e.Status == Dead:
		s.dead = insert(s.dead, e)
	}
}

func position(list []*entry, name string) (int, bool) {
	return slices.BinarySearchFunc(list, name, func(e *entry, n string) int { return compareNames(e.Name, n) })
}

func without(list []*entry, name string) []*entry {
	if i, ok := position(list, name); ok {
		return slices.Delete(list, i, i+1)
	}
	return list
}

func insert(list []*entry, e *entry) []*entry {
	i, _ := position(list, e.Name)
	return slices.Insert(list, i, e)
}

func (s *Swim) addClaim(e *entry, r *apiv1.MemberRecord) {
	if e.Status == Suspect && e.version >= r.Version {
		return // its time is running already
	}
	c := claim{name: e.Name, incarnation: r.Incarnation, version: r.Version}
	if !slices.Contains(s.claims, c) {
		s.claims = append(s.claims, c)
	}
}

// checkClaims suspects some claimed members and tells them, so that those
// that live refute. Only a few at a time: after a partition every member of
// one side is claimed dead by the other.
func (s *Swim) checkClaims(now time.Time) {
	for range min(claimsPerTick, len(s.claims)) {
		c := s.claims[0]
		s.claims = s.claims[1:]
		e, ok := s.table[c.name]
		if !ok || !e.Live() || e.Incarnation != c.incarnation || e.version > c.version {
			continue
		}
		e.version = c.version
		s.suspect(now, e)
	}
}

// bucketOf returns the part of the table that holds the name.
func bucketOf(name string) int { return int(xxhash.Sum64String(name) % bucketCount) }

// recordHash covers what two tables must agree on. A suspicion and its
// refutation pass too quickly to be compared.
func recordHash(e *entry) uint64 {
	b := make([]byte, 0, 96)
	b = append(b, e.Name...)
	b = binary.LittleEndian.AppendUint64(b, e.Incarnation)
	class := e.Status
	if class == Suspect {
		class = Alive
	}
	b = append(b, byte(class))
	if e.Draining {
		b = append(b, 1)
	}
	return xxhash.Sum64(b)
}

// touch notes a change of the member table.
func (s *Swim) touch() {
	s.changes++
	s.parts = nil
}

// digests returns the digest of the whole table and of its parts.
func (s *Swim) digests() (whole uint64, parts []uint32) {
	if s.parts != nil {
		return s.whole, s.parts
	}
	parts = make([]uint32, bucketCount)
	for _, e := range s.table {
		h := recordHash(e)
		whole += h
		parts[bucketOf(e.Name)] += uint32(h)
	}
	s.whole, s.parts = whole, parts
	return whole, parts
}
