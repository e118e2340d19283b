package router

import (
	"maps"
	"time"

	"golang.org/x/time/rate"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/placement"
)

const (
	// reportTTLIntervals is the age, in report intervals, after which a report
	// is dropped, and after which a planned move that no report shows counts as
	// lost.
	reportTTLIntervals = 4
	// maxPoolReports is the maximum number of pools in one plan.
	maxPoolReports = 1024
)

// poolReport is the latest report of a pool.
type poolReport struct {
	*apiv1.PoolReport
	receivedAt time.Time
}

// planner is the planning state of a router. It plans one move at a time. After
// the order of a move has been sent, it waits as long as the load limit of the
// weight store requires before it plans the next one. The limit therefore holds
// for the times of the orders, however long the engines take to drain.
type planner struct {
	moveLimiter     *rate.Limiter
	orderPending    bool // at the last check, an order was planned but not sent
	lastMovedServer string
	lastMoveAt      time.Time
	lastMoveOf      map[string]time.Time // time of the last move of each server, for MinStay
}

func newPlanner(cfg Placement, now time.Time) planner {
	return planner{moveLimiter: newMoveLimiter(cfg, now), lastMoveOf: make(map[string]time.Time)}
}

// newMoveLimiter returns a limiter without a token, because another planner may
// have used the last token just before.
func newMoveLimiter(cfg Placement, now time.Time) *rate.Limiter {
	l := rate.NewLimiter(rate.Limit(cfg.LoadsPerMinute/secondsPerMinute), 1)
	l.AllowN(now, 1)
	return l
}

// receivePoolReport stores the latest report of a pool for the planner.
func (r *Router) receivePoolReport(m *apiv1.PoolReport) {
	p := r.placer
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.reports[m.GetPool()]; !ok && len(p.reports) >= maxPoolReports {
		return
	}
	p.reports[m.GetPool()] = poolReport{PoolReport: m, receivedAt: time.Now()}
}

// freshReports returns the reports that have not expired and drops the others.
func (p *placer) freshReports(now time.Time) []poolReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []poolReport
	for name, report := range p.reports {
		if now.Sub(report.receivedAt) > reportTTLIntervals*p.interval {
			delete(p.reports, name)
			continue
		}
		out = append(out, report)
	}
	return out
}

// planMove plans at most one move. It plans none while a known router of the
// data centre is not live, because that router may be in another partition with
// its own planner.
func (r *Router) planMove(now time.Time) {
	p := r.placer
	known, live, _ := r.ownership.RouterCounts()
	if r.plannerName() != r.self.Name || live < known || r.dataCentreOut(r.self.DataCentre) {
		p.planner = newPlanner(p.cfg, now)
		return
	}
	reports := p.freshReports(now)
	orderPending := p.planner.hasUnsentOrder(now, reports, reportTTLIntervals*p.interval)
	if orderPending || p.planner.orderPending {
		p.planner.moveLimiter = newMoveLimiter(p.cfg, now)
	}
	p.planner.orderPending = orderPending
	if orderPending || p.planner.moveLimiter.TokensAt(now) < 1 {
		return
	}
	demands, servers := r.planInputs(now, reports)
	for _, m := range placement.Plan(now, demands, servers, 1) {
		p.planner.moveLimiter.AllowN(now, 1)
		p.planner.orderPending, p.planner.lastMovedServer, p.planner.lastMoveAt = true, m.Server, now
		p.planner.lastMoveOf[m.Server] = now
		r.log.Infof("placement: planned move of server %s from pool %s to pool %s", m.Server, m.From, m.To)
		r.sendMove(&apiv1.PlannedMove{Server: m.Server, From: m.From, To: m.To})
	}
}

// hasUnsentOrder reports whether a planned order has not been sent yet. A move
// that no report shows counts as unsent until lostAfter has passed.
func (p *planner) hasUnsentOrder(now time.Time, reports []poolReport, lostAfter time.Duration) bool {
	hasUnsentOrder := p.lastMovedServer != "" && now.Sub(p.lastMoveAt) < lostAfter
	for _, report := range reports {
		for _, e := range report.GetEngines() {
			if !e.GetOrdered() {
				continue
			}
			if e.GetName() == p.lastMovedServer {
				p.lastMovedServer, hasUnsentOrder = "", false
			}
			if !e.GetSent() {
				return true
			}
		}
	}
	return hasUnsentOrder
}

// planInputs converts reports to the input of the plan. A server that has not
// been in its pool for MinStay, or that ignored an order to move less than
// MinStay ago, counts as just arrived, so that it is not moved.
func (r *Router) planInputs(now time.Time, reports []poolReport) ([]placement.Demand, []placement.Server) {
	maps.DeleteFunc(r.placer.planner.lastMoveOf, func(_ string, at time.Time) bool {
		return now.Sub(at) >= r.cfg.Placement.MinStay.AsDuration()
	})
	var demands []placement.Demand
	var servers []placement.Server
	for _, report := range reports {
		demands = append(demands, placement.Demand{
			Pool: report.GetPool(), UnitsPerS: report.GetUnitsPerS(),
			Waiting: int(report.GetWaiting()), MustAnswer: report.GetMustAnswer(),
		})
		for _, e := range report.GetEngines() {
			s := placement.Server{Name: e.GetName(), Pool: report.GetPool(), CapacityUnitsPerS: e.GetUnitsPerS(), Unavailable: e.GetOrdered(), InPoolSince: now}
			loadable, since, ready := r.servers.placementInfo(e.GetName(), report.GetPool())
			s.LoadablePools, s.Unavailable = loadable, s.Unavailable || !ready
			if minStay := r.cfg.Placement.MinStay.AsDuration(); now.Sub(since) >= minStay && now.Sub(r.placer.planner.lastMoveOf[e.GetName()]) >= minStay {
				s.InPoolSince = time.Time{}
			}
			servers = append(servers, s)
		}
	}
	return demands, servers
}

// sendMove sends a move to the owner of the server's current pool.
func (r *Router) sendMove(m *apiv1.PlannedMove) {
	owner := r.ownerName(r.shardOf(m.GetFrom()))
	if owner == r.self.Name {
		r.receiveMove(r.self.Name, m)
		return
	}
	r.send(owner, &apiv1.Envelope{Item: &apiv1.Envelope_PlannedMove{PlannedMove: m}})
}
