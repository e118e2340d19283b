package dispatch

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newFleetWithFullEngine returns a host with two engines, and the streams that take all slots
// of engine-1.
func newFleetWithFullEngine(t *testing.T) (d *Dispatcher, now time.Time, streams []*Request) {
	infos := infosOf(false, v1, v1)
	infos[0].Slots, infos[1].Slots = 12, 12
	d = newFleetOf(false)
	d.SetServers(start, infos)
	now = start
	for range 12 {
		r := newRequest(now, "w", 100, time.Second)
		r.ExcludedServers = []string{"engine-0"}
		assert.Equal(t, d.Admit(now, r).Server, "engine-1")
		now = now.Add(20 * time.Millisecond)
		d.RecordEvent(now, r)
		streams = append(streams, r)
	}
	return d, now, streams
}

// newFailedTakeUp returns a take-up whose connection to engine-0 failed, before its retry.
func newFailedTakeUp(t *testing.T, d *Dispatcher, now time.Time) *Request {
	r := newRequest(now, "w", 100, 2*time.Second)
	r.Release, r.Resumption, r.FirstTakeUp = v1, true, true
	assert.Equal(t, d.Admit(now, r).Server, "engine-0")
	d.RecordOutcome(now, r, ConnectFailed)
	return r
}

// Guards against a take-up whose first server fails and that is refused as full, while a
// new stream that came at the same time gets the next slot.
func TestTakeUpWhoseFirstServerFailsGoesAheadOfNewStreams(t *testing.T) {
	d, now, streams := newFleetWithFullEngine(t)
	takeUp := newFailedTakeUp(t, d, now)
	newStream := newRequest(now, "w", 100, 2*time.Second)
	v := d.Admit(now, newStream)
	assert.Equal(t, v.Action, Wait, "new: %s", v.Reason)
	v = d.Retry(now, takeUp, "engine-0")
	assert.Equal(t, v.Action, Wait, "take-up: %s", v.Reason)
	d.RecordOutcome(now, streams[0], Completed)
	polled := d.Poll(now.Add(10 * time.Millisecond))
	assert.Equal(t, len(polled), 1)
	assert.Assert(t, polled[0].Request == takeUp)
	v = polled[0].Decision
	assert.Equal(t, v.Action, Send)
	assert.Equal(t, v.Server, "engine-1")
	assert.Assert(t, !v.ReserveSlot && !v.Overtakes && !takeUp.slotPending)
	assert.Assert(t, newStream.queued)
}

// Guards against a queued retry that goes back to the server at which it failed.
func TestQueuedRetryDoesNotReturnToTheFailedServer(t *testing.T) {
	d, now, _ := newFleetWithFullEngine(t)
	takeUp := newFailedTakeUp(t, d, now)
	assert.Equal(t, d.Retry(now, takeUp, "engine-0").Action, Wait)
	d.servers["engine-0"].downSince = time.Time{} // a health check succeeded
	assert.Equal(t, len(d.Poll(now.Add(10*time.Millisecond))), 0)
	takeUp.ExcludedServers = nil
	polled := d.Poll(now.Add(20 * time.Millisecond))
	assert.Equal(t, len(polled), 1)
	assert.Equal(t, polled[0].Decision.Server, "engine-0", "the exclusion alone keeps it away")
}

// Guards against a queued retry that waits without end.
func TestQueuedRetryIsRefusedWhenItsTimeIsOver(t *testing.T) {
	d, now, _ := newFleetWithFullEngine(t)
	takeUp := newFailedTakeUp(t, d, now)
	assert.Equal(t, d.Retry(now, takeUp, "engine-0").Action, Wait)
	polled := d.Poll(now.Add(2 * time.Second))
	assert.Equal(t, len(polled), 1)
	assert.Equal(t, polled[0].Decision.Action, Refuse)
	assert.Assert(t, !takeUp.queued)
}

// Guards against a retry that waits for servers that cannot get it, and against one that
// waits although its deadline is over.
func TestRetryWithoutAServerLeftIsRefusedAtOnce(t *testing.T) {
	d, now, _ := newFleetWithFullEngine(t)
	takeUp := newFailedTakeUp(t, d, now)
	takeUp.ExcludedServers = []string{"engine-1"}
	assert.Equal(t, d.Retry(now, takeUp, "engine-0").Action, Refuse)

	takeUp = newRequest(now, "w", 100, 2*time.Second)
	takeUp.Release, takeUp.Resumption, takeUp.Deadline = v1, true, now.Add(-time.Millisecond)
	assert.Equal(t, d.Retry(now, takeUp, "engine-0").Action, Refuse)
	assert.Equal(t, d.QueueLength(), 0)
}

