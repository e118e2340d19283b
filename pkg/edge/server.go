package edge

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/confirm"
	"jackdawtrack.example/jackdawtrack/pkg/dispatch"
	"jackdawtrack.example/jackdawtrack/pkg/exchange"
	"jackdawtrack.example/jackdawtrack/pkg/feed"
	"jackdawtrack.example/jackdawtrack/pkg/logging"
	"jackdawtrack.example/jackdawtrack/pkg/losses"
	"jackdawtrack.example/jackdawtrack/pkg/proxy"
	"jackdawtrack.example/jackdawtrack/pkg/quarantine"
	"jackdawtrack.example/jackdawtrack/pkg/routing"
	"jackdawtrack.example/jackdawtrack/pkg/shed"
	"jackdawtrack.example/jackdawtrack/pkg/streamrecord"
	"jackdawtrack.example/jackdawtrack/pkg/streamrecord/recorder"
)

const (
	// pollInterval is how often the dispatcher is polled for queued requests.
	pollInterval = 5 * time.Millisecond
	// healthCheckInterval is how often the dispatcher is asked for due health checks.
	healthCheckInterval = 50 * time.Millisecond
	// healthCheckTimeout bounds a health check, which waits for a slot of the server
	// like a request.
	healthCheckTimeout = 400 * time.Millisecond
	// connectTimeout bounds a connection attempt to a server. Servers are at most a
	// few milliseconds away, and a request that was not sent can go to another one.
	connectTimeout = 180 * time.Millisecond
	// idleConnTimeout is half the keep-alive time that servers state, so that a
	// request is rarely sent on a connection that its server is closing.
	idleConnTimeout = 5 * time.Second
	expireInterval  = 5 * time.Second
	// stateLogInterval is how often the process load and the dispatcher state are
	// logged.
	stateLogInterval = 2 * time.Second
	// refusalLogRate and refusalLogBurst limit the log lines on refused requests.
	// The "beliefs" line gives the number of requests without a line.
	refusalLogRate  = 100 // lines per second
	refusalLogBurst = 400
)

// Config holds the settings of a Server.
type Config struct {
	Name          string
	DataCentre    string
	Address       string   // IP and UDP port for load digests of other edge hosts
	Seeds         []string // addresses of core hosts
	ConfigDecoder ConfigDecoder
	Dialect       Dialect
	// Cores is the number of CPU cores of the host, 0 if not known.
	Cores float64
	// MaxEventDelay is the maximum time from the arrival of a stream event to
	// its forwarding. If it is 0, events are never coalesced.
	MaxEventDelay time.Duration
	// MemoryBytes is the memory of the host in bytes, 0 if not known.
	MemoryBytes int64
	// RetryBudget bounds the retries of the whole fleet.
	RetryBudget RetryBudget
	Registry    metrics.Registry
}

// Server is an edge host. mu guards fleetView, dispatcher, pendingDecisions,
// polling, retryBudget, leaving, remoteDataCentres, quarantine, storedVerdicts and
// quarantinedRequests. It is not held during network calls.
type Server struct {
	config        Config
	log           *logrus.Entry
	metrics       *edgeMetrics
	transport     *proxy.Transport
	feed          *feed.Client
	exchange      *exchange.Exchange
	table         atomic.Pointer[routing.Table]
	draining      atomic.Bool
	stopping      stopping
	answerAt      atomic.Pointer[time.Time] // when stopping.answer ends, nil before RefuseLate
	overloadState overloadState
	ctx           context.Context
	stop          context.CancelFunc

	mu                sync.Mutex
	fleetView         *fleetView
	dispatcher        *dispatch.Dispatcher
	pendingDecisions  map[*dispatch.Request]chan dispatch.Decision
	polling           bool
	incarnation       uint64
	retryBudget       retryBudget
	leaving           []leaving
	remoteDataCentres []string // other data centres that have edge hosts
	attemptAges       attemptAges
	reservations      reserveLatency
	responses         *responseMemory
	losses            losses.Collector
	left              losses.Watch
	quarantine        *quarantine.Tracker
	storedVerdicts    map[uint64]uint32 // by suspect: generation that the core hosts have stored
	streamRecords     *recorder.Recorder
	confirmations     *confirm.Shared[uint64] // of confirmedRevision
	cores             coreConns
	checkedAt         atomic.Int64 // last tick of monitorHost by the boot clock in ns, 0 before the first
	takeUps           *streamrecord.TakeUps
	streamStarts      []*streamStart // of the last restartNoticeTime, oldest first
	// quarantinedRequests describes refused requests.
	quarantinedRequests quarantine.Descriptions

	loadShedder       *loadShedder
	refusalLogLimiter *rate.Limiter // limits log lines on refused requests
	unloggedRefusals  atomic.Int64  // refused requests without a log line since the last "beliefs" line
	openRequests      atomic.Int64  // requests of callers in progress
	openStreams       atomic.Int64  // server streams being forwarded
}

