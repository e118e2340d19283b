package quarantine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const soundPart = 3

// loseParts adds a loss a second later, beside answers on another part, and returns the
// time at which it has settled.
func loseParts(tracker *Tracker, now time.Time, server, request uint64, parts ...uint64) time.Time {
	now = now.Add(time.Second)
	for range 100 {
		tracker.AnswerBegan(now, now, now, []uint64{99})
	}
	tracker.AddLoss(now, Loss{Server: Server{server, 1}, At: now, Lost: 1, Parts: parts, Requests: []Sent{{Request: RequestSuspect(request), At: now.Add(-time.Millisecond)}}})
	now = now.Add(settleTime)
	tracker.Poll(now)
	return now
}

// refusedTogether returns a tracker that refuses a deadly and a sound part together, after
// the given number of losses of both, and one of the deadly part alone if alone is set.
func refusedTogether(both int, alone bool) (*Tracker, time.Time) {
	tracker, now := lossesOf()
	for i := range uint64(both) {
		now = loseParts(tracker, now, i, 1000+i, deadlyPart, soundPart)
		if i == 0 && alone {
			now = loseParts(tracker, now, 100, 1100, deadlyPart)
		}
	}
	return tracker, now
}

// Guards against a deadly part that was lost without its companion before the verdict
// needing two losses more until it is refused alone.
func TestLossBeforeTheVerdictTellsPartsApart(t *testing.T) {
	tracker, now := refusedTogether(4, true)
	action, _ := tracker.Check(now, []uint64{deadlyPart})
	assert.Equal(t, action, Allow)
	action, _ = tracker.Check(now, []uint64{deadlyPart, soundPart})
	assert.Equal(t, action, Refuse)
	now = loseParts(tracker, now, 101, 1101, deadlyPart)
	action, _ = tracker.Check(now, []uint64{deadlyPart})
	assert.Equal(t, action, Refuse)
}

// Guards against a sound part being refused alone by two losses of one request that a
// host sent to a second server.
func TestTwoLossesOfOneRequestTellNoPartsApart(t *testing.T) {
	tracker, now := refusedTogether(4, false)
	for i := range uint64(2) { // the second copy is sent at the loss of the first one
		now = now.Add(2 * episodeGap)
		tracker.AddLoss(now, Loss{Server: Server{100 + i, 1}, At: now, Lost: 1, Parts: []uint64{soundPart}, Requests: []Sent{{Request: RequestSuspect(1100), At: now.Add(-2 * episodeGap)}}})
	}
	now = now.Add(settleTime)
	tracker.Poll(now)
	action, _ := tracker.Check(now, []uint64{soundPart})
	assert.Equal(t, action, Allow)
	now = loseParts(tracker, now, 102, 1102, soundPart)
	action, _ = tracker.Check(now, []uint64{soundPart})
	assert.Equal(t, action, Refuse)
}

// Guards against a lost request being sent to another server although its part is
// suspected, because the part is refused only together with another one.
func TestLostRequestWithACompanionIsNotSentAgain(t *testing.T) {
	tracker, now := refusedTogether(4, false)
	assert.Assert(t, tracker.SuspectsAgain(now, []uint64{deadlyPart}))
	assert.Assert(t, !tracker.SuspectsAgain(now, []uint64{99}))
}

// Guards against a sound part being refused alone because a loss that a quarantined
// request explains counts for it, while the deadly part has all others but too few
// requests for a verdict (TestSubjectOfTwoCausesIsServed/13).
func TestExplainedLossMakesNoPartTheCause(t *testing.T) {
	tracker, now := lossesOf()
	for i := range uint64(lossesToQuarantine) {
		now = now.Add(time.Second)
		tracker.AddLoss(now, Loss{Server: Server{100 + i, 1}, At: now, Lost: 1, Parts: []uint64{soundPart}, Requests: []Sent{{Request: deadlyRequest, At: now.Add(-time.Millisecond)}}})
		now = now.Add(settleTime)
		tracker.Poll(now)
	}
	action, _ := tracker.Check(now, []uint64{soundPart, deadlyRequest})
	assert.Equal(t, action, Refuse)
	now = loseParts(tracker, now, 1, 1000, deadlyPart, soundPart)
	now = loseParts(tracker, now, 2, 1000, deadlyPart, soundPart)
	now = loseParts(tracker, now, 3, 1003, deadlyPart, soundPart)
	action, _ = tracker.Check(now, []uint64{soundPart})
	assert.Equal(t, action, Allow)
}

// Guards against a part that was refused alone being refused only with a companion when
// it returns after a lapse.
func TestPartThatWasRefusedAloneReturnsAlone(t *testing.T) {
	tracker, now := refusedTogether(4, true)
	now = loseParts(tracker, now, 101, 1101, deadlyPart)
	now = now.Add(maxTerm)
	tracker.Poll(now)
	assert.Equal(t, tracker.verdicts[deadlyPart].State, Lapsed)
	now = loseParts(tracker, now, 102, 1102, deadlyPart, soundPart)
	action, _ := tracker.Check(now, []uint64{deadlyPart})
	assert.Equal(t, action, Refuse)
	action, _ = tracker.Check(now, []uint64{soundPart})
	assert.Equal(t, action, Allow)
}
