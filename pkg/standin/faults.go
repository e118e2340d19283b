package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/backend"
)

// FaultKind names a fault that POST /v1/faults sets.
type FaultKind string

// Faults on demand. The first four spoil the next Count answers; the others
// act at once.
const (
	FaultLate          FaultKind = "late"         // first byte after DelayMS
	FaultOutOfOrder    FaultKind = "out_of_order" // the answer of an earlier request
	FaultSilent        FaultKind = "silent"       // nothing is sent, the connection stays open
	FaultReset         FaultKind = "reset"        // the connection breaks within the answer
	FaultRestartCold   FaultKind = "restart_cold"
	FaultStopAnnounce  FaultKind = "stop_announcing"
	FaultStartAnnounce FaultKind = "start_announcing"
	FaultLeave         FaultKind = "leave"
)

// Fault is the body of POST /v1/faults.
type Fault struct {
	Kind    FaultKind `json:"fault"`
	Count   int       `json:"count"` // answers, 0 means 1
	DelayMS int64     `json:"delay_ms"`
}

// Delay returns the time by which an answer is late.
func (f Fault) Delay() time.Duration { return time.Duration(f.DelayMS) * time.Millisecond }

type faults struct {
	next   []Fault // one for each spoiled answer to come
	quiet  bool    // no announcements
	latest *run    // the last request that was answered without a fault
}

func (s *Server) serveFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, "body is not a fault", http.StatusBadRequest)
		return
	}
	if !s.setFault(f) {
		http.Error(w, "unknown fault", http.StatusBadRequest)
		return
	}
	s.log.Infof("fault %s set", f.Kind)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) setFault(f Fault) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch f.Kind {
	case FaultLate, FaultOutOfOrder, FaultSilent, FaultReset:
		for range max(1, f.Count) {
			s.faults.next = append(s.faults.next, f)
		}
	case FaultRestartCold:
		s.restart()
	case FaultStopAnnounce, FaultStartAnnounce:
		s.faults.quiet = f.Kind == FaultStopAnnounce
	case FaultLeave:
		s.state = backend.Leaving
		s.announceNow()
	default:
		return false
	}
	return true
}

// takeFault returns the fault for the next answer and the run to answer with.
func (s *Server) takeFault(one *run) (*run, Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.faults.latest
	if len(s.faults.next) == 0 {
		s.faults.latest = one
		return one, Fault{}
	}
	f := s.faults.next[0]
	s.faults.next = s.faults.next[1:]
	if f.Kind == FaultOutOfOrder && before != nil {
		return before, f
	}
	return one, f
}

func (s *Server) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64) // absent: all
	s.mu.Lock()
	events := s.cache.after(time.Now(), after, s.cfg.EventLag.AsDuration())
	boot := s.boot
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"boot_id": boot, "events": events})
}
