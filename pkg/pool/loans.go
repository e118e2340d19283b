package pool

import (
	"slices"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/limiter"
)

// peer is an owner of the same pool in another data centre.
type peer struct {
	summary Summary
	heard   time.Time
	next    int // index of the first value of summary.Lowest not yet lent to
	given   uint32
}

// lent is a loan that this owner gave.
type lent struct {
	loan   Loan
	server *server
	given  time.Time
	acked  bool   // the borrower uses the slots that it did not return
	open   uint32 // slots not yet returned
}

// borrowed is a loan that this owner received.
type borrowed struct{ loan Loan }

// Summary takes the state of an owner elsewhere.
func (o *Owner) Summary(now time.Time, s Summary) {
	if o.closed || s.From == o.id {
		return
	}
	o.now = now
	p := o.peers[s.From]
	if p == nil {
		p = &peer{}
		o.peers[s.From] = p
	}
	if s.Epoch < p.summary.Epoch {
		return
	}
	if s.Epoch > p.summary.Epoch && p.summary.Epoch != 0 {
		o.borrowerGone(s.From)
	}
	s.Lowest = slices.Clone(s.Lowest) // loans are counted in it
	*p = peer{summary: s, heard: now}
	o.updateFloor()
	o.dispatch()
}

// updateFloor passes the lowest floor of the peers to the queue.
func (o *Owner) updateFloor() {
	var floor int64
	known := false
	for _, p := range o.peers {
		if !o.fresh(p) || p.summary.Waiting == 0 {
			continue
		}
		if !known || p.summary.Floor < floor {
			floor, known = p.summary.Floor, true
		}
	}
	o.queue.SetFleetFloor(floor, known, known && !o.firstPeer)
	o.firstPeer = o.firstPeer || known
}

func (o *Owner) fresh(p *peer) bool { return o.now.Sub(p.heard) < summaryMaxAge }

// remoteFree reports whether a peer has said that it has free slots.
func (o *Owner) remoteFree() bool {
	for _, p := range o.peers {
		if o.fresh(p) && p.summary.FreeSlots > 0 {
			return true
		}
	}
	return false
}

// neediest returns the peer with the lowest waiting value.
func (o *Owner) neediest() (*peer, int64) {
	var best *peer
	var value int64
	for _, p := range o.peers {
		if !o.fresh(p) || p.given >= p.summary.Waiting || p.next >= len(p.summary.Lowest) {
			continue
		}
		v := p.summary.Lowest[p.next].Value
		if best == nil || v < value || v == value && lessID(p.summary.From, best.summary.From) {
			best, value = p, v
		}
	}
	return best, value
}

func lessID(a, b ShardID) bool {
	if a.DataCentre != b.DataCentre {
		return a.DataCentre < b.DataCentre
	}
	return a.Shard < b.Shard
}

// lendInstead lends a free slot if no own work waits for it, or if the work
// elsewhere has a value that is lower by more than the distance penalty.
func (o *Owner) lendInstead(own *waiting) bool {
	if !o.cfg.Lend || len(o.peers) == 0 || !o.laneFree(0) {
		return false
	}
	p, value := o.neediest()
	if p == nil || own != nil && value+o.cfg.Distance >= own.Flow().Value() {
		return false
	}
	s := o.lanes[0].best(0, nil)
	if s == nil {
		return false
	}
	o.lend(p, s)
	return true
}

func (o *Owner) lend(p *peer, s *server) {
	o.lastLoan++
	l := &lent{server: s, given: o.now, open: 1, loan: Loan{
		From:      o.id,
		To:        p.summary.From,
		LoanID:    o.lastLoan,
		Epoch:     o.epoch,
		Server:    s.ann.Name,
		Address:   s.ann.Address,
		BootID:    s.ann.BootID,
		Slots:     1,
		Models:    s.ann.Models,
		Abilities: s.ann.Abilities,
		TTL:       o.cfg.LoanTTL,
	}}
	o.lent[o.lastLoan] = l
	o.take(s)
	o.outbox.Loans = append(o.outbox.Loans, l.loan)
	o.advance(p)
}

// advance counts a loan against the summary that asked for it: the workspace
// that gets the slot moves on by about the cost of one request.
func (o *Owner) advance(p *peer) {
	p.given++
	low := &p.summary.Lowest[p.next]
	low.Count--
	low.Value += int64(o.stats.cost)
	if low.Count == 0 {
		p.next++
	}
	for i := p.next; i+1 < len(p.summary.Lowest) && p.summary.Lowest[i].Value > p.summary.Lowest[i+1].Value; i++ {
		l := p.summary.Lowest
		l[i], l[i+1] = l[i+1], l[i]
	}
}

