package edge

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/dispatch"
	"jackdawtrack.example/jackdawtrack/pkg/logging"
	"jackdawtrack.example/jackdawtrack/pkg/proxy"
	"jackdawtrack.example/jackdawtrack/pkg/quarantine"
	"jackdawtrack.example/jackdawtrack/pkg/release"
	"jackdawtrack.example/jackdawtrack/pkg/routing"
	"jackdawtrack.example/jackdawtrack/pkg/streamrecord"
)

// retryTest is a take-up whose first server fails while the only other one is full.
type retryTest struct {
	x       *proxiedRequest
	w       *httptest.ResponseRecorder
	leave   context.CancelFunc // the caller leaves
	running *dispatch.Request  // takes the last slot of the other server
	arrived chan struct{}      // requests at the other server
	before  float64            // of the retry budget
}

// newRetryTest returns a take-up whose first server refuses the connection, or with sent
// sends a response that belongs to no request.
func newRetryTest(t *testing.T, sent bool) *retryTest {
	n := &retryTest{w: httptest.NewRecorder(), arrived: make(chan struct{}, 4)}
	first := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	other := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { n.arrived <- struct{}{} }))
	t.Cleanup(other.Close)
	if t.Cleanup(first.Close); !sent {
		first.Close()
	}
	now := time.Now()
	d := dispatch.New("edge", "z", now)
	info := dispatch.ServerInfo{ID: "other", Service: "s", DataCentre: "z", Address: other.Listener.Addr().String(), Slots: 1, KVTokens: 10000, Ready: true, Heard: now, Release: release.Of("s", "v1")}
	d.SetServers(now, []dispatch.ServerInfo{info})
	request := func() *dispatch.Request {
		return &dispatch.Request{ID: "r", Workspace: "w", Service: "s", PromptTokens: 10, Arrived: now, Objective: 10 * time.Second, Deadline: now.Add(time.Minute)}
	}
	n.running = request()
	assert.Equal(t, d.Admit(now, n.running).Action, dispatch.Send)
	firstInfo := info
	firstInfo.ID, firstInfo.Address = "first", first.Listener.Addr().String()
	d.SetServers(now, []dispatch.ServerInfo{firstInfo, info})
	s := &Server{
		config: Config{Dialect: silentDialect{}}, transport: proxy.NewTransport(), dispatcher: d, retryBudget: newRetryBudget(RetryBudget{Extra: 50}), quarantine: quarantine.New(1),
		log: logging.ForComponent("edge"), metrics: newMetrics(metrics.NewRegistry()), stopping: newStopping(), pendingDecisions: map[*dispatch.Request]chan dispatch.Decision{},
		takeUps: streamrecord.NewTakeUps(maxTakeUpsKept, dispatch.TakeUpWindow),
	}
	t.Cleanup(s.transport.Close)
	r := request()
	r.Resumption, r.FirstTakeUp, r.Release = true, true, info.Release
	ctx, leave := context.WithCancel(t.Context())
	n.leave = leave
	n.x = &proxiedRequest{s: s, w: n.w, in: &Request{ID: "r", Target: "/x", Method: http.MethodGet, Header: http.Header{}, Arrived: now}, route: &routing.Route{Stream: true, RetryPolicy: routing.Resumable, MaxAttempts: 2}, dispatchReq: r, callerCtx: ctx, deadline: r.Deadline}
	s.creditRetryBudget("s")
	n.before = *s.retryBudget.bucket("s")
	return n
}

// run runs the request, calls then once the retry is queued, and reports whether the
// connection of the caller was closed.
func (n *retryTest) run(t *testing.T, then func()) (closed bool) {
	s := n.x.s
	go func() {
		for {
			s.mu.Lock()
			queued := s.dispatcher.QueueLength() > 0
			s.mu.Unlock()
			if queued {
				then()
				return
			}
			select {
			case <-t.Context().Done():
				return
			case <-time.After(time.Millisecond):
			}
		}
	}()
	func() {
		defer func() {
			cause := recover()
			closed = cause == http.ErrAbortHandler
			assert.Assert(t, closed || cause == nil, "%v", cause)
		}()
		n.x.run()
	}()
	return closed
}

// Guards against a retry of a take-up that is refused while the other server is full for a
// moment, and that is sent or charged twice.
func TestRetriedTakeUpGetsTheNextSlot(t *testing.T) {
	for _, sent := range []bool{false, true} {
		n := newRetryTest(t, sent)
		charged := map[bool]float64{true: 1}[sent]
		n.x.route.MaxAttempts = 1 + int(charged) // the other server's response is not retried
		n.run(t, func() { n.x.s.recordOutcome(n.running, dispatch.Completed) })
		assert.Equal(t, len(n.arrived), 1)
		assert.Equal(t, n.before-*n.x.s.retryBudget.bucket("s"), charged)
		assert.Equal(t, placesTaken(n.x.s.dispatcher), 0)
	}
}

