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

// oneHost is the log of a single control host without a disk.
type oneHost struct {
	state *control.State
	index atomic.Uint64
}

func (l *oneHost) Propose(_ context.Context, command []byte) (any, error) {
	return l.state.Apply(l.index.Add(1), command), nil
}
func (l *oneHost) ReadBarrier(context.Context) error                        { return nil }
func (l *oneHost) ChangeMember(context.Context, control.MemberChange) error { return nil }
func (l *oneHost) Status() control.LogStatus                                { return control.LogStatus{ID: 1, Leader: 1} }

// testFences calls a control server as one router.
type testFences struct {
	server      *control.Server
	holder      string
	incarnation uint64
}

func (f testFences) AcquireFence(ctx context.Context, observed, next *apiv1.Fence) (*apiv1.AcquireFenceResponse, error) {
	return f.server.AcquireFence(ctx, &apiv1.AcquireFenceRequest{Observed: observed, Next: next, Router: f.holder, Incarnation: f.incarnation})
}

func newControl() *control.Server {
	state := control.NewState()
	return control.NewServer(control.Config{Registry: metrics.NewRegistry()}, &oneHost{state: state}, state)
}

const testLoads = 30 // a minute

func placing(server *control.Server) func(*Config, *Parts) {
	return func(cfg *Config, parts *Parts) {
		cfg.Placement = Placement{LoadsPerMinute: testLoads, MinStay: settings.Duration(100 * time.Millisecond)}
		parts.Fences = testFences{server, cfg.Name, map[string]uint64{"rt-1": 7, "rt-2": 9}[cfg.Name]}
		parts.reportInterval = 100 * time.Millisecond
	}
}

func engine(name, pool string) standin.ServerSettings {
	return standin.ServerSettings{
		Name: name, Kind: backend.Engine, Pool: pool, Slots: 2, Loadable: []string{"a", "b"},
		TokenInterval: settings.Duration(10 * time.Millisecond), LoadTime: settings.Duration(500 * time.Millisecond),
	}
}

func obeyed(t testing.TB, address string) (list []standin.ObeyedOrder) {
	t.Helper()
	answer, err := http.Get("http://" + address + orderPath)
	assert.NilError(t, err)
	defer answer.Body.Close()
	assert.NilError(t, json.NewDecoder(answer.Body).Decode(&list))
	return list
}

// stream sends chats for a pool one after the other until stop and counts
// answers that are not whole.
func stream(t *testing.T, f *fleet, pool string, tokens int, stop *atomic.Bool, cut *atomic.Int64) {
	body := fmt.Sprintf(`{"model":"%s","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"x"}]}`, pool, tokens)
	for !stop.Load() {
		resp, text := tryDo(f.request(t, http.MethodPost, chatPath, "chat", body))
		if resp == nil || !strings.HasSuffix(text, "data: [DONE]\n\n") || strings.Contains(text, "event: error") {
			t.Logf("%s: %.300s", pool, text)
			cut.Add(1)
		}
	}
}

