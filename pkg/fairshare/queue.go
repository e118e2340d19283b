package fairshare

import (
	"math"
	"time"
)

// Defaults of the fair queue.
const (
	// DefaultUrgencyWindow is about the cost of ten chat replies, in service
	// units.
	DefaultUrgencyWindow = 16_000
	// DefaultMaxLead is the service of a fleet of ten engines over a few
	// seconds, in service units. It must exceed the usual spread of virtual
	// times: a lower value would discard service that a workspace received and
	// so break fair shares.
	DefaultMaxLead = 400_000
	// DefaultStarvationTimeout is how long a waiting workspace may go without
	// service anywhere in the fleet before it gets the next slot.
	DefaultStarvationTimeout = 5 * time.Second
	// DefaultLocalStarvationTimeout is the limit for a workspace that is served
	// in other pools or data centres but not by this owner. It is longer because
	// such a workspace does receive its share.
	DefaultLocalStarvationTimeout = time.Minute
)

// Config holds the parameters of a Queue.
type Config struct {
	// UrgencyWindow is the urgency window in service units: among the
	// workspaces whose virtual time is at most that far above the floor, the
	// request with the earliest deadline goes first.
	UrgencyWindow          int64
	MaxLead                int64         // greatest virtual time above the floor, service units
	StarvationTimeout      time.Duration // without service anywhere in the fleet
	LocalStarvationTimeout time.Duration // without service by this owner
}

// DefaultConfig returns the default parameters.
func DefaultConfig() Config {
	return Config{
		UrgencyWindow:          DefaultUrgencyWindow,
		MaxLead:                DefaultMaxLead,
		StarvationTimeout:      DefaultStarvationTimeout,
		LocalStarvationTimeout: DefaultLocalStarvationTimeout,
	}
}

// Item is the queue entry of one waiting request. The caller embeds an Item in
// its request and sets the exported fields before Push.
type Item struct {
	Deadline   int64 // sort key inside the urgency window, Unix time in ns
	ModelIndex int   // index of the model; its requests can use the same servers
	Request    any   // the request that embeds the Item

	node  *node  // nil while the Item is not queued
	seq   uint64 // order of arrival, breaks ties of Deadline
	index int    // position in node.items
}

// IsQueued reports whether the Item waits.
func (i *Item) IsQueued() bool { return i.node != nil }

// Flow returns the flow of a waiting Item. It panics if the Item is not queued.
func (i *Item) Flow() *Flow { return i.node.flow }

// Flow is the scheduling state of one workspace in one Queue.
type Flow struct {
	Name     string
	InFlight int // granted requests that have not ended
	// LatestRetryAt is the time up to which refused requests of the workspace
	// were told to retry. The caller maintains it.
	LatestRetryAt time.Time
	// TakeUpDebt is the service in units that went ahead of the order of the Queue, as of
	// TakeUpsAt. The caller maintains both.
	TakeUpDebt, TakeUpsAt float64

	account       *Account
	offset        int64  // service units added to the total by this Queue
	creationIndex uint64 // breaks ties of the virtual time
	waiting       int
	byModel       []*node // by model index, nil until the first request
}

// Waiting returns the number of waiting requests.
func (f *Flow) Waiting() int { return f.waiting }

// Account returns the account of the workspace.
func (f *Flow) Account() *Account { return f.account }

// VirtualTime returns the virtual time of the workspace in service units: its
// fleet-wide service total plus the offset of this Queue.
func (f *Flow) VirtualTime() int64 { return f.account.Total() + f.offset }

// Queue orders the waiting requests of one pool shard. It is not safe for
// concurrent use.
type Queue struct {
	cfg         Config
	ledger      *Ledger
	flows       map[string]*Flow
	byModel     []modelQueue // by model index
	length      int          // waiting requests
	activeFlows int          // workspaces with waiting requests
	seq         uint64       // of the last Push
	randomState uint32       // xorshift32 state, never 0

	lastOwnFloor    int64 // own floor when the queue last had requests
	fleetFloor      int64 // lowest floor of the other owners
	fleetFloorKnown bool  // fleetFloor is valid
}

