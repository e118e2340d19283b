package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1_700_000_000, 0)

const (
	tick = 10 * time.Millisecond
	// contactTime is the time after the fifth crash from which at most
	// maxLateRequests with a deadly part may reach servers.
	contactTime     = 3 * time.Second
	maxLateRequests = 3
	seeds           = 10
	popularPart     = 1
	firstDeadly     = 100
	// deadlyRequest is a request that ends servers although its parts are sound, poll
	// and popular are sound requests that callers repeat.
	deadlyRequest = requestBit | 1<<40
	poll          = requestBit | 2<<40
	popular       = requestBit | 3<<40
)

// simulatedFleet sends requests of several hosts to servers that end when they
// begin an answer on a deadly part or to a deadly request. Time is virtual; hosts exchange messages each
// 50 ms with a delay of one tick.
type simulatedFleet struct {
	random      *rand.Rand
	now         time.Time
	hosts       []*simulatedHost
	servers     []*simulatedServer
	deadly      map[uint64]*deadlySuspect
	nextID      uint64
	nextRequest uint64
	refused     map[uint64]int // refused sound requests, by quarantined suspect
	served      int            // sound requests whose answer began
	lost        int            // sound requests lost with a server
}

type deadlySuspect struct {
	crashes []time.Time
	arrived []time.Time
}

type simulatedHost struct {
	tracker  *Tracker
	inbox    []Message
	cutUntil time.Time // neither sends nor receives messages
	frozen   time.Time // does not run until then
}

type simulatedServer struct {
	id      Server
	downTil time.Time
	pending []*simulatedRequest
}

type simulatedRequest struct {
	host     int
	suspects []uint64 // parts, and the request itself
	sentAt   time.Time
	beginsAt time.Time
	retried  bool // not sent to a second server
	copy     Copy
}

func newSimulatedFleet(seed uint64, hosts, servers int, deadly int) *simulatedFleet {
	f := &simulatedFleet{random: rand.New(rand.NewPCG(seed, 1)), now: start, deadly: map[uint64]*deadlySuspect{}, refused: map[uint64]int{}}
	var names []uint64
	for i := range hosts {
		names = append(names, uint64(i+1)*7919)
	}
	for _, name := range names {
		h := &simulatedHost{tracker: New(name)}
		h.tracker.SetHosts(names)
		f.hosts = append(f.hosts, h)
	}
	for i := range servers {
		f.servers = append(f.servers, &simulatedServer{id: Server{uint64(i + 1), 1}})
	}
	for i := range deadly {
		f.deadly[firstDeadly+uint64(i)] = &deadlySuspect{}
	}
	return f
}

// send sends a new request from a random host that runs, to a random server that is up.
func (f *simulatedFleet) send(parts ...uint64) {
	f.nextRequest++
	f.repeat(RequestSuspect(f.nextRequest), parts...)
}

// repeat sends a request again.
func (f *simulatedFleet) repeat(request uint64, parts ...uint64) {
	host := f.random.IntN(len(f.hosts))
	if f.now.Before(f.hosts[host].frozen) {
		return
	}
	f.sendFrom(host, append(slices.Clone(parts), request), false)
}

func (f *simulatedFleet) sendFrom(host int, suspects []uint64, retried bool) {
	f.sendCopy(host, suspects, retried, FirstCopy)
}

func (f *simulatedFleet) sendCopy(host int, suspects []uint64, retried bool, copy Copy) {
	if action, suspect := f.hosts[host].tracker.Begin(f.now, suspects); action == Refuse {
		if !f.isDeadly(suspects) {
			f.refused[suspect]++
		}
		return
	}
	var up []*simulatedServer
	for _, s := range f.servers {
		if !f.now.Before(s.downTil) {
			up = append(up, s)
		}
	}
	if len(up) == 0 {
		return
	}
	s := up[f.random.IntN(len(up))]
	wait := 100 + time.Duration(f.random.IntN(500))
	s.pending = append(s.pending, &simulatedRequest{host, suspects, f.now, f.now.Add(wait * time.Millisecond), retried, copy})
	for _, p := range suspects {
		if d := f.deadly[p]; d != nil {
			d.arrived = append(d.arrived, f.now)
		}
	}
}

func (f *simulatedFleet) isDeadly(suspects []uint64) bool {
	return slices.ContainsFunc(suspects, func(p uint64) bool { return f.deadly[p] != nil })
}

