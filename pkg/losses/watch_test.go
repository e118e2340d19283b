package losses

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/quarantine"
)

// Guards against a request that counts as lost with a server that ended long after its
// caller left, and against one that is not watched for the whole time.
func TestRequestIsWatchedAfterItsCallerLeft(t *testing.T) {
	var w Watch
	now := time.Now()
	server, restarted := Process{ID: "i", Address: "10.0.0.1:80", StartMS: 1}, Process{ID: "i", Address: "10.0.0.1:80", StartMS: 2}
	first, second := Request{Suspects: []uint64{quarantine.RequestSuspect(1)}}, Request{Suspects: []uint64{quarantine.RequestSuspect(2)}}
	assert.Assert(t, w.Add(now, server, first))
	assert.Assert(t, w.Add(now, restarted, first), "another process is watched by itself")
	assert.Assert(t, !w.Add(now.Add(WatchTime/2), server, second), "two checks of a process at once")

	lost, again := w.Take(now.Add(WatchTime), server, false)
	assert.Assert(t, len(lost) == 0 && again)
	lost, again = w.Take(now.Add(2*WatchTime), server, true)
	assert.DeepEqual(t, lost, []Request{second})
	assert.Assert(t, !again)

	lost, again = w.Take(now.Add(WatchTime), restarted, false)
	assert.Assert(t, len(lost) == 0 && !again)
	assert.Assert(t, w.Add(now.Add(WatchTime), restarted, first), "a process is watched again")
}

// Guards against memory that grows with callers that leave.
func TestWatchIsBounded(t *testing.T) {
	var w Watch
	for i := range int64(2 * maxLosses) {
		for range maxSuspects + 1 {
			w.Add(time.Now(), Process{StartMS: i}, Request{})
		}
	}
	assert.Equal(t, len(w.left), maxLosses)
	for _, list := range w.left {
		assert.Equal(t, len(list), maxSuspects)
	}
}
