package edge

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against returned requests that are taken for first ones, which costs
// the first ones their objective in a flood, and against the reverse.
func TestAgeOfReturnedRequests(t *testing.T) {
	var a ages
	for _, c := range []struct {
		after    time.Duration
		route    string
		patience time.Duration
		age      time.Duration
	}{
		{0, "check", 3 * time.Second, 0},
		{0, "check", 2550 * time.Millisecond, 0}, // callers differ
		{0, "check", 1800 * time.Millisecond, 720 * time.Millisecond},
		{0, "check", 0, 0}, // says nothing
		{0, "draft", 1800 * time.Millisecond, 0},
		{8 * time.Second, "check", 1800 * time.Millisecond, 720 * time.Millisecond},
		// The longest patience is shorter since a release of the callers.
		{2 * patienceMemory, "check", 1800 * time.Millisecond, 720 * time.Millisecond},
		{2*patienceMemory + 11*time.Second, "check", 1800 * time.Millisecond, 0},
	} {
		assert.Equal(t, a.of(start.Add(c.after), c.route, c.patience), c.age, "%+v", c)
	}
}
