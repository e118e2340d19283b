package router

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/proxy"
	"jackdawtrack.example/jackdawtrack/pkg/result"
	"jackdawtrack.example/jackdawtrack/pkg/settings"
)

// rawServer is a server on raw connections that counts the requests it
// receives.
type rawServer struct {
	addr  string
	count atomic.Int64
}

func newRawServer(t testing.TB, handle func(c net.Conn, r *http.Request)) *rawServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	s := &rawServer{addr: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				in := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					s.count.Add(1)
					handle(c, r)
				}
			}()
		}
	}()
	return s
}

func respondOK(c net.Conn, r *http.Request) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 2\r\n\r\nok", proxy.HeaderRequestID, r.Header.Get(proxy.HeaderRequestID))
}

func resetConn(c net.Conn, _ *http.Request) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

func (tr *testRouter) announceRawServer(t testing.TB, name string, s *rawServer, abilities backend.Abilities) {
	t.Helper()
	abilities.RepeatsID = true
	resp := tr.postAnnouncement(t, backend.Announcement{Name: name, Address: s.addr, Kind: backend.Service, Abilities: abilities}, serverKey)
	assert.Equal(t, resp.StatusCode, http.StatusNoContent)
}

// TestRetriesOnlyWhatMayRunTwice checks that a request of a class that may not
// run twice is sent at most once (I7), and that one that may run twice is
// retried on another server.
func TestRetriesOnlyWhatMayRunTwice(t *testing.T) {
	for _, class := range []string{"chat", "order"} {
		t.Run(class, func(t *testing.T) {
			tr := newTestRouter(t, nil)
			firstServer, secondServer := newRawServer(t, resetConn), newRawServer(t, resetConn)
			tr.announceRawServer(t, "s1", firstServer, backend.Abilities{})
			tr.announceRawServer(t, "s2", secondServer, backend.Abilities{})
			req := tr.request(t, http.MethodPost, "/services/p/x", class, "{}")
			expectRefusal(t, req, result.StreamBroken)
			total := firstServer.count.Load() + secondServer.count.Load()
			if class == "order" {
				assert.Equal(t, total, int64(1))
			} else {
				assert.Equal(t, firstServer.count.Load(), int64(1))
				assert.Equal(t, secondServer.count.Load(), int64(1), "a retry must go to another server")
			}
		})
	}
}

// TestRetryBudget checks that retries do not multiply the load of a failing
// pool.
func TestRetryBudget(t *testing.T) {
	b := newRetryBudget()
	retries := 0
	const requests = 1000
	for range requests {
		b.request()
		if b.tryWithdraw() {
			retries++
		}
	}
	assert.Assert(t, retries <= requests/10+initialRetryTokens, "%d retries", retries)
	assert.Assert(t, retries >= requests/10)
}

// TestCallerLeavingFreesTheSlot checks that a slot is freed if the caller
// closes the connection while its request waits or runs.
func TestCallerLeavingFreesTheSlot(t *testing.T) {
	tr := newTestRouter(t, nil)
	arrived := make(chan struct{}, 8)
	s := newRawServer(t, func(net.Conn, *http.Request) { arrived <- struct{}{} })
	tr.announceRawServer(t, "s1", s, backend.Abilities{})
	var callers sync.WaitGroup
	start := func() (cancel func()) {
		ctx, cancel := context.WithCancel(context.Background())
		for range 2 { // all slots of a cold server
			callers.Go(func() {
				req := tr.request(t, http.MethodPost, "/services/p/x", "order", "{}").WithContext(ctx)
				if resp, err := http.DefaultClient.Do(req); err == nil {
					resp.Body.Close()
				}
			})
		}
		return cancel
	}
	slotState := func() [4]int {
		waiting, held := tr.router.askTable.counts()
		view := tr.router.Status().Shards[0]
		return [4]int{waiting, held, view.Waiting, view.Grants}
	}
	cancelRunning := start()
	<-arrived
	<-arrived
	cancelWaiting := start()
	tr.waitFor(t, "two requests run and two wait", func() bool { return slotState() == [4]int{2, 2, 2, 2} })
	cancelWaiting()
	tr.waitFor(t, "no request waits", func() bool { return slotState() == [4]int{0, 2, 0, 2} })
	cancelRunning()
	callers.Wait()
	tr.waitFor(t, "all grants are settled", func() bool { return slotState() == [4]int{} && tr.router.openRequests.Load() == 0 })
}

