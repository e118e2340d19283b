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

// LeaseRecord is the state of one lease in the replicated control log.
type LeaseRecord struct {
	Server  string
	Number  uint64 // fencing number, increases with each new holder
	Holder  string // router name and incarnation
	Renewal uint64 // increases with each renewal by the same holder
}

// ProposalKind is the kind of proposal that a candidate sends next.
type ProposalKind int

// Kinds of proposals.
const (
	ProposalNone    ProposalKind = iota
	ProposalRenew                // same fencing number, next renewal
	ProposalAcquire              // next fencing number, this router as holder
)

// LeaseCandidate is one router's view of one lease, as a state machine without
// I/O. All times come from the monotonic clock of that router.
type LeaseCandidate struct {
	holder          string
	record          LeaseRecord
	observedAt      time.Time // when this router first saw the current record
	hasObserved     bool
	proposedAt      time.Time // when the pending proposal was sent
	proposalPending bool
	validUntil      time.Time // end of the lease by this router's clock
	renewAt         time.Time
}

// NewLeaseCandidate returns a candidate for the given holder, without a lease.
func NewLeaseCandidate(holder string) *LeaseCandidate {
	return &LeaseCandidate{holder: holder}
}

// ObserveRecord updates the candidate with a record read from the control log.
// Older records are ignored.
func (c *LeaseCandidate) ObserveRecord(now time.Time, r LeaseRecord) {
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

func isNewer(a, b LeaseRecord) bool {
	if a.Number != b.Number {
		return a.Number > b.Number
	}
	return a.Renewal > b.Renewal
}

// NextProposal returns the kind of proposal to send now, and the record to
// propose. The proposal must be applied only if the log still holds the record
// that ObservedRecord returns.
func (c *LeaseCandidate) NextProposal(now time.Time) (ProposalKind, LeaseRecord) {
	if c.proposalPending || !c.hasObserved {
		return ProposalNone, LeaseRecord{}
	}
	if c.record.Holder == c.holder && now.Before(c.validUntil) {
		return c.nextRenewal(now)
	}
	// A record of this router was written after takeoverDelay, so acquiring the
	// lease again after a lost response cannot overlap another holder.
	acquirable := c.record.Holder == "" || c.record.Holder == c.holder
	if !acquirable && now.Sub(c.observedAt) < takeoverDelay {
		return ProposalNone, LeaseRecord{}
	}
	next := LeaseRecord{Server: c.record.Server, Number: c.record.Number + 1, Holder: c.holder}
	return ProposalAcquire, next
}

func (c *LeaseCandidate) nextRenewal(now time.Time) (ProposalKind, LeaseRecord) {
	if now.Before(c.renewAt) {
		return ProposalNone, LeaseRecord{}
	}
	next := c.record
	next.Renewal++
	return ProposalRenew, next
}

// ObservedRecord returns the record with which a proposal from NextProposal is
// compared.
func (c *LeaseCandidate) ObservedRecord() LeaseRecord { return c.record }

// ProposalSent records that the proposal from NextProposal was sent at the
// given time.
func (c *LeaseCandidate) ProposalSent(now time.Time) {
	c.proposalPending = true
	c.proposedAt = now
}

// ProposalCommitted updates the candidate with the record that the pending
// proposal wrote. It must be called only if this proposal was applied: the
// lease starts when the proposal was sent, and a record that an earlier
// proposal with a lost response wrote may be older.
func (c *LeaseCandidate) ProposalCommitted(now time.Time, r LeaseRecord) {
	sentAt := c.proposedAt
	c.proposalPending = false
	c.ObserveRecord(now, r)
	if r.Holder != c.holder || r != c.record {
		return
	}
	c.validUntil = sentAt.Add(LeaseDuration)
	c.renewAt = sentAt.Add(RenewInterval)
}

// ProposalRejected ends a proposal that was not applied and updates the
// candidate with the current record. It grants no lease, even if this router is
// the holder of that record.
func (c *LeaseCandidate) ProposalRejected(now time.Time, current LeaseRecord) {
	c.proposalPending = false
	c.ObserveRecord(now, current)
}

// ProposalOutcomeUnknown ends a proposal with an unknown outcome. The proposal
// may have been applied, but it grants no lease until the record was observed
// and another proposal was committed.
func (c *LeaseCandidate) ProposalOutcomeUnknown() { c.proposalPending = false }

// Number returns the fencing number for an order that starts now, and false if
// this router may not send one.
func (c *LeaseCandidate) Number(now time.Time) (uint64, bool) {
	if !c.hasObserved || c.record.Holder != c.holder {
		return 0, false
	}
	if now.Add(OrderTimeout).After(c.validUntil) {
		return 0, false
	}
	return c.record.Number, true
}