// modelQueue holds the waiting requests for one model.
type modelQueue struct {
	root                           *node // treap ordered by virtual time
	starvationHead, starvationTail *node // list ordered by lastService
	length                         int   // waiting requests
}

// NewQueue returns an empty Queue that reads service totals from the ledger.
func NewQueue(cfg Config, ledger *Ledger) *Queue {
	return &Queue{cfg: cfg, ledger: ledger, flows: map[string]*Flow{}, randomState: 2463534242}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.length }

// Active returns the number of workspaces with waiting requests.
func (q *Queue) Active() int { return q.activeFlows }

// WaitingForModel returns the number of waiting requests for a model.
func (q *Queue) WaitingForModel(model int) int {
	if model >= len(q.byModel) {
		return 0
	}
	return q.byModel[model].length
}

// Flow returns the state of a workspace and creates it if needed.
func (q *Queue) Flow(workspace string) *Flow {
	f := q.flows[workspace]
	if f == nil {
		f = &Flow{Name: workspace, account: q.ledger.Account(workspace), creationIndex: uint64(len(q.flows))}
		q.flows[workspace] = f
	}
	return f
}

// Push adds a waiting request. The virtual time of a workspace that had none is
// raised to the floor, so that a workspace earns no credit while it is idle.
func (q *Queue) Push(now time.Time, f *Flow, item *Item) {
	if f.waiting == 0 {
		if floor := q.activationFloor(); f.VirtualTime() < floor {
			f.offset += floor - f.VirtualTime()
		}
		q.clampLead(f)
	}
	q.seq++
	item.seq = q.seq
	q.Requeue(now, f, item)
}

// Requeue puts back a request that Remove has just taken out. The request keeps
// its arrival order, and its workspace keeps its virtual time.
func (q *Queue) Requeue(now time.Time, f *Flow, item *Item) {
	if f.waiting == 0 {
		q.activeFlows++
	}
	n := q.node(f, item.ModelIndex)
	item.node = n
	n.items.push(item)
	f.waiting++
	q.length++
	q.byModel[item.ModelIndex].length++
	if !n.inTree {
		n.lastService, n.localService, n.totalAtLastService = now.UnixNano(), now.UnixNano(), f.account.Total()
		q.appendToStarvationList(n)
		q.insert(n)
	} else if item.index == 0 {
		updateEarliestPath(q.byModel[item.ModelIndex].root, n)
	}
}

// Remove takes a request out of the queue. It does nothing if the request is
// not queued.
func (q *Queue) Remove(item *Item) {
	n := item.node
	if n == nil {
		return
	}
	if n.flow.waiting == q.length {
		q.lastOwnFloor = n.flow.VirtualTime()
	}
	mq := &q.byModel[n.modelQueue]
	if len(n.items) == 1 {
		mq.root = remove(mq.root, n)
		n.inTree = false
		q.removeFromStarvationList(n)
	}
	wasHead := item.index == 0
	n.items.removeAt(item.index)
	if n.inTree && wasHead {
		updateEarliestPath(mq.root, n)
	}
	item.node = nil
	n.flow.waiting--
	if n.flow.waiting == 0 {
		q.activeFlows--
	}
	q.length--
	mq.length--
}

// RecordGrant records that a request of the workspace was granted a slot.
func (q *Queue) RecordGrant(now time.Time, f *Flow) {
	f.InFlight++
	q.resetStarvationTimers(now.UnixNano(), f, true)
}

// RecordEnd records that a granted request of the workspace ended.
func (q *Queue) RecordEnd(now time.Time, f *Flow) {
	f.InFlight--
	q.resetStarvationTimers(now.UnixNano(), f, true)
}

// resetStarvationTimers records service of a workspace at time now (Unix time in
// ns) for all its models and updates its position in their treaps. localService
// means that this owner served it.
func (q *Queue) resetStarvationTimers(now int64, f *Flow, localService bool) {
	for _, n := range f.byModel {
		if n != nil && n.inTree {
			q.resetStarvationTimer(n, now, localService)
			q.reposition(n)
		}
	}
}

// resetStarvationTimer records service of the node's workspace at time now.
func (q *Queue) resetStarvationTimer(n *node, now int64, localService bool) {
	n.lastService, n.totalAtLastService = now, n.flow.account.Total()
	if localService {
		n.localService = now
	}
	q.removeFromStarvationList(n)
	q.appendToStarvationList(n)
}

