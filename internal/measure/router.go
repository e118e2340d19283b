package measure

import (
	"slices"
	"strings"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/fairshare"
	"jackdawtrack.example/jackdawtrack/pkg/pool"
)

const (
	// detection is the time until membership shows a lost or returned router.
	detection = 2 * time.Second
	// gossip is the time until an ordinary membership change is known.
	gossip = 200 * time.Millisecond
)

// decider is a pool.Owner or a baseline.
type decider interface {
	Ask(time.Time, pool.Ask)
	Settle(time.Time, pool.Settle)
	Announce(time.Time, backend.Announcement)
	Held(time.Time, pool.RouterID, []pool.HeldGrant)
	RouterGone(time.Time, pool.RouterID)
	SetKnownRouters(now time.Time, known, live, rank int)
	SetDataCentreOut(time.Time, bool)
	CacheEvents(now time.Time, server string, stored, evicted []uint64)
	Summary(time.Time, pool.Summary)
	Loan(time.Time, pool.Loan)
	LoanReturn(time.Time, pool.LoanReturn)
	Handover() pool.Handover
	Accept(time.Time, pool.Handover)
	Tick(time.Time)
	NextTick() time.Time
	Take() pool.Output
	Snapshot() pool.View
}

// router is a fake of a router process: it hosts real deciders and a real
// ledger, and keeps the requests of its callers.
type router struct {
	f      *fleet
	id     pool.RouterID
	dc     int
	up     bool
	ledger *fairshare.Ledger
	owners map[string]*hosted // by pool
	live   []*router          // of the data centre, in this router's view
	out    bool

	requests map[uint64]*request
	sentTo   map[*router]uint64
	current  map[string]*router // owner by pool
}

type hosted struct {
	decider
	shard pool.ShardID
	timer int
	gone  bool
}

func (r *router) shard(p string) pool.ShardID {
	return pool.ShardID{DataCentre: dcName(r.dc), Pool: p}
}

func (r *router) start() {
	r.id.Incarnation++
	r.up = true
	r.ledger = fairshare.NewLedger(fairshare.Origin{Name: r.id.Name, DataCentre: r.id.DataCentre, Incarnation: r.id.Incarnation})
	r.owners, r.requests = map[string]*hosted{}, map[uint64]*request{}
	r.sentTo, r.current = map[*router]uint64{}, map[string]*router{}
	r.live = nil
	boot := r.id.Incarnation
	r.f.every(exchangeInterval-time.Duration(r.f.now.UnixNano())%exchangeInterval, exchangeInterval, func() bool {
		if r.up && r.id.Incarnation == boot {
			r.exchange()
		}
		return r.up && r.id.Incarnation == boot
	})
}

// kill stops the router; its open streams and its state are lost.
func (r *router) kill() {
	r.up = false
	for _, q := range r.open() {
		q.lost()
	}
	for _, h := range r.owners {
		h.gone = true
	}
}

func (r *router) open() []*request {
	list := make([]*request, 0, len(r.requests))
	for _, q := range r.requests {
		list = append(list, q)
	}
	sortRequests(list)
	return list
}

// view sets the live routers of the data centre and moves shards.
func (r *router) view(live []*router) {
	gone := []*router{}
	for _, x := range r.live {
		if !slices.Contains(live, x) {
			gone = append(gone, x)
		}
	}
	r.live = live
	for _, p := range r.f.pools {
		r.settleOwner(p, gone)
	}
}

func (r *router) settleOwner(p string, gone []*router) {
	owner := rendezvous(r.live, p)
	old := r.owners[p]
	switch {
	case owner == r && old == nil:
		r.host(p)
	case owner != r && old != nil:
		old.gone = true
		delete(r.owners, p)
		h := old.Handover()
		r.pump(old)
		r.f.send(r, owner, message{handoverMessage(h), func(to *router) {
			if n := to.owners[p]; n != nil {
				n.Accept(r.f.now, h)
				to.pump(n)
			}
		}})
	}
	if h := r.owners[p]; h != nil {
		for _, x := range gone {
			h.RouterGone(r.f.now, x.id)
		}
		known := r.f.routersOf(r.dc)
		h.SetKnownRouters(r.f.now, len(known), len(r.live), slices.Index(known, r))
		r.pump(h)
	}
	if r.current[p] != owner {
		r.current[p] = owner
		r.reportTo(p, owner)
	}
}

func (r *router) host(p string) {
	r.f.epoch++
	h := &hosted{decider: r.f.newDecider(r.shard(p), r.f.epoch, r.ledger), shard: r.shard(p)}
	r.owners[p] = h
	if r.out {
		h.SetDataCentreOut(r.f.now, true)
	}
	r.pump(h)
}

