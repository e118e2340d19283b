package edge

import (
	"errors"
	"fmt"
	"math"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/dispatch"
	"jackdawtrack.example/jackdawtrack/pkg/logging"
	"jackdawtrack.example/jackdawtrack/pkg/quarantine"
	"jackdawtrack.example/jackdawtrack/pkg/registry"
	"jackdawtrack.example/jackdawtrack/pkg/routing"
)

var start = time.Unix(1_700_000_000, 0)

// Guards against events that are lost, duplicated or split, whatever the sizes of
// the reads.
func TestEventsAreNeverSplitOrLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "events")
		var text strings.Builder
		for id := range n {
			fmt.Fprintf(&text, "id: %d\ndata: %s\n\n", id, rapid.StringMatching(`[a-z]{0,9}`).Draw(t, "data"))
		}
		rest := text.String()
		var e sseParser
		var got strings.Builder
		for rest != "" {
			k := rapid.IntRange(1, len(rest)).Draw(t, "piece")
			events := e.appendBytes([]byte(rest[:k]))
			got.Write(events)
			if len(events) > 0 && !strings.HasSuffix(string(events), "\n\n") {
				t.Fatalf("incomplete event: %q", events)
			}
			e.consume(events)
			rest = rest[k:]
		}
		if got.String() != text.String() || e.lastID != fmt.Sprint(n-1) || e.count != n {
			t.Fatalf("got %q, last %q, %d events", got.String(), e.lastID, e.count)
		}
	})
}

func TestIsNextID(t *testing.T) {
	assert.Assert(t, isNextID("4", "5"))
	assert.Assert(t, !isNextID("4", "4"))
	assert.Assert(t, !isNextID("4", "6"))
	assert.Assert(t, !isNextID("", "1"))
	assert.Assert(t, !isNextID("4", ""))
}

// Guards against events of a resumed stream that do not continue it.
func TestIDsIncrease(t *testing.T) {
	for events, want := range map[string]bool{
		"id: 5\ndata: x\n\nid: 9\n\n": true, "id: 5\r\ndata: x\r\n\r\n": true, "": true, ": ping\n\nid: 5\n\n\n\n": true,
		"id: 4\n\n": false, "id: 5\n\nid: 5\n\n": false, "id: 5\n\ndata: x\n\n": false, "event: error\n\nid: 5\n\n": false, "id: x\n\n": false,
	} {
		assert.Equal(t, idsIncrease("4", []byte(events)), want, "%q", events)
	}
	assert.Assert(t, !idsIncrease("", []byte("id: 1\n\n")))
}

// Guards against all hosts together exceeding the retry budget of the fleet in a
// window.
func TestRetryBudgetHoldsOverTheFleet(t *testing.T) {
	const hosts, requests = 5, 200
	limit := RetryBudget{Ratio: 0.2, Extra: 58}
	spent := 0
	for range hosts {
		b := newRetryBudget(limit)
		b.setHosts(hosts)
		for range requests {
			b.credit("s")
			for b.spend("s") {
				spent++
			}
		}
	}
	assert.Assert(t, spent > 0)
	assert.Assert(t, float64(spent) <= limit.Ratio*hosts*requests+limit.Extra, "%d", spent)
}

