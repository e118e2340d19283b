package dispatch

import (
	"container/heap"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/release"
)

// runningAt returns the requests that run at the server.
func runningAt(d *Dispatcher, id string) int {
	running, _ := d.servers[id].load()
	return running
}

// Guards against new streams that take the last places of the few servers of a release,
// and against places that stay empty although no stream needs them there.
func TestNewStreamsLeavePlacesOfAScarceRelease(t *testing.T) {
	for _, c := range []struct {
		name     string
		releases []release.ID
		left     int // places of the first server
	}{
		{"few servers", []release.ID{v1, v2, v2}, 2},
		{"half of the servers", []release.ID{v1, v2}, 0},
		{"one release", []release.ID{v1, v1, v1}, 0},
		{"no version stated", []release.ID{release.Unknown, v2, v2}, 0},
	} {
		for _, plain := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s,plain=%t", c.name, plain), func(t *testing.T) {
				infos := infosOf(plain, c.releases...)
				limit := 12
				for i := range infos {
					infos[i].Slots, infos[i].Heard = limit, start.Add(time.Minute) // its streams have no events
				}
				if plain {
					limit *= maxPlainLoadPerSlot * 10
					limit /= 10
				}
				left := c.left * limit / 12
				d := newFleetOf(plain)
				d.SetServers(start, infos)
				now := start
				for range 4 * limit {
					now = now.Add(100 * time.Millisecond)
					r := newRequest(now, "w", 100, time.Second)
					if d.Admit(now, r).Action != Send {
						d.Cancel(r)
					}
				}
				assert.Equal(t, runningAt(d, "engine-0"), limit-left)
				assert.Equal(t, runningAt(d, "engine-1"), limit)
				for range left {
					r := newRequest(now, "w", 100, time.Second)
					r.Release = c.releases[0]
					assert.Equal(t, d.Admit(now, r).Action, Send)
				}
				r := newRequest(now, "w", 100, time.Second)
				r.Release = c.releases[0]
				assert.Assert(t, d.Admit(now, r).Action != Send)
			})
		}
	}
}

// Guards against a take-up that waits behind new streams for the only server of its
// release, and against one that goes ahead of them where its release has many. The
// servers are too small to leave places.
func TestTakeUpGoesAheadWhereItsReleaseIsScarce(t *testing.T) {
	for _, c := range []struct {
		releases []release.ID
		ahead    bool
	}{
		{[]release.ID{v1, v2, v2}, true},
		{[]release.ID{v1, v1, v2}, false},
	} {
		d := newFleetOf(true, c.releases...)
		last := map[string]*Request{}
		for id := range d.servers {
			last[id] = fill(t, d, id)
		}
		for range 10 {
			assert.Equal(t, d.Admit(start, newRequest(start, "w", 0, time.Second)).Action, Wait)
		}
		takeUp := newRequest(start, "w", 0, 2*time.Second) // less urgent
		takeUp.Release = v1
		assert.Equal(t, d.Admit(start, takeUp).Action, Wait)
		d.RecordOutcome(start, last["engine-0"], Completed)
		decided := d.Poll(start)
		assert.Equal(t, len(decided), 1)
		assert.Equal(t, decided[0].Request == takeUp, c.ahead)
	}
}

// Guards against places left for take-ups that these may not use because they are late.
func TestLateTakeUpUsesThePlacesLeftForIt(t *testing.T) {
	for _, c := range []struct {
		releases []release.ID
		want     Action
	}{
		{[]release.ID{v1, v2, v2}, Send},
		{[]release.ID{v1, v1, v1}, Wait},
	} {
		infos := infosOf(false, c.releases...)
		for i := range infos {
			infos[i].Slots, infos[i].Heard = 12, start.Add(time.Minute) // its streams have no events
		}
		d := newFleetOf(false)
		d.SetServers(start, infos)
		now := start
		for range 36 {
			now = now.Add(100 * time.Millisecond)
			r := newRequest(now, "w", 100, time.Second)
			if d.Admit(now, r).Action != Send {
				d.Cancel(r)
			}
		}
		for _, s := range d.servers {
			s.running = min(s.running, 10) // two slots are free
		}
		r := newRequest(now, "w", 100, time.Second)
		r.Release, r.AgeAtArrival = v1, 2*time.Second
		v := d.Admit(now, r)
		assert.Equal(t, v.Class, Late)
		assert.Equal(t, v.Action, c.want)
	}
}

// Guards against new streams that wait behind a flood of take-ups for a full release,
// although a server of another release is free: a Poll decides on few requests.
func TestTakeUpsOfAFullReleaseDoNotHoldUpNewStreams(t *testing.T) {
	d := newFleetOf(true, v1, v2, v2)
	last := map[string]*Request{}
	for id := range d.servers {
		last[id] = fill(t, d, id)
	}
	for range 10 * minPollDecisions {
		r := newRequest(start, "w", 0, time.Second)
		r.Release = v1
		assert.Equal(t, d.Admit(start, r).Action, Wait)
	}
	fresh := newRequest(start, "w", 0, time.Second)
	assert.Equal(t, d.Admit(start, fresh).Action, Wait)
	d.SetServers(start, append(infosOf(true, v1, v2, v2), otherServers(maxPollEvaluations)...))
	d.RecordOutcome(start, last["engine-1"], Completed)
	decided := d.Poll(start)
	assert.Equal(t, len(decided), 1)
	assert.Equal(t, decided[0].Request, fresh)
}

