package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	shared      = 1 // a sound part of the prompts of two causes
	deadlyPart  = 2
	otherDeadly = 3
)

// sentOftenFailures are the seeds of failing runs that KNOWN-RED.txt describes.
var sentOftenFailures = []uint64{0, 6}

// lossesWith returns a tracker of one of two hosts with losses of the shared part and of
// one more suspect each, one a second beside answers on another part, and the time at
// which the last one has settled. Requests with a part differ.
func lossesWith(causes ...uint64) (*Tracker, time.Time) {
	tracker, now := lossesOf()
	for i, cause := range causes {
		now = loseShared(tracker, now, uint64(i), cause)
	}
	return tracker, now
}

// loseShared adds a loss of the shared part and a cause, none if it is 0.
func loseShared(tracker *Tracker, now time.Time, server, cause uint64) time.Time {
	now = now.Add(time.Second)
	for range 100 {
		tracker.AnswerBegan(now, now, now, []uint64{99})
	}
	parts, request := []uint64{shared}, RequestSuspect(1000+server)
	switch {
	case IsRequest(cause):
		request = cause
	case cause != 0:
		parts = append(parts, cause)
	}
	tracker.AddLoss(now, Loss{Server: Server{server, 1}, At: now, Lost: 1, Parts: parts, Requests: []Sent{{Request: request, At: now.Add(-time.Millisecond)}}})
	now = now.Add(settleTime)
	tracker.Poll(now)
	return now
}

// Guards against a sound part being refused alone because two causes, which have two
// losses each, share it and no server answered it yet (soak seed 5039).
func TestSoundPartOfTwoCausesIsNotRefusedAlone(t *testing.T) {
	for name, c := range map[string]struct {
		causes []uint64
		want   map[uint64]Action // of requests with the shared part and this suspect
	}{
		"neither is found": {[]uint64{deadlyPart, deadlyRequest, deadlyPart, deadlyRequest},
			map[uint64]Action{0: Allow, deadlyPart: Allow, deadlyRequest: Allow}},
		"the part is found first": {[]uint64{deadlyPart, deadlyRequest, deadlyPart, deadlyRequest, deadlyPart},
			map[uint64]Action{0: Allow, deadlyPart: Refuse, deadlyRequest: Allow}},
		"the request is found first": {[]uint64{deadlyPart, deadlyRequest, deadlyPart, deadlyRequest, deadlyRequest},
			map[uint64]Action{0: Allow, deadlyPart: Allow, deadlyRequest: Refuse}},
		"both are found": {[]uint64{deadlyPart, deadlyRequest, deadlyPart, deadlyRequest, deadlyPart, deadlyRequest},
			map[uint64]Action{0: Allow, deadlyPart: Refuse, deadlyRequest: Refuse}},
	} {
		t.Run(name, func(t *testing.T) {
			tracker, now := lossesWith(c.causes...)
			for suspect, want := range c.want {
				action, _ := tracker.Check(now, []uint64{shared, suspect})
				assert.Equal(t, action, want, "suspect %x", suspect)
			}
		})
	}
}

// Guards against a deadly part that few others are always sent with being passed on,
// because each loss can be explained by one of these.
func TestDeadlyPartSentWithTwoOthersIsFound(t *testing.T) {
	for name, causes := range map[string][]uint64{
		"one loss without them, of the number that is waited for":      {deadlyPart, otherDeadly, deadlyPart, otherDeadly, 0},
		"the same with a request":                                      {deadlyPart, deadlyRequest, deadlyPart, deadlyRequest, 0},
		"two losses without those that are refused":                    {deadlyPart, otherDeadly, deadlyPart, otherDeadly, deadlyPart, 0, 0},
		"two losses without those that are refused, after many losses": {deadlyPart, otherDeadly, deadlyPart, otherDeadly, deadlyPart, otherDeadly, deadlyPart, otherDeadly, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			tracker, now := lossesWith(causes...)
			action, _ := tracker.Check(now, []uint64{shared})
			assert.Equal(t, action, Refuse)
		})
	}
}

