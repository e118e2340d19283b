package router

import (
	"sync"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/pool"
)

// inheritanceMemory is how long hand-overs and reports of held grants wait for
// this router to own the shard. It covers the spread of the membership and the
// wait of a new owner.
const inheritanceMemory = 5 * time.Second

// inheritance is what other routers have sent for a shard that this router
// does not own yet.
type inheritance struct {
	at       time.Time // of the newest message
	handover *pool.Handover
	held     map[pool.RouterID][]pool.HeldGrant // last list of each router
	asks     map[waitingKey]pool.Ask
}

// waitingKey names an ask of another router.
type waitingKey struct {
	router pool.RouterID
	id     uint64
}

// maxInheritedAsks bounds the memory of asks that wait for a new owner.
const maxInheritedAsks = 1 << 16

// inheritances is the table of them by shard.
type inheritances struct {
	mu   sync.Mutex
	kept map[pool.ShardID]*inheritance
}

// keep returns the entry of a shard to add to. Its caller holds the lock.
func (k *inheritances) keep(now time.Time, shard pool.ShardID) *inheritance {
	if k.kept == nil {
		k.kept = make(map[pool.ShardID]*inheritance)
	}
	v := k.kept[shard]
	if v == nil || now.Sub(v.at) > inheritanceMemory {
		v = &inheritance{held: make(map[pool.RouterID][]pool.HeldGrant), asks: make(map[waitingKey]pool.Ask)}
		k.kept[shard] = v
	}
	v.at = now
	return v
}

func (k *inheritances) addHandover(now time.Time, h pool.Handover) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.keep(now, h.Shard).handover = &h
}

func (k *inheritances) addHeld(now time.Time, shard pool.ShardID, from pool.RouterID, grants []pool.HeldGrant) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.keep(now, shard).held[from] = grants
}

// addAsk reports whether the ask can wait here for the new owner.
func (k *inheritances) addAsk(now time.Time, shard pool.ShardID, a pool.Ask) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	v := k.keep(now, shard)
	if len(v.asks) >= maxInheritedAsks {
		return false
	}
	v.asks[waitingKey{a.Router, a.RequestID}] = a
	return true
}

func (k *inheritances) dropAsk(shard pool.ShardID, from pool.RouterID, id uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if v := k.kept[shard]; v != nil {
		delete(v.asks, waitingKey{from, id})
	}
}

// take removes and returns the entry of a shard, nil if there is no fresh one.
func (k *inheritances) take(now time.Time, shard pool.ShardID) *inheritance {
	k.mu.Lock()
	defer k.mu.Unlock()
	v := k.kept[shard]
	delete(k.kept, shard)
	if v == nil || now.Sub(v.at) > inheritanceMemory {
		return nil
	}
	return v
}

// waiting returns the shards with an entry, with their hand-overs or nil, and
// drops what is too old.
func (k *inheritances) waiting(now time.Time) map[pool.ShardID]*pool.Handover {
	k.mu.Lock()
	defer k.mu.Unlock()
	out := make(map[pool.ShardID]*pool.Handover)
	for shard, v := range k.kept {
		if now.Sub(v.at) > inheritanceMemory {
			delete(k.kept, shard)
			continue
		}
		out[shard] = v.handover
	}
	return out
}

// inherit gives a new owner what has waited for it: the hand-over first,
// because it alone knows the estimated costs. The reports then end the grants
// that their routers no longer use.
func (v *inheritance) inherit(now time.Time, o *pool.Owner) {
	if v.handover != nil {
		o.Accept(now, *v.handover)
	}
	for from, grants := range v.held {
		o.Held(now, from, grants)
	}
	for _, a := range v.asks {
		o.Ask(now, a)
	}
}

// successor is an Ownership that starts a new owner at its hand-over.
type successor interface {
	// HandedOver reports whether this router owns the shard now.
	HandedOver(shard pool.ShardID, epoch uint64) bool
}

// receiveHandover starts the owner of a shard that another router passed on,
// or keeps the hand-over until the membership says that it is for this one.
func (r *Router) receiveHandover(h pool.Handover) {
	r.inheritances.addHandover(time.Now(), h)
	r.offerHandover(h)
}

func (r *Router) offerHandover(h pool.Handover) {
	if s, ok := r.ownership.(successor); ok && !s.HandedOver(h.Shard, h.Epoch) {
		return
	}
	r.inheritIfOwner(h.Shard)
}

// inheritIfOwner gives an owned shard what was kept for it. A new owner takes
// it when it is created; one that runs already, or that was created while a
// message was being kept, gets it here.
func (r *Router) inheritIfOwner(shard pool.ShardID) {
	if !r.atShard(shard, func(time.Time, *pool.Owner) {}) {
		return
	}
	if v := r.inheritances.take(time.Now(), shard); v != nil {
		r.atShard(shard, func(now time.Time, o *pool.Owner) { v.inherit(now, o) })
	}
}

// offerInheritances offers again what is kept.
func (r *Router) offerInheritances(now time.Time) {
	for shard, h := range r.inheritances.waiting(now) {
		if h != nil {
			r.offerHandover(*h)
		} else {
			r.inheritIfOwner(shard)
		}
	}
}

// receiveHeld takes the list of grants that a router uses.
func (r *Router) receiveHeld(shard pool.ShardID, from pool.RouterID, grants []pool.HeldGrant) {
	if !r.atShard(shard, func(now time.Time, o *pool.Owner) { o.Held(now, from, grants) }) {
		r.inheritances.addHeld(time.Now(), shard, from, grants)
	}
}

// restarted notes the incarnation of a router. Asks and grants of an earlier
// one end.
func (r *Router) restarted(id pool.RouterID) {
	r.peersMu.Lock()
	old, known := r.peerIDs[id.Name]
	r.peerIDs[id.Name] = id
	r.peersMu.Unlock()
	if known && old != id {
		r.routerGone(old)
	}
}

// Lost ends the asks and grants of a router that membership found dead or
// that left.
func (r *Router) Lost(name string) {
	r.peersMu.Lock()
	id, known := r.peerIDs[name]
	delete(r.peerIDs, name)
	r.peersMu.Unlock()
	if known {
		r.routerGone(id)
	}
}

func (r *Router) routerGone(id pool.RouterID) {
	for _, s := range r.ownedShards() {
		r.with(s, func(now time.Time, o *pool.Owner) { o.RouterGone(now, id) })
	}
}
