package router

import (
	"cmp"
	"context"
	"math"
	"net/http"
	"sync"
	"time"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/pool"
	"jackdawtrack.example/jackdawtrack/pkg/settings"
)

const (
	// reportInterval is how often owners report to the planner. At 85 engines
	// in a data centre the planner receives about 0.6 KB/s.
	reportInterval = 5 * time.Second
	// rateSmoothingIntervals is the time constant of the smoothed rate of
	// offered work, in report intervals.
	rateSmoothingIntervals = 6
	// urgentWindow is how long a pool has priority in the plan after an ask of
	// a class that may not wait.
	urgentWindow = time.Minute
	// defaultSlotUnitsPerS is the assumed service rate of one slot, in service
	// units per second, until a request of the pool has ended. It equals 50
	// tokens/s.
	defaultSlotUnitsPerS = 200
	// plannerPool is the pool name under which the planner of a data centre is
	// chosen by rendezvous hashing. No real pool has it, because pool names
	// contain no space.
	plannerPool = "placement plan"

	defaultMinStay    = 5 * time.Minute
	maxLoadsPerMinute = 600
	secondsPerMinute  = 60
)

// Placement holds the settings for moving engines between pools.
type Placement struct {
	// LoadsPerMinute is the number of model loads per minute that the weight
	// store of this data centre can serve. 0 turns placement off.
	LoadsPerMinute float64           `yaml:"loads_per_minute"`
	OrderKey       string            `yaml:"order_key"` // bearer token sent with orders
	MinStay        settings.Duration `yaml:"min_stay"`  // minimum time of an engine in a pool
}

func (c *Config) validatePlacement() error {
	p := c.Placement
	if !(p.LoadsPerMinute >= 0 && p.LoadsPerMinute <= maxLoadsPerMinute) {
		return settingsError("placement.loads_per_minute %v is outside 0 to %d", p.LoadsPerMinute, maxLoadsPerMinute)
	}
	if p.LoadsPerMinute > 0 && len(c.Control) == 0 {
		return settingsError("placement.loads_per_minute requires control hosts for the leases of orders")
	}
	if p.MinStay < 0 {
		return settingsError("placement.min_stay must be at least 0")
	}
	return nil
}

// Fences stores the leases of engine orders in the control log.
type Fences interface {
	AcquireFence(ctx context.Context, observed, next *apiv1.Fence) (*apiv1.AcquireFenceResponse, error)
}

// placer moves engines of owned shards to other pools by ordering them to load
// another model. On one router of a data centre it also plans the moves. mu
// guards the fields below it; no other lock is taken while it is held.
type placer struct {
	cfg           Placement
	fences        Fences
	client        *http.Client
	interval      time.Duration
	rates         map[pool.ShardID]*offeredRate // used by runPlacement only
	planner       planner                       // used by runPlacement only
	runningOrders sync.WaitGroup

	mu      sync.Mutex
	ctx     context.Context         // parent context of orders, nil while runPlacement does not run
	orders  map[string]*engineOrder // unfinished orders, by server
	reports map[string]poolReport   // reports to the planner, by pool
}

// newPlacer returns nil if placement is off.
func newPlacer(cfg Placement, deps Dependencies) *placer {
	if cfg.LoadsPerMinute <= 0 || deps.Fences == nil {
		return nil
	}
	return &placer{
		cfg: cfg, fences: deps.Fences, interval: cmp.Or(deps.reportInterval, reportInterval),
		client: &http.Client{
			Transport: &http.Transport{DisableKeepAlives: true}, // net/http may resend a request on a reused connection
			CheckRedirect: func(*http.Request, []*http.Request) error {
				return http.ErrUseLastResponse
			},
		},
		rates:   make(map[pool.ShardID]*offeredRate),
		planner: newPlanner(cfg, time.Now()),
		orders:  make(map[string]*engineOrder),
		reports: make(map[string]poolReport),
	}
}

// runPlacement reports and plans until ctx ends, then waits for unfinished
// orders.
func (r *Router) runPlacement(ctx context.Context) {
	p := r.placer
	p.mu.Lock()
	p.ctx = ctx
	p.mu.Unlock()
	tick := time.NewTicker(p.interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			p.mu.Lock()
			p.ctx = nil
			p.mu.Unlock()
			p.runningOrders.Wait()
			return
		case <-tick.C:
			r.reportPools(time.Now())
			r.planMove(time.Now())
		}
	}
}

// plannerName returns the router that plans placement in this data centre.
func (r *Router) plannerName() string {
	return r.ownerName(pool.ShardID{DataCentre: r.self.DataCentre, Pool: plannerPool})
}

// offeredRate smooths the rate of service units that callers offer to a shard.
type offeredRate struct {
	shard     *ownedShard
	lastUnits uint64 // total offered service units at updatedAt
	updatedAt time.Time
	unitsPerS float64
}

// update adds a sample of the total offered service units and returns the
// smoothed rate in service units per second.
func (o *offeredRate) update(now time.Time, offeredUnits uint64, timeConstant time.Duration) float64 {
	elapsed := now.Sub(o.updatedAt)
	if elapsed <= 0 || offeredUnits < o.lastUnits {
		return o.unitsPerS
	}
	current := float64(offeredUnits-o.lastUnits) / elapsed.Seconds()
	o.unitsPerS += (1 - math.Exp(-float64(elapsed)/float64(timeConstant))) * (current - o.unitsPerS)
	o.lastUnits, o.updatedAt = offeredUnits, now
	return o.unitsPerS
}

// reportPools sends the demand and the engines of each owned shard to the
// planner.
func (r *Router) reportPools(now time.Time) {
	planner := r.plannerName()
	for _, s := range r.ownedShards() {
		if !r.servers.isEnginePool(s.id.Pool) {
			continue
		}
		report := r.poolReport(now, s)
		if planner == r.self.Name {
			r.receivePoolReport(report)
		} else {
			r.send(planner, &apiv1.Envelope{Item: &apiv1.Envelope_PoolReport{PoolReport: report}})
		}
	}
}

func (r *Router) poolReport(now time.Time, s *ownedShard) *apiv1.PoolReport {
	s.mu.Lock()
	usage := s.owner.Usage(now)
	s.mu.Unlock()
	p := r.placer
	offered := p.rates[s.id]
	if offered == nil || offered.shard != s {
		offered = &offeredRate{shard: s, lastUnits: usage.OfferedUnits, updatedAt: now}
		p.rates[s.id] = offered
	}
	report := &apiv1.PoolReport{
		Pool:       s.id.Pool,
		UnitsPerS:  offered.update(now, usage.OfferedUnits, rateSmoothingIntervals*p.interval),
		Waiting:    uint32(usage.Waiting),
		MustAnswer: !usage.LastInteractive.IsZero() && now.Sub(usage.LastInteractive) < urgentWindow,
	}
	slotUnitsPerS := usage.SlotUnitsPerSecond
	if slotUnitsPerS == 0 {
		slotUnitsPerS = defaultSlotUnitsPerS
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, v := range usage.Servers {
		e := &apiv1.EngineReport{Name: v.Name, UnitsPerS: slotUnitsPerS * float64(v.Slots)}
		if o := p.orders[v.Name]; o != nil {
			e.Ordered, e.Sent = true, o.sent
		}
		report.Engines = append(report.Engines, e)
	}
	return report
}

// isEnginePool reports whether the servers of a pool are engines.
func (t *serverTable) isEnginePool(name string) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	info, ok := t.pools[name]
	return ok && info.kind == backend.Engine
}
