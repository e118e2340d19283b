// Package router implements the entry router of a fleet. A router admits
// requests of callers, acquires a slot from the owner of the pool shard,
// forwards the request to the granted BackendServer and streams the response
// back. It receives the announcements of BackendServers and runs the owners of
// the shards that it owns.
//
// Lock order: catalog, membership, ownership, one pool, one request. No lock is
// held during network calls.
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
	"golang.org/x/time/rate"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/burn"
	"jackdawtrack.example/jackdawtrack/pkg/catalog"
	"jackdawtrack.example/jackdawtrack/pkg/confirm"
	"jackdawtrack.example/jackdawtrack/pkg/fairshare"
	"jackdawtrack.example/jackdawtrack/pkg/logging"
	"jackdawtrack.example/jackdawtrack/pkg/pool"
	"jackdawtrack.example/jackdawtrack/pkg/proxy"
)

// Records stores keyed requests in the control log. After an error of Begin, and
// after a repeated Begin that did not start the request, the state of the record
// is unknown: the request is not dispatched under this record, and Abort is
// repeated until it succeeds.
type Records interface {
	Begin(ctx context.Context, in *apiv1.BeginRequest) (out *apiv1.BeginResponse, repeated bool, err error)
	Finish(ctx context.Context, in *apiv1.FinishRequest) (*apiv1.FinishResponse, error)
	Abort(ctx context.Context, in *apiv1.AbortRequest) (*apiv1.AbortResponse, error)
}

// Peers sends messages to other routers.
type Peers interface {
	// Send queues a message and reports whether a connection holds it. Messages
	// to one router are delivered in order.
	Send(to string, e *apiv1.Envelope) bool
}

// Dependencies are the components that a router uses.
type Dependencies struct {
	Catalog   *catalog.Store
	Ownership Ownership
	Pool      pool.Config
	Records   Records // nil without control hosts
	Peers     Peers   // nil without other routers
	Fences    Fences  // nil turns placement off
	// Confirm brings Catalog up to everything that was committed before the call, after a
	// majority of the control hosts has confirmed it. It is nil without control hosts.
	Confirm func(context.Context) error

	reportInterval time.Duration // set by tests, the constant reportInterval if 0
}

// Router routes the requests of callers on one host. It is safe for concurrent
// use.
type Router struct {
	cfg       *Config
	self      pool.RouterID
	catalog   *catalog.Store
	ownership Ownership
	records   Records
	peers     Peers
	log       *logrus.Entry

	poolConfig      pool.Config
	ledger          *fairshare.Ledger
	transport       *proxy.Transport
	servers         *serverTable
	askTable        *askTable
	replays         replayLog
	quarantine      *quarantineState
	shardBuffers    shardBuffers
	marks           *marks
	placer          *placer // nil if placement is off
	decisionLog     *decisionLog
	budget          *retryBudget
	burn            *burn.Recorder
	rateLimiters    *workspaceRateLimiters
	abortLogLimiter *rate.Limiter
	metrics         metrics.Registry
	counters        counters
	limits          *limitTable
	limitCounters   limitCounters
	limitLogLimiter *rate.Limiter

	startedAt       time.Time
	requestIDPrefix string
	requestSequence atomic.Uint64
	openRequests    atomic.Int64 // requests from arrival to the end of the response
	bodyMemoryBytes atomic.Int64 // reserved for the bodies of open requests
	// dataCentreChangedAt is when a data centre last went out of service or
	// came back, in Unix ns. It is 0 if none has.
	dataCentreChangedAt atomic.Int64
	ready               atomic.Bool
	serversHeard        atomic.Bool               // see trackServersHeard
	heardTrackedAt      atomic.Pointer[time.Time] // last call of trackServersHeard, nil before the first
	confirmations       *confirm.Shared[struct{}] // of the catalog, nil without control hosts
	closing             chan struct{}             // closed when waiting requests must be refused
	closingOnce         sync.Once
	drainEnd            atomic.Pointer[time.Time] // when running requests are cut, nil before RefuseLate
	sending             context.Context           // ends with RefuseLate
	endSending          context.CancelFunc
	recordWrites        sync.WaitGroup // updates of keyed requests in control

	ownedMu sync.RWMutex
	owned   map[pool.ShardID]*ownedShard

	// The following fields are used by the goroutine of Run only.
	allConnectedAt    time.Time // start of a connection to all live routers of the data centre, zero without
	lastOwners        map[pool.ShardID]shardOwner
	lastOwnerConfig   ownerConfig
	totalsSentAt      time.Time // last exchange, a multiple of the exchange interval
	totalsSentVersion uint64
	originGoneSince   map[fairshare.Origin]time.Time
	secondReportAt    map[pool.ShardID]time.Time

	peersMu        sync.Mutex
	peerIDs        map[string]pool.RouterID // latest incarnation of each router, by name
	outDataCentres map[string]bool          // out of service at the last reconcile, used by Run only

	lastRefusalMu sync.Mutex
	lastRefusalAt map[string]time.Time // by pool, pauses retries
}

// shardOwner is the owner of a shard that reconcile last saw.
type shardOwner struct {
	router pool.RouterID
	epoch  uint64
}

