package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against full load for cold servers from a host that was suspended: it
// did not hear which of them started meanwhile. Those that are heard after it
// woke up count as what they say.
func TestServersCountAsColdAfterASuspension(t *testing.T) {
	const rate = 12
	sends := func(heard time.Duration) int {
		info := engineInfo(0, "a")
		info.ColdRate = rate
		d := New("edge", "a", start)
		d.SetEdges([]string{"edge"}, 1)
		d.SetServers(start, []ServerInfo{info})
		d.Suspended(start)
		info.Heard = start.Add(heard)
		d.SetServers(start, []ServerInfo{info})
		return len(offerFor(d, doubtTime/2))
	}
	assert.Assert(t, sends(-time.Second) <= rate)
	assert.Assert(t, sends(time.Millisecond) > 2*rate)
}

// Guards against more work for an address at which another server answered,
// until the server that is meant announces itself again.
func TestMisdirectedServerGetsNoWorkUntilItIsHeard(t *testing.T) {
	d := newFleet(1, 1)[0]
	r := request(start, "w", 500, time.Second)
	assert.Equal(t, d.Offer(start, r).Kind, Send)
	d.Ended(start, r, Misdirected)
	d.services["models"].servers[0].downSince = start // as told by the outcome
	now := start.Add(10 * time.Millisecond)
	assert.Assert(t, d.Offer(now, request(now, "w", 500, time.Second)).Kind != Send)
	d.services["models"].servers[0].downSince = time.Time{} // a good health check of the other one
	assert.Assert(t, d.Offer(now, request(now, "w", 500, time.Second)).Kind != Send)
	info := engineInfo(0, "a")
	info.BornMS = 2
	d.SetServers(now, []ServerInfo{info})
	assert.Equal(t, d.Offer(now, request(now, "w", 500, time.Second)).Kind, Send)
}
