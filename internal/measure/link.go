package measure

import (
	"encoding/json"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/fairshare"
	"jackdawtrack.example/jackdawtrack/pkg/pool"
)

const (
	flushInterval = 5 * time.Millisecond
	// framing is the cost of one message besides its payload: TCP/IP,
	// HTTP/2 frame and gRPC prefix.
	framing = 40 + 9 + 5
)

// message is one item for another router: its encoded form gives the size.
type message struct {
	env     *apiv1.Envelope
	deliver func(to *router)
}

type route struct{ from, to *router }

type channel struct {
	items   []message
	flushed time.Time
	waiting bool
}

// send queues a message. Messages of one direction leave in batches, at most
// every flushInterval; a router talks to itself without a link.
func (f *fleet) send(from, to *router, m message) {
	if from == to {
		f.after(0, func() { m.deliver(to) })
		return
	}
	key := route{from, to}
	c := f.channels[key]
	if c == nil {
		c = &channel{}
		f.channels[key] = c
	}
	c.items = append(c.items, m)
	if c.waiting {
		return
	}
	c.waiting = true
	f.at(c.flushed.Add(flushInterval), func() { f.flush(key, c) })
}

func (f *fleet) flush(key route, c *channel) {
	items := c.items
	c.items, c.waiting, c.flushed = nil, false, f.now
	if !f.linked(key.from, key.to) {
		return
	}
	batch := &apiv1.Batch{}
	for _, m := range items {
		batch.Items = append(batch.Items, m.env)
	}
	f.m.bytes[key.from.id.Name] += framing + proto.Size(batch)
	for _, m := range items {
		f.m.kinds[kindOf(m.env)] += proto.Size(m.env)
	}
	boot := key.to.id.Incarnation
	f.after(f.delay(key.from.dc, key.to.dc), func() {
		if !f.linked(key.from, key.to) || key.to.id.Incarnation != boot {
			return
		}
		for _, m := range items {
			m.deliver(key.to)
		}
	})
}

func kindOf(e *apiv1.Envelope) string {
	return string(e.ProtoReflect().WhichOneof(e.ProtoReflect().Descriptor().Oneofs().Get(0)).Name())
}

func wireShard(s pool.ShardID) *apiv1.ShardID {
	return &apiv1.ShardID{DataCentre: s.DataCentre, Pool: s.Pool, Shard: s.Shard}
}

func askMessage(s pool.ShardID, a pool.Ask, age time.Duration) *apiv1.Envelope {
	return &apiv1.Envelope{Item: &apiv1.Envelope_Ask{Ask: &apiv1.Ask{
		Shard: wireShard(s), RequestId: a.RequestID, Workspace: a.Workspace, Class: a.Class.Name,
		AgeMs: age.Milliseconds(), HintUnits: a.HintUnits, PromptUnits: a.PromptUnits, PrefixHash: a.PrefixHash, Avoid: a.Avoid,
	}}}
}

func grantMessage(s pool.ShardID, g pool.Grant) *apiv1.Envelope {
	return &apiv1.Envelope{Item: &apiv1.Envelope_Grant{Grant: &apiv1.Grant{
		Shard: wireShard(s), RequestId: g.RequestID, GrantId: g.GrantID, Epoch: g.Epoch,
		Server: g.Server, Address: g.Address, BootId: g.BootID,
	}}}
}

func refusalMessage(s pool.ShardID, r pool.Refusal) *apiv1.Envelope {
	return &apiv1.Envelope{Item: &apiv1.Envelope_Refusal{Refusal: &apiv1.Refusal{
		Shard: wireShard(s), RequestId: r.RequestID, Code: uint32(r.Code), RetryAfterMs: r.RetryAfter.Milliseconds(),
	}}}
}

func wireSettle(s pool.ShardID, t pool.Settle) *apiv1.Settle {
	return &apiv1.Settle{
		Shard: wireShard(s), GrantId: t.GrantID, Epoch: t.Epoch, Outcome: apiv1.Outcome(t.Outcome), CostUnits: t.CostUnits,
		FirstTokenUs: uint32(t.FirstToken.Microseconds()), TokenIntervalUs: uint32(t.TokenInterval.Microseconds()),
	}
}

