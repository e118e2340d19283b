package measure

import (
	"slices"
	"strings"
	"time"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/fairshare"
	"jackdawtrack.example/jackdawtrack/pkg/peer"
	"jackdawtrack.example/jackdawtrack/pkg/pool"
)

const (
	// detection is the time until membership shows a lost router.
	detection = 2 * time.Second
	// gossip is the time until an ordinary membership change is known.
	gossip = 200 * time.Millisecond
	// drainTime is more than the longest answer of a slow engine.
	drainTime = 3 * time.Minute
)

// decider is a pool.Owner or a baseline.
type decider interface {
	Ask(time.Time, pool.Ask)
	Cancel(now time.Time, r pool.RouterID, requestID uint64)
	Settle(time.Time, pool.Settle)
	HandleAnnouncement(time.Time, backend.Announcement)
	HandleHeldGrants(time.Time, pool.RouterID, []pool.HeldGrant)
	RemoveRouter(time.Time, pool.RouterID)
	SetKnownRouters(now time.Time, known, live, rank int)
	SetDataCentreOut(time.Time, bool)
	UpdatePrefixes(now time.Time, server string, stored, evicted []uint64)
	HandleSummary(time.Time, pool.Summary)
	HandleLoan(time.Time, pool.Loan)
	HandleLoanReturn(time.Time, pool.LoanReturn)
	Handover() pool.Handover
	AcceptHandover(time.Time, pool.Handover)
	Tick(time.Time)
	NextTick() time.Time
	TakeOutput() pool.Output
	Snapshot() pool.OwnerView
}

// router is a fake of a router process: it hosts real deciders and a real
// ledger, and keeps the requests of its callers.
type router struct {
	f         *fleet
	id        pool.RouterID
	dc        int
	up        bool
	draining  bool
	out       bool
	revision  uint64 // of out
	ledger    *fairshare.Ledger
	owners    map[string]*hosted // by pool
	live      []*router          // of the data centre, in this router's view
	current   map[string]*router // owner by pool, in this router's view
	ownerBoot map[string]uint64  // incarnation of that owner
	requests  map[uint64]*request
	sentTo    map[*router]uint64 // version of the totals sent last
}

type hosted struct {
	decider
	shard pool.ShardID
	epoch uint64
	timer int
	gone  bool
}

func (r *router) shard(p string) pool.ShardID {
	return pool.ShardID{DataCentre: r.id.DataCentre, Pool: p}
}

