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
func playTakeUpBurst(t *testing.T, takeUps, hosts int) takeUpBurst {
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
			r.Release, r.Resumption = v1, true
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
	t.Logf("%d take-ups at %d hosts: %d went on, median first event %s, refused %v; new streams %d of %d, %s; tokens of the workspace %d, of the others %d",
		takeUps, hosts, out.began, median(out.firstEvents), out.refused, out.newBegan, out.newStreams, median(out.newFirstEvents), out.large, out.elsewhere)
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
	before := d.predictedQueueTime(newRequest(start, "x", 100, longObjective), Decision{Class: Late})
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
			out := playTakeUpBurst(t, n, hosts)
			assert.Check(t, out.newBegan > 0, "new streams must begin")
			assert.Check(t, out.refused[ReasonOverShare] == 0, "%d of %d take-ups at %d hosts were refused for the share", out.refused[ReasonOverShare], n, hosts)
			assert.Check(t, out.began*out.newStreams >= out.newBegan*n, "%d of %d take-ups went on, %d of %d new streams", out.began, n, out.newBegan, out.newStreams)
		}
	}
}
