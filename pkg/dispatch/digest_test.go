package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an edge host that takes the work of another one, done while
// the two were cut off from each other, for work that still waits: it refused
// everything for 3.5 s (FAIR on a day of the hunt).
func TestWorkDoneDuringACutIsNoBacklog(t *testing.T) {
	fleet := newFleet(2, 1)
	a, b := fleet[0], fleet[1]
	now := start
	b.Take(now, digest(a, now))
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		r := request(now, "w", 4000, time.Second)
		assert.Equal(t, a.Offer(now, r).Kind, Send)
		a.Started(now.Add(80*time.Millisecond), r)
		a.Ended(now.Add(90*time.Millisecond), r, Whole)
	}
	b.Take(now, digest(a, now))
	v := b.Offer(now, request(now, "w", 500, 300*time.Millisecond))
	assert.Equal(t, v.Kind, Send)
	assert.Assert(t, v.Backlog < 100*time.Millisecond, "%v", v.Backlog)
}

// Guards against a belief that runs away: an edge host that took engines for
// slow sent them nothing, learned nothing more, and saw a backlog of 1.4 s where
// the others saw 40 ms (FAIR on a varied day of our own).
func TestBeliefThatRanAwayComesBack(t *testing.T) {
	fleet := newFleet(2, 1)
	a, b := fleet[0], fleet[1]
	b.servers["engine-0"].rate = 15_000
	b.servers["engine-0"].sampled = start
	now := start
	worst := time.Duration(0)
	for range 300 { // the other host keeps the engine busy, not overloaded
		now = now.Add(20 * time.Millisecond)
		r := request(now, "w", 700, time.Second)
		assert.Equal(t, a.Offer(now, r).Kind, Send)
		a.Started(now.Add(40*time.Millisecond), r)
		a.Ended(now.Add(50*time.Millisecond), r, Whole)
		b.Take(now, digest(a, now))
		b.servers["engine-0"].advance(now)
		worst = b.servers["engine-0"].wait(0)
	}
	assert.Assert(t, worst < onTimeBacklog, "%v", worst)
	assert.Equal(t, b.Offer(now, request(now, "w", 500, shortObjective)).Kind, Send)
}

// Guards against a load of another edge host that is not seen: both would send
// to the same engine.
func TestLoadOfOtherEdgeHostsCounts(t *testing.T) {
	fleet := newFleet(2, 2)
	a, b := fleet[0], fleet[1]
	b.Take(start, digest(a, start))
	now := start.Add(10 * time.Millisecond)
	first := a.Offer(now, request(now, "w", 9000, time.Second))
	b.Take(now, digest(a, now))
	second := b.Offer(now, request(now, "w", 9000, time.Second))
	assert.Assert(t, first.Server != second.Server)
}

// Guards against a repeated or late datagram that counts twice.
func TestRepeatedDigestCountsOnce(t *testing.T) {
	fleet := newFleet(2, 1)
	a, b := fleet[0], fleet[1]
	b.Take(start, digest(a, start))
	a.Offer(start, request(start, "w", 9000, time.Second))
	m := digest(a, start.Add(time.Millisecond))
	b.Take(start, m)
	before := b.servers["engine-0"].backlog
	b.Take(start, m)
	assert.Equal(t, b.servers["engine-0"].backlog, before)
	assert.Assert(t, before >= 9000)
}

// Guards against an edge host that is never heard again because its clock was
// set back before it restarted, and against late datagrams of an earlier start
// while the present one is heard.
func TestRestartWithAnEarlierClockIsHeard(t *testing.T) {
	fleet := newFleet(2, 1)
	a, b := fleet[0], fleet[1]
	m, _ := a.Digest(start, 2000)
	b.Take(start, m)
	now := start.Add(peerSilence / 2)
	earlier, _ := newFleet(1, 1)[0].Digest(now, 1000)
	b.Take(now, earlier)
	assert.Equal(t, b.peers[a.self].incarnation, uint64(2000))
	now = now.Add(peerSilence)
	restarted := newFleet(1, 1)[0]
	m, _ = restarted.Digest(now, 1000)
	b.Take(now, m)
	assert.Equal(t, b.peers[a.self].incarnation, uint64(1000))
	restarted.Offer(now, request(now, "w", 5000, time.Second))
	m, _ = restarted.Digest(now, 1000)
	b.Take(now, m)
	assert.Assert(t, b.servers["engine-0"].backlog >= 5000)
}

