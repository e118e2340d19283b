package router

import (
	"sync"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/pool"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// ownedShard is a shard that this router owns. mu is the pool lock.
type ownedShard struct {
	mu     sync.Mutex
	id     pool.ShardID
	epoch  uint64
	owner  *pool.Owner
	closed bool // handed over
	// ordering counts orders to engines on their way, each for at most
	// orders.OrderTimeout.
	ordering int
}

// shardOf returns the shard of a pool in this data centre. A pool has one
// shard today.
func (r *Router) shardOf(name string) pool.ShardID {
	return pool.ShardID{DataCentre: r.self.DataCentre, Pool: name}
}

func (r *Router) ownerName(shard pool.ShardID) string {
	owner, _, ok := r.ownership.Owner(shard)
	if !ok {
		return ""
	}
	return owner.Name
}

// local returns the owned shard if this router is its owner, creating it on
// first use.
func (r *Router) local(shard pool.ShardID) *ownedShard {
	owner, epoch, ok := r.ownership.Owner(shard)
	if !ok || owner.Name != r.self.Name {
		return nil
	}
	r.ownedMu.RLock()
	s := r.owned[shard]
	r.ownedMu.RUnlock()
	if s != nil && s.epoch == epoch {
		return s
	}
	r.ownedMu.Lock()
	defer r.ownedMu.Unlock()
	if s := r.owned[shard]; s != nil && s.epoch == epoch {
		return s
	}
	s = r.own(shard, epoch)
	r.owned[shard] = s
	return s
}

// own creates the owner of a shard with what operators have said so far.
func (r *Router) own(shard pool.ShardID, epoch uint64) *ownedShard {
	now := time.Now()
	o := pool.NewOwner(shard, epoch, r.poolConfig, r.ledger, now)
	known, live, rank := r.ownership.Known()
	o.SetKnownRouters(now, known, live, rank)
	o.SetDataCentreOut(now, r.dataCentreOut(shard.DataCentre))
	if cat := r.catalog.Load(); cat != nil {
		for _, name := range cat.Departures() {
			o.SetDeparted(now, name, true)
		}
	}
	if v := r.inheritances.take(now, shard); v != nil {
		v.inherit(now, o)
	}
	return &ownedShard{id: shard, epoch: epoch, owner: o}
}

// with runs one input of an owned shard and delivers its outputs. It reports
// false, without an effect, when the shard has been handed over.
func (r *Router) with(s *ownedShard, input func(now time.Time, o *pool.Owner)) bool {
	now := time.Now()
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return false
	}
	input(now, s.owner)
	out := s.owner.Take()
	s.mu.Unlock()
	r.deliver(s.id, out)
	return true
}

// atShard runs an input at an owned shard and reports whether this router owns
// it.
func (r *Router) atShard(shard pool.ShardID, input func(now time.Time, o *pool.Owner)) bool {
	s := r.local(shard)
	return s != nil && r.with(s, input)
}

// deliver gives the outputs of an owner to their receivers.
func (r *Router) deliver(shard pool.ShardID, out pool.Output) {
	for _, g := range out.Grants {
		r.deliverGrant(shard, g)
	}
	for _, f := range out.Refusals {
		r.deliverRefusal(shard, f)
	}
	r.deliverRemote(shard, out)
}

func (r *Router) deliverGrant(shard pool.ShardID, g pool.Grant) {
	if g.Router != r.self {
		r.sendGrant(shard, g)
		return
	}
	r.takeGrant(shard, g)
}

// takeGrant gives a grant to its waiter. A grant that nobody waits for goes
// back unused.
func (r *Router) takeGrant(shard pool.ShardID, g pool.Grant) {
	if r.asks.granted(shard, g) {
		return
	}
	r.settle(shard, pool.Settle{GrantID: g.GrantID, Epoch: g.Epoch, Outcome: pool.OutcomeUnused})
}

func (r *Router) deliverRefusal(shard pool.ShardID, f pool.Refusal) {
	if f.Router != r.self {
		r.sendRefusal(shard, f)
		return
	}
	r.takeRefusal(f)
}

func (r *Router) takeRefusal(f pool.Refusal) {
	e := result.New(f.Code, "%s", refusalText(f.Code)).WithRetryAfter(f.RetryAfter)
	r.asks.refused(f.RequestID, e)
}

func refusalText(c result.Code) string {
	if entry, ok := result.Lookup(c); ok {
		return entry.Help
	}
	return "the owner of the pool refused the request"
}

// sendAsk gives an ask to the owner of the shard. Without an owner, or when
// the message is lost with its connection, reconcile repeats it.
func (r *Router) sendAsk(shard pool.ShardID, a pool.Ask) {
	if r.atShard(shard, func(now time.Time, o *pool.Owner) { o.Ask(now, a) }) {
		return
	}
	r.sendRemoteAsk(shard, a)
}

func (r *Router) sendCancel(shard pool.ShardID, requestID uint64) {
	if r.atShard(shard, func(now time.Time, o *pool.Owner) { o.Cancel(now, r.self, requestID) }) {
		return
	}
	r.sendRemoteCancel(shard, requestID)
}

// settle ends the use of a grant and tells the owner.
func (r *Router) settle(shard pool.ShardID, st pool.Settle) {
	r.asks.settled(shard, st.Epoch, st.GrantID)
	if r.atShard(shard, func(now time.Time, o *pool.Owner) { o.Settle(now, st) }) {
		return
	}
	r.sendRemoteSettle(shard, st)
}

// tickOwners lets owned shards refuse what has waited too long.
func (r *Router) tickOwners(time.Time) {
	for _, s := range r.ownedShards() {
		r.with(s, func(now time.Time, o *pool.Owner) { o.Tick(now) })
	}
}

func (r *Router) ownedShards() []*ownedShard {
	r.ownedMu.RLock()
	defer r.ownedMu.RUnlock()
	out := make([]*ownedShard, 0, len(r.owned))
	for _, s := range r.owned {
		out = append(out, s)
	}
	return out
}
