package router

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/catalog"
	"jackdawtrack.example/jackdawtrack/pkg/fairshare"
	"jackdawtrack.example/jackdawtrack/pkg/pool"
)

// sentPeers passes what is sent to a function.
type sentPeers func(to string, e *apiv1.Envelope)

func (s sentPeers) Send(to string, e *apiv1.Envelope) bool { s(to, e); return true }

var testSelf = pool.RouterID{Name: "rt-1", DataCentre: "north", Incarnation: 7}

// stillRouter is a router whose reconcile the test calls with its own time.
func stillRouter(others ...pool.RouterID) (*Router, *movable) {
	m := &movable{all: append([]pool.RouterID{testSelf}, others...), epoch: 1}
	cfg := NewConfig()
	cfg.Name, cfg.DataCentre = testSelf.Name, testSelf.DataCentre
	return New(cfg, testSelf, Parts{Catalog: catalog.NewStore(), Ownership: m, Pool: pool.DefaultConfig()}), m
}

// Guards against totals that are sent more often than the control traffic
// allows, or later than the bound of the fairness gap allows.
func TestTotalsAreExchangedAtMultiplesOfTheInterval(t *testing.T) {
	r, _ := stillRouter(pool.RouterID{Name: "rt-2", DataCentre: "south", Incarnation: 9})
	sent := 0
	r.SetPeers(sentPeers(func(_ string, e *apiv1.Envelope) {
		if e.GetTotals() != nil {
			sent++
		}
	}))
	const step = 70 * time.Millisecond // not a divisor of the interval
	start := time.Unix(1000, 0).Add(13 * time.Millisecond)
	for at := start; at.Before(start.Add(20 * fairshare.ExchangeInterval)); at = at.Add(step) {
		r.ledger.Charge(r.ledger.Account("w"), 1)
		before := sent
		r.reconcile(at)
		due := at == start || at.Sub(at.Truncate(fairshare.ExchangeInterval)) < step
		assert.Equal(t, sent-before == 1, due, "after %s", at.Sub(start))
	}
}

// Guards against memory that grows with each restart of a router, against
// totals of a running router that are dropped, and against a partition whose
// service is discarded.
func TestTotalsOfGoneRoutersAreDropped(t *testing.T) {
	listed := pool.RouterID{Name: "rt-2", DataCentre: "north", Incarnation: 1}
	fixed := pool.RouterID{Name: "rt-3", DataCentre: "north"}
	raised := pool.RouterID{Name: "rt-4", DataCentre: "north", Incarnation: 6} // in membership; its connection says 5
	r, members := stillRouter(listed, fixed, raised)
	r.restarted(pool.RouterID{Name: "rt-4", DataCentre: "north", Incarnation: 5})
	now := time.Unix(1000, 0)
	units := func(name string, incarnation uint64) fairshare.Origin {
		o := fairshare.Origin{Name: name, DataCentre: "north", Incarnation: incarnation}
		r.ledger.Merge(o, []fairshare.Total{{Workspace: "w", Units: 10}}, true)
		return o
	}
	units("rt-2", 1)
	units("rt-3", 4)
	units("rt-4", 5)
	away := units("rt-5", 1)
	const restarts = 20
	for i := range uint64(restarts) {
		id := pool.RouterID{Name: "rt-2", DataCentre: "north", Incarnation: i + 2}
		units("rt-2", id.Incarnation)
		members.all[1] = id
		now = now.Add(fairshare.ExchangeInterval)
		r.reconcile(now)
	}
	awaySince := now.Add(-(restarts - 1) * fairshare.ExchangeInterval)
	most := func(want int) {
		t.Helper()
		assert.Equal(t, len(r.ledger.Origins()), want, fmt.Sprint(r.ledger.Origins()))
		assert.Equal(t, r.ledger.Value("w"), int64(10*(restarts+4)), "dropping must not change a total")
	}
	before := fairshare.Origin{Name: "rt-2", DataCentre: "north", Incarnation: restarts}
	r.reconcile(now.Add(59 * time.Second))
	assert.Assert(t, slices.Contains(r.ledger.Origins(), before))
	r.reconcile(now.Add(60 * time.Second))
	most(4) // the last incarnation of rt-2, rt-3, rt-4 and the one away
	r.reconcile(awaySince.Add(10*time.Minute - time.Second))
	most(4)
	r.ledger.Merge(away, []fairshare.Total{{Workspace: "w", Units: 20}}, false)
	assert.Equal(t, r.ledger.Value("w"), int64(10*(restarts+5)), "service during a partition counts after it")
	r.reconcile(awaySince.Add(10 * time.Minute))
	assert.Equal(t, len(r.ledger.Origins()), 3)
}
