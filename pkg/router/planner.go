package router

import (
	"maps"
	"time"

	"golang.org/x/time/rate"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/placement"
)

const (
	// reportLife is the age, in report intervals, at which a report counts as
	// lost and a move that no report shows as not begun.
	reportLife = 4
	// maxReports bounds the pools of a data centre that are planned for.
	maxReports = 1024
)

type poolReport struct {
	*apiv1.PoolReport
	at time.Time
}

// planner is the state of the router that plans. One move at a time is on its
// way: the next one waits until the order of the last one has been sent, and
// then for the time that the weight store's limit asks for. The orders
// themselves then keep the limit, however long their engines take to run empty.
type planner struct {
	pace    *rate.Limiter
	pending bool // at the last look, an order was planned and not yet sent
	moved   string
	movedAt time.Time
	tried   map[string]time.Time // server to its last move, for MinStay
}

func newPlanner(cfg Placement, now time.Time) planner {
	return planner{pace: newPace(cfg, now), tried: make(map[string]time.Time)}
}

// newPace returns a limiter without a token: another planner may just have
// used the last one.
func newPace(cfg Placement, now time.Time) *rate.Limiter {
	l := rate.NewLimiter(rate.Limit(cfg.LoadsPerMinute/secondsPerMinute), 1)
	l.AllowN(now, 1)
	return l
}

// receivePoolReport keeps the last report of a pool for the planner.
func (r *Router) receivePoolReport(m *apiv1.PoolReport) {
	p := r.placer
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.reports[m.GetPool()]; !ok && len(p.reports) >= maxReports {
		return
	}
	p.reports[m.GetPool()] = poolReport{PoolReport: m, at: time.Now()}
}

// freshReports returns the reports that are not too old and drops the others.
func (p *placer) freshReports(now time.Time) []poolReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []poolReport
	for name, report := range p.reports {
		if now.Sub(report.at) > reportLife*p.interval {
			delete(p.reports, name)
			continue
		}
		out = append(out, report)
	}
	return out
}

// plan makes at most one move. While a router of the data centre is not live
// it makes none: there may be another planner on its side.
func (r *Router) plan(now time.Time) {
	p := r.placer
	known, live, _ := r.ownership.Known()
	if r.plannerName() != r.self.Name || live < known || r.dataCentreOut(r.self.DataCentre) {
		p.planner = newPlanner(p.cfg, now)
		return
	}
	reports := p.freshReports(now)
	pending := p.planner.unsent(now, reports, reportLife*p.interval)
	if pending || p.planner.pending {
		p.planner.pace = newPace(p.cfg, now)
	}
	p.planner.pending = pending
	if pending || p.planner.pace.TokensAt(now) < 1 {
		return
	}
	demands, servers := r.planInput(now, reports)
	for _, m := range placement.Plan(now, demands, servers, 1) {
		p.planner.pace.AllowN(now, 1)
		p.planner.pending, p.planner.moved, p.planner.movedAt = true, m.Server, now
		p.planner.tried[m.Server] = now
		r.log.Infof("placement: server %s moves from pool %s to pool %s", m.Server, m.From, m.To)
		r.sendMove(&apiv1.PlannedMove{Server: m.Server, From: m.From, To: m.To})
	}
}

// unsent reports whether an order is planned and not yet sent. A move that no
// report shows is unsent until it counts as lost.
func (p *planner) unsent(now time.Time, reports []poolReport, lost time.Duration) bool {
	unsent := p.moved != "" && now.Sub(p.movedAt) < lost
	for _, report := range reports {
		for _, e := range report.GetEngines() {
			if !e.GetOrdered() {
				continue
			}
			if e.GetName() == p.moved {
				p.moved, unsent = "", false
			}
			if !e.GetSent() {
				return true
			}
		}
	}
	return unsent
}

// planInput turns reports into the input of the plan. A server that has not
// stayed long enough, or that did not obey its last order, counts as just
// arrived.
func (r *Router) planInput(now time.Time, reports []poolReport) ([]placement.Demand, []placement.Server) {
	maps.DeleteFunc(r.placer.planner.tried, func(_ string, at time.Time) bool {
		return now.Sub(at) >= r.cfg.Placement.MinStay.Std()
	})
	var demands []placement.Demand
	var servers []placement.Server
	for _, report := range reports {
		demands = append(demands, placement.Demand{
			Pool: report.GetPool(), UnitsPerS: report.GetUnitsPerS(),
			Waiting: int(report.GetWaiting()), MustAnswer: report.GetMustAnswer(),
		})
		for _, e := range report.GetEngines() {
			s := placement.Server{Name: e.GetName(), Pool: report.GetPool(), UnitsPer: e.GetUnitsPerS(), Busy: e.GetOrdered(), Since: now}
			loadable, since, ready := r.servers.placeable(e.GetName(), report.GetPool())
			s.Loadable, s.Busy = loadable, s.Busy || !ready
			if stay := r.cfg.Placement.MinStay.Std(); now.Sub(since) >= stay && now.Sub(r.placer.planner.tried[e.GetName()]) >= stay {
				s.Since = time.Time{}
			}
			servers = append(servers, s)
		}
	}
	return demands, servers
}

// sendMove gives a move to the owner of the server's pool.
func (r *Router) sendMove(m *apiv1.PlannedMove) {
	owner := r.ownerName(r.shardOf(m.GetFrom()))
	if owner == r.self.Name {
		r.receiveMove(r.self.Name, m)
		return
	}
	r.send(owner, &apiv1.Envelope{Item: &apiv1.Envelope_PlannedMove{PlannedMove: m}})
}
