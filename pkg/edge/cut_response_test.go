package edge

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/dispatch"
	"jackdawtrack.example/jackdawtrack/pkg/proxy"
	"jackdawtrack.example/jackdawtrack/pkg/routing"
)

// WriteHeaders implements Dialect.
func (headerDialect) WriteHeaders(h http.Header, c RequestMetadata) { h.Set("Id", c.RequestID) }

// cutServer is a backend server that answers each request with given bytes, and an edge
// host in front of it, without retries.
type cutServer struct {
	edge     *httptest.Server
	accepted atomic.Int64
	answers  chan cutAnswer // to the next request
}

type cutAnswer struct {
	bytes []byte
	end   func(net.Conn) // ends the connection after the answer, nil to keep it
	ended chan struct{}  // closed after end
}

// connEndTimeout bounds the wait for the end of a connection on a busy machine.
const connEndTimeout = 30 * time.Second

// newPatientTransport returns a transport that connects on a busy machine too.
func newPatientTransport() *proxy.Transport {
	return proxy.NewTransportWithOptions(proxy.Options{ConnectTimeout: connEndTimeout})
}

// newCutServer returns a server whose connections are used again if reuse is set.
func newCutServer(t testing.TB, stream, reuse bool) *cutServer {
	c := &cutServer{answers: make(chan cutAnswer, 1)}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	transport, log := newPatientTransport(), logrus.NewEntry(&logrus.Logger{Out: io.Discard, Level: logrus.PanicLevel})
	closed, cancel := context.WithCancel(context.Background()) // lost connections are not checked
	cancel()
	c.edge = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		x := newAttemptTest().proxiedRequest
		x.s.transport, x.s.stopping, x.w, x.callerCtx = transport, newStopping(), w, r.Context()
		if !reuse {
			x.s.transport = newPatientTransport()
			defer x.s.transport.Close()
		}
		x.s.ctx, x.s.log = closed, log
		x.in.Method, x.in.Target, x.in.Header = http.MethodPost, "/", http.Header{}
		x.route = &routing.Route{Stream: stream, RetryPolicy: routing.AtMostOnce, MaxAttempts: 1}
		if a := x.attempt(dispatch.Decision{Address: l.Addr().String()}); !a.done {
			x.recordFailure(a)
			x.respondFailed(a)
		}
		x.releaseResponses()
	}))
	t.Cleanup(func() {
		c.edge.Close()
		transport.Close()
		_ = l.Close()
	})
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			c.accepted.Add(1)
			go c.serve(conn)
		}
	}()
	return c
}

func (c *cutServer) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		answer := <-c.answers
		_, _ = conn.Write(answer.bytes)
		if answer.end != nil {
			answer.end(conn)
			close(answer.ended)
			return
		}
	}
}

// call sends a request whose answer is the given bytes, and waits for the end of the
// connection to the server unless it is kept.
func (c *cutServer) call(t testing.TB, answer []byte, end func(net.Conn)) (resp *http.Response, body string, err error) {
	ended := make(chan struct{})
	c.answers <- cutAnswer{answer, end, ended}
	resp, err = c.edge.Client().Post(c.edge.URL, "", nil)
	assert.NilError(t, err, "no answer to %q", answer)
	data, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if end == nil {
		return resp, string(data), err
	}
	select {
	case <-ended:
	case <-time.After(connEndTimeout):
		t.Fatalf("%q: the connection to the server is open %v after %d %q", answer, connEndTimeout, resp.StatusCode, data)
	}
	return resp, string(data), err
}

func closeServerConn(c net.Conn) { _ = c.Close() }

// closeBothEnds closes the connection and waits until the edge host has closed it too.
// Otherwise it may send the next request on it, which is lost rightly: a reset does not
// tell whether the server has read the request.
func closeBothEnds(c net.Conn) {
	_ = c.(*net.TCPConn).CloseWrite()
	_, _ = io.Copy(io.Discard, c)
	_ = c.Close()
}

