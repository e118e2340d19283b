package router

import (
	"context"
	"errors"
	"sync"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/class"
	"jackdawtrack.example/jackdawtrack/pkg/pool"
	"jackdawtrack.example/jackdawtrack/pkg/proxy"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// reply is the owner's reply to an ask: a grant or a refusal.
type reply struct {
	grant   pool.Grant
	refusal *result.Error // nil if granted
}

// waiter is an ask of this router that has no reply yet. An ask requests one
// slot of a pool from the owner of its shard.
type waiter struct {
	shard pool.ShardID
	ask   pool.Ask
	reply chan reply // buffered, receives exactly one value
}

// held is a grant that a request of this router uses.
type held struct {
	shard pool.ShardID
	grant pool.HeldGrant
}

// grantKey identifies a grant. Grant ids are unique within an epoch of a shard.
type grantKey struct {
	shard pool.ShardID
	epoch uint64
	id    uint64
}

// askTable holds the waiting asks and the held grants of this router. No other
// lock is taken while its lock is held.
type askTable struct {
	mu            sync.Mutex
	lastRequestID uint64 // incremented for each ask
	waiting       map[uint64]*waiter
	held          map[grantKey]held
	toResend      []*waiter // refused by a router that is not the owner
}

func newAskTable() *askTable {
	return &askTable{waiting: make(map[uint64]*waiter), held: make(map[grantKey]held)}
}

// add registers an ask and assigns its request id.
func (t *askTable) add(shard pool.ShardID, a pool.Ask) *waiter {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastRequestID++
	a.RequestID = t.lastRequestID
	w := &waiter{shard: shard, ask: a, reply: make(chan reply, 1)}
	t.waiting[a.RequestID] = w
	return w
}

// remove removes a waiter and reports whether it was still waiting. If it was
// not, its reply is in the channel.
func (t *askTable) remove(w *waiter) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.waiting[w.ask.RequestID] != w {
		return false
	}
	delete(t.waiting, w.ask.RequestID)
	return true
}

// resolveGrant delivers a grant to its waiter, records it as held and reports
// whether the grant is in use.
func (t *askTable) resolveGrant(shard pool.ShardID, g pool.Grant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.waiting[g.RequestID]
	if w == nil {
		// A repeated grant for a running request does not occupy a second slot.
		_, repeated := t.held[grantKey{shard, g.Epoch, g.GrantID}]
		return repeated
	}
	delete(t.waiting, g.RequestID)
	if g.GrantID == 0 { // one more send of a request that holds a grant
		w.reply <- reply{grant: g}
		return true
	}
	t.held[grantKey{shard, g.Epoch, g.GrantID}] = held{shard: shard, grant: pool.HeldGrant{
		Router:        w.ask.Router,
		GrantID:       g.GrantID,
		Epoch:         g.Epoch,
		RequestID:     g.RequestID,
		Server:        g.Server,
		Workspace:     w.ask.Workspace,
		Class:         w.ask.Class.Name,
		EstimateUnits: g.EstimateUnits,
	}}
	w.reply <- reply{grant: g}
	return true
}

// resolveRefusal delivers a refusal to the waiter of a request, if there is one.
func (t *askTable) resolveRefusal(requestID uint64, e *result.Error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.waiting[requestID]
	if w == nil {
		return
	}
	delete(t.waiting, requestID)
	w.reply <- reply{refusal: e}
}

// markForResend records that a router that is not the owner refused the ask.
func (t *askTable) markForResend(requestID uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if w := t.waiting[requestID]; w != nil {
		t.toResend = append(t.toResend, w)
	}
}

// takeForResend returns and clears the recorded asks that are still waiting.
func (t *askTable) takeForResend() []*waiter {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*waiter
	for _, w := range t.toResend {
		if t.waiting[w.ask.RequestID] == w {
			out = append(out, w)
		}
	}
	t.toResend = nil
	return out
}

