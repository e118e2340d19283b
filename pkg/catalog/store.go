package catalog

import (
	"sync"
	"sync/atomic"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
)

// Limits of the window of recent changes that a Store keeps for watchers.
const (
	maxWindowRevisions = 1024
	maxWindowChanges   = 8192
)

// delta is an entry of the window: the changes from one revision to another.
type delta struct {
	previous uint64
	revision uint64
	changes  []*apiv1.Change
}

// Store holds the current catalog of a process. It applies only a revision
// greater than the current one. mu guards window, changes and subscribers and
// serializes writers; readers use only the atomic pointer.
type Store struct {
	current atomic.Pointer[Catalog]

	mu          sync.Mutex
	window      []delta // contiguous, oldest first
	changes     int     // changes in the window
	subscribers map[chan struct{}]struct{}
}

// NewStore returns a store without a catalog.
func NewStore() *Store {
	return &Store{subscribers: map[chan struct{}]struct{}{}}
}

// Load returns the current catalog, or nil before the first one.
func (s *Store) Load() *Catalog { return s.current.Load() }

// Revision returns the revision of the current catalog, or 0 before the first
// one.
func (s *Store) Revision() uint64 {
	if c := s.Load(); c != nil {
		return c.Revision()
	}
	return 0
}

// ApplySnapshot replaces the whole catalog and reports whether it did. It
// ignores a revision that is not greater than the current one. The first
// snapshot may have revision 0.
func (s *Store) ApplySnapshot(revision uint64, changes []*apiv1.Change) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Load() != nil && revision <= s.Revision() {
		return false
	}
	s.window, s.changes = nil, 0
	s.setCurrent(Empty().WithChanges(revision, changes))
	return true
}

// ApplyDelta applies the changes between two revisions and reports whether it
// did. The current revision must be at least previous and less than revision.
// It may be greater than previous: the last change of each item wins, so
// changes that were already applied have no effect.
func (s *Store) ApplyDelta(previous, revision uint64, changes []*apiv1.Change) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.Load()
	if current == nil || current.Revision() < previous || current.Revision() >= revision {
		return false
	}
	s.appendDelta(delta{previous: current.Revision(), revision: revision, changes: changes})
	s.setCurrent(current.WithChanges(revision, changes))
	return true
}

// Replace replaces the current catalog with next, which must be the current
// catalog with the changes applied, and reports whether it did. The process
// that creates revisions uses it to avoid converting the changes a second time.
func (s *Store) Replace(next *Catalog, changes []*apiv1.Change) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.Load()
	if current == nil || current.Revision() >= next.Revision() {
		return false
	}
	s.appendDelta(delta{previous: current.Revision(), revision: next.Revision(), changes: changes})
	s.setCurrent(next)
	return true
}

// Subscribe returns a channel that receives a value after the catalog changed,
// and a function that ends the subscription. Changes before the next receive
// are coalesced into one value.
func (s *Store) Subscribe() (<-chan struct{}, func()) {
	ch := make(chan struct{}, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscribers[ch] = struct{}{}
	return ch, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.subscribers, ch)
	}
}

// EventAfter returns the event that brings a watcher from the given revision to
// the current one: a delta if the window reaches back to that revision, else a
// snapshot. It returns nil if there is no newer revision or no catalog. A
// watcher at revision 0 has no catalog and gets a snapshot.
func (s *Store) EventAfter(after uint64) *apiv1.WatchEvent {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.Load()
	if current == nil || current.Revision() <= after {
		return nil
	}
	if changes, ok := s.changesAfter(after); ok && after > 0 {
		return &apiv1.WatchEvent{Revision: current.Revision(), PreviousRevision: after, Changes: changes}
	}
	return &apiv1.WatchEvent{Revision: current.Revision(), Snapshot: true, Changes: current.Items()}
}

// changesAfter returns the window's changes after a revision, and false if the
// window does not reach back to it. The caller holds mu.
func (s *Store) changesAfter(after uint64) ([]*apiv1.Change, bool) {
	for i, d := range s.window {
		if d.previous > after {
			return nil, false
		}
		if d.revision <= after {
			continue
		}
		var out []*apiv1.Change
		for _, later := range s.window[i:] {
			out = append(out, later.changes...)
		}
		return out, true
	}
	return nil, false
}

// appendDelta appends a delta to the window and evicts the oldest beyond the
// limits. The caller holds mu.
func (s *Store) appendDelta(d delta) {
	s.window = append(s.window, d)
	s.changes += len(d.changes)
	for len(s.window) > maxWindowRevisions || s.changes > maxWindowChanges {
		s.changes -= len(s.window[0].changes)
		s.window = s.window[1:]
	}
}

// setCurrent replaces the current catalog and notifies subscribers. The caller
// holds mu.
func (s *Store) setCurrent(next *Catalog) {
	s.current.Store(next)
	for ch := range s.subscribers {
		select {
		case ch <- struct{}{}:
		default:
		}
	}
}