func settleMessage(s pool.ShardID, t pool.Settle) *apiv1.Envelope {
	return &apiv1.Envelope{Item: &apiv1.Envelope_Settle{Settle: wireSettle(s, t)}}
}

func heldMessage(s pool.ShardID, held []pool.HeldGrant) *apiv1.Envelope {
	h := &apiv1.HeldGrants{Shard: wireShard(s)}
	for _, g := range held {
		h.Grants = append(h.Grants, &apiv1.HeldGrant{GrantId: g.GrantID, Epoch: g.Epoch, RequestId: g.RequestID,
			Server: g.Server, Workspace: g.Workspace, Class: g.Class, EstimateUnits: g.EstimateUnits})
	}
	return &apiv1.Envelope{Item: &apiv1.Envelope_HeldGrants{HeldGrants: h}}
}

func summaryMessage(s pool.Summary) *apiv1.Envelope {
	w := &apiv1.Summary{Shard: wireShard(s.From), FreeSlots: s.FreeSlots, Waiting: s.Waiting, Floor: s.Floor, Epoch: s.Epoch}
	for _, l := range s.Lowest {
		w.Lowest = append(w.Lowest, &apiv1.WaitingValue{Value: l.Value, Count: l.Count})
	}
	return &apiv1.Envelope{Item: &apiv1.Envelope_Summary{Summary: w}}
}

func loanMessage(l pool.Loan) *apiv1.Envelope {
	return &apiv1.Envelope{Item: &apiv1.Envelope_Loan{Loan: &apiv1.Loan{From: wireShard(l.From), To: wireShard(l.To), LoanId: l.LoanID,
		Epoch: l.Epoch, Server: l.Server, Address: l.Address, BootId: l.BootID, Slots: l.Slots, TtlMs: uint32(l.TTL.Milliseconds())}}}
}

func returnMessage(r pool.LoanReturn) *apiv1.Envelope {
	w := &apiv1.LoanReturn{From: wireShard(r.From), To: wireShard(r.To), LoanId: r.LoanID, Epoch: r.Epoch, Unused: r.Unused}
	for _, u := range r.Used {
		w.Used = append(w.Used, wireSettle(pool.ShardID{}, u))
	}
	return &apiv1.Envelope{Item: &apiv1.Envelope_LoanReturn{LoanReturn: w}}
}

func totalsMessage(o fairshare.Origin, totals []fairshare.Total, full bool) *apiv1.Envelope {
	w := &apiv1.Totals{Origin: &apiv1.RouterID{Name: o.Name, DataCentre: o.DataCentre, Incarnation: o.Incarnation}, Full: full}
	for _, t := range totals {
		w.Totals = append(w.Totals, &apiv1.WorkspaceTotal{Workspace: t.Workspace, Units: t.Units})
	}
	return &apiv1.Envelope{Item: &apiv1.Envelope_Totals{Totals: w}}
}

func announcementMessage(a backend.Announcement) *apiv1.Envelope {
	text, err := json.Marshal(a)
	if err != nil {
		panic(err) // a fixed type always encodes
	}
	return &apiv1.Envelope{Item: &apiv1.Envelope_Announcement{Announcement: &apiv1.Announcement{Json: text}}}
}

func eventsMessage(s pool.ShardID, server string, stored, evicted []uint64) *apiv1.Envelope {
	return &apiv1.Envelope{Item: &apiv1.Envelope_CacheEvents{CacheEvents: &apiv1.CacheEvents{Shard: wireShard(s), Server: server, Stored: stored, Evicted: evicted}}}
}

func handoverMessage(h pool.Handover) *apiv1.Envelope {
	w := &apiv1.Handover{Shard: wireShard(h.Shard), Epoch: h.Epoch}
	for _, s := range h.Servers {
		w.Servers = append(w.Servers, &apiv1.ServerState{AnnouncementJson: s.Announcement, Limit: uint32(s.Limit), Cold: s.Cold})
	}
	for _, g := range h.Grants {
		w.Grants = append(w.Grants, &apiv1.HeldGrant{GrantId: g.GrantID, Epoch: g.Epoch, RequestId: g.RequestID,
			Server: g.Server, Workspace: g.Workspace, Class: g.Class, EstimateUnits: g.EstimateUnits})
	}
	return &apiv1.Envelope{Item: &apiv1.Envelope_Handover{Handover: w}}
}