func (r *router) start() {
	r.id.Incarnation++
	r.up, r.draining, r.live = true, false, nil
	r.ledger = fairshare.NewLedger(fairshare.Origin{Name: r.id.Name, DataCentre: r.id.DataCentre, Incarnation: r.id.Incarnation})
	r.owners, r.current = map[string]*hosted{}, map[string]*router{}
	r.ownerBoot = map[string]uint64{}
	r.requests, r.sentTo = map[uint64]*request{}, map[*router]uint64{}
	boot := r.id.Incarnation
	aligned := exchangeInterval - time.Duration(r.f.now.UnixNano())%exchangeInterval
	r.f.every(aligned, exchangeInterval, func() bool {
		if !r.up || r.id.Incarnation != boot {
			return false
		}
		r.exchange()
		return true
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

// drain stops the router gracefully: it refuses what waits, others own its
// shards, and it ends when its last answer is whole. A router that still has
// open answers after drainTime cuts them off.
func (r *router) drain() {
	r.draining = true
	for _, q := range r.open() {
		if q.state == waiting {
			m := &apiv1.Cancel{Shard: peer.ShardToProto(r.shard(q.pool)), RequestId: q.id}
			r.toOwner(q.pool, wrap(m), func(d decider) { d.Cancel(r.f.now, r.id, q.id) })
			r.f.m.waiting[q.pool]--
			q.end()
			q.workspace.again(time.Second)
		}
	}
	r.f.membership(r.dc, gossip)
	boot := r.id.Incarnation
	r.f.after(drainTime, func() {
		if r.up && r.id.Incarnation == boot {
			r.f.m.cut += len(r.requests)
			r.stop()
		}
	})
}

func (r *router) stopIfDrained() {
	if r.up && r.draining && len(r.requests) == 0 {
		r.f.after(gossip, r.stop)
	}
}

// stop ends a drained router and starts it again.
func (r *router) stop() {
	if r.up && r.draining {
		r.f.restart(r, 3*time.Second, gossip)
	}
}

func (r *router) open() []*request {
	list := make([]*request, 0, len(r.requests))
	for _, q := range r.requests {
		list = append(list, q)
	}
	return sortRequests(list)
}

// view sets the live routers of the data centre and moves shards.
func (r *router) view(live []*router) {
	gone := slices.DeleteFunc(slices.Clone(r.live), func(x *router) bool { return slices.Contains(live, x) || x.draining })
	r.live = live
	for _, p := range r.f.pools {
		r.settleOwner(p, gone)
	}
}

func (r *router) settleOwner(p string, gone []*router) {
	owner := r.f.owner(r.live, p)
	old := r.owners[p]
	if owner == r && old == nil {
		r.f.epoch++
		r.owners[p] = &hosted{decider: r.f.newDecider(r.shard(p), r.f.epoch, r.ledger), shard: r.shard(p), epoch: r.f.epoch}
		r.owners[p].SetDataCentreOut(r.f.now, r.out)
	}
	if owner != r && old != nil {
		old.gone = true
		delete(r.owners, p)
		h := old.Handover()
		r.pump(old)
		r.f.send(r, owner, message{peer.HandoverToEnvelope(h), func(to *router) { to.with(p, func(d decider) { d.AcceptHandover(r.f.now, h) }) }})
	}
	r.with(p, func(d decider) {
		for _, x := range gone {
			d.RemoveRouter(r.f.now, x.id)
		}
		known := r.f.knownOf(r.dc)
		d.SetKnownRouters(r.f.now, len(known), len(r.live), slices.Index(known, r))
	})
	if r.current[p] != owner || r.ownerBoot[p] != owner.id.Incarnation {
		r.current[p], r.ownerBoot[p] = owner, owner.id.Incarnation
		r.reportTo(p)
	}
}

// with runs an input of the own decider of a pool and sends what follows.
func (r *router) with(p string, input func(decider)) {
	if h := r.owners[p]; h != nil {
		input(h)
		r.pump(h)
	}
}

// toOwner sends a message to the owner of the pool in the data centre.
func (r *router) toOwner(p string, env *apiv1.Envelope, input func(decider)) {
	if owner := r.current[p]; owner != nil {
		r.f.send(r, owner, message{env, func(to *router) { to.with(p, input) }})
	}
}

// reportTo sends held grants and waiting asks to a new owner.
func (r *router) reportTo(p string) {
	var held []pool.HeldGrant
	for _, q := range r.open() {
		if q.pool == p && q.state == running {
			held = append(held, pool.HeldGrant{Router: r.id, GrantID: q.grant.GrantID, Epoch: q.grant.Epoch, RequestID: q.id,
				Server: q.grant.Server, Workspace: q.workspace.name, Class: q.class.Name, EstimateUnits: q.cost()})
		}
	}
	id := r.id
	r.toOwner(p, peer.HeldGrantsToEnvelope(r.shard(p), held), func(d decider) { d.HandleHeldGrants(r.f.now, id, held) })
	for _, q := range r.open() {
		if q.pool == p && q.state == waiting {
			r.ask(q)
		}
	}
}

func (r *router) ask(q *request) {
	a := pool.Ask{Router: r.id, RequestID: q.id, Workspace: q.workspace.name, Class: q.class, Arrived: q.arrived,
		HintUnits: q.hint, PromptUnits: uint32(q.prompt), PrefixHash: q.prefix, Avoid: q.avoid}
	r.toOwner(q.pool, peer.AskToEnvelope(r.shard(q.pool), a, r.f.now), func(d decider) { d.Ask(r.f.now, a) })
}

func (r *router) settle(p string, s pool.Settle) {
	r.toOwner(p, wrap(peer.SettleToProto(r.shard(p), s)), func(d decider) { d.Settle(r.f.now, s) })
}

// pump sends the outputs of a decider and sets its timer.
func (r *router) pump(h *hosted) {
	out, p := h.TakeOutput(), h.shard.Pool
	for _, g := range out.Grants {
		r.toRouter(g.Router, wrap(peer.GrantToProto(h.shard, g)), func(to *router) { to.granted(p, g) })
	}
	for _, x := range out.Refusals {
		r.toRouter(x.Router, wrap(peer.RefusalToProto(h.shard, x)), func(to *router) { to.refused(x) })
	}
	for _, l := range out.Loans {
		r.toShard(l.To, wrap(peer.LoanToProto(l)), func(d decider) { d.HandleLoan(r.f.now, l) })
	}
	for _, x := range out.LoanReturns {
		r.toShard(x.To, wrap(peer.LoanReturnToProto(x)), func(d decider) { d.HandleLoanReturn(r.f.now, x) })
	}
	for _, s := range out.Summaries {
		for dc := range r.f.d.centres {
			if dc != r.dc {
				r.toShard(pool.ShardID{DataCentre: dcName(dc), Pool: p}, wrap(peer.SummaryToProto(s)), func(d decider) { d.HandleSummary(r.f.now, s) })
			}
		}
	}
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

func (r *router) toRouter(id pool.RouterID, env *apiv1.Envelope, deliver func(*router)) {
	for _, to := range r.f.routers {
		if to.id == id && to.up {
			r.f.send(r, to, message{env, deliver})
		}
	}
}

func (r *router) toShard(s pool.ShardID, env *apiv1.Envelope, input func(decider)) {
	var newest *router // two owners may be cut off from each other
	for _, to := range r.f.routers {
		h := to.owners[s.Pool]
		if h != nil && h.shard == s && r.f.linked(r, to) && (newest == nil || h.epoch > newest.owners[s.Pool].epoch) {
			newest = to
		}
	}
	if newest != nil {
		r.f.send(r, newest, message{env, func(to *router) { to.with(s.Pool, input) }})
	}
}

// exchange sends the changed totals to every router.
func (r *router) exchange() {
	origin := r.ledger.Origin()
	for _, to := range r.f.routers {
		if to == r || r.f.policy != present {
			continue
		}
		if !r.f.linked(r, to) {
			r.sentTo[to] = 0
			continue
		}
		full := r.sentTo[to] == 0
		totals, version := r.ledger.OwnTotalsSince(r.sentTo[to])
		r.sentTo[to] = version
		if len(totals) == 0 {
			continue
		}
		slices.SortFunc(totals, func(a, b fairshare.ServiceTotal) int { return strings.Compare(a.Workspace, b.Workspace) })
		m := &apiv1.Totals{Origin: peer.RouterToProto(pool.RouterID(origin)), Full: full}
		for _, t := range totals {
			m.Totals = append(m.Totals, &apiv1.WorkspaceTotal{Workspace: t.Workspace, Units: t.Units})
		}
		r.f.send(r, to, message{wrap(m), func(to *router) { to.ledger.Merge(origin, totals, full) }})
	}
}
