package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/class"
	"jackdawtrack.example/jackdawtrack/pkg/pool"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

const (
	testID     = "r-1"
	okHead     = "HTTP/1.1 200 OK\r\nJackdawtrack-Request-Id: r-1\r\n"
	plainHead  = okHead + "Content-Length: 10\r\n\r\n"
	streamHead = okHead + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	done       = "data: [DONE]\n\n"
	testLimit  = 10 * time.Second
)

// fake is a server on a raw connection that counts the requests that reached
// it. The handler gets the number of the request, from 1.
type fake struct {
	addr     string
	accepted atomic.Int64
	requests atomic.Int64
}

func newFake(t *testing.T, handle func(c net.Conn, r *http.Request, n int64)) *fake {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	f := &fake{addr: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			f.accepted.Add(1)
			go f.serve(c, handle)
		}
	}()
	return f
}

func (f *fake) serve(c net.Conn, handle func(net.Conn, *http.Request, int64)) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		handle(c, r, f.requests.Add(1))
	}
}

func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

func chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

func write(c net.Conn, s string) { _, _ = io.WriteString(c, s) }

// memory is a caller that keeps what it receives.
type memory struct {
	strings.Builder
	status int
	header http.Header
}

func (m *memory) Start(status int, h http.Header) error {
	m.status, m.header = status, h
	return nil
}

func request(f *fake) *Request {
	return &Request{
		ID:        testID,
		Address:   f.addr,
		Method:    http.MethodPost,
		Path:      "/v1/chat/completions",
		Header:    http.Header{},
		Body:      []byte(`{"model":"m"}`),
		Class:     class.Class{Name: "chat", ProgressTimeout: 300 * time.Millisecond, MaxDuration: testLimit},
		Kind:      backend.Engine,
		Abilities: backend.Abilities{RepeatsID: true},
	}
}

func forward(t *testing.T, r *Request) (Report, *memory) {
	t.Helper()
	tr := NewTransport()
	t.Cleanup(tr.Close)
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	defer cancel()
	sink := &memory{}
	return tr.Forward(ctx, r, sink), sink
}

// Guards against a wrong statement about execution, a second execution and a
// short answer that looks whole, for each way in which a server can fail.
func TestForwardTellsTheTruth(t *testing.T) {
	const ev = "data: {\"n\":1}\n\n"
	cases := []struct {
		name    string
		handle  func(c net.Conn, r *http.Request, n int64)
		code    result.Code
		outcome pool.Outcome
		body    string
	}{
		{"whole plain answer", func(c net.Conn, _ *http.Request, _ int64) {
			write(c, plainHead+"0123456789")
		}, result.OK, pool.OutcomeOK, "0123456789"},
		{"whole stream", func(c net.Conn, _ *http.Request, _ int64) {
			write(c, streamHead+chunk(ev+done)+"0\r\n\r\n")
		}, result.OK, pool.OutcomeOK, ev + done},
		{"stream ends after its marker without a last chunk", func(c net.Conn, _ *http.Request, _ int64) {
			write(c, streamHead+chunk(ev+done))
			reset(c)
		}, result.OK, pool.OutcomeOK, ev + done},
		{"clean end without marker", func(c net.Conn, _ *http.Request, _ int64) {
			write(c, streamHead+chunk(ev)+"0\r\n\r\n")
		}, result.StreamBroken, pool.OutcomeBroken, ev},
		{"reset inside an event", func(c net.Conn, _ *http.Request, _ int64) {
			write(c, streamHead+chunk(ev)+chunk("data: {\"n"))
			reset(c)
		}, result.StreamBroken, pool.OutcomeBroken, ev},
		{"reset before the answer", func(c net.Conn, _ *http.Request, _ int64) {
			reset(c)
		}, result.StreamBroken, pool.OutcomeBroken, ""},
		{"plain answer is short", func(c net.Conn, _ *http.Request, _ int64) {
			write(c, plainHead+"01234")
			_ = c.Close()
		}, result.StreamBroken, pool.OutcomeBroken, "01234"},
		{"plain answer without framing", func(c net.Conn, _ *http.Request, _ int64) {
			write(c, okHead+"\r\n01234")
			_ = c.Close()
		}, result.StreamBroken, pool.OutcomeBroken, ""},
		{"no answer", func(net.Conn, *http.Request, int64) {}, result.ServerSilent, pool.OutcomeSilent, ""},
		{"stalled stream", func(c net.Conn, _ *http.Request, _ int64) {
			write(c, streamHead+chunk(ev))
		}, result.ServerSilent, pool.OutcomeSilent, ev},
		{"answer of another request", func(c net.Conn, _ *http.Request, _ int64) {
			write(c, strings.Replace(plainHead, "r-1", "r-2", 1)+"0123456789")
		}, result.IdentityMismatch, pool.OutcomeBroken, ""},
		{"answer without an id", func(c net.Conn, _ *http.Request, _ int64) {
			write(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}, result.IdentityMismatch, pool.OutcomeBroken, ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f := newFake(t, tc.handle)
			report, sink := forward(t, request(f))
			assert.Equal(t, codeOf(report), tc.code, "%v", report.Err)
			assert.Equal(t, report.Outcome, tc.outcome)
			assert.Equal(t, sink.String(), tc.body)
			assert.Equal(t, f.requests.Load(), int64(1))
			assert.Assert(t, report.Sent)
		})
	}
}

