// Package orders decides who may give orders to a BackendServer and when:
// orders to load a model, adapter or version, or to change role.
//
// Some engines refuse an order with an old fencing number, others ignore the
// number. For the latter the lease alone keeps two holders apart. It needs no
// synchronized clocks: a holder counts from before it sent the renewal, a
// successor counts from after it saw the renewal, and the margin covers the
// difference between the rates of their clocks.
package orders

import "time"

const (
	// LeaseDuration is how long a holder may give orders after it sent a
	// renewal that was committed.
	LeaseDuration = 5 * time.Second

	// RenewInterval is how often a holder renews.
	RenewInterval = LeaseDuration / 3

	// ClockRateMargin is the largest difference between the rates of two
	// clocks that the lease allows for.
	ClockRateMargin = 0.10

	// takeoverWait is how long a record must stand unchanged, by the clock of
	// the successor, before the successor may take it.
	takeoverWait = time.Duration(float64(LeaseDuration) * (1 + ClockRateMargin))

	// OrderTimeout bounds the delivery of one order. An order is not begun
	// with less time left, so that none arrives after the lease has ended.
	OrderTimeout = time.Second
)

// Record is the state of a lease in the control log.
type Record struct {
	Server  string
	Number  uint64 // fencing number, rises with every new holder
	Holder  string // router name and incarnation
	Renewal uint64 // rises with every renewal of the same holder
}

// Step is what a candidate proposes to the control log next.
type Step int

// Steps of a candidate.
const (
	StepNone    Step = iota
	StepRenew        // same number, next renewal
	StepAcquire      // next number, this holder
)

// Candidate is the view of one lease by one router. It is a pure state
// machine: times come from the monotonic clock of its router.
type Candidate struct {
	self       string
	record     Record
	seenAt     time.Time // when this router first saw the present record
	seen       bool
	pendingAt  time.Time // when the open proposal was sent
	pending    bool
	validUntil time.Time // end of the lease by the clock of this router
	nextRenew  time.Time
}

// NewCandidate returns a candidate without a lease.
func NewCandidate(self string) *Candidate {
	return &Candidate{self: self}
}

// Observe takes the record of the control log as this router sees it. Older
// records are ignored.
func (c *Candidate) Observe(now time.Time, r Record) {
	if c.seen && !newer(r, c.record) {
		return
	}
	c.record = r
	c.seenAt = now
	c.seen = true
	if r.Holder != c.self {
		c.validUntil = time.Time{}
	}
}

func newer(a, b Record) bool {
	if a.Number != b.Number {
		return a.Number > b.Number
	}
	return a.Renewal > b.Renewal
}

// Next returns what to propose now and the record to propose. The proposal
// must be applied only if the log still holds the record that was observed.
func (c *Candidate) Next(now time.Time) (Step, Record) {
	if c.pending || !c.seen {
		return StepNone, Record{}
	}
	if c.record.Holder == c.self && now.Before(c.validUntil) {
		return c.renewal(now)
	}
	// A record of this router was written after the takeover wait, so taking
	// it again after a lost answer cannot overlap another holder.
	free := c.record.Holder == "" || c.record.Holder == c.self
	if !free && now.Sub(c.seenAt) < takeoverWait {
		return StepNone, Record{}
	}
	next := Record{Server: c.record.Server, Number: c.record.Number + 1, Holder: c.self}
	return StepAcquire, next
}

func (c *Candidate) renewal(now time.Time) (Step, Record) {
	if now.Before(c.nextRenew) {
		return StepNone, Record{}
	}
	next := c.record
	next.Renewal++
	return StepRenew, next
}

// Observed returns the record that a proposal of Next compares with.
func (c *Candidate) Observed() Record { return c.record }

// Sent marks that the proposal of Next left this router at that time.
func (c *Candidate) Sent(now time.Time) {
	c.pending = true
	c.pendingAt = now
}

// Committed takes the record that the open proposal made. It must be called
// only if this very proposal was applied: the lease counts from its sending,
// and a record that an earlier, lost proposal made may be older.
func (c *Candidate) Committed(now time.Time, r Record) {
	sentAt := c.pendingAt
	c.pending = false
	c.Observe(now, r)
	if r.Holder != c.self || r != c.record {
		return
	}
	c.validUntil = sentAt.Add(LeaseDuration)
	c.nextRenew = sentAt.Add(RenewInterval)
}

// Refused ends a proposal that was not applied and takes the record that the
// log holds instead. It grants nothing, also if that record is an own one.
func (c *Candidate) Refused(now time.Time, present Record) {
	c.pending = false
	c.Observe(now, present)
}

// Failed ends a proposal whose fate is not known. The record may hold it, so
// it grants nothing until it is observed and committed anew.
func (c *Candidate) Failed() { c.pending = false }

// Number returns the fencing number for an order that begins now, and false if
// this router may not begin one.
func (c *Candidate) Number(now time.Time) (uint64, bool) {
	if !c.seen || c.record.Holder != c.self {
		return 0, false
	}
	if now.Add(OrderTimeout).After(c.validUntil) {
		return 0, false
	}
	return c.record.Number, true
}
