package losses

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/quarantine"
)

var start = time.Unix(1_700_000_000, 0)

func startedBefore(startMS int64) func(Process) bool {
	return func(p Process) bool { return p.StartMS < startMS }
}

// Guards against a report in which a second attempt of the host counts as a further try of
// its caller, and against one in which it hides such a try.
func TestReportTellsSecondAttemptsApart(t *testing.T) {
	request, other := quarantine.RequestSuspect(1), quarantine.RequestSuspect(2)
	var c Collector
	p := Process{ID: "i", StartMS: 1000, Address: "10.0.0.1:80"}
	l := c.Add(start, p, Request{Suspects: []uint64{request}, Sent: start, Further: true})
	c.Add(start, p, Request{Suspects: []uint64{other}, Sent: start, Further: true})
	c.Add(start, p, Request{Suspects: []uint64{other}, Sent: start.Add(-time.Second)})
	c.Add(start, p, Request{Suspects: []uint64{other}, Sent: start.Add(-time.Second), Further: true})
	assert.DeepEqual(t, l.Evidence(quarantine.Server{}).Requests, []quarantine.Sent{
		{Request: request, At: start, Copy: quarantine.FurtherCopy}, {Request: other, At: start, Copy: quarantine.FirstCopy},
	})
}

// Guards against a growing table of lost servers, and against a loss at a server
// that restarted at once going unnoticed.
func TestLossesAreBoundedAndConfirmedByRestart(t *testing.T) {
	var c Collector
	request := Request{Suspects: []uint64{7, 8, quarantine.RequestSuspect(1)}, Sent: start}
	lost := Process{ID: "i", StartMS: 1000, Address: "10.0.0.1:80"}
	l := c.Add(start, lost, request)
	assert.Assert(t, l != nil)
	assert.Assert(t, c.Add(start, lost, Request{Suspects: []uint64{9}, Begun: true}) == nil, "one check for each server process")
	assert.Equal(t, len(l.Parts), 2, "requests whose answer had begun name no part")
	assert.Equal(t, len(l.Requests), 1)
	assert.Equal(t, l.Begun, 1)
	assert.Assert(t, !c.Finish(l, false))
	assert.Assert(t, c.TakeRestarted(start, lost.Address, startedBefore(1000)) == nil, "the same process")
	assert.Equal(t, c.TakeRestarted(start.Add(time.Second), lost.Address, startedBefore(2000)), l)
	assert.Assert(t, c.TakeRestarted(start.Add(time.Second), lost.Address, startedBefore(3000)) == nil, "confirmed once")
	for i := range 2 * maxLosses {
		c.Add(start, Process{ID: "j", StartMS: int64(i)}, request)
		c.Add(start, Process{ID: "j"}, Request{Suspects: []uint64{uint64(i), quarantine.RequestSuspect(uint64(i))}})
	}
	assert.Equal(t, len(c.collecting), maxLosses)
	full := c.collecting[Process{ID: "j"}]
	assert.Assert(t, len(full.Parts) == maxSuspects && len(full.Requests) == maxSuspects)
}

// Guards against the loss of a server that is back within CollectTime, which accepts
// connections when it is checked, counting late or twice.
func TestRestartDuringCollectionConfirmsOnce(t *testing.T) {
	request := Request{Suspects: []uint64{7}, Sent: start}
	var c Collector
	lost := Process{ID: "s", BootID: 9, Address: "10.0.0.1:80"}
	l := c.Add(start, lost, request)
	assert.Assert(t, c.TakeRestarted(start, "10.0.0.2:80", func(Process) bool { return true }) == nil, "another address")
	assert.Assert(t, c.TakeRestarted(start, lost.Address, func(p Process) bool { return p.BootID != lost.BootID }) == nil, "the same process")
	isLost := func(p Process) bool { return p == lost } // boot ids have no order
	assert.Equal(t, c.TakeRestarted(start, lost.Address, isLost), l)
	assert.Assert(t, c.TakeRestarted(start, lost.Address, isLost) == nil)
	assert.Assert(t, !c.Finish(l, true), "reported before")

	second := c.Add(start, lost, request) // a connection that was found broken later
	assert.Assert(t, !c.Finish(l, true) && len(c.collecting) == 1, "the check of the first loss does not end the second")
	assert.Assert(t, c.Finish(second, true))
	assert.Assert(t, c.TakeRestarted(start, lost.Address, isLost) == nil, "confirmed by the check")

	begun := c.Add(start, lost, Request{Suspects: []uint64{7}, Begun: true})
	assert.Assert(t, c.TakeRestarted(start, lost.Address, isLost) == nil, "no request waited for its answer")
	assert.Assert(t, c.Finish(begun, true))
}