// releaseGrant removes a grant whose use has ended.
func (t *askTable) releaseGrant(shard pool.ShardID, epoch, id uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.held, grantKey{shard, epoch, id})
}

// forShard returns the waiting asks and the held grants of a shard.
func (t *askTable) forShard(shard pool.ShardID) ([]pool.Ask, []pool.HeldGrant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var waiting []pool.Ask
	for _, w := range t.waiting {
		if w.shard == shard {
			waiting = append(waiting, w.ask)
		}
	}
	var grants []pool.HeldGrant
	for _, h := range t.held {
		if h.shard == shard {
			grants = append(grants, h.grant)
		}
	}
	return waiting, grants
}

// shards returns the shards with waiting asks or held grants.
func (t *askTable) shards() []pool.ShardID {
	t.mu.Lock()
	defer t.mu.Unlock()
	seen := make(map[pool.ShardID]struct{})
	for _, w := range t.waiting {
		seen[w.shard] = struct{}{}
	}
	for _, h := range t.held {
		seen[h.shard] = struct{}{}
	}
	out := make([]pool.ShardID, 0, len(seen))
	for s := range seen {
		out = append(out, s)
	}
	return out
}

// counts returns the number of waiting asks and of held grants.
func (t *askTable) counts() (waiting, held int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.waiting), len(t.held)
}

// acquireGrant sends an ask to the owner of the shard and waits for the reply.
// The caller must settle a returned grant. An error means that the request has
// not run.
func (r *Router) acquireGrant(ctx context.Context, shard pool.ShardID, a pool.Ask) (pool.Grant, *result.Error) {
	w := r.askTable.add(shard, a)
	r.sendAsk(shard, w.ask)
	// The owner refuses an ask before its deadline. This longer timeout ends
	// the wait only if the owner is lost.
	timeout := time.NewTimer(r.askTimeout(&a.Class))
	defer timeout.Stop()
	select {
	case got := <-w.reply:
		return got.grant, got.refusal
	case <-ctx.Done():
		if errors.Is(context.Cause(ctx), proxy.ErrStopping) {
			return r.abandonAsk(w, result.New(result.ShuttingDown, "the router is shutting down").WithRetryAfter(lateRetryAfter))
		}
		return r.abandonAsk(w, result.Wrap(result.CallerLeftWaiting, context.Cause(ctx), "the caller closed the connection"))
	case <-r.closing:
		return r.abandonAsk(w, result.New(result.ShuttingDown, "the router is shutting down"))
	case <-timeout.C:
		return r.abandonAsk(w, result.New(result.OwnerUnavailable, "the owner of pool %s did not reply", shard.Pool).WithRetryAfter(ownerRetryAfter))
	}
}

// ownerRoundTripAllowance is the time for the messages to and from the owner
// that is added to the timeout of a class that may not wait. Without an owner
// such a request is refused as soon as its latency target has passed.
const ownerRoundTripAllowance = 100 * time.Millisecond

// askTimeout returns how long an ask of the class waits for a reply.
func (r *Router) askTimeout(c *class.Class) time.Duration {
	if !c.MayWait {
		return c.LongestWait() + ownerRoundTripAllowance
	}
	return c.LongestWait() + r.cfg.Limits.OwnerPatience.AsDuration()
}

// ownerRetryAfter is about the time until a lost owner is replaced.
const ownerRetryAfter = 2 * time.Second

// abandonAsk removes an ask and cancels it at the owner. If a grant has arrived
// in the meantime, it is settled as unused.
func (r *Router) abandonAsk(w *waiter, reason *result.Error) (pool.Grant, *result.Error) {
	if r.askTable.remove(w) {
		r.sendCancel(w.shard, w.ask.RequestID)
		return pool.Grant{}, reason
	}
	got := <-w.reply
	if got.refusal != nil {
		return pool.Grant{}, got.refusal
	}
	r.settle(w.shard, pool.Settle{GrantID: got.grant.GrantID, Epoch: got.grant.Epoch, Outcome: pool.OutcomeUnused})
	return pool.Grant{}, reason
}
