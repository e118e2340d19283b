package quarantine

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against hosts that keep different verdicts after all messages arrived, in
// any order.
func TestVerdictsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, now := New(1), New(2), start
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
			host := rapid.SampledFrom([]*Tracker{a, b}).Draw(t, "host")
			part := rapid.Uint64Range(1, 3).Draw(t, "part")
			state := rapid.SampledFrom([]State{Lapsed, Released, Quarantined}).Draw(t, "state")
			host.decide(now, part, state, "test")
			if rapid.Bool().Draw(t, "exchange") {
				a.Merge(now, b.Message(now, true), false)
			}
		}
		now = now.Add(time.Second)
		a.Merge(now, b.Message(now, true), false)
		b.Merge(now, a.Message(now, true), false)
		for part := range uint64(4) {
			va, vb := a.verdicts[part], b.verdicts[part]
			if (va == nil) != (vb == nil) || va != nil && (va.Generation != vb.Generation || va.State != vb.State || !va.Since.Equal(vb.Since)) {
				t.Fatalf("part %d: %+v and %+v", part, va, vb)
			}
		}
		if a.active != b.active {
			t.Fatalf("%d and %d quarantined parts", a.active, b.active)
		}
	})
}

// Guards against state and messages that grow with what callers put into prompts.
func TestEvidenceIsBounded(t *testing.T) {
	a, b := New(1), New(2)
	now, next := start, uint64(1)
	for server := range uint64(3 * MaxLosses) {
		now = now.Add(300 * time.Millisecond)
		parts, requests := make([]uint64, 2*MaxParts), make([]Sent, 2*MaxRequests)
		for i := range parts {
			parts[i] = next
			next++
		}
		for i := range requests {
			requests[i] = Sent{Request: RequestSuspect(next), At: now}
			next++
		}
		a.AddLoss(now, Loss{Server: Server{server, 1}, At: now, Parts: parts, Requests: requests, Lost: 100})
		for range 20 {
			a.AnswerBegan(now, now, now, []uint64{next, next + 1, RequestSuspect(next)})
			next += 2
		}
		a.decide(now, next, Quarantined, "test")
		m := a.Message(now, true)
		assert.Assert(t, len(m.Losses) <= MaxLossesPerMessage && len(m.Cleared) <= MaxClearedPerMessage && len(m.Verdicts) <= MaxVerdictsPerMessage)
		for _, l := range m.Losses {
			assert.Assert(t, len(l.Parts) <= MaxPartsPerMessage && len(l.Requests) <= MaxRequestsPerMessage)
		}
		b.Merge(now, m, false)
		assert.Assert(t, len(b.Summary(true).Losses) <= MaxLossesPerMessage)
		b.Merge(now, Message{Losses: []Loss{{Server: Server{server, 2}, At: now, Reporter: next, Parts: parts, Requests: requests, Lost: -1, Begun: math.MaxInt}}}, true)
	}
	for _, tracker := range []*Tracker{a, b} {
		assert.Assert(t, len(tracker.losses) <= MaxLosses)
		assert.Assert(t, len(tracker.suspects) <= MaxLosses*(MaxParts+MaxRequests))
		assert.Assert(t, len(tracker.verdicts) <= MaxVerdicts)
		assert.Assert(t, len(tracker.summaryNews.losses) <= maxPendingMessages)
		for _, table := range []clearedTable{tracker.clearedParts, tracker.clearedRequests} {
			assert.Assert(t, len(table.newer) <= table.limit && len(table.older) <= table.limit)
		}
	}
	now = now.Add(lossRetention + maxTerm + lapseTime + time.Second)
	a.Poll(now)
	now = now.Add(verdictRetention + time.Second)
	a.Poll(now)
	assert.Equal(t, len(a.verdicts), 0, "verdicts are forgotten")
	assert.Equal(t, a.active, 0)
}

// Guards against two hosts trying the same part in one term, which would end two
// servers.
func TestOneTrialInEachTerm(t *testing.T) {
	f := newSimulatedFleet(1, 20, 12, 1)
	d := f.deadly[firstDeadly]
	f.hosts[0].tracker.decide(f.now, firstDeadly, Quarantined, "test")
	f.run(2*time.Second, func() {})
	f.run(firstTerm+termFactor*firstTerm+20*time.Second, func() {
		for range 5 {
			f.send(popularPart, firstDeadly)
		}
	})
	assert.Equal(t, len(d.arrived), 2, "%v", d.arrived)
}

