package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against requests and health checks to a server that asked for a
// backoff, and against a shorter backoff from a concurrent answer that ends a
// longer one.
func TestServerInBackoffGetsNoRequests(t *testing.T) {
	d := newFleet(1, 2)[0]
	d.BackOff(start, "engine-0", 3*time.Second)
	d.BackOff(start, "engine-0", time.Second)
	d.servers["engine-0"].markDown(start)
	for at := time.Duration(0); at < 3*time.Second; at += 50 * time.Millisecond {
		now := start.Add(at)
		d.servers["engine-1"].info.Heard = now // announced
		v := d.Admit(now, newRequest(now, "w", 100, time.Second))
		assert.Assert(t, v.Action != Send || v.Server == "engine-1", "at %s", at)
		assert.Equal(t, len(d.DueProbes(now)), 0, "at %s", at)
	}
	assert.Equal(t, len(d.DueProbes(start.Add(3*time.Second))), 1)
}

// Guards against callers that are queued or retry too early while all servers
// of a service are in backoff.
func TestBackoffOfAllServersExtendsRetryAfter(t *testing.T) {
	d := newFleet(1, 2)[0]
	d.BackOff(start, "engine-0", 9*time.Second)
	d.BackOff(start, "engine-1", 6*time.Second)
	now := start.Add(time.Second)
	v := d.Admit(now, newRequest(now, "w", 100, time.Second))
	assert.Equal(t, v.Action, Refuse)
	assert.Assert(t, v.RetryAfter >= 5*time.Second && v.RetryAfter < 8*time.Second, "Retry-After %s", v.RetryAfter)
	now = start.Add(6 * time.Second)
	v = d.Admit(now, newRequest(now, "w", 100, time.Second))
	assert.Equal(t, v.Server, "engine-1")
}

// Guards against a server that an absurdly long backoff keeps out of use, and
// against a backoff that outlives a restart of the server.
func TestBackoffIsBounded(t *testing.T) {
	d := newFleet(1, 1)[0]
	d.BackOff(start, "engine-0", 1000*time.Hour)
	now := start.Add(MaxBackoff)
	assert.Equal(t, d.Admit(now, newRequest(now, "w", 100, time.Second)).Action, Send)
	d.BackOff(now, "engine-0", time.Minute)
	d.BackOff(now, "unknown", time.Minute)
	info := engineInfo(0, "a")
	info.StartMS = 2
	d.SetServers(now, []ServerInfo{info})
	assert.Equal(t, d.Admit(now, newRequest(now, "w", 100, time.Second)).Action, Send)
}

// Guards against callers of a plain service that all retry at the same time.
// Their requests cost 0 service tokens, which made the retry step NaN.
func TestPlainServiceRetriesAreStaggered(t *testing.T) {
	d := New("edge", "z", start)
	d.SetServers(start, []ServerInfo{{ID: "i", Service: "s", DataCentre: "z", Slots: 6, Ready: true, Heard: start}})
	d.BackOff(start, "i", 10*time.Second)
	var last time.Duration
	for range 5 {
		v := d.Admit(start, &Request{ID: "r", Service: "s", Arrived: start, Objective: time.Second, Deadline: start.Add(time.Minute)})
		assert.Equal(t, v.Action, Refuse)
		assert.Assert(t, v.RetryAfter > last && v.RetryAfter >= 10*time.Second, "Retry-After %s, previously %s", v.RetryAfter, last)
		last = v.RetryAfter
	}
}
