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

const testCallTimeout = 30 * time.Second

// runInCluster runs a test with three servers in virtual time.
func runInCluster(t *testing.T, test func(t *testing.T, g *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		g := newCluster(t, 3)
		defer g.stopAll()
		g.bootstrap()
		test(t, g)
	})
}

func submit(t *testing.T, c *controlclient.Client, in *apiv1.SubmitRequest) *apiv1.SubmitResponse {
	ctx, cancel := timeoutContext(testCallTimeout)
	defer cancel()
	out, err := c.Submit(ctx, in)
	assert.Check(t, err)
	return out
}

// Guards against two successful commands of concurrent operators with the same
// expected revision through different hosts (F6), and against a conflict
// response without the current revision and value.
func TestOneOfConcurrentSubmitsWithSameRevisionWins(t *testing.T) {
	runInCluster(t, func(t *testing.T, g *cluster) {
		replies := make(chan *apiv1.SubmitResponse, 3)
		for id := uint64(1); id <= 3; id++ {
			c := g.client("", id)
			defer c.Close()
			go func() { replies <- submit(t, c, submitRequest(address(id)[:9], 1, setDataCentre("north", id == 1))) }()
		}
		winners := 0
		for range 3 {
			out := <-replies
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

// Guards against a command that is executed twice when the leader fails before
// it responds and the command is resent through another host (F6).
func TestCommandResentAfterLostAnswerGetsFirstResult(t *testing.T) {
	runInCluster(t, func(t *testing.T, g *cluster) {
		g.members[1].loseNextAnswer = true
		c := g.client("", 1, 2, 3)
		defer c.Close()
		in := submitRequest("c1", 1, setDataCentre("north", true))
		out := submit(t, c, in)
		assert.Equal(t, out.GetCode(), uint32(0))
		assert.Equal(t, out.GetRevision(), uint64(2))
		assert.Assert(t, out.GetRepeatedCommand())
		assert.Equal(t, g.leader, uint64(2))
		in.Changes[0] = setDataCentre("north", false)
		assert.Equal(t, result.Code(submit(t, c, in).GetCode()), result.CommandReused)
	})
}

// Guards against the loss of command results when all hosts restart with
// nothing but the log (F8).
func TestResultsSurviveRestartOfAllHosts(t *testing.T) {
	runInCluster(t, func(t *testing.T, g *cluster) {
		c := g.client("", 1, 2, 3)
		defer c.Close()
		in := submitRequest("c1", 1, setDataCentre("north", true))
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

// Guards against a command with a wrong key that is written to the log, or that
// is accepted.
func TestOperatorCredentialIsChecked(t *testing.T) {
	runInCluster(t, func(t *testing.T, g *cluster) {
		c := g.client("", 2)
		defer c.Close()
		in := submitRequest("c1", 0, setDataCentre("north", true))
		in.OperatorKey = "wrong"
		before := len(g.entries)
		assert.Equal(t, result.Code(submit(t, c, in).GetCode()), result.NotAuthorized)
		assert.Equal(t, len(g.entries), before)
		in.OperatorKey = operatorKey
		assert.Equal(t, submit(t, c, in).GetCode(), uint32(0))
	})
}

// startWatch starts Watch and returns a function that stops it.
func startWatch(t *testing.T, c *controlclient.Client, store *catalog.Store) func() {
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

// Guards against a configuration that reverts to an old revision of a
// partitioned host that still responds (F1, F2, F5), in a running router and in
// one that restarted without state.
func TestCatalogNeverRevertsToPartitionedHost(t *testing.T) {
	runInCluster(t, func(t *testing.T, g *cluster) {
		c := g.client("", 1)
		defer c.Close()
		submit(t, c, submitRequest("c1", 0, setDataCentre("north", false)))
		g.setPartitioned(3, true)
		submit(t, c, submitRequest("c2", 0, setDataCentre("north", true)))

		running := catalog.NewStore()
		running.ApplySnapshot(3, []*apiv1.Change{setDataCentre("north", true)})
		defer startWatch(t, g.client("r1", 3), running)()
		restarted := catalog.NewStore()
		defer startWatch(t, g.client("r2", 3), restarted)()
		time.Sleep(time.Minute)
		assert.Assert(t, running.Load().IsDataCentreOut("north"))
		assert.Assert(t, restarted.Load() == nil, "accepted revision %d of a partitioned host", restarted.Revision())

		g.setPartitioned(3, false)
		time.Sleep(time.Minute)
		assert.Equal(t, restarted.Revision(), uint64(3))
	})
}

// Guards against a router that keeps watching a partitioned control host and
// gets no new configuration (F5).
func TestWatchLeavesPartitionedHost(t *testing.T) {
	runInCluster(t, func(t *testing.T, g *cluster) {
		store := catalog.NewStore()
		c := g.client("", 1)
		defer c.Close()
		for id := uint64(2); id <= 3; id++ { // whichever host the router starts with
			defer startWatch(t, g.client("r1", 3, 2), store)()
			time.Sleep(time.Second)
			g.setPartitioned(id, true)
			revision := submit(t, c, submitRequest(address(id)[:9], 0, setDataCentre("north", true))).GetRevision()
			time.Sleep(controlclient.MaxUnconfirmedTime + 3*time.Second)
			assert.Equal(t, store.Revision(), revision)
			g.setPartitioned(id, false)
		}
	})
}

// Guards against a watch stream and calls that hang on an unresponsive
// connection while new connections work (F9).
func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	runInCluster(t, func(t *testing.T, g *cluster) {
		store := catalog.NewStore()
		defer startWatch(t, g.client("r1", 1), store)()
		c := g.client("r1", 1)
		defer c.Close()
		submit(t, c, submitRequest("c1", 0, setDataCentre("north", false)))
		time.Sleep(time.Second)
		assert.Equal(t, store.Revision(), uint64(2))
		g.mu.Lock()
		g.members[1].connEpoch++
		g.mu.Unlock()
		// Keepalive would detect the failure only after 12 s.
		ctx, cancel := timeoutContext(8 * time.Second)
		defer cancel()
		out, err := c.Submit(ctx, submitRequest("c2", 0, setDataCentre("north", true)))
		assert.NilError(t, err)
		assert.Equal(t, out.GetRevision(), uint64(3))
		time.Sleep(controlclient.HeartbeatTimeout + 2*time.Second)
		assert.Assert(t, store.Load().IsDataCentreOut("north"))
	})
}

// Guards against a keyed request that stays BEGIN_RUNNING after its router was
// killed, and against one that becomes BEGIN_UNKNOWN while its router renews
// its session (design, section 7).
func TestExpiredSessionMakesOutcomeUnknown(t *testing.T) {
	runInCluster(t, func(t *testing.T, g *cluster) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go g.members[1].server.Run(ctx)
		expiredClient, renewingClient := g.client("dead", 1), g.client("alive", 1)
		defer expiredClient.Close()
		defer renewingClient.Close()
		beginState := func(c *controlclient.Client, in *apiv1.BeginRequest) apiv1.BeginState {
			out, _, err := c.Begin(ctx, in)
			assert.NilError(t, err)
			return out.GetState()
		}
		assert.Equal(t, beginState(expiredClient, beginRequest("w", "k1", "a", "dead", 0, 1)), apiv1.BeginState_BEGIN_STARTED)
		assert.Equal(t, beginState(renewingClient, beginRequest("w", "k2", "a", "alive", 0, 1)), apiv1.BeginState_BEGIN_STARTED)
		for range 8 {
			_, err := renewingClient.RenewSession(ctx)
			assert.NilError(t, err)
			time.Sleep(SessionTTL / 3)
		}
		assert.Equal(t, beginState(renewingClient, beginRequest("w", "k1", "a", "other", 0, 2)), apiv1.BeginState_BEGIN_UNKNOWN)
		assert.Equal(t, beginState(renewingClient, beginRequest("w", "k2", "a", "other", 0, 3)), apiv1.BeginState_BEGIN_RUNNING)
	})
}

// Guards against routers that watch control hosts although relays exist, that
// keep watching a host that is no longer a relay, or that get no configuration
// when their relay fails (design, section 3.10).
func TestWatchFollowsRelaysAndFallsBack(t *testing.T) {
	runInCluster(t, func(t *testing.T, g *cluster) {
		var relay atomic.Uint64
		relay.Store(2)
		c, err := controlclient.New(controlclient.Config{
			Addresses: []string{address(1)}, Router: "r1", Logger: discardLogger(),
			Upstreams:   func() []string { return []string{address(relay.Load())} },
			DialOptions: []grpc.DialOption{grpc.WithContextDialer(g.dial)},
		})
		assert.NilError(t, err)
		defer startWatch(t, c, catalog.NewStore())()
		watchers := func() (out []int64) {
			time.Sleep(3 * time.Second)
			for id := uint64(1); id <= 3; id++ {
				out = append(out, g.members[id].server.watchers.Count())
			}
			return out
		}
		assert.DeepEqual(t, watchers(), []int64{0, 1, 0})
		assert.Assert(t, c.ConfirmedWithin(2*time.Second))
		relay.Store(3)
		assert.DeepEqual(t, watchers(), []int64{0, 0, 1})
		g.mu.Lock()
		stopped := g.members[3]
		delete(g.members, 3)
		g.mu.Unlock()
		stopped.grpc.Stop()
		time.Sleep(3 * time.Second)
		assert.Equal(t, g.members[1].server.watchers.Count(), int64(1))
		g.start(3)
		time.Sleep(time.Minute)
		assert.DeepEqual(t, watchers(), []int64{0, 0, 1})
	})
}

// Guards against sessions that end and records that expire while there is no
// majority (F1): live routers cannot renew their sessions then.
func TestClockStopsWithoutMajority(t *testing.T) {
	runInCluster(t, func(t *testing.T, g *cluster) {
		c := g.client("r1", 1)
		defer c.Close()
		ctx, cancel := timeoutContext(72 * time.Hour)
		defer cancel()
		_, _, err := c.Begin(ctx, beginRequest("w", "k", "a", "r1", 1, 1))
		assert.NilError(t, err)
		time.Sleep(48 * time.Hour)       // no commands are committed
		for attempt := range uint64(2) { // the first call advances the clock
			out, _, err := c.Begin(ctx, beginRequest("w", "k", "a", "r2", 1, attempt))
			assert.NilError(t, err)
			assert.Equal(t, out.GetState(), apiv1.BeginState_BEGIN_RUNNING)
		}
	})
}

// Guards against a lease that two routers hold, a lease granted by a host that
// is not the leader, and a fencing number that decreases when all hosts
// restart.
func TestFenceSurvivesRestartOfAllHosts(t *testing.T) {
	runInCluster(t, func(t *testing.T, g *cluster) {
		a, b := g.client("a", 1, 2, 3), g.client("b", 3, 2, 1)
		defer a.Close()
		defer b.Close()
		unheld := &apiv1.Fence{Server: "s"}
		next := func(router string) *apiv1.Fence {
			return &apiv1.Fence{Server: "s", Number: 1, Holder: orders.Holder(router, 0)}
		}
		acquire := func(c *controlclient.Client, observed, next *apiv1.Fence) (result.Code, *apiv1.Fence) {
			out, err := c.AcquireFence(t.Context(), observed, next)
			assert.NilError(t, err)
			return result.Code(out.GetCode()), out.GetPresent()
		}
		code, _ := acquire(a, unheld, next("a"))
		assert.Equal(t, code, result.OK)
		for id := uint64(1); id <= 3; id++ {
			g.stop(id)
			g.start(id)
		}
		code, current := acquire(b, unheld, next("b"))
		assert.Equal(t, code, result.FenceStale)
		assert.Assert(t, proto.Equal(current, next("a")), "%v", current)
		code, current = acquire(b, unheld, nil)
		assert.Equal(t, code, result.OK)
		assert.Assert(t, proto.Equal(current, next("a")), "%v", current)
		code, _ = acquire(b, current, next("b"))
		assert.Equal(t, code, result.InvalidRequest, "same fencing number for another holder")
	})
}

// Guards against a key that stays in use because a Begin that was answered by
// its repetition takes effect after the owner has aborted.
func TestDelayedBeginOfAnsweredAttemptLeavesKeyFree(t *testing.T) {
	runInCluster(t, func(t *testing.T, g *cluster) {
		owner, late, last := g.client("owner", 2, 3, 1), g.client("late", 1), g.client("last", 1)
		defer owner.Close()
		defer late.Close()
		defer last.Close()
		first := beginRequest("w", "k", "a", "owner", 1, 1)
		_, repeated, err := owner.Begin(t.Context(), first)
		assert.NilError(t, err)
		assert.Assert(t, !repeated, "a host that does not lead passes nothing on")
		g.mu.Lock()
		g.delayNext = true
		g.mu.Unlock()
		answered := beginRequest("w", "k", "a", "late", 1, 1)
		out, repeated, err := late.Begin(t.Context(), answered)
		assert.NilError(t, err)
		assert.Equal(t, out.State, apiv1.BeginState_BEGIN_RUNNING)
		assert.Assert(t, repeated, "the caller cannot know that it has to abort")
		_, err = late.Abort(t.Context(), &apiv1.AbortRequest{Begin: answered})
		assert.NilError(t, err)
		_, err = owner.Abort(t.Context(), &apiv1.AbortRequest{Begin: first})
		assert.NilError(t, err)
		g.endFaults()
		out, _, err = last.Begin(t.Context(), beginRequest("w", "k", "a", "last", 1, 1))
		assert.NilError(t, err)
		assert.Equal(t, out.State, apiv1.BeginState_BEGIN_STARTED)
	})
}

// Guards against a call that is repeated until its context ends although its client was
// closed.
func TestCallOfClosedClientEndsAtOnce(t *testing.T) {
	runInCluster(t, func(t *testing.T, g *cluster) {
		c := g.client("r1", 1, 2, 3)
		g.setPartitioned(1, true)
		begun := time.Now()
		time.AfterFunc(time.Second, c.Close)
		ctx, cancel := timeoutContext(time.Hour)
		defer cancel()
		_, err := c.Abort(ctx, &apiv1.AbortRequest{Begin: beginRequest("w", "k", "a", "r1", 1, 1)})
		assert.ErrorContains(t, err, "closed")
		code, _ := result.CodeOf(err)
		assert.Equal(t, code, result.ShuttingDown)
		assert.Assert(t, time.Since(begun) < time.Minute, "%s", time.Since(begun))
	})
}
