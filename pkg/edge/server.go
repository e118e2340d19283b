package edge

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/dispatch"
	"jackdawtrack.example/jackdawtrack/pkg/exchange"
	"jackdawtrack.example/jackdawtrack/pkg/feed"
	"jackdawtrack.example/jackdawtrack/pkg/logging"
	"jackdawtrack.example/jackdawtrack/pkg/proxy"
	"jackdawtrack.example/jackdawtrack/pkg/routing"
	"jackdawtrack.example/jackdawtrack/pkg/shed"
)

const (
	// pollInterval is how often requests that wait are considered anew.
	pollInterval = 5 * time.Millisecond
	// probeInterval is how often due health checks are looked for.
	probeInterval = 50 * time.Millisecond
	// probeTimeout bounds a health check. It waits for a slot like a request.
	probeTimeout = 400 * time.Millisecond
	// connectTimeout bounds a connection to a server: servers are at most a
	// few milliseconds away, and nothing was sent, so another one is tried.
	connectTimeout = 180 * time.Millisecond
	// idleTimeout is half of the keep-alive time that servers state, so that a
	// request rarely meets a connection that its server is closing.
	idleTimeout = 5 * time.Second
	expireTime  = 5 * time.Second
	// reportInterval is how often the beliefs about servers are logged.
	reportInterval = 2 * time.Second
	// refusalLines and refusalBurst bound the log lines on refused requests;
	// the number of those without a line is in the line on beliefs.
	refusalLines = 100 // a second
	refusalBurst = 400
)

// Config of a Server.
type Config struct {
	Name       string
	DataCentre string
	Address    string // IP and port of the exchange with other edge hosts
	Seeds      []string
	Decode     Decode
	Dialect    Dialect
	// Cores is the processor that the host has, in cores, 0 if not known.
	Cores float64
	// PassWithin is the time in which an event has to be passed on; without it
	// no event waits for another one.
	PassWithin time.Duration
	// MemoryBytes is the memory that the host has, 0 if not known.
	MemoryBytes int64
	// Budget bounds sends beyond the first of each request, over the fleet.
	Budget   Budget
	Registry metrics.Registry
}

// Server is one edge host. mu guards view, dispatcher, verdicts, budget,
// leaving and elsewhere; no network call is made under it.
type Server struct {
	config    Config
	log       *logrus.Entry
	metrics   *edgeMetrics
	transport *proxy.Transport
	feed      *feed.Client
	exchange  *exchange.Exchange
	table     atomic.Pointer[routing.Table]
	draining  atomic.Bool
	overload  overload
	ctx       context.Context
	stop      context.CancelFunc

	mu         sync.Mutex
	view       *view
	dispatcher *dispatch.Dispatcher
	verdicts   map[*dispatch.Request]chan dispatch.Verdict
	polling    bool
	incarnate  uint64
	budget     budget
	leaving    []leaving
	elsewhere  []string // data centres of other edge hosts
	ages       ages
	calls      callTime
	answers    *answerMemory

	shedder  *shedder
	refusals *rate.Limiter // of log lines
	unlogged atomic.Int64  // refusals without a line
	serving  atomic.Int64  // requests of callers that have no answer yet
	streams  atomic.Int64  // streams of servers that are passed on
}

// Open starts an edge host. It serves after a configuration has come.
func Open(c Config) (*Server, error) {
	if c.Registry == nil {
		c.Registry = metrics.NewRegistry()
	}
	now := time.Now()
	s := &Server{
		config: c, log: logging.For("edge"), metrics: newMetrics(c.Registry),
		transport:  proxy.NewTransportWith(proxy.Options{Connect: connectTimeout, Idle: idleTimeout}),
		dispatcher: dispatch.New(c.Name, c.DataCentre, now), verdicts: map[*dispatch.Request]chan dispatch.Verdict{},
		incarnate: uint64(now.UnixNano()), budget: newBudget(c.Budget),
	}
	s.shedder = &shedder{Shedder: shed.New()}
	s.answers = newAnswerMemory(c.MemoryBytes)
	s.refusals = rate.NewLimiter(refusalLines, refusalBurst)
	s.view = newView(c.Decode, s.log)
	s.ctx, s.stop = context.WithCancel(context.Background())
	var err error
	if s.exchange, err = exchange.Open(c.Address, s); err != nil {
		return nil, err
	}
	self := &apiv1.FleetWatcher{Name: c.Name, DataCentre: c.DataCentre, Address: c.Address, Incarnation: s.incarnate}
	s.feed = feed.New(s.ctx, self, "", nil, s)
	s.feed.SetSeeds(c.Seeds)
	go s.probe()
	go s.watchHost()
	go s.expire()
	go s.report()
	return s, nil
}