// end ends a server for 3 s. All hosts with requests whose answer has not begun
// report the loss, and send sound requests once more.
func (f *simulatedFleet) end(s *simulatedServer) {
	pending := s.pending
	s.pending, s.downTil = nil, f.now.Add(3*time.Second)
	reports := map[int]*Loss{}
	for _, r := range pending {
		l := reports[r.host]
		if l == nil {
			l = &Loss{Server: s.id, At: f.now}
			reports[r.host] = l
		}
		l.Lost++
		last := len(r.suspects) - 1
		l.Parts = append(l.Parts, r.suspects[:last]...)
		l.Requests = append(l.Requests, Sent{Request: r.suspects[last], At: r.sentAt, Copy: r.copy})
		if !f.isDeadly(r.suspects) {
			f.lost++
		}
	}
	for _, r := range pending {
		if !r.retried && !f.hosts[r.host].tracker.SuspectsAgain(f.now, r.suspects) {
			f.sendCopy(r.host, r.suspects, true, FurtherCopy)
		}
	}
	for host, l := range reports {
		slices.Sort(l.Parts)
		l.Parts = slices.Compact(l.Parts)
		f.hosts[host].tracker.AddLoss(f.now, *l)
	}
	s.id.StartMS++
}

// addLoss adds a loss at the current time.
func addLoss(t *Tracker, now time.Time, server Server, parts []uint64, lost int) {
	t.AddLoss(now, Loss{Server: server, At: now, Parts: parts, Lost: lost})
}

// step advances the time by one tick.
func (f *simulatedFleet) step() {
	f.now = f.now.Add(tick)
	for _, s := range f.servers {
		f.beginAnswers(s)
	}
	for i, h := range f.hosts {
		if f.now.Before(h.frozen) {
			continue
		}
		for _, m := range h.inbox {
			h.tracker.Merge(f.now, m, false)
		}
		h.inbox = nil
		h.tracker.Poll(f.now)
		ticks := int(f.now.Sub(start) / tick)
		if (ticks+i)%5 != 0 || f.now.Before(h.cutUntil) {
			continue
		}
		m := h.tracker.Message(f.now, (ticks+i)%100 == 0)
		for j, other := range f.hosts {
			if j != i && !f.now.Before(other.cutUntil) && !m.Empty() {
				other.inbox = append(other.inbox, m)
			}
		}
	}
}

func (f *simulatedFleet) beginAnswers(s *simulatedServer) {
	for i := 0; i < len(s.pending); i++ {
		r := s.pending[i]
		if f.now.Before(r.beginsAt) {
			continue
		}
		if f.isDeadly(r.suspects) {
			for _, p := range r.suspects {
				if d := f.deadly[p]; d != nil {
					d.crashes = append(d.crashes, f.now)
				}
			}
			f.end(s)
			return
		}
		f.served++
		f.hosts[r.host].tracker.AnswerBegan(f.now, f.now, f.now, r.suspects)
		s.pending = slices.Delete(s.pending, i, i+1)
		i--
	}
}

// run sends 60 sound requests a second and calls each in every tick.
func (f *simulatedFleet) run(d time.Duration, each func()) {
	for end := f.now.Add(d); f.now.Before(end); {
		if f.chance(60) {
			f.sendSound()
		}
		each()
		f.step()
	}
}

// chance reports whether an event that comes at a rate per second comes in this tick.
func (f *simulatedFleet) chance(perSecond float64) bool {
	return f.random.Float64() < perSecond*tick.Seconds()
}

// sendSound sends a request with the popular part and one of 300 others.
func (f *simulatedFleet) sendSound() { f.send(popularPart, 1000+uint64(f.random.IntN(300))) }

// lateRequests returns the requests with the part that reached servers later than
// contactTime after the fifth crash.
func (d *deadlySuspect) lateRequests() int {
	if len(d.crashes) < 5 {
		return 0
	}
	late := 0
	for _, at := range d.arrived {
		if at.Sub(d.crashes[4]) > contactTime {
			late++
		}
	}
	return late
}

// checkDeadly checks that few requests with the deadly parts reached servers late,
// and that all hosts have a verdict on a part with three crashes.
func (f *simulatedFleet) checkDeadly(t *testing.T) {
	t.Helper()
	for part, d := range f.deadly {
		assert.Assert(t, d.lateRequests() <= maxLateRequests, "part %d: %d requests, %d crashes", part, d.lateRequests(), len(d.crashes))
		if len(d.crashes) < lossesToQuarantine {
			continue
		}
		for i, h := range f.hosts {
			v := h.tracker.verdicts[part]
			assert.Assert(t, v != nil && v.State != Released, "part %d at host %d after %d crashes: %+v", part, i, len(d.crashes), v)
		}
	}
}

