package control

import (
	"sync"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/catalog"
)

// ReplicatedState makes a StateMachine safe for concurrent use, publishes its
// catalog and provides the timestamps of new commands. The log calls Apply,
// Snapshot and Restore; the server reads. mu guards all fields except store.
type ReplicatedState struct {
	store *catalog.Store

	mu              sync.Mutex
	machine         *StateMachine
	clockAdvancedAt time.Time // when the state machine's clock last advanced on this host
}

// NewReplicatedState returns an empty state.
func NewReplicatedState() *ReplicatedState {
	s := &ReplicatedState{store: catalog.NewStore(), machine: NewStateMachine(), clockAdvancedAt: time.Now()}
	s.store.ApplySnapshot(0, nil)
	return s
}

// Store returns the store that holds the applied catalog.
func (s *ReplicatedState) Store() *catalog.Store { return s.store }

// Apply executes one command of the replicated log.
func (s *ReplicatedState) Apply(index uint64, data []byte) any {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, revision := s.machine.Now(), s.machine.Catalog().Revision()
	out := s.machine.Apply(index, data)
	if s.machine.Now() != now {
		s.clockAdvancedAt = time.Now()
	}
	if s.machine.Catalog().Revision() != revision {
		s.store.Replace(s.machine.Catalog(), s.machine.changes)
	}
	return out
}

// Snapshot returns the encoded state.
func (s *ReplicatedState) Snapshot() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.Snapshot()
}

// Restore replaces the state with a snapshot.
func (s *ReplicatedState) Restore(data []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.machine.Restore(data); err != nil {
		return err
	}
	s.clockAdvancedAt = time.Now()
	s.store.ApplySnapshot(s.machine.Catalog().Revision(), s.machine.Catalog().Items())
	return nil
}

// commandTimestamp returns the timestamp for a new command, in ms: the state
// machine's time plus the time that has passed on this host since it last
// advanced. It uses only the monotonic clock, so a host with a wrong date
// cannot end sessions or records early.
func (s *ReplicatedState) commandTimestamp() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	elapsed := min(time.Since(s.clockAdvancedAt), maxClockAdvance)
	return s.machine.Now() + elapsed.Milliseconds()
}

// hasExpiringState reports whether the clock has to advance.
func (s *ReplicatedState) hasExpiringState() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.HasExpiringState()
}

// recordCount returns the number of records of keyed requests.
func (s *ReplicatedState) recordCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.RecordCount()
}
