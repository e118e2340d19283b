package shed

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a host that admits next to nothing because its refusals cause load: 260
// refusals a tick took 60 of 100 parts of the processor, 127 of 2,700 requests a second were
// served. The load stays, whatever is admitted, while the refused callers come back.
func TestRefusalsDoNotTakeTheRateOfAdmittedRequests(t *testing.T) {
	const refused, utilisation = 260, 0.6
	s, now := New(), start
	lowest := 0.0
	for tick := range 200 {
		for i := range refused {
			now = now.Add(TickInterval / refused)
			s.Admit(now, "flood", 0)
			if tick == 0 && i == capacityPerTick {
				break // the first tick has no limit
			}
		}
		load := utilisation
		if tick%4 == 0 {
			load = 2 // a burst or the collector
		}
		s.Tick(load)
		if tick >= 100 && (lowest == 0 || s.ratePerTick < lowest) {
			lowest = s.ratePerTick
		}
	}
	// All of the processor bears refused*refusalCost/utilisation admitted requests at least.
	assert.Assert(t, lowest >= 0.9*reservedShare*refused*refusalCost/utilisation, "%v", lowest)
}

// Guards against a host that gives all of its processor to refusals after some seconds: its
// work waits all the while, since refusals alone saturate it.
func TestPartForAdmittedRequestsStaysWhileWorkWaits(t *testing.T) {
	const refused = 300
	s, now := New(), start
	admitted := 0
	for tick := range 600 {
		for i := range refused {
			now = now.Add(TickInterval / refused)
			if _, ok := s.Admit(now, "flood", 0); ok && tick >= 500 {
				admitted++
			}
			if tick == 0 && i == capacityPerTick {
				break // the first tick has no limit
			}
		}
		s.Tick(maxLoad)
	}
	assert.Assert(t, float64(admitted)/100 >= 0.9*minReservedShare*refused*refusalCost, "%d", admitted)
}