// Guards against a retry of a request that continues no stream and waits.
func TestRetryOfANewStreamIsNotQueued(t *testing.T) {
	d, now, _ := newFleetWithFullEngine(t)
	r := newRequest(now, "w", 100, 2*time.Second)
	assert.Equal(t, d.Admit(now, r).Server, "engine-0")
	d.RecordOutcome(now, r, ConnectFailed)
	assert.Equal(t, d.Retry(now, r, "engine-0").Action, Refuse)
	assert.Equal(t, d.QueueLength(), 0)
}

// newBrokenStream returns a stream whose connection to engine-0 is lost after its first
// event, before its retry.
func newBrokenStream(t *testing.T, d *Dispatcher, now time.Time, age time.Duration) *Request {
	r := newRequest(now.Add(-age), "w", 100, 2*time.Second)
	r.Deadline = now.Add(time.Minute)
	assert.Equal(t, d.Admit(now, r).Server, "engine-0")
	d.RecordEvent(now, r)
	r.Release = v1 // as its host binds it
	d.RecordOutcome(now, r, ConnectionLost)
	d.servers["engine-0"].markDown(now)
	return r
}

// Guards against a begun stream that is cut when its server dies and the other one is full,
// while a new stream that came at the same time gets the next slot. A stream may have begun
// long before, and its next server may fail too.
func TestBegunStreamWhoseServerDiesGoesAheadOfNewStreams(t *testing.T) {
	for _, age := range []time.Duration{0, 20 * time.Second} {
		d, now, streams := newFleetWithFullEngine(t)
		begun := newBrokenStream(t, d, now, age)
		newStream := newRequest(now, "w", 100, 2*time.Second)
		v := d.Admit(now, newStream)
		assert.Equal(t, v.Action, Wait, "new: %s", v.Reason)
		v = d.Retry(now, begun, "engine-0")
		assert.Equal(t, v.Action, Wait, "begun stream: %s", v.Reason)
		d.RecordOutcome(now, streams[0], Completed)
		polled := d.Poll(now.Add(10 * time.Millisecond))
		assert.Equal(t, len(polled), 1)
		assert.Assert(t, polled[0].Request == begun)
		assert.Equal(t, polled[0].Decision.Action, Send)
		assert.Equal(t, polled[0].Decision.Server, "engine-1")
		assert.Assert(t, !polled[0].Decision.ReserveSlot && newStream.queued)

		d.RecordOutcome(now, begun, NoSlot)
		d.SetServers(now, infosOf(false, v1, v1, v1))
		d.servers["engine-2"].info.Slots = 0 // full
		assert.Equal(t, d.Retry(now, begun, "engine-1").Action, Wait, "without an event of the second server")
	}
}

// Guards against a full queue of new streams that cuts a begun one.
func TestFullQueueOfNewStreamsDoesNotCutABegunOne(t *testing.T) {
	d, now, _ := newFleetWithFullEngine(t)
	begun := newBrokenStream(t, d, now, 0)
	d.servers["engine-0"].downSince = time.Time{}
	other := newBrokenStream(t, d, now, 0)
	for len(d.queue) < maxQueuedRequests {
		assert.Equal(t, d.Admit(now, newRequest(now, "w", 0, longObjective)).Action, Wait)
	}
	assert.Equal(t, d.Retry(now, begun, "engine-0").Action, Wait)
	for _, r := range d.queue {
		r.Resumption = true
	}
	assert.Assert(t, !slices.ContainsFunc(d.queue, other.mayDisplace))
	assert.Equal(t, d.Retry(now, other, "engine-0").Action, Refuse, "a queue without new streams")
	for _, r := range d.queue {
		r.Resumption = false
	}
	d.displaceFor(now, other)
	assert.Assert(t, begun.queued)
}

// Guards against begun streams of one workspace that go ahead of others without a bound.
func TestBegunStreamsGoAheadWithinTheBoundsOfTakeUps(t *testing.T) {
	d := newFixedShareHost(1)
	svc := d.services["models"]
	begun := newRequest(start, "flood", 100, longObjective)
	begun.begun = true
	assert.Assert(t, !d.mayGoAhead(start, begun, svc), "its release is not known")
	begun.Release = v1
	assert.Assert(t, d.mayGoAhead(start, begun, svc) && begun.unbounded)
	d.shares.recordServed(start, "flood", 2*d.takeUpShare(start, d.readyPrefillRate(start, svc, svc.servers)))
	assert.Assert(t, d.mayGoAhead(start, begun, svc) && !begun.unbounded)
	d.shares.usageOf("flood").ahead.add(d.takeUpBucket(start), 1e9)
	assert.Assert(t, !d.mayGoAhead(start, begun, svc))
}