func codeOf(r Report) result.Code {
	if r.Err == nil {
		return result.OK
	}
	return r.Err.Code
}

// Guards against a "not run" for a request that reached a server, and against
// a "may have run" when no connection was made.
func TestNotRunOnlyWithoutAConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	f := &fake{addr: l.Addr().String()}
	l.Close()
	report, _ := forward(t, request(f))
	assert.Equal(t, codeOf(report), result.ConnectFailed)
	assert.Equal(t, report.Outcome, pool.OutcomeConnectFailed)
	assert.Assert(t, !report.Sent)
}

// Guards against replays by net/http: it repeats a GET, or a request with an
// idempotency key, when a reused connection breaks.
func TestBrokenReusedConnectionIsNotReplayed(t *testing.T) {
	for _, twice := range []bool{true, false} {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			t.Run(fmt.Sprintf("%s twice=%v", method, twice), func(t *testing.T) {
				f := newFake(t, func(c net.Conn, _ *http.Request, n int64) {
					if n > 1 {
						reset(c)
						return
					}
					write(c, plainHead+"0123456789")
				})
				tr := NewTransport()
				defer tr.Close()
				r := request(f)
				r.Method = method
				r.Class.MayRunTwice = twice
				r.Header = ForwardHeader(http.Header{"Idempotency-Key": {"k"}, "X-Idempotency-Key": {"k"}})
				r.Body = nil
				ctx, cancel := context.WithTimeout(context.Background(), testLimit)
				defer cancel()
				assert.Equal(t, codeOf(tr.Forward(ctx, r, &memory{})), result.OK)
				assert.Equal(t, codeOf(tr.Forward(ctx, r, &memory{})), result.StreamBroken)
				assert.Equal(t, f.requests.Load(), int64(2))
				if twice {
					assert.Equal(t, f.accepted.Load(), int64(1), "the second request must reuse the connection")
				}
			})
		}
	}
}

// Guards against an answer to an earlier request that a connection delivers
// late: the next caller must not receive it.
func TestSecondAnswerOnAConnectionIsNotDelivered(t *testing.T) {
	f := newFake(t, func(c net.Conn, r *http.Request, n int64) {
		head := strings.Replace(plainHead, "r-1", r.Header.Get(HeaderRequestID), 1)
		if n == 1 {
			write(c, head+"0123456789")
			return
		}
		write(c, plainHead+"0123456789")
	})
	tr := NewTransport()
	defer tr.Close()
	r := request(f)
	r.Class.MayRunTwice = true
	assert.Equal(t, codeOf(tr.Forward(t.Context(), r, &memory{})), result.OK)
	r.ID = "r-9"
	sink := &memory{}
	assert.Equal(t, codeOf(tr.Forward(t.Context(), r, sink)), result.IdentityMismatch)
	assert.Equal(t, sink.Len(), 0)
}

