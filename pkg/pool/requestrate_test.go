package pool

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/result"
)

func draftAsk() Ask { return Ask{Router: router, Class: draft} }

func pointer(v float64) *float64 { return &v }

// Guards against more requests than a server has stated, against requests beyond it after
// unused grants, and against a limit that is not used while work waits.
func TestLimitedServerGetsWhatItStates(t *testing.T) {
	for i, limit := range []float64{0, 0.1, 0.7, 2, 3.9, 12.5, 40, 90} {
		for _, unused := range []float64{0, 0.3} {
			t.Run(fmt.Sprintf("%g/%g", limit, unused), func(t *testing.T) {
				s := newRateSim(t, uint64(i+1), simOwner(t, shardA, 2, "s1", "s2"))
				limited, free := s.addServer("s1", 0), s.addServer("s2", 0)
				s.unused = unused
				s.run(3*time.Second, map[string]int{"w": 200}, draftAsk)
				limited.limit = pointer(limit)
				statedAt := s.now
				s.run(40*time.Second, map[string]int{"w": 200}, draftAsk)
				from := statedAt.Add(600 * time.Millisecond)
				limited.checkWindows(t, from, s.now, limit)
				got, seconds := limited.arrivalsBetween(from, s.now), s.now.Sub(from).Seconds()
				assert.Assert(t, float64(got) >= 0.95*limit*seconds-2, "%d requests in %g s", got, seconds)
				assert.Assert(t, got > 0, "no probe")
				if limit < minRequestRate {
					assert.Assert(t, got <= 10, "%d probes in %g s", got, seconds)
				}
				assert.Assert(t, float64(free.arrivalsBetween(from, s.now)) >= 0.9*seconds*64/0.35*(1-unused), "slots of the other server were idle")
			})
		}
	}
}

// Guards against a limit that holds after it has ended or has been raised, and against one
// that is passed after it was lowered.
func TestLimitChangesAndEnds(t *testing.T) {
	for seed := uint64(1); seed <= 10; seed++ {
		s := newRateSim(t, seed, simOwner(t, shardA, 2, "s1"))
		v := s.addServer("s1", 0)
		for range 6 {
			limit := []float64{0, 1, 4, 15, 50}[s.rng.IntN(5)]
			v.limit = pointer(limit)
			// A limit near 0 shows with the next probe that another one has come.
			s.run(7*time.Second, map[string]int{"w": 100}, draftAsk)
			from := s.now
			s.run(10*time.Second, map[string]int{"w": 100}, draftAsk)
			v.checkWindows(t, from, s.now, limit)
			got := v.arrivalsBetween(from, s.now)
			assert.Assert(t, float64(got) >= 0.9*limit*10-2, "%d requests at limit %g", got, limit)
		}
		v.limit = nil
		s.run(7*time.Second, map[string]int{"w": 100}, draftAsk)
		from := s.now
		s.run(5*time.Second, map[string]int{"w": 100}, draftAsk)
		assert.Assert(t, v.arrivalsBetween(from, s.now) > 700, "the limit holds after it has ended")
		assert.Assert(t, s.owners[0].Snapshot().Servers[0].RequestLimit == nil)
	}
}

// Guards against a workspace that gets more requests to limited servers than another one,
// because it has more asks waiting or asks for the rest of streams.
func TestLimitKeepsSharesEven(t *testing.T) {
	for _, takesUp := range []bool{false, true} {
		s := newRateSim(t, 1, simOwner(t, shardA, 2, "s1", "s2"))
		s.addServer("s1", 0).limit = pointer(8)
		s.addServer("s2", 0).limit = pointer(3)
		s.run(2*time.Second, map[string]int{"a": 5, "b": 100}, draftAsk)
		s.served = map[string]int{}
		s.run(60*time.Second, map[string]int{"a": 5, "b": 100}, func() Ask {
			a := draftAsk()
			a.TakesUp = takesUp
			return a
		})
		a, b := s.served["a"], s.served["b"]
		assert.Assert(t, a+b >= 600, "%d and %d of 660 requests", a, b)
		assert.Assert(t, max(a, b)-min(a, b) <= 33, "%d and %d requests", a, b)
	}
}

