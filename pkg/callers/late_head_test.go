package callers

import (
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"
)

// Guards against a request that is refused as late although its whole head has arrived: the
// deadline passes while the host stands still, and the rest of the head is unread then.
func TestRestOfHeadThatIsUnreadAtTheTimeoutIsRead(t *testing.T) {
	for name, states := range map[string][]http.ConnState{
		"first request":  {http.StateNew},
		"second request": {http.StateNew, http.StateActive, http.StateIdle},
	} {
		t.Run(name, func(t *testing.T) {
			const first, rest = "GET /x HTTP/1.1\r\n", "Host: a.example\r\n\r\n"
			caller, c := beginHead(t, states, first)
			_, err := io.WriteString(caller, rest)
			assert.NilError(t, err)
			waitFor(t, "the rest", func() bool { return peekUnread(t, c.TCPConn) })
			assert.NilError(t, c.SetReadDeadline(pastDeadline))
			got := make([]byte, 64)
			n, err := c.Read(got)
			assert.NilError(t, err)
			assert.Equal(t, string(got[:n]), rest)
			assert.NilError(t, caller.Close())
		})
	}
}

// Guards against a caller that holds a connection beyond the head timeout by single bytes.
func TestLateHeadIsReadForABoundedTime(t *testing.T) {
	caller, c := beginHead(t, []http.ConnState{http.StateNew}, "GET ")
	assert.NilError(t, c.SetReadDeadline(pastDeadline))
	began := time.Now()
	buf := make([]byte, 1)
	var err error
	for err == nil {
		if _, err = io.WriteString(caller, "x"); err == nil {
			waitFor(t, "a byte", func() bool { return peekUnread(t, c.TCPConn) })
			_, err = c.Read(buf)
		}
		assert.Assert(t, time.Since(began) < waitLimit, "the head is read on without an end")
	}
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
}

// beginHead returns the connection of a caller that has sent a part of a head, which was read.
func beginHead(t *testing.T, states []http.ConnState, part string) (net.Conn, *callerConn) {
	caller, host := connect(t)
	s := NewConnTracker(0, 0, metrics.NewRegistry())
	c := &callerConn{TCPConn: host.(*net.TCPConn), openedAt: time.Now()}
	for _, state := range states {
		s.OnStateChange(c, state)
	}
	_, err := io.WriteString(caller, part)
	assert.NilError(t, err)
	got := make([]byte, len(part))
	_, err = io.ReadFull(c, got)
	assert.NilError(t, err)
	return caller, c
}
