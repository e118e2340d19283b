package ownership

import (
	"slices"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/membership"
	"jackdawtrack.example/jackdawtrack/pkg/pool"
)

const (
	// TakeoverDelay is how long a new owner waits to grant after its
	// predecessor was lost: one membership period, in which the other routers
	// report the grants that they hold.
	TakeoverDelay = membership.ProbeInterval

	// HandoverTimeout is how long a new owner waits for the handover of a
	// live predecessor.
	HandoverTimeout = 4 * membership.ProbeInterval

	// JoinTimeout is how long a router that has others to join through, but
	// knows none yet, waits before it owns shards.
	JoinTimeout = 10 * membership.ProbeInterval
)

// Tracker tracks the ownership of shards over successive views of one router.
//
// When this router becomes the owner of a shard, the epoch is the greater of the
// Unix time in milliseconds and the greatest known epoch of the shard plus one.
// Epochs of a shard therefore increase with each new owner, also after a
// restart, as long as clocks differ by less than the time between two changes.
// A handover makes the order exact. The epoch that a Tracker assigns to another
// owner is local and only shows that the owner changed.
type Tracker struct {
	self                pool.RouterID
	joinPending         bool // there are other routers to join through, and none has been seen yet
	expectedRouters     int  // routers of the data centre by the settings, 0 if not stated
	startedAt           time.Time
	candidatesChangedAt time.Time // last change of the candidate owners in this data centre
	candidateSince      time.Time // when this router became a candidate owner or joined
	view                *View
	shards              map[pool.ShardID]*shardState
}

// shardState is the ownership of one shard.
type shardState struct {
	owner         pool.RouterID
	epoch         uint64
	maxOtherEpoch uint64    // greatest known epoch of another owner
	mayGrant      bool      // the owner may grant slots
	startAt       time.Time // when this router may grant without a handover
	predecessor   string    // name of the live owner that will hand over, empty if none
}

// NewTracker returns a Tracker with an empty view. joinPending states that the
// settings name other routers to join through.
func NewTracker(now time.Time, self pool.RouterID, joinPending bool) *Tracker {
	t := &Tracker{self: self, joinPending: joinPending, startedAt: now, candidatesChangedAt: now, candidateSince: now, shards: map[pool.ShardID]*shardState{}}
	t.view = NewView(now, membership.Member{Name: self.Name, DataCentre: self.DataCentre}, nil)
	return t
}

// Update takes a new member list and updates the owners of the tracked shards.
func (t *Tracker) Update(now time.Time, members []membership.Member) {
	previous := t.view
	t.view = NewView(now, t.view.self, members)
	t.updateCandidates(now, previous)
	for shard, s := range t.shards {
		t.updateShard(now, shard, s)
	}
}

// updateCandidates records changes of the candidate owners and the end of the
// join.
func (t *Tracker) updateCandidates(now time.Time, previous *View) {
	before, after := previous.candidates[t.self.DataCentre], t.view.candidates[t.self.DataCentre]
	same := func(a, b membership.Member) bool { return a.Name == b.Name && a.Incarnation == b.Incarnation }
	if !slices.EqualFunc(before, after, same) {
		t.candidatesChangedAt = now
	}
	self := func(m membership.Member) bool { return m.Name == t.self.Name }
	joined := t.joinPending && len(t.view.routers) > 1
	if joined || !slices.ContainsFunc(before, self) && slices.ContainsFunc(after, self) {
		t.candidateSince = now
	}
	if !joined {
		return
	}
	t.joinPending = false
	t.candidatesChangedAt = now
	for _, s := range t.shards {
		s.owner, s.mayGrant = pool.RouterID{}, false // determined before the join
	}
}

// View returns the present view.
func (t *Tracker) View() *View { return t.view }

// RouterCounts returns the number of known and of live routers of this data
// centre and the rank of this one, as View.RouterCounts does. If fewer routers
// are known than expected, the expected number and the last rank replace them.
func (t *Tracker) RouterCounts() (known, live, rank int) {
	known, live, rank = t.view.RouterCounts()
	if known < t.expectedRouters {
		return t.expectedRouters, live, t.expectedRouters - 1
	}
	return known, live, rank
}

// SetExpectedRouters sets the expected number of routers of the data centre. A
// router that restarts while it is partitioned knows no other router, but must
// not use the whole limit of a server that others use too. Its rank is unknown
// then, so it takes the last one, which has the smallest share.
func (t *Tracker) SetExpectedRouters(routers int) { t.expectedRouters = routers }

// LiveRouters returns the live routers of all data centres, including this one.
func (t *Tracker) LiveRouters() []pool.RouterID {
	all := make([]pool.RouterID, 0, len(t.view.routers))
	for _, m := range t.view.routers {
		all = append(all, t.routerID(m))
	}
	return all
}

