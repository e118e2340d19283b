package pool

import (
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/class"
	"jackdawtrack.example/jackdawtrack/pkg/fairshare"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// requestKey names one request of one router incarnation.
type requestKey struct {
	router RouterID
	id     uint64
}

// grantKey names one grant. Grants of an earlier owner keep their epoch.
type grantKey struct {
	epoch uint64
	id    uint64
}

// waiting is one ask in the queue.
type waiting struct {
	fairshare.Item
	ask     Ask
	expires int64 // ns
	timer   int   // index in the expiry heap
}

// grant is one slot in use by a request of this owner.
type grant struct {
	key      grantKey
	request  requestKey
	server   *server // nil if the server is borrowed or unknown
	loan     *borrowed
	flow     *fairshare.Flow
	class    class.Class
	hint     uint64
	prompt   uint32
	estimate uint64
	granted  time.Time
	sent     Grant
}

// Owner decides for one pool shard.
type Owner struct {
	id      ShardID
	epoch   uint64
	cfg     Config
	ledger  *fairshare.Ledger
	costs   *fairshare.Estimates
	queue   *fairshare.Queue
	started time.Time // reports taken before do not show all work
	opens   time.Time // no grant before
	closed  bool      // handed over

	waiting map[requestKey]*waiting
	expiry  expiryHeap
	urgent  int        // waiting asks of classes that may not wait
	free    []*waiting // reused
	aside   []*waiting

	grants    map[grantKey]*grant
	granted   map[requestKey]*grant
	freeGrant []*grant
	lastGrant uint64

	servers     map[string]*server
	numbered    []*server // by number
	laneSlots   []int     // usable slots per lane
	lanes       []serverHeap
	laneOf      map[string]int
	prefixes    prefixTable
	out         bool
	departed    map[string]bool
	ordered     map[string]bool // under an order
	offered     uint64          // service units
	lastUrgent  time.Time
	known       int
	live        int
	rank        int
	inFlight    int // on own servers
	stats       stats
	reported    map[RouterID]bool // routers that listed their grants
	latest      map[string]uint64 // incarnation by router name
	peers       map[ShardID]*peer
	lent        map[uint64]*lent
	lastLoan    uint64
	summaryAt   time.Time // last time a summary was considered
	summarySent time.Time
	lastSummary Summary
	loansSince  uint32       // loans used since the last summary
	acks        []LoanReturn // confirmations that leave with the next summary
	firstPeer   bool         // a summary has been received
	swept       time.Time    // last housekeeping

	laneUsable func(int) bool
	now        time.Time // of the present input
	outbox     Output
}

// NewOwner returns the owner of a shard. It grants nothing before the recovery
// wait has passed or a hand-over has been accepted.
func NewOwner(id ShardID, epoch uint64, cfg Config, ledger *fairshare.Ledger, now time.Time) *Owner {
	o := &Owner{
		id:        id,
		epoch:     epoch,
		cfg:       cfg,
		ledger:    ledger,
		costs:     fairshare.NewEstimates(),
		queue:     fairshare.NewQueue(cfg.Fair, ledger),
		started:   now,
		opens:     now.Add(cfg.RecoveryWait),
		waiting:   map[requestKey]*waiting{},
		grants:    map[grantKey]*grant{},
		granted:   map[requestKey]*grant{},
		servers:   map[string]*server{},
		laneOf:    map[string]int{"": 0, id.Pool: 0},
		lanes:     make([]serverHeap, 1),
		laneSlots: make([]int, 1),
		departed:  map[string]bool{},
		ordered:   map[string]bool{},
		known:     1,
		live:      1,
		reported:  map[RouterID]bool{},
		latest:    map[string]uint64{},
		peers:     map[ShardID]*peer{},
		lent:      map[uint64]*lent{},
	}
	o.laneUsable = func(l int) bool { return o.laneFree(l) }
	return o
}

// ID returns the shard.
func (o *Owner) ID() ShardID { return o.id }

// Epoch returns the epoch in which this owner grants.
func (o *Owner) Epoch() uint64 { return o.epoch }

// Take returns the collected outputs. The caller owns them.
func (o *Owner) Take() Output {
	out := o.outbox
	o.outbox = Output{}
	return out
}

// TakeInto appends the collected outputs to the slices of out, so that a
// caller can reuse them.
func (o *Owner) TakeInto(out *Output) {
	out.Grants = append(out.Grants, o.outbox.Grants...)
	out.Refusals = append(out.Refusals, o.outbox.Refusals...)
	out.Loans = append(out.Loans, o.outbox.Loans...)
	out.LoanReturns = append(out.LoanReturns, o.outbox.LoanReturns...)
	out.Summaries = append(out.Summaries, o.outbox.Summaries...)
	b := &o.outbox
	b.Grants, b.Refusals, b.Loans = b.Grants[:0], b.Refusals[:0], b.Loans[:0]
	b.LoanReturns, b.Summaries = b.LoanReturns[:0], b.Summaries[:0]
}

// Ask takes a request for a slot. An ask that repeats a waiting one replaces
// it; one that repeats a granted one gets the same grant again.
func (o *Owner) Ask(now time.Time, a Ask) {
	if o.closed {
		return
	}
	o.now = now
	o.incarnation(a.Router)
	key := requestKey{a.Router, a.RequestID}
	if g := o.granted[key]; g != nil {
		if g.sent.Address != "" {
			o.outbox.Grants = append(o.outbox.Grants, g.sent)
			return
		}
		// An earlier owner granted a server of another data centre that this
		// one does not know, and its grant was lost on the way.
		o.finish(g, Settle{GrantID: g.key.id, Epoch: g.key.epoch, Outcome: OutcomeUnused})
	}
	if w := o.waiting[key]; w != nil {
		w.ask.Avoid = a.Avoid
		return
	}
	o.offer(&a)
	flow := o.queue.Flow(a.Workspace)
	if flow.Waiting() >= o.cfg.MaxWaiting || o.queue.Len() >= o.cfg.MaxWaitingTotal {
		o.refuse(key, result.QueueFull, o.drainTime(flow))
		return
	}
	lane, ok := o.lane(a.Model)
	if !ok {
		o.refuse(key, result.UnknownModel, summaryMaxAge)
		return
	}
	if code, after, refused := o.early(&a, flow, lane); refused {
		o.refuse(key, code, after)
		return
	}
	o.enqueue(key, &a, flow, lane)
	o.dispatch()
}

func (o *Owner) enqueue(key requestKey, a *Ask, flow *fairshare.Flow, lane int) {
	w := o.newWaiting()
	w.ask = *a
	w.Deadline, w.Lane, w.Ref = orderKey(a), lane, w
	w.expires = o.expires(a)
	o.waiting[key] = w
	o.expiry.push(w)
	if !a.Class.MayWait {
		o.urgent++
	}
	o.queue.Push(o.now, flow, &w.Item)
}

// orderKey returns the time that orders requests. A class that may wait is
// ordered by its longest wait: its target may be long past under a backlog,
// and late drafts would then overtake every chat reply.
func orderKey(a *Ask) int64 {
	if a.Class.MayWait {
		return a.Arrived.Add(max(a.Class.LongestWait(), a.Class.Target())).UnixNano()
	}
	return a.Class.Deadline(a.Arrived).UnixNano()
}

// expires returns when the ask is refused. A class that may not wait is
// refused as soon as its first token can no longer come in time.
func (o *Owner) expires(a *Ask) int64 {
	if a.Class.MayWait {
		return a.Arrived.Add(a.Class.LongestWait()).UnixNano()
	}
	return a.Class.Deadline(a.Arrived).Add(-o.stats.answerTime(&a.Class)).UnixNano()
}

// drop takes a waiting ask out.
func (o *Owner) drop(w *waiting) {
	delete(o.waiting, requestKey{w.ask.Router, w.ask.RequestID})
	o.queue.Remove(&w.Item)
	o.expiry.remove(w)
	if !w.ask.Class.MayWait {
		o.urgent--
	}
	w.ask = Ask{}
	o.free = append(o.free, w)
}

func (o *Owner) newWaiting() *waiting {
	if n := len(o.free); n > 0 {
		w := o.free[n-1]
		o.free = o.free[:n-1]
		return w
	}
	return &waiting{}
}

func (o *Owner) refuse(key requestKey, code result.Code, after time.Duration) {
	o.outbox.Refusals = append(o.outbox.Refusals, Refusal{
		Router:     key.router,
		RequestID:  key.id,
		Code:       code,
		RetryAfter: min(max(after, minRetryAfter), maxRetryAfter),
	})
}

// Cancel withdraws a waiting ask, or returns its grant unused.
func (o *Owner) Cancel(now time.Time, router RouterID, requestID uint64) {
	o.now = now
	key := requestKey{router, requestID}
	if w := o.waiting[key]; w != nil {
		o.drop(w)
		return
	}
	if g := o.granted[key]; g != nil {
		o.finish(g, Settle{GrantID: g.key.id, Epoch: g.key.epoch, Outcome: OutcomeUnused})
		o.dispatch()
	}
}

// Settle returns the slot of a grant. A settle of a grant that this owner does
// not know is ignored.
func (o *Owner) Settle(now time.Time, s Settle) {
	o.now = now
	g := o.grants[grantKey{s.Epoch, s.GrantID}]
	if g == nil {
		return
	}
	o.finish(g, s)
	o.dispatch()
}

// RouterGone drops the asks and the grants of a router that is not live. A
// cold server may still run its requests, so they stay counted there until a
// load report shows that they ended.
func (o *Owner) RouterGone(now time.Time, router RouterID) {
	o.now = now
	o.endRouter(func(id RouterID) bool { return id == router })
	o.dispatch()
}

// endRouter drops the asks and ends the grants of the routers that match.
func (o *Owner) endRouter(gone func(RouterID) bool) {
	for id := range o.reported {
		if gone(id) {
			delete(o.reported, id)
		}
	}
	for _, w := range o.waiting {
		if gone(w.ask.Router) {
			o.drop(w)
		}
	}
	for _, g := range o.sortedGrants() {
		if gone(g.request.router) {
			o.orphan(g)
		}
	}
}

// incarnation ends what earlier incarnations of the router left. A router that
// restarts faster than membership notices is never reported as gone.
func (o *Owner) incarnation(r RouterID) {
	if o.latest[r.Name] >= r.Incarnation {
		return
	}
	o.latest[r.Name] = r.Incarnation
	o.endRouter(func(id RouterID) bool { return id.Name == r.Name && id.Incarnation < r.Incarnation })
}

// SetKnownRouters tells how many routers of the data centre are known, how
// many are live, and the rank of this one by name.
func (o *Owner) SetKnownRouters(now time.Time, known, live, rank int) {
	o.now = now
	o.known, o.live, o.rank = max(known, 1), live, rank
	for _, s := range o.servers {
		s.limit.SetKnownRouters(now, o.known, o.live, o.rank)
		o.fix(s)
	}
	o.dispatch()
}

// dispatch grants and lends while a server is free and work waits.
func (o *Owner) dispatch() {
	if o.closed || o.now.Before(o.opens) {
		return
	}
	for o.step() {
	}
	for _, w := range o.aside {
		o.queue.Requeue(o.now, o.queue.Flow(w.ask.Workspace), &w.Item)
	}
	o.aside = o.aside[:0]
}

// step makes one grant or loan and reports whether there may be more.
func (o *Owner) step() bool {
	var own *waiting
	if o.queue.Len() > 0 {
		if item := o.queue.Next(o.now, o.laneUsable); item != nil {
			own = item.Ref.(*waiting)
		}
	}
	if o.lendInstead(own) {
		return true
	}
	if own == nil {
		return false
	}
	if s := o.choose(own); s != nil {
		o.grantOn(own, s, nil)
		return true
	}
	o.queue.Remove(&own.Item)
	o.aside = append(o.aside, own)
	return len(o.aside) < maxAside
}

// grantOn grants a waiting ask a slot of an own or borrowed server.
func (o *Owner) grantOn(w *waiting, s *server, b *borrowed) {
	g := o.newGrant()
	o.lastGrant++
	g.key = grantKey{o.epoch, o.lastGrant}
	g.request = requestKey{w.ask.Router, w.ask.RequestID}
	g.flow, g.class, g.granted = o.queue.Flow(w.ask.Workspace), w.ask.Class, o.now
	g.hint, g.prompt = w.ask.HintUnits, w.ask.PromptUnits
	g.estimate = o.costs.Estimate(w.ask.Workspace, w.ask.Class.Name, g.hint, g.prompt)
	g.sent = Grant{Router: w.ask.Router, RequestID: w.ask.RequestID, GrantID: g.key.id, Epoch: g.key.epoch, EstimateUnits: g.estimate}
	if b != nil {
		g.loan = b
		g.sent.Server, g.sent.Address, g.sent.BootID = b.loan.Server, b.loan.Address, b.loan.BootID
		g.sent.Abilities = b.loan.Abilities
	} else {
		o.occupy(g, s)
		o.prefixes.add(w.ask.PrefixHash, s.number)
		g.sent.Server, g.sent.Address, g.sent.BootID = s.ann.Name, s.ann.Address, s.ann.BootID
		g.sent.Abilities = s.ann.Abilities
	}
	o.drop(w)
	o.ledger.Charge(g.flow.Account(), g.estimate)
	o.queue.Served(o.now, g.flow)
	o.grants[g.key], o.granted[g.request] = g, g
	o.outbox.Grants = append(o.outbox.Grants, g.sent)
}

func (o *Owner) newGrant() *grant {
	if n := len(o.freeGrant); n > 0 {
		g := o.freeGrant[n-1]
		o.freeGrant = o.freeGrant[:n-1]
		return g
	}
	return &grant{}
}
