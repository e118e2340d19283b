package edge

import (
	"errors"
	"fmt"
	"math"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/dispatch"
	"jackdawtrack.example/jackdawtrack/pkg/logging"
	"jackdawtrack.example/jackdawtrack/pkg/registry"
	"jackdawtrack.example/jackdawtrack/pkg/routing"
)

var start = time.Unix(1_700_000_000, 0)

// Guards against an event that is lost, doubled or passed on in parts, however
// the bytes arrive.
func TestEventsPassWholeInAnyPieces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "events")
		var text strings.Builder
		for id := range n {
			fmt.Fprintf(&text, "id: %d\ndata: %s\n\n", id, rapid.StringMatching(`[a-z]{0,9}`).Draw(t, "data"))
		}
		rest := text.String()
		var e events
		var got strings.Builder
		for rest != "" {
			k := rapid.IntRange(1, len(rest)).Draw(t, "piece")
			whole := e.pending([]byte(rest[:k]))
			got.Write(whole)
			if len(whole) > 0 && !strings.HasSuffix(string(whole), "\n\n") {
				t.Fatalf("part of an event: %q", whole)
			}
			e.passed(whole)
			rest = rest[k:]
		}
		if got.String() != text.String() || e.last != fmt.Sprint(n-1) || e.count != n {
			t.Fatalf("got %q, last %q, %d events", got.String(), e.last, e.count)
		}
	})
}

func TestFollows(t *testing.T) {
	assert.Assert(t, follows("4", "5"))
	assert.Assert(t, !follows("4", "4"))
	assert.Assert(t, !follows("4", "6"))
	assert.Assert(t, !follows("", "1"))
	assert.Assert(t, !follows("4", ""))
}

// Guards against second sends beyond the budget of the fleet in any window,
// with all hosts together.
func TestBudgetHoldsOverTheFleet(t *testing.T) {
	const hosts, requests = 5, 200
	limit := Budget{Ratio: 0.2, Extra: 58}
	spent := 0
	for range hosts {
		b := newBudget(limit)
		b.setHosts(hosts)
		for range requests {
			b.request("s")
			for b.take("s") {
				spent++
			}
		}
	}
	assert.Assert(t, spent > 0)
	assert.Assert(t, float64(spent) <= limit.Ratio*hosts*requests+limit.Extra, "%d", spent)
}

// Guards against a request that is taken from a server that is only slow, and
// that no other server may get because the budget is used up: on a grown
// deployment callers got 502 for requests that were about to be answered.
func TestSlowServerKeepsTheRequestWithoutABudget(t *testing.T) {
	d := dispatch.New("edge", "z", start)
	d.SetServers(start, []dispatch.ServerInfo{{ID: "i", Service: "s", DataCentre: "z", Slots: 6, Ready: true, Heard: start}})
	s := &Server{dispatcher: d, budget: newBudget(Budget{Extra: 1 / budgetUse})}
	other := &dispatch.Request{ID: "other", Service: "s", Arrived: start, Objective: time.Second, Deadline: start.Add(time.Minute)}
	assert.Equal(t, d.Offer(start, other).Kind, dispatch.Send)
	assert.Assert(t, s.givesUp("s", "i", start), "there is a budget")
	assert.Assert(t, s.budget.take("s"))
	assert.Assert(t, s.givesUp("s", "i", start), "the server serves nobody")
	d.Ended(start.Add(time.Second), other, dispatch.Whole)
	assert.Assert(t, !s.givesUp("s", "i", start), "the server serves others")
	assert.Assert(t, s.givesUp("s", "i", start.Add(time.Second)), "it has stopped since")
}

// Guards against second sends beyond the budget: they would double the load of
// servers in trouble.
func TestSecondSendNeedsABudget(t *testing.T) {
	for _, c := range []struct {
		name    string
		budget  bool
		counted bool // a byte may have reached the first server
		want    dispatch.Kind
	}{
		{"within the budget", true, true, dispatch.Send},
		{"beyond it", false, true, dispatch.Refuse},
		{"nothing was sent", false, false, dispatch.Send},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := dispatch.New("edge", "z", start)
			d.SetServers(start, []dispatch.ServerInfo{
				{ID: "i", Service: "s", Address: "10.0.0.1:80", DataCentre: "z", Slots: 6, Ready: true, Heard: start},
				{ID: "j", Service: "s", Address: "10.0.0.2:80", DataCentre: "z", Slots: 6, Ready: true, Heard: start},
			})
			s := &Server{dispatcher: d, budget: newBudget(Budget{Extra: 1 / budgetUse})}
			if !c.budget {
				assert.Assert(t, s.budget.take("s"))
			}
			now := time.Now()
			r := &dispatch.Request{ID: "r", Service: "s", Arrived: now, Objective: time.Second, Deadline: now.Add(time.Minute)}
			first := d.Offer(now, r)
			assert.Equal(t, first.Kind, dispatch.Send)
			d.Ended(now, r, dispatch.NotExecuted)
			assert.Equal(t, s.again(r, first.Server, c.counted).Kind, c.want)
		})
	}
}

