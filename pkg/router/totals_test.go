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

// peersFunc implements Peers with a function.
type peersFunc func(to string, e *apiv1.Envelope)

func (s peersFunc) Send(to string, e *apiv1.Envelope) bool { s(to, e); return true }

var testSelf = pool.RouterID{Name: "rt-1", DataCentre: "north", Incarnation: 7}

// newUnstartedRouter returns a router that does not run. The test calls
// reconcile with its own times.
func newUnstartedRouter(others ...pool.RouterID) (*Router, *fakeOwners) {
	m := &fakeOwners{all: append([]pool.RouterID{testSelf}, others...), epoch: 1}
	cfg := NewConfig()
	cfg.Name, cfg.DataCentre = testSelf.Name, testSelf.DataCentre
	return New(cfg, testSelf, Dependencies{Catalog: catalog.NewStore(), Ownership: m, Pool: pool.DefaultConfig()}), m
}

// TestTotalsAreExchangedAtMultiplesOfTheInterval checks that totals are not
// sent more often than the control traffic allows, nor later than the bound of
// the fairness gap allows.
func TestTotalsAreExchangedAtMultiplesOfTheInterval(t *testing.T) {
	r, _ := newUnstartedRouter(pool.RouterID{Name: "rt-2", DataCentre: "south", Incarnation: 9})
	sent := 0
	r.SetPeers(peersFunc(func(_ string, e *apiv1.Envelope) {
		if e.GetTotals() != nil {
			sent++
		}
	}))
	const step = 70 * time.Millisecond // not a divisor of the interval
	start := time.Unix(1000, 0).Add(13 * time.Millisecond)
	for at := start; at.Before(start.Add(20 * fairshare.TotalsExchangeInterval)); at = at.Add(step) {
		r.ledger.Charge(r.ledger.Account("w"), 1)
		before := sent
		r.reconcile(at)
		due := at == start || at.Sub(at.Truncate(fairshare.TotalsExchangeInterval)) < step
		assert.Equal(t, sent-before == 1, due, "after %s", at.Sub(start))
	}
}

// TestTotalsOfGoneRoutersAreDropped checks that memory does not grow with each
// restart of a router, that totals of running routers are kept, and that
// service during a partition is counted after it.
func TestTotalsOfGoneRoutersAreDropped(t *testing.T) {
	listed := pool.RouterID{Name: "rt-2", DataCentre: "north", Incarnation: 1}
	fixedPeer := pool.RouterID{Name: "rt-3", DataCentre: "north"}
	raisedByMembership := pool.RouterID{Name: "rt-4", DataCentre: "north", Incarnation: 6} // in the membership; its connection has incarnation 5
	r, members := newUnstartedRouter(listed, fixedPeer, raisedByMembership)
	r.updateIncarnation(pool.RouterID{Name: "rt-4", DataCentre: "north", Incarnation: 5})
	now := time.Unix(1000, 0)
	mergeTotals := func(name string, incarnation uint64) fairshare.Origin {
		o := fairshare.Origin{Name: name, DataCentre: "north", Incarnation: incarnation}
		r.ledger.Merge(o, []fairshare.ServiceTotal{{Workspace: "w", Units: 10}}, true)
		return o
	}
	mergeTotals("rt-2", 1)
	mergeTotals("rt-3", 4)
	mergeTotals("rt-4", 5)
	lostOrigin := mergeTotals("rt-5", 1)
	const restarts = 20
	for i := range uint64(restarts) {
		id := pool.RouterID{Name: "rt-2", DataCentre: "north", Incarnation: i + 2}
		mergeTotals("rt-2", id.Incarnation)
		members.all[1] = id
		now = now.Add(fairshare.TotalsExchangeInterval)
		r.reconcile(now)
	}
	lostSince := now.Add(-(restarts - 1) * fairshare.TotalsExchangeInterval)
	expectOrigins := func(want int) {
		t.Helper()
		assert.Equal(t, len(r.ledger.RemoteOrigins()), want, fmt.Sprint(r.ledger.RemoteOrigins()))
		assert.Equal(t, r.ledger.FleetTotal("w"), int64(10*(restarts+4)), "dropping an origin must not change a total")
	}
	previous := fairshare.Origin{Name: "rt-2", DataCentre: "north", Incarnation: restarts}
	r.reconcile(now.Add(59 * time.Second))
	assert.Assert(t, slices.Contains(r.ledger.RemoteOrigins(), previous))
	r.reconcile(now.Add(60 * time.Second))
	expectOrigins(4) // the last incarnation of rt-2, rt-3, rt-4 and the lost rt-5
	r.reconcile(lostSince.Add(10*time.Minute - time.Second))
	expectOrigins(4)
	r.ledger.Merge(lostOrigin, []fairshare.ServiceTotal{{Workspace: "w", Units: 20}}, false)
	assert.Equal(t, r.ledger.FleetTotal("w"), int64(10*(restarts+5)), "service during a partition counts after it")
	r.reconcile(lostSince.Add(10 * time.Minute))
	assert.Equal(t, len(r.ledger.RemoteOrigins()), 3)
}
