// Package control implements the replicated state of the control hosts and the
// service that exposes it: the catalog, the results of operator commands, the
// records of keyed requests, router sessions, and the leases for orders to
// engines with their fencing numbers.
package control

import (
	"time"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/catalog"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// StateMachine is the replicated state as a deterministic state machine: equal
// commands in equal order give equal states and results. It reads no clock. Its
// time is the greatest timestamp of the commands so far, in milliseconds since
// the first command; it does not advance without a majority. A StateMachine is
// not safe for concurrent use.
type StateMachine struct {
	limits  limits
	now     int64 // ms
	catalog *catalog.Catalog
	changes []*apiv1.Change // of the latest revision

	commandResults  commandResults
	records         records
	sessions        map[string]*session
	abortedAttempts abortedAttempts
	fences          fences
}

// NewStateMachine returns an empty state.
func NewStateMachine() *StateMachine { return newStateMachine(defaultLimits()) }

func newStateMachine(l limits) *StateMachine {
	return &StateMachine{
		limits:          l,
		catalog:         catalog.Empty(),
		commandResults:  newCommandResults(l.commandResults),
		records:         newRecords(l),
		sessions:        map[string]*session{},
		abortedAttempts: newAbortedAttempts(l.abortedAttempts),
		fences:          newFences(l.fences),
	}
}

// Catalog returns the current configuration.
func (m *StateMachine) Catalog() *catalog.Catalog { return m.catalog }

// Now returns the state machine's time in milliseconds.
func (m *StateMachine) Now() int64 { return m.now }

// RecordCount returns the number of records of keyed requests.
func (m *StateMachine) RecordCount() int { return len(m.records.byKey) }

// HasExpiringState reports whether any state depends on the clock.
func (m *StateMachine) HasExpiringState() bool {
	return len(m.sessions) > 0 || m.RecordCount() > 0
}

// Apply executes one command. It returns the response message of the command's
// kind, or a *result.Error if the command cannot be decoded.
func (m *StateMachine) Apply(_ uint64, data []byte) any {
	c, err := decodeCommand(data)
	if err != nil {
		return err
	}
	m.advance(c.timestamp)
	out := m.execute(c)
	m.expireSessions()
	return out
}

func (m *StateMachine) execute(c command) any {
	switch in := c.message.(type) {
	case *apiv1.SubmitRequest:
		return m.submit(in)
	case *apiv1.BeginRequest:
		return m.begin(in)
	case *apiv1.FinishRequest:
		return &apiv1.FinishResponse{Code: uint32(m.finish(in))}
	case *apiv1.AbortRequest:
		return &apiv1.AbortResponse{Code: uint32(m.abort(in.GetBegin()))}
	case *apiv1.Operator:
		return m.bootstrap(in)
	case *apiv1.AcquireFenceRequest:
		return m.acquireFence(in)
	}
	for _, r := range c.renewals {
		m.renewSession(r.GetRouter(), r.GetIncarnation())
	}
	return nil
}

// advance moves the clock forward and removes what has expired.
func (m *StateMachine) advance(timestamp int64) {
	if timestamp <= m.now {
		return
	}
	m.now = min(timestamp, m.now+m.limits.advance.Milliseconds())
	m.records.removeExpired(m.now)
	m.abortedAttempts.removeExpired(m.now)
}

// timeAfter returns the time after the given duration, in ms.
func (m *StateMachine) timeAfter(d time.Duration) int64 { return m.now + d.Milliseconds() }

// bootstrap creates the first operator. It has no effect once the catalog has a
// revision.
func (m *StateMachine) bootstrap(first *apiv1.Operator) *apiv1.SubmitResponse {
	if m.catalog.Revision() > 0 {
		return &apiv1.SubmitResponse{Code: uint32(result.RevisionConflict), Revision: m.catalog.Revision(), Message: "the configuration is not empty"}
	}
	change := catalog.OperatorChange(catalog.OperatorFromMessage(first))
	if err := catalog.Validate(change); err != nil {
		return errorResponse(err)
	}
	m.commitRevision([]*apiv1.Change{change})
	return &apiv1.SubmitResponse{Revision: m.catalog.Revision()}
}

// commitRevision applies the changes as the next revision.
func (m *StateMachine) commitRevision(changes []*apiv1.Change) {
	m.catalog = m.catalog.WithChanges(m.catalog.Revision()+1, changes)
	m.changes = changes
}