func testDecode(data []byte) (*routing.Config, error) {
	if string(data) == "bad" {
		return nil, errors.New("bad")
	}
	return &routing.Config{Version: 1, Services: []routing.Service{{Name: "s", ColdStart: 3 * time.Second, ColdRate: 12}}}, nil
}

func newTestView() *view { return newView(testDecode, logging.For("test")) }

func state(revision, version uint64, marks ...*apiv1.FleetMark) *apiv1.FleetState {
	s := &apiv1.FleetState{Revision: revision, Marks: marks}
	if version > 0 {
		s.Document = &apiv1.FleetDocument{Version: version, Data: []byte("good")}
	}
	return s
}

// Guards against a restarted host that takes an old state of a core host that
// is cut off, while others know a newer one.
func TestFirstStateHasToBeConfirmed(t *testing.T) {
	v := newTestView()
	_, _, table := v.merge(start, &apiv1.FleetEvent{State: state(1, 3)})
	assert.Assert(t, table == nil)
	_, _, table = v.merge(start.Add(time.Second), &apiv1.FleetEvent{State: state(5, 7), Confirmed: true})
	assert.Assert(t, table != nil)
	assert.Equal(t, v.version, uint64(7))
}

// Guards against a newer version that is known but not yet accepted, and that
// an older one replaces.
func TestPendingVersionDoesNotGoBack(t *testing.T) {
	v := newTestView()
	v.merge(start, &apiv1.FleetEvent{State: state(5, 7)})
	_, _, table := v.merge(start, &apiv1.FleetEvent{State: state(1, 3), Confirmed: true})
	assert.Assert(t, table != nil)
	assert.Equal(t, v.version, uint64(7))
}

// Guards against a data centre that is cut off and serves nothing.
func TestUnconfirmedStateIsTakenAfterAWhile(t *testing.T) {
	v := newTestView()
	v.merge(start, &apiv1.FleetEvent{State: state(1, 3)})
	_, _, table := v.merge(start.Add(unconfirmedWait), &apiv1.FleetEvent{})
	assert.Assert(t, table != nil)
}

// Guards against a version that goes back, and against one that cannot be read
// and ends the one before.
func TestVersionRisesOnly(t *testing.T) {
	v := newTestView()
	v.merge(start, &apiv1.FleetEvent{State: state(1, 7), Confirmed: true})
	_, _, table := v.merge(start, &apiv1.FleetEvent{State: state(9, 3), Confirmed: true})
	assert.Assert(t, table == nil)
	bad := &apiv1.FleetState{Revision: 10, Document: &apiv1.FleetDocument{Version: 8, Data: []byte("bad")}}
	_, _, table = v.merge(start, &apiv1.FleetEvent{State: bad, Confirmed: true})
	assert.Assert(t, table == nil)
	assert.Equal(t, v.version, uint64(7))
}

func announcement(age time.Duration, cold time.Duration) *apiv1.ServerAnnouncement {
	return &apiv1.ServerAnnouncement{
		Id: "i", Service: "s", Address: "10.0.0.1:80", DataCentre: "z", Slots: 6, State: uint32(registry.Ready),
		Sequence: uint64(1000 - age.Milliseconds()/10), BornMs: 1, AgeMs: age.Milliseconds(), ColdMs: cold.Milliseconds(),
	}
}

// Guards against full load for servers of a data centre that came back: they
// count as cold until they say what they are.
func TestServersAreColdWhenTheirDataCentreComesBack(t *testing.T) {
	v := newTestView()
	mark := func(revision uint64, out bool) *apiv1.FleetMark {
		return &apiv1.FleetMark{DataCentre: "z", Out: out, Revision: revision}
	}
	v.merge(start, &apiv1.FleetEvent{State: state(1, 7, mark(1, true)), Confirmed: true, Servers: []*apiv1.ServerAnnouncement{announcement(time.Second, 0)}})
	assert.Assert(t, !v.infos(start)[0].Ready)
	v.merge(start, &apiv1.FleetEvent{State: state(2, 0, mark(2, false))})
	info := v.infos(start)[0]
	assert.Assert(t, info.Ready)
	assert.Equal(t, info.ColdUntil, start.Add(3*time.Second))
	v.merge(start.Add(time.Second), &apiv1.FleetEvent{Servers: []*apiv1.ServerAnnouncement{announcement(0, 0)}})
	assert.Assert(t, !v.infos(start.Add(time.Second))[0].ColdUntil.After(start.Add(time.Second)))
}

// Guards against an old mark that a slow core host brings back.
func TestOldMarkIsIgnored(t *testing.T) {
	v := newTestView()
	v.merge(start, &apiv1.FleetEvent{State: state(5, 7, &apiv1.FleetMark{DataCentre: "z", Out: true, Revision: 5}), Confirmed: true})
	v.merge(start, &apiv1.FleetEvent{State: state(4, 0, &apiv1.FleetMark{DataCentre: "z", Out: false, Revision: 4})})
	assert.Assert(t, v.state["z"].GetOut())
}

