// Package fleet implements the replicated state that core hosts provide to edge
// hosts: the configuration as an opaque, versioned document, and which data centres
// operators have taken out of service.
package fleet

import (
	"slices"
	"strings"
	"sync"

	"google.golang.org/protobuf/proto"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// State is the replicated state machine of the fleet. It implements
// replica.StateMachine and is safe for concurrent use.
type State struct {
	mu       sync.Mutex // guards all fields
	revision uint64     // log index of the last change
	document *apiv1.FleetDocument
	marks    map[string]*apiv1.FleetMark // by data centre
	changed  chan struct{}               // closed at the next change
}

// NewState returns an empty state.
func NewState() *State {
	return &State{marks: map[string]*apiv1.FleetMark{}, changed: make(chan struct{})}
}

// EncodeCommand encodes a command for the replicated log.
func EncodeCommand(c *apiv1.FleetCommand) ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(c)
}

// Apply executes the command of the log entry with that index. It returns a
// *apiv1.FleetSubmitted, or an InvalidCommand error if the command cannot be decoded.
func (s *State) Apply(index uint64, command []byte) any {
	c := &apiv1.FleetCommand{}
	if err := proto.Unmarshal(command, c); err != nil {
		return result.Wrap(result.InvalidCommand, err, "cannot decode fleet command")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if d := c.GetDocument(); d != nil && d.GetVersion() > s.document.GetVersion() {
		s.document = d
		s.recordChange(index)
	}
	if m := c.GetMark(); m != nil && s.marks[m.GetDataCentre()].GetOut() != m.GetOut() {
		m.Revision = index
		s.marks[m.GetDataCentre()] = m
		s.recordChange(index)
	}
	return &apiv1.FleetSubmitted{Version: s.document.GetVersion()}
}

// recordChange sets the revision and wakes the watchers of the state. The caller must
// hold s.mu.
func (s *State) recordChange(index uint64) {
	s.revision = index
	close(s.changed)
	s.changed = make(chan struct{})
}

// View returns the current state and a channel that is closed at the next change.
// The state contains the document only if its version is above the given one. The
// caller must not modify the messages.
func (s *State) View(above uint64) (*apiv1.FleetState, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := &apiv1.FleetState{Revision: s.revision, Marks: s.sortedMarks()}
	if s.document.GetVersion() > above {
		v.Document = s.document
	}
	return v, s.changed
}

// Version returns the version of the document, 0 if there is none.
func (s *State) Version() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.document.GetVersion()
}

// sortedMarks returns the marks in order of data centre.
func (s *State) sortedMarks() []*apiv1.FleetMark {
	out := make([]*apiv1.FleetMark, 0, len(s.marks))
	for _, m := range s.marks {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b *apiv1.FleetMark) int { return strings.Compare(a.DataCentre, b.DataCentre) })
	return out
}

// Snapshot implements replica.StateMachine: it encodes the complete state.
func (s *State) Snapshot() ([]byte, error) {
	v, _ := s.View(0)
	return proto.MarshalOptions{Deterministic: true}.Marshal(v)
}

// Restore implements replica.StateMachine: it replaces the state by a snapshot.
func (s *State) Restore(data []byte) error {
	v := &apiv1.FleetState{}
	if err := proto.Unmarshal(data, v); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.document = v.GetDocument()
	s.marks = map[string]*apiv1.FleetMark{}
	for _, m := range v.GetMarks() {
		s.marks[m.GetDataCentre()] = m
	}
	s.recordChange(v.GetRevision())
	return nil
}