// Guards against a limit that is lost with a planned hand-over, or doubled by it.
func TestLimitMovesWithHandover(t *testing.T) {
	s := newRateSim(t, 1, simOwner(t, shardA, 2, "s1"))
	v := s.addServer("s1", 0, 1, 2, 3)
	v.limit = pointer(5)
	s.run(5*time.Second, map[string]int{"w": 50}, draftAsk)
	from := s.now
	for epoch := uint64(3); epoch <= 5; epoch++ {
		old := s.owners[len(s.owners)-1]
		h := old.Handover()
		h = reencode(t, h)
		next := newOwner(shardA, epoch)
		s.silent[len(s.owners)-1] = true
		s.owners, s.silent = append(s.owners, next), append(s.silent, false)
		next.AcceptHandover(s.now, h)
		assert.Equal(t, *next.Snapshot().Servers[0].RequestLimit, 5.0)
		s.run(time.Second, map[string]int{"w": 50}, draftAsk)
	}
	s.run(6*time.Second, map[string]int{"w": 50}, draftAsk)
	v.checkWindows(t, from, s.now, 5)
	assert.Assert(t, v.arrivalsBetween(from, s.now) >= 40)
}

// reencode returns a copy, so that owners share nothing.
func reencode(t *testing.T, h Handover) Handover {
	t.Helper()
	text, err := json.Marshal(h)
	assert.NilError(t, err)
	var out Handover
	assert.NilError(t, json.Unmarshal(text, &out))
	return out
}

// Guards against a new owner without a hand-over that grants without the limit which the
// routers have heard, in any order of their reports and the announcement.
func TestNewOwnerTakesLimitsFromRouters(t *testing.T) {
	const age, longAge = 30 * time.Second, 5 * time.Minute
	limited := LimitStatement{Server: "s1", BootID: 1, Limited: true, PerSecond: 2, Age: age, SentAge: age + time.Second}
	ended := LimitStatement{Server: "s1", BootID: 1, Age: time.Second, SentAge: 2 * time.Second}
	older := limited
	older.Age, older.SentAge = longAge, longAge+time.Second
	earlierEnd := ended
	earlierEnd.Age, earlierEnd.SentAge = longAge, longAge+time.Second
	for i, c := range []struct {
		reports []LimitStatement
		limited bool
	}{
		{[]LimitStatement{limited}, true},
		{[]LimitStatement{limited, older}, true},
		{[]LimitStatement{limited, ended}, false},
		{[]LimitStatement{ended, limited}, false},
		{[]LimitStatement{earlierEnd, limited}, true},
		{[]LimitStatement{limited, earlierEnd}, true},
		{[]LimitStatement{{Server: "s1", BootID: 9, Limited: true, PerSecond: 2}}, false},
	} {
		for announcedAt := range len(c.reports) + 1 {
			o := newOwner(shardA, 2)
			for n := range len(c.reports) + 1 {
				if n == announcedAt {
					o.HandleAnnouncement(start, announce("s1", 0))
				}
				if n < len(c.reports) {
					o.HandleLimitStatement(start, c.reports[n])
				}
			}
			assert.Equal(t, o.Snapshot().Servers[0].RequestLimit != nil, c.limited, "case %d, announced before report %d", i, announcedAt)
		}
	}
}

// Guards against an outdated limit that counts beside a newer one, in any order of the reports
// of two routers.
func TestNewerOfTwoReportedLimitsCounts(t *testing.T) {
	newer := LimitStatement{Server: "s1", BootID: 1, Limited: true, PerSecond: 8, Age: 2 * time.Second, SentAge: 3 * time.Second}
	older := LimitStatement{Server: "s1", BootID: 1, Limited: true, PerSecond: 3, Age: 4 * time.Minute, SentAge: 5 * time.Minute}
	for _, reports := range [][]LimitStatement{{newer, older}, {older, newer}} {
		o, now := newGrantingOwner("s1")
		for _, st := range reports {
			o.HandleLimitStatement(now, st)
		}
		o.Tick(now)
		assert.Equal(t, *o.Snapshot().Servers[0].RequestLimit, 8.0)
	}
}

// Guards against a caller of NextTick that sleeps while a limited server may get a request
// again.
func TestNextTickIsNotAfterTheNextRequest(t *testing.T) {
	o, now := newGrantingOwner("s1")
	o.HandleLimitStatement(now, LimitStatement{Server: "s1", BootID: 1, Limited: true, PerSecond: 8})
	o.Ask(now, ask(1, "w", draft, now))
	next := o.NextTick()
	assert.Equal(t, next.Sub(now), 125*time.Millisecond)
	o.Tick(next)
	assert.Equal(t, len(o.TakeOutput().Grants), 1)
}

