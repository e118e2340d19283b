package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// offerTakeUp offers a stream of the workspace that v1 began to an edge host.
func (sim *simulation) offerTakeUp(edge int, workspace string, tokens int) (*Request, Decision) {
	r := newRequest(sim.now, workspace, tokens, longObjective)
	r.Release, r.Resumption = v1, true
	v := sim.fleet[edge].Admit(sim.now, r)
	sim.decided(edge, r, v)
	return r, v
}

// Plays an overload by new streams in which callers of the largest workspace, beyond its
// share, take up streams at three of the four hosts within 80 ms: take-ups were refused for
// the share or for the queue of new streams, or waited behind it.
func TestTakeUpsInAnOverloadGoAheadOfNewStreams(t *testing.T) {
	const (
		span    = 8 * time.Second
		burstAt = 5 * time.Second
		burst   = 40
	)
	sim := newSimulation(t, 4, 6, 50_000)
	var workloads []workload
	for i := range 4 {
		workloads = append(workloads, workload{"large", i, 60, 2000, longObjective, 0, span, 0}, workload{string(rune('a' + i)), i, 25, 2000, longObjective, 0, span, 0})
	}
	var takeUps []*Request
	began := map[*Request]time.Duration{}
	refused := map[Reason]int{}
	var newQueued int
	sim.onStep = func(elapsed time.Duration) {
		if since := elapsed - burstAt; since >= 0 && since < burst*2*time.Millisecond && since%(2*time.Millisecond) == 0 {
			newQueued += sim.fleet[len(takeUps)%3].QueueLength()
			r, v := sim.offerTakeUp(len(takeUps)%3, "large", 2000)
			if v.Action == Refuse {
				refused[v.Reason]++
			}
			takeUps = append(takeUps, r)
		}
		for _, r := range takeUps {
			if _, ok := began[r]; !ok && r.firstEventSeen {
				began[r] = sim.now.Sub(r.Arrived)
			}
		}
	}
	sim.runFor(workloads, span)
	large := sim.results["large"]
	usage := sim.fleet[0].shares.usageOf("large").served.sum
	assert.Assert(t, newQueued > burst && large.refused > 0, "new streams must wait and be refused: %d queued, %d refused", newQueued, large.refused)
	slowest := time.Duration(0)
	for _, wait := range began {
		slowest = max(slowest, wait)
	}
	t.Logf("%d of %d take-ups went on, the slowest after %s, refused %v, served tokens of the workspace %v, share %v", len(began), burst, slowest, refused, usage, sim.fleet[0].shares.fairShare)
	assert.Equal(t, len(refused), 0, "%v", refused)
	assert.Equal(t, len(began), burst)
	assert.Assert(t, slowest <= longObjective, "%s", slowest)
}

// Guards against a take-up whose predicted wait counts the new streams behind it, and
// against one that leaves the queue after them.
func TestQueuedNewStreamsAreBehindATakeUp(t *testing.T) {
	d := newFleetOf(false, v1)
	fill(t, d, "engine-0")
	for d.Admit(start, newRequest(start, "others", 3000, 4*time.Second)).Action == Wait {
	}
	takeUp := newRequest(start, "w", 3000, longObjective)
	takeUp.Release, takeUp.Resumption, takeUp.AgeAtArrival = v1, true, 3*time.Second
	prefill := time.Duration(float64(3000*d.QueueLength()) / d.servers["engine-0"].prefillRate * float64(time.Second))
	assert.Assert(t, prefill > longObjective && prefill > maxLateWait, "the queue must be longer than a take-up may wait")
	v := d.Admit(start, takeUp)
	assert.Equal(t, v.Class, Late)
	assert.Equal(t, v.Action, Wait, "%s", v.Reason)
	for now := start; ; now = now.Add(5 * time.Millisecond) {
		if decided := d.Poll(now); len(decided) > 0 {
			assert.Assert(t, decided[0].Request == takeUp)
			assert.Equal(t, decided[0].Decision.Action, Send)
			return
		}
	}
}

// Guards against new streams that wait in vain because their predicted wait leaves out the
// late take-ups ahead of them.
func TestPredictedWaitCountsTakeUpsAhead(t *testing.T) {
	d := newFleetOf(false, v1)
	fill(t, d, "engine-0")
	takeUp := newRequest(start, "w", 3000, longObjective)
	takeUp.Release, takeUp.Resumption, takeUp.AgeAtArrival = v1, true, 3*time.Second
	v := d.Admit(start, takeUp)
	assert.Equal(t, v.Action, Wait)
	assert.Equal(t, v.Class, Late)
	assert.Assert(t, d.predictedQueueTime(start, newRequest(start, "others", 100, time.Second), Decision{Class: OnTime}) > 0)
}

