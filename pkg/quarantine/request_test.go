package quarantine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// subject is a part that the deadly request shares with few sound requests.
const subject = 50

// lateRepeats returns the requests that reached servers later than contactTime after
// the third crash.
func (d *deadlySuspect) lateRepeats() int {
	late := 0
	for _, at := range d.arrived {
		if len(d.crashes) >= lossesToQuarantine && at.Sub(d.crashes[lossesToQuarantine-1]) > contactTime {
			late++
		}
	}
	return late
}

// Guards against a request that is repeated whole ending one server after the other:
// often or rarely, two of them, without a prompt, beside a deadly part and other
// crashes, while hosts restart, freeze or are cut off. The sound requests of its
// subject are served.
func TestDeadlyRequestReachesFewServers(t *testing.T) {
	other := uint64(deadlyRequest + 1)
	for _, c := range []struct {
		name   string
		deadly []uint64
		parts  []uint64
		rate   float64 // requests a second of each deadly request
		length time.Duration
		each   func(f *simulatedFleet, elapsed time.Duration)
	}{
		{name: "often", deadly: []uint64{deadlyRequest}, parts: []uint64{popularPart, subject}, rate: 20, length: 30 * time.Second},
		{name: "as reported", deadly: []uint64{deadlyRequest}, parts: []uint64{popularPart, subject}, rate: 1.4, length: 40 * time.Second},
		{name: "rarely", deadly: []uint64{deadlyRequest}, parts: []uint64{popularPart, subject}, rate: 0.1, length: 3 * time.Minute},
		{name: "two at once", deadly: []uint64{deadlyRequest, other}, parts: []uint64{popularPart, subject}, rate: 1, length: 40 * time.Second},
		{name: "without a prompt", deadly: []uint64{deadlyRequest}, rate: 1, length: 40 * time.Second},
		{name: "few servers", deadly: []uint64{deadlyRequest}, rate: 1, length: 40 * time.Second, each: func(f *simulatedFleet, _ time.Duration) { f.servers = f.servers[:3] }},
		{name: "beside a deadly part", deadly: []uint64{deadlyRequest}, parts: []uint64{popularPart, subject}, rate: 1, length: 40 * time.Second, each: func(f *simulatedFleet, _ time.Duration) {
			if f.deadly[firstDeadly] == nil {
				f.deadly[firstDeadly] = &deadlySuspect{}
			}
			if f.chance(1) {
				f.send(popularPart, firstDeadly, 2000+uint64(f.random.IntN(50)))
			}
		}},
		{name: "beside other crashes", deadly: []uint64{deadlyRequest}, parts: []uint64{popularPart, subject}, rate: 1, length: 60 * time.Second, each: func(f *simulatedFleet, _ time.Duration) {
			if f.chance(0.5) {
				f.end(f.servers[f.random.IntN(len(f.servers))])
			}
		}},
		{name: "hosts restart", deadly: []uint64{deadlyRequest}, parts: []uint64{popularPart, subject}, rate: 2, length: 60 * time.Second, each: func(f *simulatedFleet, elapsed time.Duration) {
			if elapsed%(4*time.Second) == 0 {
				f.restart(int(elapsed/(4*time.Second)) % len(f.hosts))
			}
		}},
		{name: "hosts freeze", deadly: []uint64{deadlyRequest}, parts: []uint64{popularPart, subject}, rate: 2, length: 60 * time.Second, each: func(f *simulatedFleet, elapsed time.Duration) {
			if elapsed%(5*time.Second) == 0 {
				f.hosts[int(elapsed/(5*time.Second))%len(f.hosts)].frozen = f.now.Add(4 * time.Second)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(seeds) {
				f := newSimulatedFleet(seed, 5, 12, 0)
				for _, request := range c.deadly {
					f.deadly[request] = &deadlySuspect{}
				}
				f.run(3*time.Second, func() {})
				begin := f.now
				f.run(c.length, func() {
					if f.chance(0.4) {
						f.send(popularPart, subject)
					}
					for _, request := range c.deadly {
						if f.chance(c.rate) {
							f.repeat(request, c.parts...)
						}
					}
					if c.each != nil {
						c.each(f, f.now.Sub(begin))
					}
				})
				for _, request := range c.deadly {
					d := f.deadly[request]
					assert.Assert(t, d.lateRepeats() <= maxLateRequests, "seed %d: %d requests, %d crashes", seed, d.lateRepeats(), len(d.crashes))
				}
				if d := f.deadly[firstDeadly]; d != nil {
					assert.Assert(t, d.lateRequests() <= maxLateRequests, "seed %d: %d requests with the part, %d crashes", seed, d.lateRequests(), len(d.crashes))
				}
				assert.Equal(t, f.refused[popularPart]+f.refused[subject], 0, "seed %d: sound requests of the subject are refused", seed)
			}
		})
	}
}

// Guards against requests that callers repeat being refused, or sent to no second
// server, because they were lost with servers that end for other reasons: a poll each
// half second, a popular request 20 times a second and honest retries.
func TestSoundRepeatsAreServedBesideOtherCrashes(t *testing.T) {
	for _, c := range []struct {
		name string
		each func(f *simulatedFleet, elapsed time.Duration)
	}{
		{"one each second", (*simulatedFleet).endOneEachSecond},
		{"a rack each 5 s", (*simulatedFleet).endRackEach5s},
		{"all servers each 10 s", (*simulatedFleet).endAllEach10s},
		{"a deadly part", func(f *simulatedFleet, _ time.Duration) {
			if f.deadly[firstDeadly] == nil {
				f.deadly[firstDeadly] = &deadlySuspect{}
			}
			if f.chance(2.3) {
				f.send(popularPart, firstDeadly, 2000+uint64(f.random.IntN(50)))
			}
		}},
		{"a deadly request", func(f *simulatedFleet, _ time.Duration) {
			if f.deadly[deadlyRequest] == nil {
				f.deadly[deadlyRequest] = &deadlySuspect{}
			}
			if f.chance(1.4) {
				f.repeat(deadlyRequest, popularPart, subject)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(seeds) {
				f := newSimulatedFleet(seed, 5, 12, 0)
				f.run(40*time.Second, func() {
					elapsed := f.now.Sub(start)
					if elapsed%(500*time.Millisecond) == 0 {
						f.repeat(poll)
					}
					if f.chance(20) {
						f.repeat(popular, popularPart, 3000)
					}
					c.each(f, elapsed)
				})
				assert.Equal(t, f.refused[poll]+f.refused[popular]+f.refused[3000], 0, "seed %d", seed)
			}
		})
	}
}

// Guards against a sound request staying refused after a false verdict: its first
// trial releases it at all hosts.
func TestFalseVerdictOnRequestEndsSoon(t *testing.T) {
	f := newSimulatedFleet(1, 5, 12, 0)
	f.hosts[0].tracker.decide(f.now, poll, Quarantined, "test")
	f.run(firstTerm+10*turnTime, func() {
		if f.chance(2) {
			f.repeat(poll)
		}
	})
	for i, h := range f.hosts {
		assert.Equal(t, h.tracker.verdicts[poll].State, Released, "host %d", i)
	}
	assert.Assert(t, f.refused[poll] > 0)
}

// Guards against a sound request staying refused for long while many others are lost,
// when three losses in a row prove little.
func TestWeakEvidenceGetsAnEarlyTrial(t *testing.T) {
	for others, want := range map[int]time.Duration{0: firstTerm, 100: weakFirstTerm} {
		tracker, now := New(1), start
		for i := range uint64(2 * lossesToQuarantine) {
			now = now.Add(time.Second)
			l := Loss{Server: Server{i, 1}, At: now, Lost: 1, Requests: []Sent{{Request: poll, At: now}}}
			if i < lossesToQuarantine {
				l.Lost, l.Requests = others, []Sent{{Request: RequestSuspect(i), At: now}}
			}
			tracker.AddLoss(now, l)
		}
		tracker.Poll(now)
		assert.Equal(t, tracker.verdicts[poll].State, Quarantined)
		assert.Equal(t, tracker.verdicts[poll].Term, want)
	}
}

// Guards against a host counting copies of one request that a rack took along as
// several crashes, and against missing those that were sent after each crash.
func TestCopiesOfARequestLostTogetherCountOnce(t *testing.T) {
	for name, c := range map[string]struct {
		sentBefore time.Duration
		want       Action
	}{"sent before the first loss": {time.Second, Allow}, "each sent after the loss before": {time.Millisecond, Refuse}} {
		tracker, now := New(1), start
		for i := range uint64(lossesToQuarantine) {
			now = now.Add(5 * time.Millisecond)
			tracker.AddLoss(now, Loss{Server: Server{i, 1}, At: now, Lost: 1, Requests: []Sent{{Request: poll, At: now.Add(-c.sentBefore)}}})
		}
		tracker.Poll(now.Add(settleTime))
		action, _ := tracker.Check(now.Add(settleTime), []uint64{poll})
		assert.Equal(t, action, c.want, name)
	}
}

// Guards against a third crash that does not count because the message about the second
// one took longer than the caller to ask again.
func TestLateReportOfALossDoesNotHideTheNextCrash(t *testing.T) {
	for name, c := range map[string]struct {
		late time.Duration
		want Action
	}{"in time": {0, Refuse}, "after the next request was sent": {20 * time.Millisecond, Refuse}, "after the next crash": {40 * time.Millisecond, Refuse}} {
		tracker, now := New(1), start
		lose := func(server, reporter uint64, at time.Time, late time.Duration) {
			l := Loss{Server: Server{server, 1}, Reporter: reporter, At: at.Add(late), Lost: 1, Requests: []Sent{{Request: poll, At: at.Add(late - 10*time.Millisecond)}}}
			if reporter == 1 {
				tracker.AddLoss(l.At, l)
			} else {
				tracker.Merge(l.At, Message{Losses: []Loss{l}}, false)
			}
		}
		lose(1, 1, now, 0)
		lose(2, 2, now.Add(15*time.Millisecond), c.late)
		lose(3, 1, now.Add(30*time.Millisecond), 0)
		now = now.Add(100*time.Millisecond + settleTime)
		tracker.Poll(now)
		action, _ := tracker.Check(now, []uint64{poll})
		assert.Equal(t, action, c.want, name)
	}
}

// Guards against parts that are quarantined for the crashes of one request, and against
// a deadly part that is never found because few requests with it are repeated.
func TestPartIsQuarantinedOnlyForSeveralRequests(t *testing.T) {
	const part = 7
	lose := func(tracker *Tracker, now time.Time, server uint64, request uint64) time.Time {
		now = now.Add(time.Second)
		tracker.AddLoss(now, Loss{Server: Server{server, 1}, At: now, Lost: 1, Parts: []uint64{part}, Requests: []Sent{{Request: RequestSuspect(request), At: now.Add(-time.Millisecond)}}})
		now = now.Add(settleTime)
		tracker.Poll(now)
		return now
	}
	for _, c := range []struct {
		requests []uint64 // of the losses, in order
		want     bool
	}{
		{[]uint64{1, 1, 1}, false},
		{[]uint64{1, 1, 2}, false},
		{[]uint64{1, 2, 3}, true},
		{[]uint64{1, 1, 2, 3}, true},
		{[]uint64{1, 2, 1, 2}, false},
		{[]uint64{1, 1, 2, 2, 3}, true},     // each request was lost with a retry
		{[]uint64{1, 1, 1, 2}, false},       // the request is quarantined and explains three losses as one
		{[]uint64{1, 1, 1, 2, 2, 2}, false}, // two requests explain all
		{[]uint64{1, 1, 1, 2, 2, 2, 3}, true},
	} {
		tracker, now := New(1), start
		for i, request := range c.requests {
			now = lose(tracker, now, uint64(i), request)
		}
		v := tracker.verdicts[part]
		assert.Equal(t, v != nil && v.State == Quarantined, c.want, "%v", c.requests)
	}
}

// Guards against a request of a lost server being kept from a second server although
// it was lost once before, and against one that is sent to a fourth.
func TestRequestIsRetriedAfterOneEarlierLoss(t *testing.T) {
	tracker, now := New(1), start
	for i, want := range []bool{false, true, true} {
		now = now.Add(time.Second)
		tracker.AddLoss(now, Loss{Server: Server{uint64(i), 1}, At: now, Lost: 1, Requests: []Sent{{Request: poll, At: now}}})
		assert.Equal(t, tracker.SuspectsAgain(now, []uint64{poll}), want, "after %d losses", i+1)
	}
	tracker.AnswerBegan(now.Add(time.Second), now, now.Add(time.Second), []uint64{poll})
	assert.Assert(t, !tracker.SuspectsAgain(now.Add(time.Second), []uint64{poll}))
}

// Guards against requests that differ having one fingerprint, and against a
// fingerprint that takes time in proportion to the body.
func TestFingerprintTellsRequestsApart(t *testing.T) {
	large := make([]byte, 8<<20)
	seen := map[uint64]string{}
	for name, print := range map[string]uint64{
		"plain":     Fingerprint("w", "GET", "h", "/a", nil),
		"workspace": Fingerprint("v", "GET", "h", "/a", nil),
		"method":    Fingerprint("w", "PUT", "h", "/a", nil),
		"host":      Fingerprint("w", "GET", "g", "/a", nil),
		"query":     Fingerprint("w", "GET", "h", "/a?x=1", nil),
		"split":     Fingerprint("w", "GET", "h/", "a", nil),
		"body":      Fingerprint("w", "GET", "h", "/a", []byte("x")),
		"large":     Fingerprint("w", "GET", "h", "/a", large),
		"larger":    Fingerprint("w", "GET", "h", "/a", make([]byte, len(large)+1)),
	} {
		assert.Equal(t, seen[print], "", name)
		seen[print] = name
	}
	middle := make([]byte, len(large))
	middle[len(middle)/2] = 1
	assert.Equal(t, Fingerprint("w", "GET", "h", "/a", middle), Fingerprint("w", "GET", "h", "/a", large), "only both ends are read")
}

// BenchmarkFingerprint measures the fingerprint of a request without a body, with a
// usual one, and with the largest part of a body that is read.
func BenchmarkFingerprint(b *testing.B) {
	for name, size := range map[string]int{"no body": 0, "12 KB": 12 << 10, "4 MB": 4 << 20} {
		b.Run(name, func(b *testing.B) {
			body := make([]byte, size)
			for b.Loop() {
				Fingerprint("workspace-1", "POST", "chat.example", "/v1/chat/3b/32b4", body)
			}
		})
	}
}
