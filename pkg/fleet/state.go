// Package fleet implements the replicated state that core hosts provide to edge
// hosts: the configuration as an opaque, versioned document, which data centres
// operators have taken out of service, the verdicts on prompt parts that crash
// servers, the releases of each service on which streams may have begun, and the
// routes that led to other services lately.
package fleet

import (
	"cmp"
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
	services map[string]uint64                   // servicesByPlace of document
	marks    map[string]*apiv1.FleetMark         // by data centre
	verdicts map[uint64]*apiv1.QuarantineVerdict // by prompt part, at most MaxVerdicts
	releases releaseSets
	routes   *apiv1.RouteChanges // never modified, because views share it
	changed  chan struct{}       // closed at the next change
}

// MaxVerdicts bounds the stored verdicts.
const MaxVerdicts = 128

// NewState returns an empty state.
func NewState() *State {
	return &State{marks: map[string]*apiv1.FleetMark{}, verdicts: map[uint64]*apiv1.QuarantineVerdict{}, releases: newReleaseSets(nil), routes: &apiv1.RouteChanges{}, changed: make(chan struct{})}
}

// EncodeCommand encodes a command for the replicated log.
func EncodeCommand(c *apiv1.FleetCommand) ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(c)
}

// Apply executes the command of the log entry with that index. It returns a
// *apiv1.FleetSubmitted, an InvalidCommand error if the command cannot be decoded, or a
// RevisionConflict error if a mark was decided on before another order for its data centre.
func (s *State) Apply(index uint64, command []byte) any {
	c := &apiv1.FleetCommand{}
	if err := proto.Unmarshal(command, c); err != nil {
		return result.Wrap(result.InvalidCommand, err, "cannot decode fleet command")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if d := c.GetDocument(); d != nil && d.GetVersion() > s.document.GetVersion() {
		services := servicesByPlace(d)
		s.routes = routeChangesAfter(index, s.routes, s.document == nil, s.services, services)
		s.document, s.services = d, services
		s.recordChange(index)
	}
	if m := c.GetMark(); m != nil {
		if err := s.applyMark(index, m); err != nil {
			return err
		}
	}
	if v := c.GetVerdict(); v != nil && isNewerVerdict(s.verdicts[v.GetSuspect()], v) {
		s.verdicts[v.GetSuspect()] = v
		s.removeExcessVerdict()
		s.recordChange(index)
	}
	if r := c.GetReleases(); r != nil && s.releases.apply(index, r) {
		s.recordChange(index)
	}
	if oldest := OldestRouteChange(s.routes); oldest > 0 && oldest <= c.GetSettledRoutes() {
		s.routes = settledRouteChanges(s.routes, c.GetSettledRoutes())
		s.recordChange(index)
	}
	return &apiv1.FleetSubmitted{Version: s.document.GetVersion()}
}

// applyMark stores a mark unless a later order than its sender knew has come before it. An order
// that changes nothing is stored too: no earlier one may undo it. The caller must hold s.mu.
func (s *State) applyMark(index uint64, m *apiv1.FleetMark) error {
	stored, unknown := s.marks[m.GetDataCentre()], m.GetRevision()
	isChange, isLate := stored.GetOut() != m.GetOut(), stored.GetRevision() >= unknown
	switch {
	case isChange && unknown > 0 && isLate:
		return result.New(result.RevisionConflict, "another order for data centre %q came first", m.GetDataCentre())
	case !isChange && isLate: // a copy of an order that is in force
		return nil
	}
	m.Revision = index
	s.marks[m.GetDataCentre()] = m
	s.recordChange(index)
	return nil
}

// isNewerVerdict reports whether v replaces the stored verdict, by the order of
// quarantine.Verdict.
func isNewerVerdict(stored, v *apiv1.QuarantineVerdict) bool {
	if v.GetGeneration() != stored.GetGeneration() {
		return v.GetGeneration() > stored.GetGeneration()
	}
	return v.GetState() > stored.GetState()
}

// removeExcessVerdict removes the oldest verdict when there are too many, those on
// quarantined parts last. The caller must hold s.mu.
func (s *State) removeExcessVerdict() {
	if len(s.verdicts) <= MaxVerdicts {
		return
	}
	all := s.sortedVerdicts()
	slices.SortStableFunc(all, func(a, b *apiv1.QuarantineVerdict) int {
		return cmp.Or(cmp.Compare(a.GetState(), b.GetState()), cmp.Compare(a.GetStoredUnixMs(), b.GetStoredUnixMs()))
	})
	delete(s.verdicts, all[0].GetSuspect())
}

// IsNews reports whether the state would store the verdict.
func (s *State) IsNews(v *apiv1.QuarantineVerdict) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return isNewerVerdict(s.verdicts[v.GetSuspect()], v)
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
	v := &apiv1.FleetState{Revision: s.revision, Marks: s.sortedMarks(), Verdicts: s.sortedVerdicts(), Releases: s.releases.sorted, RouteChanges: s.routes}
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

// sortedVerdicts returns the verdicts in order of part.
func (s *State) sortedVerdicts() []*apiv1.QuarantineVerdict {
	out := make([]*apiv1.QuarantineVerdict, 0, len(s.verdicts))
	for _, v := range s.verdicts {
		out = append(out, v)
	}
	slices.SortFunc(out, func(a, b *apiv1.QuarantineVerdict) int { return cmp.Compare(a.GetSuspect(), b.GetSuspect()) })
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
	s.document, s.services = v.GetDocument(), servicesByPlace(v.GetDocument())
	s.marks = map[string]*apiv1.FleetMark{}
	for _, m := range v.GetMarks() {
		s.marks[m.GetDataCentre()] = m
	}
	s.verdicts = map[uint64]*apiv1.QuarantineVerdict{}
	for _, v := range v.GetVerdicts() {
		s.verdicts[v.GetSuspect()] = v
	}
	s.releases = newReleaseSets(v.GetReleases())
	s.routes = restoredRouteChanges(v)
	s.recordChange(v.GetRevision())
	return nil
}
