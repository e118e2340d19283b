package peer

import (
	"time"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/class"
	"jackdawtrack.example/jackdawtrack/pkg/pool"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// FromShard converts a shard id to its message.
func FromShard(s pool.ShardID) *apiv1.ShardID {
	return &apiv1.ShardID{DataCentre: s.DataCentre, Pool: s.Pool, Shard: s.Shard}
}

// ToShard converts a message to a shard id.
func ToShard(m *apiv1.ShardID) pool.ShardID {
	return pool.ShardID{DataCentre: m.GetDataCentre(), Pool: m.GetPool(), Shard: m.GetShard()}
}

// FromRouter converts a router id to its message.
func FromRouter(r pool.RouterID) *apiv1.RouterID {
	return &apiv1.RouterID{Name: r.Name, DataCentre: r.DataCentre, Incarnation: r.Incarnation}
}

// ToRouter converts a message to a router id.
func ToRouter(m *apiv1.RouterID) pool.RouterID {
	return pool.RouterID{Name: m.GetName(), DataCentre: m.GetDataCentre(), Incarnation: m.GetIncarnation()}
}

// FromAsk converts an ask. Its arrival becomes an age, because routers do not
// compare clocks.
func FromAsk(shard pool.ShardID, a pool.Ask, now time.Time) *apiv1.Envelope {
	return &apiv1.Envelope{Item: &apiv1.Envelope_Ask{Ask: &apiv1.Ask{
		Shard:       FromShard(shard),
		RequestId:   a.RequestID,
		Workspace:   a.Workspace,
		Class:       a.Class.Name,
		AgeMs:       now.Sub(a.Arrived).Milliseconds(),
		HintUnits:   a.HintUnits,
		PromptUnits: a.PromptUnits,
		PrefixHash:  a.PrefixHash,
		Avoid:       a.Avoid,
		Model:       a.Model,
	}}}
}

// ToAsk converts an ask of a router.
func ToAsk(from pool.RouterID, c class.Class, m *apiv1.Ask, now time.Time) pool.Ask {
	return pool.Ask{
		Router:      from,
		RequestID:   m.RequestId,
		Workspace:   m.Workspace,
		Class:       c,
		Model:       m.Model,
		Arrived:     now.Add(-time.Duration(max(m.AgeMs, 0)) * time.Millisecond),
		HintUnits:   m.HintUnits,
		PromptUnits: m.PromptUnits,
		PrefixHash:  m.PrefixHash,
		Avoid:       m.Avoid,
	}
}

func fromAbilities(a backend.Abilities) *apiv1.Abilities {
	return &apiv1.Abilities{Resume: a.Resume, Cancel: a.Cancel, RepeatsId: a.RepeatsID}
}

func toAbilities(m *apiv1.Abilities) backend.Abilities {
	return backend.Abilities{Resume: m.GetResume(), Cancel: m.GetCancel(), RepeatsID: m.GetRepeatsId()}
}

// FromGrant converts a grant.
func FromGrant(shard pool.ShardID, g pool.Grant) *apiv1.Grant {
	return &apiv1.Grant{
		Shard:         FromShard(shard),
		RequestId:     g.RequestID,
		GrantId:       g.GrantID,
		Epoch:         g.Epoch,
		Server:        g.Server,
		Address:       g.Address,
		BootId:        g.BootID,
		Abilities:     fromAbilities(g.Abilities),
		EstimateUnits: g.EstimateUnits,
	}
}

// ToGrant converts a grant. Its router is the one that receives it.
func ToGrant(m *apiv1.Grant) pool.Grant {
	return pool.Grant{
		RequestID:     m.RequestId,
		GrantID:       m.GrantId,
		Epoch:         m.Epoch,
		Server:        m.Server,
		Address:       m.Address,
		BootID:        m.BootId,
		Abilities:     toAbilities(m.Abilities),
		EstimateUnits: m.EstimateUnits,
	}
}

// FromRefusal converts a refusal.
func FromRefusal(shard pool.ShardID, f pool.Refusal) *apiv1.Refusal {
	return &apiv1.Refusal{
		Shard:        FromShard(shard),
		RequestId:    f.RequestID,
		Code:         uint32(f.Code),
		RetryAfterMs: f.RetryAfter.Milliseconds(),
	}
}

// ToRefusal converts a refusal.
func ToRefusal(m *apiv1.Refusal) pool.Refusal {
	return pool.Refusal{
		RequestID:  m.RequestId,
		Code:       result.Code(m.Code),
		RetryAfter: time.Duration(m.RetryAfterMs) * time.Millisecond,
	}
}

// FromSettle converts a settle.
func FromSettle(shard pool.ShardID, s pool.Settle) *apiv1.Settle {
	return &apiv1.Settle{
		Shard:           FromShard(shard),
		GrantId:         s.GrantID,
		Epoch:           s.Epoch,
		Outcome:         apiv1.Outcome(s.Outcome),
		CostUnits:       s.CostUnits,
		FirstTokenUs:    microseconds(s.FirstToken),
		TokenIntervalUs: microseconds(s.TokenInterval),
	}
}

// microseconds bounds a latency to the range of its field, 71 minutes.
func microseconds(d time.Duration) uint32 {
	const most = 1<<32 - 1
	return uint32(min(max(d.Microseconds(), 0), most))
}

// ToSettle converts a settle.
func ToSettle(m *apiv1.Settle) pool.Settle {
	return pool.Settle{
		GrantID:       m.GrantId,
		Epoch:         m.Epoch,
		Outcome:       pool.Outcome(m.Outcome),
		CostUnits:     m.CostUnits,
		FirstToken:    time.Duration(m.FirstTokenUs) * time.Microsecond,
		TokenInterval: time.Duration(m.TokenIntervalUs) * time.Microsecond,
	}
}

func fromHeldGrants(grants []pool.HeldGrant) []*apiv1.HeldGrant {
	out := make([]*apiv1.HeldGrant, 0, len(grants))
	for _, g := range grants {
		out = append(out, &apiv1.HeldGrant{
			GrantId:       g.GrantID,
			Epoch:         g.Epoch,
			RequestId:     g.RequestID,
			Server:        g.Server,
			Workspace:     g.Workspace,
			Class:         g.Class,
			EstimateUnits: g.EstimateUnits,
		})
	}
	return out
}

func toHeldGrant(holder pool.RouterID, m *apiv1.HeldGrant) pool.HeldGrant {
	return pool.HeldGrant{
		Router:        holder,
		GrantID:       m.GrantId,
		Epoch:         m.Epoch,
		RequestID:     m.RequestId,
		Server:        m.Server,
		Workspace:     m.Workspace,
		Class:         m.Class,
		EstimateUnits: m.EstimateUnits,
	}
}

// FromHeld converts the grants of a shard that a router uses.
func FromHeld(shard pool.ShardID, grants []pool.HeldGrant) *apiv1.Envelope {
	return &apiv1.Envelope{Item: &apiv1.Envelope_HeldGrants{HeldGrants: &apiv1.HeldGrants{
		Shard: FromShard(shard), Grants: fromHeldGrants(grants),
	}}}
}

// ToHeld converts the grants that a router uses.
func ToHeld(holder pool.RouterID, list []*apiv1.HeldGrant) []pool.HeldGrant {
	out := make([]pool.HeldGrant, 0, len(list))
	for _, m := range list {
		out = append(out, toHeldGrant(holder, m))
	}
	return out
}

// FromSummary converts a summary.
func FromSummary(s pool.Summary) *apiv1.Summary {
	m := &apiv1.Summary{
		Shard:     FromShard(s.From),
		FreeSlots: s.FreeSlots,
		Waiting:   s.Waiting,
		Floor:     s.Floor,
		Epoch:     s.Epoch,
	}
	for _, v := range s.Lowest {
		m.Lowest = append(m.Lowest, &apiv1.WaitingValue{Value: v.Value, Count: v.Count})
	}
	return m
}

// ToSummary converts a summary.
func ToSummary(m *apiv1.Summary) pool.Summary {
	s := pool.Summary{
		From:      ToShard(m.Shard),
		Epoch:     m.Epoch,
		FreeSlots: m.FreeSlots,
		Waiting:   m.Waiting,
		Floor:     m.Floor,
	}
	for _, v := range m.Lowest {
		s.Lowest = append(s.Lowest, pool.WaitingValue{Value: v.Value, Count: v.Count})
	}
	return s
}

// FromLoan converts a loan.
func FromLoan(l pool.Loan) *apiv1.Loan {
	return &apiv1.Loan{
		From:      FromShard(l.From),
		To:        FromShard(l.To),
		LoanId:    l.LoanID,
		Epoch:     l.Epoch,
		Server:    l.Server,
		Address:   l.Address,
		BootId:    l.BootID,
		Slots:     l.Slots,
		TtlMs:     uint32(l.TTL.Milliseconds()),
		Models:    l.Models,
		Abilities: fromAbilities(l.Abilities),
	}
}

// ToLoan converts a loan.
func ToLoan(m *apiv1.Loan) pool.Loan {
	return pool.Loan{
		From:      ToShard(m.From),
		To:        ToShard(m.To),
		LoanID:    m.LoanId,
		Epoch:     m.Epoch,
		Server:    m.Server,
		Address:   m.Address,
		BootID:    m.BootId,
		Slots:     m.Slots,
		Models:    m.Models,
		Abilities: toAbilities(m.Abilities),
		TTL:       time.Duration(m.TtlMs) * time.Millisecond,
	}
}

// FromLoanReturn converts the return of a loan.
func FromLoanReturn(l pool.LoanReturn) *apiv1.LoanReturn {
	m := &apiv1.LoanReturn{
		From:   FromShard(l.From),
		To:     FromShard(l.To),
		LoanId: l.LoanID,
		Epoch:  l.Epoch,
		Unused: l.Unused,
	}
	for _, s := range l.Used {
		m.Used = append(m.Used, FromSettle(l.From, s))
	}
	return m
}

// ToLoanReturn converts the return of a loan.
func ToLoanReturn(m *apiv1.LoanReturn) pool.LoanReturn {
	l := pool.LoanReturn{
		From:   ToShard(m.From),
		To:     ToShard(m.To),
		LoanID: m.LoanId,
		Epoch:  m.Epoch,
		Unused: m.Unused,
	}
	for _, s := range m.Used {
		l.Used = append(l.Used, ToSettle(s))
	}
	return l
}

// FromHandover converts a hand-over.
func FromHandover(h pool.Handover) *apiv1.Envelope {
	m := &apiv1.Handover{Shard: FromShard(h.Shard), Epoch: h.Epoch, Grants: fromHeldGrants(h.Grants)}
	for _, s := range h.Servers {
		m.Servers = append(m.Servers, &apiv1.ServerState{
			AnnouncementJson: s.Announcement, Limit: uint32(max(s.Limit, 0)), Cold: s.Cold, Unsettled: uint32(max(s.Unsettled, 0)),
		})
	}
	for _, g := range h.Grants {
		m.Holders = append(m.Holders, FromRouter(g.Router))
	}
	return &apiv1.Envelope{Item: &apiv1.Envelope_Handover{Handover: m}}
}

// ToHandover converts a hand-over. Grants without a holder are dropped; their
// routers re-report them.
func ToHandover(m *apiv1.Handover) pool.Handover {
	h := pool.Handover{Shard: ToShard(m.Shard), Epoch: m.Epoch}
	for _, s := range m.Servers {
		h.Servers = append(h.Servers, pool.ServerState{Announcement: s.AnnouncementJson, Limit: int(s.Limit), Cold: s.Cold, Unsettled: int(s.Unsettled)})
	}
	for i, g := range m.Grants {
		if i < len(m.Holders) {
			h.Grants = append(h.Grants, toHeldGrant(ToRouter(m.Holders[i]), g))
		}
	}
	return h
}
