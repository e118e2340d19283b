package router

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/catalog"
	"jackdawtrack.example/jackdawtrack/pkg/control"
	"jackdawtrack.example/jackdawtrack/pkg/orders"
	"jackdawtrack.example/jackdawtrack/pkg/pool"
	"jackdawtrack.example/jackdawtrack/pkg/result"
	"jackdawtrack.example/jackdawtrack/pkg/settings"
	"jackdawtrack.example/jackdawtrack/pkg/standin"
)

// singleHostLog is the in-memory log of a single control host.
type singleHostLog struct {
	state *control.ReplicatedState
	index atomic.Uint64
}

func (l *singleHostLog) Propose(_ context.Context, command []byte) (any, error) {
	return l.state.Apply(l.index.Add(1), command), nil
}
func (l *singleHostLog) ReadBarrier(context.Context) error                        { return nil }
func (l *singleHostLog) ChangeMember(context.Context, control.MemberChange) error { return nil }
func (l *singleHostLog) Status() control.LogStatus                                { return control.LogStatus{ID: 1, Leader: 1} }

// testFences calls a control server as a given router.
type testFences struct {
	server      *control.Server
	holder      string
	incarnation uint64
}

func (f testFences) AcquireFence(ctx context.Context, observed, next *apiv1.Fence) (*apiv1.AcquireFenceResponse, error) {
	return f.server.AcquireFence(ctx, &apiv1.AcquireFenceRequest{Observed: observed, Next: next, Router: f.holder, Incarnation: f.incarnation})
}

func newControl() *control.Server {
	state := control.NewReplicatedState()
	return control.NewServer(control.Config{Registry: metrics.NewRegistry()}, &singleHostLog{state: state}, state)
}

const testLoadsPerMinute = 30

func withPlacement(server *control.Server) func(*Config, *Dependencies) {
	return func(cfg *Config, deps *Dependencies) {
		cfg.Placement = Placement{LoadsPerMinute: testLoadsPerMinute, MinStay: settings.Duration(100 * time.Millisecond)}
		deps.Fences = testFences{server, cfg.Name, map[string]uint64{"rt-1": 7, "rt-2": 9}[cfg.Name]}
		deps.reportInterval = 100 * time.Millisecond
	}
}

func engineSettings(name, pool string) standin.ServerSettings {
	return standin.ServerSettings{
		Name: name, Kind: backend.Engine, Pool: pool, Slots: 2, Loadable: []string{"a", "b"},
		TokenInterval: settings.Duration(10 * time.Millisecond), LoadTime: settings.Duration(500 * time.Millisecond),
	}
}

func receivedOrders(t testing.TB, address string) (list []standin.ExecutedOrder) {
	t.Helper()
	resp, err := http.Get("http://" + address + orderPath)
	assert.NilError(t, err)
	defer resp.Body.Close()
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&list))
	return list
}

// sendStreams sends chat requests for a pool, one after the other, until stop
// is set. It counts incomplete responses in broken.
func sendStreams(t *testing.T, tr *testRouter, pool string, tokens int, stop *atomic.Bool, broken *atomic.Int64) {
	body := fmt.Sprintf(`{"model":"%s","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"x"}]}`, pool, tokens)
	for !stop.Load() {
		resp, text := tryDo(tr.request(t, http.MethodPost, chatPath, "chat", body))
		if resp == nil || !strings.HasSuffix(text, "data: [DONE]\n\n") || strings.Contains(text, "event: error") {
			t.Logf("%s: %.300s", pool, text)
			broken.Add(1)
		}
	}
}

