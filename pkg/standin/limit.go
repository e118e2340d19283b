package standin

import (
	"net/http"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/backend"
)

// maxArrivals bounds the recorded arrivals.
const maxArrivals = 1 << 16

// statedLimit is the limit that a server states in its answers, and what reached it.
type statedLimit struct {
	text     string // empty: none
	arrivals []time.Time
}

// recordArrivals records the arrival of each request and states the limit of that moment in
// the answer.
func (s *Server) recordArrivals(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		text := s.limit.text
		if len(s.limit.arrivals) < maxArrivals {
			s.limit.arrivals = append(s.limit.arrivals, time.Now())
		}
		s.mu.Unlock()
		if text != "" {
			w.Header().Set(backend.HeaderLimit, text)
		}
		next.ServeHTTP(w, r)
	})
}

// Arrivals returns when requests of routers reached the server, in order: chat completions,
// plain requests and cancel requests.
func (s *Server) Arrivals() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]time.Time(nil), s.limit.arrivals...)
}
