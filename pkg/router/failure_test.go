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

// rawServer is a server on raw connections that counts what reached it.
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

func answer200(c net.Conn, r *http.Request) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 2\r\n\r\nok", proxy.HeaderRequestID, r.Header.Get(proxy.HeaderRequestID))
}

func resetConn(c net.Conn, _ *http.Request) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

func (f *fleet) announceRaw(t testing.TB, name string, s *rawServer, abilities backend.Abilities) {
	t.Helper()
	abilities.RepeatsID = true
	resp := f.announceAs(t, backend.Announcement{Name: name, Address: s.addr, Kind: backend.Service, Abilities: abilities}, serverKey)
	assert.Equal(t, resp.StatusCode, http.StatusNoContent)
}

// Guards against I7: a request of a class that may not run twice is sent at
// most once, and against a class that may run twice being given up although
// another server could answer.
func TestRetriesOnlyWhatMayRunTwice(t *testing.T) {
	for _, class := range []string{"chat", "order"} {
		t.Run(class, func(t *testing.T) {
			f := newFleet(t, nil)
			bad, other := newRawServer(t, resetConn), newRawServer(t, resetConn)
			f.announceRaw(t, "s1", bad, backend.Abilities{})
			f.announceRaw(t, "s2", other, backend.Abilities{})
			req := f.request(t, http.MethodPost, "/services/p/x", class, "{}")
			expectRefusal(t, req, result.StreamBroken)
			total := bad.count.Load() + other.count.Load()
			if class == "order" {
				assert.Equal(t, total, int64(1))
			} else {
				assert.Equal(t, bad.count.Load(), int64(1))
				assert.Equal(t, other.count.Load(), int64(1), "a retry must go to another server")
			}
		})
	}
}

// Guards against retries that multiply the load of a failing pool.
func TestRetryBudget(t *testing.T) {
	b := newRetryBudget()
	retries := 0
	const requests = 1000
	for range requests {
		b.request()
		if b.take() {
			retries++
		}
	}
	assert.Assert(t, retries <= requests/10+retryReserve, "%d retries", retries)
	assert.Assert(t, retries >= requests/10)
}

// Guards against a slot that stays occupied after its caller left, while the
// request waits and while it runs.
func TestCallerLeavingFreesTheSlot(t *testing.T) {
	f := newFleet(t, nil)
	arrived := make(chan struct{}, 8)
	s := newRawServer(t, func(net.Conn, *http.Request) { arrived <- struct{}{} })
	f.announceRaw(t, "s1", s, backend.Abilities{})
	var callers sync.WaitGroup
	start := func() (leave func()) {
		ctx, leave := context.WithCancel(context.Background())
		for range 2 { // the slots of a cold server
			callers.Go(func() {
				req := f.request(t, http.MethodPost, "/services/p/x", "order", "{}").WithContext(ctx)
				if resp, err := http.DefaultClient.Do(req); err == nil {
					resp.Body.Close()
				}
			})
		}
		return leave
	}
	state := func() [4]int {
		waiting, held := f.router.asks.counts()
		view := f.router.Status().Shards[0]
		return [4]int{waiting, held, view.Waiting, view.Grants}
	}
	leaveRunning := start()
	<-arrived
	<-arrived
	leaveWaiting := start()
	f.await(t, "two requests run and two wait", func() bool { return state() == [4]int{2, 2, 2, 2} })
	leaveWaiting()
	f.await(t, "none waits", func() bool { return state() == [4]int{0, 2, 0, 2} })
	leaveRunning()
	callers.Wait()
	f.await(t, "everything is settled", func() bool { return state() == [4]int{} && f.router.open.Load() == 0 })
}

// Guards against a caller that takes no bytes and holds its slot for ever, and
// against buffering a whole answer for it.
func TestSlowCallerIsGivenUp(t *testing.T) {
	f := newFleet(t, func(c *Config, _ *Parts) { c.Limits.WriteTimeout = settings.Duration(200 * time.Millisecond) })
	var written atomic.Int64
	const size = 64 << 20
	s := newRawServer(t, func(c net.Conn, r *http.Request) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n", proxy.HeaderRequestID, r.Header.Get(proxy.HeaderRequestID), size)
		piece := make([]byte, 64<<10)
		for range size / len(piece) {
			n, err := c.Write(piece)
			written.Add(int64(n))
			if err != nil {
				return
			}
		}
	})
	f.announceRaw(t, "s1", s, backend.Abilities{})
	c, err := net.Dial("tcp", f.callers.Listener.Addr().String())
	assert.NilError(t, err)
	defer c.Close()
	req := f.request(t, http.MethodPost, "/services/p/x", "order", "{}")
	assert.NilError(t, req.Write(c))
	f.await(t, "the request runs", func() bool { return s.count.Load() == 1 })
	f.await(t, "the request is given up", func() bool { return f.router.open.Load() == 0 })
	assert.Assert(t, written.Load() < size/2, "%d bytes left the server", written.Load())
}

