// Package control holds the state that control hosts agree on and serves it:
// the catalog, the results of operator commands, the records of keyed
// requests, router sessions, and the leases of orders to engines with their
// fencing numbers.
package control

import (
	"time"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/catalog"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// Machine is the agreed state as a pure state machine: equal commands in
// equal order give equal states and results. It reads no clock; its time is
// the greatest timestamp of the commands so far, counts milliseconds since
// the first command and stands still while there is no majority. It is not
// safe for concurrent use.
type Machine struct {
	limits  limits
	now     int64 // ms
	catalog *catalog.Catalog
	changes []*apiv1.Change // of the last revision

	results  results
	records  records
	sessions map[string]*session
	aborts   aborts
	fences   fences
}

// NewMachine returns the empty state.
func NewMachine() *Machine { return newMachine(defaultLimits()) }

func newMachine(l limits) *Machine {
	return &Machine{
		limits:   l,
		catalog:  catalog.Empty(),
		results:  newResults(l.results),
		records:  newRecords(l),
		sessions: map[string]*session{},
		aborts:   newAborts(l.aborts),
		fences:   newFences(l.fences),
	}
}

// Catalog returns the present configuration.
func (m *Machine) Catalog() *catalog.Catalog { return m.catalog }

// Now returns the time of the machine in milliseconds.
func (m *Machine) Now() int64 { return m.now }

// Records returns the number of records of keyed requests.
func (m *Machine) Records() int { return len(m.records.byKey) }

// NeedsTime reports whether anything in the state depends on the passing of
// time.
func (m *Machine) NeedsTime() bool {
	return len(m.sessions) > 0 || m.Records() > 0
}

// Apply executes one command and returns the response message of its kind, or
// a *result.Error for a command that cannot be decoded.
func (m *Machine) Apply(_ uint64, data []byte) any {
	c, err := decodeCommand(data)
	if err != nil {
		return err
	}
	m.step(c.time)
	out := m.execute(c)
	m.endSessions()
	return out
}

func (m *Machine) execute(c command) any {
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
	for _, r := range c.renewed {
		m.touch(r.GetRouter(), r.GetIncarnation())
	}
	return nil
}

// step moves the clock forward and drops what has expired.
func (m *Machine) step(to int64) {
	if to <= m.now {
		return
	}
	m.now = min(to, m.now+m.limits.step.Milliseconds())
	m.records.expire(m.now)
	m.aborts.expire(m.now)
}

// after returns the time a duration from now.
func (m *Machine) after(d time.Duration) int64 { return m.now + d.Milliseconds() }

// bootstrap creates the first operator. It has no effect once the catalog has
// a revision.
func (m *Machine) bootstrap(first *apiv1.Operator) *apiv1.SubmitResponse {
	if m.catalog.Revision() > 0 {
		return &apiv1.SubmitResponse{Code: uint32(result.RevisionConflict), Revision: m.catalog.Revision(), Message: "the configuration is not empty"}
	}
	change := catalog.OperatorChange(catalog.OperatorFrom(first))
	if err := catalog.Validate(change); err != nil {
		return refusal(err)
	}
	m.commit([]*apiv1.Change{change})
	return &apiv1.SubmitResponse{Revision: m.catalog.Revision()}
}

// commit makes the next revision.
func (m *Machine) commit(changes []*apiv1.Change) {
	m.catalog = m.catalog.With(m.catalog.Revision()+1, changes)
	m.changes = changes
}
