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
}

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
		v = &inheritance{held: make(map[pool.RouterID][]pool.HeldGrant)}
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

// handedOver returns the kept hand-overs and drops what is too old.
func (k *inheritances) handedOver(now time.Time) []pool.Handover {
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []pool.Handover
	for shard, v := range k.kept {
		switch {
		case now.Sub(v.at) > inheritanceMemory:
			delete(k.kept, shard)
		case v.handover != nil:
			out = append(out, *v.handover)
		}
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
	// A new owner takes what was kept; one that runs already gets it here.
	if !r.atShard(h.Shard, func(time.Time, *pool.Owner) {}) {
		return
	}
	if v := r.inheritances.take(time.Now(), h.Shard); v != nil {
		r.atShard(h.Shard, func(now time.Time, o *pool.Owner) { v.inherit(now, o) })
	}
}

// offerHandovers offers kept hand-overs again.
func (r *Router) offerHandovers(now time.Time) {
	for _, h := range r.inheritances.handedOver(now) {
		r.offerHandover(h)
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
