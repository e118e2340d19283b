package fleet

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// sentOrder is an order on its way to the log, in any number of copies.
type sentOrder struct {
	mark  *apiv1.FleetMark
	acked bool
}

// Guards against an order that undoes one which was sent after it and acknowledged, whatever
// holds it up, in which order and how often copies of it come into the log, and whatever
// snapshots are taken between.
func TestNoOrderUndoesALaterOne(t *testing.T) {
	stale, copies := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		s := NewState()
		orders := map[string][]*sentOrder{} // in the order in which they were sent
		index := uint64(0)
		for range 40 {
			zone := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "data centre")
			if n := len(orders[zone]); n == 0 || rapid.IntRange(0, 2).Draw(t, "sent") == 0 {
				known, _ := s.View(^uint64(0))
				orders[zone] = append(orders[zone], &sentOrder{mark: &apiv1.FleetMark{DataCentre: zone, Out: rapid.Bool().Draw(t, "out"), Revision: known.GetRevision() + 1}})
				continue
			}
			index += 1 + uint64(rapid.IntRange(0, 2).Draw(t, "other entries"))
			n := rapid.IntRange(0, len(orders[zone])-1).Draw(t, "delivered")
			order, before := orders[zone][n], s.marks[zone].GetOut()
			data, err := EncodeCommand(&apiv1.FleetCommand{Mark: order.mark})
			assert.NilError(t, err)
			if failed, ok := s.Apply(index, data).(error); ok {
				code, _ := result.CodeOf(failed)
				assert.Equal(t, code, result.RevisionConflict)
				assert.Equal(t, s.marks[zone].GetOut(), before)
				stale++
			} else {
				assert.Equal(t, s.marks[zone].GetOut(), order.mark.GetOut(), "acknowledged and not in force")
				if order.acked {
					copies++
				}
				order.acked = true
			}
			for _, later := range orders[zone][n+1:] {
				assert.Assert(t, !later.acked || s.marks[zone].GetOut() == before, "an order undid a later one that was acknowledged")
			}
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				snapshot, err := s.Snapshot()
				assert.NilError(t, err)
				s = NewState()
				assert.NilError(t, s.Restore(snapshot))
			}
		}
	})
	assert.Assert(t, stale > 100 && copies > 100, "%d stale orders, %d copies", stale, copies)
	t.Logf("%d stale orders were refused, %d copies acknowledged", stale, copies)
}

// Guards against an order of a host with the version before that has no effect: it states
// nothing of what its sender knew.
func TestOrderWithoutRevisionIsApplied(t *testing.T) {
	s := NewState()
	for index, out := range []bool{true, true, false, true} {
		applyCommand(t, s, uint64(index+1), &apiv1.FleetCommand{Mark: &apiv1.FleetMark{DataCentre: "a", Out: out}})
		assert.Equal(t, s.marks["a"].GetOut(), out)
	}
	assert.Equal(t, s.marks["a"].GetRevision(), uint64(4))
}