// Plays a flood of take-ups of one workspace beyond what all engines serve: new streams of
// the others, which ask less than their share, go on. The users' rule on quotas is that no
// workspace gets less than half of what it asks while another one gets more.
func TestFloodOfTakeUpsLeavesEnginesToNewStreams(t *testing.T) {
	const span = 10 * time.Second
	sim := newSimulation(t, 4, 6, 50_000)
	sim.onStep = func(elapsed time.Duration) {
		for i := range sim.fleet {
			if elapsed%(10*time.Millisecond) == 0 {
				sim.offerTakeUp(i, "flood", 1000)
			}
		}
	}
	sim.runFor(baseWorkloads(span), span)
	flood := sim.results["flood"]
	t.Logf("take-ups: %+v", *flood)
	assert.Assert(t, flood.refused > flood.onTime+flood.late, "the flood must exceed the engines")
	for name, result := range sim.results {
		if name != "flood" {
			assert.Assert(t, 2*result.served > result.demand, "workspace %s: %+v", name, *result)
		}
	}
}

// Guards against take-ups that are refused for the share right after an overload has made it
// a fraction of what the engines serve.
func TestCollapsedShareDoesNotBoundTakeUps(t *testing.T) {
	const tokens = 100
	d := newFixedShareHost(4)
	d.shares.statedRate, d.shares.fairShare = 1000, modelFairShare/100
	for _, workspace := range []string{"w", "v", "u", "t"} {
		d.shares.recordServed(start, workspace, 100*tokens)
	}
	for n := range 25 { // an even part of the four workspaces and hosts
		_, v := admitTokens(d, start, tokens, true)
		assert.Equal(t, v.Action, Send, "take-up %d: %s", n, v.Class)
	}
	_, v := admitTokens(d, start, tokens, true)
	assert.Equal(t, v.Action, Wait)
}

// Guards against take-ups of many workspaces that together leave nothing to new streams: a
// host of two sends half of its part of the engines ahead of them, and more once the window
// has passed.
func TestTakeUpsGoAheadOnHalfOfTheEngines(t *testing.T) {
	const tokens = 1000
	d := newFleetOf(false, v1, v1)
	d.SetEdgeHosts([]string{d.self}, 2)
	limit := maxAheadFraction * d.readyPrefillRate(start, d.services["models"], d.services["models"].servers) * shareWindow.Seconds() / 2
	ahead := func(now time.Time) (n float64) {
		for range 1000 {
			for _, s := range d.servers {
				s.updatedAt, s.backlogTokens, s.info.Heard = now, 0, now
			}
			r := newRequest(now, fmt.Sprint("w", n), tokens, time.Second)
			r.Release, r.Resumption = v1, true
			assert.Equal(t, d.Admit(now, r).Action, Send)
			settle(d, now, r, Completed)
			if !r.ahead {
				return n
			}
			n++
		}
		return n
	}
	assert.Equal(t, ahead(start)*tokens, limit)
	d.SetServers(start, infosOf(false, v1, v1)) // the count outlives an announcement
	assert.Equal(t, ahead(start.Add(shareWindow/2)), 0.0)
	assert.Equal(t, ahead(start.Add(shareWindow))*tokens, limit)
}

// Guards against a take-up that waits at an engine behind new streams which arrived there
// before it, and against reservations that others pay for: engines admit requests in order
// of arrival, reservations before them.
func TestTakeUpReservesItsPlaceAtTheEngine(t *testing.T) {
	for _, c := range []struct {
		name                    string
		takeUp, supported, cold bool
		want                    bool
	}{
		{"take-up", true, true, false, true},
		{"new stream", false, true, false, false},
		{"no reservations", true, false, false, false},
		{"cold engine", true, true, true, false},
	} {
		infos := infosOf(false, v1)
		infos[0].SupportsReservation = c.supported
		if c.cold {
			infos[0].ColdUntil, infos[0].ColdRequestsPerSecond = start.Add(time.Minute), 10
		}
		d := newFleetOf(false)
		d.SetServers(start, infos)
		assert.Equal(t, d.Admit(start, newRequest(start, "others", 3000, time.Second)).Action, Send)
		r := newRequest(start, "w", 1000, time.Second)
		r.Release, r.Resumption = v1, c.takeUp
		v := d.Admit(start, r)
		assert.Equal(t, v.Action, Send)
		assert.Equal(t, v.ReserveSlot, c.want, c.name)
	}
}
