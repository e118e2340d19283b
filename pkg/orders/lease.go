// Package orders implements the lease under which one router at a time may send
// orders to a BackendServer: orders to load a model, adapter or version, or to
// change its role.
//
// Some engines reject an order with an old fencing number, others ignore the
// number. For the latter, only the lease prevents two holders at once. It needs
// no synchronized clocks: the holder's lease starts when the holder sent the
// renewal, a successor's wait starts when the successor saw the renewal, and
// ClockRateMargin covers the difference between the rates of the two clocks.
package orders

import "time"

const (
	// LeaseDuration is how long the lease lasts, counted from the sending of a
	// renewal that was committed.
	LeaseDuration = 5 * time.Second

	// RenewInterval is how often a holder renews its lease.
	RenewInterval = LeaseDuration / 3

	// ClockRateMargin is the largest relative difference between the rates of
	// two routers' clocks under which the lease is safe.
	ClockRateMargin = 0.10

	// takeoverDelay is how long a record must be unchanged, by the successor's
	// clock, before the successor may take over the lease.
	takeoverDelay = time.Duration(float64(LeaseDuration) * (1 + ClockRateMargin))

	// OrderTimeout limits the delivery of one order. No order starts with less
	// time left on the lease, so that none arrives after its end.
	OrderTimeout = time.Second
)

// Record is the state of one lease in the replicated control log.
type Record struct {
	Server  string
	Number  uint64 // fencing number, increases with each new holder
	Holder  string // router name and incarnation
	Renewal uint64 // increases with each renewal by the same holder
}

// Step is the kind of proposal that a candidate sends next.
type Step int

// Kinds of proposals.
const (
	StepNone    Step = iota
	StepRenew        // same fencing number, next renewal
	StepAcquire      // next fencing number, this router as holder
)

// Candidate is one router's view of one lease, as a state machine without I/O.
// All times come from the monotonic clock of that router.
type Candidate struct {
	holder          string
	record          Record
	observedAt      time.Time // when this router first saw the current record
	hasObserved     bool
	proposedAt      time.Time // when the pending proposal was sent
	proposalPending bool
	validUntil      time.Time // end of the lease by this router's clock
	renewAt         time.Time
}

// NewCandidate returns a candidate for the given holder, without a lease.
func NewCandidate(holder string) *Candidate {
	return &Candidate{holder: holder}
}

// Observe updates the candidate with a record read from the control log. Older
// records are ignored.
func (c *Candidate) Observe(now time.Time, r Record) {
	if c.hasObserved && !isNewer(r, c.record) {
		return
	}
	c.record = r
	c.observedAt = now
	c.hasObserved = true
	if r.Holder != c.holder {
		c.validUntil = time.Time{}
	}
}

func isNewer(a, b Record) bool {
	if a.Number != b.Number {
		return a.Number > b.Number
	}
	return a.Renewal > b.Renewal
}

// Next returns the kind of proposal to send now, and the record to propose. The
// proposal must be applied only if the log still holds the record that Observed
// returns.
func (c *Candidate) Next(now time.Time) (Step, Record) {
	if c.proposalPending || !c.hasObserved {
		return StepNone, Record{}
	}
	if c.record.Holder == c.holder && now.Before(c.validUntil) {
		return c.nextRenewal(now)
	}
	// A record of this router was written after takeoverDelay, so acquiring the
	// lease again after a lost response cannot overlap another holder.
	acquirable := c.record.Holder == "" || c.record.Holder == c.holder
	if !acquirable && now.Sub(c.observedAt) < takeoverDelay {
		return StepNone, Record{}
	}
	next := Record{Server: c.record.Server, Number: c.record.Number + 1, Holder: c.holder}
	return StepAcquire, next
}

func (c *Candidate) nextRenewal(now time.Time) (Step, Record) {
	if now.Before(c.renewAt) {
		return StepNone, Record{}
	}
	next := c.record
	next.Renewal++
	return StepRenew, next
}

// Observed returns the record with which a proposal from Next is compared.
func (c *Candidate) Observed() Record { return c.record }

// Sent records that the proposal from Next was sent at the given time.
func (c *Candidate) Sent(now time.Time) {
	c.proposalPending = true
	c.proposedAt = now
}

// Committed updates the candidate with the record that the pending proposal
// wrote. It must be called only if this proposal was applied: the lease starts
// when the proposal was sent, and a record that an earlier proposal with a lost
// response wrote may be older.
func (c *Candidate) Committed(now time.Time, r Record) {
	sentAt := c.proposedAt
	c.proposalPending = false
	c.Observe(now, r)
	if r.Holder != c.holder || r != c.record {
		return
	}
	c.validUntil = sentAt.Add(LeaseDuration)
	c.renewAt = sentAt.Add(RenewInterval)
}

// Refused ends a proposal that was not applied and updates the candidate with
// the current record. It grants no lease, even if this router is the holder of
// that record.
func (c *Candidate) Refused(now time.Time, current Record) {
	c.proposalPending = false
	c.Observe(now, current)
}

// Failed ends a proposal with an unknown outcome. The proposal may have been
// applied, but it grants no lease until the record was observed and another
// proposal was committed.
func (c *Candidate) Failed() { c.proposalPending = false }

// Number returns the fencing number for an order that starts now, and false if
// this router may not send one.
func (c *Candidate) Number(now time.Time) (uint64, bool) {
	if !c.hasObserved || c.record.Holder != c.holder {
		return 0, false
	}
	if now.Add(OrderTimeout).After(c.validUntil) {
		return 0, false
	}
	return c.record.Number, true
}
