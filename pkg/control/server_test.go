package control

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/catalog"
	"jackdawtrack.example/jackdawtrack/pkg/controlclient"
	"jackdawtrack.example/jackdawtrack/pkg/orders"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

const callTime = 30 * time.Second

// inGroup runs a test over three servers in virtual time.
func inGroup(t *testing.T, test func(t *testing.T, g *group)) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)
		defer g.stopAll()
		g.bootstrap()
		test(t, g)
	})
}

func submit(t *testing.T, c *controlclient.Client, in *apiv1.SubmitRequest) *apiv1.SubmitResponse {
	ctx, cancel := within(callTime)
	defer cancel()
	out, err := c.Submit(ctx, in)
	assert.Check(t, err)
	return out
}

// Guards against two winners among operators who race with equal expected
// revisions through different hosts (F6), and against a loser who learns
// neither the present revision nor the present value.
func TestOperatorsRacingWithEqualRevisionsHaveOneWinner(t *testing.T) {
	inGroup(t, func(t *testing.T, g *group) {
		outs := make(chan *apiv1.SubmitResponse, 3)
		for id := uint64(1); id <= 3; id++ {
			c := g.client("", id)
			defer c.Close()
			go func() { outs <- submit(t, c, submitOf(address(id)[:9], 1, setDataCentre("north", id == 1))) }()
		}
		winners := 0
		for range 3 {
			out := <-outs
			if out.GetCode() == 0 {
				winners++
				continue
			}
			assert.Equal(t, result.Code(out.GetCode()), result.RevisionConflict)
			assert.Equal(t, out.GetRevision(), uint64(2))
			assert.Equal(t, out.GetPresent()[0].GetDataCentre().GetName(), "north")
			assert.Assert(t, !out.GetPresent()[0].GetDelete())
		}
		assert.Equal(t, winners, 1)
	})
}

// Guards against a command that runs twice when its answer is lost together
// with the leader and it is resent through another host (F6).
func TestCommandResentAfterLostAnswerGetsFirstResult(t *testing.T) {
	inGroup(t, func(t *testing.T, g *group) {
		g.members[1].loseNext = true
		c := g.client("", 1, 2, 3)
		defer c.Close()
		in := submitOf("c1", 1, setDataCentre("north", true))
		out := submit(t, c, in)
		assert.Equal(t, out.GetCode(), uint32(0))
		assert.Equal(t, out.GetRevision(), uint64(2))
		assert.Assert(t, out.GetRepeatedCommand())
		assert.Equal(t, g.leader, uint64(2))
		in.Changes[0] = setDataCentre("north", false)
		assert.Equal(t, result.Code(submit(t, c, in).GetCode()), result.CommandReused)
	})
}

// Guards against a result that is forgotten when every host restarts with
// nothing but the log (F8).
func TestResultsSurviveRestartOfAllHosts(t *testing.T) {
	inGroup(t, func(t *testing.T, g *group) {
		c := g.client("", 1, 2, 3)
		defer c.Close()
		in := submitOf("c1", 1, setDataCentre("north", true))
		first := submit(t, c, in)
		for id := uint64(1); id <= 3; id++ {
			g.stop(id)
			g.start(id)
		}
		again := submit(t, c, in)
		assert.Equal(t, again.GetRevision(), first.GetRevision())
		assert.Assert(t, again.GetRepeatedCommand())
	})
}

// Guards against a wrong key that reaches the log or an unknown operator who
// is let in.
func TestOperatorCredentialIsChecked(t *testing.T) {
	inGroup(t, func(t *testing.T, g *group) {
		c := g.client("", 2)
		defer c.Close()
		in := submitOf("c1", 0, setDataCentre("north", true))
		in.OperatorKey = "wrong"
		before := len(g.entries)
		assert.Equal(t, result.Code(submit(t, c, in).GetCode()), result.NotAuthorized)
		assert.Equal(t, len(g.entries), before)
		in.OperatorKey = opKey
		assert.Equal(t, submit(t, c, in).GetCode(), uint32(0))
	})
}

// follow runs Watch until the test ends.
func follow(t *testing.T, c *controlclient.Client, store *catalog.Store) func() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = c.Watch(ctx, store)
	}()
	return func() {
		cancel()
		<-done
		c.Close()
	}
}