// Guards against a host that wakes from a suspension clearing parts with answers
// that began before it, and against it reporting losses while what servers answer it
// clears nothing (soak seed 13: sound prompts refused).
func TestAnswersReadAfterSuspensionClearNothing(t *testing.T) {
	tracker := New(1)
	tracker.decide(start, 5, Quarantined, "test")
	now := start.Add(3 * time.Second)
	tracker.MarkSuspended(now)
	tracker.AnswerBegan(now.Add(time.Minute), now.Add(-time.Millisecond), now.Add(time.Second), []uint64{5})
	assert.Equal(t, tracker.verdicts[5].State, Quarantined)
	tracker.AnswerBegan(now.Add(2*time.Millisecond), now, now.Add(time.Millisecond), []uint64{5})
	assert.Equal(t, tracker.verdicts[5].State, Released)
}

// Guards against a time of day that jumped at a core host ending a quarantine in the
// whole fleet.
func TestStoredAgeDoesNotEndQuarantine(t *testing.T) {
	const part = 5
	now := start.Add(2 * time.Hour)
	stored := []Verdict{{Suspect: part, Generation: 1, State: Quarantined, Since: now.Add(-time.Hour), Term: firstTerm}}
	for _, known := range []bool{false, true} {
		tracker := New(1)
		if known {
			tracker.decide(now.Add(-time.Second), part, Quarantined, "test")
		}
		tracker.MergeVerdicts(now, stored)
		tracker.Poll(now.Add(lapseTime - time.Second))
		assert.Equal(t, tracker.verdicts[part].State, Quarantined)
	}
}

// Guards against a request of a lost server being sent to one server after the
// other by the system itself.
func TestSecondLossOfAPartEndsRetries(t *testing.T) {
	tracker := New(1)
	assert.Assert(t, !tracker.SuspectsAgain(start, []uint64{1, 2}))
	addLoss(tracker, start, Server{1, 1}, []uint64{1, 2}, 2)
	assert.Assert(t, tracker.SuspectsAgain(start, []uint64{2}))
	now := start.Add(time.Second)
	tracker.AnswerBegan(now, now, now, []uint64{2})
	assert.Assert(t, !tracker.SuspectsAgain(now, []uint64{2}), "the part was cleared")
	assert.Assert(t, tracker.SuspectsAgain(now, []uint64{1, 2}))
}

// Guards against refusing the requests with one of several parts that the same
// losses suspect, and against passing on those with the part that crashes servers.
func TestPartsOfTheSameLossesAreToldApart(t *testing.T) {
	const sound, deadly = 1, 2
	both := []uint64{sound, deadly}
	tied := func() (*Tracker, time.Time) {
		tracker, now := New(1), start
		for i := range uint64(lossesToQuarantine) {
			now = now.Add(time.Second)
			addLoss(tracker, now, Server{i, 1}, both, 2)
		}
		now = now.Add(settleTime)
		tracker.Poll(now)
		return tracker, now.Add(time.Second)
	}
	check := func(tracker *Tracker, now time.Time, want Action, parts ...uint64) {
		t.Helper()
		action, _ := tracker.Check(now, parts)
		assert.Equal(t, action, want)
	}

	tracker, now := tied()
	check(tracker, now, Refuse, both...)
	check(tracker, now, Allow, sound)
	check(tracker, now, Allow, deadly)

	tracker.AnswerBegan(now, now, now, []uint64{sound})
	check(tracker, now, Allow, sound)
	check(tracker, now, Refuse, deadly)

	// One loss of a sound request, or a loss of which another host reports the deadly
	// part later, separates nothing.
	tracker, now = tied()
	addLoss(tracker, now, Server{8, 1}, []uint64{sound}, 1)
	tracker.Poll(now)
	tracker.Merge(now, Message{Losses: []Loss{{Server: Server{8, 1}, At: now, Reporter: 2, Parts: []uint64{deadly}}}}, false)
	now = now.Add(time.Second)
	addLoss(tracker, now, Server{9, 1}, []uint64{sound}, 1)
	tracker.Poll(now.Add(settleTime))
	check(tracker, now, Allow, sound)
	check(tracker, now, Allow, deadly)

	tracker, now = tied()
	for i := range uint64(lossesToSeparate) {
		now = now.Add(time.Second)
		addLoss(tracker, now, Server{10 + i, 1}, []uint64{deadly}, 1)
		tracker.Poll(now.Add(settleTime))
	}
	check(tracker, now, Allow, sound)
	check(tracker, now, Refuse, deadly)
	assert.Equal(t, tracker.verdicts[deadly].Term, firstTerm)

	// A host that knows the sound part to be cleared refuses the deadly one alone.
	tracker, now = tied()
	tracker.Merge(now, Message{Verdicts: []Verdict{{Suspect: deadly, Generation: 1, State: Quarantined, Since: now.Add(-time.Second), Term: firstTerm}}}, false)
	check(tracker, now, Allow, sound)
	check(tracker, now, Refuse, deadly)
}

