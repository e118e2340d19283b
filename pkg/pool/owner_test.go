package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/class"
	"jackdawtrack.example/jackdawtrack/pkg/fairshare"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

var (
	start  = time.Unix(1_700_000_000, 0)
	chat   = class.Class{Name: "chat", FirstToken: 2 * time.Second}.WithDefaults()
	draft  = class.Class{Name: "draft", FirstToken: 30 * time.Second, MayWait: true, MaxWait: 10 * time.Minute}.WithDefaults()
	router = RouterID{Name: "r1", DataCentre: "a", Incarnation: 1}
	shardA = ShardID{DataCentre: "a", Pool: "m"}
	shardB = ShardID{DataCentre: "b", Pool: "m"}
)

func newOwner(id ShardID, epoch uint64) *Owner {
	ledger := fairshare.NewLedger(fairshare.Origin{Name: id.DataCentre})
	return NewOwner(id, epoch, DefaultConfig(), ledger, start)
}

// announce returns the announcement of a ready engine with 8 slots that has
// served total requests.
func announce(name string, total int64) backend.Announcement {
	return backend.Announcement{
		Name: name, DataCentre: "a", Address: "127.0.0.1:1", Pool: "m", Kind: backend.Engine,
		BootID: 1, Slots: 8, State: backend.Ready, Load: backend.Load{TotalRequests: total},
	}
}

func ask(id uint64, workspace string, c class.Class, now time.Time) Ask {
	return Ask{Router: router, RequestID: id, Workspace: workspace, Class: c, Arrived: now}
}

// newGrantingOwner returns an owner with cold servers after its recovery wait,
// and the present time.
func newGrantingOwner(servers ...string) (*Owner, time.Time) {
	o := newOwner(shardA, 1)
	now := start.Add(DefaultRecoveryWait)
	for _, name := range servers {
		o.HandleAnnouncement(now, announce(name, 0))
	}
	o.Tick(now)
	o.TakeOutput()
	return o, now
}

// Guards against grants above the limit of a cold server, and against a slot
// that a settle does not release.
func TestGrantsUpToColdLimit(t *testing.T) {
	o, now := newGrantingOwner("s1")
	for id := uint64(1); id <= 3; id++ {
		o.Ask(now, ask(id, "w", draft, now))
	}
	out := o.TakeOutput()
	assert.Equal(t, len(out.Grants), 2)
	o.Settle(now, Settle{GrantID: out.Grants[0].GrantID, Epoch: 1, Outcome: OutcomeOK, CostUnits: 100})
	assert.Equal(t, len(o.TakeOutput().Grants), 1)
}

// Guards against a second grant for a repeated ask.
func TestRepeatedAskGetsSameGrant(t *testing.T) {
	o, now := newGrantingOwner("s1")
	o.Ask(now, ask(1, "w", draft, now))
	first := o.TakeOutput().Grants
	o.Ask(now, ask(1, "w", draft, now))
	assert.DeepEqual(t, o.TakeOutput().Grants, first)
	assert.Equal(t, o.Snapshot().Grants, 1)
}

// Guards against grants without the abilities of their server: on a borrowed
// slot, and when a grant is repeated after a handover.
func TestGrantsCarryAbilities(t *testing.T) {
	abilities := backend.Abilities{Resume: true, Cancel: true, RepeatsID: true}
	ann := announce("s1", 0)
	ann.Abilities = abilities
	for _, announced := range []bool{true, false} { // whether the server announces itself to the new owner first
		o, now := newGrantingOwner()
		o.HandleAnnouncement(now, ann)
		o.Ask(now, ask(1, "w", draft, now))
		assert.Equal(t, o.TakeOutput().Grants[0].Abilities, abilities)
		next := newOwner(shardA, 2)
		if announced {
			next.HandleAnnouncement(now, ann)
		}
		next.AcceptHandover(now, o.Handover())
		next.Ask(now, ask(1, "w", draft, now))
		assert.Equal(t, next.TakeOutput().Grants[0].Abilities, abilities)
	}
	a, now := newGrantingOwner()
	a.HandleAnnouncement(now, ann)
	a.HandleSummary(now, Summary{From: shardB, Epoch: 1, Waiting: 1, Lowest: []WaitingValue{{Value: 0, Count: 1}}})
	b := newOwner(shardB, 1)
	b.Tick(now)
	b.Ask(now, ask(1, "w", draft, now))
	b.HandleLoan(now, a.TakeOutput().Loans[0])
	assert.Equal(t, b.TakeOutput().Grants[0].Abilities, abilities)
}

// Guards against a new owner that grants before its recovery wait is over and
// so does not know all open grants yet.
func TestNoGrantBeforeRecovery(t *testing.T) {
	o := newOwner(shardA, 2)
	o.HandleAnnouncement(start, announce("s1", 0))
	o.Ask(start, ask(1, "w", draft, start))
	assert.Equal(t, len(o.TakeOutput().Grants), 0)
	o.Tick(start.Add(DefaultRecoveryWait))
	assert.Equal(t, len(o.TakeOutput().Grants), 1)
}

