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
	// orderPollInterval is how often an unfinished order checks its engine and
	// its lease.
	orderPollInterval = 250 * time.Millisecond
	// fenceTimeout limits one call to control. A later response would leave no
	// time for the order before the lease ends.
	fenceTimeout = orders.LeaseDuration - orders.OrderTimeout
	// prepareTimeout limits the time until an order is sent. Before that, the
	// engine's running requests end and the lease of an earlier holder expires.
	prepareTimeout = 10 * time.Minute
	// orderEffectTimeout is how long after an order an engine may still
	// announce itself as ready in its old pool. After that, the order counts as
	// ignored and the engine receives work again.
	orderEffectTimeout = 10 * time.Second
	// loadTimeout limits the time that an engine takes to load a model.
	loadTimeout = 15 * time.Minute
	maxOrders   = 8 // unfinished orders of one router
)

// engineOrder is an order to one engine of an owned shard to load another
// model. sent is guarded by placer.mu.
type engineOrder struct {
	move          *apiv1.PlannedMove
	shard         *ownedShard
	drainingSince time.Time // when the owner stopped granting work on the engine
	sent          bool
}

// OrderStatus describes an unfinished order to an engine.
type OrderStatus struct {
	Server string `json:"server"`
	From   string `json:"from"`
	To     string `json:"to"`
	Sent   bool   `json:"sent"` // false while the engine drains
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

// loadOrder is the request body of an order to load a model.
type loadOrder struct {
	Action string `json:"action"`
	Model  string `json:"model"`
	Fence  uint64 `json:"fence"`
}

// receiveMove starts the order for a move if the sender is the planner of the
// data centre and the engine can load the model.
func (r *Router) receiveMove(from string, m *apiv1.PlannedMove) {
	p := r.placer
	if p == nil || from != r.plannerName() {
		return
	}
	a, live := r.servers.liveAnnouncement(time.Now(), m.GetServer())
	shard := r.localShard(r.shardOf(m.GetFrom()))
	if !live || shard == nil || a.Pool != m.GetFrom() || a.State != backend.Ready || !slices.Contains(a.Loadable, m.GetTo()) {
		r.log.Warnf("placement: move of server %s from pool %s to pool %s refused: the server is not ready there, cannot load the model or has another owner", m.GetServer(), m.GetFrom(), m.GetTo())
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
	p.runningOrders.Go(func() { r.runOrder(ctx, o) })
}

// runOrder drains an engine, sends the order and waits until the engine serves
// the other pool.
func (r *Router) runOrder(ctx context.Context, o *engineOrder) {
	name := o.move.GetServer()
	r.applyInput(o.shard, func(now time.Time, owner *pool.Owner) {
		o.drainingSince = now
		owner.SetOrderPending(now, name, true)
	})
	err := r.drainAndSendOrder(ctx, o)
	if err == nil {
		err = r.awaitLoad(ctx, o)
	}
	r.applyInput(o.shard, func(now time.Time, owner *pool.Owner) { owner.SetOrderPending(now, name, false) })
	p := r.placer
	p.mu.Lock()
	delete(p.orders, name)
	p.mu.Unlock()
	if err != nil {
		r.log.Warnf("placement: move of server %s out of pool %s failed: %v", name, o.move.GetFrom(), err)
		return
	}
	r.log.Infof("placement: server %s has moved to pool %s", name, o.move.GetTo())
}

// drainAndSendOrder waits until the engine is idle and this router holds the
// engine's lease, then sends the order.
func (r *Router) drainAndSendOrder(ctx context.Context, o *engineOrder) error {
	ctx, cancel := context.WithTimeout(ctx, prepareTimeout)
	defer cancel()
	lease := orders.NewLeaseCandidate(orders.Holder(r.self.Name, r.self.Incarnation))
	tick := time.NewTicker(orderPollInterval)
	defer tick.Stop()
	for {
		idle, owned := r.engineIdle(o)
		if !owned {
			return ownerMovedError()
		}
		now := time.Now()
		if number, ok := lease.Number(now); ok && idle {
			return r.sendOrder(ctx, now, o, number)
		}
		if idle && r.advanceLease(ctx, lease, o.move.GetServer()) {
			continue
		}
		select {
		case <-ctx.Done():
			return result.New(result.WaitExpired, "running requests or the lease of an earlier holder did not end in time")
		case <-tick.C:
		}
	}
}

// ownerMovedError is the error for an order whose shard has moved.
func ownerMovedError() error {
	return result.New(result.OwnerUnavailable, "another router owns the pool")
}

// engineIdle reports whether the engine is idle and whether this router still
// owns its pool. Only a load report that was taken after the engine stopped
// receiving new work counts.
func (r *Router) engineIdle(o *engineOrder) (idle, owned bool) {
	if r.localShard(o.shard.id) != o.shard {
		return false, false
	}
	owned = r.applyInput(o.shard, func(now time.Time, owner *pool.Owner) {
		for _, s := range owner.Usage(now).Servers {
			if s.Name == o.move.GetServer() {
				idle = s.Idle && s.LoadTakenAt.After(o.drainingSince)
			}
		}
	})
	return idle, owned
}

// advanceLease makes at most one call to control to acquire or renew the lease
// and reports whether this router holds the lease now.
func (r *Router) advanceLease(ctx context.Context, lease *orders.LeaseCandidate, server string) bool {
	ctx, cancel := context.WithTimeout(ctx, fenceTimeout)
	defer cancel()
	fences := r.placer.fences
	step, next := lease.NextProposal(time.Now())
	if step == orders.ProposalNone {
		out, err := fences.AcquireFence(ctx, &apiv1.Fence{Server: server}, nil)
		if err == nil && out.GetPresent() != nil {
			lease.ObserveRecord(time.Now(), orders.LeaseRecordFromMessage(out.GetPresent()))
		}
		return false
	}
	observed := lease.ObservedRecord()
	lease.ProposalSent(time.Now())
	out, err := fences.AcquireFence(ctx, orders.LeaseRecordToMessage(observed), orders.LeaseRecordToMessage(next))
	switch {
	case err != nil || out.GetPresent() == nil:
		lease.ProposalOutcomeUnknown()
		return false
	case out.GetCode() != 0:
		lease.ProposalRejected(time.Now(), orders.LeaseRecordFromMessage(out.GetPresent()))
		return false
	}
	lease.ProposalCommitted(time.Now(), orders.LeaseRecordFromMessage(out.GetPresent()))
	_, held := lease.Number(time.Now())
	return held
}

// sendOrder sends the order once, at most OrderTimeout after the lease allowed
// it. An error means that the order was not sent or that the engine refused it.
// If the response is lost, the announcements of the engine show whether it
// obeyed.
func (r *Router) sendOrder(ctx context.Context, allowed time.Time, o *engineOrder, number uint64) error {
	a, live := r.servers.liveAnnouncement(time.Now(), o.move.GetServer())
	if !live {
		return result.New(result.NoServer, "the engine sends no announcements")
	}
	body, err := json.Marshal(loadOrder{Action: "load", Model: o.move.GetTo(), Fence: number})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(ctx, allowed.Add(orders.OrderTimeout))
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.Address+orderPath, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	if key := r.placer.cfg.OrderKey; key != "" {
		req.Header.Set("Authorization", bearerPrefix+key)
	}
	if !r.applyInput(o.shard, func(time.Time, *pool.Owner) { o.shard.ordersInFlight++ }) {
		return ownerMovedError()
	}
	resp, err := r.placer.client.Do(req)
	r.applyInput(o.shard, func(time.Time, *pool.Owner) { o.shard.ordersInFlight-- })
	r.placer.mu.Lock()
	o.sent = true
	r.placer.mu.Unlock()
	if err != nil {
		r.log.Warnf("placement: no response of server %s to order %d: %v", a.Name, number, err)
		return nil
	}
	resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("the engine answered %s to order %d", resp.Status, number)
	}
	return nil
}

// awaitLoad waits until the engine serves the other pool. It returns an error
// if the engine ignores the order or the load takes too long.
func (r *Router) awaitLoad(ctx context.Context, o *engineOrder) error {
	sentAt := time.Now()
	tick := time.NewTicker(orderPollInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		a, live := r.servers.liveAnnouncement(time.Now(), o.move.GetServer())
		elapsed := time.Since(sentAt)
		switch {
		case live && a.Pool == o.move.GetTo():
			return nil
		case live && a.State == backend.Ready && elapsed > orderEffectTimeout:
			return result.New(result.ServerError, "the engine did not start to load within %s", orderEffectTimeout)
		case elapsed > loadTimeout:
			return result.New(result.ServerError, "the load took longer than %s", loadTimeout)
		}
	}
}