// TestDemandMovesEngines checks that engines move to the pool with more demand.
// No response is interrupted, the load limit of the weight store is kept, and a
// pool with demand keeps its last engine. The pools belong to different
// routers, one of which plans.
func TestDemandMovesEngines(t *testing.T) {
	server := newControl()
	p := newRouterPair(t, func(i int, cfg *Config, deps *Dependencies) {
		withPlacement(server)(cfg, deps)
		deps.Ownership.(*fakeOwners).fixed = map[string]int{"a": 0, "b": 1, plannerPool: 0}
	})
	var addresses []string
	for i, e := range []standin.ServerSettings{engineSettings("s1", "a"), engineSettings("s2", "b"), engineSettings("s3", "b"), engineSettings("s4", "b")} {
		addresses = append(addresses, p.callers[min(i, 1)].startStandin(t, e))
	}
	p.callers[0].waitFor(t, "each router knows both pools", func() bool {
		for _, r := range p.routers {
			for _, name := range []string{"a", "b"} {
				if _, ok := r.servers.poolForModel(time.Now(), name); !ok {
					return false
				}
			}
		}
		return true
	})
	var stop atomic.Bool
	var broken atomic.Int64
	var callers sync.WaitGroup
	t.Cleanup(func() { stop.Store(true); callers.Wait() })
	for i := range 10 {
		callers.Go(func() { sendStreams(t, p.callers[i%2], "a", 20, &stop, &broken) })
	}
	callers.Go(func() { sendStreams(t, p.callers[0], "b", 60, &stop, &broken) })
	busyEngines := func() (busy int) {
		p.routers[0].applyIfOwner(p.routers[0].shardOf("a"), func(_ time.Time, o *pool.Owner) {
			for _, v := range o.Snapshot().Servers {
				if v.Usable && v.InFlight > 0 {
					busy++
				}
			}
		})
		return busy
	}
	p.callers[0].waitFor(t, "an engine has moved to the overloaded pool and runs requests", func() bool { return busyEngines() >= 2 })
	p.callers[0].waitFor(t, "two engines have moved to the overloaded pool and run requests", func() bool { return busyEngines() == 3 })
	stop.Store(true)
	callers.Wait()
	assert.Equal(t, broken.Load(), int64(0))
	var orderTimes []time.Time
	for _, address := range addresses {
		for _, o := range receivedOrders(t, address) {
			assert.Equal(t, o.Broken, 0)
			orderTimes = append(orderTimes, o.At)
		}
	}
	slices.SortFunc(orderTimes, time.Time.Compare)
	assert.Equal(t, len(orderTimes), 2)
	assert.Assert(t, orderTimes[1].Sub(orderTimes[0]) >= time.Minute/testLoadsPerMinute, "only %s between two loads", orderTimes[1].Sub(orderTimes[0]))
}

// runMoveOrder orders a stand-in to move from pool b to pool a and waits until
// the order has ended.
func (tr *testRouter) runMoveOrder(t *testing.T, name string) {
	t.Helper()
	tr.waitFor(t, "the placer runs", func() bool { // a router that has just started carries out no moves
		p := tr.router.placer
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.ctx != nil
	})
	tr.router.receiveMove(tr.router.self.Name, &apiv1.PlannedMove{Server: name, From: "b", To: "a"})
	tr.waitFor(t, "the order has ended", func() bool {
		return len(tr.router.Status().Orders) == 0
	})
}

// TestEngineReceivesWorkAfterRefusedFence checks that an engine that refused an
// outdated fencing number receives work again.
func TestEngineReceivesWorkAfterRefusedFence(t *testing.T) {
	server := newControl()
	tr := newTestRouter(t, withPlacement(server))
	s := engineSettings("s1", "b")
	s.CheckFence = true
	address := tr.startStandin(t, s)
	resp, err := http.Post("http://"+address+orderPath, "application/json", strings.NewReader(`{"action":"role","fence":100}`))
	assert.NilError(t, err)
	resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	tr.runMoveOrder(t, "s1")
	assert.Equal(t, len(receivedOrders(t, address)), 1)
	record, err := testFences{server, "rt-1", 7}.AcquireFence(context.Background(), &apiv1.Fence{Server: "s1"}, nil)
	assert.NilError(t, err)
	assert.Equal(t, record.GetPresent().GetNumber(), uint64(1), "the router did not acquire the lease for its order")
	tr.waitFor(t, "the engine receives work again", func() bool {
		v := tr.router.Status().Shards[0].Servers[0]
		return v.Usable && v.Name == "s1"
	})
}