// Open starts an edge host. It serves requests once it has received a
// configuration from a core host. It fails with InvalidSettings if the digest
// address is invalid or cannot be bound.
func Open(c Config) (*Server, error) {
	if c.Registry == nil {
		c.Registry = metrics.NewRegistry()
	}
	now := time.Now()
	s := &Server{
		config: c, stopping: newStopping(), log: logging.ForComponent("edge"), metrics: newMetrics(c.Registry),
		transport:  proxy.NewTransportWithOptions(proxy.Options{ConnectTimeout: connectTimeout, IdleTimeout: idleConnTimeout, Identity: c.Dialect}),
		dispatcher: dispatch.New(c.Name, c.DataCentre, now), pendingDecisions: map[*dispatch.Request]chan dispatch.Decision{},
		incarnation: uint64(now.UnixNano()), retryBudget: newRetryBudget(c.RetryBudget),
		quarantine: quarantine.New(hashName(c.Name)), storedVerdicts: map[uint64]uint32{},
	}
	s.dispatcher.SetMemory(c.MemoryBytes)
	s.streamRecords = recorder.New(s.log, c.Registry)
	s.takeUps = streamrecord.NewTakeUps(maxTakeUpsKept, dispatch.TakeUpWindow)
	s.confirmations = confirm.New(s.confirmedRevision)
	s.loadShedder = &loadShedder{Shedder: shed.New()}
	s.responses = newResponseMemory(c.MemoryBytes)
	s.refusalLogLimiter = rate.NewLimiter(refusalLogRate, refusalLogBurst)
	s.fleetView = newFleetView(c.ConfigDecoder, s.log)
	s.ctx, s.stop = context.WithCancel(context.Background())
	var err error
	if s.exchange, err = exchange.Open(c.Address, s); err != nil {
		return nil, err
	}
	self := &apiv1.FleetWatcher{Name: c.Name, DataCentre: c.DataCentre, Address: c.Address, Incarnation: s.incarnation}
	s.feed = feed.New(s.ctx, self, "", nil, s)
	s.feed.SetSeeds(c.Seeds)
	go s.runHealthChecks()
	go s.monitorHost()
	go s.expire()
	go s.logState()
	go s.watchAvoidance()
	go s.watchLimits()
	return s, nil
}

// SetSeeds replaces the seed addresses of core hosts.
func (s *Server) SetSeeds(addresses []string) { s.feed.SetSeeds(addresses) }

// Table returns the routing table in force, nil before the first configuration.
func (s *Server) Table() *routing.Table { return s.table.Load() }

// Ready reports whether the load balancer should send new connections to the host.
func (s *Server) Ready() bool {
	return s.table.Load() != nil && !s.draining.Load() && !s.overloadState.isOverloaded()
}

// ShedsConnections reports whether to close caller connections: the host has
// been overloaded for so long that the load balancer sends new connections to
// other hosts.
func (s *Server) ShedsConnections() bool { return s.overloadState.overloadedFor(balancerReactionTime) }

// Drain marks the host as not ready. Requests that still arrive are served.
func (s *Server) Drain() { s.draining.Store(true) }

// Draining reports whether the host is shutting down.
func (s *Server) Draining() bool { return s.draining.Load() }

// Close stops the background tasks and closes all connections.
func (s *Server) Close() error {
	s.stop()
	s.transport.Close()
	return s.exchange.Close()
}

// HandleEvent implements feed.Handler: it merges an event of a core host.
func (s *Server) HandleEvent(address string, e *apiv1.FleetEvent) {
	if peers, changed := s.mergeEvent(time.Now(), address, e); changed {
		s.exchange.SetPeers(peers)
	}
	if cores := e.GetCores(); len(cores) > 0 {
		names := make([]string, 0, len(cores))
		for _, m := range cores {
			names = append(names, m.GetAddress())
		}
		s.feed.AddAdvertised(names)
	}
}

