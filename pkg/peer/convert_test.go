package peer

import (
	"math"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/class"
	"jackdawtrack.example/jackdawtrack/pkg/pool"
)

var (
	north = pool.ShardID{DataCentre: "north", Pool: "p"}
	south = pool.ShardID{DataCentre: "south", Pool: "p", Shard: 1}
)

var allAbilities = backend.Abilities{Resume: true, Cancel: true, RepeatsID: true}

// marshalRoundTrip encodes a message and decodes it into m, as on a stream between
// routers.
func marshalRoundTrip[M proto.Message](t *testing.T, from, m M) M {
	t.Helper()
	text, err := proto.Marshal(from)
	assert.NilError(t, err)
	assert.NilError(t, proto.Unmarshal(text, m))
	return m
}

// Guards against a borrowed slot that serves only the base model, because the
// message to the other data centre does not carry the models of its server.
func TestLoanKeepsItsModels(t *testing.T) {
	l := pool.Loan{From: north, To: south, LoanID: 3, Epoch: 4, Server: "s1", Address: "127.0.0.1:1", BootID: 5,
		Slots: 6, Models: []string{"adapter-a", "adapter-b"}, Abilities: allAbilities, TTL: 7 * time.Millisecond}
	assert.DeepEqual(t, LoanFromProto(marshalRoundTrip(t, LoanToProto(l), &apiv1.Loan{})), l)
}

// Guards against a request that is charged twice after the owner of its shard was
// lost, and against a stream that is not resumed or cancelled because the router
// does not know the abilities of the server.
func TestGrantKeepsEstimateAndAbilities(t *testing.T) {
	for _, a := range []backend.Abilities{{}, {Resume: true}, {Cancel: true}, {RepeatsID: true}, allAbilities} {
		g := pool.Grant{RequestID: 1, GrantID: 2, Epoch: 3, Server: "s1", Address: "127.0.0.1:1", BootID: 4, Abilities: a, EstimateUnits: 700}
		assert.DeepEqual(t, GrantFromProto(marshalRoundTrip(t, GrantToProto(north, g), &apiv1.Grant{})), g)
		l := pool.Loan{From: north, To: south, Abilities: a}
		assert.DeepEqual(t, LoanFromProto(marshalRoundTrip(t, LoanToProto(l), &apiv1.Loan{})), l)
	}
}

// Guards against a returned slot that counts as free although it is unknown
// whether its request still runs (outcome 0).
func TestLoanReturnKeepsUnknownOutcome(t *testing.T) {
	r := pool.LoanReturn{From: south, To: north, LoanID: 3, Epoch: 4, Unused: 1, Used: []pool.Settle{
		{GrantID: 8, Epoch: 2},
		{GrantID: 9, Epoch: 2, Outcome: pool.OutcomeOK, CostUnits: 10, FirstToken: time.Millisecond, TokenInterval: time.Microsecond},
	}}
	assert.DeepEqual(t, LoanReturnFromProto(marshalRoundTrip(t, LoanReturnToProto(r), &apiv1.LoanReturn{})), r)
}

// Guards against a take-up that the owner decides as a new ask, and against routers and
// owners of an older version: an ask without the statement is a new one, and one with it
// has the same other fields.
func TestAskKeepsThatItTakesUp(t *testing.T) {
	now, c, from := time.Unix(1_700_000_000, 0), class.Class{Name: "chat"}, pool.RouterID{Name: "r", DataCentre: "north", Incarnation: 1}
	for _, avoid := range [][]string{nil, {"s1", "s2"}} {
		newAsk := pool.Ask{Router: from, RequestID: 1, Workspace: "w", Class: c, Model: "m", Arrived: now, Avoid: avoid}
		takeUp := newAsk
		takeUp.TakesUp = true
		sent := AskToEnvelope(north, takeUp, now).GetAsk()
		assert.DeepEqual(t, AskFromProto(from, c, marshalRoundTrip(t, sent, &apiv1.Ask{}), now), takeUp)
		sent.TakesUp = false // as a version reads it that does not know the field
		assert.DeepEqual(t, AskFromProto(from, c, marshalRoundTrip(t, sent, &apiv1.Ask{}), now), newAsk)
		assert.DeepEqual(t, AskFromProto(from, c, marshalRoundTrip(t, AskToEnvelope(north, newAsk, now).GetAsk(), &apiv1.Ask{}), now), newAsk)
	}
}

// Guards against a limit of a server that is lost or changed between two routers: in the
// statement itself, in a handover, and in what tells a router that the end of a limit counts.
func TestMessagesKeepServerLimits(t *testing.T) {
	g := pool.Grant{RequestID: 1, GrantID: 2, Epoch: 3, Server: "s1", Limited: true}
	assert.DeepEqual(t, GrantFromProto(marshalRoundTrip(t, GrantToProto(north, g), &apiv1.Grant{})), g)
	l := pool.Loan{From: north, To: south, Server: "s1", Limited: true}
	assert.DeepEqual(t, LoanFromProto(marshalRoundTrip(t, LoanToProto(l), &apiv1.Loan{})), l)
	a := pool.Ask{RequestID: 1, Class: class.Class{Name: "chat"}, Arrived: time.Unix(1_700_000_000, 0), SendTo: "s1", TakesUp: true}
	m := marshalRoundTrip(t, AskToEnvelope(north, a, a.Arrived), &apiv1.Envelope{})
	assert.DeepEqual(t, AskFromProto(a.Router, a.Class, m.GetAsk(), a.Arrived), a)
	h := pool.Handover{Shard: north, Epoch: 4, Servers: []pool.ServerState{{Announcement: []byte("{}"), Limit: 5, Limited: true, PerSecond: 2.5, LimitAge: time.Second}}}
	m = marshalRoundTrip(t, HandoverToEnvelope(h), &apiv1.Envelope{})
	assert.DeepEqual(t, HandoverFromProto(m.GetHandover()), h)
	for _, s := range []pool.LimitStatement{
		{Server: "s1", BootID: 5, Limited: true, PerSecond: 0.5, Age: time.Second, SentAge: 2 * time.Second, GrantID: 6, Epoch: 7},
		{Server: "s1", BootID: 5, SentAge: 300 * time.Microsecond},
	} {
		m = marshalRoundTrip(t, LimitToEnvelope(north, s), &apiv1.Envelope{})
		got, ok := LimitFromProto(m.GetServerLimit())
		assert.Assert(t, ok)
		assert.DeepEqual(t, got, s)
		assert.Equal(t, ShardFromProto(m.GetServerLimit().Shard), north)
	}
}

// Guards against numbers from another router that are no limits or ages.
func TestOddServerLimitIsRejected(t *testing.T) {
	for _, perSecond := range []float64{-1, math.NaN(), math.Inf(1), 2 * backend.MaxRequestRate} {
		_, ok := LimitFromProto(&apiv1.ServerLimit{Server: "s1", Limited: true, PerSecond: perSecond})
		assert.Assert(t, !ok, "%g", perSecond)
		h := HandoverFromProto(&apiv1.Handover{Servers: []*apiv1.ServerState{{Limited: true, PerSecond: perSecond}}})
		assert.Assert(t, !h.Servers[0].Limited, "%g", perSecond)
	}
	s, ok := LimitFromProto(&apiv1.ServerLimit{Server: "s1", AgeUs: -5, SentAgeUs: math.MaxInt64})
	assert.Assert(t, ok)
	assert.Equal(t, s.Age, time.Duration(0))
	assert.Equal(t, s.SentAge, maxAge)
}
