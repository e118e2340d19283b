package pool

import (
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/class"
	"jackdawtrack.example/jackdawtrack/pkg/fairshare"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// requestKey identifies one request of one router incarnation.
type requestKey struct {
	router RouterID
	id     uint64
}

// grantKey identifies one grant. Grants of an earlier owner keep its epoch.
type grantKey struct {
	epoch uint64
	id    uint64
}

// waitingAsk is one ask in the fair-share queue.
type waitingAsk struct {
	fairshare.Item
	ask         Ask
	expiryNanos int64 // Unix time in ns at which the ask is refused
	heapIndex   int   // index in Owner.expiry
	takeUp      waitingTakeUp
	isUrgent    bool // served before classes that may wait: of another class, or goes ahead
}

// grant is one slot in use by a request of this shard.
type grant struct {
	key           grantKey
	request       requestKey
	server        *server       // nil if the slot is borrowed or the server is not known
	loan          *borrowedSlot // nil if the slot is not borrowed
	flow          *fairshare.Flow
	class         class.Class
	hintUnits     uint64 // cost hint of the caller, 0 if none
	promptUnits   uint32
	estimateUnits uint64    // charged cost
	takeUpUnits   float64   // charged to the bound of take-ups
	rateCharged   bool      // counts against the limit that the server has stated
	granted       time.Time // when this owner made or learned of the grant
	message       Grant     // repeated if the router asks again
}

// Owner grants the slots of one pool shard.
type Owner struct {
	id          ShardID
	epoch       uint64
	cfg         Config
	ledger      *fairshare.Ledger
	costs       *fairshare.CostEstimator
	queue       *fairshare.Queue
	startedAt   time.Time // start or handover; older load reports do not show all work
	recoveryEnd time.Time // no grants before this time
	handedOver  bool      // Handover was called, nothing is granted any more

	waitingAsk    map[requestKey]*waitingAsk
	expiry        expiryHeap
	waitingUrgent int           // waiting asks with isUrgent
	freeAsks      []*waitingAsk // for reuse
	skipped       []*waitingAsk // set aside until the end of the dispatch round
	takeUps       takeUpOrder

	grants     map[grantKey]*grant
	granted    map[requestKey]*grant // the same grants by request
	freeGrants []*grant              // for reuse
	lastGrant  uint64                // id

	servers           map[string]*server
	rates             map[string]*requestRate // by server name, also of servers not announced yet
	limited           []*server               // those that have stated a limit
	serversByNumber   []*server               // index is server.number; removed servers stay
	slotsByModel      []int                   // sum of the limits of the usable servers, by model index
	heapsByModel      []serverHeap
	indexByModel      map[string]int // 0 for the pool itself
	prefixes          prefixTable
	out               bool            // operators have taken the data centre out
	departed          map[string]bool // servers that operators have withdrawn, by name
	orderPending      map[string]bool // servers with a pending placement order, by name
	offeredUnits      uint64          // estimated service units of all asks so far
	lastInteractive   time.Time       // last ask of an interactive class
	known             int             // routers of the data centre, live or not
	live              int             // live routers of the data centre
	rank              int             // of this router by name among the known ones, from 0
	inFlight          int             // slots in use on the servers of this shard
	stats             stats
	routersReported   map[RouterID]bool // routers that have listed their held grants
	latestIncarnation map[string]uint64 // by router name
	peers             map[ShardID]*peer
	lentSlots         map[uint64]*lentSlots // by loan id
	lastLoan          uint64                // id
	summaryCheckedAt  time.Time             // when sendSummaryIfDue last compared a summary
	summarySentAt     time.Time
	lastSummary       Summary
	loansSinceSummary uint32       // borrowed slots used since lastSummary
	loanConfirmations []LoanReturn // sent with the next summary
	peerFloorSeen     bool         // a summary of a peer with waiting asks has been used
	housekeepingAt    time.Time    // last time Tick did the periodic work

	hasFreeSlotFunc func(int) bool // hasFreeSlot, created once to save allocations
	now             time.Time      // time of the present input
	outbox          Output
}

// NewOwner returns the owner of a shard. It grants nothing before
// cfg.RecoveryWait has passed or a handover has been accepted.
func NewOwner(id ShardID, epoch uint64, cfg Config, ledger *fairshare.Ledger, now time.Time) *Owner {
	o := &Owner{
		id:                id,
		epoch:             epoch,
		cfg:               cfg,
		ledger:            ledger,
		costs:             fairshare.NewCostEstimator(),
		queue:             fairshare.NewQueue(cfg.FairShare, ledger),
		startedAt:         now,
		recoveryEnd:       now.Add(cfg.RecoveryWait),
		waitingAsk:        map[requestKey]*waitingAsk{},
		grants:            map[grantKey]*grant{},
		granted:           map[requestKey]*grant{},
		servers:           map[string]*server{},
		rates:             map[string]*requestRate{},
		indexByModel:      map[string]int{"": 0, id.Pool: 0},
		heapsByModel:      make([]serverHeap, 1),
		slotsByModel:      make([]int, 1),
		departed:          map[string]bool{},
		orderPending:      map[string]bool{},
		known:             1,
		live:              1,
		routersReported:   map[RouterID]bool{},
		latestIncarnation: map[string]uint64{},
		peers:             map[ShardID]*peer{},
		lentSlots:         map[uint64]*lentSlots{},
	}
	o.hasFreeSlotFunc = func(l int) bool { return o.hasFreeSlot(l) }
	return o
}

// ID returns the id of the shard.
func (o *Owner) ID() ShardID { return o.id }

// Epoch returns the epoch in which this owner grants.
func (o *Owner) Epoch() uint64 { return o.epoch }

// TakeOutput returns the collected outputs and clears them. The caller owns the
// returned slices.
func (o *Owner) TakeOutput() Output {
	out := o.outbox
	o.outbox = Output{}
	return out
}

// TakeOutputInto appends the collected outputs to the slices of out and clears
// them. It allows the caller to reuse the slices.
func (o *Owner) TakeOutputInto(out *Output) {
	out.Grants = append(out.Grants, o.outbox.Grants...)
	out.Refusals = append(out.Refusals, o.outbox.Refusals...)
	out.Loans = append(out.Loans, o.outbox.Loans...)
	out.LoanReturns = append(out.LoanReturns, o.outbox.LoanReturns...)
	out.Summaries = append(out.Summaries, o.outbox.Summaries...)
	out.ForwardedLimits = append(out.ForwardedLimits, o.outbox.ForwardedLimits...)
	out.LimitChanges = append(out.LimitChanges, o.outbox.LimitChanges...)
	b := &o.outbox
	b.Grants, b.Refusals, b.Loans = b.Grants[:0], b.Refusals[:0], b.Loans[:0]
	b.LoanReturns, b.Summaries = b.LoanReturns[:0], b.Summaries[:0]
	b.ForwardedLimits, b.LimitChanges = b.ForwardedLimits[:0], b.LimitChanges[:0]
}

// Ask grants a slot, queues the ask or refuses it. A repeated ask that still
// waits only updates its avoided servers; one that has been granted gets the
// same grant again.
func (o *Owner) Ask(now time.Time, a Ask) {
	if o.handedOver {
		return
	}
	o.now = now
	o.endEarlierIncarnations(a.Router)
	o.refreshLimited()
	if a.SendTo != "" {
		o.askToSend(&a)
		return
	}
	key := requestKey{a.Router, a.RequestID}
	if g := o.granted[key]; g != nil {
		if g.message.Address != "" {
			o.outbox.Grants = append(o.outbox.Grants, g.message)
			return
		}
		// An earlier owner granted a server of another data centre, which this
		// owner does not know, and the grant did not reach the router.
		o.settleGrant(g, Settle{GrantID: g.key.id, Epoch: g.key.epoch, Outcome: OutcomeUnused})
	}
	if w := o.waitingAsk[key]; w != nil {
		w.ask.Avoid = a.Avoid
		return
	}
	o.countDemand(&a)
	flow := o.queue.Flow(a.Workspace)
	var displaced *waitingAsk
	if flow.Waiting() >= o.cfg.MaxWaitingPerWorkspace || o.queue.Len() >= o.cfg.MaxWaitingTotal {
		if displaced = o.displaceable(&a, flow); displaced == nil {
			o.refuse(key, result.QueueFull, o.nextSlotDelay(flow))
			return
		}
	}
	modelIndex, ok := o.modelIndex(a.Model)
	if !ok {
		o.refuse(key, result.UnknownModel, summaryMaxAge)
		return
	}
	if code, retryAfter, refused := o.earlyRefusal(&a, flow, modelIndex); refused {
		o.refuse(key, code, retryAfter)
		return
	}
	if displaced != nil {
		o.displace(displaced)
	}
	o.enqueue(key, &a, flow, modelIndex)
	o.dispatch()
}

func (o *Owner) enqueue(key requestKey, a *Ask, flow *fairshare.Flow, modelIndex int) {
	w := o.allocAsk()
	w.ask = *a
	w.Deadline, w.ModelIndex, w.Request = queueDeadline(a), modelIndex, w
	w.expiryNanos = o.expiryNanos(a)
	o.waitingAsk[key] = w
	o.expiry.push(w)
	ahead := o.mayGoAhead(a, flow)
	w.isUrgent = ahead || !a.Class.MayWait
	if w.isUrgent {
		o.waitingUrgent++
	}
	o.queue.Push(o.now, flow, &w.Item)
	if ahead {
		o.sendAhead(w, flow)
	}
}

// queueDeadline returns the deadline in Unix ns by which the queue orders
// requests. For a class that may wait it is the end of its longest wait: under
// a backlog its target can be long past, and late drafts would be served before
// all chat replies.
func queueDeadline(a *Ask) int64 {
	if a.Class.MayWait {
		return a.Arrived.Add(max(a.Class.LongestWait(), a.Class.ResponseTarget())).UnixNano()
	}
	return a.Class.Deadline(a.Arrived).UnixNano()
}

// expiryNanos returns the Unix time in ns at which the ask is refused. A class
// that may not wait is refused as soon as its first token target can no longer
// be met.
func (o *Owner) expiryNanos(a *Ask) int64 {
	if a.Class.MayWait {
		return a.Arrived.Add(a.Class.LongestWait()).UnixNano()
	}
	return a.Class.Deadline(a.Arrived).Add(-o.stats.expectedFirstToken(&a.Class)).UnixNano()
}

// removeWaiting removes a waiting ask from the queue and recycles its memory.
func (o *Owner) removeWaiting(w *waitingAsk, granted bool) {
	delete(o.waitingAsk, requestKey{w.ask.Router, w.ask.RequestID})
	o.removeTakeUp(w, o.queue.Flow(w.ask.Workspace), granted)
	o.queue.Remove(&w.Item)
	o.expiry.remove(w)
	if w.isUrgent {
		o.waitingUrgent--
	}
	w.ask = Ask{}
	o.freeAsks = append(o.freeAsks, w)
}

func (o *Owner) allocAsk() *waitingAsk {
	if n := len(o.freeAsks); n > 0 {
		w := o.freeAsks[n-1]
		o.freeAsks = o.freeAsks[:n-1]
		return w
	}
	return &waitingAsk{}
}

// refuse sends a refusal. retryAfter is limited to minRetryAfter and
// maxRetryAfter.
func (o *Owner) refuse(key requestKey, code result.Code, retryAfter time.Duration) {
	o.outbox.Refusals = append(o.outbox.Refusals, Refusal{
		Router:     key.router,
		RequestID:  key.id,
		Code:       code,
		RetryAfter: min(max(retryAfter, minRetryAfter), maxRetryAfter),
	})
}

// Cancel removes a waiting ask, or returns its grant unused.
func (o *Owner) Cancel(now time.Time, router RouterID, requestID uint64) {
	o.now = now
	key := requestKey{router, requestID}
	if w := o.waitingAsk[key]; w != nil {
		o.removeWaiting(w, false)
		return
	}
	if g := o.granted[key]; g != nil {
		o.settleGrant(g, Settle{GrantID: g.key.id, Epoch: g.key.epoch, Outcome: OutcomeUnused})
		o.dispatch()
		return
	}
	o.cancelSend(key)
}

// Settle ends a grant and returns its slot. It ignores unknown grants.
func (o *Owner) Settle(now time.Time, s Settle) {
	o.now = now
	g := o.grants[grantKey{s.Epoch, s.GrantID}]
	if g == nil {
		return
	}
	o.settleGrant(g, s)
	o.dispatch()
}

// RemoveRouter removes the asks and the grants of a router that is not live.
// Its requests on cold servers may still run, so their slots stay counted until
// a load report shows that they have ended.
func (o *Owner) RemoveRouter(now time.Time, router RouterID) {
	o.now = now
	o.dropRouters(func(id RouterID) bool { return id == router })
	o.dispatch()
}

// dropRouters removes the asks and ends the grants of the routers that match.
func (o *Owner) dropRouters(matches func(RouterID) bool) {
	for id := range o.routersReported {
		if matches(id) {
			delete(o.routersReported, id)
		}
	}
	for _, w := range o.waitingAsk {
		if matches(w.ask.Router) {
			o.removeWaiting(w, false)
		}
	}
	for _, g := range o.sortedGrants() {
		if matches(g.request.router) {
			o.orphanGrant(g)
		}
	}
}

// endEarlierIncarnations removes the asks and grants of earlier incarnations of
// the router. RemoveRouter is not called for a router that restarts before the
// membership detects its failure.
func (o *Owner) endEarlierIncarnations(r RouterID) {
	if o.latestIncarnation[r.Name] >= r.Incarnation {
		return
	}
	o.latestIncarnation[r.Name] = r.Incarnation
	o.dropRouters(func(id RouterID) bool { return id.Name == r.Name && id.Incarnation < r.Incarnation })
}

// SetKnownRouters sets the number of known and of live routers of the data
// centre and the rank of this router by name among the known ones, from 0. They
// determine its share of the limit of each server.
func (o *Owner) SetKnownRouters(now time.Time, known, live, rank int) {
	o.now = now
	o.known, o.live, o.rank = max(known, 1), live, rank
	for _, s := range o.servers {
		s.limit.SetKnownRouters(now, o.known, o.live, o.rank)
		o.reposition(s)
	}
	o.dispatch()
}

// dispatch grants and lends slots until no slot is free or nothing waits. Asks
// that no free server may take go back to the queue at the end.
func (o *Owner) dispatch() {
	if o.handedOver || o.now.Before(o.recoveryEnd) {
		return
	}
	o.refreshLimited()
	for o.grantOrLend() {
	}
	for _, w := range o.skipped {
		o.queue.Requeue(o.now, o.queue.Flow(w.ask.Workspace), &w.Item)
	}
	o.skipped = o.skipped[:0]
}

// grantOrLend makes one grant or loan, or sets one ask aside. It reports
// whether there may be more to do.
func (o *Owner) grantOrLend() bool {
	candidate, ahead := o.nextAsk(o.hasFreeSlotFunc, isNotSkipped)
	if !ahead && o.tryLend(candidate) {
		return true
	}
	if candidate == nil {
		return false
	}
	if s := o.chooseServer(candidate); s != nil {
		o.grantSlot(candidate, s, nil, ahead)
		return true
	}
	o.queue.Remove(&candidate.Item)
	o.skipped = append(o.skipped, candidate)
	return len(o.skipped) < maxSkipped
}

// isNotSkipped reports whether an ask is not set aside.
func isNotSkipped(w *waitingAsk) bool { return w.IsQueued() }

// grantSlot grants a waiting ask the borrowed slot b, or a slot of server s if b
// is nil. ahead states whether the ask goes ahead of a new one.
func (o *Owner) grantSlot(w *waitingAsk, s *server, b *borrowedSlot, ahead bool) {
	g := o.allocGrant()
	o.lastGrant++
	g.key = grantKey{o.epoch, o.lastGrant}
	g.request = requestKey{w.ask.Router, w.ask.RequestID}
	g.flow, g.class, g.granted = o.queue.Flow(w.ask.Workspace), w.ask.Class, o.now
	g.hintUnits, g.promptUnits = w.ask.HintUnits, w.ask.PromptUnits
	g.estimateUnits = o.costs.Estimate(w.ask.Workspace, w.ask.Class.Name, g.hintUnits, g.promptUnits)
	g.message = Grant{Router: w.ask.Router, RequestID: w.ask.RequestID, GrantID: g.key.id, Epoch: g.key.epoch, EstimateUnits: g.estimateUnits}
	if b != nil {
		g.loan = b
		g.message.Server, g.message.Address, g.message.BootID = b.loan.Server, b.loan.Address, b.loan.BootID
		g.message.Abilities, g.message.Limited = b.loan.Abilities, b.loan.Limited
	} else {
		g.message.Limited = s.isLimited()
		g.rateCharged = o.takeRequest(s)
		o.occupySlot(g, s)
		o.prefixes.addHolder(w.ask.PrefixHash, s.number)
		g.message.Server, g.message.Address, g.message.BootID = s.announcement.Name, s.announcement.Address, s.announcement.BootID
		g.message.Abilities = s.announcement.Abilities
	}
	g.takeUpUnits = w.takeUp.units
	o.recordOrder(w, ahead, g.estimateUnits)
	o.removeWaiting(w, true)
	o.ledger.Charge(g.flow.Account(), g.estimateUnits)
	o.queue.RecordGrant(o.now, g.flow)
	o.grants[g.key], o.granted[g.request] = g, g
	o.outbox.Grants = append(o.outbox.Grants, g.message)
}

func (o *Owner) allocGrant() *grant {
	if n := len(o.freeGrants); n > 0 {
		g := o.freeGrants[n-1]
		o.freeGrants = o.freeGrants[:n-1]
		return g
	}
	return &grant{}
}
