package ownership

import (
	"sync"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/membership"
	"jackdawtrack.example/jackdawtrack/pkg/pool"
)

// Shared is a Tracker that uses the system clock and is safe for concurrent use.
type Shared struct {
	mu      sync.Mutex // guards tracker
	tracker *Tracker
}

// NewShared returns a Shared without a view. joinPending states that the settings
// name other routers to join through.
func NewShared(self pool.RouterID, joinPending bool) *Shared {
	return &Shared{tracker: NewTracker(time.Now(), self, joinPending)}
}

// Expect sets the expected number of routers of the data centre, see
// Tracker.Expect.
func (s *Shared) Expect(routers int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.Expect(routers)
}

// Update takes a new member list, see Tracker.Update.
func (s *Shared) Update(members []membership.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.Update(time.Now(), members)
}

// Owner returns the owner of a shard and its epoch, see Tracker.Owner.
func (s *Shared) Owner(shard pool.ShardID) (owner pool.RouterID, epoch uint64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.Owner(time.Now(), shard)
}

// HandedOver records the handover of a shard, see Tracker.HandedOver.
func (s *Shared) HandedOver(shard pool.ShardID, epoch uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.HandedOver(time.Now(), shard, epoch)
}

// Members returns the live routers of all data centres, including this one.
func (s *Shared) Members() []pool.RouterID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.Members()
}

// Known returns the number of known and of live routers of this data centre and
// the rank of this one, see Tracker.Known.
func (s *Shared) Known() (known, live, rank int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.Known()
}
