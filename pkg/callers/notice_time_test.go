package callers

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"
)

// lossSlack is how long a request may wait at most for an answer if it crosses the close of
// its connection.
const lossSlack = 200 * time.Millisecond

// Guards against a request that crosses the close of its connection and sees its end only
// when it counts as lost. A busy machine delays some of the closes, not all.
func TestRequestThatCrossesTheCloseEndsInTime(t *testing.T) {
	const conns = 20
	s := NewConnTracker(0, 0, metrics.NewRegistry())
	took := make(chan time.Duration, conns)
	for range conns {
		caller, host := connect(t)
		c := &callerConn{TCPConn: host.(*net.TCPConn), openedAt: time.Now()}
		for _, state := range []http.ConnState{http.StateNew, http.StateActive, http.StateIdle} {
			s.OnStateChange(c, state)
		}
		sent := make(chan time.Time, 1)
		go func() {
			_, _ = io.ReadFull(caller, make([]byte, 1)) // the notice
			sent <- time.Now()
			_, _ = io.WriteString(caller, "GET /x HTTP/1.1\r\nHost: a.example\r\n\r\n")
		}()
		go func() { // net/http closes the connection when this read ends
			_, _ = c.Read(make([]byte, 1))
			_ = c.Close()
			took <- time.Since(<-sent)
		}()
	}
	s.closeIdle(0)
	fastest := time.Hour
	for range conns {
		fastest = min(fastest, <-took)
	}
	assert.Assert(t, fastest < lossSlack, "the connection of a request that crossed the close was open for %s", fastest)
}