// Guards against a queued retry that outlives its caller, its deadline or a stop of the
// host, that is charged although it was not sent, and against a response which claims that
// a request was not executed that may have been.
func TestQueuedRetryEndsUnsent(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(*retryTest)
	}{
		{"the caller leaves", func(n *retryTest) { n.leave() }},
		{"the deadline passes", nil},
		{"the host stops", func(n *retryTest) { n.x.s.AnswerOpen() }},
		{"its release leaves", func(n *retryTest) {
			n.x.s.mu.Lock()
			defer n.x.s.mu.Unlock()
			n.x.s.dispatcher.SetServers(time.Now(), nil)
		}},
	} {
		for sent, status := range map[bool]int{false: http.StatusServiceUnavailable, true: http.StatusBadGateway} {
			t.Run(c.name, func(t *testing.T) {
				n := newRetryTest(t, sent)
				if c.end == nil {
					n.x.deadline = time.Now().Add(200 * time.Millisecond)
				}
				closed := n.run(t, func() {
					if c.end != nil {
						c.end(n)
					}
				})
				assert.Equal(t, closed, n.x.callerCtx.Err() != nil)
				if !closed {
					assert.Equal(t, n.w.Code, status, "%s", n.w.Body)
				}
				assert.Equal(t, len(n.arrived), 0)
				assert.Equal(t, *n.x.s.retryBudget.bucket("s"), n.before)
				n.x.s.mu.Lock()
				defer n.x.s.mu.Unlock()
				assert.Equal(t, n.x.s.dispatcher.QueueLength(), 0)
				assert.Equal(t, len(n.x.s.pendingDecisions), 0)
			})
		}
	}
}

// Guards against a queued retry whose decision comes when it has ended, and that keeps the
// place or the charge.
func TestDecisionOnAnEndedRetryIsReturned(t *testing.T) {
	n := newRetryTest(t, true)
	s := n.x.s
	v, _ := s.requestDecision(n.x.dispatchReq)
	assert.Equal(t, v.Server, "first")
	s.recordOutcome(n.x.dispatchReq, dispatch.InvalidResponse)
	_, waiting := s.retryDecision(n.x.dispatchReq, "first", true)
	assert.Assert(t, waiting != nil)
	s.recordOutcome(n.running, dispatch.Completed)
	s.mu.Lock()
	s.pollLocked()
	s.mu.Unlock()
	assert.Equal(t, placesTaken(s.dispatcher), 1)
	v, ok := s.cancelWaiting(n.x.dispatchReq, waiting)
	assert.Assert(t, ok && v.Action == dispatch.Send)
	s.recordOutcome(n.x.dispatchReq, dispatch.NotSent)
	assert.Equal(t, placesTaken(s.dispatcher), 0)
}

// Guards against a response that has begun and is cut by an early step of a stop while its
// retry is queued, or goes on after its release has come into doubt.
func TestQueuedRetryOfABegunResponse(t *testing.T) {
	for _, doubtful := range []bool{false, true} {
		n := newRetryTest(t, true)
		x, s := n.x, n.x.s
		v, _ := s.requestDecision(x.dispatchReq)
		s.recordOutcome(x.dispatchReq, dispatch.InvalidResponse)
		x.headSent, x.start = true, &streamStart{release: x.dispatchReq.Release}
		s.stopping.endAnswer()
		time.AfterFunc(20*time.Millisecond, func() {
			s.mu.Lock()
			x.start.doubtful = doubtful
			s.mu.Unlock()
			s.recordOutcome(n.running, dispatch.Completed)
		})
		got, err := x.awaitRetry(v.Server, true)
		assert.NilError(t, err)
		want := map[bool]dispatch.Action{false: dispatch.Send, true: dispatch.Refuse}[doubtful]
		assert.Equal(t, got.Action, want)
		assert.Equal(t, n.before-*s.retryBudget.bucket("s"), map[bool]float64{false: 1}[doubtful])
		assert.Equal(t, placesTaken(s.dispatcher), map[bool]int{false: 1}[doubtful])
	}
	n := newRetryTest(t, true)
	v, _ := n.x.s.requestDecision(n.x.dispatchReq)
	n.x.s.recordOutcome(n.x.dispatchReq, dispatch.InvalidResponse)
	n.x.headSent = true
	time.AfterFunc(20*time.Millisecond, n.x.s.CutOpen)
	_, err := n.x.awaitRetry(v.Server, true)
	assert.Equal(t, err, errHostStopping)
}

// Guards against a begun stream that is cut when its server dies and the other one is full
// for a moment.
func TestBegunStreamGetsTheNextSlot(t *testing.T) {
	n := newRetryTest(t, true)
	x, s := n.x, n.x.s
	x.dispatchReq.Resumption, x.dispatchReq.FirstTakeUp, x.dispatchReq.Release = false, false, release.Unknown
	v, _ := s.requestDecision(x.dispatchReq)
	assert.Equal(t, v.Server, "first")
	s.recordFirstEvent(x.dispatchReq)
	x.headSent, x.dispatchReq.Release = true, v.Release // as beginStream binds it
	s.recordOutcome(x.dispatchReq, dispatch.ConnectionLost)
	time.AfterFunc(20*time.Millisecond, func() { s.recordOutcome(n.running, dispatch.Completed) })
	v, err := x.awaitRetry(v.Server, true)
	assert.NilError(t, err)
	assert.Equal(t, v.Action, dispatch.Send, "%s", v.Reason)
	assert.Equal(t, v.Server, "other")
	assert.Equal(t, n.before-*s.retryBudget.bucket("s"), 1.0)
}
