package router

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/orders"
	"jackdawtrack.example/jackdawtrack/pkg/pool"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

const (
	orderPath = "/v1/orders"
	// orderStep is how often an order under way looks at its engine and its
	// lease.
	orderStep = 250 * time.Millisecond
	// fenceTimeout bounds one call to control. A later answer would leave no
	// time for an order.
	fenceTimeout = orders.LeaseDuration - orders.OrderTimeout
	// prepareLimit bounds the time until an order is sent: running work ends
	// and the lease of an earlier holder passes.
	prepareLimit = 10 * time.Minute
	// obeyLimit is how long an engine may announce itself ready in its old pool
	// after an order. It then did not obey, and receives work again.
	obeyLimit = 10 * time.Second
	// loadLimit bounds the time of a load.
	loadLimit = 15 * time.Minute
	maxOrders = 8 // at one router
)

// engineOrder is an order to one engine of an owned shard. sent is guarded by
// the lock of the placer.
type engineOrder struct {
	move  *apiv1.PlannedMove
	shard *ownedShard
	since time.Time // when the engine began to get no new work
	sent  bool
}

// OrderStatus is an order to an engine that is under way.
type OrderStatus struct {
	Server string `json:"server"`
	From   string `json:"from"`
	To     string `json:"to"`
	Sent   bool   `json:"sent"` // false while the engine runs empty
}

func (p *placer) status() []OrderStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []OrderStatus
	for _, name := range slices.Sorted(maps.Keys(p.orders)) {
		o := p.orders[name]
		out = append(out, OrderStatus{Server: name, From: o.move.GetFrom(), To: o.move.GetTo(), Sent: o.sent})
	}
	return out
}

// loadOrder is the body of an order to load a model.
type loadOrder struct {
	Action string `json:"action"`
	Model  string `json:"model"`
	Fence  uint64 `json:"fence"`
}

