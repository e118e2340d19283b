package fairshare

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a request other than the last one that leaves a full queue: of another
// workspace, of one that is served earlier, or one that does not match.
func TestLastRequest(t *testing.T) {
	ledger := NewLedger(Origin{Name: "a"})
	q := NewQueue(DefaultConfig(), ledger)
	now := time.Unix(1, 0)
	push := func(workspace string, model int, deadline int64) *Item {
		i := &Item{Deadline: deadline, ModelIndex: model}
		q.Push(now, q.Flow(workspace), i)
		return i
	}
	matches := map[*Item]bool{}
	match := func(i *Item) bool { return matches[i] }
	early, late, tied, other := push("a", 0, 1), push("a", 1, 5), push("a", 0, 5), push("b", 0, 9)
	ledger.Charge(q.Flow("b").Account(), 100)
	q.RefreshVirtualTimes()
	light := push("c", 0, 99)
	assert.Assert(t, q.LastOf(q.Flow("a"), match) == nil && q.Last(match) == nil)
	for i, want := range []struct{ added, lastOfA, last *Item }{
		{early, early, early}, {late, late, late}, {tied, tied, tied}, {other, tied, other}, {light, tied, other},
	} {
		matches[want.added] = true
		assert.Check(t, q.LastOf(q.Flow("a"), match) == want.lastOfA, "step %d", i)
		assert.Check(t, q.Last(match) == want.last, "step %d", i)
	}
	q.Remove(other)
	assert.Assert(t, q.Last(match) != other)
}
