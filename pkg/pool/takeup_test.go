package pool

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/class"
	"jackdawtrack.example/jackdawtrack/pkg/fairshare"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

func takeUp(id uint64, workspace string, c class.Class, now time.Time) Ask {
	a := ask(id, workspace, c, now)
	a.TakesUp = true
	return a
}

// newWarmOwner returns an owner with warm servers of 8 slots each.
func newWarmOwner(t *testing.T, cfg Config, servers int) *Owner {
	t.Helper()
	o := NewOwner(shardA, 2, cfg, fairshare.NewLedger(fairshare.Origin{Name: "a"}), start)
	h := Handover{Shard: shardA, Epoch: 1}
	for i := range servers {
		text, err := json.Marshal(announce(fmt.Sprintf("s%d", i), 0))
		assert.NilError(t, err)
		h.Servers = append(h.Servers, ServerState{Announcement: text, Limit: 8})
	}
	o.AcceptHandover(start, h)
	for i := range servers {
		o.HandleAnnouncement(start, announce(fmt.Sprintf("s%d", i), 0))
	}
	o.TakeOutput()
	return o
}

// fill occupies all slots of the owner and returns their grants.
func fill(t *testing.T, o *Owner, slots int) []Grant {
	t.Helper()
	for i := range slots {
		o.Ask(start, ask(uint64(1000+i), "filler", draft, start))
	}
	grants := o.TakeOutput().Grants
	assert.Equal(t, len(grants), slots)
	return grants
}

// settleAfter settles a grant that took the given time.
func settleAfter(o *Owner, g Grant, now time.Time) {
	o.Settle(now, Settle{GrantID: g.GrantID, Epoch: g.Epoch, Outcome: OutcomeOK, CostUnits: 1000, FirstToken: 100 * time.Millisecond, TokenInterval: 20 * time.Millisecond})
}

// Guards against a take-up that gets its slot after queued new streams, of its own
// workspace or of another one that is owed more.
func TestTakeUpGoesAheadOfQueuedNewStreams(t *testing.T) {
	o := newWarmOwner(t, DefaultConfig(), 1)
	grants := fill(t, o, 8)
	for id := uint64(1); id <= 10; id++ {
		o.Ask(start, ask(id, fmt.Sprintf("w%d", id%3), draft, start))
	}
	o.Ask(start, takeUp(11, "filler", draft, start))
	o.Ask(start, takeUp(12, "w0", draft, start))
	var order []uint64
	for _, g := range grants[:3] {
		settleAfter(o, g, start.Add(time.Second))
		for _, g := range o.TakeOutput().Grants {
			order = append(order, g.RequestID)
		}
	}
	assert.DeepEqual(t, order[:2], []uint64{11, 12})
	assert.Assert(t, order[2] <= 10, "the third slot was not granted to a new stream")
}

// Guards against a borrowed slot that goes to a new stream or is returned while a take-up
// waits, and against a slot that is lent for a peer that is owed more than its workspace.
func TestTakeUpGoesAheadOnLoans(t *testing.T) {
	o := newWarmOwner(t, DefaultConfig(), 1)
	grants := fill(t, o, 8)
	o.Ask(start, ask(1, "w", draft, start))
	o.Ask(start, takeUp(2, "filler", draft, start))
	o.Ask(start, takeUp(3, "filler", draft, start))
	o.HandleLoan(start, Loan{From: shardB, To: shardA, LoanID: 1, Epoch: 1, Server: "b1", Address: "127.0.0.1:2", BootID: 1, Slots: 1, TTL: time.Second})
	assert.Equal(t, o.TakeOutput().Grants[0].RequestID, uint64(2))
	o.HandleSummary(start, Summary{From: shardB, Epoch: 1, Waiting: 1, Lowest: []WaitingValue{{Value: -1_000_000, Count: 1}}})
	settleAfter(o, grants[0], start.Add(time.Second))
	out := o.TakeOutput()
	assert.Equal(t, len(out.Loans), 0)
	assert.Equal(t, out.Grants[0].RequestID, uint64(3))
}

// Guards against a take-up that blocks the slot of a server that it avoids, and against one
// that loses its place for that.
func TestTakeUpThatAvoidsAServerKeepsItsPlace(t *testing.T) {
	o := newWarmOwner(t, DefaultConfig(), 1)
	grants := fill(t, o, 8)
	a := takeUp(1, "w", draft, start)
	a.Avoid = []string{"s0"}
	o.Ask(start, a)
	o.Ask(start, ask(2, "w", draft, start))
	settleAfter(o, grants[0], start.Add(time.Second))
	assert.Equal(t, o.TakeOutput().Grants[0].RequestID, uint64(2))
	o.Ask(start, ask(3, "w", draft, start))
	a.Avoid = nil
	o.Ask(start.Add(time.Second), a)
	settleAfter(o, grants[1], start.Add(time.Second))
	assert.Equal(t, o.TakeOutput().Grants[0].RequestID, uint64(1))
}