// Guards against a limit that a new process under the same name inherits, by its boot id or
// by its count of requests, and against one that a late answer of the old process sets.
func TestNewProcessHasNoLimit(t *testing.T) {
	for _, sameBoot := range []bool{false, true} {
		o, now := newGrantingOwner()
		o.HandleAnnouncement(now, announce("s1", 10))
		o.HandleLimitStatement(now, LimitStatement{Server: "s1", BootID: 1, Limited: true, PerSecond: 1})
		assert.Assert(t, o.Snapshot().Servers[0].RequestLimit != nil)
		a := announce("s1", 0)
		if !sameBoot {
			a.BootID, a.Load.TotalRequests = 2, 20
		}
		o.HandleAnnouncement(now.Add(time.Second), a)
		assert.Assert(t, o.Snapshot().Servers[0].RequestLimit == nil)
		changes := o.TakeOutput().LimitChanges
		assert.Assert(t, changes[len(changes)-1].EndedByStart)
		if !sameBoot {
			o.HandleLimitStatement(now.Add(time.Second), LimitStatement{Server: "s1", BootID: 1, Limited: true, PerSecond: 1})
			assert.Assert(t, o.Snapshot().Servers[0].RequestLimit == nil)
		}
	}
}

// Guards against a limit that ends by an answer to a request sent before it was stated, and
// against a higher one that counts at once beside a lower one.
func TestLowestLimitOfTheLastSecondCounts(t *testing.T) {
	o, now := newGrantingOwner("s1")
	limit := func() float64 { return *o.Snapshot().Servers[0].RequestLimit }
	state := func(at time.Duration, perSecond float64) {
		o.HandleLimitStatement(now.Add(at), LimitStatement{Server: "s1", BootID: 1, Limited: true, PerSecond: perSecond})
	}
	state(0, 4)
	state(300*time.Millisecond, 10)
	state(600*time.Millisecond, 20)
	assert.Equal(t, limit(), 4.0)
	state(1100*time.Millisecond, 30)
	assert.Equal(t, limit(), 10.0)
	state(1200*time.Millisecond, 2)
	assert.Equal(t, limit(), 2.0)
	none := LimitStatement{Server: "s1", BootID: 1, SentAge: 200 * time.Millisecond}
	o.HandleLimitStatement(now.Add(1300*time.Millisecond), none)
	assert.Equal(t, limit(), 2.0)
	none.SentAge = 50 * time.Millisecond
	o.HandleLimitStatement(now.Add(1300*time.Millisecond), none)
	assert.Assert(t, o.Snapshot().Servers[0].RequestLimit == nil)
}

// Guards against owners of one shard that cannot see each other and send the whole limit each,
// and against one that leaves most of it unused after the loss of a router.
func TestOwnersThatCannotSeeEachOtherShareTheLimit(t *testing.T) {
	for _, parts := range [][]int{{1, 1}, {2, 1}, {2, 2}, {2, 1, 1}, {1, 1, 1}, {5, 4}, {1, 1, 1, 1}} {
		for _, limit := range []float64{0, 1, 20, 120} {
			known := 0
			for _, n := range parts {
				known += n
			}
			s := newRateSim(t, 1)
			s.slot = 60 * time.Millisecond // an owner gets a part of the slots, too
			v := s.addServer("s1")
			for i, live := range parts {
				o := simOwner(t, shardA, uint64(i+2), "s1")
				o.SetKnownRouters(start, known, live, i)
				s.owners, s.silent, v.owners = append(s.owners, o), append(s.silent, false), append(v.owners, i)
			}
			v.limit = pointer(limit)
			s.run(2*time.Second, map[string]int{"w": 100}, draftAsk)
			from := s.now
			s.run(20*time.Second, map[string]int{"w": 100}, draftAsk)
			s.run(3*time.Second, nil, draftAsk)
			s.run(6*time.Second, map[string]int{"w": 100}, draftAsk)
			v.checkWindows(t, from, s.now, limit)
			if 2*parts[0] < known || limit > 20 {
				continue
			}
			for i := range parts[1:] {
				s.silent[i+1] = true
			}
			s.run(time.Second, map[string]int{"w": 100}, draftAsk)
			from = s.now
			s.run(20*time.Second, map[string]int{"w": 100}, draftAsk)
			assert.Assert(t, float64(v.arrivalsBetween(from, s.now)) >= 0.6*limit*20-2)
		}
	}
}

