package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/backend"
)

// Guards against a Retry-After that is too short: at most a quarter of the
// callers that retry after it may be refused again.
func TestRetryAfterIsAccurate(t *testing.T) {
	const slotTime = 4 * time.Second
	o, now := newGrantingOwner("s1")
	o.servers["s1"].limit.Restore(now, 8, false)
	o.reposition(o.servers["s1"])
	endingGrants := map[time.Time][]Grant{}
	takeOutput := func() (refused []Refusal) {
		out := o.TakeOutput()
		endingGrants[now.Add(slotTime)] = append(endingGrants[now.Add(slotTime)], out.Grants...)
		return out.Refusals
	}
	id := uint64(0)
	retriesAt := map[time.Time]int{} // retrying callers by time
	firstRefusals, retried, refusedAgain := 0, 0, 0
	send := func(isRetry bool) {
		id++
		o.Ask(now, ask(id, "w", chat, now))
		for _, r := range takeOutput() {
			if r.RequestID != id {
				continue
			}
			if isRetry {
				refusedAgain++
				continue
			}
			firstRefusals++
			at := now.Add(r.RetryAfter).Truncate(100 * time.Millisecond).Add(100 * time.Millisecond)
			retriesAt[at]++
		}
	}
	for step := range 1200 {
		now = now.Add(100 * time.Millisecond).Truncate(100 * time.Millisecond)
		for _, g := range endingGrants[now] {
			o.Settle(now, Settle{GrantID: g.GrantID, Epoch: 1, Outcome: OutcomeOK, CostUnits: 800,
				FirstToken: 200 * time.Millisecond, TokenInterval: 20 * time.Millisecond})
			takeOutput()
		}
		delete(endingGrants, now)
		if step%10 == 0 {
			o.HandleAnnouncement(now, announce("s1", int64(step)))
			assert.Assert(t, o.servers["s1"].announcement.State == backend.Ready)
		}
		o.Tick(now)
		takeOutput()
		for range retriesAt[now] {
			retried++
			send(true)
		}
		if step%200 < 12 { // a burst of 24 requests every 20 s, in which 40 can be served
			send(false)
			send(false)
		}
	}
	t.Logf("%d refused, %d retried, %d refused again", firstRefusals, retried, refusedAgain)
	assert.Assert(t, firstRefusals >= 20)
	assert.Assert(t, refusedAgain*4 <= retried, "%d of %d retries refused again", refusedAgain, retried)
}
