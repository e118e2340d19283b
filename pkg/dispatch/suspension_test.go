package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an edge host that sends full load to cold servers after it was
// suspended, because it missed their restarts. Servers that announce themselves
// afterwards count as announced.
func TestServersAreAssumedColdAfterSuspension(t *testing.T) {
	const rate = 12
	sends := func(heard time.Duration) int {
		info := engineInfo(0, "a")
		info.ColdRequestsPerSecond = rate
		d := New("edge", "a", start)
		d.SetEdgeHosts([]string{"edge"}, 1)
		d.SetServers(start, []ServerInfo{info})
		d.MarkSuspended(start)
		info.Heard = start.Add(heard)
		d.SetServers(start, []ServerInfo{info})
		return len(offerRequestsFor(d, assumeColdTime/2))
	}
	assert.Assert(t, sends(-time.Second) <= rate)
	assert.Assert(t, sends(time.Millisecond) > 2*rate)
}

// Guards against sending more requests to an address at which another server
// answered, before the intended server announces itself again.
func TestMisdirectedServerStaysOutUntilAnnounced(t *testing.T) {
	d := newFleet(1, 1)[0]
	r := newRequest(start, "w", 500, time.Second)
	assert.Equal(t, d.Admit(start, r).Action, Send)
	d.RecordOutcome(start, r, Misdirected)
	d.services["models"].servers[0].downSince = start // as after the outcome
	now := start.Add(10 * time.Millisecond)
	assert.Assert(t, d.Admit(now, newRequest(now, "w", 500, time.Second)).Action != Send)
	d.services["models"].servers[0].downSince = time.Time{} // as after a successful health check of the other server
	assert.Assert(t, d.Admit(now, newRequest(now, "w", 500, time.Second)).Action != Send)
	info := engineInfo(0, "a")
	info.StartMS = 2
	d.SetServers(now, []ServerInfo{info})
	assert.Equal(t, d.Admit(now, newRequest(now, "w", 500, time.Second)).Action, Send)
}