// Guards against lost or doubled bytes when a stream is continued, and against
// a continuation that starts elsewhere or does not say where.
func TestBrokenStreamIsResumedAtItsOffset(t *testing.T) {
	whole := "data: one\n\ndata: two\n\ndata: three\n\n" + done
	for cut := 1; cut < len(whole); cut += 7 {
		for _, from := range []string{"same", "999", "0", ""} {
			var bodies atomic.Int64
			f := newFake(t, func(c net.Conn, r *http.Request, n int64) {
				if r.ContentLength == int64(len(`{"model":"m"}`)) {
					bodies.Add(1)
				}
				if n == 1 {
					write(c, streamHead+chunk(whole[:cut]))
					reset(c)
					return
				}
				var offset int
				_, _ = fmt.Sscan(r.Header.Get(HeaderResumeOffset), &offset)
				head := streamHead
				switch from {
				case "same":
					head = strings.Replace(head, "\r\n", fmt.Sprintf("\r\n%s: %d\r\n", HeaderResumeOffset, offset), 1)
				case "":
					offset = 0 // a server that does not know the header
				default:
					head = strings.Replace(head, "\r\n", fmt.Sprintf("\r\n%s: %s\r\n", HeaderResumeOffset, from), 1)
				}
				write(c, head+chunk(whole[offset:])+"0\r\n\r\n")
			})
			r := request(f)
			r.Abilities.Resume = true
			report, sink := forward(t, r)
			assert.Equal(t, bodies.Load(), int64(1), "a continuation must not carry the request")
			if from != "same" {
				assert.Equal(t, codeOf(report), result.StreamBroken, "cut %d, offset %q", cut, from)
				assert.Assert(t, strings.HasPrefix(whole, sink.String()), "wrong splice: %q", sink.String())
				continue
			}
			assert.Equal(t, codeOf(report), result.OK, "cut %d: %v", cut, report.Err)
			assert.Equal(t, sink.String(), whole)
			assert.Equal(t, report.Resumes, 1)
		}
	}
}

// Guards against a long stream that is cut although it makes progress, and
// against wrong costs.
func TestLongLivingStreamIsNotCut(t *testing.T) {
	const events = 8
	f := newFake(t, func(c net.Conn, _ *http.Request, _ int64) {
		write(c, streamHead)
		tick := time.NewTicker(100 * time.Millisecond)
		defer tick.Stop()
		for range events {
			write(c, chunk("data: {}\n\n"))
			<-tick.C
		}
		write(c, chunk("data: {\"usage\":{\"prompt_tokens\":5,\"completion_tokens\":9}}\n\n"+done)+"0\r\n\r\n")
	})
	report, sink := forward(t, request(f))
	assert.Equal(t, codeOf(report), result.OK)
	assert.Equal(t, strings.Count(sink.String(), "{}"), events)
	assert.Equal(t, report.CostUnits, uint64(5+4*9))
}

// slowMemory is a caller that takes longer for each piece than the progress
// timeout of the server.
type slowMemory struct{ memory }

func (m *slowMemory) Write(p []byte) (int, error) {
	<-time.After(400 * time.Millisecond)
	return m.memory.Write(p)
}

// Guards against a slow caller that is taken for a silent server.
func TestSlowCallerIsNoSilence(t *testing.T) {
	// More than the buffers of the connection hold, so that reads follow.
	events := strings.Repeat("data: "+strings.Repeat("x", copyBufferBytes-16)+"\n\n", 5)
	f := newFake(t, func(c net.Conn, _ *http.Request, _ int64) {
		write(c, streamHead+chunk(events)+chunk(done)+"0\r\n\r\n")
	})
	tr := NewTransport()
	defer tr.Close()
	sink := &slowMemory{}
	report := tr.Forward(t.Context(), request(f), sink)
	assert.Equal(t, codeOf(report), result.OK, "%v", report.Err)
	assert.Equal(t, sink.String(), events+done)
}

// Guards against work that goes on at the server after its caller left.
func TestCallerLeavingCancelsTheWork(t *testing.T) {
	cancelled := make(chan string, 1)
	ctx, leave := context.WithCancel(context.Background())
	f := newFake(t, func(c net.Conn, r *http.Request, _ int64) {
		if r.URL.Path == cancelPath {
			cancelled <- r.Header.Get(HeaderRequestID)
			write(c, plainHead+"0123456789")
			return
		}
		write(c, streamHead+chunk("data: {}\n\n"))
		leave()
	})
	tr := NewTransport()
	defer tr.Close()
	r := request(f)
	r.Class.ProgressTimeout = testLimit
	r.Abilities.Cancel = true
	report := tr.Forward(ctx, r, &memory{})
	assert.Equal(t, codeOf(report), result.CallerLeft)
	assert.Equal(t, report.Outcome, pool.OutcomeCancelled)
	select {
	case id := <-cancelled:
		assert.Equal(t, id, testID)
	case <-time.After(testLimit):
		t.Fatal("the server got no cancel order")
	}
}
