package fairshare

import (
	"math"
	"time"
)

// Defaults of the fair queue.
const (
	// DefaultWindow is the urgency window U in service units: about ten
	// chat replies.
	DefaultWindow = 16_000
	// DefaultMaxLead is the most that a workspace may be ahead of the floor
	// in service units, a few seconds of a whole fleet of ten engines. It
	// has to exceed the ordinary gap, or it would cut off the fair share.
	DefaultMaxLead = 400_000
	// DefaultStarvation is the wait after which a workspace that nobody
	// serves gets the next slot.
	DefaultStarvation = 5 * time.Second
	// DefaultLocalStarvation is the same for a workspace that is served in
	// other pools or data centres but not by this owner. It is longer,
	// because that workspace is receiving its share.
	DefaultLocalStarvation = time.Minute
)

// Config holds the parameters of a Queue.
type Config struct {
	Window          int64 // urgency window U, service units
	MaxLead         int64 // service units
	Starvation      time.Duration
	LocalStarvation time.Duration
}

// DefaultConfig returns the default parameters.
func DefaultConfig() Config {
	return Config{
		Window:          DefaultWindow,
		MaxLead:         DefaultMaxLead,
		Starvation:      DefaultStarvation,
		LocalStarvation: DefaultLocalStarvation,
	}
}

// Item is one waiting request. Its owner embeds it and keeps Ref.
type Item struct {
	Deadline int64 // order key inside the urgency window, ns
	Lane     int   // requests of one lane can use the same servers
	Ref      any   // the request

	node  *node
	seq   uint64
	index int
}

// Flow returns the workspace of a waiting item.
func (i *Item) Flow() *Flow { return i.node.flow }

// Flow is one workspace at one Queue.
type Flow struct {
	Name     string
	InFlight int // granted requests, maintained by Served and Ended
	// Promised is the time up to which refused requests were told to come
	// back. The owner of the queue maintains it.
	Promised time.Time

	account *Account
	offset  int64
	number  uint64
	waiting int
	lanes   []*node
}

// Waiting returns the number of waiting requests.
func (f *Flow) Waiting() int { return f.waiting }

// Account returns the account of the workspace.
func (f *Flow) Account() *Account { return f.account }

// Value returns total plus offset in service units.
func (f *Flow) Value() int64 { return f.account.Total() + f.offset }

// Queue orders the waiting requests of one pool shard. It is not safe for
// concurrent use.
type Queue struct {
	cfg    Config
	ledger *Ledger
	flows  map[string]*Flow
	lanes  []lane
	count  int
	active int // workspaces with waiting requests
	seq    uint64
	random uint32

	lastFloor   int64 // own floor when work last waited
	fleetFloor  int64 // lowest floor of the other owners
	fleetBehind bool  // fleetFloor is valid
}

type lane struct {
	root       *node
	head, tail *node // guard list
	count      int
}

// NewQueue returns an empty Queue over the ledger.
func NewQueue(cfg Config, ledger *Ledger) *Queue {
	return &Queue{cfg: cfg, ledger: ledger, flows: map[string]*Flow{}, random: 2463534242}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.count }

// Active returns the number of workspaces with waiting requests.
func (q *Queue) Active() int { return q.active }

// LaneLen returns the number of waiting requests of a lane.
func (q *Queue) LaneLen(l int) int {
	if l >= len(q.lanes) {
		return 0
	}
	return q.lanes[l].count
}

// Flow returns the state of a workspace and creates it if needed.
func (q *Queue) Flow(workspace string) *Flow {
	f := q.flows[workspace]
	if f == nil {
		f = &Flow{Name: workspace, account: q.ledger.Account(workspace), number: uint64(len(q.flows))}
		q.flows[workspace] = f
	}
	return f
}

// Push adds a waiting request. A workspace that had none is raised to the
// floor, so that idleness earns no credit.
func (q *Queue) Push(now time.Time, f *Flow, item *Item) {
	if f.waiting == 0 {
		if floor := q.floorForNew(); f.Value() < floor {
			f.offset += floor - f.Value()
		}
		q.clampLead(f)
	}
	q.seq++
	item.seq = q.seq
	q.Requeue(now, f, item)
}

// Requeue puts a request back that was removed in the same step. It keeps its
// place, and its workspace keeps its value.
func (q *Queue) Requeue(now time.Time, f *Flow, item *Item) {
	if f.waiting == 0 {
		q.active++
	}
	n := q.node(f, item.Lane)
	item.node = n
	n.items.push(item)
	f.waiting++
	q.count++
	q.lanes[item.Lane].count++
	if !n.inTree {
		n.since, n.local, n.total = now.UnixNano(), now.UnixNano(), f.account.Total()
		q.link(n)
		q.insert(n)
	} else if item.index == 0 {
		refresh(q.lanes[item.Lane].root, n)
	}
}

