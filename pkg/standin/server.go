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

// Headers between routers and a BackendServer.
const (
	RequestIDHeader    = "Jackdawtrack-Request-Id"
	ResumeOffsetHeader = "Jackdawtrack-Resume-Offset" // bytes of the response body already received
	ProcessHeader      = "Jackdawtrack-Process"       // server name, slash, boot id
	ReleaseHeader      = "Jackdawtrack-Release"       // pool, slash, software version
)

const (
	maxRequestBytes    = 8 << 20
	maxKeptExecutions  = 1024 // most recent executions that can be resumed
	shutdownTimeout    = 2 * time.Second
	loadSampleInterval = 50 * time.Millisecond
	maxLoadSamples     = 400
)

// Server is one stand-in BackendServer.
type Server struct {
	cfg                  ServerSettings
	log                  *logrus.Entry
	executionLog         *ExecutionLog
	listener             net.Listener
	http                 *http.Server
	announcementRequests chan struct{} // wakes announceLoop

	mu                sync.Mutex // guards the fields below
	bootID            uint64
	version           string // software version of the process
	state             backend.State
	warm              bool
	completedRequests int // since the last cold start
	totalRequests     int64
	activeExecutions  map[*requestExecution]struct{}
	slotWaiters       []chan struct{} // FIFO queue of admitted requests without a slot
	usedSlots         int
	executionsByID    map[string]*requestExecution // by request id
	executionOrder    []string
	storedStreams     map[string]*requestExecution // unfinished streams of earlier processes
	cache             *prefixCache
	pool              string // changes after an order to load another base model
	models            []string
	role              string
	fence             uint64
	executedOrders    []ExecutedOrder
	faults            faults
	loadSamples       []loadSample
	limit             statedLimit
}

type loadSample struct {
	taken time.Time
	load  backend.Load
}

// NewServer opens the listener and returns a server that Serve runs. cfg must
// have been validated by Settings.Validate.
func NewServer(cfg ServerSettings, executionLog *ExecutionLog) (*Server, error) {
	l, err := net.Listen("tcp", string(cfg.Listen))
	if err != nil {
		return nil, err
	}
	s := &Server{
		cfg: cfg, executionLog: executionLog, listener: l,
		log:                  logging.ForComponent("standin").WithField("server", cfg.Name),
		announcementRequests: make(chan struct{}, 1),
		activeExecutions:     map[*requestExecution]struct{}{}, executionsByID: map[string]*requestExecution{}, storedStreams: map[string]*requestExecution{},
		pool: cfg.Pool, models: slices.Clone(cfg.Models),
	}
	s.bootID, s.version = uint64(time.Now().UnixNano()), cfg.SoftwareVersion
	s.state, s.warm = backend.Ready, cfg.StartWarm
	s.cache = newPrefixCache(cfg.CacheBlocks, cfg.EventLossEvery)
	s.http = &http.Server{Handler: s.handler()}
	return s, nil
}

// Address returns the IP and port on which the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Serve serves requests and announces the server until ctx ends.
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
		shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		if s.http.Shutdown(shutdownCtx) != nil {
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
	mux.HandleFunc("POST /v1/faults", s.handleFault)
	mux.HandleFunc("POST /v1/orders", s.handleOrder)
	mux.HandleFunc("GET /v1/orders", s.handleListOrders)
	mux.Handle("POST /v1/cancel", s.recordArrivals(http.HandlerFunc(s.handleCancel)))
	mux.HandleFunc("GET /v1/cache_events", s.handleCacheEvents)
	if s.cfg.Kind == backend.Engine {
		mux.Handle("POST /v1/chat/completions", s.recordArrivals(http.HandlerFunc(s.handleChat)))
	} else {
		mux.Handle("/", s.recordArrivals(http.HandlerFunc(s.handlePlainRequest)))
	}
	return mux
}

// admit registers an execution. A cold server whose capacity is exceeded fails
// and restarts, which aborts the new execution as well. admit reports false
// while the server is starting.
func (s *Server) admit(r *requestExecution) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == backend.Starting {
		return false
	}
	r.record.BootID, r.record.Version, r.pool = s.bootID, s.version, s.pool
	s.activeExecutions[r] = struct{}{}
	s.keepForResume(r)
	s.totalRequests++
	if !s.warm && len(s.activeExecutions) > s.coldCapacity() {
		s.log.Warnf("overloaded while cold: %d running requests, capacity %d", len(s.activeExecutions), s.coldCapacity())
		s.restartCold(s.cfg.StartTime.AsDuration())
	}
	return true
}