// New returns a router. Run must be called to start its periodic work.
func New(cfg *Config, self pool.RouterID, deps Dependencies) *Router {
	r := &Router{
		cfg:        cfg,
		self:       self,
		catalog:    deps.Catalog,
		ownership:  deps.Ownership,
		poolConfig: deps.Pool,
		ledger: fairshare.NewLedger(fairshare.Origin{
			Name: self.Name, DataCentre: self.DataCentre, Incarnation: self.Incarnation,
		}),
		records:         deps.Records,
		peers:           deps.Peers,
		log:             logging.ForComponent("router"),
		transport:       proxy.NewTransport(),
		burn:            burn.NewRecorder(self.Name, time.Now()),
		servers:         newServerTable(),
		askTable:        newAskTable(),
		quarantine:      newQuarantineState(self.Name),
		marks:           newMarks(),
		placer:          newPlacer(cfg.Placement, deps),
		decisionLog:     newDecisionLog(),
		budget:          newRetryBudget(),
		rateLimiters:    newWorkspaceRateLimiters(),
		abortLogLimiter: newAbortLogLimiter(),
		metrics:         metrics.NewRegistry(),
		startedAt:       time.Now(),
		requestIDPrefix: self.Name + "-" + strconv.FormatUint(self.Incarnation, 36) + "-",
		closing:         make(chan struct{}),
		owned:           make(map[pool.ShardID]*ownedShard),
		lastOwners:      make(map[pool.ShardID]shardOwner),
		secondReportAt:  make(map[pool.ShardID]time.Time),
		peerIDs:         make(map[string]pool.RouterID),
		lastRefusalAt:   make(map[string]time.Time),
	}
	// Request ids of an earlier incarnation must not match grants of this one.
	r.askTable.lastRequestID = self.Incarnation
	r.counters = newCounters(r.metrics)
	r.limits, r.limitCounters, r.limitLogLimiter = newLimitTable(), newLimitCounters(r.metrics), newLimitLogLimiter()
	r.confirmations = newCatalogConfirmations(deps)
	r.ready.Store(true)
	r.sending, r.endSending = context.WithCancel(context.Background())
	return r
}

// Handler returns the HTTP handler for callers.
func (r *Router) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", r.serveChat)
	mux.HandleFunc("/services/{service}/", r.serveService)
	mux.HandleFunc("/", r.serveUnknown)
	return r.recordPanics(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if _, _, ok := serviceTarget(req); ok { // ServeMux redirects a path with "//" or "/../" to another one
			r.serveService(w, req)
			return
		}
		mux.ServeHTTP(w, req)
	}))
}

// Run does the periodic work until ctx ends: timers of owners, reconciliation,
// expiry of servers, and placement.
func (r *Router) Run(ctx context.Context) {
	if r.placer != nil {
		var placementLoop sync.WaitGroup
		placementLoop.Go(func() { r.runPlacement(ctx) })
		defer placementLoop.Wait()
	}
	ownerTicker := time.NewTicker(tickInterval)
	defer ownerTicker.Stop()
	reconcileTicker := time.NewTicker(reconcileInterval)
	defer reconcileTicker.Stop()
	expiryTicker := time.NewTicker(expiryInterval)
	defer expiryTicker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ownerTicker.C:
			r.tickOwners(now)
		case now := <-reconcileTicker.C:
			r.reconcile(now)
		case now := <-expiryTicker.C:
			r.servers.removeExpired(now)
			r.limits.removeExpired(now)
		}
	}
}

const (
	// tickInterval bounds the delay of the refusal of an ask whose deadline has
	// passed.
	tickInterval      = 10 * time.Millisecond
	reconcileInterval = 50 * time.Millisecond
	expiryInterval    = time.Minute
)

func (r *Router) newRequestID() string {
	return r.requestIDPrefix + strconv.FormatUint(r.requestSequence.Add(1), 36)
}

// counters holds the metrics of the request path.
type counters struct {
	requests, refused, whole, broken, retries, resumes, cancelled metrics.Counter
	announcements, announcementsRefused                           metrics.Counter
	serversEnded, quarantined, resumesRefused, takeUpsRefused     metrics.Counter
	takeUpsConfirmed                                              metrics.Counter
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
		resumesRefused:       metrics.NewRegisteredCounter("requests.resumes_refused", reg),
		takeUpsRefused:       metrics.NewRegisteredCounter("requests.take_ups_refused", reg),
		takeUpsConfirmed:     metrics.NewRegisteredCounter("requests.take_ups_confirmed", reg),
		cancelled:            metrics.NewRegisteredCounter("requests.cancelled", reg),
		announcements:        metrics.NewRegisteredCounter("announcements", reg),
		announcementsRefused: metrics.NewRegisteredCounter("announcements.refused", reg),
		serversEnded:         metrics.NewRegisteredCounter("servers_ended", reg),
		quarantined:          metrics.NewRegisteredCounter("quarantine.refused", reg),
		waitTime:             metrics.NewRegisteredTimer("wait", reg),
		firstToken:           metrics.NewRegisteredTimer("first_token", reg),
	}
}
