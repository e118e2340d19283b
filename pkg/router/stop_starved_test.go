package router

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/settings"
)

// Guards against requests on new connections that end without an answer because the router
// had no processor time until its time to drain was over: the connections still wait in the
// queue of the listener.
func TestStopWithoutProcessorTimeAnswersRequestsOnQueuedConnections(t *testing.T) {
	t.Parallel()
	s, tr := newService(t, func(c *Config) { c.Drain.Longest = settings.Duration(time.Nanosecond) })
	hold := make(chan struct{})
	var held atomic.Bool
	track := s.httpServers[0].ConnState
	s.httpServers[0].ConnState = func(c net.Conn, state http.ConnState) {
		if state == http.StateNew {
			held.Store(true)
			<-hold // in the loop that accepts connections
		}
		track(c, state)
	}
	graceful, stop := context.WithCancel(context.Background())
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- s.Run(graceful, context.Background()) }()
	conns := make([]net.Conn, 5)
	for i := range conns {
		conns[i] = tr.dialCallers(t)
		_, err := io.WriteString(conns[i], rawChat())
		assert.NilError(t, err)
	}
	tr.waitFor(t, "the loop that accepts connections", held.Load)
	stop()
	tr.waitFor(t, "the end of the time to drain", func() bool {
		end := s.router.drainEnd.Load()
		return end != nil && time.Now().After(*end)
	})
	close(hold)
	for i, c := range conns {
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Errorf("request %d got no answer: %v", i, err)
			continue
		}
		_ = resp.Body.Close()
		assert.Check(t, resp.StatusCode == http.StatusServiceUnavailable, "status %d", resp.StatusCode)
	}
	<-ended
}