// Remove takes a request out of the queue.
func (q *Queue) Remove(item *Item) {
	n := item.node
	if n == nil {
		return
	}
	if n.flow.waiting == q.count {
		q.lastFloor = n.flow.Value()
	}
	l := &q.lanes[n.lane]
	if len(n.items) == 1 {
		l.root = remove(l.root, n)
		n.inTree = false
		q.unlink(n)
	}
	wasHead := item.index == 0
	n.items.removeAt(item.index)
	if n.inTree && wasHead {
		refresh(l.root, n)
	}
	item.node = nil
	n.flow.waiting--
	if n.flow.waiting == 0 {
		q.active--
	}
	q.count--
	l.count--
}

// Served records that a request of the workspace was granted.
func (q *Queue) Served(now time.Time, f *Flow) {
	f.InFlight++
	q.touch(now.UnixNano(), f, true)
}

// Ended records that a granted request of the workspace ended.
func (q *Queue) Ended(now time.Time, f *Flow) {
	f.InFlight--
	q.touch(now.UnixNano(), f, true)
}

// touch renews the guard times and the value of a workspace in all its lanes.
func (q *Queue) touch(now int64, f *Flow, local bool) {
	for _, n := range f.lanes {
		if n != nil && n.inTree {
			q.renew(n, now, local)
			q.revalue(n)
		}
	}
}

func (q *Queue) renew(n *node, now int64, local bool) {
	n.since, n.total = now, n.flow.account.Total()
	if local {
		n.local = now
	}
	q.unlink(n)
	q.link(n)
}

// revalue moves a node to its present value and reports whether it moved.
func (q *Queue) revalue(n *node) bool {
	q.clampLead(n.flow)
	v := n.flow.Value()
	if v == n.value {
		return false
	}
	l := &q.lanes[n.lane]
	l.root = remove(l.root, n)
	q.insert(n)
	return true
}

func (q *Queue) insert(n *node) {
	l := &q.lanes[n.lane]
	n.value = n.flow.Value()
	n.left, n.right, n.inTree = nil, nil, true
	n.update()
	l.root = insert(l.root, n)
}

// Refresh renews the values of all waiting workspaces. Values that grew are
// renewed by Next on its way; Refresh finds those that fell, because another
// owner of this process settled below its estimate.
func (q *Queue) Refresh() {
	for i := range q.lanes {
		for n := q.lanes[i].head; n != nil; n = n.next {
			q.revalue(n)
		}
	}
}

// Next returns the request of the lanes that should be served next, without
// removing it: first a starving workspace, then the earliest deadline among
// the workspaces inside the urgency window.
func (q *Queue) Next(now time.Time, usable func(lane int) bool) *Item {
	if n := q.starving(now.UnixNano(), usable); n != nil {
		return n.items[0]
	}
	floor := int64(math.MaxInt64)
	for i := range q.lanes {
		if q.lanes[i].root != nil && usable(i) {
			floor = min(floor, q.lowest(i))
		}
	}
	if floor == math.MaxInt64 {
		return nil
	}
	var best *node
	for i := range q.lanes {
		if q.lanes[i].root != nil && usable(i) {
			best = earlier(best, q.earliest(i, floor+q.cfg.Window))
		}
	}
	if best == nil {
		return nil
	}
	return best.items[0]
}

// lowest returns the lowest value of a lane. Values in the tree may be too
// low when totals of others arrived; the leftmost node is renewed until it is
// right.
func (q *Queue) lowest(i int) int64 {
	for {
		n := leftmost(q.lanes[i].root)
		if !q.revalue(n) {
			return n.value
		}
	}
}

func (q *Queue) earliest(i int, bound int64) *node {
	for {
		n := earliestUpTo(q.lanes[i].root, bound)
		if n == nil || !q.revalue(n) || n.value <= bound {
			return n
		}
	}
}

// starving returns the workspace that has been waiting longest, if nobody has
// served it for the starvation time.
func (q *Queue) starving(now int64, usable func(int) bool) *node {
	var worst *node
	for i := range q.lanes {
		if q.lanes[i].head == nil || !usable(i) {
			continue
		}
		if n := q.starvingIn(i, now); n != nil && (worst == nil || n.since < worst.since) {
			worst = n
		}
	}
	return worst
}

