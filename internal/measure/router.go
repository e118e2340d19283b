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
	// failureDetectionTime is the time until membership detects a failed
	// router.
	failureDetectionTime = 2 * time.Second
	// membershipSpreadTime is the time until all routers know of a join or a
	// graceful leave.
	membershipSpreadTime = 200 * time.Millisecond
	// maxDrainTime exceeds the duration of the longest answer of a slow engine.
	maxDrainTime = 3 * time.Minute
)

// poolOwner is a pool.Owner or the owner of a baseline policy.
type poolOwner interface {
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

// router simulates a router process: it hosts real pool owners and a real
// service ledger, and holds the open requests of its callers.
type router struct {
	f                  *fleet
	id                 pool.RouterID
	dc                 int
	up                 bool
	draining           bool
	out                bool   // the data centre is taken out
	revision           uint64 // configuration revision of out
	ledger             *fairshare.Ledger
	owners             map[string]*hostedOwner // by pool
	liveRouters        []*router               // live routers of the data centre in the membership view of this router
	currentOwners      map[string]*router      // owner by pool in the membership view of this router
	ownerIncarnations  map[string]uint64       // incarnation of the current owner by pool
	requests           map[uint64]*request     // open requests by id
	sentTotalsVersions map[*router]uint64      // ledger version of the last totals sent to each router
}

// hostedOwner is a pool owner with its shard at a router.
type hostedOwner struct {
	poolOwner
	shard           pool.ShardID
	epoch           uint64
	timerGeneration int  // only the timer set last may fire
	stopped         bool // the shard was handed over or the router was killed
}

func (r *router) shard(p string) pool.ShardID {
	return pool.ShardID{DataCentre: r.id.DataCentre, Pool: p}
}

// start begins a new incarnation of the router with empty state.
func (r *router) start() {
	r.id.Incarnation++
	r.up, r.draining, r.liveRouters = true, false, nil
	r.ledger = fairshare.NewLedger(fairshare.Origin{Name: r.id.Name, DataCentre: r.id.DataCentre, Incarnation: r.id.Incarnation})
	r.owners, r.currentOwners = map[string]*hostedOwner{}, map[string]*router{}
	r.ownerIncarnations = map[string]uint64{}
	r.requests, r.sentTotalsVersions = map[uint64]*request{}, map[*router]uint64{}
	incarnation := r.id.Incarnation
	aligned := exchangeInterval - time.Duration(r.f.now.UnixNano())%exchangeInterval
	r.f.every(aligned, exchangeInterval, func() bool {
		if !r.up || r.id.Incarnation != incarnation {
			return false
		}
		r.sendTotals()
		return true
	})
}

// kill stops the router. Its open streams and its state are lost.
func (r *router) kill() {
	r.up = false
	for _, q := range r.openRequests() {
		q.handleRouterLoss()
	}
	for _, h := range r.owners {
		h.stopped = true
	}
}

// drain stops the router gracefully: it refuses waiting requests, other routers
// take over its shards, and it restarts after its last answer is complete.
// Answers that are still open after maxDrainTime are cut.
func (r *router) drain() {
	r.draining = true
	for _, q := range r.openRequests() {
		if q.state == waiting {
			m := &apiv1.Cancel{Shard: peer.ShardToProto(r.shard(q.pool)), RequestId: q.id}
			r.sendToOwner(q.pool, toEnvelope(m), func(d poolOwner) { d.Cancel(r.f.now, r.id, q.id) })
			r.f.metrics.waiting[q.pool]--
			q.end()
			q.workspace.replaceRequest(time.Second)
		}
	}
	r.f.scheduleMembershipUpdate(r.dc, membershipSpreadTime)
	incarnation := r.id.Incarnation
	r.f.after(maxDrainTime, func() {
		if r.up && r.id.Incarnation == incarnation {
			r.f.metrics.cutAnswers += len(r.requests)
			r.restartDrained()
		}
	})
}

// restartIfDrained restarts a draining router that has no open requests.
func (r *router) restartIfDrained() {
	if r.up && r.draining && len(r.requests) == 0 {
		r.f.after(membershipSpreadTime, r.restartDrained)
	}
}

// restartDrained stops a draining router and starts it again.
func (r *router) restartDrained() {
	if r.up && r.draining {
		r.f.restart(r, 3*time.Second, membershipSpreadTime)
	}
}

// openRequests returns the waiting and running requests by id.
func (r *router) openRequests() []*request {
	list := make([]*request, 0, len(r.requests))
	for _, q := range r.requests {
		list = append(list, q)
	}
	return sortRequests(list)
}

// setLiveRouters replaces the membership view of the router and updates the
// owners of all pools.
func (r *router) setLiveRouters(liveRouters []*router) {
	lostRouters := slices.DeleteFunc(slices.Clone(r.liveRouters), func(x *router) bool { return slices.Contains(liveRouters, x) || x.draining })
	r.liveRouters = liveRouters
	for _, p := range r.f.pools {
		r.updateOwner(p, lostRouters)
	}
}

// updateOwner takes over or hands over the shard of a pool after a membership
// change, and reports held grants and waiting asks to a new owner.
func (r *router) updateOwner(p string, lostRouters []*router) {
	owner := r.f.owner(r.liveRouters, p)
	old := r.owners[p]
	if owner == r && old == nil {
		r.f.lastEpoch++
		r.owners[p] = &hostedOwner{poolOwner: r.f.newPoolOwner(r.shard(p), r.f.lastEpoch, r.ledger), shard: r.shard(p), epoch: r.f.lastEpoch}
		r.owners[p].SetDataCentreOut(r.f.now, r.out)
	}
	if owner != r && old != nil {
		old.stopped = true
		delete(r.owners, p)
		h := old.Handover()
		r.sendOutput(old)
		r.f.enqueue(r, owner, message{peer.HandoverToEnvelope(h), func(to *router) { to.withOwner(p, func(d poolOwner) { d.AcceptHandover(r.f.now, h) }) }})
	}
	r.withOwner(p, func(d poolOwner) {
		for _, x := range lostRouters {
			d.RemoveRouter(r.f.now, x.id)
		}
		known := r.f.knownRouters(r.dc)
		d.SetKnownRouters(r.f.now, len(known), len(r.liveRouters), slices.Index(known, r))
	})
	if r.currentOwners[p] != owner || r.ownerIncarnations[p] != owner.id.Incarnation {
		r.currentOwners[p], r.ownerIncarnations[p] = owner, owner.id.Incarnation
		r.reportToOwner(p)
	}
}

// withOwner applies an input to the owner that this router hosts for a pool, if
// any, and sends the resulting output.
func (r *router) withOwner(p string, input func(poolOwner)) {
	if h := r.owners[p]; h != nil {
		input(h)
		r.sendOutput(h)
	}
}

// sendToOwner sends a message to the owner of a pool in the router's data
// centre.
func (r *router) sendToOwner(p string, env *apiv1.Envelope, input func(poolOwner)) {
	if owner := r.currentOwners[p]; owner != nil {
		r.f.enqueue(r, owner, message{env, func(to *router) { to.withOwner(p, input) }})
	}
}

// reportToOwner sends the held grants and the waiting asks for a pool to its
// owner.
func (r *router) reportToOwner(p string) {
	var held []pool.HeldGrant
	for _, q := range r.openRequests() {
		if q.pool == p && q.state == running {
			held = append(held, pool.HeldGrant{Router: r.id, GrantID: q.grant.GrantID, Epoch: q.grant.Epoch, RequestID: q.id,
				Server: q.grant.Server, Workspace: q.workspace.name, Class: q.class.Name, EstimateUnits: q.cost()})
		}
	}
	id := r.id
	r.sendToOwner(p, peer.HeldGrantsToEnvelope(r.shard(p), held), func(d poolOwner) { d.HandleHeldGrants(r.f.now, id, held) })
	for _, q := range r.openRequests() {
		if q.pool == p && q.state == waiting {
			r.ask(q)
		}
	}
}

func (r *router) ask(q *request) {
	a := pool.Ask{Router: r.id, RequestID: q.id, Workspace: q.workspace.name, Class: q.class, Arrived: q.arrivedAt,
		HintUnits: q.hint, PromptUnits: uint32(q.prompt), PrefixHash: q.prefix, Avoid: q.avoid}
	r.sendToOwner(q.pool, peer.AskToEnvelope(r.shard(q.pool), a, r.f.now), func(d poolOwner) { d.Ask(r.f.now, a) })
}

func (r *router) settle(p string, s pool.Settle) {
	r.sendToOwner(p, toEnvelope(peer.SettleToProto(r.shard(p), s)), func(d poolOwner) { d.Settle(r.f.now, s) })
}

// sendOutput sends the pending output of an owner and, unless the owner is
// stopped, sets the timer for its next tick.
func (r *router) sendOutput(h *hostedOwner) {
	out, p := h.TakeOutput(), h.shard.Pool
	for _, g := range out.Grants {
		r.sendToRouter(g.Router, toEnvelope(peer.GrantToProto(h.shard, g)), func(to *router) { to.handleGrant(p, g) })
	}
	for _, x := range out.Refusals {
		r.sendToRouter(x.Router, toEnvelope(peer.RefusalToProto(h.shard, x)), func(to *router) { to.handleRefusal(x) })
	}
	for _, l := range out.Loans {
		r.sendToShardOwner(l.To, toEnvelope(peer.LoanToProto(l)), func(d poolOwner) { d.HandleLoan(r.f.now, l) })
	}
	for _, x := range out.LoanReturns {
		r.sendToShardOwner(x.To, toEnvelope(peer.LoanReturnToProto(x)), func(d poolOwner) { d.HandleLoanReturn(r.f.now, x) })
	}
	for _, s := range out.Summaries {
		for dc := range r.f.spec.dataCentres {
			if dc != r.dc {
				r.sendToShardOwner(pool.ShardID{DataCentre: dataCentreName(dc), Pool: p}, toEnvelope(peer.SummaryToProto(s)), func(d poolOwner) { d.HandleSummary(r.f.now, s) })
			}
		}
	}
	if h.stopped {
		return
	}
	h.timerGeneration++
	timerGeneration := h.timerGeneration
	r.f.at(h.NextTick(), func() {
		if h.timerGeneration == timerGeneration && !h.stopped && r.up {
			h.Tick(r.f.now)
			r.sendOutput(h)
		}
	})
}

func (r *router) sendToRouter(id pool.RouterID, env *apiv1.Envelope, deliver func(*router)) {
	for _, to := range r.f.routers {
		if to.id == id && to.up {
			r.f.enqueue(r, to, message{env, deliver})
		}
	}
}

// sendToShardOwner sends a message to the reachable owner of a shard that has
// the highest epoch. The message is lost if there is none.
func (r *router) sendToShardOwner(s pool.ShardID, env *apiv1.Envelope, input func(poolOwner)) {
	var newest *router // a partition can leave two owners of a shard
	for _, to := range r.f.routers {
		h := to.owners[s.Pool]
		if h != nil && h.shard == s && r.f.connected(r, to) && (newest == nil || h.epoch > newest.owners[s.Pool].epoch) {
			newest = to
		}
	}
	if newest != nil {
		r.f.enqueue(r, newest, message{env, func(to *router) { to.withOwner(s.Pool, input) }})
	}
}

// sendTotals sends each connected router the service totals changed since the
// last exchange, or all totals on a new connection. The baseline policies
// exchange no totals.
func (r *router) sendTotals() {
	origin := r.ledger.Origin()
	for _, to := range r.f.routers {
		if to == r || r.f.policy != policyCurrent {
			continue
		}
		if !r.f.connected(r, to) {
			r.sentTotalsVersions[to] = 0
			continue
		}
		full := r.sentTotalsVersions[to] == 0
		totals, version := r.ledger.OwnTotalsSince(r.sentTotalsVersions[to])
		r.sentTotalsVersions[to] = version
		if len(totals) == 0 {
			continue
		}
		slices.SortFunc(totals, func(a, b fairshare.ServiceTotal) int { return strings.Compare(a.Workspace, b.Workspace) })
		m := &apiv1.Totals{Origin: peer.RouterToProto(pool.RouterID(origin)), Full: full}
		for _, t := range totals {
			m.Totals = append(m.Totals, &apiv1.WorkspaceTotal{Workspace: t.Workspace, Units: t.Units})
		}
		r.f.enqueue(r, to, message{toEnvelope(m), func(to *router) { to.ledger.Merge(origin, totals, full) }})
	}
}
