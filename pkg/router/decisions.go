package router

import (
	"sync"
	"time"
)

// maxDecisions is the number of recent decisions that a router keeps.
const maxDecisions = 1000

// Attempt describes one ask of a request and its result.
type Attempt struct {
	Owner        string  `json:"owner"`
	Server       string  `json:"server,omitempty"`
	WaitMS       float64 `json:"wait_ms"`
	Sent         bool    `json:"sent"`
	Status       int     `json:"status,omitempty"`
	FirstTokenMS float64 `json:"first_token_ms,omitempty"`
	Bytes        int64   `json:"bytes"`
	Resumes      int     `json:"resumes,omitempty"`
	CostUnits    uint64  `json:"cost_units"`
	Result       string  `json:"result"`
}

// Decision describes how one request was routed and why.
type Decision struct {
	ID          string    `json:"id"`
	Arrived     time.Time `json:"arrived"`
	Workspace   string    `json:"workspace"`
	Class       string    `json:"class"`
	Method      string    `json:"method"`
	Path        string    `json:"path"`
	Pool        string    `json:"pool,omitempty"`
	Model       string    `json:"model,omitempty"`
	Keyed       bool      `json:"keyed,omitempty"`
	Fingerprint string    `json:"fingerprint,omitempty"` // as in quarantine.Status.Suspect
	Trial       bool      `json:"trial,omitempty"`       // tested whether a suspect still crashes servers
	Catalog     uint64    `json:"catalog_revision"`
	Attempts    []Attempt `json:"attempts"`
	Code        uint32    `json:"code"`
	Result      string    `json:"result"`
	Executed    string    `json:"executed"`
	Explanation string    `json:"explanation"`
	TotalMS     float64   `json:"total_ms"`
}

// decisionLog is a ring buffer of the last decisions, indexed by request id.
type decisionLog struct {
	mu        sync.Mutex
	decisions [maxDecisions]*Decision
	next      int
	byID      map[string]*Decision
}

func newDecisionLog() *decisionLog {
	return &decisionLog{byID: make(map[string]*Decision, maxDecisions)}
}

func (l *decisionLog) add(d *Decision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if old := l.decisions[l.next]; old != nil {
		delete(l.byID, old.ID)
	}
	l.decisions[l.next] = d
	l.byID[d.ID] = d
	l.next = (l.next + 1) % maxDecisions
}

// get returns a decision. It is not modified after it was added.
func (l *decisionLog) get(id string) (*Decision, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	d, ok := l.byID[id]
	return d, ok
}

func milliseconds(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}
