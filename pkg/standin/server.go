package standin

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/logging"
)

// Headers between routers and BackendServers.
const (
	RequestIDHeader    = "Jackdawtrack-Request-Id"
	ResumeOffsetHeader = "Jackdawtrack-Resume-Offset" // bytes of the answer body already received
)

const (
	maxRequestBytes   = 8 << 20
	keptRuns          = 1024 // finished answers kept for a resume
	shutdownGrace     = 2 * time.Second
	loadSampleSpacing = 50 * time.Millisecond
	keptLoadSamples   = 400
)

// Server is one stand-in BackendServer.
type Server struct {
	cfg        ServerSettings
	log        *logrus.Entry
	executions *ExecutionLog
	listener   net.Listener
	http       *http.Server
	announceAt chan struct{} // asks for an announcement at once

	mu        sync.Mutex // guards all below
	boot      uint64
	state     backend.State
	warm      bool
	completed int // since the last start
	total     int64
	active    map[*run]struct{}
	waiting   []chan struct{} // admitted, first come first served
	slotsUsed int
	runs      map[string]*run // by request id
	runOrder  []string
	cache     *prefixCache
	pool      string // changes with a load
	models    []string
	role      string
	fence     uint64
	obeyed    []ObeyedOrder
	faults    faults
	samples   []loadSample
}

type loadSample struct {
	taken time.Time
	load  backend.Load
}

// NewServer opens the listener; Serve runs the server.
func NewServer(cfg ServerSettings, executions *ExecutionLog) (*Server, error) {
	l, err := net.Listen("tcp", string(cfg.Listen))
	if err != nil {
		return nil, err
	}
	s := &Server{
		cfg: cfg, executions: executions, listener: l,
		log:        logging.For("standin").WithField("server", cfg.Name),
		announceAt: make(chan struct{}, 1),
		active:     map[*run]struct{}{}, runs: map[string]*run{},
		pool: cfg.Pool, models: slices.Clone(cfg.Models),
	}
	s.boot = uint64(time.Now().UnixNano())
	s.state, s.warm = backend.Ready, cfg.StartWarm
	s.cache = newPrefixCache(cfg.CacheBlocks, cfg.EventLossEvery)
	s.http = &http.Server{Handler: s.handler()}
	return s, nil
}

// Address returns IP and port of the server.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Serve answers requests and announces the server until ctx ends.
func (s *Server) Serve(ctx context.Context) error {
	s.log.Infof("serves %s %s on %s", s.cfg.Kind, s.cfg.Pool, s.Address())
	var background sync.WaitGroup
	defer background.Wait()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	background.Go(func() { s.announceLoop(ctx) })
	background.Go(func() { s.sampleLoop(ctx) })
	background.Go(func() {
		<-ctx.Done()
		late, cancel := context.WithTimeout(context.Background(), shutdownGrace)
		defer cancel()
		if s.http.Shutdown(late) != nil {
			s.http.Close()
		}
	})
	if err := s.http.Serve(s.listener); err != http.ErrServerClosed {
		return err
	}
	return nil
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/faults", s.serveFault)
	mux.HandleFunc("POST /v1/orders", s.serveOrder)
	mux.HandleFunc("GET /v1/orders", s.serveOrders)
	mux.HandleFunc("POST /v1/cancel", s.serveCancel)
	mux.HandleFunc("GET /v1/cache_events", s.serveCacheEvents)
	if s.cfg.Kind == backend.Engine {
		mux.HandleFunc("POST /v1/chat/completions", s.serveChat)
	} else {
		mux.HandleFunc("/", s.servePlain)
	}
	return mux
}

// admit registers a run and restarts the server when a cold server gets more
// work than it can bear. It reports false when the server takes no requests.
func (s *Server) admit(r *run) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == backend.Starting {
		return false
	}
	r.execution.BootID = s.boot
	s.active[r] = struct{}{}
	s.remember(r)
	s.total++
	if !s.warm && len(s.active) > s.bearable() {
		s.log.Warnf("fails: %d running while cold, bears %d", len(s.active), s.bearable())
		s.restart()
	}
	return true
}

