package edge

import (
	"context"
	"fmt"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/dispatch"
	"jackdawtrack.example/jackdawtrack/pkg/quarantine"
	"jackdawtrack.example/jackdawtrack/pkg/release"
	"jackdawtrack.example/jackdawtrack/pkg/streamrecord"
)

// newChainTest is newStreamTest at a service of two releases.
func newChainTest() *proxiedRequest {
	x := newStreamTest()
	x.s.fleetView.releases.merge([]*apiv1.ServiceReleases{{Service: "s", Releases: []uint64{uint64(v1), uint64(v2)}, Revision: 1}}, x.s.log)
	return x
}

// takeUp returns a request that resumes the stream of x.
func (x *proxiedRequest) takeUp(id string) *proxiedRequest {
	in := *x.in
	in.ID, in.Resumes, in.LastEventID, in.Arrived = id, x.in.ID, "4", time.Now()
	return &proxiedRequest{
		s: x.s, in: &in, w: httptest.NewRecorder(), route: x.route, callerCtx: context.Background(),
		dispatchReq: &dispatch.Request{Workspace: "w", Service: "s"},
	}
}

// Guards against a chain of take-ups that is refused once the deadline of its first
// attempt has passed, although each one brought events.
func TestChainOfTakeUpsIsNotRefusedAfterItsFirstDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newChainTest()
		for i := range 4 {
			time.Sleep(40 * time.Second) // virtual time
			y := x.takeUp(fmt.Sprintf("take-up-%d", i))
			assert.Assert(t, y.bindRelease(), "take-up %d: %s", i, y.decision.Reason)
			y.beginStream(y.newExchange(dispatch.Decision{Server: "second", StartMS: 1000, Release: v1}, y.dispatchReq))
			assert.Equal(t, y.dispatchReq.Release, v1)
		}
		assert.Equal(t, x.s.count("edge.resumptions.recorded"), int64(4))
	})
}

// Guards against a record that is kept by take-ups without an event, whose callers were
// told nothing that they could come back with.
func TestTakeUpWithoutEventDoesNotKeepTheRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newChainTest()
		time.Sleep(40 * time.Second) // virtual time
		assert.Assert(t, x.takeUp("silent").bindRelease())
		time.Sleep(streamrecord.MaxTTL - 40*time.Second)
		y := x.takeUp("late")
		assert.Assert(t, !y.bindRelease())
		assert.Equal(t, y.w.(*httptest.ResponseRecorder).Code, 503)
	})
}

// Guards against a take-up that makes a record of a name which only the history supports:
// any name would do, and would get what recorded streams get.
func TestTakeUpByHistoryIsNotRecorded(t *testing.T) {
	x := newChainTest()
	x.in.ID = "never-begun"
	y := x.takeUp("take-up")
	y.dispatchReq.Release, y.dispatchReq.Resumption = v1, true // as the history says while it lists one release
	y.beginStream(y.newExchange(dispatch.Decision{Server: "second", StartMS: 1000, Release: v1}, y.dispatchReq))
	assert.Assert(t, y.start == nil)
	id, _ := x.s.streamRecords.Find(t.Context(), streamrecord.Query{Key: streamrecord.KeyOf("w", "r", "never-begun"), Service: "s"})
	assert.Equal(t, id, release.Unknown)
}

// Guards against a stream that goes on, joined from two releases, at a server which came
// back with another one before the take-up and announces itself after its first event.
// The same holds if the server that began the stream did.
func TestTakeUpAtRestartedServerEndsWhenThatIsNoticed(t *testing.T) {
	for _, server := range []string{"first", "second"} {
		t.Run(server, func(t *testing.T) {
			x := newChainTest()
			y := x.takeUp("take-up")
			assert.Assert(t, y.bindRelease())
			e := y.newExchange(dispatch.Decision{Server: "second", StartMS: 1000, Release: v1}, y.dispatchReq)
			assert.Assert(t, y.checkRelease(e))
			y.beginStream(e)
			y.headSent = true
			assert.NilError(t, e.ctx.Err())
			x.s.announceTest(server, 2000, v2)
			assert.Check(t, e.ctx.Err() != nil, "the take-up goes on")
			assert.Check(t, !y.mayGoOn())
			z := x.takeUp("once-more")
			assert.Assert(t, !z.bindRelease())
			assert.Equal(t, z.decision.Reason, reasonReleaseConflict)
		})
	}
}

// Guards against the end of the answer that a stream began in, which one process writes,
// when its server is replaced.
func TestDoubtDoesNotEndTheAnswerThatBeganTheStream(t *testing.T) {
	x := newChainTest()
	x.start = nil
	e := x.newExchange(dispatch.Decision{Server: "first", StartMS: 1000, Release: v1}, x.dispatchReq)
	x.beginStream(e)
	x.s.announceTest("first", 2000, v2)
	assert.Assert(t, x.start.doubtful)
	assert.NilError(t, e.ctx.Err())
}

// Guards against a stream that cannot be resumed because it ran for longer in one answer
// than a record may live.
func TestStreamThatRunsForLongKeepsItsRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newChainTest()
		x.in.CallerTimeout = 5 * time.Minute
		x.start = nil
		x.beginStream(x.newExchange(dispatch.Decision{Server: "first", StartMS: 1000, Release: v1}, x.dispatchReq))
		for range 200 {
			time.Sleep(time.Second) // virtual time, one event a second
			x.renewRecord(time.Now())
		}
		x.s.announceTest("first", 2000, v2) // ends the answer, and says nothing of its begin
		time.Sleep(streamrecord.MaxTTL - recordRenewal)
		assert.Assert(t, x.takeUp("take-up").bindRelease())
		time.Sleep(streamrecord.MaxTTL)
		assert.Assert(t, !x.takeUp("late").bindRelease())
	})
}

// Guards against a first take-up of a recorded stream that is decided as a repeated one, so
// that its workspace's share holds it back, and against one stream that is taken up again
// and again as the first.
func TestFirstTakeUpOfARecordIsTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newChainTest()
		isFirst := func(id string) bool {
			y := x.takeUp(id)
			assert.Assert(t, y.bindRelease(), "%s", y.decision.Reason)
			return y.dispatchReq.FirstTakeUp
		}
		assert.Assert(t, isFirst("one"))
		assert.Assert(t, !isFirst("two"))
		time.Sleep(dispatch.TakeUpWindow - time.Second) // virtual time
		assert.Assert(t, !isFirst("three"))
		time.Sleep(time.Second)
		assert.Assert(t, isFirst("four"))
	})
}

// Guards against a take-up that is decided as a repeated one because its caller was refused
// before and came back, as it was told.
func TestTakeUpAfterARefusalIsTheFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newChainTest()
		x.s.quarantine, x.s.retryBudget, x.s.dispatcher = quarantine.New(1), newRetryBudget(RetryBudget{}), dispatch.New("edge", "z", time.Now())
		for n := range 3 {
			y := x.takeUp(fmt.Sprint("refused-", n))
			y.deadline = time.Now().Add(time.Hour)
			y.run() // no server of the release is ready
			assert.Equal(t, y.w.(*httptest.ResponseRecorder).Code, 503)
			assert.Assert(t, y.dispatchReq.FirstTakeUp, "refused %d times", n)
		}
		y := x.takeUp("sent")
		assert.Assert(t, y.bindRelease() && y.dispatchReq.FirstTakeUp)
		y.sentAttempts = 1
		y.forgetUnsentTakeUp()
		z := x.takeUp("repeated")
		assert.Assert(t, z.bindRelease() && !z.dispatchReq.FirstTakeUp)
	})
}
