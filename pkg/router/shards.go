package router

import (
	"sync"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/pool"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// ownedShard is a shard that this router owns. mu is the pool lock of the lock
// order.
type ownedShard struct {
	mu         sync.Mutex
	id         pool.ShardID
	epoch      uint64
	owner      *pool.Owner
	handedOver bool // to the next owner; no further input is accepted
	// ordersInFlight counts the orders being sent to engines. Each takes at
	// most orders.OrderTimeout.
	ordersInFlight int
}

// shardOf returns the shard of a pool in this data centre. A pool has only one
// shard.
func (r *Router) shardOf(name string) pool.ShardID {
	return pool.ShardID{DataCentre: r.self.DataCentre, Pool: name}
}

// ownerName returns the router that owns a shard, "" if there is none.
func (r *Router) ownerName(shard pool.ShardID) string {
	owner, _, ok := r.ownership.Owner(shard)
	if !ok {
		return ""
	}
	return owner.Name
}

// localShard returns a shard that this router owns, and creates its owner on
// first use. It returns nil if another router owns the shard.
func (r *Router) localShard(shard pool.ShardID) *ownedShard {
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
	s = r.newOwnedShard(shard, epoch)
	r.owned[shard] = s
	return s
}

// newOwnedShard creates the owner of a shard and passes it the current
// configuration and the buffered messages.
func (r *Router) newOwnedShard(shard pool.ShardID, epoch uint64) *ownedShard {
	now := time.Now()
	o := pool.NewOwner(shard, epoch, r.poolConfig, r.ledger, now)
	known, live, rank := r.ownership.RouterCounts()
	o.SetKnownRouters(now, known, live, rank)
	o.SetDataCentreOut(now, r.dataCentreOut(shard.DataCentre))
	if cat := r.catalog.Load(); cat != nil {
		for _, name := range cat.Departures() {
			o.SetDeparted(now, name, true)
		}
	}
	if buffer := r.shardBuffers.take(now, shard); buffer != nil {
		buffer.applyTo(now, o)
	}
	return &ownedShard{id: shard, epoch: epoch, owner: o}
}

// applyInput applies an input to an owned shard and delivers the output. It
// returns false and does nothing if the shard has been handed over.
func (r *Router) applyInput(s *ownedShard, input func(now time.Time, o *pool.Owner)) bool {
	now := time.Now()
	s.mu.Lock()
	if s.handedOver {
		s.mu.Unlock()
		return false
	}
	input(now, s.owner)
	out := s.owner.TakeOutput()
	s.mu.Unlock()
	r.deliverOutput(s.id, out)
	return true
}

// applyIfOwner applies an input to a shard if this router owns it, and reports
// whether it does.
func (r *Router) applyIfOwner(shard pool.ShardID, input func(now time.Time, o *pool.Owner)) bool {
	s := r.localShard(shard)
	return s != nil && r.applyInput(s, input)
}

// deliverOutput sends the output of an owner to its receivers.
func (r *Router) deliverOutput(shard pool.ShardID, out pool.Output) {
	for _, g := range out.Grants {
		r.deliverGrant(shard, g)
	}
	for _, f := range out.Refusals {
		r.deliverRefusal(shard, f)
	}
	for _, c := range out.LimitChanges {
		r.recordLimitChange(shard, c)
	}
	r.deliverRemote(shard, out)
}

func (r *Router) deliverGrant(shard pool.ShardID, g pool.Grant) {
	if g.Router != r.self {
		r.sendGrant(shard, g)
		return
	}
	r.acceptGrant(shard, g)
}

// acceptGrant passes a grant to its waiter. A grant without a waiter is settled
// as unused.
func (r *Router) acceptGrant(shard pool.ShardID, g pool.Grant) {
	if r.askTable.resolveGrant(shard, g) {
		return
	}
	r.settle(shard, pool.Settle{GrantID: g.GrantID, Epoch: g.Epoch, Outcome: pool.OutcomeUnused})
}

func (r *Router) deliverRefusal(shard pool.ShardID, f pool.Refusal) {
	if f.Router != r.self {
		r.sendRefusal(shard, f)
		return
	}
	r.acceptRefusal(f)
}

func (r *Router) acceptRefusal(f pool.Refusal) {
	e := result.New(f.Code, "%s", refusalText(f.Code)).WithRetryAfter(f.RetryAfter)
	r.askTable.resolveRefusal(f.RequestID, e)
}

func refusalText(c result.Code) string {
	if entry, ok := result.Lookup(c); ok {
		return entry.Help
	}
	return "the owner of the pool refused the request"
}

// sendAsk sends an ask to the owner of the shard. If there is no owner or the
// message is lost with the connection, reconcile repeats it.
func (r *Router) sendAsk(shard pool.ShardID, a pool.Ask) {
	if r.applyIfOwner(shard, func(now time.Time, o *pool.Owner) { o.Ask(now, a) }) {
		return
	}
	r.sendRemoteAsk(shard, a)
}

func (r *Router) sendCancel(shard pool.ShardID, requestID uint64) {
	if r.applyIfOwner(shard, func(now time.Time, o *pool.Owner) { o.Cancel(now, r.self, requestID) }) {
		return
	}
	r.sendRemoteCancel(shard, requestID)
}

// settle ends the use of a grant and reports its outcome and cost to the owner.
func (r *Router) settle(shard pool.ShardID, st pool.Settle) {
	r.askTable.releaseGrant(shard, st.Epoch, st.GrantID)
	if r.applyIfOwner(shard, func(now time.Time, o *pool.Owner) { o.Settle(now, st) }) {
		return
	}
	r.sendRemoteSettle(shard, st)
}

// tickOwners runs the timers of the owned shards, which refuse asks whose
// deadline has passed.
func (r *Router) tickOwners(time.Time) {
	for _, s := range r.ownedShards() {
		r.applyInput(s, func(now time.Time, o *pool.Owner) { o.Tick(now) })
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
