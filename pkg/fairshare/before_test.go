package fairshare

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an estimate that counts requests which are served later, or leaves out
// those that are served before, in the order that Peek then shows.
func TestServedBefore(t *testing.T) {
	const cost = 4000 // the urgency window is four requests
	for name, tc := range map[string]struct {
		lead       int64 // of the workspace that asks, service units
		own, other int   // waiting requests
		want       int
	}{
		"nothing waits":                  {0, 0, 0, 0},
		"few of the other":               {0, 0, 3, 3},
		"the other within its window":    {0, 0, 50, 5},
		"own requests before":            {0, 2, 50, 9},
		"own ones alone":                 {0, 3, 0, 3},
		"owed less than the other":       {8000, 0, 50, 7},
		"owed so much less that the end": {400_000, 0, 50, 50},
	} {
		t.Run(name, func(t *testing.T) {
			ledger := NewLedger(Origin{Name: "a"})
			q := NewQueue(DefaultConfig(), ledger)
			now := time.Unix(1, 0)
			for i := range tc.other {
				q.Push(now, q.Flow("other"), &Item{Deadline: int64(i)})
			}
			ledger.Charge(q.Flow("w").Account(), uint64(tc.lead))
			for i := range tc.own {
				q.Push(now, q.Flow("w"), &Item{Deadline: int64(1000 + i)})
			}
			f := q.Flow("w")
			assert.Equal(t, q.ServedBefore(f, 0, cost, 1000), tc.want)
			assert.Equal(t, q.ServedBefore(f, 0, cost, 2), min(tc.want, 2))
			if tc.other == 0 && tc.own == 0 {
				return
			}
			last := &Item{Deadline: 2000}
			q.Push(now, f, last)
			served := 0
			for item := q.Peek(now, func(int) bool { return true }); item != last; served++ {
				ledger.Charge(item.Flow().Account(), cost)
				q.Remove(item)
				q.RefreshVirtualTimes()
				item = q.Peek(now, func(int) bool { return true })
			}
			assert.Equal(t, served, tc.want)
		})
	}
}
