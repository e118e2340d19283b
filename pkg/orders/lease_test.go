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

func (g *register) apply(observed, next Record) {
	if g.record == observed {
		g.record = next
	}
}

// router is a candidate with a clock of its own rate and a delayed view.
type router struct {
	candidate *Candidate
	rate      float64
	cutOff    bool
	delivery  []delivery
}

type delivery struct {
	at   float64 // true time, seconds
	made Record
}

var epoch = time.Unix(1_000_000, 0)

func (r *router) clock(trueSeconds float64) time.Time {
	return epoch.Add(time.Duration(trueSeconds * r.rate * float64(time.Second)))
}

// Guards against two routers that give orders at the same time to an engine
// that ignores fencing numbers, with clock rates up to the margin apart, lost
// and delayed answers, and routers that are cut off and return.
func TestOneHolderAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := &register{}
		routers := make([]*router, 3)
		for i := range routers {
			rate := rapid.Float64Range(1-ClockRateMargin/2+0.003, 1+ClockRateMargin/2-0.003).Draw(t, "rate")
			routers[i] = &router{candidate: NewCandidate(string(rune('a' + i))), rate: rate}
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
			orders += checkHolders(t, routers, now)
		}
		if orders == 0 {
			t.Fatal("no router ever held the lease")
		}
	})
}

func advance(t *rapid.T, log *register, r *router, now float64) {
	clock := r.clock(now)
	for len(r.delivery) > 0 && r.delivery[0].at <= now {
		r.candidate.Committed(clock, r.delivery[0].made)
		r.delivery = r.delivery[1:]
	}
	if r.cutOff {
		return
	}
	r.candidate.Observe(clock, log.record)
	step, next := r.candidate.Next(clock)
	if step == StepNone {
		return
	}
	r.candidate.Sent(clock)
	log.apply(r.candidate.record, next)
	if rapid.IntRange(0, 5).Draw(t, "lost") == 0 {
		r.candidate.Failed()
		return
	}
	delay := rapid.Float64Range(0, 2).Draw(t, "delay")
	r.delivery = append(r.delivery, delivery{now + delay, log.record})
}

// checkHolders fails if two routers may have an order under way: one that may
// begin an order now, and one whose order of the last OrderTimeout is not over.
func checkHolders(t *rapid.T, routers []*router, now float64) int {
	holders := 0
	for _, r := range routers {
		if r.clock(now).Before(r.candidate.validUntil) {
			holders++
		}
	}
	if holders > 1 {
		t.Fatalf("%d holders at %.1f s", holders, now)
	}
	return holders
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
