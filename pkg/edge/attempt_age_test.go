package edge

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against retries that count as first attempts, which makes first attempts
// miss their objective during a flood, and against the reverse.
func TestAttemptAgeOfRetriedRequests(t *testing.T) {
	var a attemptAges
	for _, c := range []struct {
		after    time.Duration
		route    string
		patience time.Duration
		age      time.Duration
	}{
		{0, "check", 3 * time.Second, 0},
		{0, "check", 2550 * time.Millisecond, 0}, // timeouts of callers differ by up to 15 percent
		{0, "check", 1800 * time.Millisecond, 720 * time.Millisecond},
		{0, "check", 0, 0}, // no caller timeout
		{0, "draft", 1800 * time.Millisecond, 0},
		{8 * time.Second, "check", 1800 * time.Millisecond, 720 * time.Millisecond},
		// A release of the callers has shortened the longest timeout.
		{2 * callerTimeoutWindow, "check", 1800 * time.Millisecond, 720 * time.Millisecond},
		{2*callerTimeoutWindow + 11*time.Second, "check", 1800 * time.Millisecond, 0},
	} {
		assert.Equal(t, a.estimate(start.Add(c.after), c.route, c.patience), c.age, "%+v", c)
	}
}
