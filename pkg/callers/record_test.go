package callers

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
)

// recorded is a server that records the ends of its connections.
type recorded struct {
	*ConnTracker
	server  *http.Server
	address string
	conn    atomic.Pointer[callerConn] // the last one
	ended   chan struct{}              // closed when its end is recorded
}

func startRecorded(t *testing.T, headTimeout time.Duration) *recorded {
	s := NewConnTracker(0, 0, metrics.NewRegistry())
	out := &recorded{ConnTracker: s, ended: make(chan struct{})}
	out.server = &http.Server{
		Handler: s.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.URL.Path) })),
		ConnState: func(c net.Conn, state http.ConnState) {
			out.conn.Store(c.(*callerConn))
			s.OnStateChange(c, state)
			if state == http.StateClosed {
				close(out.ended)
			}
		},
		ConnContext: s.ContextWithConn, ReadHeaderTimeout: headTimeout, IdleTimeout: waitLimit, MaxHeaderBytes: 1,
	}
	l, err := Listen(t.Context(), "127.0.0.1:0")
	assert.NilError(t, err)
	out.address = l.Addr().String()
	go func() { _ = out.server.Serve(s.Listener(l)) }()
	t.Cleanup(func() { _ = out.server.Close() })
	return out
}

// received returns the bytes of the request in progress that were read.
func (r *recorded) received() int {
	c := r.conn.Load()
	if c == nil {
		return -1
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.read
}

// counts returns the counters of all reasons that are not 0.
func (s *ConnTracker) counts() map[string]int64 {
	out := map[string]int64{}
	s.closes.registry.Each(func(name string, v any) {
		if n := v.(metrics.Counter).Count(); n > 0 {
			out[strings.TrimPrefix(name, "callers.closed.")] = n
		}
	})
	return out
}

// Guards against connections that net/http ends without a record of the reason, and
// against records of connections whose requests were answered.
func TestConnectionsWithoutAHandledRequestAreRecorded(t *testing.T) {
	const request = "GET /x HTTP/1.1\r\nHost: a.example\r\n\r\n"
	const longTimeout, shortTimeout = waitLimit, time.Second
	for _, c := range []struct {
		name        string
		headTimeout time.Duration
		answered    int    // requests that are sent and answered first
		sent        string // after them
		end         string // caller, host, or "" if the host ends by itself
		want        string // reason, "" for none
	}{
		{"no bytes, the caller leaves", longTimeout, 0, "", "caller", "unused"},
		{"no bytes within the timeout", shortTimeout, 0, "", "", "unused"},
		{"answered, the caller leaves", longTimeout, 1, "", "caller", ""},
		{"answered, the host stops", longTimeout, 1, "", "host", ""},
		{"a part of a head, the caller leaves", longTimeout, 0, request[:20], "caller", "head_abandoned"},
		{"a part of a second head, the caller leaves", longTimeout, 1, request[:20], "caller", "head_abandoned"},
		{"two bytes of a second head, the caller leaves", longTimeout, 1, request[:2], "caller", "head_abandoned"},
		{"a part of a head within the timeout", shortTimeout, 0, request[:20], "", "head_timeout"},
		{"a part of a second head within the timeout", shortTimeout, 2, request[:20], "", "head_timeout"},
		{"a part of a head, the host stops", longTimeout, 0, request[:20], "host", "host_stopped"},
		{"a head that is no HTTP", longTimeout, 0, "hello\r\n\r\n", "", "head_invalid"},
		{"a second head that is no HTTP", longTimeout, 1, "hello\r\n\r\n", "", "head_invalid"},
		{"a head that is too large", longTimeout, 0, strings.Replace(request, "\r\n\r\n", "\r\nA: "+strings.Repeat("a", 1<<14)+"\r\n\r\n", 1), "", "head_invalid"},
		{"an unknown expectation", longTimeout, 0, strings.Replace(request, "\r\n\r\n", "\r\nExpect: b\r\n\r\n", 1), "", "head_invalid"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := startRecorded(t, c.headTimeout)
			conn, err := net.Dial("tcp", s.address)
			assert.NilError(t, err)
			defer conn.Close()
			in := bufio.NewReader(conn)
			for range c.answered {
				_, err = io.WriteString(conn, request)
				assert.NilError(t, err)
				checkResponse(t, in, "/x")
			}
			_, err = io.WriteString(conn, c.sent)
			assert.NilError(t, err)
			switch c.end {
			case "caller":
				assert.NilError(t, conn.(*net.TCPConn).CloseWrite())
			case "host":
				waitFor(t, "the request", func() bool { return s.received() >= len(c.sent) })
				s.End()
				assert.NilError(t, s.server.Close())
			}
			_, _ = io.Copy(io.Discard, in) // until the end of the connection
			<-s.ended
			want := map[string]int64{}
			if c.want != "" {
				want[c.want] = 1
			}
			assert.DeepEqual(t, s.counts(), want)
		})
	}
}

