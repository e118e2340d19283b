package dispatch

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// takeUpBurst is what became of the streams of a simulated overload.
type takeUpBurst struct {
	takeUps, began   int
	refused          map[Reason]int
	firstEvents      []time.Duration // of the take-ups that went on
	newStreams       int             // that came from the burst on
	newBegan         int
	newFirstEvents   []time.Duration
	large, elsewhere int // service tokens of the workspace of the take-ups and of all others
}

func median(d []time.Duration) time.Duration {
	if len(d) == 0 {
		return 0
	}
	slices.Sort(d)
	return d[len(d)/2]
}

// playTakeUpBurst plays an overload by new streams of five workspaces at four hosts, in
// which callers of one of them, beyond its share, take up streams at the first hosts, one
// each millisecond.
func playTakeUpBurst(t *testing.T, takeUps, hosts int, isFirst bool) takeUpBurst {
	const (
		span    = 9 * time.Second
		burstAt = 5 * time.Second
	)
	sim := newSimulation(t, 4, 6, 50_000)
	out := takeUpBurst{takeUps: takeUps, refused: map[Reason]int{}}
	began := map[*Request]bool{}
	var offered []*Request
	isTakeUp := map[*Request]bool{}
	sim.onDecision = func(r *Request, v Decision) {
		if v.Action == Refuse && isTakeUp[r] {
			out.refused[v.Reason]++
		}
	}
	var workloads []workload
	for i := range 4 {
		workloads = append(workloads, workload{"large", i, 60, 2000, longObjective, 0, span, 0}, workload{string(rune('a' + i)), i, 25, 2000, longObjective, 0, span, 0})
	}
	sim.onOffer = func(r *Request) {
		if since := sim.now.Sub(start); since >= burstAt && since < burstAt+2*time.Second {
			out.newStreams++
			offered = append(offered, r)
		}
	}
	n := 0
	sim.onStep = func(elapsed time.Duration) {
		if elapsed >= burstAt && n < takeUps {
			r := newRequest(sim.now, "large", 2000, longObjective)
			r.Release, r.Resumption, r.FirstTakeUp = v1, true, isFirst
			isTakeUp[r] = true
			offered = append(offered, r)
			sim.decided(n%hosts, r, sim.fleet[n%hosts].Admit(sim.now, r))
			n++
		}
		for _, r := range offered {
			if !r.firstEventSeen || began[r] {
				continue
			}
			began[r] = true
			if isTakeUp[r] {
				out.began++
				out.firstEvents = append(out.firstEvents, sim.now.Sub(r.Arrived))
			} else {
				out.newBegan++
				out.newFirstEvents = append(out.newFirstEvents, sim.now.Sub(r.Arrived))
			}
		}
	}
	sim.runFor(workloads, span)
	for name, result := range sim.results {
		if name == "large" {
			out.large = result.served
		} else {
			out.elsewhere += result.served
		}
	}
	t.Logf("%d take-ups at %d hosts, first %t: %d went on, median first event %s, refused %v; new streams %d of %d, %s; tokens of the workspace %d, of the others %d",
		takeUps, hosts, isFirst, out.began, median(out.firstEvents), out.refused, out.newBegan, out.newStreams, median(out.newFirstEvents), out.large, out.elsewhere)
	return out
}

// Guards against a take-up beyond the bounds that waits behind what is beyond its share,
// ahead of what is within it, or that makes new streams expect a longer wait.
func TestTakeUpBeyondTheBoundsWaitsForAnIdleEngine(t *testing.T) {
	d := newFixedShareHost(1)
	d.shares.recordServed(start, "w", 2*modelFairShare)
	for _, s := range d.servers {
		s.updatedAt, s.backlogTokens = start, maxOnTimeBacklog.Seconds()*s.prefillRate
	}
	admit := func(workspace string, isTakeUp bool) *Request {
		r := newRequest(start, workspace, 3000, 2*longObjective)
		if r.Resumption = isTakeUp; isTakeUp {
			r.Release = v1
			d.shares.usageOf(workspace).ahead.add(d.takeUpBucket(start), 1e9) // the bound is used up
		}
		assert.Equal(t, d.Admit(start, r).Action, Wait)
		return r
	}
	overShare, takeUp := admit("w", false), admit("w", true)
	before := d.predictedQueueTime(start, newRequest(start, "x", 100, longObjective), Decision{Class: Late})
	assert.Equal(t, before, time.Duration(0))
	within := admit("others", false)
	assert.DeepEqual(t, []bool{overShare.idleOnly, takeUp.idleOnly, within.idleOnly}, []bool{false, true, false})
	order := d.sortedQueue(start)
	assert.Assert(t, order[0] == within && order[1] == takeUp && order[2] == overShare)
	for _, c := range []struct {
		backlog time.Duration
		want    Action
	}{{maxLateBacklog / 2, Wait}, {idleBacklog, Send}} {
		for _, s := range d.servers {
			s.updatedAt, s.backlogTokens = start, c.backlog.Seconds()*s.prefillRate
		}
		assert.Equal(t, d.decide(start, takeUp).Action, c.want, "backlog %s", c.backlog)
	}
}

