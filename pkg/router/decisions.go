package router

import (
	"sync"
	"time"
)

// ringSize is the number of decisions that a router can explain.
const ringSize = 1000

// Attempt is one ask of a request and what came of it.
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

// Decision explains how one request was routed.
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
	Catalog     uint64    `json:"catalog_revision"`
	Attempts    []Attempt `json:"attempts"`
	Code        uint32    `json:"code"`
	Result      string    `json:"result"`
	Executed    string    `json:"executed"`
	Explanation string    `json:"explanation"`
	TotalMS     float64   `json:"total_ms"`
}

// ring keeps the last decisions.
type ring struct {
	mu   sync.Mutex
	list [ringSize]*Decision
	next int
	byID map[string]*Decision
}

func newRing() *ring {
	return &ring{byID: make(map[string]*Decision, ringSize)}
}

func (r *ring) add(d *Decision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if old := r.list[r.next]; old != nil {
		delete(r.byID, old.ID)
	}
	r.list[r.next] = d
	r.byID[d.ID] = d
	r.next = (r.next + 1) % ringSize
}

// get returns the decision, which no longer changes.
func (r *ring) get(id string) (*Decision, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	d, ok := r.byID[id]
	return d, ok
}

func milliseconds(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}