// coldCapacity returns how many concurrent requests a cold server can take: its
// cold slots plus one for each completed request. A ramp-up that doubles its
// limit after as many completions as the limit never exceeds it.
func (s *Server) coldCapacity() int { return s.cfg.ColdSlots + s.completedRequests }

// keepForResume makes an execution available for a resume by its request id and
// forgets the oldest one. Its caller holds the server lock.
func (s *Server) keepForResume(r *requestExecution) {
	id := r.record.RequestID
	if id == "" {
		return
	}
	s.executionsByID[id] = r
	s.executionOrder = append(s.executionOrder, id)
	if len(s.executionOrder) > maxKeptExecutions {
		delete(s.executionsByID, s.executionOrder[0])
		s.executionOrder = s.executionOrder[1:]
	}
}

// restartCold aborts all running requests and starts the server again, cold and
// with a new boot id, and is ready after startTime. Its caller holds the server lock.
func (s *Server) restartCold(startTime time.Duration) {
	bootID := s.resetToCold()
	if startTime < 0 {
		s.state = backend.Ready
	}
	time.AfterFunc(startTime, func() { s.finishStart(bootID) })
	s.requestAnnouncement()
}

// resetToCold aborts all running requests, discards the cache and the
// executions kept for a resume, and returns the new boot id. Its caller holds
// the server lock.
func (s *Server) resetToCold() uint64 {
	for r := range s.activeExecutions {
		r.cancel(errServerFailed)
		if s.cfg.KeepStreams && r.chat.Stream && len(s.storedStreams) < maxKeptExecutions {
			s.storedStreams[r.record.RequestID] = r
		}
	}
	s.bootID = max(s.bootID+1, uint64(time.Now().UnixNano()))
	s.state, s.warm, s.completedRequests = backend.Starting, false, 0
	s.cache = newPrefixCache(s.cfg.CacheBlocks, s.cfg.EventLossEvery)
	s.executionsByID, s.executionOrder = map[string]*requestExecution{}, nil
	return s.bootID
}

// finishStart makes the server ready, unless it has restarted again since the
// boot id was assigned.
func (s *Server) finishStart(bootID uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.bootID == bootID && s.state == backend.Starting {
		s.state = backend.Ready
		s.requestAnnouncement()
	}
}

// finish ends an execution and appends its record to the execution log. The cost
// is in service units.
func (s *Server) finish(r *requestExecution, cost uint64) {
	s.mu.Lock()
	delete(s.activeExecutions, r)
	e := r.record
	e.Cost, e.End, e.Outcome = cost, time.Now().UTC(), OutcomeDone
	switch context.Cause(r.ctx) {
	case nil:
		if e.BootID == s.bootID {
			s.completedRequests++
			s.warm = s.warm || s.coldCapacity() >= s.cfg.Slots
		}
	case errServerFailed:
		e.Outcome = OutcomeBroken
	default:
		e.Outcome = OutcomeCancelled
	}
	s.mu.Unlock()
	e.AnswerBytes, e.AnswerSHA256 = len(r.body), sha256Hex(r.body)
	if err := s.executionLog.Append(e); err != nil {
		s.log.Errorf("append to execution log: %v", err)
	}
	r.finish(e.Outcome != OutcomeDone)
	r.cancel(nil)
}

// acquireSlot waits for an execution slot and reports false if the execution is
// cancelled before it gets one.
func (s *Server) acquireSlot(r *requestExecution) bool {
	s.mu.Lock()
	if s.usedSlots < s.cfg.Slots {
		s.usedSlots++
		s.mu.Unlock()
		return true
	}
	granted := make(chan struct{})
	s.slotWaiters = append(s.slotWaiters, granted)
	s.mu.Unlock()
	select {
	case <-granted:
		return true
	case <-r.ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.slotWaiters, granted); i >= 0 {
		s.slotWaiters = slices.Delete(s.slotWaiters, i, i+1)
	} else {
		s.releaseSlotLocked()
	}
	return false
}

func (s *Server) releaseSlot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releaseSlotLocked()
}

// releaseSlotLocked passes the slot to the first waiter or frees it. Its caller
// holds the server lock.
func (s *Server) releaseSlotLocked() {
	if len(s.slotWaiters) == 0 {
		s.usedSlots--
		return
	}
	close(s.slotWaiters[0])
	s.slotWaiters = s.slotWaiters[1:]
}

func (s *Server) handleCancel(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	execution, ok := s.executionsByID[r.Header.Get(RequestIDHeader)]
	s.mu.Unlock()
	if !ok {
		http.Error(w, "unknown request id", http.StatusNotFound)
		return
	}
	execution.cancel(context.Canceled)
	w.WriteHeader(http.StatusNoContent)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the caller may have disconnected
}