// TestOrderWaitsForLeaseOfEarlierHolder checks that no order is sent while the
// lease of an earlier holder may be valid, even if the engine ignores fencing
// numbers, and that the fencing number rises.
func TestOrderWaitsForLeaseOfEarlierHolder(t *testing.T) {
	server := newControl()
	tr := newTestRouter(t, withPlacement(server))
	address := tr.startStandin(t, engineSettings("s1", "b"))
	earlierHolder := testFences{server, "rt-9", 7}
	next := &apiv1.Fence{Server: "s1", Number: 1, Holder: orders.Holder("rt-9", 7)}
	out, err := earlierHolder.AcquireFence(context.Background(), &apiv1.Fence{Server: "s1"}, next)
	assert.NilError(t, err)
	assert.Equal(t, result.Code(out.GetCode()), result.OK)
	acquiredAt := time.Now()
	tr.runMoveOrder(t, "s1")
	list := receivedOrders(t, address)
	assert.Equal(t, len(list), 1)
	assert.Equal(t, list[0].Fence, uint64(2))
	assert.Assert(t, list[0].At.Sub(acquiredAt) > orders.LeaseDuration, "order was sent after %s", list[0].At.Sub(acquiredAt))
}

// TestMoveLimitCountsFromTheSentOrder checks that the time between two moves
// counts from the sent order. If it counted from the plan, an order that waits
// for its engine to drain could reach the weight store together with the next
// one. It also checks that no move is planned while a router of the data centre
// is not live, because that router may plan too.
func TestMoveLimitCountsFromTheSentOrder(t *testing.T) {
	cfg := NewConfig()
	cfg.Name, cfg.DataCentre = "rt-1", "north"
	self := pool.RouterID{Name: "rt-1", DataCentre: "north"}
	ownership := &fakeOwners{all: []pool.RouterID{self}}
	deps := Dependencies{Catalog: catalog.NewStore(), Ownership: ownership, Pool: pool.DefaultConfig()}
	withPlacement(newControl())(cfg, &deps)
	r := New(cfg, self, deps)
	now := time.Now()
	var engines []*apiv1.EngineReport
	for _, name := range []string{"s1", "s2", "s3", "s4"} {
		r.servers.update(now, backend.Announcement{Name: name, Pool: "b", State: backend.Ready, Loadable: []string{"a"}})
		engines = append(engines, &apiv1.EngineReport{Name: name, UnitsPerS: 100})
	}
	now = now.Add(time.Minute)
	step := 100 * time.Millisecond
	nextMove := func() string {
		now = now.Add(step)
		r.placer.reports["a"] = poolReport{&apiv1.PoolReport{Pool: "a", UnitsPerS: 1000}, now}
		r.placer.reports["b"] = poolReport{&apiv1.PoolReport{Pool: "b", UnitsPerS: 1, Engines: engines}, now}
		before := r.placer.planner.lastMoveAt
		r.planMove(now)
		if r.placer.planner.lastMoveAt == before {
			return ""
		}
		return r.placer.planner.lastMovedServer
	}
	assert.Equal(t, nextMove(), "s1")
	engines[0].Ordered = true
	for range 1000 {
		assert.Equal(t, nextMove(), "", "planned a move before the last order was sent")
	}
	engines[0].Sent = true
	sentAt := now.Add(step)
	for nextMove() == "" {
	}
	assert.Equal(t, r.placer.planner.lastMovedServer, "s2")
	assert.Assert(t, now.Sub(sentAt) >= time.Minute/testLoadsPerMinute, "planned %s after the order was sent", now.Sub(sentAt))

	engines[0].Sent, ownership.lost = false, 1
	r.planMove(now)
	engines[0].Ordered = false
	for range 1000 {
		assert.Equal(t, nextMove(), "", "planned a move while a router is not live")
	}
}

// TestHandoverWaitsForOrderOnItsWay checks that a shard is not handed over
// while an order is in flight. The next owner would grant work on the engine,
// and the order would interrupt it.
func TestHandoverWaitsForOrderOnItsWay(t *testing.T) {
	cfg := NewConfig()
	ids := []pool.RouterID{{Name: "rt-1", DataCentre: "north"}, {Name: "rt-2", DataCentre: "north"}}
	ownership := &fakeOwners{all: ids}
	r := New(cfg, ids[0], Dependencies{Catalog: catalog.NewStore(), Ownership: ownership, Pool: pool.DefaultConfig()})
	s := r.localShard(pool.ShardID{DataCentre: "north", Pool: "b"})
	s.ordersInFlight = 1
	ownership.setOwner(1)
	r.releaseLostShards()
	assert.Assert(t, !s.handedOver && len(r.ownedShards()) == 1)
	s.ordersInFlight = 0
	r.releaseLostShards()
	assert.Assert(t, s.handedOver && len(r.ownedShards()) == 0)
}
