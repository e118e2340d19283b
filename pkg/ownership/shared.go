package ownership

import (
	"sync"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/membership"
	"jackdawtrack.example/jackdawtrack/pkg/pool"
)

// Shared is a Tracker for concurrent use that reads the clock of the host.
type Shared struct {
	mu      sync.Mutex // guards tracker
	tracker *Tracker
}

// NewShared returns a shared tracker. joins says that the settings name other
// routers to join through.
func NewShared(self pool.RouterID, joins bool) *Shared {
	return &Shared{tracker: NewTracker(time.Now(), self, joins)}
}

// Expect sets how many routers the data centre has, as Tracker.Expect does.
func (s *Shared) Expect(routers int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.Expect(routers)
}

// Update takes a new member list.
func (s *Shared) Update(members []membership.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.Update(time.Now(), members)
}

// Owner returns the owner of a shard and its epoch, false while there is none
// or while this router is the next owner and must not grant yet.
func (s *Shared) Owner(shard pool.ShardID) (owner pool.RouterID, epoch uint64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.Owner(time.Now(), shard)
}

// HandedOver notes a hand-over, as Tracker.HandedOver does.
func (s *Shared) HandedOver(shard pool.ShardID, epoch uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.HandedOver(time.Now(), shard, epoch)
}

// Members returns the live routers of all data centres with this one.
func (s *Shared) Members() []pool.RouterID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.Members()
}

// Known returns the number of known and of live routers of this data centre
// and the rank of this one in the order of names.
func (s *Shared) Known() (known, live, rank int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.Known()
}