// Guards against loans to another data centre beyond the limit of the lent server, and
// against an answer there whose limit does not reach the lender.
func TestLoansCountAgainstTheLimit(t *testing.T) {
	s := newRateSim(t, 1, simOwner(t, shardA, 2, "s1"), simOwner(t, shardB, 2))
	v := s.addServer("s1", 0)
	s.run(3*time.Second, map[string]int{"w": 50}, draftAsk)
	v.limit = pointer(6)
	s.silent[0] = false
	s.run(time.Second, map[string]int{"w": 50}, draftAsk)
	from := s.now
	s.run(20*time.Second, map[string]int{"w": 50}, draftAsk)
	v.checkWindows(t, from, s.now, 6)
	assert.Assert(t, v.arrivalsBetween(from, s.now) >= 108, "%d", v.arrivalsBetween(from, s.now))

	// Work at the borrower only: nobody else hears the limit.
	a, now := newGrantingOwner("s1")
	a.HandleSummary(now, Summary{From: shardB, Epoch: 1, Waiting: 1, Lowest: []WaitingValue{{Value: 0, Count: 1}}})
	b := newOwner(shardB, 1)
	b.Tick(now)
	b.Ask(now, ask(1, "w", draft, now))
	b.HandleLoan(now, a.TakeOutput().Loans[0])
	g := b.TakeOutput().Grants[0]
	b.HandleLimitStatement(now, LimitStatement{Server: "s1", BootID: 1, Limited: true, PerSecond: 3, GrantID: g.GrantID, Epoch: g.Epoch})
	out := b.TakeOutput()
	assert.Equal(t, len(out.ForwardedLimits), 1)
	assert.Equal(t, out.ForwardedLimits[0].To, shardA)
	a.HandleLimitStatement(now, out.ForwardedLimits[0].Statement)
	assert.Equal(t, *a.Snapshot().Servers[0].RequestLimit, 3.0)
	a.HandleSummary(now.Add(time.Second), Summary{From: shardB, Epoch: 1, Waiting: 1, Lowest: []WaitingValue{{Value: 0, Count: 1}}})
	assert.Assert(t, a.TakeOutput().Loans[0].Limited, "a router of the borrower would not report the end of the limit")
}

// Guards against a request that waits for a limited server although its class may not wait
// that long, and against a retry time before the server takes it.
func TestAskBeyondTheLimitIsRefusedAtOnce(t *testing.T) {
	s := newRateSim(t, 1, simOwner(t, shardA, 2, "s1"))
	s.addServer("s1", 0).limit = pointer(2)
	s.run(10*time.Second, map[string]int{"w": 12}, draftAsk)
	o := s.owners[0]
	// 60 asks with this deadline wait: the server takes 2 of them a second.
	var refused []Refusal
	for id := uint64(100_000); id < 100_060; id++ {
		o.Ask(s.now, ask(id, fmt.Sprintf("w%d", id%4), chat, s.now))
		refused = append(refused, o.TakeOutput().Refusals...)
	}
	assert.Assert(t, len(refused) >= 60-2*2-4, "%d refusals", len(refused))
	last := refused[len(refused)-1]
	assert.Equal(t, last.Code, result.TargetUnreachable)
	assert.Assert(t, last.RetryAfter >= 15*time.Second, "%s", last.RetryAfter)
}

// Guards against free slots of a limited server that a summary offers to other data centres.
func TestSummaryCountsTheLimit(t *testing.T) {
	o, now := newGrantingOwner("s1")
	assert.Equal(t, o.freeSlots(), 2)
	o.HandleLimitStatement(now, LimitStatement{Server: "s1", BootID: 1, Limited: true, PerSecond: 1})
	assert.Equal(t, o.freeSlots(), 0)
	o.Tick(now.Add(time.Second))
	assert.Equal(t, o.freeSlots(), 1)
}

// Guards against more requests to a cold limited server than to a cold one.
func TestLimitDoesNotPassTheColdLimit(t *testing.T) {
	o, now := newGrantingOwner("s1")
	o.HandleLimitStatement(now, LimitStatement{Server: "s1", BootID: 1, Limited: true, PerSecond: 1000})
	now = now.Add(100 * time.Millisecond)
	for id := uint64(1); id <= 9; id++ {
		o.Ask(now, ask(id, "w", draft, now))
	}
	assert.Equal(t, len(o.TakeOutput().Grants), 2)
}