// reportTo sends held grants and waiting asks to a new owner.
func (r *router) reportTo(p string, owner *router) {
	var held []pool.HeldGrant
	for _, q := range r.open() {
		if q.pool != p || q.state != running {
			continue
		}
		held = append(held, pool.HeldGrant{Router: r.id, GrantID: q.grant.GrantID, Epoch: q.grant.Epoch, RequestID: q.id,
			Server: q.grant.Server, Workspace: q.workspace.name, Class: q.class.Name, EstimateUnits: q.cost()})
	}
	id := r.id
	r.f.send(r, owner, message{heldMessage(r.shard(p), held), func(to *router) {
		if h := to.owners[p]; h != nil {
			h.Held(r.f.now, id, held)
			to.pump(h)
		}
	}})
	for _, q := range r.open() {
		if q.pool == p && q.state == waiting {
			r.ask(q)
		}
	}
}

func (r *router) ask(q *request) {
	owner := r.current[q.pool]
	if owner == nil {
		return
	}
	a := pool.Ask{Router: r.id, RequestID: q.id, Workspace: q.workspace.name, Class: q.class, Arrived: q.arrived,
		HintUnits: q.hint, PromptUnits: uint32(q.prompt), PrefixHash: q.prefix, Avoid: q.avoid}
	r.f.send(r, owner, message{askMessage(r.shard(q.pool), a, r.f.now.Sub(q.arrived)), func(to *router) {
		if h := to.owners[q.pool]; h != nil {
			h.Ask(r.f.now, a)
			to.pump(h)
		}
	}})
}

func (r *router) settle(p string, s pool.Settle) {
	owner := r.current[p]
	if owner == nil {
		return
	}
	r.f.send(r, owner, message{settleMessage(r.shard(p), s), func(to *router) {
		if h := to.owners[p]; h != nil {
			h.Settle(r.f.now, s)
			to.pump(h)
		}
	}})
}

// pump sends the outputs of a decider and sets its timer.
func (r *router) pump(h *hosted) {
	out := h.Take()
	p := h.shard.Pool
	for _, g := range out.Grants {
		g := g
		r.toRouter(g.Router, grantMessage(h.shard, g), func(to *router) { to.granted(p, g) })
	}
	for _, x := range out.Refusals {
		x := x
		r.toRouter(x.Router, refusalMessage(h.shard, x), func(to *router) { to.refused(x) })
	}
	for _, l := range out.Loans {
		l := l
		r.toOwner(l.To, loanMessage(l), func(d decider) { d.Loan(r.f.now, l) })
	}
	for _, x := range out.LoanReturns {
		x := x
		r.toOwner(x.To, returnMessage(x), func(d decider) { d.LoanReturn(r.f.now, x) })
	}
	for _, s := range out.Summaries {
		s := s
		for dc := range r.f.d.centres {
			if dc != r.dc {
				r.toOwner(pool.ShardID{DataCentre: dcName(dc), Pool: p}, summaryMessage(s), func(d decider) { d.Summary(r.f.now, clone(s)) })
			}
		}
	}
	r.arm(h)
}

func clone(s pool.Summary) pool.Summary {
	s.Lowest = slices.Clone(s.Lowest)
	return s
}

func (r *router) arm(h *hosted) {
	if h.gone {
		return
	}
	h.timer++
	timer := h.timer
	r.f.at(h.NextTick(), func() {
		if h.timer == timer && !h.gone && r.up {
			h.Tick(r.f.now)
			r.pump(h)
		}
	})
}

func (r *router) toRouter(id pool.RouterID, env envelope, deliver func(*router)) {
	for _, to := range r.f.routers {
		if to.id == id && to.up {
			r.f.send(r, to, message{env, deliver})
		}
	}
}

func (r *router) toOwner(s pool.ShardID, env envelope, deliver func(decider)) {
	for _, to := range r.f.routers {
		if h := to.owners[s.Pool]; to.up && h != nil && h.shard == s {
			r.f.send(r, to, message{env, func(to *router) {
				if h := to.owners[s.Pool]; h != nil {
					deliver(h)
					to.pump(h)
				}
			}})
		}
	}
}

// exchange sends the changed totals to every router.
func (r *router) exchange() {
	if r.f.local {
		return
	}
	origin := r.ledger.Origin()
	for _, to := range r.f.routers {
		if to == r || !r.f.linked(r, to) {
			r.sentTo[to] = 0
			continue
		}
		since := r.sentTo[to]
		totals, version := r.ledger.Changed(since)
		r.sentTo[to] = version
		if len(totals) == 0 {
			continue
		}
		full := since == 0
		slices.SortFunc(totals, func(a, b fairshare.Total) int { return strings.Compare(a.Workspace, b.Workspace) })
		r.f.send(r, to, message{totalsMessage(origin, totals, full), func(to *router) { to.ledger.Merge(origin, totals, full) }})
	}
}
