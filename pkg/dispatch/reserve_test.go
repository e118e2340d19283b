package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func newFewSlotsDispatcher() *Dispatcher {
	d := New("edge", "a", start)
	d.SetServiceRate(testTokensPerSecond)
	info := engineInfo(0, "a")
	info.Slots, info.SupportsReservation = 12, true
	d.SetServers(start, []ServerInfo{info})
	return d
}

// Guards against taking the last slots of an engine without a reservation, and
// against an engine that keeps the load and the parts of a request that got no
// slot. The parts counted as cached, were published to other edge hosts, and
// were prefilled again.
func TestUnsentRequestLeavesNoState(t *testing.T) {
	for _, o := range []Outcome{NoSlot, NotSent, ConnectTimeout} {
		t.Run(o.String(), func(t *testing.T) { checkNoStateLeft(t, o) })
	}
}

func checkNoStateLeft(t *testing.T, o Outcome) {
	d := newFewSlotsDispatcher()
	s := d.servers["engine-0"]
	part := Part{ID: 7, Tokens: 500}
	for s.running+reserveMarginSlots < s.info.Slots {
		assert.Assert(t, !d.Admit(start, newRequest(start, "w", 100, time.Second)).ReserveSlot)
	}
	running, sentTokens, served := s.running, s.sentTokens, d.shares.usageOf("w").served.sum
	r := newRequest(start, "w", 600, time.Second, part)
	v := d.Admit(start, r)
	assert.Equal(t, v.Action, Send)
	assert.Assert(t, v.ReserveSlot)
	d.RecordOutcome(start, r, o)
	assert.Equal(t, s.running, running)
	assert.Equal(t, s.sentTokens, sentTokens)
	assert.Equal(t, d.shares.usageOf("w").served.sum, served)
	cachedTokens, _ := s.cachedParts.prefixTokens(start, r.Parts)
	assert.Equal(t, cachedTokens, 0)
	assert.Equal(t, len(nextDigest(d, start).GetPlacements()), 0)
	if o != NoSlot {
		return
	}
	demand := d.shares.usageOf("w").demand.sum
	assert.Equal(t, d.Admit(start, r).Action, Wait, "no request is sent during the backoff")
	assert.Equal(t, d.shares.usageOf("w").demand.sum, demand)

	decided := d.Poll(start.Add(noSlotBackoff))
	assert.Equal(t, len(decided), 1)
	d.ConfirmReservation(start.Add(noSlotBackoff), r)
	cachedTokens, _ = s.cachedParts.prefixTokens(start, r.Parts)
	assert.Equal(t, cachedTokens, part.Tokens)
}

// Guards against a backoff that continues after a slot became free.
func TestFreedSlotIsUsedImmediately(t *testing.T) {
	d := newFewSlotsDispatcher()
	first := newRequest(start, "w", 100, time.Second)
	d.Admit(start, first)
	s := d.servers["engine-0"]
	for s.running+reserveMarginSlots < s.info.Slots {
		d.Admit(start, newRequest(start, "w", 100, time.Second))
	}
	r := newRequest(start, "w", 100, time.Second)
	d.Admit(start, r)
	d.RecordOutcome(start, r, NoSlot)
	assert.Equal(t, d.Admit(start, r).Action, Wait)
	d.RecordOutcome(start, first, Completed)
	assert.Equal(t, len(d.Poll(start)), 1)
}

// Guards against reservation calls to a cold engine or to one that does not
// support them.
func TestNoReservationAtColdEngines(t *testing.T) {
	d := newFewSlotsDispatcher()
	s := d.servers["engine-0"]
	s.running = s.info.Slots - 1
	assert.Assert(t, d.needsReservation(start, s))
	s.info.ColdUntil = start.Add(time.Second)
	assert.Assert(t, !d.needsReservation(start, s))
	assert.Assert(t, d.needsReservation(start.Add(time.Second), s))
	s.info.SupportsReservation = false
	assert.Assert(t, !d.needsReservation(start.Add(time.Second), s))
}