// SetSeeds replaces the seeds after a change of the settings.
func (s *Server) SetSeeds(addresses []string) { s.feed.SetSeeds(addresses) }

// Table returns the configuration in force, nil before the first.
func (s *Server) Table() *routing.Table { return s.table.Load() }

// Ready reports whether the host should get new connections.
func (s *Server) Ready() bool {
	return s.table.Load() != nil && !s.draining.Load() && !s.overload.now()
}

// Sheds reports whether callers should open their next connection to another
// host: this one is overloaded, and the balancer has noticed.
func (s *Server) Sheds() bool { return s.overload.lasts(noticedAfter) }

// Drain makes the host not ready. Requests that still come are served.
func (s *Server) Drain() { s.draining.Store(true) }

// Draining reports whether the host is shutting down.
func (s *Server) Draining() bool { return s.draining.Load() }

// Close ends all streams and connections.
func (s *Server) Close() error {
	s.stop()
	s.transport.Close()
	return s.exchange.Close()
}

// Event implements feed.Handler.
func (s *Server) Event(address string, e *apiv1.FleetEvent) {
	if peers, changed := s.merge(time.Now(), address, e); changed {
		s.exchange.SetPeers(peers)
	}
	if cores := e.GetCores(); len(cores) > 0 {
		names := make([]string, 0, len(cores))
		for _, m := range cores {
			names = append(names, m.GetAddress())
		}
		s.feed.Named(names)
	}
}

// merge returns the other edge hosts if they changed.
func (s *Server) merge(now time.Time, address string, e *apiv1.FleetEvent) (peers exchange.Peers, edges bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	servers, edges, table := s.view.merge(now, e)
	servers = s.view.vouch(now, address, e) || servers
	if edges {
		peers = s.applyEdges()
	}
	if servers {
		s.dispatcher.SetServers(now, s.view.infos(now))
	}
	if table != nil {
		s.dispatcher.SetRate(table.Limits.TokensPerSecond)
		s.table.Store(table)
		s.metrics.version.Update(int64(s.view.version))
	}
	return peers, edges
}

// applyEdges needs the lock.
func (s *Server) applyEdges() exchange.Peers {
	neighbours, peers := s.view.peers(s.config.Name, s.config.DataCentre)
	s.dispatcher.SetEdges(neighbours, len(peers.All)+1)
	s.budget.setHosts(len(peers.All) + 1)
	s.elsewhere = slices.Collect(maps.Keys(peers.Elsewhere))
	peers.Summaries = s.dispatcher.Summarises()
	return peers
}

// Lost implements feed.Handler. What the core host told stays in force, but it
// vouches for nothing any more.
func (s *Server) Lost(address string, _ error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.vouched.Lost(address)
}

// Digest implements exchange.Source.
func (s *Server) Digest() (*apiv1.LoadDigest, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	m, changed := s.dispatcher.Digest(now, s.incarnate)
	s.addLeaving(now, m)
	return m, changed || len(m.GetLeaving()) > 0
}

// Summaries implements exchange.Source.
func (s *Server) Summaries() []exchange.Summary {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	var out []exchange.Summary
	for _, m := range s.dispatcher.Summaries(now, s.elsewhere) {
		s.addLeaving(now, m.Digest)
		out = append(out, exchange.Summary(m))
	}
	return out
}

// Take implements exchange.Source.
func (s *Server) Take(m *apiv1.LoadDigest) bool {
	now := time.Now()
	for _, l := range m.GetLeaving() {
		s.leaves(now, l.GetId(), l.GetBornMs())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatcher.Take(now, m)
}

// offer gets the first verdict. The channel is nil unless the request waits.
func (s *Server) offer(r *dispatch.Request) (dispatch.Verdict, chan dispatch.Verdict) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.dispatcher.Offer(time.Now(), r)
	if v.Kind != dispatch.Wait {
		return v, nil
	}
	c := make(chan dispatch.Verdict, 1)
	s.verdicts[r] = c
	if !s.polling {
		s.polling = true
		go s.poll()
	}
	return v, c
}

