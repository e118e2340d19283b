package quarantine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a part that servers answered all day being refused with the one that
// none ever answered.
func TestAnsweredPartIsNotQuarantinedWithNewOne(t *testing.T) {
	const answered, other, unknown = 1, 2, 3
	tracker, now := New(1), start
	tracker.AnswerBegan(now, now, now, []uint64{answered})
	for i := range uint64(lossesToQuarantine) {
		now = now.Add(time.Second)
		tracker.AddLoss(now, Loss{Server: Server{i, 1}, At: now, Lost: 1, Parts: []uint64{answered, unknown}, Requests: []Sent{{Request: RequestSuspect(i), At: now}}})
		for range answersToSuspect {
			tracker.AnswerBegan(now, now, now, []uint64{other})
		}
	}
	tracker.Poll(now.Add(settleTime))
	assert.Assert(t, tracker.verdicts[unknown] != nil && tracker.verdicts[unknown].State == Quarantined)
	assert.Assert(t, tracker.verdicts[answered] == nil)
}

// Guards against an answer that began before a verdict ending it.
func TestAnswerBeforeVerdictReleasesNothing(t *testing.T) {
	tracker := New(1)
	tracker.decide(start, poll, Quarantined, "test")
	now := start.Add(time.Second)
	tracker.AnswerBegan(now, start.Add(-time.Second), start.Add(-time.Millisecond), []uint64{poll})
	assert.Equal(t, tracker.verdicts[poll].State, Quarantined)
}

// Guards against a host that saw an answer after a loss keeping it for itself, whether
// it learns of the loss from another host or reports it too.
func TestHostTellsOthersThatASuspectWasAnswered(t *testing.T) {
	l := Loss{Server: Server{1, 1}, At: start, Reporter: 2, Lost: 1, Parts: []uint64{5}, Requests: []Sent{{Request: poll, At: start}}}
	for name, learn := range map[string]func(*Tracker, time.Time){
		"from another host": func(t *Tracker, now time.Time) { t.Merge(now, Message{Losses: []Loss{l}}, false) },
		"reports it":        func(t *Tracker, now time.Time) { t.AddLoss(now, l) },
	} {
		tracker := New(1)
		now := start.Add(100 * time.Millisecond)
		tracker.AnswerBegan(now, now, now, []uint64{5, poll})
		learn(tracker, now.Add(50*time.Millisecond))
		m := tracker.Message(now.Add(100*time.Millisecond), false)
		assert.Equal(t, len(m.Cleared), 2, name)
	}
}

// Guards against a loss before a trial counting as its result.
func TestLossBeforeATrialDoesNotRenewTheQuarantine(t *testing.T) {
	tracker := New(1)
	tracker.decide(start, poll, Quarantined, "test")
	now := start.Add(firstTerm + time.Second)
	action, _ := tracker.Begin(now, []uint64{poll})
	assert.Equal(t, action, Trial)
	lose := func(server uint64, at time.Time) uint32 {
		tracker.AddLoss(at.Add(time.Second), Loss{Server: Server{server, 1}, At: at, Lost: 1, Requests: []Sent{{Request: poll, At: at}}})
		return tracker.verdicts[poll].Generation
	}
	assert.Equal(t, lose(1, now.Add(-time.Millisecond)), uint32(1))
	assert.Equal(t, lose(2, now.Add(time.Millisecond)), uint32(2))
}

// Guards against a host that lost the evidence ending a quarantine in the fleet: of equal
// generations the larger state holds, and only an own answer releases.
func TestMessagesOfOtherHostsReleaseNothing(t *testing.T) {
	tracker := New(1)
	tracker.decide(start, poll, Quarantined, "test")
	now := start.Add(time.Second)
	tracker.Merge(now, Message{
		Cleared:  []Cleared{{Suspect: poll, At: now.Add(-time.Millisecond)}},
		Verdicts: []Verdict{{Suspect: poll, Generation: 1, State: Released, Since: now, Term: firstTerm}},
	}, false)
	assert.Equal(t, tracker.verdicts[poll].State, Quarantined)
}

// Guards against evidence that a host which was cut off never gets: a loss is reported
// again each time that its age has doubled.
func TestLossIsReportedAgainAsItAges(t *testing.T) {
	tracker := New(1)
	tracker.AddLoss(start, Loss{Server: Server{1, 1}, At: start, Lost: 1, Requests: []Sent{{Request: poll, At: start}}})
	var sent []time.Duration
	for age := time.Duration(0); age < 40*time.Second; age += 100 * time.Millisecond {
		if m := tracker.Message(start.Add(age), false); len(m.Losses) > 0 {
			sent = append(sent, age.Truncate(time.Second))
		}
	}
	assert.DeepEqual(t, sent[messageRepeats:], []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 9 * time.Second, 19 * time.Second, 38 * time.Second})
}
