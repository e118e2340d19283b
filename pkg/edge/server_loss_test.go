package edge

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/dispatch"
)

// Guards against a growing table of lost servers, and against a loss at a server
// that restarted at once going unnoticed.
func TestLossesAreBoundedAndConfirmedByRestart(t *testing.T) {
	var c lossCollector
	parts := []uint64{7, 8}
	lost := dispatch.Decision{Server: "i", StartMS: 1000, Address: "10.0.0.1:80"}
	l := c.add(start, lost, false, parts, 1)
	assert.Assert(t, l != nil)
	assert.Assert(t, c.add(start, lost, true, []uint64{9}, 2) == nil, "one check for each server process")
	assert.Equal(t, len(l.parts), 2, "requests whose answer had begun name no part")
	assert.Equal(t, l.begun, 1)
	c.finish(l, false)
	assert.Assert(t, c.takeRestarted(start, lost.Address, 1000) == nil, "the same process")
	assert.Equal(t, c.takeRestarted(start.Add(time.Second), lost.Address, 2000), l)
	assert.Assert(t, c.takeRestarted(start.Add(time.Second), lost.Address, 3000) == nil, "confirmed once")
	for i := range 2 * maxLosses {
		c.add(start, dispatch.Decision{Server: "j", StartMS: int64(i)}, false, parts, 1)
	}
	assert.Equal(t, len(c.collecting), maxLosses)
}