// Loan takes a slot from another owner: the best own request that the server
// can serve uses it at once, or it goes back.
func (o *Owner) Loan(now time.Time, l Loan) {
	o.now = now
	used := uint32(0)
	for ; used < l.Slots && !o.closed && !now.Before(o.opens); used++ {
		item := o.queue.Next(now, func(lane int) bool { return o.loanServes(&l, lane) })
		if item == nil {
			break
		}
		w := item.Ref.(*waiting)
		if avoids(w, l.Server) {
			break
		}
		o.grantOn(w, nil, &borrowed{loan: l})
	}
	// The answer also confirms the slots that are in use. A confirmation
	// alone can wait for the next summary; unused slots cannot.
	r := LoanReturn{From: o.id, To: l.From, LoanID: l.LoanID, Epoch: l.Epoch, Unused: l.Slots - used}
	o.loansSince += used
	if r.Unused > 0 {
		o.outbox.LoanReturns = append(o.outbox.LoanReturns, r)
	} else {
		o.acks = append(o.acks, r)
	}
	o.dispatch()
}

func avoids(w *waiting, server string) bool {
	for _, name := range w.ask.Avoid {
		if name == server {
			return true
		}
	}
	return false
}

func (o *Owner) loanServes(l *Loan, lane int) bool {
	if lane == 0 {
		return true
	}
	for _, m := range l.Models {
		if o.laneOf[m] == lane {
			return true
		}
	}
	return false
}

// returnUsed gives a borrowed slot back after its request ended.
func (o *Owner) returnUsed(b *borrowed, s Settle) {
	o.outbox.LoanReturns = append(o.outbox.LoanReturns, LoanReturn{
		From: o.id, To: b.loan.From, LoanID: b.loan.LoanID, Epoch: b.loan.Epoch, Used: []Settle{s},
	})
}

// LoanReturn takes lent slots back. A return for another epoch is ignored.
func (o *Owner) LoanReturn(now time.Time, r LoanReturn) {
	o.now = now
	l := o.lent[r.LoanID]
	if l == nil || r.Epoch != o.epoch {
		return
	}
	l.acked = true
	unused := min(r.Unused, l.open)
	for range unused {
		o.ended(l.server, 0, limiter.Sample{Result: limiter.Neutral})
	}
	l.open -= unused
	if p := o.peers[r.From]; p != nil && unused > 0 {
		p.given = p.summary.Waiting // it has no use for more
	}
	for _, s := range r.Used {
		if l.open == 0 {
			break
		}
		l.open--
		if s.Outcome == 0 {
			o.orphanSlot(l.server)
			continue
		}
		o.ended(l.server, l.loan.BootID, sampleOf(s, l.given, 0))
	}
	if l.open == 0 {
		delete(o.lent, r.LoanID)
	}
	o.dispatch()
}

// lapse takes back loans that were never confirmed. The loan or its answer was
// lost; a load report has to show that the slot is free.
func (o *Owner) lapse() {
	for id, l := range o.lent {
		p := o.peers[l.loan.To]
		// A silent borrower may be gone; load reports then show when its
		// slots are free.
		lost := p != nil && !o.fresh(p)
		if lost || !l.acked && o.now.Sub(l.given) >= 2*o.cfg.LoanTTL {
			o.orphanLoan(id, l)
		}
	}
}

// borrowerGone handles the loans to an owner that was replaced.
func (o *Owner) borrowerGone(id ShardID) {
	for n, l := range o.lent {
		if l.loan.To == id {
			o.orphanLoan(n, l)
		}
	}
}

// findLeak ends the oldest loan of a server when many load reports in a row
// show fewer requests than are counted.
func (o *Owner) findLeak(s *server, running int) {
	if running >= s.limit.State().InFlight {
		s.emptier = 0
		return
	}
	if s.emptier++; s.emptier < leakReports {
		return
	}
	s.emptier = 0
	var oldest *lent
	for _, l := range o.lent {
		if l.server == s && (oldest == nil || l.loan.LoanID < oldest.loan.LoanID) {
			oldest = l
		}
	}
	if oldest != nil && o.now.Sub(oldest.given) > leakReports*backend.AnnounceInterval {
		o.orphanLoan(oldest.loan.LoanID, oldest)
	}
}

func (o *Owner) orphanLoan(id uint64, l *lent) {
	l.server.orphans += int(l.open)
	l.server.orphaned = o.now
	delete(o.lent, id)
}
