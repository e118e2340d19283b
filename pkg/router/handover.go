package router

import (
	"sync"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/pool"
)

// shardBufferTTL is how long handovers, limits and reports of held grants are kept
// until this router owns the shard. It is longer than the time until all
// routers know a membership change plus the wait of a new owner.
const shardBufferTTL = 5 * time.Second

// shardBuffer holds the messages that other routers have sent for a shard that
// this router does not own yet.
type shardBuffer struct {
	updatedAt time.Time // arrival of the newest message
	handover  *pool.Handover
	held      map[pool.RouterID][]pool.HeldGrant // latest report of each router
	asks      map[askKey]pool.Ask
	limits    []bufferedLimit
}

// bufferedLimit is what an answer of a server has stated.
type bufferedLimit struct {
	receivedAt time.Time
	statement  pool.LimitStatement
}

// askKey identifies an ask of another router.
type askKey struct {
	router pool.RouterID
	id     uint64
}

// maxBufferedAsks limits the memory for the asks of one shard that wait for a
// new owner.
const maxBufferedAsks = 1 << 16

// maxBufferedLimits limits the memory for the limits of servers in the same way.
const maxBufferedLimits = 1 << 12

// shardBuffers holds the buffers of all shards.
type shardBuffers struct {
	mu      sync.Mutex
	buffers map[pool.ShardID]*shardBuffer
}

// freshBuffer returns the buffer of a shard and replaces an expired one. The
// caller must hold mu.
func (b *shardBuffers) freshBuffer(now time.Time, shard pool.ShardID) *shardBuffer {
	if b.buffers == nil {
		b.buffers = make(map[pool.ShardID]*shardBuffer)
	}
	buffer := b.buffers[shard]
	if buffer == nil || now.Sub(buffer.updatedAt) > shardBufferTTL {
		buffer = &shardBuffer{held: make(map[pool.RouterID][]pool.HeldGrant), asks: make(map[askKey]pool.Ask)}
		b.buffers[shard] = buffer
	}
	buffer.updatedAt = now
	return buffer
}

func (b *shardBuffers) addHandover(now time.Time, h pool.Handover) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.freshBuffer(now, h.Shard).handover = &h
}

func (b *shardBuffers) addHeldGrants(now time.Time, shard pool.ShardID, from pool.RouterID, grants []pool.HeldGrant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.freshBuffer(now, shard).held[from] = grants
}

// addAsk buffers an ask and reports whether there was room for it.
func (b *shardBuffers) addAsk(now time.Time, shard pool.ShardID, a pool.Ask) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	buffer := b.freshBuffer(now, shard)
	if len(buffer.asks) >= maxBufferedAsks {
		return false
	}
	buffer.asks[askKey{a.Router, a.RequestID}] = a
	return true
}

// addLimit buffers what an answer of a server has stated. It does not keep an existing buffer
// for longer, because such messages come often.
func (b *shardBuffers) addLimit(now time.Time, shard pool.ShardID, st pool.LimitStatement) {
	b.mu.Lock()
	defer b.mu.Unlock()
	buffer := b.buffers[shard]
	if buffer == nil || now.Sub(buffer.updatedAt) > shardBufferTTL {
		buffer = b.freshBuffer(now, shard)
	}
	if len(buffer.limits) < maxBufferedLimits {
		buffer.limits = append(buffer.limits, bufferedLimit{now, st})
	}
}

func (b *shardBuffers) removeAsk(shard pool.ShardID, from pool.RouterID, id uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if buffer := b.buffers[shard]; buffer != nil {
		delete(buffer.asks, askKey{from, id})
	}
}

// take removes and returns the buffer of a shard, nil if there is none or it
// has expired.
func (b *shardBuffers) take(now time.Time, shard pool.ShardID) *shardBuffer {
	b.mu.Lock()
	defer b.mu.Unlock()
	buffer := b.buffers[shard]
	delete(b.buffers, shard)
	if buffer == nil || now.Sub(buffer.updatedAt) > shardBufferTTL {
		return nil
	}
	return buffer
}