// Guards against the bound of a workspace that take-ups use up which got no slot.
func TestTakeUpsThatLeaveDoNotUseTheBound(t *testing.T) {
	o := newWarmOwner(t, DefaultConfig(), 1)
	grants := fill(t, o, 8)
	for id := uint64(1); id <= 500; id++ {
		o.Ask(start, takeUp(id, "w", draft, start))
		o.Cancel(start, router, id)
	}
	o.Ask(start, ask(501, "v", draft, start))
	o.Ask(start, takeUp(502, "w", draft, start))
	o.Ask(start, takeUp(503, "w", draft, start))
	settleAfter(o, grants[0], start.Add(time.Second))
	settleAfter(o, grants[1], start.Add(time.Second))
	out := o.TakeOutput()
	assert.DeepEqual(t, []uint64{out.Grants[0].RequestID, out.Grants[1].RequestID}, []uint64{502, 503})
}

// Guards against take-ups of one workspace that go ahead beyond its bound, and against a
// bound that does not recover while others are served.
func TestTakeUpsBeyondTheBoundAreNewAsks(t *testing.T) {
	o := newWarmOwner(t, DefaultConfig(), 1)
	fill(t, o, 8)
	for id := uint64(1); id <= 200; id++ {
		o.Ask(start, takeUp(id, "w", draft, start))
	}
	bound := o.takeUps.length
	assert.Assert(t, bound > 0 && bound < 200)
	o.Ask(start, takeUp(201, "v", draft, start))
	assert.Equal(t, o.takeUps.length, bound+1, "the bound of another workspace")
	o.takeUps.fairService += 1e9
	o.Ask(start, takeUp(202, "w", draft, start))
	assert.Equal(t, o.takeUps.length, bound+2)
}

// Guards against a take-up that is refused as target_unreachable for the new streams
// that wait before it, while one of them can begin.
func TestTakeUpIsNotRefusedForTheWaitOfNewStreams(t *testing.T) {
	o := newWarmOwner(t, DefaultConfig(), 1)
	grants := fill(t, o, 8)
	now := start.Add(4 * time.Second)
	o.HandleAnnouncement(now, announce("s0", 0))
	settleAfter(o, grants[0], now) // a slot becomes free each 0.5 s
	refused := false
	for id := uint64(1); id < 20; id++ {
		o.Ask(now, ask(id, fmt.Sprintf("w%d", id%3), chat, now))
		refused = len(o.TakeOutput().Refusals) > 0 || refused
	}
	assert.Assert(t, refused, "no overload")
	o.Ask(now, takeUp(21, "w0", chat, now))
	assert.Equal(t, len(o.TakeOutput().Refusals), 0)
	settleAfter(o, grants[1], now.Add(500*time.Millisecond))
	assert.Equal(t, o.TakeOutput().Grants[0].RequestID, uint64(21))
}

// Guards against a take-up that is accepted although those ahead of it use up its target.
func TestTakeUpIsRefusedForTheWaitOfTakeUps(t *testing.T) {
	o := newWarmOwner(t, DefaultConfig(), 1)
	grants := fill(t, o, 8)
	now := start.Add(4 * time.Second)
	o.HandleAnnouncement(now, announce("s0", 0))
	settleAfter(o, grants[0], now)
	o.Ask(now, ask(1, "w", chat, now))
	o.TakeOutput()
	for id := uint64(2); id < 20; id++ {
		o.Ask(now, takeUp(id, fmt.Sprintf("w%d", id), chat, now))
	}
	refusals := o.TakeOutput().Refusals
	assert.Assert(t, len(refusals) > 0)
	assert.Equal(t, refusals[0].Code, result.TargetUnreachable)
}

// Guards against a take-up that is refused for a queue that is full of new streams, of its
// workspace or of all, and against a new stream or too many that it takes the place of.
func TestTakeUpDisplacesTheLastNewStreamOfAFullQueue(t *testing.T) {
	for name, tc := range map[string]struct {
		perWorkspace, total int
		workspace           string // of the take-up
		displaced           uint64
	}{
		"workspace":               {perWorkspace: 4, total: 100, workspace: "w0", displaced: 7},
		"all":                     {perWorkspace: 100, total: 8, workspace: "w0", displaced: 7},
		"all, of other workspace": {perWorkspace: 100, total: 8, workspace: "v", displaced: 8},
	} {
		t.Run(name, func(t *testing.T) {
			cfg := DefaultConfig()
			cfg.MaxWaitingPerWorkspace, cfg.MaxWaitingTotal = tc.perWorkspace, tc.total
			o := newWarmOwner(t, cfg, 1)
			fill(t, o, 8)
			for id := uint64(1); id <= 8; id++ {
				at := start.Add(time.Duration(id) * time.Millisecond)
				o.Ask(at, ask(id, fmt.Sprintf("w%d", 1-id%2), draft, at)) // w0 has 1, 3, 5, 7
			}
			assert.Equal(t, len(o.TakeOutput().Refusals), 0)
			now := start.Add(time.Second)
			o.Ask(now, takeUp(11, tc.workspace, draft, now))
			refusals := o.TakeOutput().Refusals
			assert.Equal(t, len(refusals), 1)
			assert.Equal(t, refusals[0].RequestID, tc.displaced)
			assert.Equal(t, refusals[0].Code, result.QueueFull)
			assert.Equal(t, o.Snapshot().Waiting, 8)
			o.Ask(now, ask(12, tc.workspace, draft, now))
			refusals = o.TakeOutput().Refusals
			assert.Assert(t, len(refusals) == 1 && refusals[0].RequestID == 12, "a new stream displaced another one")
		})
	}
}

