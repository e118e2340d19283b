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

// SetPeers connects the router to the exchange with other routers. It must be
// called before Run.
func (r *Router) SetPeers(p Peers) { r.peers = p }

func (r *Router) send(to string, e *apiv1.Envelope) bool {
	if r.peers == nil || to == "" || to == r.self.Name {
		return false
	}
	return r.peers.Send(to, e)
}

// sendToOwner gives a message to the router that owns the shard now.
func (r *Router) sendToOwner(shard pool.ShardID, e *apiv1.Envelope) bool {
	return r.send(r.ownerName(shard), e)
}

func (r *Router) sendRemoteAsk(shard pool.ShardID, a pool.Ask) {
	r.sendToOwner(shard, peer.FromAsk(shard, a, time.Now()))
}

func (r *Router) sendRemoteCancel(shard pool.ShardID, requestID uint64) {
	r.sendToOwner(shard, &apiv1.Envelope{Item: &apiv1.Envelope_Cancel{
		Cancel: &apiv1.Cancel{Shard: peer.FromShard(shard), RequestId: requestID},
	}})
}

func (r *Router) sendRemoteSettle(shard pool.ShardID, s pool.Settle) {
	r.sendLogged(shard, &apiv1.Envelope{Item: &apiv1.Envelope_Settle{Settle: peer.FromSettle(shard, s)}})
}

func (r *Router) sendGrant(shard pool.ShardID, g pool.Grant) {
	r.send(g.Router.Name, &apiv1.Envelope{Item: &apiv1.Envelope_Grant{Grant: peer.FromGrant(shard, g)}})
}

func (r *Router) sendRefusal(shard pool.ShardID, f pool.Refusal) {
	r.send(f.Router.Name, &apiv1.Envelope{Item: &apiv1.Envelope_Refusal{Refusal: peer.FromRefusal(shard, f)}})
}

func announcementEnvelope(a backend.Announcement) *apiv1.Envelope {
	text, err := json.Marshal(a)
	if err != nil {
		return nil // a decoded announcement always encodes
	}
	return &apiv1.Envelope{Item: &apiv1.Envelope_Announcement{Announcement: &apiv1.Announcement{Json: text}}}
}

func (r *Router) sendAnnouncement(to string, a backend.Announcement) {
	if e := announcementEnvelope(a); e != nil {
		r.send(to, e)
	}
}

// shareAnnouncement tells the other routers of the data centre what a server
// can do. Its owner has it already.
func (r *Router) shareAnnouncement(shard pool.ShardID, a backend.Announcement) {
	owner := r.ownerName(shard)
	for _, m := range r.ownership.Members() {
		if m.DataCentre == r.self.DataCentre && m.Name != owner {
			r.sendAnnouncement(m.Name, a)
		}
	}
}

// deliverRemote sends loans, their returns and summaries to the owners of the
// pool in other data centres.
func (r *Router) deliverRemote(shard pool.ShardID, out pool.Output) {
	for _, l := range out.Loans {
		r.sendToOwner(l.To, &apiv1.Envelope{Item: &apiv1.Envelope_Loan{Loan: peer.FromLoan(l)}})
	}
	for _, l := range out.LoanReturns {
		r.sendLogged(l.To, &apiv1.Envelope{Item: &apiv1.Envelope_LoanReturn{LoanReturn: peer.FromLoanReturn(l)}})
	}
	if len(out.Summaries) == 0 {
		return
	}
	for _, dc := range r.otherDataCentres() {
		to := pool.ShardID{DataCentre: dc, Pool: shard.Pool, Shard: shard.Shard}
		for _, s := range out.Summaries {
			r.sendToOwner(to, &apiv1.Envelope{Item: &apiv1.Envelope_Summary{Summary: peer.FromSummary(s)}})
		}
	}
}

func (r *Router) otherDataCentres() []string {
	seen := map[string]bool{r.self.DataCentre: true}
	var out []string
	for _, m := range r.ownership.Members() {
		if !seen[m.DataCentre] {
			seen[m.DataCentre] = true
			out = append(out, m.DataCentre)
		}
	}
	return out
}

// Receive implements peer.Handler. Routers of other data centres may send
// summaries, loans and totals only.
func (r *Router) Receive(from pool.RouterID, items []*apiv1.Envelope) {
	local := from.DataCentre == r.self.DataCentre
	for _, e := range items {
		if r.receiveRemote(from, e) || !local {
			continue
		}
		r.receiveLocal(from, e)
	}
}

// receiveRemote handles what the routers of all data centres send.
func (r *Router) receiveRemote(from pool.RouterID, e *apiv1.Envelope) bool {
	switch item := e.Item.(type) {
	case *apiv1.Envelope_Summary:
		s := peer.ToSummary(item.Summary)
		r.servers.sawPool(time.Now(), s.From.Pool)
		r.atShard(r.shardOf(s.From.Pool), func(now time.Time, o *pool.Owner) { o.Summary(now, s) })
	case *apiv1.Envelope_Loan:
		l := peer.ToLoan(item.Loan)
		r.receiveLoan(l)
	case *apiv1.Envelope_LoanReturn:
		l := peer.ToLoanReturn(item.LoanReturn)
		r.atShard(l.To, func(now time.Time, o *pool.Owner) { o.LoanReturn(now, l) })
	case *apiv1.Envelope_Totals:
		r.receiveTotals(item.Totals)
	default:
		return false
	}
	return true
}

