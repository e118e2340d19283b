package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func fewSlots() *Dispatcher {
	d := New("edge", "a", start)
	d.SetRate(testRate)
	info := engineInfo(0, "a")
	info.Slots, info.Reserves = 12, true
	d.SetServers(start, []ServerInfo{info})
	return d
}

// Guards against requests that take the last slots of an engine by belief, and
// against an engine that keeps the load and the parts of a request that got no
// slot: the parts were counted as kept, told to others and read again.
func TestRequestWithoutASlotLeavesNothing(t *testing.T) {
	for _, o := range []Outcome{NoSlot, Unused, ConnectTimeout} {
		t.Run(o.String(), func(t *testing.T) { leavesNothing(t, o) })
	}
}

func leavesNothing(t *testing.T, o Outcome) {
	d := fewSlots()
	s := d.servers["engine-0"]
	part := Part{ID: 7, Tokens: 500}
	for s.running+reserveMargin < s.info.Slots {
		assert.Assert(t, !d.Offer(start, request(start, "w", 100, time.Second)).Reserve)
	}
	running, tokens, served := s.running, s.tokens, d.shares.of("w").served.sum
	r := request(start, "w", 600, time.Second, part)
	v := d.Offer(start, r)
	assert.Equal(t, v.Kind, Send)
	assert.Assert(t, v.Reserve)
	d.Ended(start, r, o)
	assert.Equal(t, s.running, running)
	assert.Equal(t, s.tokens, tokens)
	assert.Equal(t, d.shares.of("w").served.sum, served)
	all, _ := s.kept.cached(start, r.Parts)
	assert.Equal(t, all, 0)
	assert.Equal(t, len(digest(d, start).GetPlacements()), 0)
	if o != NoSlot {
		return
	}
	asked := d.shares.of("w").asked.sum
	assert.Equal(t, d.Offer(start, r).Kind, Wait, "the engine is left alone for a while")
	assert.Equal(t, d.shares.of("w").asked.sum, asked)

	decided := d.Poll(start.Add(noSlotPause))
	assert.Equal(t, len(decided), 1)
	d.Reserved(start.Add(noSlotPause), r)
	all, _ = s.kept.cached(start, r.Parts)
	assert.Equal(t, all, part.Tokens)
}

// Guards against an engine that is left alone although a slot became free.
func TestSlotOfAnEndedRequestIsUsedAtOnce(t *testing.T) {
	d := fewSlots()
	first := request(start, "w", 100, time.Second)
	d.Offer(start, first)
	s := d.servers["engine-0"]
	for s.running+reserveMargin < s.info.Slots {
		d.Offer(start, request(start, "w", 100, time.Second))
	}
	r := request(start, "w", 100, time.Second)
	d.Offer(start, r)
	d.Ended(start, r, NoSlot)
	assert.Equal(t, d.Offer(start, r).Kind, Wait)
	d.Ended(start, first, Whole)
	assert.Equal(t, len(d.Poll(start)), 1)
}

// Guards against calls for a slot that a cold engine or one without
// reservations gets.
func TestNoReservationAtColdEngines(t *testing.T) {
	d := fewSlots()
	s := d.servers["engine-0"]
	s.running = s.info.Slots - 1
	assert.Assert(t, d.isNearlyFull(start, s))
	s.info.ColdUntil = start.Add(time.Second)
	assert.Assert(t, !d.isNearlyFull(start, s))
	assert.Assert(t, d.isNearlyFull(start.Add(time.Second), s))
	s.info.Reserves = false
	assert.Assert(t, !d.isNearlyFull(start.Add(time.Second), s))
}