// mergeEvent merges an event into the fleet view and updates the dispatcher. It
// returns the other edge hosts, and true if they changed.
func (s *Server) mergeEvent(now time.Time, address string, e *apiv1.FleetEvent) (peers exchange.Peers, edges bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	servers, edges, table := s.fleetView.mergeEvent(now, e)
	servers = s.fleetView.renewLiveness(now, address, e) || servers
	if edges {
		peers = s.applyEdges()
	}
	if servers {
		s.dispatcher.SetServers(now, s.fleetView.serverInfos(now))
	}
	s.mergeStoredVerdicts(now, e.GetState().GetVerdicts())
	if len(e.GetServers()) > 0 {
		s.doubtStreams(now)
	}
	for _, m := range e.GetServers() {
		startedBefore := func(p losses.Process) bool { return p.StartMS < m.GetBornMs() }
		for l := s.losses.TakeRestarted(now, m.GetAddress(), startedBefore); l != nil; l = s.losses.TakeRestarted(now, m.GetAddress(), startedBefore) {
			s.logLoss(l, true, "announcement of a new process")
			s.addLoss(now, l)
		}
	}
	if table != nil {
		s.dispatcher.SetServiceRate(table.Limits.TokensPerSecond)
		s.table.Store(table)
		s.metrics.configVersion.Update(int64(s.fleetView.configVersion))
	}
	s.fleetView.mergeRevision(e.GetState().GetRevision())
	return peers, edges
}

// applyEdges applies a change of the edge hosts and returns the other ones. The
// caller must hold mu.
func (s *Server) applyEdges() exchange.Peers {
	neighbours, peers := s.fleetView.peers(s.config.Name, s.config.DataCentre)
	s.dispatcher.SetEdgeHosts(neighbours, len(peers.All)+1)
	s.retryBudget.setHosts(len(peers.All) + 1)
	s.quarantine.SetHosts(hashNames(maps.Keys(s.fleetView.edges)))
	s.remoteDataCentres = slices.Collect(maps.Keys(peers.Remote))
	peers.SummariesEnabled = s.dispatcher.Summarises()
	return peers
}

// HandleDisconnect implements feed.Handler. State received from the core host
// stays in force, but no longer renews servers and edge hosts.
func (s *Server) HandleDisconnect(address string, _ error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleetView.liveness.HandleDisconnect(address)
}

// Digest implements exchange.DigestHandler.
func (s *Server) Digest() (*apiv1.LoadDigest, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	m, changed := s.dispatcher.Digest(now, s.incarnation)
	s.appendLeaving(now, m)
	news := s.quarantine.Message(now, m.GetComplete())
	m.Quarantine = news.ToProto(now)
	return m, changed || len(m.GetLeaving()) > 0 || !news.Empty()
}

// Summaries implements exchange.DigestHandler.
func (s *Server) Summaries() []exchange.Summary {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	var out []exchange.Summary
	var evidence *apiv1.QuarantineNews
	for _, m := range s.dispatcher.Summaries(now, s.remoteDataCentres) {
		s.appendLeaving(now, m.Digest)
		if evidence == nil {
			news := s.quarantine.Summary(m.Digest.GetComplete())
			evidence = news.ToProto(now)
		}
		m.Digest.Quarantine = evidence
		out = append(out, exchange.Summary(m))
	}
	return out
}

// MergeDigest implements exchange.DigestHandler.
func (s *Server) MergeDigest(m *apiv1.LoadDigest) bool {
	now := time.Now()
	for _, l := range m.GetLeaving() {
		s.markLeaving(now, l.GetId(), l.GetBornMs())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if m.GetRouter() != s.config.Name || m.GetSummary() {
		s.quarantine.Merge(now, quarantine.MessageFromProto(now, m.GetQuarantine()), m.GetSummary())
	}
	return s.dispatcher.MergeDigest(now, m)
}

// requestDecision returns the first decision on a request. If the request is
// queued, the channel receives its final decision; otherwise the channel is
// nil.
func (s *Server) requestDecision(r *dispatch.Request) (dispatch.Decision, chan dispatch.Decision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.dispatcher.Admit(time.Now(), r)
	if v.Action != dispatch.Wait {
		return v, nil
	}
	return v, s.awaitPoll(r)
}

// awaitPoll returns the channel that receives the final decision on a queued request. The
// caller must hold mu.
func (s *Server) awaitPoll(r *dispatch.Request) chan dispatch.Decision {
	c := make(chan dispatch.Decision, 1)
	s.pendingDecisions[r] = c
	if !s.polling {
		s.polling = true
		go s.poll()
	}
	return c
}

// cancelWaiting removes a request from the queue. If its decision has already
// arrived in c, it returns that decision and true.
func (s *Server) cancelWaiting(r *dispatch.Request, c chan dispatch.Decision) (dispatch.Decision, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pendingDecisions, r)
	s.dispatcher.Cancel(r)
	select {
	case v := <-c:
		return v, true
	default:
		return dispatch.Decision{}, false
	}
}

