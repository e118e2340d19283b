// Package fleet is the state that core hosts agree on for edge hosts: the
// configuration as an opaque document with a version, and which data centres
// operators have taken out.
package fleet

import (
	"slices"
	"strings"
	"sync"

	"google.golang.org/protobuf/proto"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// State is the replicated state machine. It implements replica.Machine and is
// safe for concurrent use.
type State struct {
	mu       sync.Mutex // guards all fields
	revision uint64     // log index of the last change
	document *apiv1.FleetDocument
	marks    map[string]*apiv1.FleetMark
	changed  chan struct{} // closed with the next change
}

// NewState returns the empty state.
func NewState() *State {
	return &State{marks: map[string]*apiv1.FleetMark{}, changed: make(chan struct{})}
}

// Encode returns the command for the log.
func Encode(c *apiv1.FleetCommand) ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(c)
}

// Apply executes one command. It returns a *apiv1.FleetSubmitted, or an error
// for a command that cannot be decoded.
func (s *State) Apply(index uint64, command []byte) any {
	c := &apiv1.FleetCommand{}
	if err := proto.Unmarshal(command, c); err != nil {
		return result.Wrap(result.InvalidCommand, err, "fleet command cannot be decoded")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if d := c.GetDocument(); d != nil && d.GetVersion() > s.document.GetVersion() {
		s.document = d
		s.change(index)
	}
	if m := c.GetMark(); m != nil && s.marks[m.GetDataCentre()].GetOut() != m.GetOut() {
		m.Revision = index
		s.marks[m.GetDataCentre()] = m
		s.change(index)
	}
	return &apiv1.FleetSubmitted{Version: s.document.GetVersion()}
}

// change needs the lock.
func (s *State) change(index uint64) {
	s.revision = index
	close(s.changed)
	s.changed = make(chan struct{})
}

// View returns the present state, its document only if its version is above
// the given one, and a channel that is closed with the next change. The
// caller must not change the messages.
func (s *State) View(above uint64) (*apiv1.FleetState, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := &apiv1.FleetState{Revision: s.revision, Marks: s.ordered()}
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

func (s *State) ordered() []*apiv1.FleetMark {
	out := make([]*apiv1.FleetMark, 0, len(s.marks))
	for _, m := range s.marks {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b *apiv1.FleetMark) int { return strings.Compare(a.DataCentre, b.DataCentre) })
	return out
}

// Snapshot implements replica.Machine.
func (s *State) Snapshot() ([]byte, error) {
	v, _ := s.View(0)
	return proto.MarshalOptions{Deterministic: true}.Marshal(v)
}

// Restore implements replica.Machine.
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
	s.change(v.GetRevision())
	return nil
}