// TestSlowCallerTimesOut checks that a caller that reads nothing does not hold
// its slot for ever, and that the router does not buffer the whole response.
func TestSlowCallerTimesOut(t *testing.T) {
	tr := newTestRouter(t, func(c *Config, _ *Dependencies) { c.Limits.WriteTimeout = settings.Duration(200 * time.Millisecond) })
	var written atomic.Int64
	const size = 64 << 20
	s := newRawServer(t, func(c net.Conn, r *http.Request) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n", proxy.HeaderRequestID, r.Header.Get(proxy.HeaderRequestID), size)
		chunk := make([]byte, 64<<10)
		for range size / len(chunk) {
			n, err := c.Write(chunk)
			written.Add(int64(n))
			if err != nil {
				return
			}
		}
	})
	tr.announceRawServer(t, "s1", s, backend.Abilities{})
	c, err := net.Dial("tcp", tr.callers.Listener.Addr().String())
	assert.NilError(t, err)
	defer c.Close()
	req := tr.request(t, http.MethodPost, "/services/p/x", "order", "{}")
	assert.NilError(t, req.Write(c))
	tr.waitFor(t, "the request runs", func() bool { return s.count.Load() == 1 })
	tr.waitFor(t, "the request has ended", func() bool { return tr.router.openRequests.Load() == 0 })
	assert.Assert(t, written.Load() < size/2, "%d bytes left the server", written.Load())
}

// TestBrokenStreamEndsWithErrorEvent checks that the caller of a stream that
// the server breaks off receives an error event.
func TestBrokenStreamEndsWithErrorEvent(t *testing.T) {
	tr := newTestRouter(t, nil)
	s := newRawServer(t, func(c net.Conn, r *http.Request) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ndata: 1\n\n\r\n",
			proxy.HeaderRequestID, r.Header.Get(proxy.HeaderRequestID))
		resetConn(c, r)
	})
	tr.announceRawServer(t, "s1", s, backend.Abilities{})
	_, body := do(t, tr.request(t, http.MethodPost, "/services/p/x", "order", "{}"))
	assert.Assert(t, strings.HasPrefix(body, "data: 1\n\nevent: error\ndata: {\"code\":203,"), body)
	assert.Assert(t, strings.Contains(body, `"executed":"maybe"`), body)
}

// fakeRecords simulates control. The first Abort fails.
type fakeRecords struct {
	begin    func() (*apiv1.BeginResponse, error)
	repeated bool // of each Begin
	aborts   atomic.Int64
	finishes chan *apiv1.FinishRequest
}

func (f *fakeRecords) Begin(context.Context, *apiv1.BeginRequest) (*apiv1.BeginResponse, bool, error) {
	out, err := f.begin()
	return out, f.repeated, err
}

func (f *fakeRecords) Finish(_ context.Context, in *apiv1.FinishRequest) (*apiv1.FinishResponse, error) {
	f.finishes <- in
	return &apiv1.FinishResponse{}, nil
}

func (f *fakeRecords) Abort(context.Context, *apiv1.AbortRequest) (*apiv1.AbortResponse, error) {
	if f.aborts.Add(1) == 1 {
		return nil, errors.New("the first answer is lost")
	}
	return &apiv1.AbortResponse{}, nil
}

// TestKeyedRequests checks that a keyed request runs only after control has
// committed its record, and that a repeated one receives the stored answer of
// the first.
func TestKeyedRequests(t *testing.T) {
	beginState := func(s apiv1.BeginState) func() (*apiv1.BeginResponse, error) {
		return func() (*apiv1.BeginResponse, error) { return &apiv1.BeginResponse{State: s}, nil }
	}
	noMajority := func() (*apiv1.BeginResponse, error) { return nil, errors.New("no majority") }
	cases := []struct {
		name  string
		class string
		begin func() (*apiv1.BeginResponse, error)
		code  result.Code
		runs  int64
	}{
		{"started", "order", beginState(apiv1.BeginState_BEGIN_STARTED), result.OK, 1},
		{"running elsewhere", "order", beginState(apiv1.BeginState_BEGIN_RUNNING), result.StillRunning, 0},
		{"unknown", "order", beginState(apiv1.BeginState_BEGIN_UNKNOWN), result.OutcomeUnknown, 0},
		{"conflict", "order", beginState(apiv1.BeginState_BEGIN_CONFLICT), result.KeyConflict, 0},
		{"full", "order", beginState(apiv1.BeginState_BEGIN_FULL), result.KeyTableFull, 0},
		{"no control", "order", noMajority, result.ControlUnavailable, 0},
		{"no control but may run twice", "chat", noMajority, result.OK, 1},
		{"stored answer is too large", "order", func() (*apiv1.BeginResponse, error) {
			return &apiv1.BeginResponse{State: apiv1.BeginState_BEGIN_DONE, Answer: &apiv1.StoredAnswer{Truncated: true}}, nil
		}, result.AnswerTooLarge, 0},
		{"stored answer", "order", func() (*apiv1.BeginResponse, error) {
			return &apiv1.BeginResponse{State: apiv1.BeginState_BEGIN_DONE, Answer: &apiv1.StoredAnswer{Status: 201, Body: []byte("first")}}, nil
		}, result.StoredAnswer, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			records := &fakeRecords{begin: tc.begin, finishes: make(chan *apiv1.FinishRequest, 1)}
			tr := newTestRouter(t, func(_ *Config, p *Dependencies) { p.Records = records })
			s := newRawServer(t, respondOK)
			tr.announceRawServer(t, "s1", s, backend.Abilities{})
			req := tr.request(t, http.MethodPost, "/services/p/x", tc.class, "{}", proxy.HeaderIdempotencyKey, "k1")
			resp, body := do(t, req)
			assert.Equal(t, resp.Header.Get(headerResult), fmt.Sprint(uint32(tc.code)), body)
			assert.Equal(t, s.count.Load(), tc.runs)
			switch tc.code {
			case result.OK:
				if tc.class == "order" {
					got := <-records.finishes
					assert.Equal(t, string(got.Answer.Body), "ok")
					assert.Assert(t, !got.Unknown)
				}
			case result.StoredAnswer:
				assert.Equal(t, resp.StatusCode, 201)
				assert.Equal(t, body, "first")
			case result.ControlUnavailable:
				tr.waitFor(t, "the abort is repeated until it is recorded", func() bool { return records.aborts.Load() == 2 })
			}
		})
	}
}

