package ownership

import (
	"slices"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/membership"
	"jackdawtrack.example/jackdawtrack/pkg/pool"
)

const (
	// SettleTime is how long a new owner waits after its predecessor was
	// lost: one membership period, in which the other routers re-report the
	// grants that they hold.
	SettleTime = membership.ProbeInterval

	// HandoverLimit is how long a new owner waits for the hand-over of a
	// predecessor that lives.
	HandoverLimit = 4 * membership.ProbeInterval

	// JoinLimit is how long a router that knows no other one waits before it
	// owns shards, if it has others to join through.
	JoinLimit = 10 * membership.ProbeInterval
)

// Tracker follows the ownership of shards over successive views of one
// router.
//
// Epoch rule: an owner that starts takes the greater of the time in
// milliseconds and the greatest epoch it heard of plus one. Epochs of a shard
// therefore rise with each start, also of a restarted router, as long as
// clocks differ by less than the time between two starts; a hand-over makes
// the order exact. Epochs of other routers' ownership only tell that it
// changed.
type Tracker struct {
	self      pool.RouterID
	joins     bool // there are other routers to join through, and none was seen so far
	expected  int  // routers of the data centre by the settings, 0 if not stated
	began     time.Time
	changed   time.Time // last change of the candidates of this data centre
	candidate time.Time // when this router became a candidate
	view      *View
	shards    map[pool.ShardID]*shardState
}

type shardState struct {
	owner  pool.RouterID
	epoch  uint64
	seen   uint64    // greatest epoch of another owner
	ready  bool      // the owner may grant
	starts time.Time // when this router starts without a hand-over
	from   string    // live predecessor that will hand over
}

// NewTracker returns a tracker without a view. joins says that the settings
// name other routers to join through.
func NewTracker(now time.Time, self pool.RouterID, joins bool) *Tracker {
	t := &Tracker{self: self, joins: joins, began: now, changed: now, candidate: now, shards: map[pool.ShardID]*shardState{}}
	t.view = NewView(now, membership.Member{Name: self.Name, DataCentre: self.DataCentre}, nil)
	return t
}

// Update takes a new member list.
func (t *Tracker) Update(now time.Time, members []membership.Member) {
	previous := t.view
	t.view = NewView(now, t.view.self, members)
	t.noteCandidates(now, previous)
	for shard, s := range t.shards {
		t.follow(now, shard, s)
	}
}

func (t *Tracker) noteCandidates(now time.Time, previous *View) {
	before, after := previous.candidates[t.self.DataCentre], t.view.candidates[t.self.DataCentre]
	same := func(a, b membership.Member) bool { return a.Name == b.Name && a.Incarnation == b.Incarnation }
	if !slices.EqualFunc(before, after, same) {
		t.changed = now
	}
	self := func(m membership.Member) bool { return m.Name == t.self.Name }
	joined := t.joins && len(t.view.routers) > 1
	if joined || !slices.ContainsFunc(before, self) && slices.ContainsFunc(after, self) {
		t.candidate = now
	}
	if !joined {
		return
	}
	t.joins = false
	t.changed = now
	for _, s := range t.shards {
		s.owner, s.ready = pool.RouterID{}, false // believed while alone
	}
}

// View returns the present view.
func (t *Tracker) View() *View { return t.view }

// Known returns the share of this router, as View.Share does.
func (t *Tracker) Known() (known, live, rank int) {
	known, live, rank = t.view.Share()
	if known < t.expected {
		return t.expected, live, t.expected - 1
	}
	return known, live, rank
}

// Expect sets how many routers the data centre has. A router that restarted
// while it is cut off knows itself alone; it must not take the whole limit of
// a server that others use. Its rank is not known then, so it takes the last,
// which has the smallest share.
func (t *Tracker) Expect(routers int) { t.expected = routers }

// Members returns the live routers of all data centres with this one.
func (t *Tracker) Members() []pool.RouterID {
	all := make([]pool.RouterID, 0, len(t.view.routers))
	for _, m := range t.view.routers {
		all = append(all, t.routerID(m))
	}
	return all
}

