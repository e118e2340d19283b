package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against take-ups that a queue full of new streams refuses, against a queue that
// grows with take-ups, and against displaced requests that get no decision.
func TestFullQueueOfNewStreamsDoesNotRefuseTakeUps(t *testing.T) {
	d := newFleetOf(false, v1)
	engine := d.servers["engine-0"]
	engine.updatedAt, engine.backlogTokens = start, 2*maxOnTimeBacklog.Seconds()*engine.prefillRate
	admit := func(isTakeUp bool) (*Request, Decision) {
		r := newRequest(start, "others", 1, longObjective)
		if r.Resumption = isTakeUp; isTakeUp {
			r.Release = v1
		}
		return r, d.Admit(start, r)
	}
	var last *Request
	for i := range maxQueuedRequests {
		r, v := admit(false)
		assert.Equal(t, v.Action, Wait, "request %d: %s", i, v.Reason)
		last = r
	}
	_, v := admit(false)
	assert.Equal(t, v.Reason, ReasonQueueFull)
	takeUp, v := admit(true)
	assert.Equal(t, v.Action, Wait, "%s", v.Reason)
	assert.Equal(t, len(d.queue), maxQueuedRequests)
	decided := d.Poll(start)
	assert.Equal(t, len(decided), 1)
	assert.Assert(t, decided[0].Request == last && !last.queued)
	assert.Equal(t, decided[0].Decision.Action, Refuse)
	assert.Equal(t, decided[0].Decision.Reason, ReasonQueueFull)
	assert.Assert(t, takeUp.queued)

	second, _ := admit(true)
	d.queue[0].decision.Class = OverShare // of all new requests the least urgent one
	leastUrgent := d.queue[0]
	_, v = admit(true)
	assert.Equal(t, v.Action, Wait)
	assert.Equal(t, d.QueueLength(), maxQueuedRequests+2)
	assert.Assert(t, d.displaced[1].Request == leastUrgent)
	d.Cancel(d.displaced[0].Request) // its caller has left
	assert.Equal(t, len(d.displaced), 1)
	assert.Assert(t, second.queued)

	for _, r := range d.queue {
		r.Resumption = true
	}
	_, v = admit(true)
	assert.Equal(t, v.Action, Refuse)
	assert.Equal(t, len(d.queue), maxQueuedRequests)
	assert.Assert(t, d.Poll(start.Add(time.Hour))[0].Request == leastUrgent)
}

// Guards against take-ups beyond all bounds that empty a full queue of the new requests of
// workspaces within their share.
func TestTakeUpsBeyondTheBoundsDisplaceNoOneWithinTheShare(t *testing.T) {
	d := newFixedShareHost(1)
	for _, s := range d.servers {
		s.setPeerLoad(&peerLoad{}, s.info.Slots, 0) // full of running streams, nothing to prefill
	}
	d.shares.recordServed(start, "flood", 2*modelFairShare)
	admit := func(workspace string, isTakeUp bool) (*Request, Decision) {
		r := newRequest(start, workspace, 1, longObjective)
		if r.Resumption = isTakeUp; isTakeUp {
			r.Release = v1
			d.shares.usageOf(workspace).ahead.add(d.takeUpBucket(start), 1e9) // the bound is used up
		}
		return r, d.Admit(start, r)
	}
	var others []*Request
	for range maxQueuedRequests - 2 {
		r, v := admit("others", false)
		assert.Equal(t, v.Action, Wait, "%s", v.Reason)
		others = append(others, r)
	}
	own, _ := admit("flood", false)
	overShare, _ := admit("else", false)
	overShare.decision.Class = OverShare
	for range 2 {
		_, v := admit("flood", true)
		assert.Equal(t, v.Action, Wait, "%s", v.Reason)
	}
	assert.Assert(t, !own.queued && !overShare.queued)
	for range 100 {
		_, v := admit("flood", true)
		assert.Equal(t, v.Action, Refuse)
	}
	for _, r := range others {
		assert.Assert(t, r.queued)
	}
}
