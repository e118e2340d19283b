package callers

import (
	"bufio"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"
)

// checkClosed reads the notice of the close and the end of the connection.
func checkClosed(t *testing.T, in *bufio.Reader) {
	t.Helper()
	resp, err := http.ReadResponse(in, nil)
	assert.NilError(t, err, "the connection ended without an answer")
	assert.Equal(t, resp.StatusCode, http.StatusRequestTimeout)
	assert.Equal(t, resp.Header.Get("Jackdawtrack-Executed"), "no")
	assert.Assert(t, resp.Close)
	rest, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(rest), "")
	_, err = in.ReadByte()
	assert.Equal(t, err, io.EOF)
}

// Guards against a request that ends without an answer or a refusal because it crosses
// the close of its idle connection, for example in a planned stop.
func TestRequestThatCrossesTheCloseIsRefused(t *testing.T) {
	for name, end := range map[string]func(*ConnTracker, *callerConn) error{
		"check": func(s *ConnTracker, c *callerConn) error {
			err := c.SetReadDeadline(time.Now().Add(waitLimit))
			s.closeIdle(0)
			return err
		},
		"idle timeout": func(_ *ConnTracker, c *callerConn) error { return c.SetReadDeadline(pastDeadline) },
	} {
		t.Run(name, func(t *testing.T) { crossClose(t, end) })
	}
}

func crossClose(t *testing.T, end func(*ConnTracker, *callerConn) error) {
	caller, host := connect(t)
	s := NewConnTracker(0, 0, metrics.NewRegistry())
	c := &callerConn{TCPConn: host.(*net.TCPConn), openedAt: time.Now()}
	for _, state := range []http.ConnState{http.StateNew, http.StateActive, http.StateIdle} {
		s.OnStateChange(c, state)
	}
	assert.NilError(t, caller.SetDeadline(time.Now().Add(waitLimit)))
	assert.NilError(t, end(s, c))
	read := make(chan error, 1)
	go func() { _, err := c.Read(make([]byte, 1)); read <- err }()
	in := bufio.NewReader(caller)
	_, err := in.Peek(1) // the host has ended its wait
	assert.NilError(t, err)
	s.closeIdle(0) // does not end the notice early
	const request = "POST /x HTTP/1.1\r\nHost: a.example\r\nContent-Length: 2\r\n\r\nab"
	_, err = io.WriteString(caller, request)
	assert.NilError(t, err)
	checkClosed(t, in)
	assert.NilError(t, caller.Close())
	assert.ErrorIs(t, <-read, os.ErrDeadlineExceeded)
	assert.NilError(t, c.Close())
	s.OnStateChange(c, http.StateClosed)
	assert.DeepEqual(t, s.counts(), map[string]int64{"crossed": 1})
	assert.Equal(t, c.crossed, len(request))
}

// Guards against a caller that never closes its connection and so holds up the host.
func TestNoticeOfTheCloseDoesNotWaitForTheCaller(t *testing.T) {
	s, caller, _ := startTracked(t)
	_, err := io.WriteString(caller, "GET /x HTTP/1.1\r\nHost: a.example\r\n\r\n")
	assert.NilError(t, err)
	checkResponse(t, bufio.NewReader(caller), "/x")
	waitFor(t, "an idle connection", func() bool { return s.idleCount() == 1 })
	assert.NilError(t, s.WaitClosed(t.Context(), 0))
}

// Guards against a stop that counts a connection as cut although its caller was told, because
// the wait ends before the caller has closed it.
func TestToldConnectionIsNotCountedAsCut(t *testing.T) {
	s, caller, _ := startTracked(t)
	_, err := io.WriteString(caller, "GET /x HTTP/1.1\r\nHost: a.example\r\n\r\n")
	assert.NilError(t, err)
	in := bufio.NewReader(caller)
	checkResponse(t, in, "/x")
	waitFor(t, "an idle connection", func() bool { return s.idleCount() == 1 })
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- s.WaitClosed(ctx, 0) }()
	checkClosed(t, in)
	waitFor(t, "the caller to be told", func() bool { return s.CutCount() == 0 })
	cancel()
	assert.NilError(t, <-ended)
}

// Guards against a notice in the middle of a response or of a TLS handshake, and against a
// server that waits for the notice when it is closed.
func TestNoticeIsSentOnlyBetweenRequests(t *testing.T) {
	for _, c := range []struct {
		state  http.ConnState
		isTLS  bool
		notice bool
	}{
		{http.StateNew, false, true},
		{http.StateNew, true, false},
		{http.StateActive, false, false},
		{http.StateActive, true, false},
		{http.StateIdle, false, true},
		{http.StateIdle, true, false},
	} {
		caller, host := connect(t)
		s := NewConnTracker(0, 0, metrics.NewRegistry())
		tracked := &callerConn{TCPConn: host.(*net.TCPConn), openedAt: time.Now()}
		var conn net.Conn = tracked
		if c.isTLS {
			conn = tls.Server(tracked, &tls.Config{})
		}
		s.OnStateChange(conn, http.StateNew)
		s.OnStateChange(conn, c.state)
		assert.NilError(t, tracked.SetReadDeadline(pastDeadline))
		read := make(chan error, 1)
		go func() { _, err := tracked.Read(make([]byte, 1)); read <- err }()
		assert.NilError(t, caller.SetDeadline(time.Now().Add(waitLimit)))
		if c.notice {
			checkClosed(t, bufio.NewReader(caller))
			assert.NilError(t, caller.Close())
			assert.ErrorIs(t, <-read, os.ErrDeadlineExceeded)
			continue
		}
		assert.ErrorIs(t, <-read, os.ErrDeadlineExceeded)
		assert.NilError(t, tracked.Close())
		rest, err := io.ReadAll(caller)
		assert.NilError(t, err)
		assert.Equal(t, string(rest), "", "%v", c)
	}
}

