package peer

import (
	"time"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/class"
	"jackdawtrack.example/jackdawtrack/pkg/pool"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// ShardToProto converts a shard id to its protobuf message.
func ShardToProto(s pool.ShardID) *apiv1.ShardID {
	return &apiv1.ShardID{DataCentre: s.DataCentre, Pool: s.Pool, Shard: s.Shard}
}

// ShardFromProto converts a protobuf message to a shard id.
func ShardFromProto(m *apiv1.ShardID) pool.ShardID {
	return pool.ShardID{DataCentre: m.GetDataCentre(), Pool: m.GetPool(), Shard: m.GetShard()}
}

// RouterToProto converts a router id to its protobuf message.
func RouterToProto(r pool.RouterID) *apiv1.RouterID {
	return &apiv1.RouterID{Name: r.Name, DataCentre: r.DataCentre, Incarnation: r.Incarnation}
}

// RouterFromProto converts a protobuf message to a router id.
func RouterFromProto(m *apiv1.RouterID) pool.RouterID {
	return pool.RouterID{Name: m.GetName(), DataCentre: m.GetDataCentre(), Incarnation: m.GetIncarnation()}
}

// AskToEnvelope converts a request for a grant to an envelope. The arrival time
// is sent as an age, because the clocks of routers may differ.
func AskToEnvelope(shard pool.ShardID, a pool.Ask, now time.Time) *apiv1.Envelope {
	return &apiv1.Envelope{Item: &apiv1.Envelope_Ask{Ask: &apiv1.Ask{
		Shard:       ShardToProto(shard),
		RequestId:   a.RequestID,
		Workspace:   a.Workspace,
		Class:       a.Class.Name,
		AgeMs:       now.Sub(a.Arrived).Milliseconds(),
		HintUnits:   a.HintUnits,
		PromptUnits: a.PromptUnits,
		PrefixHash:  a.PrefixHash,
		Avoid:       a.Avoid,
		TakesUp:     a.TakesUp,
		SendTo:      a.SendTo,
		Model:       a.Model,
	}}}
}

// AskFromProto converts the request for a grant of another router. It computes
// the arrival time from the age and now.
func AskFromProto(from pool.RouterID, c class.Class, m *apiv1.Ask, now time.Time) pool.Ask {
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
		TakesUp:     m.TakesUp,
		SendTo:      m.SendTo,
	}
}

func abilitiesToProto(a backend.Abilities) *apiv1.Abilities {
	return &apiv1.Abilities{Resume: a.Resume, Cancel: a.Cancel, RepeatsId: a.RepeatsID}
}

func abilitiesFromProto(m *apiv1.Abilities) backend.Abilities {
	return backend.Abilities{Resume: m.GetResume(), Cancel: m.GetCancel(), RepeatsID: m.GetRepeatsId()}
}

// GrantToProto converts a grant to its protobuf message. The message does not
// carry the router.
func GrantToProto(shard pool.ShardID, g pool.Grant) *apiv1.Grant {
	return &apiv1.Grant{
		Shard:         ShardToProto(shard),
		RequestId:     g.RequestID,
		GrantId:       g.GrantID,
		Epoch:         g.Epoch,
		Server:        g.Server,
		Address:       g.Address,
		BootId:        g.BootID,
		Abilities:     abilitiesToProto(g.Abilities),
		EstimateUnits: g.EstimateUnits,
		Limited:       g.Limited,
	}
}

// GrantFromProto converts a protobuf message to a grant. It leaves the router
// empty: the grant is for the router that receives it.
func GrantFromProto(m *apiv1.Grant) pool.Grant {
	return pool.Grant{
		RequestID:     m.RequestId,
		GrantID:       m.GrantId,
		Epoch:         m.Epoch,
		Server:        m.Server,
		Address:       m.Address,
		BootID:        m.BootId,
		Abilities:     abilitiesFromProto(m.Abilities),
		EstimateUnits: m.EstimateUnits,
		Limited:       m.Limited,
	}
}

// RefusalToProto converts a refusal to its protobuf message.
func RefusalToProto(shard pool.ShardID, f pool.Refusal) *apiv1.Refusal {
	return &apiv1.Refusal{
		Shard:        ShardToProto(shard),
		RequestId:    f.RequestID,
		Code:         uint32(f.Code),
		RetryAfterMs: f.RetryAfter.Milliseconds(),
	}
}

// RefusalFromProto converts a protobuf message to a refusal.
func RefusalFromProto(m *apiv1.Refusal) pool.Refusal {
	return pool.Refusal{
		RequestID:  m.RequestId,
		Code:       result.Code(m.Code),
		RetryAfter: time.Duration(m.RetryAfterMs) * time.Millisecond,
	}
}

