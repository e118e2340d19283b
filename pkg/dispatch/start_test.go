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

// Guards against a host that has just started and crowds an engine because it does not know
// yet what the engine caches: prompts that were prefilled long ago look as if the engine were
// fast, and the next long one is expected in half of its time.
func TestHostThatStartsDoesNotLearnRatesFromCachedParts(t *testing.T) {
	const prompts, partTokens, rest = 20, 6000, 300
	const trueRate = defaultPrefillRate
	fleet := newFleet(2, 1)
	a, b := fleet[0], New("edge-1", "a", start.Add(10*time.Second))
	b.SetEdgeHosts([]string{"edge-1"}, 2)
	now := start
	request := func(i int) *Request {
		return newRequest(now, "w", partTokens+rest, 2*time.Second, Part{ID: uint64(i + 1), Tokens: partTokens})
	}
	serve := func(d *Dispatcher, i int, firstEvent time.Duration) {
		r := request(i)
		assert.Equal(t, d.Admit(now, r).Action, Send)
		now = now.Add(firstEvent)
		d.RecordEvent(now, r)
		d.RecordOutcome(now, r, Completed)
	}
	for i := range prompts {
		serve(a, i, 300*time.Millisecond)
		_ = nextDigest(a, now)
	}
	now = start.Add(10 * time.Second)
	b.SetServers(now, []ServerInfo{engineInfo(0, "a")})
	for i := range prompts {
		serve(b, i, defaultFirstEventDelay+rest*time.Second/trueRate)
		now = now.Add(20 * time.Millisecond)
	}
	const long = 50_000
	predicted, target := b.servers["engine-0"].prefillTime(long), long*time.Second/trueRate
	assert.Assert(t, predicted >= target, "%d tokens are expected in %v, they take %v", long, predicted, target)
}