// Guards against a first request that ends without an answer because it crosses the close of
// its connection at the head timeout.
func TestFirstRequestThatCrossesTheCloseIsRefused(t *testing.T) {
	s := startRecorded(t, 10*time.Millisecond)
	caller, err := net.Dial("tcp", s.address)
	assert.NilError(t, err)
	defer caller.Close()
	assert.NilError(t, caller.SetDeadline(time.Now().Add(waitLimit)))
	in := bufio.NewReader(caller)
	_, err = in.Peek(1) // the host has ended its wait
	assert.NilError(t, err, "the connection ended without an answer")
	_, err = io.WriteString(caller, "POST /x HTTP/1.1\r\nHost: a.example\r\nContent-Length: 2\r\n\r\nab")
	assert.NilError(t, err)
	checkClosed(t, in)
	assert.NilError(t, caller.Close())
	<-s.ended
	assert.DeepEqual(t, s.counts(), map[string]int64{"crossed": 1})
}

// Guards against a request that gets no answer because its head is not complete in time.
func TestLateHeadIsRefused(t *testing.T) {
	const request = "GET /x HTTP/1.1\r\nHost: a.example\r\n\r\n"
	for name, answered := range map[string]int{"first request": 0, "second request": 1} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startRecorded(t, time.Second)
			caller, err := net.Dial("tcp", s.address)
			assert.NilError(t, err)
			defer caller.Close()
			assert.NilError(t, caller.SetDeadline(time.Now().Add(waitLimit)))
			in := bufio.NewReader(caller)
			for range answered {
				_, err = io.WriteString(caller, request)
				assert.NilError(t, err)
				checkResponse(t, in, "/x")
			}
			_, err = io.WriteString(caller, request[:20])
			assert.NilError(t, err)
			checkClosed(t, in)
			_, err = io.WriteString(caller, request[20:]) // comes too late
			assert.NilError(t, err)
			assert.NilError(t, caller.Close())
			<-s.ended
			assert.DeepEqual(t, s.counts(), map[string]int64{"head_timeout": 1})
		})
	}
}

// Guards against a stop that takes longer than its grace time: http.Server.Close closes
// connections one after the other and waited for each caller that does not close.
func TestCloseOfManyConnectionsDoesNotWaitForTheirCallers(t *testing.T) {
	const conns = 300
	s := NewConnTracker(0, 0, metrics.NewRegistry())
	var open []*callerConn
	for range conns {
		_, host := connect(t)
		c := &callerConn{TCPConn: host.(*net.TCPConn), openedAt: time.Now()}
		for _, state := range []http.ConnState{http.StateNew, http.StateActive, http.StateIdle} {
			s.OnStateChange(c, state)
		}
		open = append(open, c)
	}
	s.closeIdle(0)
	began := time.Now()
	for _, c := range open {
		assert.NilError(t, c.Close())
	}
	const graceLeft = 300 * time.Millisecond // when a host closes what is open
	took := time.Since(began)
	assert.Assert(t, took < graceLeft, "%d connections took %s", conns, took)
}

// Guards against a request that ends without an answer because it crosses the close of a
// connection that net/http closes at its own idle timeout, on hosts without a check for
// idle connections (routers, core hosts).
func TestCallerIsToldOfTheIdleTimeoutOfTheServer(t *testing.T) {
	s := NewConnTracker(0, 0, metrics.NewRegistry())
	server := &http.Server{
		Handler:   http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.URL.Path) }),
		ConnState: s.OnStateChange, IdleTimeout: 10 * time.Millisecond, ReadHeaderTimeout: waitLimit,
	}
	l, err := Listen(t.Context(), "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = server.Serve(s.Listener(l)) }()
	defer server.Close()
	caller, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	defer caller.Close()
	assert.NilError(t, caller.SetDeadline(time.Now().Add(waitLimit)))
	_, err = io.WriteString(caller, "GET /x HTTP/1.1\r\nHost: a.example\r\n\r\n")
	assert.NilError(t, err)
	in := bufio.NewReader(caller)
	checkResponse(t, in, "/x")
	checkClosed(t, in)
}

// Guards against a request that is dropped because it has arrived, unread, when the idle
// timeout or the head timeout of net/http ends, and against one that is cut because a check
// for idle connections ends the notice of another close.
func TestRequestThatIsUnreadAtTheTimeoutIsRead(t *testing.T) {
	for name, states := range map[string][]http.ConnState{
		"idle timeout": {http.StateNew, http.StateActive, http.StateIdle},
		"head timeout": {http.StateNew},
	} {
		t.Run(name, func(t *testing.T) { readAtTimeout(t, states) })
	}
}

func readAtTimeout(t *testing.T, states []http.ConnState) {
	caller, host := connect(t)
	s := NewConnTracker(0, 0, metrics.NewRegistry())
	c := &callerConn{TCPConn: host.(*net.TCPConn), openedAt: time.Now()}
	for _, state := range states {
		s.OnStateChange(c, state)
	}
	_, err := io.WriteString(caller, "GET ")
	assert.NilError(t, err)
	waitFor(t, "the request", func() bool { return peekUnread(t, host) })
	assert.NilError(t, c.SetReadDeadline(pastDeadline))
	got := make([]byte, 16)
	n, err := c.Read(got)
	assert.NilError(t, err)
	assert.Equal(t, string(got[:n]), "GET ")
	assert.Assert(t, !c.endWait(), "the request counts as begun")
	assert.NilError(t, caller.Close())
}
