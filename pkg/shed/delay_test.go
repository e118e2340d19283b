package shed

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// saturatedShedder returns a Shedder with a rate of 20 requests per tick that has admitted
// what may begin at once.
func saturatedShedder(now time.Time) *Shedder {
	s := New()
	s.ratePerTick, s.refilledAt = 20, now
	for range 2 * int(capacityPerTick) {
		s.Admit(now, "flood", 0)
	}
	s.Tick(0.85)
	return s
}

// Guards against delayed requests that begin together, and against a delay beyond its limit.
func TestDelayedRequestsBeginAtTheAdmissionRate(t *testing.T) {
	for _, limit := range []time.Duration{0, 50 * time.Millisecond, maxDelay, 5 * time.Second} {
		s := saturatedShedder(start)
		last, accepted := time.Duration(0), 0
		for range 1000 {
			delay, ok := s.Admit(start, "flood", limit)
			if !ok {
				assert.Equal(t, delay, time.Duration(0))
				continue
			}
			accepted++
			assert.Assert(t, delay <= min(limit, maxDelay) && delay > last, "%v after %v", delay, last)
			last = delay
		}
		most := int(min(limit, maxDelay).Seconds() / TickInterval.Seconds() * s.ratePerTick)
		assert.Assert(t, accepted == most || accepted == most-1, "%d accepted with %v", accepted, limit)
	}
}

// Guards against delayed requests that are counted in the tick in which they arrive: the
// host would seem to admit much in one tick and nothing in the next.
func TestDelayedRequestsCountInTheTickInWhichTheyBegin(t *testing.T) {
	s := saturatedShedder(start)
	s.admittedPerTick = 0
	accepted := 0
	for range 1000 {
		if _, ok := s.Admit(start, "flood", maxDelay); ok {
			accepted++
		}
	}
	counted := 0.0
	for tick := range maxDelay/TickInterval + 1 {
		counted += s.begins[0]
		assert.Assert(t, s.begins[0] <= s.ratePerTick+1, "tick %d: %v", tick, s.begins[0])
		s.Tick(0.85)
	}
	assert.Equal(t, int(counted), accepted)
}

// Guards against a host that takes new callers while it still works off delayed requests.
func TestHostWithDelayedRequestsIsSaturated(t *testing.T) {
	s := saturatedShedder(start)
	for tick := range maxSheddingTicks {
		s.Admit(start.Add(time.Duration(tick)*TickInterval), "flood", maxDelay)
		for range int(s.ratePerTick) {
			s.Admit(start.Add(time.Duration(tick)*TickInterval), "flood", maxDelay)
		}
		s.Tick(0.85)
	}
	assert.Equal(t, s.SheddingTicks(), maxSheddingTicks)
}
