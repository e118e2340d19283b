package router

import (
	"bytes"
	"encoding/json"
	"time"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/class"
	"jackdawtrack.example/jackdawtrack/pkg/peer"
	"jackdawtrack.example/jackdawtrack/pkg/pool"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// SetPeers sets the connections to other routers. It must be called before Run.
func (r *Router) SetPeers(p Peers) { r.peers = p }

// send queues a message to a router and reports whether a connection holds it.
func (r *Router) send(to string, e *apiv1.Envelope) bool {
	if r.peers == nil || to == "" || to == r.self.Name {
		return false
	}
	return r.peers.Send(to, e)
}

// sendToOwner sends a message to the current owner of a shard.
func (r *Router) sendToOwner(shard pool.ShardID, e *apiv1.Envelope) bool {
	return r.send(r.ownerName(shard), e)
}

func (r *Router) sendRemoteAsk(shard pool.ShardID, a pool.Ask) {
	r.sendToOwner(shard, peer.AskToEnvelope(shard, a, time.Now()))
}

func (r *Router) sendRemoteCancel(shard pool.ShardID, requestID uint64) {
	r.sendToOwner(shard, &apiv1.Envelope{Item: &apiv1.Envelope_Cancel{
		Cancel: &apiv1.Cancel{Shard: peer.ShardToProto(shard), RequestId: requestID},
	}})
}

func (r *Router) sendRemoteSettle(shard pool.ShardID, s pool.Settle) {
	r.sendWithReplay(shard, &apiv1.Envelope{Item: &apiv1.Envelope_Settle{Settle: peer.SettleToProto(shard, s)}})
}

func (r *Router) sendGrant(shard pool.ShardID, g pool.Grant) {
	r.send(g.Router.Name, &apiv1.Envelope{Item: &apiv1.Envelope_Grant{Grant: peer.GrantToProto(shard, g)}})
}

func (r *Router) sendRefusal(shard pool.ShardID, f pool.Refusal) {
	r.send(f.Router.Name, &apiv1.Envelope{Item: &apiv1.Envelope_Refusal{Refusal: peer.RefusalToProto(shard, f)}})
}

func announcementEnvelope(a backend.Announcement) *apiv1.Envelope {
	encoded, err := json.Marshal(a)
	if err != nil {
		return nil // cannot happen: the announcement was decoded from JSON
	}
	return &apiv1.Envelope{Item: &apiv1.Envelope_Announcement{Announcement: &apiv1.Announcement{Json: encoded}}}
}

func (r *Router) sendAnnouncement(to string, a backend.Announcement) {
	if e := announcementEnvelope(a); e != nil {
		r.send(to, e)
	}
}

// shareAnnouncement sends an announcement to the routers of the data centre
// that do not own its pool. The owner receives it separately.
func (r *Router) shareAnnouncement(shard pool.ShardID, a backend.Announcement) {
	owner := r.ownerName(shard)
	for _, m := range r.ownership.LiveRouters() {
		if m.DataCentre == r.self.DataCentre && m.Name != owner {
			r.sendAnnouncement(m.Name, a)
		}
	}
}

// deliverRemote sends loans, loan returns and summaries to the owners of the
// pool in other data centres.
func (r *Router) deliverRemote(shard pool.ShardID, out pool.Output) {
	for _, l := range out.Loans {
		r.sendToOwner(l.To, &apiv1.Envelope{Item: &apiv1.Envelope_Loan{Loan: peer.LoanToProto(l)}})
	}
	for _, l := range out.LoanReturns {
		r.sendWithReplay(l.To, &apiv1.Envelope{Item: &apiv1.Envelope_LoanReturn{LoanReturn: peer.LoanReturnToProto(l)}})
	}
	for _, f := range out.ForwardedLimits {
		r.sendToOwner(f.To, peer.LimitToEnvelope(f.To, f.Statement))
	}
	if len(out.Summaries) == 0 {
		return
	}
	for _, dc := range r.otherDataCentres() {
		to := pool.ShardID{DataCentre: dc, Pool: shard.Pool, Shard: shard.Shard}
		for _, s := range out.Summaries {
			r.sendToOwner(to, &apiv1.Envelope{Item: &apiv1.Envelope_Summary{Summary: peer.SummaryToProto(s)}})
		}
	}
}

func (r *Router) otherDataCentres() []string {
	seen := map[string]bool{r.self.DataCentre: true}
	var out []string
	for _, m := range r.ownership.LiveRouters() {
		if !seen[m.DataCentre] {
			seen[m.DataCentre] = true
			out = append(out, m.DataCentre)
		}
	}
	return out
}

// HandleMessages implements peer.Handler. It ignores all messages of other data
// centres except summaries, loans, loan returns, limits of servers, totals and quarantine
// news.
func (r *Router) HandleMessages(from pool.RouterID, items []*apiv1.Envelope) {
	local := from.DataCentre == r.self.DataCentre
	for _, e := range items {
		if r.receiveFromAnyDataCentre(from, e) || !local {
			continue
		}
		r.receiveFromSameDataCentre(from, e)
	}
}

// receiveFromAnyDataCentre handles a message that routers of all data centres
// may send. It returns false for other messages.
func (r *Router) receiveFromAnyDataCentre(from pool.RouterID, e *apiv1.Envelope) bool {
	switch item := e.Item.(type) {
	case *apiv1.Envelope_Summary:
		s := peer.SummaryFromProto(item.Summary)
		r.servers.refreshPool(time.Now(), s.From.Pool)
		r.applyIfOwner(r.shardOf(s.From.Pool), func(now time.Time, o *pool.Owner) { o.HandleSummary(now, s) })
	case *apiv1.Envelope_Loan:
		l := peer.LoanFromProto(item.Loan)
		r.receiveLoan(l)
	case *apiv1.Envelope_LoanReturn:
		l := peer.LoanReturnFromProto(item.LoanReturn)
		r.applyIfOwner(l.To, func(now time.Time, o *pool.Owner) { o.HandleLoanReturn(now, l) })
	case *apiv1.Envelope_ServerLimit:
		if st, ok := peer.LimitFromProto(item.ServerLimit); ok {
			r.receiveLimit(peer.ShardFromProto(item.ServerLimit.Shard), st)
		}
	case *apiv1.Envelope_Totals:
		r.receiveTotals(item.Totals)
	case *apiv1.Envelope_Quarantine:
		r.receiveQuarantineNews(from, item.Quarantine)
	default:
		return false
	}
	return true
}

// receiveLoan passes a loan to the borrowing shard, or returns the loan if this
// router does not own that shard.
func (r *Router) receiveLoan(l pool.Loan) {
	if r.applyIfOwner(l.To, func(now time.Time, o *pool.Owner) { o.HandleLoan(now, l) }) {
		return
	}
	loanReturn := pool.LoanReturn{From: l.To, To: l.From, LoanID: l.LoanID, Epoch: l.Epoch, Unused: l.Slots}
	r.sendWithReplay(l.From, &apiv1.Envelope{Item: &apiv1.Envelope_LoanReturn{LoanReturn: peer.LoanReturnToProto(loanReturn)}})
}

// receiveFromSameDataCentre handles a message that only routers of the same
// data centre may send.
func (r *Router) receiveFromSameDataCentre(from pool.RouterID, e *apiv1.Envelope) {
	switch item := e.Item.(type) {
	case *apiv1.Envelope_Ask:
		r.receiveAsk(from, item.Ask)
	case *apiv1.Envelope_Cancel:
		shard, id := peer.ShardFromProto(item.Cancel.Shard), item.Cancel.RequestId
		r.shardBuffers.removeAsk(shard, from, id)
		r.applyIfOwner(shard, func(now time.Time, o *pool.Owner) { o.Cancel(now, from, id) })
	case *apiv1.Envelope_Settle:
		s := peer.SettleFromProto(item.Settle)
		r.applyIfOwner(peer.ShardFromProto(item.Settle.Shard), func(now time.Time, o *pool.Owner) { o.Settle(now, s) })
	case *apiv1.Envelope_Grant:
		g := peer.GrantFromProto(item.Grant)
		g.Router = r.self
		r.acceptGrant(peer.ShardFromProto(item.Grant.Shard), g)
	case *apiv1.Envelope_Refusal:
		r.receiveRefusal(item.Refusal)
	case *apiv1.Envelope_HeldGrants:
		r.receiveHeldGrants(peer.ShardFromProto(item.HeldGrants.Shard), from, peer.HeldGrantsFromProto(from, item.HeldGrants.Grants))
	case *apiv1.Envelope_Announcement:
		r.receiveAnnouncement(from, item.Announcement.Json)
	case *apiv1.Envelope_DataCentreMark:
		r.receiveMark(item.DataCentreMark)
	case *apiv1.Envelope_Handover:
		r.receiveHandover(peer.HandoverFromProto(item.Handover))
	case *apiv1.Envelope_PoolReport:
		r.receivePoolReport(item.PoolReport)
	case *apiv1.Envelope_PlannedMove:
		r.receiveMove(from.Name, item.PlannedMove)
	case *apiv1.Envelope_CacheEvents:
		c := item.CacheEvents
		r.applyIfOwner(peer.ShardFromProto(c.Shard), func(now time.Time, o *pool.Owner) { o.UpdatePrefixes(now, c.Server, c.Stored, c.Evicted) })
	}
}

// receiveAsk handles an ask of another router. If this router is not the owner
// or does not know the class yet, it replies OwnerUnavailable, and the other
// router repeats the ask.
func (r *Router) receiveAsk(from pool.RouterID, m *apiv1.Ask) {
	shard := peer.ShardFromProto(m.Shard)
	if c, known := r.class(m.Class); known && r.acceptAsk(shard, peer.AskFromProto(from, c, m, time.Now())) {
		return
	}
	r.sendRefusal(shard, pool.Refusal{Router: from, RequestID: m.RequestId, Code: result.OwnerUnavailable})
}

// acceptAsk passes an ask to the owned shard. It buffers the ask while this
// router is the next owner but must not grant yet.
func (r *Router) acceptAsk(shard pool.ShardID, a pool.Ask) bool {
	if r.applyIfOwner(shard, func(now time.Time, o *pool.Owner) { o.Ask(now, a) }) {
		return true
	}
	_, _, ok := r.ownership.Owner(shard)
	return !ok && r.shardBuffers.addAsk(time.Now(), shard, a)
}

// class returns a class of the configuration with its defaults applied.
func (r *Router) class(name string) (class.Class, bool) {
	cat := r.catalog.Load()
	if cat == nil {
		return class.Class{}, false
	}
	c, ok := cat.Class(name)
	return c.WithDefaults(), ok
}

// receiveRefusal handles a refusal. After OwnerUnavailable, the two routers see
// different owners for a moment: the ask keeps waiting and is repeated.
func (r *Router) receiveRefusal(m *apiv1.Refusal) {
	f := peer.RefusalFromProto(m)
	if f.Code == result.OwnerUnavailable {
		r.askTable.markForResend(f.RequestID)
		return
	}
	r.acceptRefusal(f)
}

// receiveAnnouncement stores an announcement that another router has forwarded.
// If this router owns the pool, its owner receives it too.
func (r *Router) receiveAnnouncement(from pool.RouterID, text []byte) {
	a, err := backend.Decode(bytes.NewReader(text))
	now := time.Now()
	if conflict := r.checkNameConflict(now, a); err == nil && conflict != nil {
		err = conflict
	}
	if err != nil {
		r.log.Warnf("announcement of server %.64q from router %s ignored: %v", a.Name, from.Name, err)
		return
	}
	r.servers.update(now, a)
	r.noteAnnouncement(now, a)
	r.applyIfOwner(r.shardOf(a.Pool), func(now time.Time, o *pool.Owner) { o.HandleAnnouncement(now, a) })
}