// Guards against the rest of broken streams that is requested beyond the limit, and against
// one that gives way to new requests.
func TestSendsOfRunningRequestsCountAgainstTheLimit(t *testing.T) {
	o, now := newGrantingOwner("s1")
	again := func(id uint64, wait bool) Ask {
		a := ask(id, "w", draft, now)
		a.SendTo, a.TakesUp = "s1", wait
		return a
	}
	o.Ask(now, again(1, true))
	assert.Equal(t, o.TakeOutput().Grants[0].GrantID, uint64(0))
	o.HandleLimitStatement(now, LimitStatement{Server: "s1", BootID: 1, Limited: true, PerSecond: 2})
	o.Ask(now, ask(2, "w", draft, now))
	o.Ask(now, again(3, true))
	o.Ask(now, again(3, true)) // repeated after a new connection
	o.Ask(now, again(4, false))
	o.Ask(now, again(5, true))
	o.Cancel(now, router, 5)
	out := o.TakeOutput()
	assert.Equal(t, len(out.Grants), 0)
	assert.Equal(t, out.Refusals[0].RequestID, uint64(4))
	var order []string
	for ms := 10; ms <= 1100; ms += 10 {
		o.Tick(now.Add(time.Duration(ms) * time.Millisecond))
		for _, g := range o.TakeOutput().Grants {
			order = append(order, fmt.Sprintf("%d at %d ms", g.RequestID, ms))
		}
	}
	assert.DeepEqual(t, order, []string{"3 at 500 ms", "2 at 1000 ms"})
	assert.Equal(t, o.Snapshot().Servers[0].InFlight, 1)
	// One that need not wait takes the only request that the server may get.
	later := now.Add(1600 * time.Millisecond)
	for id := uint64(8); id <= 9; id++ {
		o.Ask(later, again(id, false))
	}
	out = o.TakeOutput()
	assert.Equal(t, len(out.Grants), 1)
	assert.Equal(t, len(out.Refusals), 1)
	// One that cannot be sent in time is refused.
	o.HandleLimitStatement(now.Add(2*time.Second), LimitStatement{Server: "s1", BootID: 1, Limited: true})
	o.Ask(now.Add(2*time.Second), again(6, true))
	o.Ask(now.Add(2*time.Second), again(7, true))
	o.Tick(now.Add(2*time.Second + maxSendWait))
	assert.Assert(t, len(o.TakeOutput().Refusals) >= 1)
}

// Guards against requests of a calm time that a limited server gets all at once later.
func TestLimitDoesNotAccumulate(t *testing.T) {
	for _, limit := range []float64{0, 1, 10} {
		s := newRateSim(t, 1, simOwner(t, shardA, 2, "s1"))
		v := s.addServer("s1", 0)
		v.limit = pointer(limit)
		s.run(2*time.Second, map[string]int{"w": 10}, draftAsk)
		from := s.now
		s.run(20*time.Second, nil, draftAsk) // what waits is served in this time
		s.run(15*time.Second, nil, draftAsk)
		s.run(5*time.Second, map[string]int{"w": 100}, draftAsk)
		v.checkWindows(t, from, s.now, limit)
	}
}

// Guards against a limited server that stays idle after a loan was returned unused.
func TestUnusedLoanReturnsItsRequest(t *testing.T) {
	o, now := newGrantingOwner("s1")
	o.HandleLimitStatement(now, LimitStatement{Server: "s1", BootID: 1, Limited: true, PerSecond: 0.5})
	now = now.Add(2 * time.Second)
	o.HandleAnnouncement(now, announce("s1", 0))
	o.HandleSummary(now, Summary{From: shardB, Epoch: 1, Waiting: 1, Lowest: []WaitingValue{{Value: 0, Count: 1}}})
	l := o.TakeOutput().Loans
	assert.Equal(t, len(l), 1)
	o.Ask(now, ask(1, "w", draft, now))
	assert.Equal(t, len(o.TakeOutput().Grants), 0, "the loan counts against the limit")
	o.HandleLoanReturn(now, LoanReturn{From: shardB, To: shardA, LoanID: l[0].LoanID, Epoch: l[0].Epoch, Unused: 1})
	assert.Equal(t, len(o.TakeOutput().Grants), 1)
}

// Guards against a router that does not report an answer without a limit, because it is not
// told that the server was limited: at a server of its own data centre, at a borrowed one, and
// when the grant is repeated.
func TestGrantsTellThatTheServerIsLimited(t *testing.T) {
	for _, limited := range []bool{false, true} {
		o, now := newGrantingOwner("s1")
		if limited {
			o.HandleLimitStatement(now, LimitStatement{Server: "s1", BootID: 1, Limited: true, PerSecond: 100})
			now = now.Add(100 * time.Millisecond)
		}
		o.Ask(now, ask(1, "w", draft, now))
		o.Ask(now, ask(1, "w", draft, now))
		for _, g := range o.TakeOutput().Grants {
			assert.Equal(t, g.Limited, limited)
		}
		b := newOwner(shardB, 1)
		b.Tick(now)
		b.Ask(now, ask(1, "w", draft, now))
		b.HandleLoan(now, Loan{From: shardA, To: shardB, LoanID: 1, Epoch: 1, Server: "s1", Address: "127.0.0.1:1", BootID: 1, Slots: 1, Limited: limited})
		assert.Equal(t, b.TakeOutput().Grants[0].Limited, limited)
	}
}