// lossesOf returns a tracker of one of two hosts with losses of the given parts, one
// each second beside answers on another part, and the time at which the last one has
// settled.
func lossesOf(losses ...[]uint64) (*Tracker, time.Time) {
	tracker, now := New(1), start
	tracker.SetHosts([]uint64{1, 2})
	for i, parts := range losses {
		now = now.Add(time.Second)
		for range 100 {
			tracker.AnswerBegan(now, now, now, []uint64{99})
		}
		addLoss(tracker, now, Server{uint64(i), 1}, parts, len(parts))
		now = now.Add(settleTime)
		tracker.Poll(now)
	}
	return tracker, now
}

// Guards against a sound part being refused alone because another host reports the
// deadly part in one of the losses late, or one of the losses has another cause.
func TestPartIsNotRefusedForOneLossWithoutAnother(t *testing.T) {
	const sound, deadly = 1, 2
	both := []uint64{sound, deadly}
	check := func(tracker *Tracker, now time.Time, want Action, parts ...uint64) {
		t.Helper()
		action, _ := tracker.Check(now, parts)
		assert.Equal(t, action, want)
	}

	// The third loss has the deadly part by a late report: both are refused together.
	tracker, now := lossesOf(both, both, []uint64{sound})
	check(tracker, now, Allow, sound)
	tracker.Merge(now, Message{Losses: []Loss{{Server: Server{2, 1}, At: now, Reporter: 2, Parts: []uint64{deadly}}}}, false)
	now = now.Add(settleTime)
	tracker.Poll(now)
	check(tracker, now, Allow, sound)
	check(tracker, now, Refuse, both...)

	// The same with the roles exchanged: an answer to the sound part tells them apart.
	tracker, now = lossesOf(both, both, []uint64{deadly})
	now = now.Add(10 * time.Millisecond)
	tracker.AnswerBegan(now, now, now, []uint64{sound})
	now = now.Add(settleTime)
	tracker.Poll(now)
	check(tracker, now, Allow, sound)
	check(tracker, now, Refuse, deadly)

	// A loss of the sound part by another cause does not make it the stronger suspect.
	tracker, now = lossesOf(both, both, []uint64{sound}, both)
	check(tracker, now, Allow, sound)
	check(tracker, now, Refuse, both...)
	tracker, now = lossesOf(both, both, both, []uint64{sound})
	check(tracker, now, Allow, sound)
	check(tracker, now, Refuse, both...)
}

// Guards against a sound part being refused because the stronger suspect, which explains
// all but one of its losses, waits to be told apart from a third one.
func TestWeakerSuspectWaitsForTheStrongerOne(t *testing.T) {
	const deadly, sound, rare = 1, 2, 3
	tracker, now := lossesOf()
	for i, parts := range [][]uint64{{deadly, rare}, {deadly, rare}, {deadly, sound, rare}, {sound}, {deadly, sound}} {
		now = now.Add(episodeGap)
		for range 100 {
			tracker.AnswerBegan(now, now, now, []uint64{99})
		}
		lost := 2
		if i == 4 {
			lost = 40 // so that chance may explain the losses of the rare part
		}
		addLoss(tracker, now, Server{uint64(i), 1}, parts, lost)
	}
	check := func(part uint64, want Action) {
		t.Helper()
		now = now.Add(settleTime)
		tracker.Poll(now)
		action, _ := tracker.Check(now, []uint64{part})
		assert.Equal(t, action, want)
	}
	check(sound, Allow)
	check(deadly, Allow)
	tracker.AnswerBegan(now, now, now, []uint64{rare})
	check(deadly, Refuse)
	check(sound, Allow)
}

// Guards against parts of a request that was lost twice, because it was sent again, holding
// back the decision on a deadly part.
func TestPartOfARetriedRequestHoldsNothingBack(t *testing.T) {
	const deadly, retried = 1, 2
	tracker, now := lossesOf()
	for i, parts := range [][]uint64{{deadly, retried}, {deadly, retried}, {deadly, retried}, {deadly}} {
		now = now.Add(time.Second)
		for range 100 {
			tracker.AnswerBegan(now, now, now, []uint64{99})
		}
		requests := []Sent{{Request: RequestSuspect(uint64(10 + i)), At: now}}
		if i < 2 {
			requests = append(requests, Sent{Request: RequestSuspect(20), At: now.Add(-time.Millisecond)})
		}
		tracker.AddLoss(now, Loss{Server: Server{uint64(i), 1}, At: now, Parts: parts, Requests: requests, Lost: len(requests)})
	}
	now = now.Add(settleTime)
	tracker.Poll(now)
	action, _ := tracker.Check(now, []uint64{deadly})
	assert.Equal(t, action, Refuse)
}

