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
	okHead     = "HTTP/1.1 200 OK\r\nJackdawtrack-Request-Id: r-1\r\nJackdawtrack-Process: s1/1\r\n"
	plainHead  = okHead + "Content-Length: 10\r\n\r\n"
	streamHead = okHead + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	doneEvent  = "data: [DONE]\n\n"
	// unframedStreamHead is the head of a stream that ends with its connection.
	unframedStreamHead = okHead + "Content-Type: text/event-stream\r\n\r\n"
	testTimeout        = 30 * time.Second
	// silentTimeout is the progress timeout of requests whose server is silent. What it
	// sent before arrives well within it on a busy machine.
	silentTimeout = 2 * time.Second
)

// fakeServer is an HTTP server on raw connections. It counts connections and
// requests, and passes the handler the number of the request, from 1.
type fakeServer struct {
	addr     string
	accepted atomic.Int64
	requests atomic.Int64
}

func newFakeServer(t *testing.T, handle func(c net.Conn, r *http.Request, n int64)) *fakeServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	f := &fakeServer{addr: l.Addr().String()}
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

func (f *fakeServer) serve(c net.Conn, handle func(net.Conn, *http.Request, int64)) {
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

func resetConn(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// resetAfterRead resets the connection once the other side had time to read what
// was sent: a reset discards unread bytes.
func resetAfterRead(c net.Conn) {
	<-time.After(50 * time.Millisecond)
	resetConn(c)
}

func chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

func writeString(c net.Conn, s string) { _, _ = io.WriteString(c, s) }

// recordingSink is a Sink that records the response.
type recordingSink struct {
	strings.Builder
	status int
	header http.Header
}

func (m *recordingSink) WriteHead(status int, h http.Header) error {
	m.status, m.header = status, h
	return nil
}

func newRequest(f *fakeServer) *Request {
	return &Request{
		ID:        testID,
		Address:   f.addr,
		Method:    http.MethodPost,
		Path:      "/v1/chat/completions",
		Header:    http.Header{},
		Body:      []byte(`{"model":"m"}`),
		Class:     class.Class{Name: "chat", ProgressTimeout: testTimeout, MaxDuration: testTimeout},
		Kind:      backend.Engine,
		Abilities: backend.Abilities{RepeatsID: true},
	}
}

func forward(t *testing.T, r *Request) (Report, *recordingSink) {
	t.Helper()
	tr := NewTransport()
	t.Cleanup(tr.Close)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	sink := &recordingSink{}
	return tr.Forward(ctx, r, sink), sink
}

// Guards against a wrong report of whether the request was executed, a second
// execution, and a truncated response that looks complete, for each way in which a
// server can fail.
func TestForwardReportsServerFailures(t *testing.T) {
	const ev = "data: {\"n\":1}\n\n"
	cases := []struct {
		name    string
		handle  func(c net.Conn, r *http.Request, n int64)
		code    result.Code
		outcome pool.Outcome
		body    string
	}{
		{"whole plain answer", func(c net.Conn, _ *http.Request, _ int64) {
			writeString(c, plainHead+"0123456789")
		}, result.OK, pool.OutcomeOK, "0123456789"},
		{"whole stream", func(c net.Conn, _ *http.Request, _ int64) {
			writeString(c, streamHead+chunk(ev+doneEvent)+"0\r\n\r\n")
		}, result.OK, pool.OutcomeOK, ev + doneEvent},
		{"stream ends after its marker without a last chunk", func(c net.Conn, _ *http.Request, _ int64) {
			writeString(c, streamHead+chunk(ev+doneEvent))
			resetConn(c)
		}, result.OK, pool.OutcomeOK, ev + doneEvent},
		{"clean end without marker", func(c net.Conn, _ *http.Request, _ int64) {
			writeString(c, streamHead+chunk(ev)+"0\r\n\r\n")
		}, result.StreamBroken, pool.OutcomeBroken, ev},
		{"reset inside an event", func(c net.Conn, _ *http.Request, _ int64) {
			writeString(c, streamHead+chunk(ev)+chunk("data: {\"n"))
			resetConn(c)
		}, result.StreamBroken, pool.OutcomeBroken, ev},
		{"reset before the answer", func(c net.Conn, _ *http.Request, _ int64) {
			resetConn(c)
		}, result.StreamBroken, pool.OutcomeBroken, ""},
		{"plain answer is short", func(c net.Conn, _ *http.Request, _ int64) {
			writeString(c, plainHead+"01234")
			_ = c.Close()
		}, result.StreamBroken, pool.OutcomeBroken, "01234"},
		{"plain answer without length or chunks", func(c net.Conn, _ *http.Request, _ int64) {
			writeString(c, okHead+"\r\n01234")
			_ = c.Close()
		}, result.OK, pool.OutcomeOK, "01234"},
		{"empty answer without length or chunks", func(c net.Conn, _ *http.Request, _ int64) {
			writeString(c, okHead+"\r\n")
			_ = c.Close()
		}, result.OK, pool.OutcomeOK, ""},
		{"plain answer without length or chunks is reset", func(c net.Conn, _ *http.Request, _ int64) {
			writeString(c, okHead+"\r\n01234")
			resetAfterRead(c)
		}, result.StreamBroken, pool.OutcomeBroken, "01234"},
		{"plain answer without length or chunks stalls", func(c net.Conn, _ *http.Request, _ int64) {
			writeString(c, okHead+"\r\n01234")
		}, result.ServerSilent, pool.OutcomeSilent, "01234"},
		{"stream without length or chunks", func(c net.Conn, _ *http.Request, _ int64) {
			writeString(c, unframedStreamHead+ev+doneEvent)
			_ = c.Close()
		}, result.OK, pool.OutcomeOK, ev + doneEvent},
		{"stream without length or chunks ends before its marker", func(c net.Conn, _ *http.Request, _ int64) {
			writeString(c, unframedStreamHead+ev)
			_ = c.Close()
		}, result.StreamBroken, pool.OutcomeBroken, ev},
		{"stream without length or chunks ends inside an event", func(c net.Conn, _ *http.Request, _ int64) {
			writeString(c, unframedStreamHead+ev+"data: {\"n")
			_ = c.Close()
		}, result.StreamBroken, pool.OutcomeBroken, ev},
		{"stream without length or chunks ends inside its marker", func(c net.Conn, _ *http.Request, _ int64) {
			writeString(c, unframedStreamHead+ev+"data: [DO")
			_ = c.Close()
		}, result.StreamBroken, pool.OutcomeBroken, ev},
		{"stream without length or chunks is reset", func(c net.Conn, _ *http.Request, _ int64) {
			writeString(c, unframedStreamHead+ev)
			resetAfterRead(c)
		}, result.StreamBroken, pool.OutcomeBroken, ev},
		{"no answer", func(net.Conn, *http.Request, int64) {}, result.ServerSilent, pool.OutcomeSilent, ""},
		{"stalled stream", func(c net.Conn, _ *http.Request, _ int64) {
			writeString(c, streamHead+chunk(ev))
		}, result.ServerSilent, pool.OutcomeSilent, ev},
		{"answer of another request", func(c net.Conn, _ *http.Request, _ int64) {
			writeString(c, strings.Replace(plainHead, "r-1", "r-2", 1)+"0123456789")
		}, result.IdentityMismatch, pool.OutcomeBroken, ""},
		{"answer without an id", func(c net.Conn, _ *http.Request, _ int64) {
			writeString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}, result.IdentityMismatch, pool.OutcomeBroken, ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f := newFakeServer(t, tc.handle)
			r := newRequest(f)
			if tc.code == result.ServerSilent {
				r.Class.ProgressTimeout = silentTimeout
			}
			report, sink := forward(t, r)
			assert.Equal(t, resultCode(report), tc.code, "%v", report.Err)
			assert.Equal(t, report.Outcome, tc.outcome)
			assert.Equal(t, sink.String(), tc.body)
			assert.Equal(t, f.requests.Load(), int64(1))
			assert.Assert(t, report.Sent)
		})
	}
}

func resultCode(r Report) result.Code {
	if r.Err == nil {
		return result.OK
	}
	return r.Err.Code
}

// Guards against a request that is reported as possibly executed although no
// connection was made.
func TestConnectFailureIsReportedAsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	f := &fakeServer{addr: l.Addr().String()}
	l.Close()
	report, _ := forward(t, newRequest(f))
	assert.Equal(t, resultCode(report), result.ConnectFailed)
	assert.Equal(t, report.Outcome, pool.OutcomeConnectFailed)
	assert.Assert(t, !report.Sent)
}

