package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/backend"
)

// Guards against a Retry-After that is not true: callers that come back after
// it are accepted, because the queue drained as predicted.
func TestRetryAfterIsTrue(t *testing.T) {
	const hold = 4 * time.Second
	o, now := open("s1")
	o.servers["s1"].limit.Restore(now, 8, false)
	o.fix(o.servers["s1"])
	ends := map[time.Time][]Grant{}
	take := func() (refused []Refusal) {
		out := o.Take()
		ends[now.Add(hold)] = append(ends[now.Add(hold)], out.Grants...)
		return out.Refusals
	}
	id := uint64(0)
	back := map[time.Time]int{} // callers that come back
	first, again, refusedAgain := 0, 0, 0
	send := func(returned bool) {
		id++
		o.Ask(now, ask(id, "w", chat, now))
		for _, r := range take() {
			if r.RequestID != id {
				continue
			}
			if returned {
				refusedAgain++
				continue
			}
			first++
			at := now.Add(r.RetryAfter).Truncate(100 * time.Millisecond).Add(100 * time.Millisecond)
			back[at]++
		}
	}
	for step := range 1200 {
		now = now.Add(100 * time.Millisecond).Truncate(100 * time.Millisecond)
		for _, g := range ends[now] {
			o.Settle(now, Settle{GrantID: g.GrantID, Epoch: 1, Outcome: OutcomeOK, CostUnits: 800,
				FirstToken: 200 * time.Millisecond, TokenInterval: 20 * time.Millisecond})
			take()
		}
		delete(ends, now)
		if step%10 == 0 {
			o.Announce(now, announce("s1", int64(step)))
			assert.Assert(t, o.servers["s1"].ann.State == backend.Ready)
		}
		o.Tick(now)
		take()
		for range back[now] {
			again++
			send(true)
		}
		if step%200 < 12 { // a burst of 24 requests every 20 s, for 40 that can run
			send(false)
			send(false)
		}
	}
	t.Logf("%d refused, %d came back, %d refused again", first, again, refusedAgain)
	assert.Assert(t, first >= 20)
	assert.Assert(t, refusedAgain*4 <= again, "%d of %d refused again", refusedAgain, again)
}
