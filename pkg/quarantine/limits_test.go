package quarantine

import (
	"math"
	"runtime"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// loseRequest adds the loss of one request at a server of its own.
func loseRequest(t *Tracker, now time.Time, server uint64, request uint64) {
	t.AddLoss(now, Loss{Server: Server{server, 1}, At: now, Lost: 1, Requests: []Sent{{Request: request, At: now.Add(-time.Millisecond)}}})
	t.Poll(now.Add(settleTime))
}

// Guards against a sound request being refused after three losses between which it was
// answered, because the answers to other requests displaced the record of its own.
func TestAnswerBetweenLossesIsRememberedAsLongAsTheLoss(t *testing.T) {
	tracker, now, other := New(1), start, uint64(1)
	for server := range uint64(lossesToQuarantine) {
		loseRequest(tracker, now, server, poll)
		now = now.Add(time.Second)
		action, _ := tracker.Check(now, []uint64{poll})
		assert.Equal(t, action, Allow, "loss %d", server+1)
		tracker.AnswerBegan(now, now, now, []uint64{poll})
		for range 2*maxClearedRequests + 1 {
			other++
			tracker.AnswerBegan(now, now, now, []uint64{RequestSuspect(other)})
		}
		now = now.Add(60 * time.Second)
	}
}

// Guards against copies of a popular request taking all places of a report, so that the
// request that crashes servers is in none.
func TestCopiesOfASoundRequestDoNotDisplaceTheDeadlyOne(t *testing.T) {
	tracker, now := New(1), start
	for server := range uint64(3 * lossesToQuarantine) {
		now = now.Add(time.Second)
		var requests []Sent
		for range MaxRequestsPerMessage + 1 {
			requests = append(requests, Sent{Request: popular, At: now.Add(-time.Millisecond)})
		}
		requests = append(requests, Sent{Request: deadlyRequest, At: now.Add(-time.Millisecond)})
		tracker.AddLoss(now, Loss{Server: Server{server, 1}, At: now, Lost: len(requests), Requests: requests})
		now = now.Add(settleTime)
		tracker.Poll(now)
		tracker.AnswerBegan(now, now, now, []uint64{popular})
	}
	action, _ := tracker.Check(now, []uint64{deadlyRequest})
	assert.Equal(t, action, Refuse)
}

// Guards against a request that crashes servers never being found while more requests
// wait at each of them than a message lists.
func TestDeadlyRequestAmongManyLostOnesIsFound(t *testing.T) {
	tracker, now, other := New(1), start, uint64(1)
	for server := range uint64(3 * lossesToQuarantine) {
		now = now.Add(time.Second)
		var requests []Sent
		for range MaxRequestsPerMessage + 8 {
			other++
			requests = append(requests, Sent{Request: RequestSuspect(other), At: now.Add(-time.Millisecond)})
		}
		requests = append(requests, Sent{Request: deadlyRequest, At: now.Add(-time.Millisecond)})
		tracker.AddLoss(now, Loss{Server: Server{server, 1}, At: now, Lost: len(requests), Requests: requests})
		tracker.Poll(now.Add(settleTime))
	}
	action, _ := tracker.Check(now, []uint64{deadlyRequest})
	assert.Equal(t, action, Refuse)
}

// Guards against a request that returns after its quarantine lapsed reaching servers at
// the rate at which callers send it until the next loss is judged.
func TestDeadlyRequestThatReturnsAfterALapseReachesFewServers(t *testing.T) {
	for seed := range uint64(seeds) {
		f := newSimulatedFleet(seed, 5, 12, 0)
		d := &deadlySuspect{}
		f.deadly[deadlyRequest] = d
		often := func() {
			if f.chance(20) {
				f.repeat(deadlyRequest)
			}
		}
		f.run(8*time.Second, often)
		f.run(firstTerm+lapseTime+2*time.Second, func() {})
		f.run(8*time.Second, often)
		assert.Assert(t, d.lateRepeats() <= maxLateRequests, "seed %d: %d requests, %d crashes", seed, d.lateRepeats(), len(d.crashes))
	}
}

// Guards against one loss of a server quarantining a request again that was answered
// after its quarantine had lapsed.
func TestAnswerAfterALapseEndsTheSuspicion(t *testing.T) {
	tracker, now := New(1), start
	tracker.decide(now, poll, Quarantined, "test")
	now = now.Add(firstTerm + lapseTime + time.Second)
	tracker.Poll(now)
	assert.Equal(t, tracker.verdicts[poll].State, Lapsed)
	for range 100 {
		now = now.Add(time.Second)
		tracker.AnswerBegan(now, now, now, []uint64{poll})
	}
	loseRequest(tracker, now.Add(time.Second), 1, poll)
	action, _ := tracker.Check(now.Add(2*time.Second), []uint64{poll})
	assert.Equal(t, action, Allow)
}

// Guards against a batch of equal requests, all sent before, being refused because three
// servers ended 100 ms apart for other reasons before they could answer.
func TestBatchOfEqualRequestsIsNotConvictedByThreeOtherCrashes(t *testing.T) {
	tracker, now := New(1), start
	tracker.AnswerBegan(now, now, now, []uint64{popular})
	sent := now.Add(time.Second)
	now = now.Add(3 * time.Second)
	for server := range uint64(lossesToQuarantine) {
		tracker.AddLoss(now, Loss{Server: Server{server, 1}, At: now, Lost: 1, Requests: []Sent{{Request: popular, At: sent}}})
		for i := range uint64(40) {
			tracker.AnswerBegan(now, now, now, []uint64{RequestSuspect(server*100 + i)})
		}
		now = now.Add(100 * time.Millisecond)
	}
	now = now.Add(settleTime)
	tracker.Poll(now)
	action, _ := tracker.Check(now, []uint64{popular})
	assert.Equal(t, action, Allow)
}

// Guards against a verdict with the largest generation that no host can end.
func TestVerdictWithTheLargestGenerationCanBeReleased(t *testing.T) {
	a, b, now := New(1), New(2), start
	odd := Message{Verdicts: []Verdict{{Suspect: poll, Generation: math.MaxUint32, State: Quarantined, Since: now, Term: firstTerm}}}
	a.Merge(now, odd, false)
	b.Merge(now, odd, false)
	now = now.Add(time.Second)
	a.Release(now, poll)
	for range 3 {
		b.Merge(now, a.Message(now, true), false)
		a.Merge(now, b.Message(now, true), false)
	}
	for _, tracker := range []*Tracker{a, b} {
		action, _ := tracker.Check(now, []uint64{poll})
		assert.Check(t, action == Allow)
	}
}

// Guards against memory that grows with each verdict at a host that sends no summaries.
func TestVerdictsForSummariesAreBounded(t *testing.T) {
	tracker, now := New(1), start
	for i := range uint64(10 * MaxVerdicts) {
		now = now.Add(time.Second)
		tracker.decide(now, RequestSuspect(i), Quarantined, "test")
		tracker.Message(now, false)
	}
	assert.Assert(t, len(tracker.summaryNews.verdicts) <= MaxVerdicts, "%d", len(tracker.summaryNews.verdicts))
}

// Guards against an evaluation that holds the lock of a host for long after many losses
// that share parts.
func TestEvaluationOfManyLossesWithCommonPartsIsShort(t *testing.T) {
	tracker, now := New(1), start
	for server := range uint64(MaxLosses / 2) {
		now = now.Add(300 * time.Millisecond)
		for reporter := range uint64(4) {
			l := Loss{Server: Server{server, 1}, At: now, Reporter: reporter, Lost: MaxRequestsPerMessage}
			for i := range uint64(MaxPartsPerMessage) {
				l.Parts = append(l.Parts, 1+reporter*MaxPartsPerMessage+i)
			}
			for i := range uint64(MaxRequestsPerMessage) { // each lost twice: sent once more
				l.Requests = append(l.Requests, Sent{Request: RequestSuspect(server/2*1000 + reporter*100 + i), At: now})
			}
			tracker.Merge(now, Message{Losses: []Loss{l}}, false)
		}
	}
	// The evaluation has no other goroutines, so its processor time is what it takes on an
	// idle machine.
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	began := threadTime(t)
	tracker.evaluate(now.Add(settleTime))
	used := threadTime(t) - began
	assert.Assert(t, used < time.Second, "%s", used)
}

// threadTime returns the processor time that this thread has used.
func threadTime(t *testing.T) time.Duration {
	var u unix.Rusage
	assert.NilError(t, unix.Getrusage(unix.RUSAGE_THREAD, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Guards against a verdict with the largest generation that is accepted, which no other host can end.
func TestVerdictWithTheLargestAcceptedGenerationCanBeReleased(t *testing.T) {
	a, b, now := New(1), New(2), start
	odd := Message{Verdicts: []Verdict{{Suspect: poll, Generation: maxGenerationStep, State: Quarantined, Since: now, Term: firstTerm}}}
	a.Merge(now, odd, false)
	b.Merge(now, odd, false)
	now = now.Add(time.Second)
	a.Release(now, poll)
	for range 3 {
		b.Merge(now, a.Message(now, true), false)
		a.Merge(now, b.Message(now, true), false)
	}
	action, _ := b.Check(now, []uint64{poll})
	assert.Equal(t, action, Allow)
}

// Guards against a sound part being restricted alone after the lapse of a quarantine that refused it only with another part.
func TestCompanionIsFreeAfterALapse(t *testing.T) {
	const deadly, sound = 1, 2
	tracker, now := New(1), start
	for i := range uint64(6) {
		now = now.Add(time.Second)
		addLoss(tracker, now, Server{i, 1}, []uint64{deadly, sound}, 1)
	}
	now = now.Add(settleTime)
	tracker.Poll(now)
	assert.Equal(t, tracker.verdicts[sound].State, Quarantined)
	now = now.Add(firstTerm + lapseTime + time.Second)
	tracker.Poll(now)
	assert.Equal(t, tracker.verdicts[sound].State, Lapsed)
	for range 3 {
		action, _ := tracker.Begin(now, []uint64{sound, RequestSuspect(99)})
		assert.Check(t, action == Allow, "%v", action)
	}
}

// Guards against a verdict of another host that changes the companions of a known one switching all quarantines off.
func TestChangeOfCompanionsKeepsOtherQuarantines(t *testing.T) {
	tracker, now := New(1), start
	tracker.decide(now, poll, Quarantined, "test")
	lapsed := Verdict{Suspect: 5, Generation: 1, State: Lapsed, Since: now, Term: firstTerm, Companions: []uint64{6}}
	tracker.Merge(now, Message{Verdicts: []Verdict{lapsed}}, false)
	lapsed.Companions = nil
	tracker.Merge(now, Message{Verdicts: []Verdict{lapsed}}, false)
	now = now.Add(time.Second)
	tracker.Merge(now, Message{Verdicts: []Verdict{{Suspect: 5, Generation: 2, State: Released, Since: now, Term: firstTerm}}}, false)
	action, _ := tracker.Check(now, []uint64{poll})
	assert.Equal(t, action, Refuse)
}