func (q *Queue) starvingIn(i int, now int64) *node {
	for {
		n := q.lanes[i].head
		if n == nil || now-n.since < int64(q.cfg.Starvation) {
			return nil
		}
		if now-n.local >= int64(q.cfg.LocalStarvation) {
			return n
		}
		if n.flow.InFlight == 0 && n.flow.account.Total() == n.total {
			return n
		}
		q.renew(n, now, n.flow.InFlight > 0)
	}
}

// NextStarvation returns the earliest time at which the guard may act, and
// false if nothing waits.
func (q *Queue) NextStarvation() (time.Time, bool) {
	at := int64(math.MaxInt64)
	for i := range q.lanes {
		if n := q.lanes[i].head; n != nil {
			at = min(at, n.since+int64(q.cfg.Starvation))
		}
	}
	return time.Unix(0, at), at != math.MaxInt64
}

// Floor returns the lowest value over the waiting workspaces, and false if
// nothing waits.
func (q *Queue) Floor() (int64, bool) {
	floor := int64(math.MaxInt64)
	for i := range q.lanes {
		if q.lanes[i].root != nil {
			floor = min(floor, q.lowest(i))
		}
	}
	return floor, floor != math.MaxInt64
}

// Lowest appends up to limit of the lowest waiting workspaces as value and
// count, in ascending order of value within each lane.
func (q *Queue) Lowest(limit int, each func(value int64, count int)) {
	for i := range q.lanes {
		left := limit
		visit(q.lanes[i].root, func(n *node) bool {
			each(n.value, len(n.items))
			left--
			return left > 0
		})
	}
}

func visit(t *node, f func(*node) bool) bool {
	if t == nil {
		return true
	}
	return visit(t.left, f) && f(t) && visit(t.right, f)
}

// SetFleetFloor sets the lowest floor of the other owners of the pool. When it
// becomes known for the first time, waiting workspaces below it are raised: an
// owner that restarted without totals counts from zero.
func (q *Queue) SetFleetFloor(floor int64, known, first bool) {
	q.fleetFloor, q.fleetBehind = floor, known
	if !known || !first {
		return
	}
	for _, f := range q.flows {
		if f.waiting > 0 && f.Value() < floor {
			f.offset += floor - f.Value()
		}
	}
	q.Refresh()
}

func (q *Queue) floorForNew() int64 {
	own, waiting := q.Floor()
	switch {
	case waiting && q.fleetBehind:
		return min(own, q.fleetFloor)
	case waiting:
		return own
	case q.fleetBehind:
		return q.fleetFloor
	default:
		return q.lastFloor
	}
}

// clampLead lowers a workspace that is more than MaxLead above the floor.
func (q *Queue) clampLead(f *Flow) {
	floor := int64(math.MaxInt64)
	for i := range q.lanes {
		if n := leftmost(q.lanes[i].root); n != nil {
			floor = min(floor, n.value)
		}
	}
	if q.fleetBehind {
		floor = min(floor, q.fleetFloor)
	}
	if floor == math.MaxInt64 {
		return
	}
	if top := floor + q.cfg.MaxLead; f.Value() > top {
		f.offset -= f.Value() - top
	}
}

func (q *Queue) node(f *Flow, l int) *node {
	for len(q.lanes) <= l {
		q.lanes = append(q.lanes, lane{})
	}
	for len(f.lanes) <= l {
		f.lanes = append(f.lanes, nil)
	}
	if f.lanes[l] == nil {
		f.lanes[l] = &node{flow: f, lane: l, priority: q.rand()}
	}
	return f.lanes[l]
}

// rand is xorshift32; a fixed seed keeps every run alike.
func (q *Queue) rand() uint32 {
	q.random ^= q.random << 13
	q.random ^= q.random >> 17
	q.random ^= q.random << 5
	return q.random
}

// link appends a node to the guard list. Times never fall, so the list stays
// ordered by since.
func (q *Queue) link(n *node) {
	l := &q.lanes[n.lane]
	n.prev, n.next = l.tail, nil
	if l.tail != nil {
		l.tail.next = n
	} else {
		l.head = n
	}
	l.tail = n
}

func (q *Queue) unlink(n *node) {
	l := &q.lanes[n.lane]
	if n.prev != nil {
		n.prev.next = n.next
	} else {
		l.head = n.next
	}
	if n.next != nil {
		n.next.prev = n.prev
	} else {
		l.tail = n.prev
	}
	n.prev, n.next = nil, nil
}
