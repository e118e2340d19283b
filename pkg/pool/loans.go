package pool

import (
	"slices"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/limiter"
)

// peer is the owner of a shard of the same pool in another data centre.
type peer struct {
	summary    Summary
	receivedAt time.Time // of summary
	nextLowest int       // index of the next value in summary.Lowest to lend to
	given      uint32    // slots lent since the summary was received
}

// lentSlots is a loan from this owner to a peer.
type lentSlots struct {
	loan      Loan
	server    *server
	given     time.Time // when the loan was made
	confirmed bool      // the borrower has answered: it uses the slots that it did not return
	openSlots uint32    // slots not yet returned
	// rateCharged: counts against the limit that the server has stated.
	rateCharged bool
}

// borrowedSlot is a slot of a loan from a peer, in use by one grant.
type borrowedSlot struct{ loan Loan }

// HandleSummary takes the state of the owner of the same pool in another data
// centre. A higher epoch means a new owner: loans to its predecessor are
// reclaimed.
func (o *Owner) HandleSummary(now time.Time, s Summary) {
	if o.handedOver || s.From == o.id {
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
		o.reclaimLoansTo(s.From)
	}
	s.Lowest = slices.Clone(s.Lowest) // countLoan changes the values
	*p = peer{summary: s, receivedAt: now}
	o.updateFloor()
	o.dispatch()
}

// updateFloor passes the lowest fair-share floor of the peers with waiting asks
// to the queue.
func (o *Owner) updateFloor() {
	var floor int64
	known := false
	for _, p := range o.peers {
		if !o.isFresh(p) || p.summary.Waiting == 0 {
			continue
		}
		if !known || p.summary.Floor < floor {
			floor, known = p.summary.Floor, true
		}
	}
	o.queue.SetFleetFloor(floor, known, known && !o.peerFloorSeen)
	o.peerFloorSeen = o.peerFloorSeen || known
}

// isFresh reports whether the summary of a peer is recent enough to be used.
func (o *Owner) isFresh(p *peer) bool { return o.now.Sub(p.receivedAt) < summaryMaxAge }

// peerHasFreeSlot reports whether the recent summary of a peer shows free slots.
func (o *Owner) peerHasFreeSlot() bool {
	for _, p := range o.peers {
		if o.isFresh(p) && p.summary.FreeSlots > 0 {
			return true
		}
	}
	return false
}

// lowestWaitingPeer returns the peer whose next entry in summary.Lowest has the
// lowest fair-share value, and that value in service units. It returns nil if
// no peer needs a loan.
func (o *Owner) lowestWaitingPeer() (*peer, int64) {
	var best *peer
	var value int64
	for _, p := range o.peers {
		if !o.isFresh(p) || p.given >= p.summary.Waiting || p.nextLowest >= len(p.summary.Lowest) {
			continue
		}
		v := p.summary.Lowest[p.nextLowest].Value
		if best == nil || v < value || v == value && shardLess(p.summary.From, best.summary.From) {
			best, value = p, v
		}
	}
	return best, value
}

// shardLess orders the shards of one pool by data centre and number.
func shardLess(a, b ShardID) bool {
	if a.DataCentre != b.DataCentre {
		return a.DataCentre < b.DataCentre
	}
	return a.Shard < b.Shard
}

// tryLend lends a free slot to a peer if no own ask waits for it (own is nil),
// or if the waiting value of the peer is lower than that of own by more than
// the distance penalty. It reports whether it made a loan.
func (o *Owner) tryLend(own *waitingAsk) bool {
	if !o.cfg.LendingEnabled || len(o.peers) == 0 || !o.hasFreeSlot(0) {
		return false
	}
	p, value := o.lowestWaitingPeer()
	if p == nil || own != nil && value+o.cfg.DistancePenalty >= own.Flow().VirtualTime() {
		return false
	}
	s := o.heapsByModel[0].leastLoaded(0, nil)
	if s == nil {
		return false
	}
	o.lendSlot(p, s)
	return true
}

// lendSlot takes a slot of the server and sends it to the peer as a loan.
func (o *Owner) lendSlot(p *peer, s *server) {
	o.lastLoan++
	l := &lentSlots{server: s, given: o.now, openSlots: 1, loan: Loan{
		From:      o.id,
		To:        p.summary.From,
		LoanID:    o.lastLoan,
		Epoch:     o.epoch,
		Server:    s.announcement.Name,
		Address:   s.announcement.Address,
		BootID:    s.announcement.BootID,
		Slots:     1,
		Models:    s.announcement.Models,
		Abilities: s.announcement.Abilities,
		TTL:       o.cfg.LoanTTL,
		Limited:   s.isLimited(),
	}}
	l.rateCharged = o.takeRequest(s)
	o.lentSlots[o.lastLoan] = l
	o.takeSlot(s)
	o.outbox.Loans = append(o.outbox.Loans, l.loan)
	o.countLoan(p)
}

// countLoan updates the stored summary of a peer after a loan: one ask fewer
// waits at the value that was lent to, and that value rises by the mean cost of
// a request. A value that is now greater than those after it moves behind them.
func (o *Owner) countLoan(p *peer) {
	p.given++
	lowest := &p.summary.Lowest[p.nextLowest]
	lowest.Count--
	lowest.Value += int64(o.stats.cost)
	if lowest.Count == 0 {
		p.nextLowest++
	}
	for i := p.nextLowest; i+1 < len(p.summary.Lowest) && p.summary.Lowest[i].Value > p.summary.Lowest[i+1].Value; i++ {
		l := p.summary.Lowest
		l[i], l[i+1] = l[i+1], l[i]
	}
}