// Guards against replays by net/http, which resends a GET or a request with an
// idempotency key when a reused connection breaks.
func TestBrokenReusedConnectionIsNotReplayed(t *testing.T) {
	for _, twice := range []bool{true, false} {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			t.Run(fmt.Sprintf("%s twice=%v", method, twice), func(t *testing.T) {
				f := newFakeServer(t, func(c net.Conn, _ *http.Request, n int64) {
					if n > 1 {
						resetConn(c)
						return
					}
					writeString(c, plainHead+"0123456789")
				})
				tr := NewTransport()
				defer tr.Close()
				r := newRequest(f)
				r.Method = method
				r.Class.MayRunTwice = twice
				r.Header = ForwardedHeader(http.Header{"Idempotency-Key": {"k"}, "X-Idempotency-Key": {"k"}})
				r.Body = nil
				ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
				defer cancel()
				assert.Equal(t, resultCode(tr.Forward(ctx, r, &recordingSink{})), result.OK)
				assert.Equal(t, resultCode(tr.Forward(ctx, r, &recordingSink{})), result.StreamBroken)
				assert.Equal(t, f.requests.Load(), int64(2))
				if twice {
					assert.Equal(t, f.accepted.Load(), int64(1), "the second request must reuse the connection")
				}
			})
		}
	}
}

