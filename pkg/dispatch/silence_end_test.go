package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// silentFleet returns two hosts that exchange digests and know two engines. The callers of
// 12 streams of the first host, at engine-0 until it fell silent, have left.
func silentFleet(t *testing.T, part Part) (a, b *Dispatcher, infos []ServerInfo, now time.Time) {
	t.Helper()
	infos = infosOf(false, v1, v1)
	a, b = New("edge-a", "a", start), New("edge-b", "a", start)
	for _, d := range []*Dispatcher{a, b} {
		d.SetServers(start, infos)
		d.SetEdgeHosts([]string{"edge-a", "edge-b"}, 2)
	}
	now = start
	var streams []*Request
	for range 12 {
		r := newRequest(now, "w", 1000, time.Second, part)
		r.ExcludedServers = []string{"engine-1"}
		assert.Equal(t, a.Admit(now, r).Server, "engine-0")
		now = now.Add(20 * time.Millisecond)
		a.RecordEvent(now, r)
		streams = append(streams, r)
	}
	now = pass(now, 3*time.Second, infos, a, b)
	for _, r := range streams {
		a.RecordOutcome(now, r, CallerDisconnected)
	}
	return a, b, infos, pass(now, 50*time.Millisecond, infos, a, b)
}

// pass lets time pass in which only engine-1 announces itself and the hosts exchange
// their digests.
func pass(now time.Time, duration time.Duration, infos []ServerInfo, hosts ...*Dispatcher) time.Time {
	for end := now.Add(duration); now.Before(end); {
		now = now.Add(50 * time.Millisecond)
		infos[1].Heard = now
		for _, d := range hosts {
			d.SetServers(now, infos)
		}
		for i, from := range hosts {
			m, due := from.Digest(now, 1)
			for j, to := range hosts {
				if due && i != j {
					to.MergeDigest(now, m)
				}
			}
		}
	}
	return now
}

// serverOfTakeUp returns the engine that gets a take-up of one of the streams.
func serverOfTakeUp(now time.Time, d *Dispatcher, part Part) string {
	r := newRequest(now, "w", 1000, time.Second, part)
	r.Release, r.Resumption, r.FirstTakeUp = v1, true, true
	v := d.Admit(now, r)
	d.RecordOutcome(now, r, NotSent)
	return v.Server
}

// Guards against take-ups at an engine whose silence a host forgot because time passed.
func TestSilentEngineIsAvoidedUntilASign(t *testing.T) {
	part := Part{ID: 7, Tokens: 900}
	a, b, infos, now := silentFleet(t, part)
	for range 10 {
		now = pass(now, time.Second, infos, a, b)
		assert.Equal(t, serverOfTakeUp(now, a, part), "engine-1")
		for _, p := range a.DueProbes(now) {
			a.RecordProbe(now, p.Server, false, 0)
		}
	}
	infos[0].Heard = now
	now = pass(now, 50*time.Millisecond, infos, a, b)
	assert.Equal(t, serverOfTakeUp(now, a, part), "engine-0")
}

// Guards against an engine that is avoided for ever although it has recovered, because
// its announcements are cut off and no request is sent there.
func TestHealthCheckEndsTheAvoidanceOfASilentEngine(t *testing.T) {
	part := Part{ID: 7, Tokens: 900}
	a, b, infos, now := silentFleet(t, part)
	recoverAt, checks := now.Add(10*time.Second), 0
	for now.Before(recoverAt) {
		now = pass(now, 100*time.Millisecond, infos, a, b)
		for _, p := range a.DueProbes(now) {
			assert.Equal(t, p.Server, "engine-0")
			a.RecordProbe(now, p.Server, false, 0)
			checks++
		}
	}
	assert.Assert(t, checks >= 2 && checks <= 4, "%d health checks in 10 s", checks)
	for end := now.Add(maxProbeDelay + time.Second); now.Before(end); {
		now = pass(now, 100*time.Millisecond, infos, a, b)
		for _, p := range a.DueProbes(now) {
			a.RecordProbe(now, p.Server, true, 0)
		}
	}
	assert.Equal(t, serverOfTakeUp(now, a, part), "engine-0")
}