// receiveLoan uses a loan, or returns it when this router does not own the
// borrowing shard (any more).
func (r *Router) receiveLoan(l pool.Loan) {
	if r.atShard(l.To, func(now time.Time, o *pool.Owner) { o.Loan(now, l) }) {
		return
	}
	back := pool.LoanReturn{From: l.To, To: l.From, LoanID: l.LoanID, Epoch: l.Epoch, Unused: l.Slots}
	r.sendLogged(l.From, &apiv1.Envelope{Item: &apiv1.Envelope_LoanReturn{LoanReturn: peer.FromLoanReturn(back)}})
}

// receiveLocal handles what only routers of the same data centre send.
func (r *Router) receiveLocal(from pool.RouterID, e *apiv1.Envelope) {
	switch item := e.Item.(type) {
	case *apiv1.Envelope_Ask:
		r.receiveAsk(from, item.Ask)
	case *apiv1.Envelope_Cancel:
		shard, id := peer.ToShard(item.Cancel.Shard), item.Cancel.RequestId
		r.inheritances.dropAsk(shard, from, id)
		r.atShard(shard, func(now time.Time, o *pool.Owner) { o.Cancel(now, from, id) })
	case *apiv1.Envelope_Settle:
		s := peer.ToSettle(item.Settle)
		r.atShard(peer.ToShard(item.Settle.Shard), func(now time.Time, o *pool.Owner) { o.Settle(now, s) })
	case *apiv1.Envelope_Grant:
		g := peer.ToGrant(item.Grant)
		g.Router = r.self
		r.takeGrant(peer.ToShard(item.Grant.Shard), g)
	case *apiv1.Envelope_Refusal:
		r.receiveRefusal(item.Refusal)
	case *apiv1.Envelope_HeldGrants:
		r.receiveHeld(peer.ToShard(item.HeldGrants.Shard), from, peer.ToHeld(from, item.HeldGrants.Grants))
	case *apiv1.Envelope_Announcement:
		r.receiveAnnouncement(item.Announcement.Json)
	case *apiv1.Envelope_DataCentreMark:
		r.receiveMark(item.DataCentreMark)
	case *apiv1.Envelope_Handover:
		r.receiveHandover(peer.ToHandover(item.Handover))
	case *apiv1.Envelope_PoolReport:
		r.receivePoolReport(item.PoolReport)
	case *apiv1.Envelope_PlannedMove:
		r.receiveMove(from.Name, item.PlannedMove)
	case *apiv1.Envelope_CacheEvents:
		c := item.CacheEvents
		r.atShard(peer.ToShard(c.Shard), func(now time.Time, o *pool.Owner) { o.CacheEvents(now, c.Server, c.Stored, c.Evicted) })
	}
}

// receiveAsk takes an ask of another router. A router that is not the owner,
// or that does not know the class yet, answers OwnerUnavailable, which the
// asking router repeats.
func (r *Router) receiveAsk(from pool.RouterID, m *apiv1.Ask) {
	shard := peer.ToShard(m.Shard)
	if c, known := r.class(m.Class); known && r.takeAsk(shard, peer.ToAsk(from, c, m, time.Now())) {
		return
	}
	r.sendRefusal(shard, pool.Refusal{Router: from, RequestID: m.RequestId, Code: result.OwnerUnavailable})
}

// takeAsk gives an ask to the owned shard, or keeps it while this router is
// the next owner and must not grant yet.
func (r *Router) takeAsk(shard pool.ShardID, a pool.Ask) bool {
	if r.atShard(shard, func(now time.Time, o *pool.Owner) { o.Ask(now, a) }) {
		return true
	}
	_, _, ok := r.ownership.Owner(shard)
	return !ok && r.inheritances.addAsk(time.Now(), shard, a)
}

func (r *Router) class(name string) (class.Class, bool) {
	cat := r.catalog.Load()
	if cat == nil {
		return class.Class{}, false
	}
	c, ok := cat.Class(name)
	return c.Normalize(), ok
}

// receiveRefusal ends an ask. After OwnerUnavailable the views of the two
// routers differ for a moment: the ask stays and is repeated.
func (r *Router) receiveRefusal(m *apiv1.Refusal) {
	f := peer.ToRefusal(m)
	if f.Code == result.OwnerUnavailable {
		r.asks.again(f.RequestID)
		return
	}
	r.takeRefusal(f)
}

// receiveAnnouncement stores an announcement that another router received, and
// gives it to the owner if that is this router.
func (r *Router) receiveAnnouncement(text []byte) {
	a, err := backend.Decode(bytes.NewReader(text))
	now := time.Now()
	if err != nil || r.checkHolder(now, a) != nil {
		return
	}
	r.servers.update(now, a)
	r.atShard(r.shardOf(a.Pool), func(now time.Time, o *pool.Owner) { o.Announce(now, a) })
}