// Guards against a late response to an earlier request on a reused connection: the
// next caller must not receive it.
func TestResponseOfAnotherRequestIsNotDelivered(t *testing.T) {
	f := newFakeServer(t, func(c net.Conn, r *http.Request, n int64) {
		head := strings.Replace(plainHead, "r-1", r.Header.Get(HeaderRequestID), 1)
		if n == 1 {
			writeString(c, head+"0123456789")
			return
		}
		writeString(c, plainHead+"0123456789")
	})
	tr := NewTransport()
	defer tr.Close()
	r := newRequest(f)
	r.Class.MayRunTwice = true
	assert.Equal(t, resultCode(tr.Forward(t.Context(), r, &recordingSink{})), result.OK)
	r.ID = "r-9"
	sink := &recordingSink{}
	assert.Equal(t, resultCode(tr.Forward(t.Context(), r, sink)), result.IdentityMismatch)
	assert.Equal(t, sink.Len(), 0)
}

// Guards against lost or duplicated bytes when a stream is resumed, and against a
// server that resumes at another offset or does not state the offset.
func TestBrokenStreamIsResumedAtItsOffset(t *testing.T) {
	whole := "data: one\n\ndata: two\n\ndata: three\n\n" + doneEvent
	for cut := 1; cut < len(whole); cut += 7 {
		for _, from := range []string{"same", "999", "0", ""} {
			var bodies atomic.Int64
			f := newFakeServer(t, func(c net.Conn, r *http.Request, n int64) {
				if r.ContentLength == int64(len(`{"model":"m"}`)) {
					bodies.Add(1)
				}
				if n == 1 {
					writeString(c, streamHead+chunk(whole[:cut]))
					resetConn(c)
					return
				}
				var offset int
				_, _ = fmt.Sscan(r.Header.Get(HeaderResumeOffset), &offset)
				head := streamHead
				switch from {
				case "same":
					head = strings.Replace(head, "\r\n", fmt.Sprintf("\r\n%s: %d\r\n", HeaderResumeOffset, offset), 1)
				case "":
					offset = 0 // a server that does not support the header
				default:
					head = strings.Replace(head, "\r\n", fmt.Sprintf("\r\n%s: %s\r\n", HeaderResumeOffset, from), 1)
				}
				writeString(c, head+chunk(whole[offset:])+"0\r\n\r\n")
			})
			r := newRequest(f)
			r.Abilities.Resume = true
			report, sink := forward(t, r)
			assert.Equal(t, bodies.Load(), int64(1), "a resume request must not carry the body of the original request")
			if from != "same" {
				assert.Equal(t, resultCode(report), result.StreamBroken, "cut %d, offset %q", cut, from)
				assert.Assert(t, strings.HasPrefix(whole, sink.String()), "wrong bytes after the resume: %q", sink.String())
				continue
			}
			assert.Equal(t, resultCode(report), result.OK, "cut %d: %v", cut, report.Err)
			assert.Equal(t, sink.String(), whole)
			assert.Equal(t, report.ResumeCount, 1)
		}
	}
}