// Guards against a key that stays in use because an earlier call of an answered
// Begin takes effect late, and against the abort of an attempt that runs.
func TestRepeatedBeginIsAbortedUnlessItStarted(t *testing.T) {
	for state, code := range map[apiv1.BeginState]result.Code{
		apiv1.BeginState_BEGIN_STARTED:     result.OK,
		apiv1.BeginState_BEGIN_RUNNING:     result.StillRunning,
		apiv1.BeginState_BEGIN_DONE:        result.StoredAnswer,
		apiv1.BeginState_BEGIN_UNKNOWN:     result.OutcomeUnknown,
		apiv1.BeginState_BEGIN_CONFLICT:    result.KeyConflict,
		apiv1.BeginState_BEGIN_FULL:        result.KeyTableFull,
		apiv1.BeginState_BEGIN_UNSPECIFIED: result.ControlUnavailable,
	} {
		for _, repeated := range []bool{false, true} {
			records := &fakeRecords{repeated: repeated, finishes: make(chan *apiv1.FinishRequest, 2), begin: func() (*apiv1.BeginResponse, error) {
				return &apiv1.BeginResponse{State: state, Answer: &apiv1.StoredAnswer{Status: 200}}, nil
			}}
			tr := newTestRouter(t, func(_ *Config, p *Dependencies) { p.Records = records })
			s := newRawServer(t, respondOK)
			tr.announceRawServer(t, "s1", s, backend.Abilities{})
			resp, body := do(t, tr.request(t, http.MethodPost, "/services/p/x", "order", "{}", proxy.HeaderIdempotencyKey, "k1"))
			assert.Equal(t, resp.Header.Get(headerResult), fmt.Sprint(uint32(code)), body)
			started := 0
			if state == apiv1.BeginState_BEGIN_STARTED {
				started = 1
				tr.waitFor(t, "the record of the end", func() bool { return len(records.finishes) == 1 })
			}
			tr.router.recordWrites.Wait()
			assert.Equal(t, s.count.Load(), int64(started), "%s", state)
			aborts := int64(0)
			if repeated && started == 0 {
				aborts = 2 // the first one fails
			}
			assert.Equal(t, records.aborts.Load(), aborts, "%s, repeated %v", state, repeated)
		}
	}
}

// TestBrokenKeyedRequestIsUnknown checks that a request whose response broke
// off is not recorded as done.
func TestBrokenKeyedRequestIsUnknown(t *testing.T) {
	records := &fakeRecords{finishes: make(chan *apiv1.FinishRequest, 1), begin: func() (*apiv1.BeginResponse, error) {
		return &apiv1.BeginResponse{State: apiv1.BeginState_BEGIN_STARTED}, nil
	}}
	tr := newTestRouter(t, func(_ *Config, p *Dependencies) { p.Records = records })
	s := newRawServer(t, resetConn)
	tr.announceRawServer(t, "s1", s, backend.Abilities{})
	expectRefusal(t, tr.request(t, http.MethodPost, "/services/p/x", "order", "{}", proxy.HeaderIdempotencyKey, "k1"), result.StreamBroken)
	assert.Assert(t, (<-records.finishes).Unknown)
	assert.Equal(t, s.count.Load(), int64(1))
}