func resetServerConn(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// Guards against a response that is cut at any place, in its head too, and looks
// complete to the caller or bears the status or headers of the cut head.
func TestCutResponseIsNeverComplete(t *testing.T) {
	const eventStream = "Content-Type: text/event-stream\r\n"
	const events = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n"
	const chunks = "5\r\nhello\r\n6\r\n world\r\n0\r\n"
	for _, c := range []struct {
		name, before, header, body string
		want                       string // body that the caller gets of the whole response
		framed, stream             bool
	}{
		{"length", "", "Content-Length: 11\r\n", "hello world", "hello world", true, false},
		{"empty", "", "Content-Length: 0\r\n", "", "", true, false},
		{"chunks", "", "Transfer-Encoding: chunked\r\n", chunks + "\r\n", "hello world", true, false},
		{"trailer", "", "Transfer-Encoding: chunked\r\nTrailer: X-End\r\n", chunks + "X-End: 1\r\n\r\n", "hello world", true, false},
		{"no framing", "", "", "hello world", "hello world", false, false},
		{"interim response", "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n", "Content-Length: 5\r\n", "hello", "hello", true, false},
		{"interim response, no framing", "HTTP/1.1 100 Continue\r\n\r\n", "", "hello", "hello", false, false},
		{"stream with a length", "", eventStream + fmt.Sprintf("Content-Length: %d\r\n", len(events)), events, events, true, true},
		{"stream in chunks", "", eventStream + "Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(events), events), events, true, true},
		{"stream without framing", "", eventStream, events, events, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newCutServer(t, c.stream, true)
			head := c.before + "HTTP/1.1 200 OK\r\nId: " + fuzzID + "\r\nSeal: s\r\nX-Server: 1\r\n" + c.header + "\r\n"
			raw := head + c.body
			for cut := range len(raw) + 1 {
				for _, kept := range []bool{false, true} {
					if kept {
						resp, body, err := s.call(t, []byte(rawHead(200, "Id: "+fuzzID, "Seal: s", "Content-Length: 0")), nil)
						assert.Assert(t, err == nil && resp.StatusCode == http.StatusOK, "before %q: %d %q %v", raw[:cut], resp.StatusCode, body, err)
					}
					resp, body, err := s.call(t, []byte(raw[:cut]), closeBothEnds)
					sent := raw[min(cut, len(head)):cut]
					whole := cut == len(raw) || !c.framed && cut >= len(head) && (!c.stream || strings.HasSuffix(sent, "\n\n"))
					want := c.want
					if !c.framed {
						want = sent
					}
					switch {
					case whole:
						assert.Assert(t, resp.StatusCode == http.StatusOK && err == nil && body == want, "%q: %d %q %v", raw[:cut], resp.StatusCode, body, err)
					case resp.StatusCode == http.StatusOK:
						assert.Assert(t, c.stream && cut >= len(head) && err != nil && strings.HasPrefix(want, body), "%q: 200 %q", raw[:cut], body)
					default:
						assert.Equal(t, resp.StatusCode, http.StatusBadGateway, "%q", raw[:cut])
						assert.Assert(t, err == nil && resp.Header.Get("X-Server") == "" && strings.HasPrefix(body, "{"), "%q: %v %q", raw[:cut], resp.Header, body)
					}
				}
				resp, body, err := s.call(t, []byte(raw[:cut]), resetServerConn)
				if resp.StatusCode == http.StatusOK && err == nil {
					assert.Assert(t, c.framed && cut == len(raw) && body == c.want, "%q, reset: 200 %q", raw[:cut], body)
				}
			}
			assert.Assert(t, s.accepted.Load() < int64(4*len(raw)), "no connection was used again")
		})
	}
}

// finalResponse returns the first response in raw that is not an interim one.
func finalResponse(raw []byte) (*http.Response, error) {
	in := bufio.NewReader(strings.NewReader(string(raw)))
	for {
		resp, err := http.ReadResponse(in, &http.Request{Method: http.MethodPost})
		if err != nil || resp.StatusCode >= http.StatusOK || resp.StatusCode == http.StatusSwitchingProtocols || resp.StatusCode < 100 {
			return resp, err
		}
	}
}

// Guards against a response with bytes changed or cut at any place that reaches the
// caller as a whole one although it is not, or with headers of a cut head.
func FuzzCutResponse(f *testing.F) {
	id, seal, stream := "Id: "+fuzzID, "Seal: s", "Content-Type: text/event-stream"
	const events = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n"
	for _, raw := range []string{
		rawHead(200, id, seal, "X-Server: 1", "Content-Length: 5") + "hello",
		rawHead(200, id, seal, "X-Server: 1", "Transfer-Encoding: chunked") + "5\r\nhello\r\n0\r\n\r\n",
		rawHead(200, id, seal, "X-Server: 1", "Transfer-Encoding: chunked", "Trailer: X") + "5\r\nhello\r\n0\r\nX: 1\r\n\r\n",
		rawHead(200, id, seal, "X-Server: 1") + "hello",
		rawHead(103, "Link: </x>") + rawHead(200, id, seal, "X-Server: 1", "Content-Length: 5") + "hello",
		rawHead(200, id, seal, "X-Server: 1", stream) + events,
		rawHead(200, id, seal, "X-Server: 1", stream, "Content-Length: 34") + events,
		rawHead(500, id, seal, "X-Server: 1", "Content-Length: 5") + "hello",
		rawHead(503, id, "Not-Executed: 1", "Content-Length: 0"),
		"HTTP/1.1 200 OK\nId: " + fuzzID + "\nSeal: s\n\nhello",
	} {
		for _, at := range []int{0, 12, 16, len(raw) / 3, len(raw) / 2, len(raw) - 3, len(raw) - 1, len(raw)} {
			f.Add([]byte(raw), at, "", true)
			f.Add([]byte(raw), at, "\r\n", false)
			f.Add([]byte(raw), at, "Content-Length: 0\r\n\r\n", true)
		}
	}
	servers := map[bool]*cutServer{true: newCutServer(f, true, false), false: newCutServer(f, false, false)}
	f.Fuzz(func(t *testing.T, raw []byte, at int, replacement string, stream bool) {
		raw = append(raw[:min(max(at, 0), len(raw)):min(max(at, 0), len(raw))], replacement...)
		resp, body, err := servers[stream].call(t, raw, closeServerConn)
		sent, headErr := finalResponse(raw)
		if resp.Header.Get("X-Server") == "" && resp.StatusCode/100 != 2 {
			return // the edge host's own error
		}
		text := string(raw)
		if headErr != nil || !strings.Contains(text, "\n\r\n") && !strings.Contains(text, "\n\n") {
			t.Fatalf("%q: got %d %v %q of a cut head", raw, resp.StatusCode, resp.Header, body)
		}
		whole, readErr := io.ReadAll(sent.Body)
		if err != nil {
			if !stream || !strings.HasPrefix(string(whole), body) {
				t.Fatalf("%q: got %q and %v", raw, body, err)
			}
			return
		}
		openStream := stream && sent.StatusCode == http.StatusOK && !proxy.IsFramed(sent)
		if readErr != nil || string(whole) != body || resp.StatusCode != sent.StatusCode || openStream && (len(body) == 0 || lastBoundary(whole) != len(whole)) {
			t.Fatalf("%q: %d %q looks complete", raw, resp.StatusCode, body)
		}
		if resp.StatusCode/100 == 2 && (sent.Header.Get("Id") != fuzzID || sent.Header.Get("Seal") == "") {
			t.Fatalf("%q: got %d of another server or request", raw, resp.StatusCode)
		}
	})
}
