package router

import (
	"net/http"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/quarantine"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// quarantinePath lists the verdicts on requests that crash servers (GET), and
// releases a suspect given in hexadecimal (DELETE quarantinePath/{suspect}).
const quarantinePath = "/v1/admin/quarantine"

// addQuarantineHandlers adds the operator calls on requests that crash servers.
func (r *Router) addQuarantineHandlers(mux *http.ServeMux) {
	mux.HandleFunc("GET "+quarantinePath, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, r.Quarantine())
	})
	mux.HandleFunc("DELETE "+quarantinePath+"/{suspect}", func(w http.ResponseWriter, req *http.Request) {
		suspect, err := r.release(req)
		if err != nil {
			writeJSON(w, operatorHTTPStatus(err.Code), map[string]any{"code": err.Code, "message": err.Message})
			return
		}
		writeJSON(w, http.StatusOK, map[string]string{"released": quarantine.FormatSuspect(suspect)})
	})
}

// Quarantine returns the verdicts on requests that crash servers.
func (r *Router) Quarantine() []quarantine.Status {
	r.quarantine.mu.Lock()
	entries := r.quarantine.tracker.List()
	r.quarantine.refused.Complete(entries)
	r.quarantine.mu.Unlock()
	now, out := time.Now(), make([]quarantine.Status, 0, len(entries))
	for _, e := range entries {
		out = append(out, e.Status(now))
	}
	return out
}

// release ends the quarantine of the suspect in the request in the whole fleet.
func (r *Router) release(req *http.Request) (uint64, *result.Error) {
	operator, refusal := r.authenticateOperator(req)
	if refusal != nil {
		return 0, refusal
	}
	suspect, err := quarantine.ParseSuspect(req.PathValue("suspect"))
	if err != nil {
		return 0, result.New(result.InvalidCommand, "suspect %.20q is not a hexadecimal number", req.PathValue("suspect"))
	}
	now := time.Now()
	r.quarantine.mu.Lock()
	released := r.quarantine.tracker.Release(now, suspect)
	changes := r.quarantine.tracker.Poll(now)
	r.quarantine.mu.Unlock()
	r.recordChanges(changes)
	if !released {
		return 0, result.New(result.NotFound, "%s is not quarantined", quarantine.FormatSuspect(suspect))
	}
	r.log.Infof("operator %s released %s", operator, quarantine.FormatSuspect(suspect))
	return suspect, nil
}
