package callers

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/netpeek"
)

// waitLimit bounds each wait. It is long because the machine may be busy.
const waitLimit = 60 * time.Second

// connect returns both ends of a TCP connection.
func connect(t *testing.T) (caller, host net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	caller, err = net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	host, err = l.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = caller.Close(); _ = host.Close() })
	return caller, host
}

// Guards against requests that are sent to servers after their callers have left
// (reported as GONE on a large deployment). A busy host reads a request seconds
// after its arrival, and net/http detects the closed connection even later.
func TestLeftDetectsClosedConnection(t *testing.T) {
	caller, c := connect(t)
	ctx := NewConnTracker(1, 0, metrics.NewRegistry()).ContextWithConn(t.Context(), c)
	assert.Assert(t, !Disconnected(ctx))
	assert.NilError(t, caller.Close())
	limit := time.Now().Add(waitLimit)
	for !Disconnected(ctx) {
		assert.Assert(t, time.Now().Before(limit))
		time.Sleep(time.Millisecond)
	}
}

// Guards against a lost request (reported as LOST on a large deployment): on a
// busy host a connection counts as idle until its next request is read, and must
// not be closed while that request is unread.
func TestConnectionWithUnreadRequestIsNotClosed(t *testing.T) {
	caller, c := connect(t)
	s := NewConnTracker(1, 0, metrics.NewRegistry())
	s.OnStateChange(c, http.StateNew)
	s.OnStateChange(c, http.StateIdle)
	p, err := netpeek.Peek(c)
	assert.NilError(t, err)
	assert.Equal(t, p, netpeek.State{})
	const request = "GET / HTTP/1.1\r\n\r\n"
	_, err = io.WriteString(caller, request)
	assert.NilError(t, err)
	limit := time.Now().Add(waitLimit)
	for !p.UnreadData && time.Now().Before(limit) {
		time.Sleep(time.Millisecond)
		p, err = netpeek.Peek(c)
		assert.NilError(t, err)
	}
	s.closeIdle(0)
	read := make([]byte, len(request))
	_, err = io.ReadFull(c, read)
	assert.NilError(t, err)
	s.closeIdle(0)
	_, err = c.Read(read)
	assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded))
}

// Guards against a lost request (reported as LOST on a large deployment) when
// the check for idle connections runs while the request is read.
func TestRequestDuringIdleCheckIsAnswered(t *testing.T) {
	s := NewConnTracker(0, 0, metrics.NewRegistry())
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	requests := 0
	server.Config.ConnContext = s.ContextWithConn
	server.Config.ConnState = func(c net.Conn, state http.ConnState) {
		if state == http.StateActive {
			if requests++; requests == 2 {
				s.closeIdle(0) // before the connection counts as active
			}
		}
		s.OnStateChange(c, state)
	}
	server.Start()
	defer server.Close()
	c, err := net.Dial("tcp", server.Listener.Addr().String())
	assert.NilError(t, err)
	defer c.Close()
	in := bufio.NewReader(c)
	for _, id := range []string{"first", "second", "third"} {
		fmt.Fprintf(c, "POST /%s HTTP/1.1\r\nHost: a.example\r\nContent-Length: 0\r\n\r\n", id)
		resp, err := http.ReadResponse(in, nil)
		assert.NilError(t, err, id)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
		_, err = io.Copy(io.Discard, resp.Body)
		assert.NilError(t, err)
	}
	limit := time.Now().Add(waitLimit)
	for end := error(nil); end != io.EOF; {
		assert.Assert(t, time.Now().Before(limit), "the idle connection was not closed")
		s.closeIdle(0)
		assert.NilError(t, c.SetReadDeadline(time.Now().Add(10*time.Millisecond)))
		_, end = in.ReadByte()
	}
}

// Guards against lines that do not tell a request on a kept connection from the first one.
func TestRequestsOfAConnectionAreNumbered(t *testing.T) {
	s := NewConnTracker(0, 0, metrics.NewRegistry())
	server := httptest.NewUnstartedServer(s.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = fmt.Fprint(w, RequestNumber(r.Context()))
	})))
	server.Listener = s.Listener(server.Listener)
	server.Config.ConnState, server.Config.ConnContext = s.OnStateChange, s.ContextWithConn
	server.Start()
	defer server.Close()
	for _, want := range []string{"1", "2", "3"} {
		resp, err := server.Client().Get(server.URL)
		assert.NilError(t, err)
		got, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		assert.Equal(t, string(got), want)
	}
	assert.Equal(t, RequestNumber(t.Context()), 0)
}