// withdraw takes a request out of the queue. It returns a verdict that came
// meanwhile.
func (s *Server) withdraw(r *dispatch.Request) (dispatch.Verdict, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.verdicts[r]
	delete(s.verdicts, r)
	s.dispatcher.Cancel(r)
	select {
	case v := <-c:
		return v, true
	default:
		return dispatch.Verdict{}, false
	}
}

// poll runs while requests wait.
func (s *Server) poll() {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for range ticker.C {
		s.mu.Lock()
		s.pollLocked()
		if s.dispatcher.Waiting() == 0 {
			s.polling = false
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
	}
}

func (s *Server) pollLocked() {
	for _, d := range s.dispatcher.Poll(time.Now()) {
		if c := s.verdicts[d.Request]; c != nil {
			c <- d.Verdict
			delete(s.verdicts, d.Request)
		}
	}
}

func (s *Server) started(r *dispatch.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatcher.Started(time.Now(), r)
}

func (s *Server) ended(r *dispatch.Request, o dispatch.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatcher.Ended(time.Now(), r, o)
}

// again gets a second server for a request, within the budget.
func (s *Server) again(r *dispatch.Request, failed string, counted bool) dispatch.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	if counted && !s.budget.take(r.Service) {
		return dispatch.Verdict{Kind: dispatch.Refuse, Reason: reasonBudget, RetryAfter: budgetRetryAfter}
	}
	return s.dispatcher.Again(time.Now(), r, failed)
}

// givesUp reports whether a request that a server has left without a byte
// since then, or a stream without an event, is taken from it. Without a budget
// for another send it stays with a server that serves others; a caller is told
// at once of one that does not.
func (s *Server) givesUp(service, server string, since time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.has(service) || !s.dispatcher.HeardSince(server, since)
}

// hasOther reports whether another server can go on with a stream. Without one
// the stream of a slow server is better than none.
func (s *Server) hasOther(service, server string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatcher.HasOther(service, server)
}

// every calls f after each interval until the server is closed.
func (s *Server) every(interval time.Duration, f func()) {
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

// probe checks servers that are down.
func (s *Server) probe() {
	s.every(probeInterval, func() {
		s.mu.Lock()
		due := s.dispatcher.Probes(time.Now())
		s.mu.Unlock()
		for _, p := range due {
			go s.probeOne(p)
		}
	})
}

func (s *Server) probeOne(p dispatch.Probe) {
	table := s.table.Load()
	if table == nil || table.Service(p.Service) == nil {
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, probeTimeout)
	defer cancel()
	req, err := http.NewRequest(http.MethodGet, "http://"+p.Address+table.Service(p.Service).HealthPath, nil)
	if err != nil {
		s.log.WithError(err).WithField("server", p.Server).Warn("the health check cannot be made")
		return
	}
	healthy, cold := false, time.Duration(0)
	resp, _, err := s.transport.Open(ctx, req, nil, nil)
	if err == nil {
		reply := s.config.Dialect.Read(resp)
		healthy, cold = resp.StatusCode == http.StatusOK && reply.Server == p.Server, reply.ColdFor
		_ = resp.Body.Close()
	}
	s.log.WithFields(logrus.Fields{"server": p.Server, "healthy": healthy, "cold_ms": cold.Milliseconds(), "error": err}).Info("a server that was down was checked")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatcher.Probed(time.Now(), p.Server, healthy, cold)
}

func (s *Server) expire() {
	s.every(expireTime, func() {
		s.mu.Lock()
		now := time.Now()
		var peers exchange.Peers
		edges := s.view.expire(now)
		if edges {
			peers = s.applyEdges()
		}
		s.dispatcher.SetServers(now, s.view.infos(now))
		s.mu.Unlock()
		if edges {
			s.exchange.SetPeers(peers)
		}
	})
}

// report logs what the decisions believe, so that a later reader can tell why
// a server was chosen or left out.
func (s *Server) report() {
	var load processLoad
	s.every(reportInterval, func() {
		s.log.WithFields(load.read()).WithFields(logrus.Fields{"callers": s.serving.Load(), "streams": s.streams.Load(), "limit": s.shedder.limit()}).Info("load of this process")
		s.mu.Lock()
		r := s.dispatcher.Report(time.Now())
		s.mu.Unlock()
		s.log.WithFields(logrus.Fields{
			"pressure_ms": r.Pressure.Milliseconds(), "capacity": int64(r.Capacity), "share": int64(r.Level),
			"waiting": r.Waiting, "edges": r.Edges, "unlogged_refusals": s.unlogged.Swap(0), "servers": r.Servers,
		}).Info("beliefs")
	})
}