// Guards against a long stream that is cancelled although it makes progress, and
// against a wrong cost.
func TestLongStreamWithProgressIsNotCancelled(t *testing.T) {
	t.Parallel()
	const events = 8
	f := newFakeServer(t, func(c net.Conn, _ *http.Request, _ int64) {
		writeString(c, streamHead)
		tick := time.NewTicker(silentTimeout / 5)
		defer tick.Stop()
		for range events {
			writeString(c, chunk("data: {}\n\n"))
			<-tick.C
		}
		writeString(c, chunk("data: {\"usage\":{\"prompt_tokens\":5,\"completion_tokens\":9}}\n\n"+doneEvent)+"0\r\n\r\n")
	})
	r := newRequest(f)
	r.Class.ProgressTimeout = silentTimeout
	report, sink := forward(t, r)
	assert.Equal(t, resultCode(report), result.OK, "%v", report.Err)
	assert.Equal(t, strings.Count(sink.String(), "{}"), events)
	assert.Equal(t, report.CostUnits, uint64(5+4*9))
}

// slowSink is a Sink whose writes take longer than the progress timeout of the
// request.
type slowSink struct{ recordingSink }

func (m *slowSink) Write(p []byte) (int, error) {
	<-time.After(silentTimeout * 5 / 4)
	return m.recordingSink.Write(p)
}

// Guards against a slow caller that triggers the progress timeout of the server.
func TestSlowCallerIsNotAProgressTimeout(t *testing.T) {
	t.Parallel()
	// More data than the connection buffers hold, so that further reads are needed
	// after the first write.
	events := strings.Repeat("data: "+strings.Repeat("x", copyBufferBytes-16)+"\n\n", 2)
	f := newFakeServer(t, func(c net.Conn, _ *http.Request, _ int64) {
		writeString(c, streamHead+chunk(events)+chunk(doneEvent)+"0\r\n\r\n")
	})
	tr := NewTransport()
	defer tr.Close()
	sink := &slowSink{}
	r := newRequest(f)
	r.Class.ProgressTimeout = silentTimeout
	report := tr.Forward(t.Context(), r, sink)
	assert.Equal(t, resultCode(report), result.OK, "%v", report.Err)
	assert.Equal(t, sink.String(), events+doneEvent)
}

// Guards against a request that the server goes on executing after its caller
// disconnected.
func TestCallerDisconnectCancelsRequestAtServer(t *testing.T) {
	cancelled := make(chan string, 1)
	ctx, leave := context.WithCancel(context.Background())
	f := newFakeServer(t, func(c net.Conn, r *http.Request, _ int64) {
		if r.URL.Path == cancelPath {
			cancelled <- r.Header.Get(HeaderRequestID)
			writeString(c, plainHead+"0123456789")
			return
		}
		writeString(c, streamHead+chunk("data: {}\n\n"))
		leave()
	})
	tr := NewTransport()
	defer tr.Close()
	r := newRequest(f)
	r.Class.ProgressTimeout = testTimeout
	r.Abilities.Cancel = true
	report := tr.Forward(ctx, r, &recordingSink{})
	assert.Equal(t, resultCode(report), result.CallerLeft)
	assert.Equal(t, report.Outcome, pool.OutcomeCancelled)
	select {
	case id := <-cancelled:
		assert.Equal(t, id, testID)
	case <-time.After(testTimeout):
		t.Fatal("the server received no cancel request")
	}
}