// Guards against abandoning a request at a slow server when no other one takes it: on
// a large deployment callers got status 502 for requests that were about to be
// answered, and streams were cut.
func TestSlowServerKeepsRequestThatNoOtherTakes(t *testing.T) {
	const sound = soundSilence
	for _, c := range []struct {
		name        string
		retryBudget float64
		silent      time.Duration // since the start of the attempt
		began       bool          // events were sent to the caller
		heard       bool          // the server has responded to another request since
		removed     bool          // a new configuration no longer has the service
		want        bool
	}{
		{"no other server", 50, sound - time.Millisecond, false, false, false, false},
		{"no retry budget", 0, sound - time.Millisecond, false, false, false, false},
		{"silent for longer than a sound server", 50, sound + time.Second, false, false, false, true},
		{"the same without retry budget", 0, sound + time.Second, false, false, false, true},
		{"the server has responded to another request", 0, sound + time.Second, false, true, false, false},
		{"the response has begun", 50, time.Hour, true, false, false, false},
		{"the same without retry budget", 0, time.Hour, true, false, false, false},
		{"the service was removed", 50, sound + time.Second, false, false, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				now := time.Now()
				d := dispatch.New("edge", "z", now)
				d.SetServers(now, []dispatch.ServerInfo{{ID: "i", Service: "s", DataCentre: "z", Slots: 6, Ready: true, Heard: now}})
				s := &Server{dispatcher: d, retryBudget: newRetryBudget(RetryBudget{Extra: c.retryBudget}), quarantine: quarantine.New(1)}
				r := &dispatch.Request{ID: "r", Service: "s", Arrived: now, Objective: time.Second, Deadline: now.Add(time.Minute)}
				x := &proxiedRequest{s: s, route: &routing.Route{RetryPolicy: routing.Resumable, MaxAttempts: 2}, dispatchReq: r, callerCtx: t.Context(), headSent: c.began}
				x.sseParser.lastID = "4"
				h := x.newHedge(x.newExchange(d.Admit(now, r), r))
				if c.heard {
					time.Sleep(time.Millisecond)
					another := &dispatch.Request{ID: "another", Service: "s", Arrived: now, Objective: time.Second, Deadline: now.Add(time.Minute)}
					assert.Equal(t, d.Admit(now, another).Action, dispatch.Send)
					d.RecordOutcome(time.Now(), another, dispatch.Completed)
				}
				if c.removed {
					d.SetServers(time.Now(), nil)
				}
				time.Sleep(c.silent)
				assert.Equal(t, h.tryReplace(), c.want)
			})
		})
	}
}

// Guards against a place at a server that is never returned: the decision on a queued
// request arrives in the moment in which its caller leaves or its deadline passes.
func TestDecisionOnRequestThatLeavesIsReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		d := dispatch.New("edge", "z", now)
		d.SetServers(now, []dispatch.ServerInfo{{ID: "i", Service: "s", DataCentre: "z", Slots: 1, Ready: true, Heard: now}})
		s := &Server{dispatcher: d, pendingDecisions: map[*dispatch.Request]chan dispatch.Decision{}, polling: true}
		var running []*dispatch.Request
		var waiting chan dispatch.Decision
		var r *dispatch.Request
		for waiting == nil {
			r = &dispatch.Request{ID: "r", Service: "s", Arrived: now, Objective: time.Minute, Deadline: now.Add(time.Minute)}
			if _, waiting = s.requestDecision(r); waiting == nil {
				running = append(running, r)
			}
		}
		for _, finished := range running {
			s.recordOutcome(finished, dispatch.Completed)
		}
		s.mu.Lock()
		s.pollLocked()
		s.mu.Unlock()
		v, ok := s.cancelWaiting(r, waiting)
		assert.Assert(t, ok)
		assert.Equal(t, v.Action, dispatch.Send)
	})
}

// Guards against a queued request that ends without an answer with the process.
func TestQueuedRequestIsRefusedWhenTheHostStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		d := dispatch.New("edge", "z", now)
		d.SetServers(now, []dispatch.ServerInfo{{ID: "i", Service: "s", DataCentre: "z", Slots: 1, Ready: true, Heard: now}})
		s := &Server{stopping: newStopping(), dispatcher: d, pendingDecisions: map[*dispatch.Request]chan dispatch.Decision{}, polling: true}
		for {
			r := &dispatch.Request{ID: "r", Service: "s", Arrived: now, Objective: time.Minute, Deadline: now.Add(time.Minute)}
			if v, _ := s.requestDecision(r); v.Action == dispatch.Wait {
				break
			}
		}
		w := httptest.NewRecorder()
		r := &dispatch.Request{ID: "waits", Service: "s", Arrived: now, Objective: time.Minute, Deadline: now.Add(time.Minute)}
		x := &proxiedRequest{s: s, w: w, in: &Request{Target: "/x"}, dispatchReq: r, route: &routing.Route{}, callerCtx: t.Context(), deadline: r.Deadline}
		time.AfterFunc(time.Second, s.AnswerOpen)
		_, err := x.awaitDecision()
		assert.Equal(t, time.Since(now), time.Second)
		x.respondUndispatched(err)
		assert.Equal(t, w.Code, http.StatusServiceUnavailable)
	})
}

