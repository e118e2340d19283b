package router

import (
	"context"
	"sync"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/class"
	"jackdawtrack.example/jackdawtrack/pkg/pool"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// answer is a grant or a refusal.
type answer struct {
	grant   pool.Grant
	refusal *result.Error // nil for a grant
}

// waiter is one ask of this router without an answer.
type waiter struct {
	shard  pool.ShardID
	ask    pool.Ask
	answer chan answer // buffered, gets exactly one value
}

// held is a grant that this router uses.
type held struct {
	shard pool.ShardID
	grant pool.HeldGrant
}

// grantKey names a grant. Grant ids are unique within an epoch of a shard.
type grantKey struct {
	shard pool.ShardID
	epoch uint64
	id    uint64
}

// asks is the table of waiting asks and held grants of this router. Its lock
// is a leaf: nothing is called under it.
type asks struct {
	mu      sync.Mutex
	next    uint64
	waiting map[uint64]*waiter
	held    map[grantKey]held
	repeat  []*waiter // met a router that is not the owner
}

func newAsks() *asks {
	return &asks{waiting: make(map[uint64]*waiter), held: make(map[grantKey]held)}
}

// add registers an ask and gives it its request id.
func (t *asks) add(shard pool.ShardID, a pool.Ask) *waiter {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.next++
	a.RequestID = t.next
	w := &waiter{shard: shard, ask: a, answer: make(chan answer, 1)}
	t.waiting[a.RequestID] = w
	return w
}

// withdraw removes a waiter and reports whether it was still waiting. If not,
// its answer is in the channel.
func (t *asks) withdraw(w *waiter) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.waiting[w.ask.RequestID] != w {
		return false
	}
	delete(t.waiting, w.ask.RequestID)
	return true
}

// granted gives a grant to its waiter and reports whether there was one. The
// grant counts as held from then on.
func (t *asks) granted(shard pool.ShardID, g pool.Grant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.waiting[g.RequestID]
	if w == nil {
		// A repeated grant for a request in progress is no second slot.
		_, repeated := t.held[grantKey{shard, g.Epoch, g.GrantID}]
		return repeated
	}
	delete(t.waiting, g.RequestID)
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
	w.answer <- answer{grant: g}
	return true
}

func (t *asks) refused(requestID uint64, e *result.Error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.waiting[requestID]
	if w == nil {
		return
	}
	delete(t.waiting, requestID)
	w.answer <- answer{refusal: e}
}

// again notes that an ask met a router that is not the owner.
func (t *asks) again(requestID uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if w := t.waiting[requestID]; w != nil {
		t.repeat = append(t.repeat, w)
	}
}

// takeAgain returns the noted asks that still wait.
func (t *asks) takeAgain() []*waiter {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*waiter
	for _, w := range t.repeat {
		if t.waiting[w.ask.RequestID] == w {
			out = append(out, w)
		}
	}
	t.repeat = nil
	return out
}

// settled ends the use of a grant.
func (t *asks) settled(shard pool.ShardID, epoch, id uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.held, grantKey{shard, epoch, id})
}

// of returns the waiting asks and the held grants of a shard.
func (t *asks) of(shard pool.ShardID) ([]pool.Ask, []pool.HeldGrant) {
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
func (t *asks) shards() []pool.ShardID {
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

func (t *asks) counts() (waiting, held int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.waiting), len(t.held)
}

// askFor asks the owner of the shard for a slot and waits for the answer. An
// error says that the request has not run. The grant must be settled.
func (r *Router) askFor(ctx context.Context, shard pool.ShardID, a pool.Ask) (pool.Grant, *result.Error) {
	w := r.asks.add(shard, a)
	r.sendAsk(shard, w.ask)
	// The owner refuses in time. The router ends the wait itself only when the
	// owner is lost, so it waits longer than the owner does.
	limit := time.NewTimer(r.patience(&a.Class))
	defer limit.Stop()
	select {
	case got := <-w.answer:
		return got.grant, got.refusal
	case <-ctx.Done():
		return r.giveUp(w, result.Wrap(result.CallerLeftWaiting, context.Cause(ctx), "the caller left"))
	case <-r.closing:
		return r.giveUp(w, result.New(result.ShuttingDown, "the router is shutting down"))
	case <-limit.C:
		return r.giveUp(w, result.New(result.OwnerUnavailable, "the owner of %s did not answer", shard.Pool).WithRetryAfter(ownerRetry))
	}
}

// ownerGrace covers the way to the owner and back for a class that may not
// wait: without an owner its request is refused when its target has passed.
const ownerGrace = 100 * time.Millisecond

func (r *Router) patience(c *class.Class) time.Duration {
	if !c.MayWait {
		return c.LongestWait() + ownerGrace
	}
	return c.LongestWait() + r.cfg.Limits.OwnerPatience.Std()
}

// ownerRetry is about the time until a lost owner is replaced.
const ownerRetry = 2 * time.Second

// giveUp withdraws an ask. A grant that arrived meanwhile goes back unused.
func (r *Router) giveUp(w *waiter, reason *result.Error) (pool.Grant, *result.Error) {
	if r.asks.withdraw(w) {
		r.sendCancel(w.shard, w.ask.RequestID)
		return pool.Grant{}, reason
	}
	got := <-w.answer
	if got.refusal != nil {
		return pool.Grant{}, got.refusal
	}
	r.settle(w.shard, pool.Settle{GrantID: got.grant.GrantID, Epoch: got.grant.Epoch, Outcome: pool.OutcomeUnused})
	return pool.Grant{}, reason
}
