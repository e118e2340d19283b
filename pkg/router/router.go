// Package router is the front of the fleet: it admits requests of callers,
// asks the owner of the pool shard for a slot, sends the request to the
// BackendServer of the grant and streams the answer back. It receives the
// announcements of BackendServers and hosts the owners of the shards that
// belong to this router.
//
// Lock order: catalog, membership, ownership, one pool, one request. No lock
// is held over network calls.
package router

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/burn"
	"jackdawtrack.example/jackdawtrack/pkg/catalog"
	"jackdawtrack.example/jackdawtrack/pkg/fairshare"
	"jackdawtrack.example/jackdawtrack/pkg/logging"
	"jackdawtrack.example/jackdawtrack/pkg/pool"
	"jackdawtrack.example/jackdawtrack/pkg/proxy"
)

// Records keeps keyed requests in the control log. An error of Begin means
// that the fate of the record is unknown: the request is not dispatched and
// Abort follows until it is recorded.
type Records interface {
	Begin(ctx context.Context, in *apiv1.BeginRequest) (*apiv1.BeginResponse, error)
	Finish(ctx context.Context, in *apiv1.FinishRequest) (*apiv1.FinishResponse, error)
	Abort(ctx context.Context, in *apiv1.AbortRequest) (*apiv1.AbortResponse, error)
}

// Peers sends messages to other routers.
type Peers interface {
	// Send queues a message and reports whether a connection holds it. Messages
	// to one router keep their order.
	Send(to string, e *apiv1.Envelope) bool
}

// Parts are the modules that a router works with.
type Parts struct {
	Catalog   *catalog.Store
	Ownership Ownership
	Pool      pool.Config
	Records   Records // nil: no control host is configured
	Peers     Peers   // nil: no other router
	Fences    Fences  // nil: no orders to engines

	reportInterval time.Duration // between reports to the planner, reportInterval if 0
}

// Router is safe for concurrent use.
type Router struct {
	cfg       *Config
	self      pool.RouterID
	catalog   *catalog.Store
	ownership Ownership
	records   Records
	peers     Peers
	log       *logrus.Entry

	poolConfig   pool.Config
	ledger       *fairshare.Ledger
	transport    *proxy.Transport
	servers      *serverTable
	asks         *asks
	replays      replayLog
	inheritances inheritances
	marks        *marks
	placer       *placer // nil: placement is off
	ring         *ring
	budget       *retryBudget
	burn         *burn.Recorder
	rates        *workspaceRates
	metrics      metrics.Registry
	counters     counters

	began      time.Time
	idPrefix   string
	requests   atomic.Uint64
	open       atomic.Int64 // requests between admission and end
	bodyMemory atomic.Int64
	// dataCentreChanged is when a data centre last went out or came back, in
	// Unix ns, 0 if none did.
	dataCentreChanged atomic.Int64
	ready             atomic.Bool
	closing           chan struct{} // closed when waiting requests must end
	closeOnce         sync.Once
	background        sync.WaitGroup

	ownedMu sync.RWMutex
	owned   map[pool.ShardID]*ownedShard

	// Used by the goroutine of Run only.
	seen          map[pool.ShardID]ownerSeen
	told          operatorView
	totalsAt      time.Time // multiple of the exchange interval
	totalsVersion uint64
	goneOrigins   map[fairshare.Origin]time.Time // since when
	reportAgain   map[pool.ShardID]time.Time

	peersMu    sync.Mutex
	peerIDs    map[string]pool.RouterID // incarnation that each router last had
	outCentres map[string]bool          // data centres that are out

	refusedMu sync.Mutex
	refused   map[string]time.Time // pool to last refusal, bounds retries
}

// ownerSeen is the owner of a shard at the last reconcile.
type ownerSeen struct {
	router pool.RouterID
	epoch  uint64
}

// New returns a router. Run starts its periodic work.
func New(cfg *Config, self pool.RouterID, parts Parts) *Router {
	r := &Router{
		cfg:        cfg,
		self:       self,
		catalog:    parts.Catalog,
		ownership:  parts.Ownership,
		poolConfig: parts.Pool,
		ledger: fairshare.NewLedger(fairshare.Origin{
			Name: self.Name, DataCentre: self.DataCentre, Incarnation: self.Incarnation,
		}),
		records:     parts.Records,
		peers:       parts.Peers,
		log:         logging.For("router"),
		transport:   proxy.NewTransport(),
		burn:        burn.NewRecorder(self.Name, time.Now()),
		servers:     newServerTable(),
		asks:        newAsks(),
		marks:       newMarks(),
		placer:      newPlacer(cfg.Placement, parts),
		ring:        newRing(),
		budget:      newRetryBudget(),
		rates:       newWorkspaceRates(),
		metrics:     metrics.NewRegistry(),
		began:       time.Now(),
		idPrefix:    self.Name + "-" + strconv.FormatUint(self.Incarnation, 36) + "-",
		closing:     make(chan struct{}),
		owned:       make(map[pool.ShardID]*ownedShard),
		seen:        make(map[pool.ShardID]ownerSeen),
		reportAgain: make(map[pool.ShardID]time.Time),
		peerIDs:     make(map[string]pool.RouterID),
		refused:     make(map[string]time.Time),
	}
	// Ids of an earlier incarnation must not meet grants of this one.
	r.asks.next = self.Incarnation
	r.counters = newCounters(r.metrics)
	r.ready.Store(true)
	return r
}

// Handler serves callers.
func (r *Router) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", r.serveChat)
	mux.HandleFunc("/services/{service}/", r.serveService)
	mux.HandleFunc("/", r.serveUnknown)
	return mux
}

// Run does the periodic work until ctx ends.
func (r *Router) Run(ctx context.Context) {
	if r.placer != nil {
		var placing sync.WaitGroup
		placing.Go(func() { r.runPlacement(ctx) })
		defer placing.Wait()
	}
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	follow := time.NewTicker(reconcileInterval)
	defer follow.Stop()
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			r.tickOwners(now)
		case now := <-follow.C:
			r.reconcile(now)
		case now := <-sweep.C:
			r.servers.forget(now)
		}
	}
}

const (
	// tickInterval bounds how late an owner refuses an ask whose deadline has
	// passed.
	tickInterval      = 10 * time.Millisecond
	reconcileInterval = 50 * time.Millisecond
	sweepInterval     = time.Minute
)

func (r *Router) newID() string {
	return r.idPrefix + strconv.FormatUint(r.requests.Add(1), 36)
}

// counters are the metrics of the request path.
type counters struct {
	requests, refused, whole, broken, retries, resumes, cancelled metrics.Counter
	announcements, announcementsRefused                           metrics.Counter
	waitTime, firstToken                                          metrics.Timer
}

func newCounters(reg metrics.Registry) counters {
	return counters{
		requests:             metrics.NewRegisteredCounter("requests", reg),
		refused:              metrics.NewRegisteredCounter("requests.refused", reg),
		whole:                metrics.NewRegisteredCounter("requests.whole", reg),
		broken:               metrics.NewRegisteredCounter("requests.broken", reg),
		retries:              metrics.NewRegisteredCounter("requests.retries", reg),
		resumes:              metrics.NewRegisteredCounter("requests.resumes", reg),
		cancelled:            metrics.NewRegisteredCounter("requests.cancelled", reg),
		announcements:        metrics.NewRegisteredCounter("announcements", reg),
		announcementsRefused: metrics.NewRegisteredCounter("announcements.refused", reg),
		waitTime:             metrics.NewRegisteredTimer("wait", reg),
		firstToken:           metrics.NewRegisteredTimer("first_token", reg),
	}
}