// Guards against a sound part being refused alone by losses on which another host has
// not reported the deadly part yet.
func TestLossesCountOnceAllHostsMayHaveReportedThem(t *testing.T) {
	const sound, deadly = 1, 2
	both := []uint64{sound, deadly}
	tracker, now := lossesOf(both, both)
	lossOf := func(server uint64, after time.Duration) {
		now = now.Add(after)
		addLoss(tracker, now, Server{server, 1}, []uint64{sound}, 1)
		tracker.Poll(now)
	}
	lossOf(10, time.Second)
	tracker.Merge(now, Message{Losses: []Loss{{Server: Server{10, 1}, At: now, Reporter: 2, Parts: []uint64{deadly}}}}, false)
	lossOf(11, episodeGap)
	lossOf(12, episodeGap)
	tracker.Poll(now.Add(10 * time.Millisecond)) // the third loss is settled
	now = now.Add(20 * time.Millisecond)
	action, _ := tracker.Check(now, []uint64{sound})
	assert.Equal(t, action, Allow)
	action, _ = tracker.Check(now, both)
	assert.Equal(t, action, Refuse)
}

// Guards against a deadly part that is never told apart from a sound one reaching server
// after server.
func TestPartIsRefusedThoughAnotherIsInNearlyAllItsLosses(t *testing.T) {
	const sound, deadly = 1, 2
	both := []uint64{sound, deadly}
	tracker, now := lossesOf(both, both, []uint64{deadly}, []uint64{deadly})
	action, _ := tracker.Check(now, []uint64{deadly})
	assert.Equal(t, action, Refuse)
	action, _ = tracker.Check(now, []uint64{sound})
	assert.Equal(t, action, Allow)

	tracker, now = lossesOf(both, []uint64{deadly}, both, both)
	action, _ = tracker.Check(now, both)
	assert.Equal(t, action, Refuse)
}

// Guards against losses counting against other parts once the quarantine that
// explains them has lapsed.
func TestLapsedQuarantineStillExplainsItsLosses(t *testing.T) {
	const deadly, sound = 1, 2
	tracker, now := New(1), start
	for i := range uint64(lossesToQuarantine + 4) {
		now = now.Add(time.Second)
		parts := []uint64{deadly, sound}
		if i < lossesToSeparate {
			parts = parts[:1]
		}
		addLoss(tracker, now, Server{i, 1}, parts, 2)
	}
	now = now.Add(settleTime)
	tracker.Poll(now)
	assert.Equal(t, tracker.verdicts[deadly].State, Quarantined)
	now = now.Add(firstTerm + lapseTime + time.Second)
	tracker.Poll(now)
	assert.Equal(t, tracker.verdicts[deadly].State, Lapsed)
	addLoss(tracker, now, Server{99, 1}, []uint64{3}, 1) // has the evidence evaluated
	tracker.Poll(now.Add(time.Second))
	assert.Assert(t, tracker.verdicts[sound] == nil)
}

// BenchmarkRequest measures what the package costs a request: a check at arrival,
// one before the attempt and the report of the answer, without and with
// quarantined parts.
func BenchmarkRequest(b *testing.B) {
	for _, quarantined := range []int{0, 1, MaxVerdicts} {
		b.Run(fmt.Sprintf("%d quarantined", quarantined), func(b *testing.B) {
			tracker := New(1)
			for i := range quarantined {
				tracker.decide(start, uint64(1_000_000+i), Quarantined, "test")
			}
			parts := []uint64{1, 2, 3, 4}
			now := start
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Millisecond)
				parts[3] = uint64(i % 5000)
				tracker.Check(now, parts)
				tracker.Begin(now, parts)
				tracker.AnswerBegan(now, now, now, parts)
			}
		})
	}
}

// BenchmarkEvaluation measures an evaluation of a full table of losses.
func BenchmarkEvaluation(b *testing.B) {
	tracker := New(1)
	now := start
	for i := range uint64(MaxLosses) {
		now = now.Add(100 * time.Millisecond)
		parts := make([]uint64, MaxPartsPerMessage)
		for j := range parts {
			parts[j] = i*uint64(len(parts)) + uint64(j)
		}
		addLoss(tracker, now, Server{i, 1}, parts, 10)
	}
	for b.Loop() {
		tracker.evaluate(now)
	}
}