// Guards against demand that moves no engine, a load that cuts an answer,
// loads beyond the limit of the weight store, and a pool with demand that loses
// its last engine. One router plans; the pools belong to different routers.
func TestDemandMovesEngines(t *testing.T) {
	server := newControl()
	p := newPair(t, func(i int, cfg *Config, parts *Parts) {
		placing(server)(cfg, parts)
		parts.Ownership.(*movable).fixed = map[string]int{"a": 0, "b": 1, plannerPool: 0}
	})
	var addresses []string
	for i, e := range []standin.ServerSettings{engine("s1", "a"), engine("s2", "b"), engine("s3", "b"), engine("s4", "b")} {
		addresses = append(addresses, p.callers[min(i, 1)].standIn(t, e))
	}
	p.callers[0].await(t, "each router knows both pools", func() bool {
		for _, r := range p.routers {
			for _, name := range []string{"a", "b"} {
				if _, ok := r.servers.poolOf(time.Now(), name); !ok {
					return false
				}
			}
		}
		return true
	})
	var stop atomic.Bool
	var cut atomic.Int64
	var callers sync.WaitGroup
	t.Cleanup(func() { stop.Store(true); callers.Wait() })
	for i := range 10 {
		callers.Go(func() { stream(t, p.callers[i%2], "a", 20, &stop, &cut) })
	}
	callers.Go(func() { stream(t, p.callers[0], "b", 60, &stop, &cut) })
	working := func() (usable int) {
		p.routers[0].atShard(p.routers[0].shardOf("a"), func(_ time.Time, o *pool.Owner) {
			for _, v := range o.Snapshot().Servers {
				if v.Usable && v.InFlight > 0 {
					usable++
				}
			}
		})
		return usable
	}
	p.callers[0].await(t, "an engine has moved to the short pool and works", func() bool { return working() >= 2 })
	p.callers[0].await(t, "two engines have moved to the short pool and work", func() bool { return working() == 3 })
	stop.Store(true)
	callers.Wait()
	assert.Equal(t, cut.Load(), int64(0))
	var times []time.Time
	for _, address := range addresses {
		for _, o := range obeyed(t, address) {
			assert.Equal(t, o.Broken, 0)
			times = append(times, o.At)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	assert.Equal(t, len(times), 2)
	assert.Assert(t, times[1].Sub(times[0]) >= time.Minute/testLoads, "%s between two loads", times[1].Sub(times[0]))
}

// order lets a fleet of one router order a stand-in to move from pool b to a.
func (f *fleet) order(t *testing.T, name string) {
	t.Helper()
	f.router.receiveMove(f.router.self.Name, &apiv1.PlannedMove{Server: name, From: "b", To: "a"})
	f.await(t, "the order is over", func() bool {
		return len(f.router.Status().Orders) == 0
	})
}

// Guards against an engine that is given up, or held forever, after it refused
// an old fencing number.
func TestOldNumberIsRefused(t *testing.T) {
	server := newControl()
	f := newFleet(t, placing(server))
	s := engine("s1", "b")
	s.CheckFence = true
	address := f.standIn(t, s)
	answer, err := http.Post("http://"+address+orderPath, "application/json", strings.NewReader(`{"action":"role","fence":100}`))
	assert.NilError(t, err)
	answer.Body.Close()
	assert.Equal(t, answer.StatusCode, http.StatusOK)
	f.order(t, "s1")
	assert.Equal(t, len(obeyed(t, address)), 1)
	record, err := testFences{server, "rt-1", 7}.AcquireFence(context.Background(), &apiv1.Fence{Server: "s1"}, nil)
	assert.NilError(t, err)
	assert.Equal(t, record.GetPresent().GetNumber(), uint64(1), "no order was given")
	f.await(t, "the engine gets work again", func() bool {
		v := f.router.Status().Shards[0].Servers[0]
		return v.Usable && v.Name == "s1"
	})
}

// Guards against an order, to an engine that ignores fencing numbers, while the
// lease of an earlier holder may still run, and against a lesser number than
// that holder's.
func TestOrderWaitsForLeaseOfEarlierHolder(t *testing.T) {
	server := newControl()
	f := newFleet(t, placing(server))
	address := f.standIn(t, engine("s1", "b"))
	earlier := testFences{server, "rt-9", 7}
	next := &apiv1.Fence{Server: "s1", Number: 1, Holder: orders.Holder("rt-9", 7)}
	out, err := earlier.AcquireFence(context.Background(), &apiv1.Fence{Server: "s1"}, next)
	assert.NilError(t, err)
	assert.Equal(t, result.Code(out.GetCode()), result.OK)
	held := time.Now()
	f.order(t, "s1")
	list := obeyed(t, address)
	assert.Equal(t, len(list), 1)
	assert.Equal(t, list[0].Fence, uint64(2))
	assert.Assert(t, list[0].At.Sub(held) > orders.LeaseDuration, "order after %s", list[0].At.Sub(held))
}

// Guards against a pace that counts from the plan: an order that waits for its
// engine to run empty would reach the weight store together with the next one.
// Also against a planner that plans while a router of its data centre is not
// live, and another planner may.
func TestPaceCountsFromTheOrder(t *testing.T) {
	cfg := NewConfig()
	cfg.Name, cfg.DataCentre = "rt-1", "north"
	self := pool.RouterID{Name: "rt-1", DataCentre: "north"}
	own := &movable{all: []pool.RouterID{self}}
	parts := Parts{Catalog: catalog.NewStore(), Ownership: own, Pool: pool.DefaultConfig()}
	placing(newControl())(cfg, &parts)
	r := New(cfg, self, parts)
	now := time.Now()
	var engines []*apiv1.EngineReport
	for _, name := range []string{"s1", "s2", "s3", "s4"} {
		r.servers.update(now, backend.Announcement{Name: name, Pool: "b", State: backend.Ready, Loadable: []string{"a"}})
		engines = append(engines, &apiv1.EngineReport{Name: name, UnitsPerS: 100})
	}
	now = now.Add(time.Minute)
	step := 100 * time.Millisecond
	next := func() string {
		now = now.Add(step)
		r.placer.reports["a"] = poolReport{&apiv1.PoolReport{Pool: "a", UnitsPerS: 1000}, now}
		r.placer.reports["b"] = poolReport{&apiv1.PoolReport{Pool: "b", UnitsPerS: 1, Engines: engines}, now}
		before := r.placer.planner.movedAt
		r.plan(now)
		if r.placer.planner.movedAt == before {
			return ""
		}
		return r.placer.planner.moved
	}
	assert.Equal(t, next(), "s1")
	engines[0].Ordered = true
	for range 1000 {
		assert.Equal(t, next(), "", "a move while an order is not sent")
	}
	engines[0].Sent = true
	sent := now.Add(step)
	for next() == "" {
	}
	assert.Equal(t, r.placer.planner.moved, "s2")
	assert.Assert(t, now.Sub(sent) >= time.Minute/testLoads, "%s after the order", now.Sub(sent))

	engines[0].Sent, own.gone = false, 1
	r.plan(now)
	engines[0].Ordered = false
	for range 1000 {
		assert.Equal(t, next(), "", "a move while a router is not live")
	}
}

// Guards against a hand-over while an order is on its way: the next owner would
// give work to the engine, and the order would cut it.
func TestHandoverWaitsForOrderOnItsWay(t *testing.T) {
	cfg := NewConfig()
	ids := []pool.RouterID{{Name: "rt-1", DataCentre: "north"}, {Name: "rt-2", DataCentre: "north"}}
	own := &movable{all: ids}
	r := New(cfg, ids[0], Parts{Catalog: catalog.NewStore(), Ownership: own, Pool: pool.DefaultConfig()})
	s := r.local(pool.ShardID{DataCentre: "north", Pool: "b"})
	s.ordering = 1
	own.move(1)
	r.releaseLost()
	assert.Assert(t, !s.closed && len(r.ownedShards()) == 1)
	s.ordering = 0
	r.releaseLost()
	assert.Assert(t, s.closed && len(r.ownedShards()) == 0)
}