// SettleToProto converts the settlement of a grant to its protobuf message.
func SettleToProto(shard pool.ShardID, s pool.Settle) *apiv1.Settle {
	return &apiv1.Settle{
		Shard:           ShardToProto(shard),
		GrantId:         s.GrantID,
		Epoch:           s.Epoch,
		Outcome:         apiv1.Outcome(s.Outcome),
		CostUnits:       s.CostUnits,
		FirstTokenUs:    clampMicroseconds(s.FirstToken),
		TokenIntervalUs: clampMicroseconds(s.TokenInterval),
	}
}

// clampMicroseconds returns a latency in microseconds, bounded to the range of its
// uint32 field, 71 minutes.
func clampMicroseconds(d time.Duration) uint32 {
	const maxMicroseconds = 1<<32 - 1
	return uint32(min(max(d.Microseconds(), 0), maxMicroseconds))
}

// SettleFromProto converts a protobuf message to the settlement of a grant.
func SettleFromProto(m *apiv1.Settle) pool.Settle {
	return pool.Settle{
		GrantID:       m.GrantId,
		Epoch:         m.Epoch,
		Outcome:       pool.Outcome(m.Outcome),
		CostUnits:     m.CostUnits,
		FirstToken:    time.Duration(m.FirstTokenUs) * time.Microsecond,
		TokenInterval: time.Duration(m.TokenIntervalUs) * time.Microsecond,
	}
}

