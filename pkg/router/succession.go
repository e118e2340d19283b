package router

import (
	"sync"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/pool"
)

// handoverMemory is how long a hand-over waits for this router to learn that
// it owns the shard. Membership spreads within about a second.
const handoverMemory = 5 * time.Second

type keptHandover struct {
	at time.Time
	h  pool.Handover
}

// handovers keeps hand-overs that arrived before the membership did.
type handovers struct {
	mu   sync.Mutex
	kept map[pool.ShardID]keptHandover
}

func (k *handovers) keep(now time.Time, h pool.Handover) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.kept == nil {
		k.kept = make(map[pool.ShardID]keptHandover)
	}
	k.kept[h.Shard] = keptHandover{at: now, h: h}
}

func (k *handovers) take(now time.Time, shard pool.ShardID) (pool.Handover, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	v, ok := k.kept[shard]
	delete(k.kept, shard)
	return v.h, ok && now.Sub(v.at) < handoverMemory
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
