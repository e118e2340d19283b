package e2e

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/load"
	"jackdawtrack.example/jackdawtrack/pkg/standin"
)

// Guards against more requests than servers have stated in their answers, while routers of two
// data centres send to all of them and one that may own a pool is killed and started again.
func TestServerLimitsHoldWhileRouterIsKilled(t *testing.T) {
	t.Parallel()
	const (
		limit  = 2 // requests a second
		window = 4 * time.Second
		// learned is the time in which each router gets an answer of each server, and 0.5 s.
		learned = 1500 * time.Millisecond
	)
	f := newFleet(t)
	servers := []string{"engine-a", "desk-a", "desk2-a", "engine-b", "desk-b", "desk2-b"}
	for _, server := range servers {
		f.sendFault(server, standin.Fault{Kind: standin.FaultLimit, Limit: "2"})()
	}
	e := f.experiment()
	e.AllowBroken = true
	e.Streams = append(e.Streams[:1], e.Streams[2:]...) // without orders, which wait for longest
	for i := range e.Streams {
		e.Streams[i].Rate = 30
	}
	startedAt := time.Now()
	done := make(chan *load.Report, 1)
	go func() { done <- f.runLoad(e) }()
	f.waitForExecutions(30)
	f.routers[0].kill()
	f.waitForExecutions(20)
	f.routers[0].start()
	report := <-done
	assert.Assert(t, report != nil, "the load did not run")
	assert.DeepEqual(t, report.Faults(), []string(nil))
	executions, err := standin.ReadExecutions(f.executions)
	assert.NilError(t, err)
	for _, server := range servers {
		var starts []time.Time
		for _, x := range executions {
			if x.Server == server && x.Start.After(startedAt.Add(learned)) {
				starts = append(starts, x.Start)
			}
		}
		most := 0
		for _, from := range starts {
			n := 0
			for _, at := range starts {
				if !at.Before(from) && at.Sub(from) < window {
					n++
				}
			}
			most = max(most, n)
		}
		t.Logf("%s: at most %d requests in %s", server, most, window)
		assert.Check(t, float64(most) <= 1.5*limit*window.Seconds()+5, "%s: %d requests in %s", server, most, window)
		assert.Check(t, most > 0, "%s got no request", server)
	}
}
