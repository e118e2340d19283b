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
	// of a data centre the planner gets about 0.6 KB/s.
	reportInterval = 5 * time.Second
	// smoothedIntervals is the time constant of the offered rate, in report
	// intervals.
	smoothedIntervals = 6
	// urgentMemory is how long an ask of a class that may not wait puts its
	// pool before others.
	urgentMemory = time.Minute
	// defaultSlotUnits is what one slot of an engine serves until a request of
	// the pool has ended: 50 tokens a second.
	defaultSlotUnits = 200
	// plannerPool gives the planner of a data centre a place in the rendezvous.
	// No pool has this name, because a name holds no space.
	plannerPool = "placement plan"

	defaultMinStay   = 5 * time.Minute
	mostLoads        = 600 // a minute
	secondsPerMinute = 60
)

// Placement is the part of the settings that moves engines between pools.
type Placement struct {
	// LoadsPerMinute is what the weight store bears in this data centre. 0
	// turns placement off.
	LoadsPerMinute float64           `yaml:"loads_per_minute"`
	OrderKey       string            `yaml:"order_key"` // bearer credential of orders
	MinStay        settings.Duration `yaml:"min_stay"`  // of an engine in a pool
}

func (c *Config) validatePlacement() error {
	p := c.Placement
	if !(p.LoadsPerMinute >= 0 && p.LoadsPerMinute <= mostLoads) {
		return refuse("placement.loads_per_minute %v is outside 0 to %d", p.LoadsPerMinute, mostLoads)
	}
	if p.LoadsPerMinute > 0 && len(c.Control) == 0 {
		return refuse("placement.loads_per_minute: orders to engines need control hosts")
	}
	if p.MinStay < 0 {
		return refuse("placement.min_stay must not be below 0")
	}
	return nil
}

// Fences keeps the records of the leases of orders in the control log.
type Fences interface {
	AcquireFence(ctx context.Context, observed, next *apiv1.Fence) (*apiv1.AcquireFenceResponse, error)
}

// placer orders engines of owned shards to load other models and, on one
// router of a data centre, decides which. mu guards the fields below it; no
// other lock is taken under it.
type placer struct {
	cfg      Placement
	fences   Fences
	client   *http.Client
	interval time.Duration
	rates    map[pool.ShardID]*offeredRate // used by the loop only
	planner  planner                       // used by the loop only
	running  sync.WaitGroup

	mu      sync.Mutex
	ctx     context.Context // of the orders, nil while the loop does not run
	orders  map[string]*engineOrder
	reports map[string]poolReport // by pool, of the planner
}

// newPlacer returns nil if placement is off.
func newPlacer(cfg Placement, parts Parts) *placer {
	if cfg.LoadsPerMinute <= 0 || parts.Fences == nil {
		return nil
	}
	return &placer{
		cfg: cfg, fences: parts.Fences, interval: cmp.Or(parts.reportInterval, reportInterval),
		client: &http.Client{
			Transport: &http.Transport{DisableKeepAlives: true}, // a reused connection could repeat an order
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

// runPlacement reports and plans until ctx ends, then waits for orders.
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
			p.running.Wait()
			return
		case <-tick.C:
			r.reportPools(time.Now())
			r.plan(time.Now())
		}
	}
}

func (r *Router) plannerName() string {
	return r.ownerName(pool.ShardID{DataCentre: r.self.DataCentre, Pool: plannerPool})
}

// offeredRate smooths the offered service units of a shard.
type offeredRate struct {
	shard  *ownedShard
	last   uint64 // service units
	at     time.Time
	perSec float64
}

func (o *offeredRate) update(now time.Time, offered uint64, constant time.Duration) float64 {
	passed := now.Sub(o.at)
	if passed <= 0 || offered < o.last {
		return o.perSec
	}
	current := float64(offered-o.last) / passed.Seconds()
	o.perSec += (1 - math.Exp(-float64(passed)/float64(constant))) * (current - o.perSec)
	o.last, o.at = offered, now
	return o.perSec
}

// reportPools tells the planner what the owned shards need and have.
func (r *Router) reportPools(now time.Time) {
	planner := r.plannerName()
	for _, s := range r.ownedShards() {
		if !r.servers.engines(s.id.Pool) {
			continue
		}
		m := r.poolReport(now, s)
		if planner == r.self.Name {
			r.receivePoolReport(m)
		} else {
			r.send(planner, &apiv1.Envelope{Item: &apiv1.Envelope_PoolReport{PoolReport: m}})
		}
	}
}

func (r *Router) poolReport(now time.Time, s *ownedShard) *apiv1.PoolReport {
	s.mu.Lock()
	u := s.owner.Usage(now)
	s.mu.Unlock()
	p := r.placer
	rate := p.rates[s.id]
	if rate == nil || rate.shard != s {
		rate = &offeredRate{shard: s, last: u.Offered, at: now}
		p.rates[s.id] = rate
	}
	m := &apiv1.PoolReport{
		Pool:       s.id.Pool,
		UnitsPerS:  rate.update(now, u.Offered, smoothedIntervals*p.interval),
		Waiting:    uint32(u.Waiting),
		MustAnswer: !u.LastUrgent.IsZero() && now.Sub(u.LastUrgent) < urgentMemory,
	}
	units := u.SlotUnits
	if units == 0 {
		units = defaultSlotUnits
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, v := range u.Servers {
		e := &apiv1.EngineReport{Name: v.Name, UnitsPerS: units * float64(v.Slots)}
		if o := p.orders[v.Name]; o != nil {
			e.Ordered, e.Sent = true, o.sent
		}
		m.Engines = append(m.Engines, e)
	}
	return m
}

// engines reports whether a pool is served by engines.
func (t *serverTable) engines(name string) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	info, ok := t.pools[name]
	return ok && info.kind == backend.Engine
}
