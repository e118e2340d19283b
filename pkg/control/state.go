package control

import (
	"sync"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/catalog"
)

// State makes a Machine safe for concurrent use, publishes its catalog and
// tells the time for new commands. The log calls Apply, Snapshot and Restore;
// the server reads. mu guards all fields but store.
type State struct {
	store *catalog.Store

	mu      sync.Mutex
	machine *Machine
	moved   time.Time // when the machine's clock last moved on this host
}

// NewState returns the empty state.
func NewState() *State {
	s := &State{store: catalog.NewStore(), machine: NewMachine(), moved: time.Now()}
	s.store.ApplySnapshot(0, nil)
	return s
}

// Store returns the store that holds the applied catalog.
func (s *State) Store() *catalog.Store { return s.store }

// Apply executes one command of the log.
func (s *State) Apply(index uint64, data []byte) any {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, revision := s.machine.Now(), s.machine.Catalog().Revision()
	out := s.machine.Apply(index, data)
	if s.machine.Now() != now {
		s.moved = time.Now()
	}
	if s.machine.Catalog().Revision() != revision {
		s.store.Publish(s.machine.Catalog(), s.machine.changes)
	}
	return out
}

// Snapshot returns the whole state.
func (s *State) Snapshot() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.Snapshot()
}

// Restore replaces the state by a snapshot.
func (s *State) Restore(data []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.machine.Restore(data); err != nil {
		return err
	}
	s.moved = time.Now()
	s.store.ApplySnapshot(s.machine.Catalog().Revision(), s.machine.Catalog().Items())
	return nil
}

// timestamp returns the time for a new command: the machine's time plus what
// has passed on this host since it moved. Only the monotonic clock counts, so
// a host with a wrong date cannot end sessions or records early.
func (s *State) timestamp() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	passed := min(time.Since(s.moved), maxStep)
	return s.machine.Now() + passed.Milliseconds()
}

// needsTime reports whether the clock has to move.
func (s *State) needsTime() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.NeedsTime()
}

// records returns the number of records of keyed requests.
func (s *State) records() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.Records()
}