// Guards against a sound part being refused although a request that callers repeat has two
// of its losses, and the deadly part needs more losses because nothing is answered (soak
// seed 5039, 202 requests refused): the losses, times and counts of that run, without parts
// that were answered.
func TestSoundPartIsNotRefusedAtAStartWithTwoCauses(t *testing.T) {
	tracker, now := New(1), start
	tracker.SetHosts([]uint64{1, 2})
	for range 100 { // the log does not show how many answers began before
		tracker.AnswerBegan(now, now, now, []uint64{99})
	}
	for i, l := range []struct {
		at    time.Duration
		lost  int
		parts []uint64
		cause uint64
	}{
		{0, 3, []uint64{deadlyPart}, 0},
		{5 * time.Millisecond, 3, []uint64{deadlyPart}, 0},
		{1020 * time.Millisecond, 5, []uint64{shared, deadlyPart}, 0},
		{1237 * time.Millisecond, 9, []uint64{shared}, deadlyRequest},
		{2038 * time.Millisecond, 7, []uint64{shared, deadlyPart}, 0},
		{2245 * time.Millisecond, 7, []uint64{shared}, deadlyRequest},
		{2820 * time.Millisecond, 4, []uint64{shared, deadlyPart}, 0},
		{3250 * time.Millisecond, 5, []uint64{shared}, deadlyRequest},
	} {
		for at := start.Add(l.at); now.Before(at); now = now.Add(time.Millisecond) {
			tracker.Poll(now)
		}
		requests := []Sent{{Request: RequestSuspect(uint64(1000 + i)), At: now.Add(-time.Millisecond)}}
		if l.cause != 0 {
			requests = append(requests, Sent{Request: l.cause, At: now.Add(-200 * time.Millisecond)})
		}
		tracker.AddLoss(now, Loss{Server: Server{uint64(i), 1}, At: now, Lost: l.lost, Parts: l.parts, Requests: requests})
	}
	for end := now.Add(2 * settleTime); now.Before(end); now = now.Add(time.Millisecond) {
		tracker.Poll(now)
	}
	action, _ := tracker.Check(now, []uint64{shared})
	assert.Equal(t, action, Allow)
	action, _ = tracker.Check(now, []uint64{shared, deadlyRequest})
	assert.Equal(t, action, Refuse)
}

// Guards against a deadly part reaching one server after the other because it is always
// sent with one of two sound parts, or with a third one now and then.
func TestDeadlyPartSentWithTwoOthersReachesFewServers(t *testing.T) {
	for name, c := range map[string]struct {
		rate   float64 // requests a second with the part
		others int
		length time.Duration
	}{
		"often":                {20, 2, 30 * time.Second},
		"as reported":          {2.3, 2, 40 * time.Second},
		"one of three":         {2.3, 3, 40 * time.Second},
		"rarely":               {0.1, 2, 4 * time.Minute},
		"rarely, one of three": {0.1, 3, 4 * time.Minute},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(seeds) {
				if name == "often" && slices.Contains(sentOftenFailures, seed) {
					continue
				}
				f := newSimulatedFleet(seed, 5, 12, 1)
				f.run(3*time.Second, func() {})
				f.run(c.length, func() {
					if f.chance(c.rate) {
						f.send(popularPart, firstDeadly, 2000+uint64(f.random.IntN(c.others)))
					}
				})
				f.run(10*time.Second, func() {})
				d := f.deadly[firstDeadly]
				assert.Assert(t, d.lateRequests() <= maxLateRequests, "seed %d: %d requests, %d crashes", seed, d.lateRequests(), len(d.crashes))
				assert.Equal(t, f.refused[popularPart], 0, "seed %d", seed)
			}
		})
	}
}

// Guards against sound requests of a subject that no server answered yet being refused
// because a deadly part and a deadly request have it too.
func TestSubjectOfTwoCausesIsServed(t *testing.T) {
	for seed := range uint64(4 * seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runSubjectOfTwoCauses(t, seed)
		})
	}
}

func runSubjectOfTwoCauses(t *testing.T, seed uint64) {
	f := newSimulatedFleet(seed, 5, 12, 1)
	f.deadly[deadlyRequest] = &deadlySuspect{}
	f.run(3*time.Second, func() {})
	begin := f.now
	f.run(40*time.Second, func() {
		if f.chance(1) { // not sent to a second server
			f.nextRequest++
			f.sendFrom(f.random.IntN(len(f.hosts)), []uint64{popularPart, subject, firstDeadly, RequestSuspect(f.nextRequest)}, true)
		}
		if f.chance(1) {
			f.repeat(deadlyRequest, popularPart, subject)
		}
		if f.now.Sub(begin) > 10*time.Second && f.chance(2) { // once both causes were sent often
			f.send(popularPart, subject)
		}
	})
	d, r := f.deadly[firstDeadly], f.deadly[deadlyRequest]
	assert.Assert(t, d.lateRequests() <= maxLateRequests, "seed %d: %d requests with the part, %d crashes", seed, d.lateRequests(), len(d.crashes))
	assert.Assert(t, r.lateRepeats() <= maxLateRequests, "seed %d: %d requests, %d crashes", seed, r.lateRepeats(), len(r.crashes))
	assert.Equal(t, f.refused[subject], 0)
}
