package core

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// order submits a mark at a host and returns its error.
func (c *testCore) order(n int, out bool, isCurrent func() bool) error {
	ctx, cancel := context.WithTimeout(c.t.Context(), testDeadline)
	defer cancel()
	return c.hosts[n].SubmitDataCentreMark(ctx, "dc", out, isCurrent)
}

// isOut returns the mark that the host reads with the confirmation of a majority.
func (c *testCore) isOut(n int) (out bool) {
	c.t.Helper()
	c.waitFor("a confirmed read", func() bool {
		ctx, cancel := context.WithTimeout(c.t.Context(), operatorTimeout)
		defer cancel()
		state, err := c.hosts[n].readFromLeader(ctx, false)
		for _, m := range state.GetMarks() {
			out = m.GetOut()
		}
		return err == nil
	})
	return out
}

// Guards against an order that is held up, at any host and also at the leader, and undoes later
// ones that others have acknowledged: after its sender was found to wait, or before that.
func TestHeldUpOrderIsNotCarriedOutAfterLaterOnes(t *testing.T) {
	c := newTestCore(t, 3)
	c.startAll(3)
	c.submitUntilAgreed(1, 2, 3)
	isCurrent, isStale := func() bool { return true }, func() bool { return false }
	for held := 1; held <= 3; held++ {
		other := 1 + held%3
		for name, later := range map[string][]bool{"the opposite": {false, true}, "what was in force": {true}} {
			assert.NilError(t, c.order(other, true, isCurrent))
			err := c.order(held, false, func() bool {
				for _, out := range later {
					assert.NilError(t, c.order(other, out, isCurrent))
				}
				return true
			})
			code, _ := result.CodeOf(err)
			assert.Equal(t, code, result.RevisionConflict, "%s, host %d: %v", name, held, err)
			assert.Equal(t, c.isOut(other), true, "%s, host %d", name, held)
			code, _ = result.CodeOf(c.order(held, false, isStale))
			assert.Equal(t, code, result.RevisionConflict, "%s, host %d", name, held)
			assert.Equal(t, c.isOut(other), true, "%s, host %d", name, held)
			assert.NilError(t, c.order(held, true, isCurrent), "a copy of the order in force")
			assert.NilError(t, c.order(held, false, isCurrent), "a later order")
			assert.Equal(t, c.isOut(other), false)
		}
	}
}
