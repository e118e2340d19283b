package ownership

import (
	"sync"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/membership"
	"jackdawtrack.example/jackdawtrack/pkg/pool"
)

// ConcurrentTracker is a Tracker that uses the system clock and is safe for
// concurrent use.
type ConcurrentTracker struct {
	mu      sync.Mutex // guards tracker
	tracker *Tracker
}

// NewConcurrentTracker returns a ConcurrentTracker without a view. joinPending
// states that the settings name other routers to join through.
func NewConcurrentTracker(self pool.RouterID, joinPending bool) *ConcurrentTracker {
	return &ConcurrentTracker{tracker: NewTracker(time.Now(), self, joinPending)}
}

// SetExpectedRouters sets the expected number of routers of the data centre,
// see Tracker.SetExpectedRouters.
func (s *ConcurrentTracker) SetExpectedRouters(routers int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.SetExpectedRouters(routers)
}

// Update takes a new member list, see Tracker.Update.
func (s *ConcurrentTracker) Update(members []membership.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.Update(time.Now(), members)
}

// Owner returns the owner of a shard and its epoch, see Tracker.Owner.
func (s *ConcurrentTracker) Owner(shard pool.ShardID) (owner pool.RouterID, epoch uint64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.Owner(time.Now(), shard)
}

// RecordHandover records the handover of a shard, see Tracker.RecordHandover.
func (s *ConcurrentTracker) RecordHandover(shard pool.ShardID, epoch uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.RecordHandover(time.Now(), shard, epoch)
}

// LiveRouters returns the live routers of all data centres, including this one.
func (s *ConcurrentTracker) LiveRouters() []pool.RouterID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.LiveRouters()
}

// RouterCounts returns the number of known and of live routers of this data
// centre and the rank of this one, see Tracker.RouterCounts.
func (s *ConcurrentTracker) RouterCounts() (known, live, rank int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.RouterCounts()
}

// JoinPending reports whether this router has not joined yet, see
// Tracker.JoinPending.
func (s *ConcurrentTracker) JoinPending() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.JoinPending(time.Now())
}