// Guards against a configuration that reverts because a host that is cut off
// from the others still answers (F1, F2, F5): neither a running router nor one
// that restarted with nothing may take its old revision.
func TestCatalogNeverRevertsToHostThatIsBehind(t *testing.T) {
	inGroup(t, func(t *testing.T, g *group) {
		c := g.client("", 1)
		defer c.Close()
		submit(t, c, submitOf("c1", 0, setDataCentre("north", false)))
		g.setCut(3, true)
		submit(t, c, submitOf("c2", 0, setDataCentre("north", true)))

		running := catalog.NewStore()
		running.ApplySnapshot(3, []*apiv1.Change{setDataCentre("north", true)})
		defer follow(t, g.client("r1", 3), running)()
		restarted := catalog.NewStore()
		defer follow(t, g.client("r2", 3), restarted)()
		time.Sleep(time.Minute)
		assert.Assert(t, running.Load().DataCentreOut("north"))
		assert.Assert(t, restarted.Load() == nil, "took revision %d of a host that is cut off", restarted.Revision())

		g.setCut(3, false)
		time.Sleep(time.Minute)
		assert.Equal(t, restarted.Revision(), uint64(3))
	})
}

// Guards against a router that stays with a control host that is silently cut
// off for a long time and gets no new configuration (F5).
func TestWatchLeavesHostThatConfirmsNothing(t *testing.T) {
	inGroup(t, func(t *testing.T, g *group) {
		store := catalog.NewStore()
		c := g.client("", 1)
		defer c.Close()
		for id := uint64(2); id <= 3; id++ { // whichever the router begins with
			defer follow(t, g.client("r1", 3, 2), store)()
			time.Sleep(time.Second)
			g.setCut(id, true)
			revision := submit(t, c, submitOf(address(id)[:9], 0, setDataCentre("north", true))).GetRevision()
			time.Sleep(controlclient.UnconfirmedLimit + 3*time.Second)
			assert.Equal(t, store.Revision(), revision)
			g.setCut(id, false)
		}
	})
}

// Guards against a watch stream and calls that hang on a connection that has
// gone silent for good while new connections work (F9).
func TestSilentConnectionIsReplaced(t *testing.T) {
	inGroup(t, func(t *testing.T, g *group) {
		store := catalog.NewStore()
		defer follow(t, g.client("r1", 1), store)()
		c := g.client("r1", 1)
		defer c.Close()
		submit(t, c, submitOf("c1", 0, setDataCentre("north", false)))
		time.Sleep(time.Second)
		assert.Equal(t, store.Revision(), uint64(2))
		g.mu.Lock()
		g.members[1].era++
		g.mu.Unlock()
		// Keepalive would find the silence after 12 s.
		ctx, cancel := within(8 * time.Second)
		defer cancel()
		out, err := c.Submit(ctx, submitOf("c2", 0, setDataCentre("north", true)))
		assert.NilError(t, err)
		assert.Equal(t, out.GetRevision(), uint64(3))
		time.Sleep(controlclient.HeartbeatTimeout + 2*time.Second)
		assert.Assert(t, store.Load().DataCentreOut("north"))
	})
}

// Guards against a keyed request that stays "running" for ever after its
// router was killed, and against one that becomes unknown while its router
// renews its session (section 7 of the design page).
func TestSessionEndMakesOutcomeUnknown(t *testing.T) {
	inGroup(t, func(t *testing.T, g *group) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go g.members[1].server.Run(ctx)
		dead, alive := g.client("dead", 1), g.client("alive", 1)
		defer dead.Close()
		defer alive.Close()
		state := func(c *controlclient.Client, in *apiv1.BeginRequest) apiv1.BeginState {
			out, err := c.Begin(ctx, in)
			assert.NilError(t, err)
			return out.GetState()
		}
		assert.Equal(t, state(dead, beginRequest("w", "k1", "a", "dead", 0, 1)), apiv1.BeginState_BEGIN_STARTED)
		assert.Equal(t, state(alive, beginRequest("w", "k2", "a", "alive", 0, 1)), apiv1.BeginState_BEGIN_STARTED)
		for range 8 {
			_, err := alive.RenewSession(ctx)
			assert.NilError(t, err)
			time.Sleep(SessionTTL / 3)
		}
		assert.Equal(t, state(alive, beginRequest("w", "k1", "a", "other", 0, 2)), apiv1.BeginState_BEGIN_UNKNOWN)
		assert.Equal(t, state(alive, beginRequest("w", "k2", "a", "other", 0, 3)), apiv1.BeginState_BEGIN_RUNNING)
	})
}