// HandleLoan takes borrowed slots from a peer. The next waiting asks that the
// server can serve use them at once; slots without such an ask are returned.
func (o *Owner) HandleLoan(now time.Time, l Loan) {
	o.now = now
	used := uint32(0)
	for ; used < l.Slots && !o.handedOver && !now.Before(o.recoveryEnd); used++ {
		w, ahead := o.nextAsk(func(modelIndex int) bool { return o.loanServesModel(&l, modelIndex) },
			func(w *waitingAsk) bool { return !avoidsServer(w, l.Server) })
		if w == nil || avoidsServer(w, l.Server) {
			break
		}
		o.grantSlot(w, nil, &borrowedSlot{loan: l}, ahead)
	}
	// The return also confirms the slots in use. It is sent at once if it
	// returns slots, otherwise with the next summary.
	r := LoanReturn{From: o.id, To: l.From, LoanID: l.LoanID, Epoch: l.Epoch, Unused: l.Slots - used}
	o.loansSinceSummary += used
	if r.Unused > 0 {
		o.outbox.LoanReturns = append(o.outbox.LoanReturns, r)
	} else {
		o.loanConfirmations = append(o.loanConfirmations, r)
	}
	o.dispatch()
}

func avoidsServer(w *waitingAsk, server string) bool {
	for _, name := range w.ask.Avoid {
		if name == server {
			return true
		}
	}
	return false
}

// loanServesModel reports whether the lent server serves the model.
func (o *Owner) loanServesModel(l *Loan, modelIndex int) bool {
	if modelIndex == 0 {
		return true
	}
	for _, m := range l.Models {
		if o.indexByModel[m] == modelIndex {
			return true
		}
	}
	return false
}

// returnBorrowedSlot returns a borrowed slot with the settle of its request.
func (o *Owner) returnBorrowedSlot(b *borrowedSlot, s Settle) {
	o.outbox.LoanReturns = append(o.outbox.LoanReturns, LoanReturn{
		From: o.id, To: b.loan.From, LoanID: b.loan.LoanID, Epoch: b.loan.Epoch, Used: []Settle{s},
	})
}

// HandleLoanReturn takes back lent slots. It ignores unknown loans and returns
// for another epoch.
func (o *Owner) HandleLoanReturn(now time.Time, r LoanReturn) {
	o.now = now
	l := o.lentSlots[r.LoanID]
	if l == nil || r.Epoch != o.epoch {
		return
	}
	l.confirmed = true
	unused := min(r.Unused, l.openSlots)
	for range unused {
		if l.rateCharged && l.loan.BootID == l.server.announcement.BootID {
			o.returnRequest(l.server)
		}
		o.settleSlot(l.server, 0, limiter.Sample{Result: limiter.Inconclusive})
	}
	l.openSlots -= unused
	if p := o.peers[r.From]; p != nil && unused > 0 {
		p.given = p.summary.Waiting // no more loans before the next summary
	}
	for _, s := range r.Used {
		if l.openSlots == 0 {
			break
		}
		l.openSlots--
		if s.Outcome == 0 {
			o.orphanSlot(l.server)
			continue
		}
		o.settleSlot(l.server, l.loan.BootID, limiterSample(s, l.given, 0))
	}
	if l.openSlots == 0 {
		delete(o.lentSlots, r.LoanID)
	}
	o.dispatch()
}

// reclaimLapsedLoans orphans the slots of loans that were not confirmed within
// twice the loan TTL, because the loan or its answer was lost, and of loans to
// peers without a recent summary. A load report has to show that the slots are
// free.
func (o *Owner) reclaimLapsedLoans() {
	for id, l := range o.lentSlots {
		p := o.peers[l.loan.To]
		// A silent borrower may have stopped and will not return its slots.
		lost := p != nil && !o.isFresh(p)
		if lost || !l.confirmed && o.now.Sub(l.given) >= 2*o.cfg.LoanTTL {
			o.orphanLoan(id, l)
		}
	}
}

// reclaimLoansTo orphans the slots lent to an owner that was replaced.
func (o *Owner) reclaimLoansTo(id ShardID) {
	for n, l := range o.lentSlots {
		if l.loan.To == id {
			o.orphanLoan(n, l)
		}
	}
}

// reclaimLeakedLoan orphans the slots of the oldest loan of a server when
// leakReportCount load reports in a row show fewer requests than slots in use.
func (o *Owner) reclaimLeakedLoan(s *server, running int) {
	if running >= s.limit.State().InFlight {
		s.lowReports = 0
		return
	}
	if s.lowReports++; s.lowReports < leakReportCount {
		return
	}
	s.lowReports = 0
	var oldest *lentSlots
	for _, l := range o.lentSlots {
		if l.server == s && (oldest == nil || l.loan.LoanID < oldest.loan.LoanID) {
			oldest = l
		}
	}
	if oldest != nil && o.now.Sub(oldest.given) > leakReportCount*backend.AnnounceInterval {
		o.orphanLoan(oldest.loan.LoanID, oldest)
	}
}

// orphanLoan removes a loan and keeps its open slots counted as orphaned.
func (o *Owner) orphanLoan(id uint64, l *lentSlots) {
	l.server.orphanedSlots += int(l.openSlots)
	l.server.lastOrphanAt = o.now
	delete(o.lentSlots, id)
}
