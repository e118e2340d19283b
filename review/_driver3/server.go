package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// server is the stand-in of a backend server. Its process can be restarted under its id.
type server struct {
	f                 *fleet
	id, service, zone string
	address           string
	events            int           // of a stream
	gap               time.Duration // between two events
	lateness          time.Duration // of its heartbeats
	cutUntil          time.Time     // until then it has no path to control
	home              int           // core host that it reports to first
	handle            func(s *server, w http.ResponseWriter, r *http.Request, version string)

	mu       sync.Mutex
	version  string
	born     int64
	sequence uint64
	http     *http.Server
	cancel   context.CancelFunc // ends the process
	running  int
	known    bool // a heartbeat of this process was acknowledged
}

// start starts a process of the server.
func (s *server) start(version string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	address := s.address
	if address == "" {
		address = s.f.base + ".200:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.address = l.Addr().String()
	s.version, s.born, s.sequence, s.known = version, time.Now().UnixMilli(), 0, false
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(ctx, w, r, version) })}
	s.http = server
	go func() { _ = server.Serve(l) }()
	go s.announce(ctx)
	s.f.record.printf("server %s starts, version %s", s.id, version)
	return nil
}

// kill ends the process: its connections are reset or closed and its address is closed.
func (s *server) kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.f.record.printf("server %s ends, %d requests in progress", s.id, s.running)
	s.cancel()
	_ = s.http.Close()
}

// announce sends the heartbeats of a process. Each one is sent to the core hosts in turn until
// one answers within a second.
func (s *server) announce(ctx context.Context) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for n := 0; ; n++ {
		s.mu.Lock()
		s.sequence++
		body, _ := json.Marshal(map[string]any{
			"service": s.service, "address": s.address, "zone": s.zone, "version": s.version, "slots": 64, "state": "ready", "coldRemainingMs": 0,
			"stage": "both", "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}, "sequence": s.sequence, "born": s.born,
		})
		late, sequence := s.lateness, s.sequence
		s.mu.Unlock()
		go s.sendHeartbeat(ctx, body, late, sequence)
		select {
		case <-ctx.Done():
			return
		case <-s.f.stopped:
			return
		case <-ticker.C:
		}
	}
}

func (s *server) sendHeartbeat(ctx context.Context, body []byte, late time.Duration, sequence uint64) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(late):
	}
	if s.isCutOff() {
		return
	}
	for n := range s.f.cores {
		p := s.f.cores[(n+s.home)%len(s.f.cores)]
		status, _, err := s.f.control(p, "PUT", "/jackdawtrack/instances/"+s.id, body)
		if err == nil && status/100 == 2 {
			if s.isFirstHeartbeat() {
				s.f.record.printf("server %s: heartbeat %d, the first one of this process that arrives, acknowledged by %s", s.id, sequence, p.name)
			}
			return
		}
	}
}

// isFirstHeartbeat records an acknowledgement and reports whether it is the first one of the
// process.
func (s *server) isFirstHeartbeat() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := !s.known
	s.known = true
	return first
}

// setLateness delays the heartbeats that are made from now on.
func (s *server) setLateness(late time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lateness = late
}

// cutOff cuts the server off from control until the given time.
func (s *server) cutOff(until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cutUntil = until
}

func (s *server) isCutOff() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.cutUntil)
}

// count changes the number of requests in progress.
func (s *server) count(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running += n
}

func (s *server) serve(ctx context.Context, w http.ResponseWriter, r *http.Request, version string) {
	switch {
	case r.URL.Path == "/healthz":
		w.Header().Set("Jackdawtrack-Instance-Id", s.id)
		return
	case r.URL.Path == "/jackdawtrack/report":
		s.mu.Lock()
		defer s.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{
			"stage": "both", "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}, "busy": false, "sequence": 0, "queued": 0,
			"running": s.running, "kvUsed": 1000 * s.running, "kvTotal": 629359, "handles": 0, "pinned": 0, "held": 0, "born": s.born,
		})
		return
	case r.URL.Path == "/jackdawtrack/hold-take":
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"hold": fmt.Sprintf("h-%d", time.Now().UnixNano())})
		return
	case strings.HasPrefix(r.URL.Path, "/jackdawtrack/"):
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if expected := r.Header.Get("Jackdawtrack-Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("Jackdawtrack-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.count(1)
	defer s.count(-1)
	w.Header().Set("Jackdawtrack-Request-Id", r.Header.Get("Jackdawtrack-Request-Id"))
	w.Header().Set("Jackdawtrack-Response-Seal", "1.2.3.4")
	if s.handle != nil {
		s.handle(s, w, r, version)
		return
	}
	s.stream(ctx, w, r, version)
}

// stream writes the events of a stream after the one that Last-Event-Id names. Each one names
// the software version that wrote it.
func (s *server) stream(ctx context.Context, w http.ResponseWriter, r *http.Request, version string) {
	next := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		next = last + 1
	}
	s.f.record.printf("server %s (%s) runs %s from event %d", s.id, version, r.Header.Get("Jackdawtrack-Request-Id"), next)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Jackdawtrack-Weight-Versions", "1")
	for ; next <= s.events; next++ {
		select {
		case <-ctx.Done():
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		case <-time.After(s.gap):
		}
		fmt.Fprintf(w, "id: %d\ndata: %s/%s\n\n", next, s.id, version)
		w.(http.Flusher).Flush()
	}
}