// Guards against retries beyond the retry budget, which would double the load of
// overloaded servers.
func TestRetryNeedsBudget(t *testing.T) {
	for _, c := range []struct {
		name        string
		retryBudget bool
		counted     bool // a byte may have reached the first server, so the retry is charged
		want        dispatch.Action
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
			s := &Server{dispatcher: d, retryBudget: newRetryBudget(RetryBudget{Extra: 1 / usableBudgetShare})}
			if !c.retryBudget {
				assert.Assert(t, s.retryBudget.spend("s"))
			}
			now := time.Now()
			r := &dispatch.Request{ID: "r", Service: "s", Arrived: now, Objective: time.Second, Deadline: now.Add(time.Minute)}
			first := d.Admit(now, r)
			assert.Equal(t, first.Action, dispatch.Send)
			d.RecordOutcome(now, r, dispatch.NotExecuted)
			v, _ := s.retryDecision(r, first.Server, c.counted)
			assert.Equal(t, v.Action, c.want)
		})
	}
}

func decodeTestConfig(data []byte) (*routing.Config, error) {
	if string(data) == "bad" {
		return nil, errors.New("bad")
	}
	return &routing.Config{Version: 1, Services: []routing.Service{{Name: "s", WarmUpTime: 3 * time.Second, ColdRequestsPerSecond: 12}}}, nil
}

func newTestView() *fleetView { return newFleetView(decodeTestConfig, logging.ForComponent("test")) }

func fleetState(revision, version uint64, marks ...*apiv1.FleetMark) *apiv1.FleetState {
	s := &apiv1.FleetState{Revision: revision, Marks: marks}
	if version > 0 {
		s.Document = &apiv1.FleetDocument{Version: version, Data: []byte("good")}
	}
	return s
}

// Guards against a restarted host that applies the outdated state of a partitioned
// core host while others have newer state.
func TestFirstStateMustBeConfirmed(t *testing.T) {
	v := newTestView()
	_, _, table := v.mergeEvent(start, &apiv1.FleetEvent{State: fleetState(1, 3)})
	assert.Assert(t, table == nil)
	_, _, table = v.mergeEvent(start.Add(time.Second), &apiv1.FleetEvent{State: fleetState(5, 7), Confirmed: true})
	assert.Assert(t, table != nil)
	assert.Equal(t, v.configVersion, uint64(7))
}

// Guards against a pending configuration that is replaced by an older version
// before a state is accepted.
func TestOlderVersionDoesNotReplacePendingOne(t *testing.T) {
	v := newTestView()
	v.mergeEvent(start, &apiv1.FleetEvent{State: fleetState(5, 7)})
	_, _, table := v.mergeEvent(start, &apiv1.FleetEvent{State: fleetState(1, 3), Confirmed: true})
	assert.Assert(t, table != nil)
	assert.Equal(t, v.configVersion, uint64(7))
}

// Guards against a partitioned data centre that never serves requests, because no
// core host there has confirmed state.
func TestUnconfirmedStateIsAcceptedAfterTimeout(t *testing.T) {
	v := newTestView()
	v.mergeEvent(start, &apiv1.FleetEvent{State: fleetState(1, 3)})
	_, _, table := v.mergeEvent(start.Add(confirmationTimeout), &apiv1.FleetEvent{})
	assert.Assert(t, table != nil)
}

// Guards against a configuration version that decreases, and against an
// undecodable configuration that replaces the one in force.
func TestConfigVersionNeverDecreases(t *testing.T) {
	v := newTestView()
	v.mergeEvent(start, &apiv1.FleetEvent{State: fleetState(1, 7), Confirmed: true})
	_, _, table := v.mergeEvent(start, &apiv1.FleetEvent{State: fleetState(9, 3), Confirmed: true})
	assert.Assert(t, table == nil)
	bad := &apiv1.FleetState{Revision: 10, Document: &apiv1.FleetDocument{Version: 8, Data: []byte("bad")}}
	_, _, table = v.mergeEvent(start, &apiv1.FleetEvent{State: bad, Confirmed: true})
	assert.Assert(t, table == nil)
	assert.Equal(t, v.configVersion, uint64(7))
}