// Guards against requests with a deadly part reaching one server after the other:
// often or rarely, with two such parts at once, while servers also end for other
// reasons, and while hosts restart, freeze or are cut off.
func TestDeadlyPartsReachFewServers(t *testing.T) {
	for _, c := range []struct {
		name   string
		deadly int
		rate   float64 // requests a second with each deadly part
		length time.Duration
		each   func(f *simulatedFleet, elapsed time.Duration)
	}{
		{name: "often", deadly: 1, rate: 20, length: 30 * time.Second},
		{name: "as reported", deadly: 1, rate: 2.3, length: 40 * time.Second},
		{name: "rarely", deadly: 1, rate: 0.1, length: 4 * time.Minute},
		{name: "two at once", deadly: 2, rate: 1.5, length: 40 * time.Second},
		{name: "beside other crashes", deadly: 1, rate: 1, length: 60 * time.Second, each: func(f *simulatedFleet, _ time.Duration) {
			if f.chance(0.5) {
				f.end(f.servers[f.random.IntN(len(f.servers))])
			}
		}},
		{name: "beside lost racks", deadly: 1, rate: 1, length: 60 * time.Second, each: func(f *simulatedFleet, elapsed time.Duration) {
			if elapsed%(7*time.Second) == 0 {
				for _, s := range f.servers[:len(f.servers)/3] {
					f.end(s)
				}
			}
		}},
		{name: "hosts restart", deadly: 1, rate: 2, length: 60 * time.Second, each: func(f *simulatedFleet, elapsed time.Duration) {
			if elapsed%(4*time.Second) == 0 {
				f.restart(int(elapsed/(4*time.Second)) % len(f.hosts))
			}
		}},
		{name: "hosts freeze", deadly: 1, rate: 2, length: 60 * time.Second, each: func(f *simulatedFleet, elapsed time.Duration) {
			if elapsed%(5*time.Second) == 0 {
				f.hosts[int(elapsed/(5*time.Second))%len(f.hosts)].frozen = f.now.Add(4 * time.Second)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(seeds) {
				f := newSimulatedFleet(seed, 5, 12, c.deadly)
				f.run(3*time.Second, func() {})
				begin := f.now
				f.run(c.length, func() {
					for i := range c.deadly {
						if f.chance(c.rate) {
							f.send(popularPart, firstDeadly+uint64(i), 2000+uint64(f.random.IntN(50)))
						}
					}
					if c.each != nil {
						c.each(f, f.now.Sub(begin))
					}
				})
				f.run(10*time.Second, func() {}) // all messages have arrived
				f.checkDeadly(t)
				assert.Equal(t, f.refused[popularPart], 0, "seed %d", seed)
			}
		})
	}
}

// restart replaces the tracker of a host by one that has only the stored verdicts:
// those that another host has had for a second.
func (f *simulatedFleet) restart(i int) {
	tracker := New(f.hosts[i].tracker.self)
	tracker.SetHosts(f.hosts[i].tracker.hosts)
	for _, v := range f.hosts[(i+1)%len(f.hosts)].tracker.verdicts {
		if f.now.Sub(v.Since) > time.Second {
			tracker.MergeVerdicts(f.now, []Verdict{v.Verdict})
		}
	}
	f.hosts[i] = &simulatedHost{tracker: tracker}
}

// Guards against a host that was cut off during the crashes passing requests with
// the part on after its return.
func TestHostThatWasCutOffLearnsVerdict(t *testing.T) {
	f := newSimulatedFleet(1, 5, 12, 1)
	f.hosts[2].cutUntil = f.now.Add(20 * time.Second)
	f.run(18*time.Second, func() {
		if f.chance(2) {
			f.nextRequest++
			f.sendFrom(f.random.IntN(2), []uint64{popularPart, firstDeadly, RequestSuspect(f.nextRequest)}, false)
		}
	})
	assert.Assert(t, len(f.deadly[firstDeadly].crashes) >= lossesToQuarantine)
	f.run(2*time.Second+time.Second, func() {})
	assert.Assert(t, f.hosts[2].tracker.verdicts[firstDeadly] != nil)
}

func (f *simulatedFleet) endOneEachSecond(elapsed time.Duration) {
	if elapsed%time.Second == 0 {
		f.end(f.servers[f.random.IntN(len(f.servers))])
	}
}

func (f *simulatedFleet) endRackEach5s(elapsed time.Duration) {
	if elapsed%(5*time.Second) == 0 {
		for _, s := range f.servers[:4] {
			f.end(s)
		}
	}
}

func (f *simulatedFleet) endAllEach10s(elapsed time.Duration) {
	if elapsed%(10*time.Second) == 0 {
		for _, s := range f.servers {
			f.end(s)
		}
	}
}

// Guards against sound requests being refused because servers end for other
// reasons: single ones, racks, all of them, and with parts that are new.
func TestOtherCrashesQuarantineNothing(t *testing.T) {
	for _, c := range []struct {
		name string
		each func(f *simulatedFleet, elapsed time.Duration)
	}{
		{"one each second", (*simulatedFleet).endOneEachSecond},
		{"a rack each 5 s", (*simulatedFleet).endRackEach5s},
		{"all servers each 10 s", (*simulatedFleet).endAllEach10s},
		{"a release, one server each 300 ms", func(f *simulatedFleet, elapsed time.Duration) {
			if elapsed%(300*time.Millisecond) == 0 && elapsed < 12*time.Second {
				f.end(f.servers[int(elapsed/(300*time.Millisecond))%len(f.servers)])
			}
		}},
		{"new parts", func(f *simulatedFleet, elapsed time.Duration) {
			if elapsed%time.Second == 0 {
				f.end(f.servers[f.random.IntN(len(f.servers))])
			}
			if f.chance(10) {
				f.nextID++
				f.send(popularPart, 1_000_000+f.nextID/4)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(seeds) {
				f := newSimulatedFleet(seed, 5, 12, 0)
				f.run(30*time.Second, func() { c.each(f, f.now.Sub(start)) })
				assert.Equal(t, fmt.Sprint(f.refused), "map[]", "seed %d", seed)
				for _, h := range f.hosts {
					assert.Equal(t, len(h.tracker.verdicts), 0)
				}
			}
		})
	}
}

// Guards against a sound part staying quarantined: an answer that begins, here on
// the trial, releases it at all hosts.
func TestFalseQuarantineEndsByItself(t *testing.T) {
	f := newSimulatedFleet(1, 5, 12, 0)
	const sound = 77
	f.hosts[0].tracker.decide(f.now, sound, Quarantined, "test")
	f.run(firstTerm+10*turnTime, func() {
		if f.chance(5) {
			f.send(popularPart, sound)
		}
	})
	for i, h := range f.hosts {
		assert.Equal(t, h.tracker.verdicts[sound].State, Released, "host %d", i)
	}
	assert.Assert(t, f.refused[sound] > 0)
}

// Guards against a quarantine without end of a part that no request has any more,
// and against a deadly part that returns after it getting three more servers.
func TestQuarantineWithoutTrialLapses(t *testing.T) {
	f := newSimulatedFleet(1, 3, 12, 1)
	f.hosts[0].tracker.decide(f.now, firstDeadly, Quarantined, "test")
	f.run(firstTerm+lapseTime+2*time.Second, func() {})
	for _, h := range f.hosts {
		assert.Equal(t, h.tracker.verdicts[firstDeadly].State, Lapsed)
	}
	f.run(30*time.Second, func() {
		if f.chance(0.5) {
			f.send(popularPart, firstDeadly)
		}
	})
	assert.Assert(t, len(f.deadly[firstDeadly].arrived) <= 2, "%d", len(f.deadly[firstDeadly].arrived))
	assert.Equal(t, f.hosts[0].tracker.verdicts[firstDeadly].Term, termFactor*firstTerm)
}

// Guards against the sound requests of a subject being refused because every
// request with a deadly part has that subject too.
func TestSoundRequestsOfTheSameSubjectAreServed(t *testing.T) {
	const subject = 50
	for seed := range uint64(seeds) {
		f := newSimulatedFleet(seed, 5, 12, 1)
		f.run(40*time.Second, func() {
			if f.chance(2.3) {
				f.send(popularPart, subject, firstDeadly)
			}
			if f.chance(0.4) {
				f.send(popularPart, subject)
			}
		})
		f.checkDeadly(t)
		assert.Equal(t, f.refused[subject], 0, "seed %d", seed)
		assert.Equal(t, f.refused[firstDeadly], 0)
	}
}
