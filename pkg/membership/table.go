package membership

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
)

// bucketCount is the number of buckets of the member table whose digests an
// exchange compares. 64 digests of 4 bytes leave most of a datagram for records.
const bucketCount = 64

// selfUpdateInterval is the minimum time between two updates with which this router
// corrects outdated records of itself.
const selfUpdateInterval = time.Second

// deadClaim is the claim of another member that a member is dead which is live in
// the table of this router. The member is suspected and pinged first, so that it can
// refute the claim.
type deadClaim struct {
	name        string
	incarnation uint64
	version     uint32
}

// mergeRecord merges a received record into the table.
func (s *Swim) mergeRecord(now time.Time, r *apiv1.MemberRecord) {
	if r.Name == s.self.Name {
		s.mergeSelfRecord(now, r)
		return
	}
	e, known := s.table[r.Name]
	switch {
	case !known || r.Incarnation > e.Incarnation:
		s.addMember(now, r)
	case r.Incarnation == e.Incarnation:
		s.updateMember(now, e, r)
	}
}

// mergeSelfRecord refutes a received record of this router that is wrong or
// outdated.
func (s *Swim) mergeSelfRecord(now time.Time, r *apiv1.MemberRecord) {
	reportedLeft := r.Incarnation == s.self.Incarnation && Status(r.Status) == Left && s.self.Status != Left
	switch {
	case r.Incarnation > s.self.Incarnation, reportedLeft:
		// The clock of this host went back since an earlier process, or two
		// processes share the name. An incarnation that left cannot come back.
		s.self.Incarnation, s.self.version = r.Incarnation+1, 0
		s.markChanged()
		s.queueUpdate(s.self)
	case r.Incarnation < s.self.Incarnation:
		if now.Sub(s.lastSelfUpdate) >= selfUpdateInterval {
			s.lastSelfUpdate = now
			s.queueUpdate(s.self)
		}
	case Status(r.Status) != Alive && r.Version >= s.self.version && s.self.Status != Left:
		s.self.version = r.Version + 1
		s.queueUpdate(s.self)
	}
}

// addMember adds a new member, or a new incarnation of a known one. It ignores
// short records and those that are older than DeadMemberRetention.
func (s *Swim) addMember(now time.Time, r *apiv1.MemberRecord) {
	if isShortRecord(r) {
		return
	}
	age := time.Duration(r.AgeS) * time.Second
	status := Status(r.Status)
	if age >= DeadMemberRetention || status > Left {
		return
	}
	e := newEntry(now, r)
	s.table[e.Name] = e
	s.setStatus(now, e, status)
	if !e.IsLive() {
		e.StatusSince = now.Add(-age)
	}
}

// updateMember merges a record of the known incarnation of a member.
func (s *Swim) updateMember(now time.Time, e *entry, r *apiv1.MemberRecord) {
	status := Status(r.Status)
	newer := r.Version > e.version
	if e.Status == Left || r.Version < e.version && status != Left {
		return
	}
	if !newer && status <= e.Status {
		return
	}
	if status == Dead && e.IsLive() {
		s.addDeadClaim(e, r)
		return
	}
	e.version = max(e.version, r.Version)
	if e.Draining != r.Draining {
		e.Draining = r.Draining
		s.markChanged()
	}
	s.setStatus(now, e, status)
}

// setStatus sets the status of a member and queues the update.
func (s *Swim) setStatus(now time.Time, e *entry, status Status) {
	if e.Status != status || !s.isListed(e) {
		e.StatusSince = now
		s.markChanged()
	}
	e.Status, e.notifySuspect = status, false
	if status == Suspect {
		e.suspicionDeadline = now.Add(s.suspicionTimeout())
		if e.suspicionDeadline.Before(s.nextSuspicionEnd) {
			s.nextSuspicionEnd = e.suspicionDeadline
		}
	}
	s.updateStatusLists(e)
	s.queueUpdate(e)
}

// isListed reports whether the member is in the live or the dead list.
func (s *Swim) isListed(e *entry) bool {
	return slices.Contains(s.live, e) || slices.Contains(s.dead, e)
}

// updateStatusLists moves the member to the list of its status.
func (s *Swim) updateStatusLists(e *entry) {
	s.live = removeMember(s.live, e.Name)
	s.dead = removeMember(s.dead, e.Name)
	switch {
	case e.IsLive():
		s.live = insertMember(s.live, e)
	case e.Status == Dead:
		s.dead = insertMember(s.dead, e)
	}
}

// findMember returns the position of the name in a sorted list, or where to insert
// it.
func findMember(list []*entry, name string) (int, bool) {
	return slices.BinarySearchFunc(list, name, func(e *entry, n string) int { return compareNames(e.Name, n) })
}

func removeMember(list []*entry, name string) []*entry {
	if i, ok := findMember(list, name); ok {
		return slices.Delete(list, i, i+1)
	}
	return list
}

func insertMember(list []*entry, e *entry) []*entry {
	i, _ := findMember(list, e.Name)
	return slices.Insert(list, i, e)
}

// addDeadClaim queues the claim of a record that a live member is dead.
func (s *Swim) addDeadClaim(e *entry, r *apiv1.MemberRecord) {
	if e.Status == Suspect && e.version >= r.Version {
		return // the suspicion is running already
	}
	c := deadClaim{name: e.Name, incarnation: r.Incarnation, version: r.Version}
	if !slices.Contains(s.deadClaims, c) {
		s.deadClaims = append(s.deadClaims, c)
	}
}

// checkDeadClaims starts suspicions of the claimed members, so that those that are
// alive refute. It checks a few claims per probe interval, because after a partition
// every member of one side is claimed dead by the other.
func (s *Swim) checkDeadClaims(now time.Time) {
	for range min(maxDeadClaimsPerPeriod, len(s.deadClaims)) {
		c := s.deadClaims[0]
		s.deadClaims = s.deadClaims[1:]
		e, ok := s.table[c.name]
		if !ok || !e.IsLive() || e.Incarnation != c.incarnation || e.version > c.version {
			continue
		}
		e.version = c.version
		s.suspect(now, e)
	}
}

// bucketOf returns the bucket of the table that holds the name.
func bucketOf(name string) int { return int(xxhash.Sum64String(name) % bucketCount) }

// recordHash returns the hash of the fields in which two tables must agree. Suspect
// counts as alive, because suspicions and refutations change too quickly to be
// compared.
func recordHash(e *entry) uint64 {
	b := make([]byte, 0, 96)
	b = append(b, e.Name...)
	b = binary.LittleEndian.AppendUint64(b, e.Incarnation)
	comparedStatus := e.Status
	if comparedStatus == Suspect {
		comparedStatus = Alive
	}
	b = append(b, byte(comparedStatus))
	if e.Draining {
		b = append(b, 1)
	}
	return xxhash.Sum64(b)
}

// markChanged counts a change of the table and invalidates the digests.
func (s *Swim) markChanged() {
	s.changeCount++
	s.bucketDigests = nil
}

// digests returns the digests of the table and of its buckets. It computes them
// again after a change.
func (s *Swim) digests() (tableDigest uint64, bucketDigests []uint32) {
	if s.bucketDigests != nil {
		return s.tableDigest, s.bucketDigests
	}
	bucketDigests = make([]uint32, bucketCount)
	for _, e := range s.table {
		h := recordHash(e)
		tableDigest += h
		bucketDigests[bucketOf(e.Name)] += uint32(h)
	}
	s.tableDigest, s.bucketDigests = tableDigest, bucketDigests
	return tableDigest, bucketDigests
}
