package fairshare

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against totals that depend on lost, repeated or reordered messages, or
// that change when a dead origin is dropped.
func TestMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewLedger(Origin{Name: "own"})
		type message struct {
			origin Origin
			totals []ServiceTotal
		}
		var messages []message
		counted := map[Origin]map[string]uint64{}
		for range rapid.IntRange(1, 30).Draw(t, "messages") {
			o := Origin{Name: fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "origin"))}
			w := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "workspace"))
			if counted[o] == nil {
				counted[o] = map[string]uint64{}
			}
			counted[o][w] += rapid.Uint64Range(0, 100).Draw(t, "units")
			messages = append(messages, message{o, []ServiceTotal{{w, counted[o][w]}}})
		}
		delivered := map[Origin]map[string]uint64{}
		for range 2 * len(messages) {
			m := messages[rapid.IntRange(0, len(messages)-1).Draw(t, "delivered")]
			l.Merge(m.origin, m.totals, false)
			if delivered[m.origin] == nil {
				delivered[m.origin] = map[string]uint64{}
			}
			s := delivered[m.origin]
			s[m.totals[0].Workspace] = max(s[m.totals[0].Workspace], m.totals[0].Units)
		}
		if rapid.Bool().Draw(t, "drop") {
			l.DropOrigin(Origin{Name: "0"})
		}
		for w := range 4 {
			want := uint64(0)
			for _, s := range delivered {
				want += s[fmt.Sprint(w)]
			}
			assert.Equal(t, l.FleetTotal(fmt.Sprint(w)), int64(want))
		}
	})
}

// Guards against counting the service of a dropped origin twice when it returns.
func TestReturnOfDroppedOrigin(t *testing.T) {
	l, o := NewLedger(Origin{Name: "own"}), Origin{Name: "other"}
	l.Merge(o, []ServiceTotal{{"w", 100}}, true)
	l.DropOrigin(o)
	l.Merge(o, []ServiceTotal{{"w", 150}}, false) // not full, so it cannot set the baseline
	assert.Equal(t, l.FleetTotal("w"), int64(100))
	l.Merge(o, []ServiceTotal{{"w", 160}}, true)
	l.Merge(o, []ServiceTotal{{"w", 190}}, false)
	assert.Equal(t, l.FleetTotal("w"), int64(130))
}

// Guards against a published total that falls. Peers ignore a lower total, and so
// would miss all service charged until the total exceeds its old value.
func TestPublishedTotalNeverFalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewLedger(Origin{Name: "own"})
		a := l.Account("w")
		lastPublished, settled := uint64(0), int64(0)
		for range 50 {
			estimate := rapid.Uint64Range(0, 100).Draw(t, "estimate")
			cost := rapid.Uint64Range(0, 100).Draw(t, "cost")
			l.Charge(a, estimate)
			lastPublished = checkPublished(t, l, lastPublished)
			l.Settle(a, estimate, cost)
			settled += int64(cost)
			assert.Equal(t, a.Total(), settled)
			lastPublished = checkPublished(t, l, lastPublished)
			assert.Assert(t, int64(lastPublished) >= settled)
		}
	})
}

// checkPublished returns the published total and fails if it is below last.
func checkPublished(t *rapid.T, l *Ledger, last uint64) uint64 {
	totals, _ := l.OwnTotals()
	if len(totals) == 0 {
		return last
	}
	if totals[0].Units < last {
		t.Fatalf("published total fell from %d to %d", last, totals[0].Units)
	}
	return totals[0].Units
}

// Guards against estimates that keep following wrong hints. After six requests
// with a hint that is wrong by a factor of ten, the estimate must be within a
// factor of two of the cost.
func TestHintCalibration(t *testing.T) {
	for _, factor := range []float64{0.1, 1, 10} {
		e := NewCostEstimator()
		for range 6 {
			e.Observe("w", "c", uint64(2000*factor), 100, 2000)
		}
		got := e.Estimate("w", "c", uint64(4000*factor), 100)
		assert.Assert(t, got >= 2000 && got <= 8000, "factor %v: estimate %d of a cost of 4000", factor, got)
	}
}
