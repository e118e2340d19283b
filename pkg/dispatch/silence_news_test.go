package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against take-ups that a host without requests at the dead engine, or one that has
// just restarted, sends there.
func TestSilentEngineIsAvoidedByHostsWithoutRequestsThere(t *testing.T) {
	part := Part{ID: 7, Tokens: 900}
	a, b, infos, now := silentFleet(t, part)
	assert.Equal(t, serverOfTakeUp(now, a, part), "engine-1")
	assert.Equal(t, serverOfTakeUp(now, b, part), "engine-1")
	restarted := New("edge-c", "a", now)
	now = pass(now, 1500*time.Millisecond, infos, a, restarted)
	assert.Assert(t, restarted.servers["engine-0"].isAvoided(now))
	assert.Equal(t, serverOfTakeUp(now, restarted, part), "engine-1")
	now = pass(now, 10*time.Second, infos, a, b)
	assert.Equal(t, serverOfTakeUp(now, b, part), "engine-1")
}

// Guards against a host that learns of the silence only with the next complete digest, or
// does not hear of it again because the sender has counted nothing for the engine.
func TestSilenceIsToldAtOnceAndAgain(t *testing.T) {
	infos := infosOf(false, v1, v1)
	a, b := New("edge-a", "a", start), New("edge-b", "a", start)
	a.SetServers(start, infos)
	b.SetServers(start, infos)
	now := pass(start, 3*time.Second+200*time.Millisecond, infos, a, b)
	a.servers["engine-0"].silentAt = now
	now = pass(now, 50*time.Millisecond, infos, a, b)
	assert.Assert(t, b.servers["engine-0"].isAvoided(now))
	now = pass(now, 2*maxSilenceNewsAge, infos, a, b)
	assert.Assert(t, b.servers["engine-0"].isAvoided(now))
	a.servers["engine-0"].heardAt = now
	now = pass(now, 50*time.Millisecond, infos, a, b)
	assert.Assert(t, !b.servers["engine-0"].isAvoided(now))
}

// Guards against a sound engine that a host avoids although it has a sign of its own, or
// for longer than another one says so.
func TestNewsOfSilenceEnds(t *testing.T) {
	part := Part{ID: 7, Tokens: 900}
	for name, sign := range map[string]func(a, b *Dispatcher, infos []ServerInfo, now time.Time) time.Time{
		"the sender has an answer": func(a, b *Dispatcher, infos []ServerInfo, now time.Time) time.Time {
			a.RecordProbe(now, "engine-0", true, 0)
			return pass(now, 50*time.Millisecond, infos, a, b)
		},
		"the sender has died": func(_, b *Dispatcher, infos []ServerInfo, now time.Time) time.Time {
			return pass(now, maxSilenceNewsAge, infos, b)
		},
		"the sender has restarted": func(_, b *Dispatcher, infos []ServerInfo, now time.Time) time.Time {
			restarted := New("edge-a", "a", now)
			restarted.SetServers(now, infos)
			m, _ := restarted.Digest(now, 2)
			assert.Assert(t, b.MergeDigest(now, m))
			return now
		},
		"own announcement": func(a, b *Dispatcher, infos []ServerInfo, now time.Time) time.Time {
			infos[0].Heard = now
			now = pass(now, 2*time.Second, infos, b)
			infos[0].Heard = start
			m, _ := a.Digest(now, 1)
			b.MergeDigest(now, m)
			return now
		},
		"own health check": func(a, b *Dispatcher, infos []ServerInfo, now time.Time) time.Time {
			for _, p := range b.DueProbes(now) {
				b.RecordProbe(now, p.Server, true, 0)
			}
			return pass(now, 2*time.Second, infos, a, b)
		},
		"own event": func(a, b *Dispatcher, infos []ServerInfo, now time.Time) time.Time {
			r := newRequest(now, "w", 1000, time.Second)
			r.ExcludedServers = []string{"engine-1"}
			b.Admit(now, r)
			b.RecordEvent(now, r)
			b.RecordOutcome(now, r, CallerDisconnected)
			return pass(now, 2*time.Second, infos, a, b)
		},
	} {
		t.Run(name, func(t *testing.T) {
			a, b, infos, now := silentFleet(t, part)
			assert.Assert(t, b.servers["engine-0"].isAvoided(now))
			now = sign(a, b, infos, now)
			assert.Assert(t, !b.servers["engine-0"].isAvoided(now))
		})
	}
}

// Guards against hosts that keep the news of a silence alive among each other.
func TestNewsOfSilenceIsNotPassedOn(t *testing.T) {
	a, b, infos, now := silentFleet(t, Part{ID: 7, Tokens: 900})
	r := newRequest(now, "w", 1000, time.Second) // so that complete digests of b list the engine
	r.ExcludedServers = []string{"engine-1"}
	b.Admit(now, r)
	b.RecordOutcome(now, r, CallerDisconnected)
	assert.Assert(t, b.servers["engine-0"].sentTokens > 0)
	c := New("edge-c", "a", now)
	now = pass(now, 500*time.Millisecond, infos, a, b)
	now = pass(now, 1500*time.Millisecond, infos, b, c)
	assert.Assert(t, b.servers["engine-0"].isAvoided(now))
	assert.Assert(t, !c.servers["engine-0"].isAvoided(now))
}

// Guards against take-ups that the hosts of other data centres send to the silent engine of a
// large fleet, and against summaries that keep its silence alive.
func TestSummariesTellOfSilence(t *testing.T) {
	f := newSummaryFleet()
	now := start
	avoided := func() (n int) {
		for _, hosts := range f.hosts {
			for _, d := range hosts {
				if d.servers["engine-0"].isAvoided(now) {
					n++
				}
			}
		}
		return n
	}
	run := func(duration time.Duration) {
		for end := now.Add(duration); now.Before(end); {
			now = now.Add(200 * time.Millisecond)
			f.exchangeDigests(now)
			f.exchangeSummaries(now, noLoss)
		}
	}
	run(3 * time.Second)
	finder := f.hosts[0][3].servers["engine-0"]
	finder.silentAt = now
	run(400 * time.Millisecond)
	assert.Equal(t, avoided(), testDataCentres*testHostsPerDataCentre)
	finder.heardAt = now
	run(600 * time.Millisecond)
	assert.Equal(t, avoided(), 0, fmt.Sprint("after ", now.Sub(start)))
}
