package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a host that has just started and crowds an engine: until the next complete
// digest of the others, up to a second later, it knew none of their requests in progress.
func TestHostThatStartsKnowsTheLoadOfOthers(t *testing.T) {
	const running, interval = 40, 20 * time.Millisecond
	fleet := newFleet(2, 1)
	a, b := fleet[0], fleet[1]
	now := start
	for range running {
		now = now.Add(100 * time.Millisecond)
		assert.Equal(t, a.Admit(now, newRequest(now, "w", 500, time.Second)).Action, Send)
	}
	for now = now.Add(completeInterval); nextDigest(a, now).Complete; { // b was not there yet
		now = now.Add(interval)
	}
	for range 2 { // what a host sends is on its way while the other one sends
		fromA, fromB := nextDigest(a, now), nextDigest(b, now)
		a.MergeDigest(now, fromB)
		b.MergeDigest(now, fromA)
		now = now.Add(interval)
	}
	known, _ := b.servers["engine-0"].load()
	assert.Equal(t, known, running)
}
