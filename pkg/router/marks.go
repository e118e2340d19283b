package router

import (
	"sync"
	"time"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
)

// mark is an operator's request to take a data centre out of service or back
// in, given to a router while control cannot be reached. It is in force until
// the configuration is newer than the mark.
type mark struct {
	Name     string `json:"name"`
	Out      bool   `json:"out"`
	Revision uint64 `json:"revision"` // revision of the configuration when the mark was made
	Operator string `json:"operator"`
	MadeMS   int64  `json:"made_ms"` // Unix time in ms, orders marks of one revision
}

// supersedes reports whether m is newer than old.
func (m mark) supersedes(old mark) bool {
	if m.Revision != old.Revision {
		return m.Revision > old.Revision
	}
	return m.MadeMS > old.MadeMS
}

// marks holds the newest mark of each data centre.
type marks struct {
	mu           sync.RWMutex
	byDataCentre map[string]mark
}

func newMarks() *marks { return &marks{byDataCentre: make(map[string]mark)} }

// set stores a mark and reports whether it is newer than the stored one.
func (m *marks) set(next mark) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if old, ok := m.byDataCentre[next.Name]; ok && !next.supersedes(old) {
		return false
	}
	m.byDataCentre[next.Name] = next
	return true
}

// nextMadeMS returns the time for a new mark in Unix milliseconds. It is after
// the time of the stored mark, also if both are made in one millisecond.
func (m *marks) nextMadeMS(name string, now time.Time) int64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return max(now.UnixMilli(), m.byDataCentre[name].MadeMS+1)
}

// current returns the mark of a data centre that is in force at a revision of
// the configuration.
func (m *marks) current(name string, revision uint64) (mark, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	v, ok := m.byDataCentre[name]
	return v, ok && v.Revision >= revision
}

func (m *marks) all() []mark {
	m.mu.RLock()
	defer m.mu.RUnlock()
	out := make([]mark, 0, len(m.byDataCentre))
	for _, v := range m.byDataCentre {
		out = append(out, v)
	}
	return out
}

// dataCentreOut reports whether a mark or the configuration excludes a data
// centre from new work.
func (r *Router) dataCentreOut(name string) bool {
	cat := r.catalog.Load()
	if cat == nil {
		return false
	}
	if m, ok := r.marks.current(name, cat.Revision()); ok {
		return m.Out
	}
	return cat.IsDataCentreOut(name)
}

func (r *Router) sendMark(to string, m mark) {
	r.send(to, &apiv1.Envelope{Item: &apiv1.Envelope_DataCentreMark{DataCentreMark: &apiv1.DataCentreMark{
		Name: m.Name, Out: m.Out, Revision: m.Revision, Operator: m.Operator, MadeMs: m.MadeMS,
	}}})
}

// receiveMark stores a mark that another router received from an operator.
func (r *Router) receiveMark(in *apiv1.DataCentreMark) {
	m := mark{Name: in.Name, Out: in.Out, Revision: in.Revision, Operator: in.Operator, MadeMS: in.MadeMs}
	if r.marks.set(m) {
		r.log.Infof("operator %s marked data centre %s out=%v", m.Operator, m.Name, m.Out)
	}
}