// reposition moves a node to its current virtual time in the treap and reports
// whether it moved.
func (q *Queue) reposition(n *node) bool {
	q.clampLead(n.flow)
	current := n.flow.VirtualTime()
	if current == n.virtualTime {
		return false
	}
	mq := &q.byModel[n.modelQueue]
	mq.root = remove(mq.root, n)
	q.insert(n)
	return true
}

// insert adds a node to the treap of its model at its current virtual time.
func (q *Queue) insert(n *node) {
	mq := &q.byModel[n.modelQueue]
	n.virtualTime = n.flow.VirtualTime()
	n.left, n.right, n.inTree = nil, nil, true
	n.updateEarliest()
	mq.root = insert(mq.root, n)
}

// RefreshVirtualTimes updates the positions of all waiting workspaces. A search
// for the next request corrects only virtual times that rose. They fall when
// another owner in this process settles a request below its estimate.
func (q *Queue) RefreshVirtualTimes() {
	for i := range q.byModel {
		for n := q.byModel[i].starvationHead; n != nil; n = n.starvationNext {
			q.reposition(n)
		}
	}
}

// Peek returns the request to serve next among the usable models without
// removing it, nil if there is none. A starving workspace goes first, then the
// earliest deadline among the workspaces inside the urgency window.
func (q *Queue) Peek(now time.Time, modelUsable func(model int) bool) *Item {
	if n := q.longestStarving(now.UnixNano(), modelUsable); n != nil {
		return n.items[0]
	}
	floor := int64(math.MaxInt64)
	for i := range q.byModel {
		if q.byModel[i].root != nil && modelUsable(i) {
			floor = min(floor, q.lowestVirtualTime(i))
		}
	}
	if floor == math.MaxInt64 {
		return nil
	}
	var best *node
	for i := range q.byModel {
		if q.byModel[i].root != nil && modelUsable(i) {
			best = earlierDeadline(best, q.earliestInWindow(i, floor+q.cfg.UrgencyWindow))
		}
	}
	if best == nil {
		return nil
	}
	return best.items[0]
}

// lowestVirtualTime returns the lowest virtual time among the waiting workspaces
// of a model, which must have one. A node's stored virtual time is too low after
// totals of other routers arrived, so the leftmost node is repositioned until its
// virtual time is current.
func (q *Queue) lowestVirtualTime(model int) int64 {
	for {
		n := leftmost(q.byModel[model].root)
		if !q.reposition(n) {
			return n.virtualTime
		}
	}
}

// earliestInWindow returns the node with the earliest deadline among those with
// a current virtual time of at most maxVirtualTime, nil if there is none.
func (q *Queue) earliestInWindow(model int, maxVirtualTime int64) *node {
	for {
		n := earliestDeadlineUpTo(q.byModel[model].root, maxVirtualTime)
		if n == nil || !q.reposition(n) || n.virtualTime <= maxVirtualTime {
			return n
		}
	}
}

// longestStarving returns the starving workspace whose last service is oldest,
// nil if none starves.
func (q *Queue) longestStarving(now int64, modelUsable func(int) bool) *node {
	var longest *node
	for i := range q.byModel {
		if q.byModel[i].starvationHead == nil || !modelUsable(i) {
			continue
		}
		if n := q.longestStarvingOf(i, now); n != nil && (longest == nil || n.lastService < longest.lastService) {
			longest = n
		}
	}
	return longest
}

// longestStarvingOf returns the starving workspace of one model whose last
// service is oldest, nil if none starves. A workspace that was served elsewhere
// since then, or has requests in flight, moves to the end of the list.
func (q *Queue) longestStarvingOf(model int, now int64) *node {
	for {
		n := q.byModel[model].starvationHead
		if n == nil || now-n.lastService < int64(q.cfg.StarvationTimeout) {
			return nil
		}
		if now-n.localService >= int64(q.cfg.LocalStarvationTimeout) {
			return n
		}
		if n.flow.InFlight == 0 && n.flow.account.Total() == n.totalAtLastService {
			return n
		}
		q.resetStarvationTimer(n, now, n.flow.InFlight > 0)
	}
}

