package edge

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a flooded host whose log does not tell whose requests and tokens it
// accepts and refuses.
func TestLogOfShedRequestsNamesWorkspaces(t *testing.T) {
	var l sheddingLog
	for range sheddingLogTicks - 1 {
		assert.Assert(t, l.tick(20*time.Millisecond) == nil)
	}
	l.add(&shedAttempt{workspace: "other", promptTokens: 10}, false)
	assert.Assert(t, l.tick(0) == nil, "a line although nothing was refused")
	l.add(&shedAttempt{workspace: "other", promptTokens: 10}, false)
	l.add(&shedAttempt{workspace: "flood", promptTokens: 500}, true)
	l.add(&shedAttempt{workspace: "flood", promptTokens: 700}, true)
	l.add(&shedAttempt{workspace: "flood", promptTokens: 100, retry: true}, false)
	for range sheddingLogTicks - 1 {
		assert.Assert(t, l.tick(20*time.Millisecond) == nil)
	}
	line := l.tick(20 * time.Millisecond)
	assert.Equal(t, line["processor_ms"], int64(200))
	assert.Equal(t, line["active"], 2)
	workspaces := line["workspaces"].([]*sheddingCounts)
	assert.DeepEqual(t, *workspaces[0], sheddingCounts{Workspace: "flood", Retries: 1, Accepted: 1, AcceptedTokens: 100, Refused: 2, RefusedTokens: 1200})
	assert.DeepEqual(t, *workspaces[1], sheddingCounts{Workspace: "other", Accepted: 1, AcceptedTokens: 10})
}
