package router

import (
	"sync"
	"time"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
)

// mark is an operator's local statement about a data centre that control could
// not receive. It holds until the configuration is newer than the mark.
type mark struct {
	Name     string `json:"name"`
	Out      bool   `json:"out"`
	Revision uint64 `json:"revision"` // of the configuration when it was made
	Operator string `json:"operator"`
	MadeMS   int64  `json:"made_ms"` // Unix milliseconds, orders marks of one revision
}

// newer reports whether m replaces old.
func (m mark) newer(old mark) bool {
	if m.Revision != old.Revision {
		return m.Revision > old.Revision
	}
	return m.MadeMS > old.MadeMS
}

type marks struct {
	mu   sync.RWMutex
	byDC map[string]mark
}

func newMarks() *marks { return &marks{byDC: make(map[string]mark)} }

// set stores a mark and reports whether it was new.
func (m *marks) set(next mark) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if old, ok := m.byDC[next.Name]; ok && !next.newer(old) {
		return false
	}
	m.byDC[next.Name] = next
	return true
}

// after returns a time in Unix milliseconds that orders a new mark after the
// present one, also within one millisecond.
func (m *marks) after(name string, now time.Time) int64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return max(now.UnixMilli(), m.byDC[name].MadeMS+1)
}

// get returns the mark that is in force at a configuration revision.
func (m *marks) get(name string, revision uint64) (mark, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	v, ok := m.byDC[name]
	return v, ok && v.Revision >= revision
}

func (m *marks) all() []mark {
	m.mu.RLock()
	defer m.mu.RUnlock()
	out := make([]mark, 0, len(m.byDC))
	for _, v := range m.byDC {
		out = append(out, v)
	}
	return out
}

// dataCentreOut reports whether a data centre receives no new work, by a local
// mark or by the configuration.
func (r *Router) dataCentreOut(name string) bool {
	cat := r.catalog.Load()
	if cat == nil {
		return false
	}
	if m, ok := r.marks.get(name, cat.Revision()); ok {
		return m.Out
	}
	return cat.DataCentreOut(name)
}

func (r *Router) sendMark(to string, m mark) {
	r.send(to, &apiv1.Envelope{Item: &apiv1.Envelope_DataCentreMark{DataCentreMark: &apiv1.DataCentreMark{
		Name: m.Name, Out: m.Out, Revision: m.Revision, Operator: m.Operator, MadeMs: m.MadeMS,
	}}})
}

// receiveMark stores a mark that an operator gave to another router.
func (r *Router) receiveMark(in *apiv1.DataCentreMark) {
	m := mark{Name: in.Name, Out: in.Out, Revision: in.Revision, Operator: in.Operator, MadeMS: in.MadeMs}
	if r.marks.set(m) {
		r.log.Infof("operator %s marked data centre %s out=%v", m.Operator, m.Name, m.Out)
	}
}