// Guards against a stream that ends short without a word to its caller.
func TestBrokenStreamEndsWithErrorEvent(t *testing.T) {
	f := newFleet(t, nil)
	s := newRawServer(t, func(c net.Conn, r *http.Request) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ndata: 1\n\n\r\n",
			proxy.HeaderRequestID, r.Header.Get(proxy.HeaderRequestID))
		resetConn(c, r)
	})
	f.announceRaw(t, "s1", s, backend.Abilities{})
	_, body := do(t, f.request(t, http.MethodPost, "/services/p/x", "order", "{}"))
	assert.Assert(t, strings.HasPrefix(body, "data: 1\n\nevent: error\ndata: {\"code\":203,"), body)
	assert.Assert(t, strings.Contains(body, `"executed":"maybe"`), body)
}

// fakeRecords answers as control does.
type fakeRecords struct {
	begin    func() (*apiv1.BeginResponse, error)
	aborts   atomic.Int64
	finishes chan *apiv1.FinishRequest
}

func (f *fakeRecords) Begin(context.Context, *apiv1.BeginRequest) (*apiv1.BeginResponse, error) {
	return f.begin()
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

// Guards against a keyed request that runs although control did not commit its
// record, or that gets another answer than the first run.
func TestKeyedRequests(t *testing.T) {
	state := func(s apiv1.BeginState) func() (*apiv1.BeginResponse, error) {
		return func() (*apiv1.BeginResponse, error) { return &apiv1.BeginResponse{State: s}, nil }
	}
	lost := func() (*apiv1.BeginResponse, error) { return nil, errors.New("no majority") }
	cases := []struct {
		name  string
		class string
		begin func() (*apiv1.BeginResponse, error)
		code  result.Code
		runs  int64
	}{
		{"started", "order", state(apiv1.BeginState_BEGIN_STARTED), result.OK, 1},
		{"running elsewhere", "order", state(apiv1.BeginState_BEGIN_RUNNING), result.StillRunning, 0},
		{"unknown", "order", state(apiv1.BeginState_BEGIN_UNKNOWN), result.OutcomeUnknown, 0},
		{"conflict", "order", state(apiv1.BeginState_BEGIN_CONFLICT), result.KeyConflict, 0},
		{"full", "order", state(apiv1.BeginState_BEGIN_FULL), result.KeyTableFull, 0},
		{"no control", "order", lost, result.ControlUnavailable, 0},
		{"no control but may run twice", "chat", lost, result.OK, 1},
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
			f := newFleet(t, func(_ *Config, p *Parts) { p.Records = records })
			s := newRawServer(t, answer200)
			f.announceRaw(t, "s1", s, backend.Abilities{})
			req := f.request(t, http.MethodPost, "/services/p/x", tc.class, "{}", proxy.HeaderIdempotencyKey, "k1")
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
				f.await(t, "the abort is repeated until it is recorded", func() bool { return records.aborts.Load() == 2 })
			}
		})
	}
}

// Guards against a stored "done" for an answer that broke off.
func TestBrokenKeyedRequestIsUnknown(t *testing.T) {
	records := &fakeRecords{finishes: make(chan *apiv1.FinishRequest, 1), begin: func() (*apiv1.BeginResponse, error) {
		return &apiv1.BeginResponse{State: apiv1.BeginState_BEGIN_STARTED}, nil
	}}
	f := newFleet(t, func(_ *Config, p *Parts) { p.Records = records })
	s := newRawServer(t, resetConn)
	f.announceRaw(t, "s1", s, backend.Abilities{})
	expectRefusal(t, f.request(t, http.MethodPost, "/services/p/x", "order", "{}", proxy.HeaderIdempotencyKey, "k1"), result.StreamBroken)
	assert.Assert(t, (<-records.finishes).Unknown)
	assert.Equal(t, s.count.Load(), int64(1))
}