// receiveMove begins an order if the planner of the data centre asks for it
// and the engine can obey it.
func (r *Router) receiveMove(from string, m *apiv1.PlannedMove) {
	p := r.placer
	if p == nil || from != r.plannerName() {
		return
	}
	a, live := r.servers.holder(time.Now(), m.GetServer())
	shard := r.local(r.shardOf(m.GetFrom()))
	if !live || shard == nil || a.Pool != m.GetFrom() || a.State != backend.Ready || !slices.Contains(a.Loadable, m.GetTo()) {
		r.log.Warnf("placement: server %s cannot move from pool %s to pool %s now", m.GetServer(), m.GetFrom(), m.GetTo())
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx == nil || p.orders[a.Name] != nil || len(p.orders) >= maxOrders {
		return
	}
	o := &engineOrder{move: m, shard: shard}
	p.orders[a.Name] = o
	ctx := p.ctx
	p.running.Go(func() { r.runOrder(ctx, o) })
}

// runOrder empties an engine, sends the order and waits until the engine
// serves its other pool.
func (r *Router) runOrder(ctx context.Context, o *engineOrder) {
	name := o.move.GetServer()
	r.with(o.shard, func(now time.Time, owner *pool.Owner) {
		o.since = now
		owner.SetOrdered(now, name, true)
	})
	err := r.giveOrder(ctx, o)
	if err == nil {
		err = r.awaitLoad(ctx, o)
	}
	r.with(o.shard, func(now time.Time, owner *pool.Owner) { owner.SetOrdered(now, name, false) })
	p := r.placer
	p.mu.Lock()
	delete(p.orders, name)
	p.mu.Unlock()
	if err != nil {
		r.log.Warnf("placement: server %s stays in pool %s: %v", name, o.move.GetFrom(), err)
		return
	}
	r.log.Infof("placement: server %s serves pool %s", name, o.move.GetTo())
}

// giveOrder waits until the engine runs nothing and this router holds the
// lease, then sends the order.
func (r *Router) giveOrder(ctx context.Context, o *engineOrder) error {
	ctx, cancel := context.WithTimeout(ctx, prepareLimit)
	defer cancel()
	lease := orders.NewCandidate(orders.Holder(r.self.Name, r.self.Incarnation))
	tick := time.NewTicker(orderStep)
	defer tick.Stop()
	for {
		idle, owned := r.emptied(o)
		if !owned {
			return errOwnerMoved()
		}
		now := time.Now()
		if number, ok := lease.Number(now); ok && idle {
			return r.sendOrder(ctx, now, o, number)
		}
		if idle && r.stepLease(ctx, lease, o.move.GetServer()) {
			continue
		}
		select {
		case <-ctx.Done():
			return result.New(result.WaitExpired, "its running work or the lease of an earlier holder did not end")
		case <-tick.C:
		}
	}
}

func errOwnerMoved() error {
	return result.New(result.OwnerUnavailable, "another router owns the pool")
}

// emptied reports whether the engine runs nothing, by a load report that was
// taken after it began to get no new work, and whether this router still owns
// its pool.
func (r *Router) emptied(o *engineOrder) (idle, owned bool) {
	if r.local(o.shard.id) != o.shard {
		return false, false
	}
	owned = r.with(o.shard, func(now time.Time, owner *pool.Owner) {
		for _, s := range owner.Usage(now).Servers {
			if s.Name == o.move.GetServer() {
				idle = s.Idle && s.Taken.After(o.since)
			}
		}
	})
	return idle, owned
}

// stepLease moves the lease on by at most one call to control and reports
// whether this router holds it now.
func (r *Router) stepLease(ctx context.Context, lease *orders.Candidate, server string) bool {
	ctx, cancel := context.WithTimeout(ctx, fenceTimeout)
	defer cancel()
	fences := r.placer.fences
	step, next := lease.Next(time.Now())
	if step == orders.StepNone {
		out, err := fences.AcquireFence(ctx, &apiv1.Fence{Server: server}, nil)
		if err == nil && out.GetPresent() != nil {
			lease.Observe(time.Now(), orders.FromFence(out.GetPresent()))
		}
		return false
	}
	observed := lease.Observed()
	lease.Sent(time.Now())
	out, err := fences.AcquireFence(ctx, orders.ToFence(observed), orders.ToFence(next))
	switch {
	case err != nil || out.GetPresent() == nil:
		lease.Failed()
		return false
	case out.GetCode() != 0:
		lease.Refused(time.Now(), orders.FromFence(out.GetPresent()))
		return false
	}
	lease.Committed(time.Now(), orders.FromFence(out.GetPresent()))
	_, held := lease.Number(time.Now())
	return held
}

// sendOrder sends the order once, within OrderTimeout from the time at which the
// lease allowed it. An error means that the engine refused it;
// after a lost answer the announcements of the engine tell what it did.
func (r *Router) sendOrder(ctx context.Context, allowed time.Time, o *engineOrder, number uint64) error {
	a, live := r.servers.holder(time.Now(), o.move.GetServer())
	if !live {
		return result.New(result.NoServer, "it is silent")
	}
	body, err := json.Marshal(loadOrder{Action: "load", Model: o.move.GetTo(), Fence: number})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(ctx, allowed.Add(orders.OrderTimeout))
	defer cancel()
	in, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.Address+orderPath, bytes.NewReader(body))
	if err != nil {
		return err
	}
	in.Header.Set("Content-Type", "application/json")
	if key := r.placer.cfg.OrderKey; key != "" {
		in.Header.Set("Authorization", bearer+key)
	}
	if !r.with(o.shard, func(time.Time, *pool.Owner) { o.shard.ordering++ }) {
		return errOwnerMoved()
	}
	answer, err := r.placer.client.Do(in)
	r.with(o.shard, func(time.Time, *pool.Owner) { o.shard.ordering-- })
	r.placer.mu.Lock()
	o.sent = true
	r.placer.mu.Unlock()
	if err != nil {
		r.log.Warnf("placement: the answer of server %s to order %d is not known: %v", a.Name, number, err)
		return nil
	}
	answer.Body.Close()
	if answer.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("it answered %s to order %d", answer.Status, number)
	}
	return nil
}

// awaitLoad waits until the engine serves the other pool.
func (r *Router) awaitLoad(ctx context.Context, o *engineOrder) error {
	sent := time.Now()
	tick := time.NewTicker(orderStep)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		a, live := r.servers.holder(time.Now(), o.move.GetServer())
		passed := time.Since(sent)
		switch {
		case live && a.Pool == o.move.GetTo():
			return nil
		case live && a.State == backend.Ready && passed > obeyLimit:
			return result.New(result.ServerError, "it did not obey within %s", obeyLimit)
		case passed > loadLimit:
			return result.New(result.ServerError, "the load took longer than %s", loadLimit)
		}
	}
}
