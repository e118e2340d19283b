package standin

import (
	"cmp"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/backend"
)

// FaultKind names a fault that POST /v1/faults sets.
type FaultKind string

// Faults that can be injected. The first four affect the next Count responses;
// the others take effect immediately.
const (
	FaultLate          FaultKind = "late"         // the first byte is delayed by DelayMS
	FaultOutOfOrder    FaultKind = "out_of_order" // the response to an earlier request is sent
	FaultSilent        FaultKind = "silent"       // nothing is sent, the connection stays open
	FaultReset         FaultKind = "reset"        // the connection is reset during the response
	FaultRestartCold   FaultKind = "restart_cold"
	FaultStopAnnounce  FaultKind = "stop_announcing"
	FaultStartAnnounce FaultKind = "start_announcing"
	FaultLeave         FaultKind = "leave"
	FaultLimit         FaultKind = "limit" // answers state Limit as Server-Limit
)

// Fault is the body of POST /v1/faults.
type Fault struct {
	Kind    FaultKind `json:"fault"`
	Count   int       `json:"count"`            // affected responses, 0 means 1
	DelayMS int64     `json:"delay_ms"`         // of FaultRestartCold: time in state starting, 0: as in the settings, negative: none
	Version string    `json:"software_version"` // of the process after FaultRestartCold, empty: as before
	Limit   string    `json:"limit"`            // of FaultLimit, requests a second; empty: none
}

// Delay returns the delay of a FaultLate response or of a start.
func (f Fault) Delay() time.Duration { return time.Duration(f.DelayMS) * time.Millisecond }

type faults struct {
	pending              []Fault           // one for each response to affect, in order
	announcementsStopped bool              // by FaultStopAnnounce
	lastAnswered         *requestExecution // the last request without a fault
}

func (s *Server) handleFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, "body is not a JSON fault", http.StatusBadRequest)
		return
	}
	if !s.setFault(f) {
		http.Error(w, "unknown kind of fault or odd version", http.StatusBadRequest)
		return
	}
	s.log.Infof("fault %s set", f.Kind)
	w.WriteHeader(http.StatusNoContent)
}

// setFault injects a fault and reports whether it is valid.
func (s *Server) setFault(f Fault) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch f.Kind {
	case FaultLate, FaultOutOfOrder, FaultSilent, FaultReset:
		for range max(1, f.Count) {
			s.faults.pending = append(s.faults.pending, f)
		}
	case FaultRestartCold:
		if !validVersion(f.Version) {
			return false
		}
		if f.Version != "" {
			s.version = f.Version
		}
		s.restartCold(cmp.Or(f.Delay(), s.cfg.StartTime.AsDuration()))
	case FaultStopAnnounce, FaultStartAnnounce:
		s.faults.announcementsStopped = f.Kind == FaultStopAnnounce
	case FaultLimit:
		s.limit.text = f.Limit
	case FaultLeave:
		s.state = backend.Leaving
		s.requestAnnouncement()
	default:
		return false
	}
	return true
}

// takeFault removes the fault for the response to execution from the queue. It
// returns the execution whose response is to be sent, which is another one for
// FaultOutOfOrder, and the fault, which is empty if none is queued.
func (s *Server) takeFault(execution *requestExecution) (*requestExecution, Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.faults.lastAnswered
	if len(s.faults.pending) == 0 {
		s.faults.lastAnswered = execution
		return execution, Fault{}
	}
	f := s.faults.pending[0]
	s.faults.pending = s.faults.pending[1:]
	if f.Kind == FaultOutOfOrder && previous != nil {
		return previous, f
	}
	return execution, f
}

func (s *Server) handleCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64) // absent: all
	s.mu.Lock()
	events := s.cache.after(time.Now(), after, s.cfg.EventLag.AsDuration())
	bootID := s.bootID
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"boot_id": bootID, "events": events})
}
