package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	firstEventTime = 600 * time.Millisecond // an engine with some load, within the aim of the longer prompts
	eventPeriod    = 100 * time.Millisecond
	eventsOfStream = 58 // as order chats have
)

// engineRun is one run of a stream at an engine, from its arrival to the end of the work on it.
type engineRun struct {
	id, engine, lastEventID string
	from, to                time.Time // to is zero while the engine works
}

// engineRuns collects the runs of all engines.
type engineRuns struct {
	mu  sync.Mutex
	all []*engineRun
}

func (r *engineRuns) begin(id, engine, lastEventID string) *engineRun {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := &engineRun{id: id, engine: engine, lastEventID: lastEventID, from: time.Now()}
	r.all = append(r.all, e)
	return e
}

func (r *engineRuns) end(e *engineRun) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.to = time.Now()
}

// engine is a sound stand-in of a model server. It may fall silent: it sends nothing on any
// connection for a time and goes on then.
type engine struct {
	d        *deployment
	runs     *engineRuns
	id, zone string
	version  string // of its software
	address  string // that it announces
	born     int64
	http     *http.Server
	stop     chan struct{}

	mu     sync.Mutex
	silent time.Time // end of the silence
}

func startEngine(d *deployment, r *engineRuns, number int, zone string) (*engine, error) {
	l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:0", d.network, number))
	if err != nil {
		return nil, err
	}
	s := newEngine(d, r, number, zone, "v1", l)
	go s.announce(0)
	return s, nil
}

// newEngine starts an engine that does not announce itself yet.
func newEngine(d *deployment, r *engineRuns, number int, zone, version string, l net.Listener) *engine {
	s := &engine{
		d: d, runs: r, id: fmt.Sprintf("i-%s-%d", zone, number), zone: zone, version: version,
		address: l.Addr().String(), born: time.Now().UnixMilli(), stop: make(chan struct{}),
	}
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(l) }()
	d.rec.add("engine %s of version %s starts at %s in zone %s", s.id, version, s.address, zone)
	return s
}

func (s *engine) fallSilent(t time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = time.Now().Add(t)
	s.d.rec.add("engine %s falls silent for %s", s.id, t)
}

// awaitVoice waits until the engine is not silent or the caller of r has left.
func (s *engine) awaitVoice(r *http.Request) {
	for r.Context().Err() == nil {
		s.mu.Lock()
		rest := time.Until(s.silent)
		s.mu.Unlock()
		if rest <= 0 {
			return
		}
		select {
		case <-r.Context().Done():
		case <-time.After(rest):
		}
	}
}

// ServeHTTP implements http.Handler.
func (s *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.awaitVoice(r)
	w.Header().Set("Jackdawtrack-Instance-Id", s.id)
	switch r.URL.Path {
	case "/healthz":
		return
	case "/jackdawtrack/hold-take":
		_, _ = io.WriteString(w, fmt.Sprintf(`{"hold":"h%d"}`, time.Now().UnixNano()))
		return
	}
	id := r.Header.Get("Jackdawtrack-Request-Id")
	if want := r.Header.Get("Jackdawtrack-Expect-Instance"); want != "" && want != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	last := r.Header.Get("Last-Event-Id")
	run := s.runs.begin(id, s.id, last)
	defer s.runs.end(run)
	s.d.rec.add("engine %s begins %s after event %q", s.id, id, last)
	from, _ := strconv.Atoi(last)
	pause := firstEventTime
	for i := from + 1; i <= eventsOfStream; i++ {
		select {
		case <-r.Context().Done():
		case <-time.After(pause):
		}
		s.awaitVoice(r)
		if r.Context().Err() != nil {
			s.d.rec.add("engine %s stops %s, its caller has left", s.id, id)
			return
		}
		if i == from+1 {
			w.Header().Set("Jackdawtrack-Request-Id", id)
			w.Header().Set("Jackdawtrack-Response-Seal", "seal-"+id)
			w.Header().Set("Jackdawtrack-Weight-Versions", "1")
			w.Header().Set("Content-Type", "text/event-stream")
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s %d %s\n\n", i, id, i, s.version)
		w.(http.Flusher).Flush()
		pause = eventPeriod
	}
	s.d.rec.add("engine %s ends %s", s.id, id)
}

// announce sends heartbeats to the core hosts in turn, the first one after the delay.
func (s *engine) announce(delay time.Duration) {
	select {
	case <-s.stop:
		return
	case <-time.After(delay):
	}
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for sequence := 1; ; sequence++ {
		body, _ := json.Marshal(map[string]any{
			"service": "models", "address": s.address, "zone": s.zone, "version": s.version, "slots": 64, "state": "ready", "coldRemainingMs": 0,
			"stage": "both", "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}, "sequence": sequence, "born": s.born,
		})
		for _, h := range s.d.hosts {
			if h.core && sendBeat(client, fmt.Sprintf("http://%s/jackdawtrack/instances/%s", s.d.address(h), s.id), body) {
				if sequence == 1 {
					s.d.rec.add("the first heartbeat of engine %s of version %s is acknowledged", s.id, s.version)
				}
				break
			}
		}
		select {
		case <-s.stop:
			return
		case <-time.After(heartbeatTime):
		}
	}
}

func (s *engine) close() {
	close(s.stop)
	_ = s.http.Close()
}
