package callers

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"
)

// Guards against a whole response of which a caller that reads slowly gets a part: the host
// closes the connection while bytes of the caller's next request are unread, so the kernel
// resets it and drops what it has not sent.
func TestUnreadBytesDoNotCutTheLastResponse(t *testing.T) {
	const responseBytes = 48 << 10
	for _, where := range []string{"a response that closes", "the end of the process"} {
		t.Run(where, func(t *testing.T) {
			t.Parallel()
			s := NewConnTracker(0, 0, metrics.NewRegistry())
			closed := make(chan struct{})
			server := &http.Server{ConnContext: s.ContextWithConn, ConnState: func(c net.Conn, state http.ConnState) {
				s.OnStateChange(c, state)
				if state == http.StateClosed {
					close(closed)
				}
			}}
			next := make(chan struct{})
			server.Handler = s.Handler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Connection", "close")
				w.Header().Set("Content-Length", strconv.Itoa(responseBytes))
				_, _ = io.WriteString(w, strings.Repeat("x", responseBytes))
				_ = http.NewResponseController(w).Flush()
				<-next
				if where == "the end of the process" {
					_ = server.Close()
				}
			}))
			l, err := Listen(t.Context(), "127.0.0.1:0")
			assert.NilError(t, err)
			go func() { _ = server.Serve(s.Listener(l)) }()
			defer server.Close()
			caller, err := net.Dial("tcp", l.Addr().String())
			assert.NilError(t, err)
			defer caller.Close()
			assert.NilError(t, caller.(*net.TCPConn).SetReadBuffer(4<<10))
			assert.NilError(t, caller.SetDeadline(time.Now().Add(waitLimit)))
			_, err = io.WriteString(caller, "GET /first HTTP/1.1\r\nHost: a.example\r\n\r\n")
			assert.NilError(t, err)
			in := bufio.NewReader(caller)
			resp, err := http.ReadResponse(in, nil)
			assert.NilError(t, err)
			_, err = io.WriteString(caller, "GET /next HTTP/1.1\r\nHost: a.example\r\n\r\n")
			assert.NilError(t, err)
			close(next)
			<-closed
			n, err := io.Copy(io.Discard, resp.Body)
			assert.NilError(t, err, "the response was cut after %d of %d bytes", n, responseBytes)
			assert.DeepEqual(t, s.counts(), map[string]int64{"unread": 1})
		})
	}
}

// Guards against a request without a record that has arrived on an idle connection of a
// starved host, which closes it before it reads.
func TestUnreadRequestIsRecordedAtTheClose(t *testing.T) {
	for _, state := range []http.ConnState{http.StateNew, http.StateIdle} {
		caller, host := connect(t)
		s := NewConnTracker(0, 0, metrics.NewRegistry())
		c := &callerConn{TCPConn: host.(*net.TCPConn)}
		s.OnStateChange(c, http.StateNew)
		s.OnStateChange(c, state)
		_, err := io.WriteString(caller, "GET /unread HTTP/1.1\r\nHost: a.example\r\n\r\n")
		assert.NilError(t, err)
		waitFor(t, "unread bytes", func() bool { return c.describe().unread > 0 })
		assert.NilError(t, c.Close())
		s.OnStateChange(c, http.StateClosed)
		assert.DeepEqual(t, s.counts(), map[string]int64{"unread": 1})
	}
}