// Guards against routers that all watch control hosts although relays exist,
// that stay with a relay that is no longer one, or that have no configuration
// when their relay is gone (section 3.10).
func TestWatchFollowsRelaysAndFallsBack(t *testing.T) {
	inGroup(t, func(t *testing.T, g *group) {
		var relay atomic.Uint64
		relay.Store(2)
		c, err := controlclient.New(controlclient.Config{
			Addresses: []string{address(1)}, Router: "r1", Logger: quiet(),
			Upstreams:   func() []string { return []string{address(relay.Load())} },
			DialOptions: []grpc.DialOption{grpc.WithContextDialer(g.dial)},
		})
		assert.NilError(t, err)
		defer follow(t, c, catalog.NewStore())()
		watchers := func() (out []int64) {
			time.Sleep(3 * time.Second)
			for id := uint64(1); id <= 3; id++ {
				out = append(out, g.members[id].server.watchers.Count())
			}
			return out
		}
		assert.DeepEqual(t, watchers(), []int64{0, 1, 0})
		assert.Assert(t, c.Confirmed(2*time.Second))
		relay.Store(3)
		assert.DeepEqual(t, watchers(), []int64{0, 0, 1})
		g.mu.Lock()
		gone := g.members[3]
		delete(g.members, 3)
		g.mu.Unlock()
		gone.grpc.Stop()
		time.Sleep(3 * time.Second)
		assert.Equal(t, g.members[1].server.watchers.Count(), int64(1))
		g.start(3)
		time.Sleep(time.Minute)
		assert.DeepEqual(t, watchers(), []int64{0, 0, 1})
	})
}

// Guards against sessions that end, and records that expire, because no
// majority worked for a long time (F1): routers that are alive could not renew.
func TestTimeStandsStillWithoutMajority(t *testing.T) {
	inGroup(t, func(t *testing.T, g *group) {
		c := g.client("r1", 1)
		defer c.Close()
		ctx, cancel := within(72 * time.Hour)
		defer cancel()
		_, err := c.Begin(ctx, beginRequest("w", "k", "a", "r1", 1, 1))
		assert.NilError(t, err)
		time.Sleep(48 * time.Hour)       // nothing is committed
		for attempt := range uint64(2) { // the first one moves the clock
			out, err := c.Begin(ctx, beginRequest("w", "k", "a", "r2", 1, attempt))
			assert.NilError(t, err)
			assert.Equal(t, out.GetState(), apiv1.BeginState_BEGIN_RUNNING)
		}
	})
}

// Guards against a fence that two routers get, that a host which is not the
// leader grants, and whose number falls when every host restarts.
func TestFenceSurvivesRestartOfAllHosts(t *testing.T) {
	inGroup(t, func(t *testing.T, g *group) {
		a, b := g.client("a", 1, 2, 3), g.client("b", 3, 2, 1)
		defer a.Close()
		defer b.Close()
		free := &apiv1.Fence{Server: "s"}
		next := func(router string) *apiv1.Fence {
			return &apiv1.Fence{Server: "s", Number: 1, Holder: orders.Holder(router, 0)}
		}
		acquire := func(c *controlclient.Client, observed, next *apiv1.Fence) (result.Code, *apiv1.Fence) {
			out, err := c.AcquireFence(t.Context(), observed, next)
			assert.NilError(t, err)
			return result.Code(out.GetCode()), out.GetPresent()
		}
		code, _ := acquire(a, free, next("a"))
		assert.Equal(t, code, result.OK)
		for id := uint64(1); id <= 3; id++ {
			g.stop(id)
			g.start(id)
		}
		code, present := acquire(b, free, next("b"))
		assert.Equal(t, code, result.FenceStale)
		assert.Assert(t, proto.Equal(present, next("a")), "%v", present)
		code, present = acquire(b, free, nil)
		assert.Equal(t, code, result.OK)
		assert.Assert(t, proto.Equal(present, next("a")), "%v", present)
		code, _ = acquire(b, present, next("b"))
		assert.Equal(t, code, result.InvalidRequest, "the number stays with another holder")
	})
}