// bearable returns how many requests a cold server bears: its cold slots and
// one more for each completed request, which a ramp that doubles after as many
// completions as its limit never exceeds.
func (s *Server) bearable() int { return s.cfg.ColdSlots + s.completed }

func (s *Server) remember(r *run) {
	id := r.execution.RequestID
	if id == "" {
		return
	}
	s.runs[id] = r
	s.runOrder = append(s.runOrder, id)
	if len(s.runOrder) > keptRuns {
		delete(s.runs, s.runOrder[0])
		s.runOrder = s.runOrder[1:]
	}
}

// restart breaks all running requests and begins a cold start under a new
// boot id. Its caller holds the server lock.
func (s *Server) restart() {
	boot := s.coldStart()
	time.AfterFunc(s.cfg.StartTime.AsDuration(), func() { s.ready(boot) })
	s.announceNow()
}

// coldStart breaks all running requests and loses what the server knew. It
// returns the new boot id. Its caller holds the server lock.
func (s *Server) coldStart() uint64 {
	for r := range s.active {
		r.cancel(errBroken)
	}
	s.boot = max(s.boot+1, uint64(time.Now().UnixNano()))
	s.state, s.warm, s.completed = backend.Starting, false, 0
	s.cache = newPrefixCache(s.cfg.CacheBlocks, s.cfg.EventLossEvery)
	s.runs, s.runOrder = map[string]*run{}, nil
	return s.boot
}

func (s *Server) ready(boot uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.boot == boot && s.state == backend.Starting {
		s.state = backend.Ready
		s.announceNow()
	}
}

// finish ends a run and records its execution.
func (s *Server) finish(r *run, cost uint64) {
	s.mu.Lock()
	delete(s.active, r)
	e := r.execution
	e.Cost, e.End, e.Outcome = cost, time.Now().UTC(), OutcomeDone
	switch context.Cause(r.ctx) {
	case nil:
		if e.BootID == s.boot {
			s.completed++
			s.warm = s.warm || s.bearable() >= s.cfg.Slots
		}
	case errBroken:
		e.Outcome = OutcomeBroken
	default:
		e.Outcome = OutcomeCancelled
	}
	s.mu.Unlock()
	e.AnswerBytes, e.AnswerSHA256 = len(r.answer), sum(r.answer)
	if err := s.executions.Append(e); err != nil {
		s.log.Errorf("execution not recorded: %v", err)
	}
	r.finish(e.Outcome != OutcomeDone)
	r.cancel(nil)
}

// takeSlot waits for an execution slot and reports false when the run ended
// before it got one.
func (s *Server) takeSlot(r *run) bool {
	s.mu.Lock()
	if s.slotsUsed < s.cfg.Slots {
		s.slotsUsed++
		s.mu.Unlock()
		return true
	}
	turn := make(chan struct{})
	s.waiting = append(s.waiting, turn)
	s.mu.Unlock()
	select {
	case <-turn:
		return true
	case <-r.ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.waiting, turn); i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
	} else {
		s.passSlot()
	}
	return false
}

func (s *Server) freeSlot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.passSlot()
}

func (s *Server) passSlot() {
	if len(s.waiting) == 0 {
		s.slotsUsed--
		return
	}
	close(s.waiting[0])
	s.waiting = s.waiting[1:]
}

func (s *Server) serveCancel(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	found, ok := s.runs[r.Header.Get(RequestIDHeader)]
	s.mu.Unlock()
	if !ok {
		http.Error(w, "no such request", http.StatusNotFound)
		return
	}
	found.cancel(context.Canceled)
	w.WriteHeader(http.StatusNoContent)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the caller may have left
}
