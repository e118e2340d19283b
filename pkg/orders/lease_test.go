package orders

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "jackdawtrack.example/jackdawtrack/internal/fixedseed" // same verdict on every run
)

// register is the oracle for the control log: one record with compare-and-set.
type register struct{ record Record }

func (g *register) apply(observed, next Record) bool {
	if g.record != observed {
		return false
	}
	g.record = next
	return true
}

// router is a candidate with a clock of its own rate and a delayed view.
type router struct {
	candidate *Candidate
	rate      float64
	late      int     // sees the log at one of late+1 steps
	travel    float64 // longest time of a message, seconds
	cutOff    bool
	open      []*proposal
	orderEnds float64 // true time, seconds, when its last order is over
}

// proposal is a message on its way to the log, then its answer.
type proposal struct {
	at             float64 // true time of arrival, seconds
	back           float64 // true time of the answer
	observed, next Record
	arrived        bool
	applied        bool
	present        Record
	lost           bool    // the answer never comes
	gaveUp         float64 // true time when the router takes it for lost
	failed         bool
}

var epoch = time.Unix(1_000_000, 0)

func (r *router) clock(trueSeconds float64) time.Time {
	return epoch.Add(time.Duration(trueSeconds * r.rate * float64(time.Second)))
}

// Guards against two orders at the same time to an engine that ignores fencing
// numbers, from routers with different views of the lease: clock rates up to
// the margin apart, records seen late, proposals that are lost, that arrive
// after their router gave up or whose answer is lost, and routers that are cut
// off and return.
func TestOneHolderAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := &register{}
		routers := make([]*router, 3)
		for i := range routers {
			rate := rapid.Float64Range(1-ClockRateMargin/2+0.003, 1+ClockRateMargin/2-0.003).Draw(t, "rate")
			routers[i] = &router{candidate: NewCandidate(string(rune('a' + i))), rate: rate}
			routers[i].late = rapid.SampledFrom([]int{0, 2, 20}).Draw(t, "late")
			routers[i].travel = rapid.SampledFrom([]float64{0.05, 3}).Draw(t, "travel")
		}
		const step = 0.1 // seconds
		orders := 0
		for tick := range 600 {
			now := float64(tick) * step
			for _, r := range routers {
				if rapid.IntRange(0, 40).Draw(t, "cut") == 0 {
					r.cutOff = !r.cutOff
				}
				advance(t, log, r, now)
			}
			checkHolders(t, routers, now)
			orders += order(t, routers, now)
		}
		if orders == 0 {
			t.Fatal("no router ever gave an order")
		}
	})
}

func advance(t *rapid.T, log *register, r *router, now float64) {
	clock := r.clock(now)
	deliver(log, r, now)
	if r.cutOff {
		return
	}
	if rapid.IntRange(0, r.late).Draw(t, "sees") == 0 {
		r.candidate.Observe(clock, log.record)
	}
	step, next := r.candidate.Next(clock)
	if step == StepNone {
		return
	}
	r.candidate.Sent(clock)
	p := &proposal{observed: r.candidate.record, next: next, lost: rapid.IntRange(0, 2).Draw(t, "lost") == 0}
	p.at = now + rapid.Float64Range(0, r.travel).Draw(t, "there")
	p.back = p.at + rapid.Float64Range(0, r.travel).Draw(t, "back")
	p.gaveUp = now + rapid.Float64Range(0, 4).Draw(t, "patience")
	r.open = append(r.open, p)
}

// deliver applies proposals that reach the log and gives answers back.
func deliver(log *register, r *router, now float64) {
	var rest []*proposal
	for _, p := range r.open {
		if !p.arrived && p.at <= now {
			p.arrived, p.applied = true, log.apply(p.observed, p.next)
			p.present = log.record
		}
		if p.lost && !p.failed && p.gaveUp <= now {
			p.failed = true
			r.candidate.Failed()
		}
		switch {
		case p.back > now || p.lost && !(p.failed && p.arrived):
			rest = append(rest, p)
		case p.lost:
		case p.applied:
			r.candidate.Committed(r.clock(now), p.present)
		default:
			r.candidate.Refused(r.clock(now), p.present)
		}
	}
	r.open = rest
}

// checkHolders fails if two routers hold the lease.
func checkHolders(t *rapid.T, routers []*router, now float64) {
	holders := 0
	for _, r := range routers {
		if r.clock(now).Before(r.candidate.validUntil) {
			holders++
		}
	}
	if holders > 1 {
		t.Fatalf("%d holders at %.1f s", holders, now)
	}
}

// order lets every router that may give an order do so, for as long as an order
// can take, and fails if the order of another router is not over.
func order(t *rapid.T, routers []*router, now float64) int {
	given := 0
	for _, r := range routers {
		if _, ok := r.candidate.Number(r.clock(now)); !ok {
			continue
		}
		given++
		r.orderEnds = now + OrderTimeout.Seconds()/r.rate
		for _, other := range routers {
			if other != r && other.orderEnds > now {
				t.Fatalf("two orders at %.1f s, one until %.1f s", now, other.orderEnds)
			}
		}
	}
	return given
}

// Guards against a lease that counts from a second proposal although the first
// one, whose answer was lost, made the record: a successor has seen the record
// for longer, and both would give orders.
func TestRecordOfLostProposalGrantsNothing(t *testing.T) {
	c := NewCandidate("a")
	c.Observe(epoch, Record{Server: "s"})
	_, next := c.Next(epoch)
	c.Sent(epoch)
	c.Failed()
	later := epoch.Add(LeaseDuration)
	_, again := c.Next(later)
	assert.Equal(t, again, next)
	c.Sent(later)
	c.Refused(later, next)
	_, ok := c.Number(later)
	assert.Assert(t, !ok)
	step, _ := c.Next(later)
	assert.Equal(t, step, StepAcquire)
}

// Guards against a lease that nobody takes over after its holder is gone.
func TestTakeoverAfterHolderIsGone(t *testing.T) {
	c := NewCandidate("b")
	now := epoch
	c.Observe(now, Record{Server: "s", Number: 4, Holder: "a"})
	step, _ := c.Next(now.Add(LeaseDuration))
	assert.Equal(t, step, StepNone)
	now = now.Add(takeoverWait)
	step, next := c.Next(now)
	assert.Equal(t, step, StepAcquire)
	c.Sent(now)
	c.Committed(now.Add(time.Second), next)
	number, ok := c.Number(now.Add(time.Second))
	assert.Assert(t, ok)
	assert.Equal(t, number, uint64(5))
	_, ok = c.Number(now.Add(LeaseDuration - OrderTimeout + 1))
	assert.Assert(t, !ok, "an order could arrive after the lease has ended")
}