// Guards against take-ups that are refused because of requests that wait behind them or
// for other servers, and against new streams that are refused because of take-ups for
// which they need not wait.
func TestPredictedQueueTimeCountsWhatIsAhead(t *testing.T) {
	queued := func(id release.ID) *Request {
		r := newRequest(start, "w", 12_000, 800*time.Millisecond)
		r.Release, r.decision.Class = id, Late
		return r
	}
	const perEngine = 240 * time.Millisecond // 12,000 tokens at the default rate
	for _, c := range []struct {
		name     string
		releases []release.ID
		needs    release.ID
		want     time.Duration // of a request behind 3 new streams, 3 that need v1 and 3 that need v2
	}{
		{"scarce", []release.ID{v1, v2, v2}, v1, 3 * perEngine},
		{"not scarce", []release.ID{v1, v2, v2}, v2, 3*perEngine/3 + 3*perEngine/2},
		{"new stream", []release.ID{v1, v2, v2}, release.Unknown, 3*perEngine/3 + 3*perEngine/3},
		{"half", []release.ID{v1, v2}, v1, 3*perEngine/2 + 3*perEngine},
		{"gone", []release.ID{v2, v2}, v1, 0},
	} {
		d := newFleetOf(false, c.releases...)
		for range 3 {
			d.queue = append(d.queue, queued(release.Unknown), queued(v1), queued(v2))
		}
		got := d.predictedQueueTime(start, queued(c.needs), Decision{Class: Late})
		assert.Assert(t, (got-c.want).Abs() < time.Millisecond, "%s: %s, want %s", c.name, got, c.want)
	}
}

// crash ends a server of the simulation and returns the requests that ran or waited
// there.
func (sim *simulation) crash(server string) (lost []sentRequest) {
	sim.events = slices.DeleteFunc(sim.events, func(e engineEvent) bool {
		if e.server == server && !e.firstEvent {
			lost = append(lost, sentRequest{e.edge, e.request, server})
		}
		return e.server == server
	})
	heap.Init(&sim.events)
	lost = append(lost, sim.slotQueues[server]...)
	delete(sim.slotQueues, server)
	for _, s := range lost {
		sim.fleet[s.edge].RecordOutcome(sim.now, s.request, ConnectionLost)
	}
	return lost
}

// scarceSimulation returns a simulation of four edge hosts and eight engines with few
// slots, the first three of the old version v1, the others of v2.
func scarceSimulation(t *testing.T) (*simulation, []ServerInfo) {
	sim := newSimulation(t, 4, 0, 50_000)
	sim.slots, sim.decodeTime = 24, 1500*time.Millisecond
	infos := infosOf(false, v1, v1, v1, v2, v2, v2, v2, v2)
	for i := range infos {
		infos[i].Slots, infos[i].SupportsReservation = sim.slots, true
	}
	for _, d := range sim.fleet {
		d.SetServiceRate(0)
		d.SetServers(start, infos)
	}
	return sim, infos
}

// takeUp offers a stream that v1 began to an edge host.
func (sim *simulation) takeUp(edge int) {
	r := newRequest(sim.now, "take-ups", 1000, longObjective)
	r.Release = v1
	sim.decided(edge, r, sim.fleet[edge].Admit(sim.now, r))
}

// Plays an overload by new streams while one of the three servers of the old version
// ends: callers take its streams up at other edge hosts within milliseconds, where new
// streams wait already. The users ask that 95 of 100 take-ups go on whose version still
// serves.
func TestTakeUpsAfterACrashGoOn(t *testing.T) {
	const (
		span     = 8 * time.Second
		crashAt  = 4 * time.Second
		resumeIn = 20 * time.Millisecond
		target   = 0.95
	)
	sim, infos := scarceSimulation(t)
	var workloads []workload
	for i := range 4 {
		workloads = append(workloads, workload{"w", i, 60, 1000, longObjective, 0, span, 0})
	}
	var lost []sentRequest
	sim.onStep = func(elapsed time.Duration) {
		switch elapsed {
		case crashAt:
			lost = sim.crash("engine-0")
			infos[0].Ready = false
			for _, d := range sim.fleet {
				d.SetServers(sim.now, infos)
			}
		case crashAt + resumeIn:
			for i, s := range lost {
				sim.takeUp((s.edge + 1 + i%3) % 4)
			}
		}
	}
	sim.runFor(workloads, span)
	result, others := sim.results["take-ups"], sim.results["w"]
	t.Logf("%d take-ups: %+v, new streams: %+v", len(lost), *result, *others)
	assert.Assert(t, len(lost) >= 10 && others.refused > 0, "the servers must be full")
	assert.Assert(t, float64(result.onTime+result.late) >= target*float64(len(lost)))
}

// Plays a flood of take-ups for the old version that its three servers cannot serve. New
// streams that the other five can serve get on as without the flood, 95 of 100 at least.
func TestFloodOfTakeUpsDoesNotStarveNewStreams(t *testing.T) {
	const (
		span   = 8 * time.Second
		target = 0.95
	)
	onTime := map[bool]int{}
	for _, flood := range []bool{false, true} {
		sim, _ := scarceSimulation(t)
		var workloads []workload
		for i := range 4 {
			workloads = append(workloads, workload{"w", i, 15, 1000, longObjective, 0, span, 0})
		}
		if flood {
			sim.onStep = func(elapsed time.Duration) {
				for i := range sim.fleet {
					if elapsed%(5*time.Millisecond) == 0 {
						sim.takeUp(i)
					}
				}
			}
		}
		sim.runFor(workloads, span)
		result := sim.results["w"]
		t.Logf("flood %t, new streams: %+v, take-ups: %+v", flood, *result, sim.results["take-ups"])
		onTime[flood] = result.onTime
		if flood {
			assert.Assert(t, sim.results["take-ups"].refused > result.onTime, "the flood must exceed the servers")
		}
	}
	assert.Assert(t, float64(onTime[true]) >= target*float64(onTime[false]), "%d on time, %d without the flood", onTime[true], onTime[false])
}