func testAnnouncement(age time.Duration, cold time.Duration) *apiv1.ServerAnnouncement {
	return &apiv1.ServerAnnouncement{
		Id: "i", Service: "s", Address: "10.0.0.1:80", DataCentre: "z", Slots: 6, State: uint32(registry.Ready),
		Sequence: uint64(1000 - age.Milliseconds()/10), BornMs: 1, AgeMs: age.Milliseconds(), ColdMs: cold.Milliseconds(),
	}
}

// Guards against full load on cold servers of a data centre that was put back into
// service: its servers count as cold until their next announcement.
func TestServersOfReinstatedDataCentreAreCold(t *testing.T) {
	v := newTestView()
	mark := func(revision uint64, out bool) *apiv1.FleetMark {
		return &apiv1.FleetMark{DataCentre: "z", Out: out, Revision: revision}
	}
	v.mergeEvent(start, &apiv1.FleetEvent{State: fleetState(1, 7, mark(1, true)), Confirmed: true, Servers: []*apiv1.ServerAnnouncement{testAnnouncement(time.Second, 0)}})
	assert.Assert(t, !v.serverInfos(start)[0].Ready)
	v.mergeEvent(start, &apiv1.FleetEvent{State: fleetState(2, 0, mark(2, false))})
	info := v.serverInfos(start)[0]
	assert.Assert(t, info.Ready)
	assert.Equal(t, info.ColdUntil, start.Add(3*time.Second))
	v.mergeEvent(start.Add(time.Second), &apiv1.FleetEvent{Servers: []*apiv1.ServerAnnouncement{testAnnouncement(0, 0)}})
	assert.Assert(t, !v.serverInfos(start.Add(time.Second))[0].ColdUntil.After(start.Add(time.Second)))
}

// Guards against an outdated data centre mark from a core host that lags behind.
func TestOldMarkIsIgnored(t *testing.T) {
	v := newTestView()
	v.mergeEvent(start, &apiv1.FleetEvent{State: fleetState(5, 7, &apiv1.FleetMark{DataCentre: "z", Out: true, Revision: 5}), Confirmed: true})
	v.mergeEvent(start, &apiv1.FleetEvent{State: fleetState(4, 0, &apiv1.FleetMark{DataCentre: "z", Out: false, Revision: 4})})
	assert.Assert(t, v.fleetState["z"].GetOut())
}

// Guards against no longer counting a disconnected edge host that may still send
// requests to servers.
func TestDisconnectedEdgeHostCountsUntilItsTTL(t *testing.T) {
	v := newTestView()
	v.mergeEvent(start, &apiv1.FleetEvent{Edges: []*apiv1.EdgeHost{{Name: "other", DataCentre: "z", Address: "10.0.0.2:7400"}}})
	v.lastContact = start.Add(edgeTTL / 2)
	v.expire(start.Add(edgeTTL / 2))
	neighbours, _ := v.peers("self", "z")
	assert.Equal(t, len(neighbours), 2)
	v.lastContact = start.Add(2 * edgeTTL)
	v.expire(start.Add(2 * edgeTTL))
	neighbours, _ = v.peers("self", "z")
	assert.Equal(t, len(neighbours), 1)
}

// Guards against a host that stays ready while its CPU is saturated, one that
// flaps at constant load, and one that becomes not ready after a single freeze or
// without knowing its number of cores.
func TestCPUMonitorDetectsOverload(t *testing.T) {
	p := cpuMonitor{cores: 0.4}
	ticks := func(n int, share float64) bool {
		out := false
		for range n {
			out = p.tick(time.Duration(share*p.cores*float64(hostCheckInterval)), hostCheckInterval, 0)
		}
		return out
	}
	assert.Assert(t, !ticks(overloadTicks-1, 1)) // busy, but for less than overloadTicks
	p = cpuMonitor{cores: p.cores}
	assert.Assert(t, !ticks(2*overloadTicks, 0.7))
	assert.Assert(t, ticks(overloadTicks, 1))
	assert.Assert(t, ticks(3*overloadTicks, 0.6))
	assert.Assert(t, !ticks(overloadTicks, 0.3))
	assert.Assert(t, !p.tick(0, 5*time.Second, 0)) // the process did not run for 5 s
	assert.Assert(t, !ticks(overloadTicks-1, 1))
	unknown := cpuMonitor{}
	for range 2 * overloadTicks {
		assert.Assert(t, !unknown.tick(hostCheckInterval, hostCheckInterval, 0))
	}
}