// routerID returns the id of a member. For this router it is the id given to
// NewTracker, whatever incarnation the member list has.
func (t *Tracker) routerID(m membership.Member) pool.RouterID {
	if m.Name == t.self.Name {
		return t.self
	}
	return pool.RouterID{Name: m.Name, DataCentre: m.DataCentre, Incarnation: m.Incarnation}
}

// Owner returns the owner of a shard and its epoch. It returns false while there
// is no owner, before the join, and while this router is the next owner and must
// not grant yet.
func (t *Tracker) Owner(now time.Time, shard pool.ShardID) (owner pool.RouterID, epoch uint64, ok bool) {
	s := t.ensureState(now, shard)
	if s.owner.Name == "" || t.JoinPending(now) {
		return pool.RouterID{}, 0, false
	}
	if !s.mayGrant && !now.Before(s.startAt) {
		t.startOwnership(now, s)
	}
	return s.owner, s.epoch, s.mayGrant
}

// ensureState returns the state of a shard and creates it if needed.
func (t *Tracker) ensureState(now time.Time, shard pool.ShardID) *shardState {
	if s, tracked := t.shards[shard]; tracked {
		return s
	}
	s := &shardState{}
	t.shards[shard] = s
	t.updateShard(now, shard, s)
	return s
}

// JoinPending reports whether this router has not joined yet, so that the routers
// in its view may not be all. After JoinTimeout it counts as alone until it knows
// another one.
func (t *Tracker) JoinPending(now time.Time) bool {
	return t.joinPending && now.Sub(t.startedAt) < JoinTimeout
}

// updateShard updates the owner of a shard from the present view. If this router
// becomes the owner, it sets when the router may grant.
func (t *Tracker) updateShard(now time.Time, shard pool.ShardID, s *shardState) {
	m, ok := t.view.Owner(shard)
	next := pool.RouterID{}
	if ok {
		next = t.routerID(m)
	}
	if next == s.owner {
		t.checkPredecessor(now, s)
		return
	}
	before := s.owner
	s.owner, s.predecessor = next, ""
	s.maxOtherEpoch = max(s.maxOtherEpoch, s.epoch)
	if next != t.self {
		s.epoch, s.mayGrant = nextEpoch(now, s), ok
		return
	}
	s.mayGrant = false
	switch {
	case before.Name == "":
		t.waitForUnknownPredecessor(now, s)
	case t.isLive(before.Name):
		s.predecessor, s.startAt = before.Name, now.Add(HandoverTimeout)
	default:
		s.startAt = now.Add(TakeoverDelay)
	}
}

// waitForUnknownPredecessor sets when this router may grant for a shard without
// a known predecessor. Either the shard is new, or its owner is not known yet
// because the member list is still incomplete.
func (t *Tracker) waitForUnknownPredecessor(now time.Time, s *shardState) {
	s.startAt = t.candidatesChangedAt.Add(TakeoverDelay)
	if now.Sub(t.candidateSince) < HandoverTimeout {
		s.startAt = t.candidateSince.Add(HandoverTimeout)
	}
}

// checkPredecessor shortens the wait if the predecessor was lost before its
// handover.
func (t *Tracker) checkPredecessor(now time.Time, s *shardState) {
	if s.mayGrant || s.predecessor == "" || t.isLive(s.predecessor) {
		return
	}
	s.predecessor = ""
	if settled := now.Add(TakeoverDelay); settled.Before(s.startAt) {
		s.startAt = settled
	}
}

func (t *Tracker) isLive(name string) bool {
	for _, m := range t.view.routers {
		if m.Name == name {
			return true
		}
	}
	return false
}

// startOwnership starts a new epoch of this router as the owner.
func (t *Tracker) startOwnership(now time.Time, s *shardState) {
	s.epoch, s.mayGrant, s.predecessor = nextEpoch(now, s), true, ""
}

// nextEpoch returns the epoch of the next owner of a shard, see Tracker.
func nextEpoch(now time.Time, s *shardState) uint64 {
	return max(uint64(now.UnixMilli()), s.maxOtherEpoch+1, s.epoch+1)
}

// RecordHandover records the handover of a shard by a predecessor with this
// epoch. It reports whether this router is the new owner, which may then grant
// at once.
func (t *Tracker) RecordHandover(now time.Time, shard pool.ShardID, epoch uint64) bool {
	t.RecordEpoch(now, shard, epoch)
	s := t.ensureState(now, shard)
	if s.owner != t.self {
		return false
	}
	if !s.mayGrant {
		t.startOwnership(now, s)
	}
	return true
}

// RecordEpoch records an epoch of another owner, so that the next epoch of this
// router is greater.
func (t *Tracker) RecordEpoch(now time.Time, shard pool.ShardID, epoch uint64) {
	s := t.ensureState(now, shard)
	s.maxOtherEpoch = max(s.maxOtherEpoch, epoch)
}

// RemoveShard removes the state of a shard that is no longer used.
func (t *Tracker) RemoveShard(shard pool.ShardID) { delete(t.shards, shard) }