// Guards against an edge host that stops counting while it may still send.
func TestEdgeHostCountsAfterItWentSilent(t *testing.T) {
	v := newTestView()
	v.merge(start, &apiv1.FleetEvent{Edges: []*apiv1.EdgeHost{{Name: "other", DataCentre: "z", Address: "10.0.0.2:7400"}}})
	v.lastContact = start.Add(edgeMemory / 2)
	v.expire(start.Add(edgeMemory / 2))
	neighbours, _ := v.peers("self", "z")
	assert.Equal(t, len(neighbours), 2)
	v.lastContact = start.Add(2 * edgeMemory)
	v.expire(start.Add(2 * edgeMemory))
	neighbours, _ = v.peers("self", "z")
	assert.Equal(t, len(neighbours), 1)
}

// Guards against a host that takes more connections while its processor is
// used up, one that comes and goes at one load, and one that leaves after a
// single freeze or without knowing what it has.
func TestProcessorWatch(t *testing.T) {
	p := processorWatch{cores: 0.4}
	ticks := func(n int, share float64) bool {
		out := false
		for range n {
			out = p.tick(time.Duration(share*p.cores*float64(watchInterval)), watchInterval, 0)
		}
		return out
	}
	assert.Assert(t, !ticks(overloadTicks-1, 1)) // a busy start
	p = processorWatch{cores: p.cores}
	assert.Assert(t, !ticks(2*overloadTicks, 0.7))
	assert.Assert(t, ticks(overloadTicks, 1))
	assert.Assert(t, ticks(3*overloadTicks, 0.6))
	assert.Assert(t, !ticks(overloadTicks, 0.3))
	assert.Assert(t, !p.tick(0, 5*time.Second, 0)) // a freeze
	assert.Assert(t, !ticks(overloadTicks-1, 1))
	unknown := processorWatch{}
	for range 2 * overloadTicks {
		assert.Assert(t, !unknown.tick(watchInterval, watchInterval, 0))
	}
}

// Guards against a host that takes itself for half idle while its goroutines
// wait for the processor: the kernel's work for a flood of connections is not
// in the time of the process.
func TestProcessorWatchHeedsWaits(t *testing.T) {
	p := processorWatch{cores: 0.48}
	tick := func(wait time.Duration) bool {
		return p.tick(time.Duration(0.6*p.cores*float64(watchInterval)), watchInterval, wait)
	}
	for range overloadTicks/2 - 1 {
		assert.Assert(t, !tick(2*waitLimit)) // a pause of the collector
	}
	assert.Assert(t, !tick(0))
	for range overloadTicks/2 - 1 {
		assert.Assert(t, !tick(2*waitLimit))
	}
	assert.Assert(t, tick(2*waitLimit))
	assert.Assert(t, p.load(2*waitLimit) > 1)
	assert.Assert(t, p.load(0) > 0.55 && p.load(0) < 0.65)
	assert.Equal(t, p.load(time.Minute), float64(mostLoad))
	for range overloadTicks {
		p.tick(0, watchInterval, 0)
	}
	assert.Assert(t, !p.overloaded)
}

// Guards against waits of long ago that count again, and against a quantile
// that one long wait decides.
func TestSchedulerWaits(t *testing.T) {
	bounds := []float64{math.Inf(-1), 0.001, 0.01, 0.1, math.Inf(1)}
	var w schedulerWaits
	assert.Equal(t, w.since([]uint64{0, 90, 0, 0}, bounds), time.Duration(0), "no reading before")
	w.counts = []uint64{5, 90, 7, 3}
	assert.Equal(t, w.since([]uint64{5, 90, 7, 3}, bounds), time.Duration(0), "nothing ran")
	assert.Equal(t, w.since([]uint64{5, 185, 7, 8}, bounds), time.Millisecond)
	assert.Equal(t, w.since([]uint64{5, 91, 7, 13}, bounds), 100*time.Millisecond)
	assert.Equal(t, w.since([]uint64{15, 91, 7, 3}, bounds), time.Duration(0))
	w.read()
	for range 100 {
		runtime.Gosched()
	}
	assert.Assert(t, w.read() >= 0)
}

// Guards against callers that are sent away before the balancer would send
// them elsewhere.
func TestOverloadLasts(t *testing.T) {
	var o overload
	assert.Assert(t, o.set(true) && !o.set(true))
	assert.Assert(t, o.now() && !o.lasts(noticedAfter))
	o.since = o.since.Add(-noticedAfter)
	assert.Assert(t, o.lasts(noticedAfter))
	assert.Assert(t, o.set(false) && !o.now())
}

// Guards against events that are held back on a host that has few streams, or
// for longer than callers accept on one that has many.
func TestGatherTime(t *testing.T) {
	const within = 120 * time.Millisecond
	assert.Equal(t, gatherTime(1, within), time.Duration(0))
	assert.Equal(t, gatherTime(30, within), time.Duration(0))
	assert.Equal(t, gatherTime(200, within), 50*time.Millisecond)
	assert.Equal(t, gatherTime(100_000, within), within/2)
	assert.Equal(t, gatherTime(100_000, 0), time.Duration(0))
}