// Guards against missing an overload that shows only as goroutines waiting for a
// CPU: the kernel's work for a flood of connections is not part of the CPU time of
// the process.
func TestCPUMonitorUsesSchedulerLatency(t *testing.T) {
	p := cpuMonitor{cores: 0.48}
	tick := func(wait time.Duration) bool {
		return p.tick(time.Duration(0.6*p.cores*float64(hostCheckInterval)), hostCheckInterval, wait)
	}
	for range overloadTicks/2 - 1 {
		assert.Assert(t, !tick(2*schedulerWaitLimit)) // a pause of the garbage collector
	}
	assert.Assert(t, !tick(0))
	for range overloadTicks/2 - 1 {
		assert.Assert(t, !tick(2*schedulerWaitLimit))
	}
	assert.Assert(t, tick(2*schedulerWaitLimit))
	assert.Assert(t, p.load(2*schedulerWaitLimit) > 1)
	assert.Assert(t, p.load(0) > 0.55 && p.load(0) < 0.65)
	assert.Equal(t, p.load(time.Minute), float64(maxWaitLoad))
	for range overloadTicks {
		p.tick(0, hostCheckInterval, 0)
	}
	assert.Assert(t, !p.overloaded)
}

// Guards against counting waits from before the last reading, and against a
// quantile that is determined by a single long wait.
func TestSchedulerLatencyQuantile(t *testing.T) {
	bounds := []float64{math.Inf(-1), 0.001, 0.01, 0.1, math.Inf(1)}
	var w schedulerLatency
	assert.Equal(t, w.quantileSince([]uint64{0, 90, 0, 0}, bounds), time.Duration(0), "no previous reading")
	w.counts = []uint64{5, 90, 7, 3}
	assert.Equal(t, w.quantileSince([]uint64{5, 90, 7, 3}, bounds), time.Duration(0), "no new waits")
	assert.Equal(t, w.quantileSince([]uint64{5, 185, 7, 8}, bounds), time.Millisecond)
	assert.Equal(t, w.quantileSince([]uint64{5, 91, 7, 13}, bounds), 100*time.Millisecond)
	assert.Equal(t, w.quantileSince([]uint64{15, 91, 7, 3}, bounds), time.Duration(0))
	w.readQuantile()
	for range 100 {
		runtime.Gosched()
	}
	assert.Assert(t, w.readQuantile() >= 0)
}

// Guards against closing caller connections before the load balancer has stopped
// sending new ones to this host.
func TestOverloadDuration(t *testing.T) {
	var o overloadState
	assert.Assert(t, o.setOverloaded(true) && !o.setOverloaded(true))
	assert.Assert(t, o.isOverloaded() && !o.overloadedFor(balancerReactionTime))
	o.since = o.since.Add(-balancerReactionTime)
	assert.Assert(t, o.overloadedFor(balancerReactionTime))
	assert.Assert(t, o.setOverloaded(false) && !o.isOverloaded())
}

// Guards against delaying events on a host with few streams, or for longer than
// the allowed delay on a host with many.
func TestCoalesceDelay(t *testing.T) {
	const within = 120 * time.Millisecond
	assert.Equal(t, coalesceDelay(1, within), time.Duration(0))
	assert.Equal(t, coalesceDelay(30, within), time.Duration(0))
	assert.Equal(t, coalesceDelay(200, within), 50*time.Millisecond)
	assert.Equal(t, coalesceDelay(100_000, within), within/2)
	assert.Equal(t, coalesceDelay(100_000, 0), time.Duration(0))
}
