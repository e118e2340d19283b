package callers

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/netpeek"
)

// startTracked starts a server with a tracker and returns a connection to it, and the
// server's end of that connection.
func startTracked(t *testing.T) (s *ConnTracker, caller net.Conn, host func() *callerConn) {
	s = NewConnTracker(0, 0, metrics.NewRegistry())
	var end atomic.Pointer[callerConn]
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.URL.Path) }),
		ConnState: func(c net.Conn, state http.ConnState) {
			end.Store(c.(*callerConn))
			s.OnStateChange(c, state)
		},
		IdleTimeout: waitLimit, ReadHeaderTimeout: waitLimit,
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = server.Serve(s.Listener(l)) }()
	t.Cleanup(func() { _ = server.Close() })
	caller, err = net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = caller.Close() })
	return s, caller, end.Load
}

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for limit := time.Now().Add(waitLimit); !condition(); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(limit), "timed out waiting for %s", what)
	}
}

func (s *ConnTracker) idleCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.idle)
}

func (c *callerConn) hasBegun() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.begun
}

func checkResponse(t *testing.T, in *bufio.Reader, path string) {
	t.Helper()
	resp, err := http.ReadResponse(in, nil)
	assert.NilError(t, err, "no response to %s", path)
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), path)
}

// Guards against a request that is cut while its head arrives: net/http still reports
// the connection as idle, and nothing is left unread.
func TestRequestWhoseHeadArrivesInPartsIsAnswered(t *testing.T) {
	const first, second = "GET /first HTTP/1.1\r\nHost: a.example\r\n\r\n", "GET /second HTTP/1.1\r\nHost: a.example\r\n\r\n"
	// Bytes of the second request that arrive with the first one, and separately.
	for _, c := range []struct{ together, separate int }{{0, 1}, {0, 3}, {0, 4}, {0, 30}, {1, 0}, {3, 0}, {4, 0}, {30, 0}, {2, 20}} {
		s, caller, host := startTracked(t)
		in := bufio.NewReader(caller)
		_, err := io.WriteString(caller, first+second[:c.together])
		assert.NilError(t, err)
		checkResponse(t, in, "/first")
		_, err = io.WriteString(caller, second[c.together:c.together+c.separate])
		assert.NilError(t, err)
		waitFor(t, "an idle connection", func() bool { return s.idleCount() == 1 })
		waitFor(t, "the begin of the second request", func() bool { return host().hasBegun() })
		s.closeIdle(0)
		_, err = io.WriteString(caller, second[c.together+c.separate:])
		assert.NilError(t, err)
		checkResponse(t, in, "/second")
	}
}

// Guards against a request that is cut because it arrives between the check of an idle
// connection and its end.
func TestRequestThatArrivesWhenTheWaitEndsIsAnswered(t *testing.T) {
	caller, host := connect(t)
	c := &callerConn{TCPConn: host.(*net.TCPConn)}
	c.setIdle(true)
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(waitLimit)))
	assert.Assert(t, c.endWait())
	const request = "GET / HTTP/1.1\r\n\r\n"
	_, err := io.WriteString(caller, request)
	assert.NilError(t, err)
	waitFor(t, "the request", func() bool { return peekUnread(t, host) })
	read := make([]byte, len(request))
	_, err = io.ReadFull(c, read)
	assert.NilError(t, err)
	assert.Equal(t, string(read), request)
	assert.Assert(t, !c.endWait(), "a request has begun")
}

// Guards against idle connections that stay open.
func TestIdleTrackedConnectionIsClosed(t *testing.T) {
	s, caller, _ := startTracked(t)
	in := bufio.NewReader(caller)
	for _, path := range []string{"/first", "/second"} {
		_, err := io.WriteString(caller, strings.ReplaceAll("GET PATH HTTP/1.1\r\nHost: a.example\r\n\r\n", "PATH", path))
		assert.NilError(t, err)
		checkResponse(t, in, path)
	}
	waitFor(t, "an idle connection", func() bool { return s.idleCount() == 1 })
	s.closeIdle(0)
	checkClosed(t, in)
	assert.NilError(t, caller.Close())
	waitFor(t, "the end of the connection", func() bool { return s.OpenCount() == 0 })
	assert.DeepEqual(t, s.counts(), map[string]int64{})
}

func peekUnread(t *testing.T, c net.Conn) bool {
	p, err := netpeek.Peek(c)
	assert.NilError(t, err)
	return p.UnreadData
}
