package controlhost

import (
	"encoding/json"
	"net/http"

	"github.com/rcrowley/go-metrics"
)

// adminServer returns the server for health, readiness and metrics. It is
// read-only and therefore needs no credential.
func (h *Host) adminServer() *http.Server {
	return &http.Server{
		Handler:        h.AdminHandler(),
		ReadTimeout:    adminReadTimeout,
		WriteTimeout:   adminWriteTimeout,
		MaxHeaderBytes: adminMaxHeaderBytes,
	}
}

// AdminHandler returns the handler of the admin listener.
func (h *Host) AdminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", h.serveHealth)
	mux.HandleFunc("GET /readyz", h.serveReady)
	mux.HandleFunc("GET /metrics", h.serveMetrics)
	return mux
}

// serveHealth reports whether the replica works.
func (h *Host) serveHealth(w http.ResponseWriter, _ *http.Request) {
	if err := h.replica.Err(); err != nil {
		writeJSON(w, http.StatusServiceUnavailable, map[string]any{"healthy": false, "reason": err.Error()})
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{"healthy": true})
}

// serveReady reports whether the host can serve: it knows a leader, its disk is
// not full and it is not shutting down.
func (h *Host) serveReady(w http.ResponseWriter, _ *http.Request) {
	s := h.replica.Status()
	reason := ""
	switch {
	case h.shuttingDown.Load():
		reason = "shutting down"
	case s.DiskFull:
		reason = "the disk of the data folder is full"
	case s.Leader == 0:
		reason = "no leader is known"
	}
	code := http.StatusOK
	if reason != "" {
		code = http.StatusServiceUnavailable
	}
	writeJSON(w, code, map[string]any{
		"ready": reason == "", "reason": reason, "id": s.ID, "leader": s.Leader,
		"applied": s.Applied, "revision": h.state.Store().Revision(),
	})
}

func (h *Host) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(h.registry, w)
}

func writeJSON(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(v) // the client may have disconnected
}
