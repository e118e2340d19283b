package catalog

import (
	"sync"
	"sync/atomic"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
)

// Bounds of the window of recent changes that a Store keeps for watchers.
const (
	windowRevisions = 1024
	windowChanges   = 8192
)

// delta is one step of the window: the changes after previous up to revision.
type delta struct {
	previous uint64
	revision uint64
	changes  []*apiv1.Change
}

// Store holds the present catalog of a process. It applies only a revision
// greater than its own. mu guards the window and the subscribers and orders
// writers; readers use the atomic pointer alone.
type Store struct {
	present atomic.Pointer[Catalog]

	mu          sync.Mutex
	window      []delta // contiguous, oldest first
	changes     int     // changes in the window
	subscribers map[chan struct{}]struct{}
}

// NewStore returns a store without a catalog.
func NewStore() *Store {
	return &Store{subscribers: map[chan struct{}]struct{}{}}
}

// Load returns the present catalog, nil before the first.
func (s *Store) Load() *Catalog { return s.present.Load() }

// Revision returns the revision of the present catalog, 0 before the first.
func (s *Store) Revision() uint64 {
	if c := s.Load(); c != nil {
		return c.Revision()
	}
	return 0
}

// ApplySnapshot replaces the catalog by a whole one and reports whether it
// did. It refuses a revision that is not greater than the present one. The
// first snapshot may have revision 0.
func (s *Store) ApplySnapshot(revision uint64, changes []*apiv1.Change) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Load() != nil && revision <= s.Revision() {
		return false
	}
	s.window, s.changes = nil, 0
	s.publish(Empty().With(revision, changes))
	return true
}

// ApplyDelta applies the changes between two revisions and reports whether it
// did. The present revision must be at least previous and less than revision.
// A present revision in between is allowed: the last change of each item wins,
// so changes that were already applied do no harm.
func (s *Store) ApplyDelta(previous, revision uint64, changes []*apiv1.Change) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	present := s.Load()
	if present == nil || present.Revision() < previous || present.Revision() >= revision {
		return false
	}
	s.keep(delta{previous: present.Revision(), revision: revision, changes: changes})
	s.publish(present.With(revision, changes))
	return true
}

// Publish replaces the catalog by the one that the changes made from the
// present one. It is for the process that makes revisions and does not
// convert the changes a second time. It reports whether it did.
func (s *Store) Publish(next *Catalog, changes []*apiv1.Change) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	present := s.Load()
	if present == nil || present.Revision() >= next.Revision() {
		return false
	}
	s.keep(delta{previous: present.Revision(), revision: next.Revision(), changes: changes})
	s.publish(next)
	return true
}

// Subscribe returns a channel that holds a token after each change since the
// last receive, and a function that ends the subscription.
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

// EventAfter returns what a watcher that holds a revision has to apply: a
// delta while the window reaches back to it, else a snapshot, and nil when
// there is nothing newer or no catalog. A watcher at revision 0 holds no
// catalog and gets a snapshot.
func (s *Store) EventAfter(after uint64) *apiv1.WatchEvent {
	s.mu.Lock()
	defer s.mu.Unlock()
	present := s.Load()
	if present == nil || present.Revision() <= after {
		return nil
	}
	if changes, ok := s.since(after); ok && after > 0 {
		return &apiv1.WatchEvent{Revision: present.Revision(), PreviousRevision: after, Changes: changes}
	}
	return &apiv1.WatchEvent{Revision: present.Revision(), Snapshot: true, Changes: present.Items()}
}

// since joins the window's steps after a revision. The caller holds mu.
func (s *Store) since(after uint64) ([]*apiv1.Change, bool) {
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

// keep adds a step to the window. The caller holds mu.
func (s *Store) keep(d delta) {
	s.window = append(s.window, d)
	s.changes += len(d.changes)
	for len(s.window) > windowRevisions || s.changes > windowChanges {
		s.changes -= len(s.window[0].changes)
		s.window = s.window[1:]
	}
}

// publish makes a catalog present and tells subscribers. The caller holds mu.
func (s *Store) publish(next *Catalog) {
	s.present.Store(next)
	for ch := range s.subscribers {
		select {
		case ch <- struct{}{}:
		default:
		}
	}
}
