package core

import (
	"context"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/fleet"
	"jackdawtrack.example/jackdawtrack/pkg/replica"
	"jackdawtrack.example/jackdawtrack/pkg/streamrecord"
)

// testDocument leads the moved place to the service, and another place to testService.
func testDocument(version uint64, service string) *apiv1.FleetDocument {
	return &apiv1.FleetDocument{Version: version, HasStreamRoutes: true, StreamRoutes: []*apiv1.StreamRoute{
		fleet.NewStreamRoute("h/moved/", []string{service}), fleet.NewStreamRoute("h/kept/", []string{testService}),
	}}
}

// routesTest drives a leader through virtual time.
type routesTest struct {
	*releaseTest
	index uint64
}

func (r *routesTest) apply(c *apiv1.FleetCommand) {
	data, err := fleet.EncodeCommand(c)
	assert.NilError(r.t, err)
	r.index++
	r.h.state.Apply(r.index, data)
}

// move moves the route to another service.
func (r *routesTest) move(service string) {
	r.apply(&apiv1.FleetCommand{Document: testDocument(r.index+1, service)})
}

// run lets the time pass and returns the last result of a check.
func (r *routesTest) run(d time.Duration) (settled uint64) {
	for end := r.now.Add(d); r.now.Before(end); {
		r.now = r.now.Add(flushInterval)
		status := replica.Status{ID: 1, Leader: 2, Term: 9}
		if r.term != 0 {
			status = replica.Status{ID: 1, Leader: 1, Term: r.term}
		}
		r.lead.update(r.now, status)
		settled = r.lead.settledRoutes(r.now, r.h.state)
	}
	return settled
}

// Guards against a change of a route that is forgotten while an edge host that is cut off
// may route by the configuration before, or by a leader that has not waited for long
// enough, and against one that is never forgotten.
func TestRouteChangeIsSettled(t *testing.T) {
	const almost = routeSettleTime - time.Second
	for _, c := range []struct {
		name   string
		before func(r *routesTest) // after the change at index 2
		rest   time.Duration
		want   uint64 // index up to which the changes are settled
	}{
		{"too early", func(r *routesTest) { r.run(almost) }, 0, 0},
		{"after routeSettleTime", func(r *routesTest) { r.run(almost) }, 2 * time.Second, 2},
		{"sent again", func(r *routesTest) { r.run(2 * routeSettleTime) }, 0, 2},
		{"another change of the state", func(r *routesTest) {
			r.run(almost)
			r.apply(&apiv1.FleetCommand{Mark: &apiv1.FleetMark{DataCentre: "z", Out: true}})
		}, 2 * time.Second, 2},
		{"a later change of another route", func(r *routesTest) {
			r.run(almost)
			r.apply(&apiv1.FleetCommand{Document: &apiv1.FleetDocument{Version: 9, HasStreamRoutes: true, StreamRoutes: testDocument(9, "t").StreamRoutes[:1]}})
		}, 2 * time.Second, 2},
		{"moved again", func(r *routesTest) {
			r.run(almost)
			r.move("u")
		}, 2 * time.Second, 0},
		{"new leader", func(r *routesTest) {
			r.run(almost)
			r.term = 2
		}, 2 * time.Second, 0},
		{"not the leader", func(r *routesTest) { r.term = 0 }, 2 * routeSettleTime, 0},
		{"settled", func(r *routesTest) { r.apply(&apiv1.FleetCommand{SettledRoutes: 2}) }, 2 * routeSettleTime, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := &routesTest{releaseTest: &releaseTest{t: t, h: newTestHost(), now: time.Unix(1_700_000_000, 0), term: 1}}
			r.move(testService)
			assert.Equal(t, r.run(2*routeSettleTime), uint64(0), "the first configuration changes nothing")
			r.move("t")
			c.before(r)
			assert.Equal(t, r.run(max(c.rest, flushInterval)), c.want)
		})
	}
}

func (c *poweredCore) submitCommand(command *apiv1.FleetCommand) {
	c.t.Helper()
	c.waitFor("a committed command", func() bool {
		ctx, cancel := context.WithTimeout(c.t.Context(), operatorTimeout)
		defer cancel()
		return c.hosts[1].submit(ctx, command) == nil
	})
}

// awaitAnswer waits for an answer that is based on the confirmed log.
func (c *poweredCore) awaitAnswer(n int, place string, want streamrecord.State) {
	c.t.Helper()
	c.waitFor("the confirmation of the history", func() bool {
		a := askAt(c.t, c.address(n), testService, place)
		assert.Assert(c.t, a.State == want || a.State == streamrecord.Unconfirmed, "host %d, %s: %s", n, place, a.State)
		return a.State == want
	})
}

// Guards against a stream that goes on at another service because its record and the
// time of the change of its route are lost with the power of all hosts, and against
// refusals at routes that have not changed.
func TestMovedRouteIsKnownAfterPowerLoss(t *testing.T) {
	c := newPoweredCore(t, 1)
	c.announce(1, "a", v1)
	c.waitRelease(v1, 1, 2, 3)
	c.awaitAnswer(1, "h/kept/", streamrecord.Unknown) // the configurations so far state no routes
	c.submitCommand(&apiv1.FleetCommand{Document: testDocument(c.version+1, "t")})
	c.submitCommand(&apiv1.FleetCommand{SettledRoutes: math.MaxUint64})
	c.awaitAnswer(1, "h/kept/", streamrecord.Sole)
	c.submitCommand(&apiv1.FleetCommand{Document: testDocument(c.version+2, testService)})
	c.awaitAnswer(1, "h/moved/", streamrecord.Unknown)
	c.power.Fail()
	c.restart(0)
	for n := 1; n <= poweredHosts; n++ {
		c.awaitAnswer(n, "h/moved/", streamrecord.Unknown)
		c.awaitAnswer(n, "h/kept/", streamrecord.Sole)
	}
	c.submitCommand(&apiv1.FleetCommand{SettledRoutes: math.MaxUint64})
	for n := 1; n <= poweredHosts; n++ {
		c.awaitAnswer(n, "h/moved/", streamrecord.Sole)
	}
}