// Guards against placements that lag behind a flood: the other edge hosts then
// do not know what engines keep, and have it read again when the flood moves
// to them.
func TestPlacementsOfAFloodAreKnown(t *testing.T) {
	const engines, sessions, perSecond = 20, 300, 500
	const digestEach = 40 * time.Millisecond
	fleet := newFleet(2, engines)
	a, b := fleet[0], fleet[1]
	a.SetRate(0) // no limit by shares
	now := start
	b.Take(now, digest(a, now))
	lastDigest := now
	class := Part{ID: 1, Tokens: 500}
	for i := range 4 * perSecond {
		now = now.Add(time.Second / perSecond)
		r := request(now, "w", 700, time.Second, class, Part{ID: uint64(100 + i*7%sessions), Tokens: 100})
		for e := range engines { // load spreads the sessions over the engines
			if e != (i+i/sessions)%engines {
				r.Avoid = append(r.Avoid, fmt.Sprint("engine-", e))
			}
		}
		if a.Offer(now, r).Kind == Send {
			a.Started(now, r)
			a.Ended(now, r, Whole)
		}
		if now.Sub(lastDigest) >= digestEach {
			lastDigest = now
			b.Take(now, digest(a, now))
		}
	}
	now = now.Add(digestEach)
	b.Take(now, digest(a, now))
	known, kept := 0, 0
	for id, s := range a.servers {
		for part := range s.kept.parts {
			kept++
			if b.servers[id].kept.parts[part] != nil {
				known++
			}
		}
	}
	assert.Assert(t, kept > sessions)
	assert.Equal(t, known, kept)
}

// Guards against a host that has just started, or was cut off, and takes all
// that another one did before for work of now: its first digest need not name
// every engine and workspace.
func TestEarlierWorkOfAnotherHostDoesNotCount(t *testing.T) {
	a := newFleet(1, 2)[0]
	now := start
	work := func() {
		for range 100 {
			now = now.Add(100 * time.Millisecond)
			for _, avoid := range []string{"engine-0", "engine-1"} {
				r := request(now, "w", 6000, time.Second)
				r.Avoid = []string{avoid}
				a.Offer(now, r)
				a.Started(now, r)
				a.Ended(now, r, Whole)
			}
			digest(a, now)
		}
	}
	work()
	b := newFleet(1, 2)[0]
	b.self = "edge-b"
	for _, why := range []string{"a host that starts late", "a host that was cut off"} {
		t.Run(why, func(t *testing.T) {
			for range 20 {
				now = now.Add(completeInterval / 10)
				b.Take(now, digest(a, now))
			}
			for _, s := range b.servers {
				s.advance(now)
				assert.Assert(t, s.backlog < 6000, "%s: %v tokens", s.info.ID, s.backlog)
			}
			u := b.shares.of("w")
			assert.Equal(t, u.asked.sum, 0.0)
			assert.Equal(t, u.served.sum, 0.0)
		})
		work()
	}
}

// Guards against digests that repeat what has not changed: each goes to every
// other edge host, and on a fleet of 28 they were most of the bytes between
// data centres.
func TestDigestNamesWhatChanged(t *testing.T) {
	d := newFleet(1, 4)[0]
	now := start
	for i := range 30 {
		d.Offer(now, request(now, fmt.Sprint("w", i), 500, time.Second))
	}
	assert.Assert(t, digest(d, now).GetComplete())
	for range loadRepeats {
		now = now.Add(20 * time.Millisecond)
		digest(d, now)
	}
	now = now.Add(usesInterval)
	digest(d, now)
	d.Offer(now, request(now, "w3", 500, time.Second))
	now = now.Add(usesInterval)
	m := digest(d, now)
	assert.Assert(t, !m.GetComplete())
	assert.Equal(t, len(m.GetServers()), 1)
	assert.Equal(t, len(m.GetUses()), 1)
	assert.Equal(t, m.GetUses()[0].GetWorkspace(), "w3")
	assert.Equal(t, m.GetUses()[0].GetAsked(), uint64(1400))
	now = now.Add(completeInterval)
	m = digest(d, now)
	assert.Assert(t, m.GetComplete())
	assert.Equal(t, len(m.GetServers()), 4)
	assert.Equal(t, len(m.GetUses()), 30)
}

// Guards against a server that resets each request at once, while it says that
// it is ready: to each of many edge hosts it seems to have nothing to do, and
// each found out by itself (3,328 requests of a large day).
func TestFailuresAtOtherEdgeHostsCount(t *testing.T) {
	fleet := newFleet(20, 2)
	for _, d := range fleet {
		d.SetEdges([]string{d.self}, 2*meshHosts)
	}
	now := start
	exchange := func() {
		for _, from := range fleet {
			m := digest(from, now)
			for _, to := range fleet {
				to.Take(now, m)
			}
		}
	}
	exchange()
	lost := 0
	const rounds, first = 40, 2 // the first ones find out
	for round := range rounds {
		now = now.Add(200 * time.Millisecond)
		for _, d := range fleet {
			r := request(now, "w", 10, time.Second)
			v := d.Offer(now, r)
			assert.Equal(t, v.Kind, Send)
			if v.Server == "engine-0" {
				d.Ended(now, r, Broken)
				if round >= first {
					lost++
				}
				continue
			}
			d.Started(now, r)
			d.Ended(now, r, Whole)
		}
		exchange()
	}
	// A look now and then is left: five in 100.
	assert.Assert(t, lost <= (rounds-first)*len(fleet)/20, "%d requests", lost)
	late := New("late", "a", now)
	late.SetServers(now, []ServerInfo{engineInfo(0, "a")})
	late.Take(now, digest(fleet[0], now))
	assert.Equal(t, late.servers["engine-0"].fail, 0.0, "what was before a host heard does not count")
}
