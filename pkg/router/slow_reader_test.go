package router

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/settings"
)

// Guards against a caller that reads slowly and loses the rest of an answer when a router
// stops, although its server has completed the answer.
func TestSlowCallerGetsWholeAnswerAfterStop(t *testing.T) {
	t.Parallel()
	const answerBytes = 240 << 10
	s, tr := newService(t, func(c *Config) {
		c.Drain.Longest = settings.Duration(2 * time.Second)
		c.Peers = []PeerConfig{{Name: "rt-2", DataCentre: "south", Address: "127.0.0.1:1"}}
	})
	graceful, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(graceful, context.Background()) }()
	server := newRawServer(t, func(c net.Conn, r *http.Request) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nJackdawtrack-Request-Id: %s\r\nContent-Length: %d\r\n\r\n", r.Header.Get("Jackdawtrack-Request-Id"), answerBytes)
		_, _ = c.Write(make([]byte, answerBytes))
	})
	tr.announce.URL = "http://" + tr.announce.Listener.Addr().String()
	tr.announceRawServer(t, "s1", server, backend.Abilities{})
	conn, err := net.Dial("tcp", strings.TrimPrefix(tr.callers.URL, "http://"))
	assert.NilError(t, err)
	defer conn.Close()
	assert.NilError(t, conn.(*net.TCPConn).SetReadBuffer(16<<10))
	assert.NilError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
	_, err = fmt.Fprintf(conn, "POST /services/p/x HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer %s\r\nJackdawtrack-Workspace: w\r\nJackdawtrack-Class: chat\r\nContent-Length: 0\r\n\r\n", workspaceKey)
	assert.NilError(t, err)
	tr.waitFor(t, "a request at the server", func() bool { return server.count.Load() == 1 })
	stop()
	assert.NilError(t, <-ended)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	data, err := io.ReadAll(resp.Body)
	assert.NilError(t, err, "after %d bytes", len(data))
	assert.Equal(t, len(data), answerBytes)
}