// Guards against a flood of connections that fills the log.
func TestRecordsOfClosedConnectionsAreBounded(t *testing.T) {
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	r := newCloseRecorder(logrus.NewEntry(log), metrics.NewRegistry())
	_, host := connect(t)
	c := &callerConn{TCPConn: host.(*net.TCPConn), openedAt: time.Now()}
	const closed = 100 * recordLogBurst
	started := time.Now()
	for range closed {
		r.record(c, closeUnused, 0)
	}
	allowed := recordLogBurst + 1 + int(time.Since(started).Seconds()*recordLogRate)
	lines := strings.Count(out.String(), "\n")
	assert.Assert(t, lines >= recordLogBurst && lines <= allowed, "%d lines", lines)
	assert.Equal(t, metrics.GetOrRegisterCounter(closeMetric(closeUnused), r.registry).Count(), int64(closed))
	unlogged := r.unlogged.Load() // since the last line; each line states those before it
	for _, field := range regexp.MustCompile(`unlogged=(\d+)`).FindAllStringSubmatch(out.String(), -1) {
		n, err := strconv.ParseInt(field[1], 10, 64)
		assert.NilError(t, err)
		unlogged += n
	}
	assert.Equal(t, unlogged, int64(closed-lines))
}

// Guards against a response in progress that looks complete to a caller with HTTP/1.0
// because the process ends: it gets no chunks, so the end of the connection is the end
// of the response. A complete response must not be reset.
func TestResponseInProgressIsResetForOldCallersAtClose(t *testing.T) {
	for name, complete := range map[string]bool{"in progress": false, "complete": true} {
		t.Run(name, func(t *testing.T) {
			s, begun := NewConnTracker(0, 0, metrics.NewRegistry()), make(chan struct{})
			server := &http.Server{Handler: s.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.WriteString(w, "hello")
				_ = http.NewResponseController(w).Flush()
				close(begun)
				if !complete {
					<-r.Context().Done()
				}
			})), ConnState: s.OnStateChange, ConnContext: s.ContextWithConn}
			l, err := Listen(t.Context(), "127.0.0.1:0")
			assert.NilError(t, err)
			go func() { _ = server.Serve(s.Listener(l)) }()
			defer server.Close()
			conn, err := net.Dial("tcp", l.Addr().String())
			assert.NilError(t, err)
			defer conn.Close()
			_, err = io.WriteString(conn, "GET / HTTP/1.0\r\n\r\n")
			assert.NilError(t, err)
			<-begun
			if !complete {
				assert.NilError(t, server.Close())
			}
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			var body []byte
			if err == nil {
				body, err = io.ReadAll(resp.Body)
			}
			if complete {
				assert.NilError(t, err)
				assert.Equal(t, string(body), "hello")
				return
			}
			assert.Assert(t, err != nil, "a response in progress looks complete: %q", body)
		})
	}
}

// Guards against a call of a server or an operator that ends without an answer and without a
// record, because its handler panics.
func TestPanicOfHandlerIsRecorded(t *testing.T) {
	for _, c := range []struct {
		cause any
		want  int64
	}{{"fault", 1}, {http.ErrAbortHandler, 0}} {
		s := NewConnTracker(0, 0, metrics.NewRegistry())
		server := httptest.NewServer(s.Handler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(c.cause) })))
		_, err := http.Get(server.URL)
		assert.Assert(t, err != nil, "the connection was not closed")
		server.Close()
		assert.Equal(t, metrics.GetOrRegisterCounter(panicMetric, s.closes.registry).Count(), c.want)
	}
}