// poll polls the dispatcher until no request is queued.
func (s *Server) poll() {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for range ticker.C {
		s.mu.Lock()
		s.pollLocked()
		if s.dispatcher.QueueLength() == 0 {
			s.polling = false
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
	}
}

// pollLocked delivers the decisions on queued requests. The caller must hold
// mu.
func (s *Server) pollLocked() {
	for _, d := range s.dispatcher.Poll(time.Now()) {
		if c := s.pendingDecisions[d.Request]; c != nil {
			c <- d.Decision
			delete(s.pendingDecisions, d.Request)
		}
	}
}

// recordFirstEvent reports to the dispatcher that an event of the response arrived.
func (s *Server) recordFirstEvent(r *dispatch.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatcher.RecordEvent(time.Now(), r)
}

// recordOutcome reports to the dispatcher how an attempt ended.
func (s *Server) recordOutcome(r *dispatch.Request, o dispatch.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatcher.RecordOutcome(time.Now(), r, o)
}

// runEvery calls f at each interval until the Server is closed.
func (s *Server) runEvery(interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
			f()
		}
	}
}

// runHealthChecks sends health checks to servers that are down, and evaluates the
// evidence on servers that ended.
func (s *Server) runHealthChecks() {
	s.runEvery(healthCheckInterval, func() {
		s.mu.Lock()
		now := time.Now()
		due := s.dispatcher.DueProbes(now)
		changes := s.quarantine.Poll(now)
		s.mu.Unlock()
		s.recordChanges(changes)
		for _, p := range due {
			go s.checkServer(p)
		}
	})
}

// checkServer sends one health check and reports its result to the dispatcher.
func (s *Server) checkServer(p dispatch.Probe) {
	table := s.table.Load()
	if table == nil || table.Service(p.Service) == nil {
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, healthCheckTimeout)
	defer cancel()
	path := "/" + strings.TrimPrefix(table.Service(p.Service).HealthPath, "/")
	req, err := http.NewRequest(http.MethodGet, "http://"+p.Address+path, nil)
	if err != nil {
		s.log.WithError(err).WithField("server", p.Server).Warn("cannot create health check request")
		return
	}
	healthy, cold := false, time.Duration(0)
	resp, _, err := s.transport.SendRequest(s.identifyProcess(ctx, p.Service, &proxy.Identification{}), req, nil, nil)
	if err == nil {
		reply := s.config.Dialect.ReadHead(resp)
		healthy, cold = resp.StatusCode == http.StatusOK && reply.Server == p.Server, reply.ColdRemaining
		_ = resp.Body.Close()
	}
	s.log.WithFields(logrus.Fields{"server": p.Server, "healthy": healthy, "cold_ms": cold.Milliseconds(), "error": err}).Info("health check of a down server finished")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatcher.RecordProbe(time.Now(), p.Server, healthy, cold)
}

// expire removes expired servers and edge hosts at each expireInterval.
func (s *Server) expire() {
	s.runEvery(expireInterval, func() {
		s.mu.Lock()
		now := time.Now()
		var peers exchange.Peers
		edges := s.fleetView.expire(now)
		if edges {
			peers = s.applyEdges()
		}
		s.dispatcher.SetServers(now, s.fleetView.serverInfos(now))
		s.mu.Unlock()
		if edges {
			s.exchange.SetPeers(peers)
		}
	})
}

// logState logs the resource usage of this process and the dispatcher's view of
// the servers, which explains its choice of servers.
func (s *Server) logState() {
	var load processUsage
	s.runEvery(stateLogInterval, func() {
		asked, unidentified := s.transport.Identified()
		s.log.WithFields(load.read()).WithFields(logrus.Fields{
			"callers": s.openRequests.Load(), "streams": s.openStreams.Load(), "limit": s.loadShedder.requestsPerSecond(), "servers_asked": asked, "servers_unidentified": unidentified,
		}).Info("resource usage of this process")
		s.mu.Lock()
		r := s.dispatcher.Report(time.Now())
		s.mu.Unlock()
		s.logBeliefs(r)
	})
}

// serversPerLine bounds the servers of one line, so that it is no longer than a pipe takes
// in one piece. One has up to 250 bytes.
const serversPerLine = 14

// logBeliefs logs the dispatcher's view of the servers.
func (s *Server) logBeliefs(r dispatch.Report) {
	first := min(len(r.Servers), serversPerLine)
	s.log.WithFields(logrus.Fields{
		"pressure_ms": r.Pressure.Milliseconds(), "capacity": int64(r.Capacity), "share": int64(r.FairShare),
		"waiting": r.QueueLength, "edges": r.EdgeHosts, "dropped_parts": r.Dropped.CachedParts, "dropped_placements": r.Dropped.Placements, "unlogged_refusals": s.unloggedRefusals.Swap(0), "unlogged_take_ups": s.metrics.takeUpLog.unlogged.Swap(0), "servers": r.Servers[:first],
	}).Info("beliefs")
	for more := range slices.Chunk(r.Servers[first:], serversPerLine) {
		s.log.WithField("servers", more).Info("beliefs on more servers")
	}
}