// routerID keeps the identity under which this process knows itself.
func (t *Tracker) routerID(m membership.Member) pool.RouterID {
	if m.Name == t.self.Name {
		return t.self
	}
	return pool.RouterID{Name: m.Name, DataCentre: m.DataCentre, Incarnation: m.Incarnation}
}

// Owner returns the owner of a shard and its epoch, false while there is none
// or while this router is the next owner and must not grant yet.
func (t *Tracker) Owner(now time.Time, shard pool.ShardID) (owner pool.RouterID, epoch uint64, ok bool) {
	s := t.state(now, shard)
	if s.owner.Name == "" || t.alone(now) {
		return pool.RouterID{}, 0, false
	}
	if !s.ready && !now.Before(s.starts) {
		t.start(now, s)
	}
	return s.owner, s.epoch, s.ready
}

func (t *Tracker) state(now time.Time, shard pool.ShardID) *shardState {
	if s, tracked := t.shards[shard]; tracked {
		return s
	}
	s := &shardState{}
	t.shards[shard] = s
	t.follow(now, shard, s)
	return s
}

// alone reports whether this router may only believe itself alone because it
// has not joined yet.
func (t *Tracker) alone(now time.Time) bool {
	return t.joins && now.Sub(t.began) < JoinLimit
}

// follow compares the state of a shard with the present view.
func (t *Tracker) follow(now time.Time, shard pool.ShardID, s *shardState) {
	m, ok := t.view.Owner(shard)
	next := pool.RouterID{}
	if ok {
		next = t.routerID(m)
	}
	if next == s.owner {
		t.followPredecessor(now, s)
		return
	}
	before := s.owner
	s.owner, s.from = next, ""
	s.seen = max(s.seen, s.epoch)
	if next != t.self {
		s.epoch, s.ready = nextEpoch(now, s), ok
		return
	}
	s.ready = false
	switch {
	case before.Name == "":
		t.waitForUnknown(now, s)
	case t.isLive(before.Name):
		s.from, s.starts = before.Name, now.Add(HandoverLimit)
	default:
		s.starts = now.Add(SettleTime)
	}
}

// waitForUnknown sets the start of a shard whose predecessor this router has
// not seen. The shard is new, or it was owned by a router that this one may
// not know yet because its member list is still arriving.
func (t *Tracker) waitForUnknown(now time.Time, s *shardState) {
	s.starts = t.changed.Add(SettleTime)
	if now.Sub(t.candidate) < HandoverLimit {
		s.starts = t.candidate.Add(HandoverLimit)
	}
}

// followPredecessor shortens the wait when the predecessor died before its
// hand-over.
func (t *Tracker) followPredecessor(now time.Time, s *shardState) {
	if s.ready || s.from == "" || t.isLive(s.from) {
		return
	}
	s.from = ""
	if settled := now.Add(SettleTime); settled.Before(s.starts) {
		s.starts = settled
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

func (t *Tracker) start(now time.Time, s *shardState) {
	s.epoch, s.ready, s.from = nextEpoch(now, s), true, ""
}

func nextEpoch(now time.Time, s *shardState) uint64 {
	return max(uint64(now.UnixMilli()), s.seen+1, s.epoch+1)
}

// HandedOver notes the hand-over of a shard by a predecessor with this epoch.
// It reports whether this router is the owner, which may then grant at once.
func (t *Tracker) HandedOver(now time.Time, shard pool.ShardID, epoch uint64) bool {
	t.Saw(now, shard, epoch)
	s := t.state(now, shard)
	if s.owner != t.self {
		return false
	}
	if !s.ready {
		t.start(now, s)
	}
	return true
}

// Saw notes an epoch of another owner, so that the next one is greater.
func (t *Tracker) Saw(now time.Time, shard pool.ShardID, epoch uint64) {
	s := t.state(now, shard)
	s.seen = max(s.seen, epoch)
}

// Forget drops the state of a shard that is no longer used.
func (t *Tracker) Forget(shard pool.ShardID) { delete(t.shards, shard) }