// Guards against asks that wait although their class may not and its target
// cannot be met: they are refused at once, with a retry time.
func TestEarlyRefusal(t *testing.T) {
	o, now := newGrantingOwner("s1")
	o.Ask(now, ask(1, "w", draft, now))
	o.Ask(now, ask(2, "w", draft, now))
	g := o.TakeOutput().Grants
	now = now.Add(2900 * time.Millisecond)
	o.Settle(now, Settle{GrantID: g[0].GrantID, Epoch: 1, Outcome: OutcomeOK, CostUnits: 100, FirstToken: time.Second})
	o.Ask(now, ask(3, "w", draft, now))
	o.TakeOutput()
	for id := uint64(4); id < 10; id++ {
		o.Ask(now, ask(id, "w", chat, now))
	}
	out := o.TakeOutput()
	assert.Assert(t, len(out.Refusals) > 0)
	assert.Equal(t, out.Refusals[0].Code, result.TargetUnreachable)
	assert.Assert(t, out.Refusals[0].RetryAfter >= minRetryAfter)
}

// Guards against a loan that is used twice, and against a lent slot that is not
// released after its return.
func TestLoan(t *testing.T) {
	a, now := newGrantingOwner("s1")
	b := newOwner(shardB, 1)
	b.Tick(now)
	b.Ask(now, ask(1, "w", draft, now))
	b.Tick(now.Add(summaryIdleInterval))
	now = now.Add(summaryIdleInterval)
	for _, s := range b.TakeOutput().Summaries {
		a.HandleSummary(now, s)
	}
	loans := a.TakeOutput().Loans
	assert.Equal(t, len(loans), 1)
	b.HandleLoan(now, loans[0])
	out := b.TakeOutput()
	assert.Equal(t, len(out.Grants), 1)
	assert.Equal(t, out.Grants[0].Server, "s1")
	assert.Equal(t, len(out.LoanReturns), 0)
	assert.Equal(t, a.Snapshot().Servers[0].InFlight, 1)
	b.Settle(now, Settle{GrantID: out.Grants[0].GrantID, Epoch: 1, Outcome: OutcomeOK, CostUnits: 100})
	a.HandleLoanReturn(now, b.TakeOutput().LoanReturns[0])
	assert.Equal(t, a.Snapshot().Servers[0].InFlight, 0)
	assert.Equal(t, a.Snapshot().Lent, 0)
}

// Guards against a lent slot that stays in use although the borrower had no ask
// for it.
func TestUnusedLoanIsReturned(t *testing.T) {
	a, now := newGrantingOwner("s1")
	a.HandleSummary(now, Summary{From: shardB, Epoch: 1, Waiting: 1, Lowest: []WaitingValue{{Value: 0, Count: 1}}})
	loans := a.TakeOutput().Loans
	assert.Equal(t, len(loans), 1)
	b := newOwner(shardB, 1)
	b.Tick(now)
	b.HandleLoan(now, loans[0])
	a.HandleLoanReturn(now, b.TakeOutput().LoanReturns[0])
	assert.Equal(t, a.Snapshot().Servers[0].InFlight, 0)
	assert.Equal(t, a.Snapshot().Lent, 0)
}

// Guards against asks that wait longer than their class allows, and against a
// wrong result code of their refusal.
func TestExpiry(t *testing.T) {
	o, now := newGrantingOwner()
	o.Ask(now, ask(1, "w", draft, now))
	o.HandleAnnouncement(now, announce("s1", 0))
	o.Ask(now, ask(2, "w", draft, now))
	o.TakeOutput() // both slots of the cold server are in use
	o.Ask(now, ask(3, "w", chat, now))
	o.Ask(now, ask(4, "w", draft, now))
	assert.Equal(t, len(o.TakeOutput().Refusals), 0)
	o.Tick(now.Add(chat.FirstToken))
	out := o.TakeOutput()
	assert.Equal(t, out.Refusals[0].Code, result.TargetUnreachable)
	o.Tick(now.Add(draft.MaxWait))
	out = o.TakeOutput()
	assert.Equal(t, len(out.Refusals), 1)
	assert.Equal(t, out.Refusals[0].Code, result.WaitExpired)
}

// Guards against overload of a cold server by a new owner that does not know
// its running requests: the owner has to wait for a load report taken after its
// start.
func TestNewOwnerCountsUnseenWork(t *testing.T) {
	o := newOwner(shardA, 2)
	now := start.Add(DefaultRecoveryWait)
	o.Tick(now)
	for id := uint64(1); id <= 3; id++ {
		o.Ask(now, ask(id, "w", draft, now))
	}
	a := announce("s1", 5)
	a.Load.AgeMS = 2500
	o.HandleAnnouncement(now, a)
	assert.Equal(t, len(o.TakeOutput().Grants), 0)
	a.Load.AgeMS, a.Load.Running = 500, 1
	o.HandleAnnouncement(now, a)
	assert.Equal(t, len(o.TakeOutput().Grants), 1)
}

// Guards against a repeated grant without an address: after a handover the new
// owner does not know the servers of borrowed slots.
func TestRepeatedAskForLostGrantOnBorrowedServer(t *testing.T) {
	o, now := newGrantingOwner("s1")
	o.epoch = 2
	o.AcceptHandover(now, Handover{Shard: shardA, Epoch: 1, Grants: []HeldGrant{
		{Router: router, GrantID: 7, Epoch: 1, RequestID: 1, Server: "borrowed", Workspace: "w", Class: "draft"},
	}})
	o.TakeOutput()
	o.Ask(now, ask(1, "w", draft, now))
	out := o.TakeOutput()
	assert.Equal(t, len(out.Grants), 1)
	assert.Equal(t, out.Grants[0].Server, "s1")
	assert.Assert(t, out.Grants[0].Address != "")
	assert.Equal(t, o.Snapshot().Grants, 1)
}