// pendingHandovers returns the handover, or nil, of each shard with a buffer.
// It removes expired buffers.
func (b *shardBuffers) pendingHandovers(now time.Time) map[pool.ShardID]*pool.Handover {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[pool.ShardID]*pool.Handover)
	for shard, buffer := range b.buffers {
		if now.Sub(buffer.updatedAt) > shardBufferTTL {
			delete(b.buffers, shard)
			continue
		}
		out[shard] = buffer.handover
	}
	return out
}

// applyTo passes the buffered messages to a new owner. The handover comes first
// because only it has the estimated costs. The reports then end the grants that
// their routers no longer use.
func (b *shardBuffer) applyTo(now time.Time, o *pool.Owner) {
	if b.handover != nil {
		o.AcceptHandover(now, *b.handover)
	}
	for _, l := range b.limits {
		waited := now.Sub(l.receivedAt)
		l.statement.Age += waited
		l.statement.SentAge += waited
		o.HandleLimitStatement(now, l.statement)
	}
	for from, grants := range b.held {
		o.HandleHeldGrants(now, from, grants)
	}
	for _, a := range b.asks {
		o.Ask(now, a)
	}
}

// handoverReceiver is an Ownership that makes this router an owner as soon as
// the handover from the previous owner arrives.
type handoverReceiver interface {
	// RecordHandover records the handover and reports whether this router owns
	// the shard now.
	RecordHandover(shard pool.ShardID, epoch uint64) bool
}

// receiveHandover buffers the handover of a shard and applies it once this
// router is the owner according to the membership.
func (r *Router) receiveHandover(h pool.Handover) {
	r.shardBuffers.addHandover(time.Now(), h)
	r.applyHandover(h)
}

func (r *Router) applyHandover(h pool.Handover) {
	if s, ok := r.ownership.(handoverReceiver); ok && !s.RecordHandover(h.Shard, h.Epoch) {
		return
	}
	r.applyBuffer(h.Shard)
}

// applyBuffer passes the buffered messages to the owner of the shard if it is
// this router. An owner takes its buffer when it is created. This call covers
// an owner that already runs and messages that were buffered while it was
// created.
func (r *Router) applyBuffer(shard pool.ShardID) {
	if !r.applyIfOwner(shard, func(time.Time, *pool.Owner) {}) {
		return
	}
	if buffer := r.shardBuffers.take(time.Now(), shard); buffer != nil {
		r.applyIfOwner(shard, func(now time.Time, o *pool.Owner) { buffer.applyTo(now, o) })
	}
}

// applyBuffers applies all buffers whose shard this router owns by now.
func (r *Router) applyBuffers(now time.Time) {
	for shard, h := range r.shardBuffers.pendingHandovers(now) {
		if h != nil {
			r.applyHandover(*h)
		} else {
			r.applyBuffer(shard)
		}
	}
}

// receiveHeldGrants processes the report of the grants that a router uses.
func (r *Router) receiveHeldGrants(shard pool.ShardID, from pool.RouterID, grants []pool.HeldGrant) {
	if !r.applyIfOwner(shard, func(now time.Time, o *pool.Owner) { o.HandleHeldGrants(now, from, grants) }) {
		r.shardBuffers.addHeldGrants(time.Now(), shard, from, grants)
	}
}

// updateIncarnation records the incarnation of a router. Asks and grants of its
// previous incarnation end.
func (r *Router) updateIncarnation(id pool.RouterID) {
	r.peersMu.Lock()
	old, known := r.peerIDs[id.Name]
	r.peerIDs[id.Name] = id
	r.peersMu.Unlock()
	if known && old != id {
		r.releaseRouter(old)
	}
}

// RouterLost ends the asks and grants of a router that is dead or has left
// according to the membership.
func (r *Router) RouterLost(name string) {
	r.peersMu.Lock()
	id, known := r.peerIDs[name]
	delete(r.peerIDs, name)
	r.peersMu.Unlock()
	if known {
		r.releaseRouter(id)
	}
}

func (r *Router) releaseRouter(id pool.RouterID) {
	for _, s := range r.ownedShards() {
		r.applyInput(s, func(now time.Time, o *pool.Owner) { o.RemoveRouter(now, id) })
	}
}