func heldGrantsToProto(grants []pool.HeldGrant) []*apiv1.HeldGrant {
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

func heldGrantFromProto(holder pool.RouterID, m *apiv1.HeldGrant) pool.HeldGrant {
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

// HeldGrantsToEnvelope converts the grants of a shard that a router holds to an
// envelope.
func HeldGrantsToEnvelope(shard pool.ShardID, grants []pool.HeldGrant) *apiv1.Envelope {
	return &apiv1.Envelope{Item: &apiv1.Envelope_HeldGrants{HeldGrants: &apiv1.HeldGrants{
		Shard: ShardToProto(shard), Grants: heldGrantsToProto(grants),
	}}}
}

// HeldGrantsFromProto converts protobuf messages to the grants that the router
// holder holds.
func HeldGrantsFromProto(holder pool.RouterID, list []*apiv1.HeldGrant) []pool.HeldGrant {
	out := make([]pool.HeldGrant, 0, len(list))
	for _, m := range list {
		out = append(out, heldGrantFromProto(holder, m))
	}
	return out
}

// SummaryToProto converts the summary of a shard to its protobuf message.
func SummaryToProto(s pool.Summary) *apiv1.Summary {
	m := &apiv1.Summary{
		Shard:     ShardToProto(s.From),
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

// SummaryFromProto converts a protobuf message to the summary of a shard.
func SummaryFromProto(m *apiv1.Summary) pool.Summary {
	s := pool.Summary{
		From:      ShardFromProto(m.Shard),
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

// LoanToProto converts a loan of slots to its protobuf message.
func LoanToProto(l pool.Loan) *apiv1.Loan {
	return &apiv1.Loan{
		From:      ShardToProto(l.From),
		To:        ShardToProto(l.To),
		LoanId:    l.LoanID,
		Epoch:     l.Epoch,
		Server:    l.Server,
		Address:   l.Address,
		BootId:    l.BootID,
		Slots:     l.Slots,
		TtlMs:     uint32(l.TTL.Milliseconds()),
		Models:    l.Models,
		Abilities: abilitiesToProto(l.Abilities),
		Limited:   l.Limited,
	}
}

// LoanFromProto converts a protobuf message to a loan of slots.
func LoanFromProto(m *apiv1.Loan) pool.Loan {
	return pool.Loan{
		From:      ShardFromProto(m.From),
		To:        ShardFromProto(m.To),
		LoanID:    m.LoanId,
		Epoch:     m.Epoch,
		Server:    m.Server,
		Address:   m.Address,
		BootID:    m.BootId,
		Slots:     m.Slots,
		Models:    m.Models,
		Abilities: abilitiesFromProto(m.Abilities),
		TTL:       time.Duration(m.TtlMs) * time.Millisecond,
		Limited:   m.Limited,
	}
}

// LoanReturnToProto converts the return of a loan to its protobuf message.
func LoanReturnToProto(l pool.LoanReturn) *apiv1.LoanReturn {
	m := &apiv1.LoanReturn{
		From:   ShardToProto(l.From),
		To:     ShardToProto(l.To),
		LoanId: l.LoanID,
		Epoch:  l.Epoch,
		Unused: l.Unused,
	}
	for _, s := range l.Used {
		m.Used = append(m.Used, SettleToProto(l.From, s))
	}
	return m
}

// LoanReturnFromProto converts a protobuf message to the return of a loan.
func LoanReturnFromProto(m *apiv1.LoanReturn) pool.LoanReturn {
	l := pool.LoanReturn{
		From:   ShardFromProto(m.From),
		To:     ShardFromProto(m.To),
		LoanID: m.LoanId,
		Epoch:  m.Epoch,
		Unused: m.Unused,
	}
	for _, s := range m.Used {
		l.Used = append(l.Used, SettleFromProto(s))
	}
	return l
}

// LimitToEnvelope converts a statement of a server to an envelope for the owner of shard.
func LimitToEnvelope(shard pool.ShardID, s pool.LimitStatement) *apiv1.Envelope {
	return &apiv1.Envelope{Item: &apiv1.Envelope_ServerLimit{ServerLimit: &apiv1.ServerLimit{
		Shard:     ShardToProto(shard),
		Server:    s.Server,
		BootId:    s.BootID,
		Limited:   s.Limited,
		PerSecond: s.PerSecond,
		AgeUs:     s.Age.Microseconds(),
		SentAgeUs: s.SentAge.Microseconds(),
		GrantId:   s.GrantID,
		Epoch:     s.Epoch,
	}}}
}

// LimitFromProto converts a protobuf message to a statement of a server. It reports false
// if the limit is not a usable number.
func LimitFromProto(m *apiv1.ServerLimit) (pool.LimitStatement, bool) {
	s := pool.LimitStatement{
		Server:    m.Server,
		BootID:    m.BootId,
		Limited:   m.Limited,
		PerSecond: m.PerSecond,
		Age:       ageFromMicroseconds(m.AgeUs),
		SentAge:   ageFromMicroseconds(m.SentAgeUs),
		GrantID:   m.GrantId,
		Epoch:     m.Epoch,
	}
	return s, !s.Limited || isRequestRate(s.PerSecond)
}

// isRequestRate reports whether a limit in requests a second is usable. It is false for
// numbers that are not finite.
func isRequestRate(perSecond float64) bool {
	return perSecond >= 0 && perSecond <= backend.MaxRequestRate
}

// maxAge bounds ages from other routers, so that a time less an age stays valid.
const maxAge = 24 * time.Hour

func ageFromMicroseconds(us int64) time.Duration {
	return time.Duration(min(max(us, 0), maxAge.Microseconds())) * time.Microsecond
}

// HandoverToEnvelope converts the handover of a shard to an envelope.
func HandoverToEnvelope(h pool.Handover) *apiv1.Envelope {
	m := &apiv1.Handover{Shard: ShardToProto(h.Shard), Epoch: h.Epoch, Grants: heldGrantsToProto(h.Grants)}
	for _, s := range h.Servers {
		m.Servers = append(m.Servers, &apiv1.ServerState{
			AnnouncementJson: s.Announcement, Limit: uint32(max(s.Limit, 0)), Cold: s.Cold, Unsettled: uint32(max(s.Unsettled, 0)),
			Limited: s.Limited, PerSecond: s.PerSecond, LimitAgeUs: s.LimitAge.Microseconds(),
		})
	}
	for _, g := range h.Grants {
		m.Holders = append(m.Holders, RouterToProto(g.Router))
	}
	return &apiv1.Envelope{Item: &apiv1.Envelope_Handover{Handover: m}}
}

// HandoverFromProto converts a protobuf message to the handover of a shard. It
// drops grants without a holder; their routers report them again.
func HandoverFromProto(m *apiv1.Handover) pool.Handover {
	h := pool.Handover{Shard: ShardFromProto(m.Shard), Epoch: m.Epoch}
	for _, s := range m.Servers {
		h.Servers = append(h.Servers, pool.ServerState{
			Announcement: s.AnnouncementJson, Limit: int(s.Limit), Cold: s.Cold, Unsettled: int(s.Unsettled),
			Limited: s.Limited && isRequestRate(s.PerSecond), PerSecond: s.PerSecond, LimitAge: ageFromMicroseconds(s.LimitAgeUs),
		})
	}
	for i, g := range m.Grants {
		if i < len(m.Holders) {
			h.Grants = append(h.Grants, heldGrantFromProto(RouterFromProto(m.Holders[i]), g))
		}
	}
	return h
}