// Guards against take-ups of many workspaces that leave new streams of others, which are owed
// more, less than every second slot, after half of the slots at once.
func TestTakeUpsLeaveEverySecondSlotToNewStreams(t *testing.T) {
	o := newWarmOwner(t, DefaultConfig(), 1)
	grants := fill(t, o, 8)
	for id := uint64(1); id <= 40; id++ {
		w := fmt.Sprintf("w%d", id)
		o.Ask(start, ask(100+id, fmt.Sprintf("new%d", id), draft, start))
		o.ledger.Charge(o.queue.Flow(w).Account(), 100_000)
		o.Ask(start, takeUp(id, w, draft, start))
	}
	newStreams := 0
	for n := 1; n <= 24; n++ {
		settleAfter(o, grants[0], start.Add(time.Second))
		granted := o.TakeOutput().Grants
		assert.Equal(t, len(granted), 1)
		grants = append(grants[1:], granted[0])
		if granted[0].RequestID > 100 {
			newStreams++
		}
		assert.Check(t, newStreams >= (n-4)/2, "%d of %d slots", newStreams, n)
		assert.Check(t, newStreams <= n/2, "%d of %d slots", newStreams, n)
	}
}

// Guards against a new ask that is accepted although the take-ups that go ahead of it use up
// its target, also those of classes that may wait and of workspaces that are owed less.
func TestNewAskIsRefusedForTheWaitOfTakeUps(t *testing.T) {
	o := newWarmOwner(t, DefaultConfig(), 1)
	grants := fill(t, o, 8)
	now := start.Add(4 * time.Second)
	o.HandleAnnouncement(now, announce("s0", 0))
	settleAfter(o, grants[0], now) // a slot becomes free each 0.5 s
	o.Ask(now, ask(1, "v", draft, now))
	assert.Equal(t, len(o.TakeOutput().Grants), 1)
	o.Ask(now, ask(10, "v", draft, now))
	for id := uint64(2); id <= 5; id++ { // the burst is 4
		w := fmt.Sprintf("w%d", id)
		o.ledger.Charge(o.queue.Flow(w).Account(), 100_000)
		o.Ask(now, takeUp(id, w, draft, now))
	}
	assert.Equal(t, len(o.TakeOutput().Refusals), 0)
	o.Ask(now, ask(6, "new", chat, now))
	refusals := o.TakeOutput().Refusals
	assert.Equal(t, len(refusals), 1)
	assert.Equal(t, refusals[0].Code, result.TargetUnreachable)
}

// Guards against the bound of a workspace that grants use up whose requests reached no
// server: after failed connections its take-ups ask again.
func TestGrantsThatReachNoServerDoNotUseTheBound(t *testing.T) {
	for _, tc := range []struct {
		outcome Outcome
		charged bool
	}{{OutcomeUnused, false}, {OutcomeConnectFailed, false}, {OutcomeBroken, true}} {
		o := newWarmOwner(t, DefaultConfig(), 1)
		grants := fill(t, o, 8)
		for id := uint64(11); id < 20; id++ { // each grant pays only a tenth of a debt
			o.Ask(start, ask(id, fmt.Sprintf("v%d", id), draft, start))
		}
		o.Ask(start, takeUp(2, "w", draft, start))
		settleAfter(o, grants[0], start.Add(time.Second))
		g := o.TakeOutput().Grants[0]
		assert.Equal(t, g.RequestID, uint64(2))
		flow := o.queue.Flow("w")
		assert.Assert(t, o.takeUpDebt(flow) > 0)
		o.Settle(start.Add(time.Second), Settle{GrantID: g.GrantID, Epoch: g.Epoch, Outcome: tc.outcome})
		assert.Check(t, o.takeUpDebt(flow) > 0 == tc.charged, "outcome %d: %v", tc.outcome, o.takeUpDebt(flow))
	}
}