// NextStarvationCheck returns the earliest time at which a waiting workspace
// may count as starving, and false if nothing waits.
func (q *Queue) NextStarvationCheck() (time.Time, bool) {
	at := int64(math.MaxInt64)
	for i := range q.byModel {
		if n := q.byModel[i].starvationHead; n != nil {
			at = min(at, n.lastService+int64(q.cfg.StarvationTimeout))
		}
	}
	return time.Unix(0, at), at != math.MaxInt64
}

// Floor returns the lowest virtual time among the waiting workspaces in service
// units, and false if nothing waits.
func (q *Queue) Floor() (int64, bool) {
	floor := int64(math.MaxInt64)
	for i := range q.byModel {
		if q.byModel[i].root != nil {
			floor = min(floor, q.lowestVirtualTime(i))
		}
	}
	return floor, floor != math.MaxInt64
}

// Lowest calls visit for up to limit waiting workspaces of each model, in
// ascending order of virtual time. count is the number of requests that the
// workspace has waiting for the model.
func (q *Queue) Lowest(limit int, visit func(virtualTime int64, count int)) {
	for i := range q.byModel {
		remaining := limit
		walkInOrder(q.byModel[i].root, func(n *node) bool {
			visit(n.virtualTime, len(n.items))
			remaining--
			return remaining > 0
		})
	}
}

// walkInOrder visits the nodes of a tree in ascending order until visit returns
// false. It reports whether it visited all.
func walkInOrder(t *node, visit func(*node) bool) bool {
	if t == nil {
		return true
	}
	return walkInOrder(t.left, visit) && visit(t) && walkInOrder(t.right, visit)
}

// SetFleetFloor sets the lowest floor of the other owners of the pool, in
// service units. When firstTime is set, waiting workspaces below the floor are
// raised to it: after a restart without totals an owner counts from zero.
func (q *Queue) SetFleetFloor(floor int64, known, firstTime bool) {
	q.fleetFloor, q.fleetFloorKnown = floor, known
	if !known || !firstTime {
		return
	}
	for _, f := range q.flows {
		if f.waiting > 0 && f.VirtualTime() < floor {
			f.offset += floor - f.VirtualTime()
		}
	}
	q.RefreshVirtualTimes()
}

// activationFloor returns the virtual time to which a workspace is raised when
// its first request arrives.
func (q *Queue) activationFloor() int64 {
	ownFloor, waiting := q.Floor()
	switch {
	case waiting && q.fleetFloorKnown:
		return min(ownFloor, q.fleetFloor)
	case waiting:
		return ownFloor
	case q.fleetFloorKnown:
		return q.fleetFloor
	default:
		return q.lastOwnFloor
	}
}

// clampLead lowers a virtual time that is more than MaxLead above the floor.
func (q *Queue) clampLead(f *Flow) {
	floor := int64(math.MaxInt64)
	for i := range q.byModel {
		if n := leftmost(q.byModel[i].root); n != nil {
			floor = min(floor, n.virtualTime)
		}
	}
	if q.fleetFloorKnown {
		floor = min(floor, q.fleetFloor)
	}
	if floor == math.MaxInt64 {
		return
	}
	if maxVirtualTime := floor + q.cfg.MaxLead; f.VirtualTime() > maxVirtualTime {
		f.offset -= f.VirtualTime() - maxVirtualTime
	}
}

// node returns the node of a workspace for a model and creates it if needed.
func (q *Queue) node(f *Flow, model int) *node {
	for len(q.byModel) <= model {
		q.byModel = append(q.byModel, modelQueue{})
	}
	for len(f.byModel) <= model {
		f.byModel = append(f.byModel, nil)
	}
	if f.byModel[model] == nil {
		f.byModel[model] = &node{flow: f, modelQueue: model, priority: q.nextRandom()}
	}
	return f.byModel[model]
}

// nextRandom returns the next value of an xorshift32 generator. Its seed is
// fixed, so that runs are reproducible.
func (q *Queue) nextRandom() uint32 {
	q.randomState ^= q.randomState << 13
	q.randomState ^= q.randomState >> 17
	q.randomState ^= q.randomState << 5
	return q.randomState
}