// Guards against take-ups that are refused for the share of their workspace while new
// streams begin: more than the bounds let ahead, at one host, at three and at all.
func TestTakeUpsBeyondTheBoundsAreNotRefusedForTheShare(t *testing.T) {
	for _, hosts := range []int{1, 3, 4} {
		for _, n := range []int{40, 120} {
			out := playTakeUpBurst(t, n, hosts, false)
			assert.Check(t, out.newBegan > 0, "new streams must begin")
			assert.Check(t, out.refused[ReasonOverShare] == 0, "%d of %d take-ups at %d hosts were refused for the share", out.refused[ReasonOverShare], n, hosts)
			assert.Check(t, out.began*out.newStreams >= out.newBegan*n, "%d of %d take-ups went on, %d of %d new streams", out.began, n, out.newBegan, out.newStreams)
		}
	}
}

// Guards against first take-ups of recorded streams that do not go on because their callers
// come to few hosts, each of which has a part of the bounds. The target is that 95 of 100
// take-ups go on.
func TestFirstTakeUpsAtFewHostsGoOn(t *testing.T) {
	for _, hosts := range []int{1, 3, 4} {
		const n = 120
		out := playTakeUpBurst(t, n, hosts, true)
		assert.Check(t, out.newBegan > 0, "new streams must begin")
		assert.Check(t, out.began*100 >= 95*n, "%d of %d take-ups at %d hosts went on, refused %v", out.began, n, hosts, out.refused)
		assert.Check(t, out.refused[ReasonOverShare] == 0)
	}
}

// Guards against first take-ups of a workspace that go ahead without end, one for each name
// and host, and against a bound on what it may begin with.
func TestFirstTakeUpsGoAheadUpToAMultipleOfTheShare(t *testing.T) {
	const tokens = 1000
	d := newFixedShareHost(4)
	d.shares.recordServed(start, "w", modelFairShare)
	sent := 0
	for ; sent < 1000; sent++ {
		r := newRequest(start, "w", 10, time.Second)
		r.OutputTokens = (tokens - r.PromptTokens) / outputWeight
		r.Release, r.Resumption, r.FirstTakeUp = v1, true, true
		v := admitAtBusyEngines(d, start, r)
		if v.Action != Send {
			assert.Equal(t, v.Class, Late)
			break
		}
		settle(d, start, r, Completed)
	}
	multiple, part := (maxFirstTakeUpUse-1)*modelFairShare, maxTakeUpShare*modelFairShare/4
	assert.Equal(t, float64(sent*tokens), multiple+part)
	assert.Assert(t, maxFirstTakeUpUse < 2, "the users' rule on quotas")
}

// Plays a workspace that takes each stream that it begins up at all hosts at once, each of
// which sees a first take-up: the new streams of another one that asks as much get at least
// half of what it gets, and those that ask less than their share half of what they ask.
func TestFirstTakeUpsAtEachHostDoNotDisplaceOthers(t *testing.T) {
	const span = 20 * time.Second
	sim := newSimulation(t, 4, 6, 50_000)
	var workloads []workload
	for i := range sim.fleet {
		workloads = append(workloads, workload{"new", i, 40, 6000, longObjective, 0, span, 0}, workload{"again", i, 40, 6000, longObjective, 0, span, 0})
	}
	var open []*Request
	sim.onOffer = func(r *Request) {
		if r.Workspace == "again" {
			open = append(open, r)
		}
	}
	takeUps := 0
	sim.onStep = func(time.Duration) {
		waiting := open[:0]
		for _, r := range open {
			if !r.firstEventSeen {
				waiting = append(waiting, r)
				continue
			}
			for i, d := range sim.fleet {
				y := newRequest(sim.now, "again", 6000, longObjective)
				y.Release, y.Resumption, y.FirstTakeUp = v1, true, true
				takeUps++
				sim.decided(i, y, d.Admit(sim.now, y))
			}
		}
		open = waiting
	}
	sim.runFor(append(baseWorkloads(span), workloads...), span)
	others, again := sim.results["new"].served, sim.results["again"].served
	t.Logf("new streams %d tokens, take-ups and their streams %d, %d take-ups", others, again, takeUps)
	assert.Assert(t, takeUps > 100 && sim.results["new"].refused > 0, "there must be an overload")
	assert.Assert(t, 2*others >= again)
	for name, result := range sim.results {
		if name != "again" && name != "new" {
			assert.Assert(t, 2*result.served >= result.demand, "workspace %s: %+v", name, *result)
		}
	}
}
