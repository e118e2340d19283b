package orders

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "jackdawtrack.example/jackdawtrack/internal/fixedseed" // deterministic property tests
)

// casRegister is the reference model of the control log: one record with
// compare-and-set.
type casRegister struct{ record LeaseRecord }

func (g *casRegister) apply(observed, next LeaseRecord) bool {
	if g.record != observed {
		return false
	}
	g.record = next
	return true
}

// testRouter is a candidate with its own clock rate and a delayed view of the
// log.
type testRouter struct {
	candidate       *LeaseCandidate
	clockRate       float64
	maxViewDelay    int     // observes the log in one of maxViewDelay+1 steps on average
	maxMessageDelay float64 // seconds
	partitioned     bool
	openProposals   []*proposal
	orderEndsAt     float64 // true time, seconds, when its last order ends
}

// proposal is a message to the log and the response to it.
type proposal struct {
	arrivesAt      float64 // true time, seconds
	answerAt       float64 // true time, seconds
	observed, next LeaseRecord
	arrived        bool
	applied        bool
	current        LeaseRecord
	answerLost     bool    // the response never arrives
	timeoutAt      float64 // true time, seconds, when the router gives up
	timedOut       bool
}

var epoch = time.Unix(1_000_000, 0)

func (r *testRouter) localTime(trueSeconds float64) time.Time {
	return epoch.Add(time.Duration(trueSeconds * r.clockRate * float64(time.Second)))
}

// Guards against two concurrent orders to an engine that ignores fencing
// numbers, from routers with different views of the lease: clock rates up to
// the margin apart, records observed late, proposals that are lost, that arrive
// after their timeout or whose response is lost, and routers that are
// partitioned and return.
func TestAtMostOneLeaseHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := &casRegister{}
		routers := make([]*testRouter, 3)
		for i := range routers {
			clockRate := rapid.Float64Range(1-ClockRateMargin/2+0.003, 1+ClockRateMargin/2-0.003).Draw(t, "clock rate")
			routers[i] = &testRouter{candidate: NewLeaseCandidate(string(rune('a' + i))), clockRate: clockRate}
			routers[i].maxViewDelay = rapid.SampledFrom([]int{0, 2, 20}).Draw(t, "max view delay")
			routers[i].maxMessageDelay = rapid.SampledFrom([]float64{0.05, 3}).Draw(t, "max message delay")
		}
		const step = 0.1 // seconds
		orderCount := 0
		for tick := range 600 {
			now := float64(tick) * step
			for _, r := range routers {
				if rapid.IntRange(0, 40).Draw(t, "toggle partition") == 0 {
					r.partitioned = !r.partitioned
				}
				stepRouter(t, log, r, now)
			}
			checkSingleHolder(t, routers, now)
			orderCount += giveOrders(t, routers, now)
		}
		if orderCount == 0 {
			t.Fatal("no router sent an order")
		}
	})
}

func stepRouter(t *rapid.T, log *casRegister, r *testRouter, now float64) {
	localTime := r.localTime(now)
	deliverProposals(log, r, now)
	if r.partitioned {
		return
	}
	if rapid.IntRange(0, r.maxViewDelay).Draw(t, "observes") == 0 {
		r.candidate.ObserveRecord(localTime, log.record)
	}
	step, next := r.candidate.NextProposal(localTime)
	if step == ProposalNone {
		return
	}
	r.candidate.ProposalSent(localTime)
	p := &proposal{observed: r.candidate.record, next: next, answerLost: rapid.IntRange(0, 2).Draw(t, "response lost") == 0}
	p.arrivesAt = now + rapid.Float64Range(0, r.maxMessageDelay).Draw(t, "request delay")
	p.answerAt = p.arrivesAt + rapid.Float64Range(0, r.maxMessageDelay).Draw(t, "response delay")
	p.timeoutAt = now + rapid.Float64Range(0, 4).Draw(t, "timeout")
	r.openProposals = append(r.openProposals, p)
}

// deliverProposals applies proposals that arrive at the log and delivers
// responses.
func deliverProposals(log *casRegister, r *testRouter, now float64) {
	var undelivered []*proposal
	for _, p := range r.openProposals {
		if !p.arrived && p.arrivesAt <= now {
			p.arrived, p.applied = true, log.apply(p.observed, p.next)
			p.current = log.record
		}
		if p.answerLost && !p.timedOut && p.timeoutAt <= now {
			p.timedOut = true
			r.candidate.ProposalOutcomeUnknown()
		}
		switch {
		case p.answerAt > now || p.answerLost && !(p.timedOut && p.arrived):
			undelivered = append(undelivered, p)
		case p.answerLost:
		case p.applied:
			r.candidate.ProposalCommitted(r.localTime(now), p.current)
		default:
			r.candidate.ProposalRejected(r.localTime(now), p.current)
		}
	}
	r.openProposals = undelivered
}

// checkSingleHolder fails the test if two routers hold the lease.
func checkSingleHolder(t *rapid.T, routers []*testRouter, now float64) {
	holders := 0
	for _, r := range routers {
		if r.localTime(now).Before(r.candidate.validUntil) {
			holders++
		}
	}
	if holders > 1 {
		t.Fatalf("%d holders at %.1f s", holders, now)
	}
}

// giveOrders starts an order of the longest duration at every router that may
// send one, and fails the test if an order of another router has not ended.
func giveOrders(t *rapid.T, routers []*testRouter, now float64) int {
	given := 0
	for _, r := range routers {
		if _, ok := r.candidate.Number(r.localTime(now)); !ok {
			continue
		}
		given++
		r.orderEndsAt = now + OrderTimeout.Seconds()/r.clockRate
		for _, other := range routers {
			if other != r && other.orderEndsAt > now {
				t.Fatalf("two orders at %.1f s, one until %.1f s", now, other.orderEndsAt)
			}
		}
	}
	return given
}

// Guards against a lease that starts with a second proposal although the first
// one, whose response was lost, wrote the record: a successor has observed the
// record for longer, and both would send orders.
func TestLostProposalGrantsNoLease(t *testing.T) {
	c := NewLeaseCandidate("a")
	c.ObserveRecord(epoch, LeaseRecord{Server: "s"})
	_, next := c.NextProposal(epoch)
	c.ProposalSent(epoch)
	c.ProposalOutcomeUnknown()
	later := epoch.Add(LeaseDuration)
	_, again := c.NextProposal(later)
	assert.Equal(t, again, next)
	c.ProposalSent(later)
	c.ProposalRejected(later, next)
	_, ok := c.Number(later)
	assert.Assert(t, !ok)
	step, _ := c.NextProposal(later)
	assert.Equal(t, step, ProposalAcquire)
}

// Guards against a lease that is never taken over after its holder failed.
func TestTakeoverAfterLeaseExpires(t *testing.T) {
	c := NewLeaseCandidate("b")
	now := epoch
	c.ObserveRecord(now, LeaseRecord{Server: "s", Number: 4, Holder: "a"})
	step, _ := c.NextProposal(now.Add(LeaseDuration))
	assert.Equal(t, step, ProposalNone)
	now = now.Add(takeoverDelay)
	step, next := c.NextProposal(now)
	assert.Equal(t, step, ProposalAcquire)
	c.ProposalSent(now)
	c.ProposalCommitted(now.Add(time.Second), next)
	number, ok := c.Number(now.Add(time.Second))
	assert.Assert(t, ok)
	assert.Equal(t, number, uint64(5))
	_, ok = c.Number(now.Add(LeaseDuration - OrderTimeout + 1))
	assert.Assert(t, !ok, "an order could arrive after the lease has ended")
}
