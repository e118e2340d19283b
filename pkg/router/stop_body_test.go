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

	"jackdawtrack.example/jackdawtrack/pkg/settings"
)

// Guards against a request that ends without an answer because a router stops before
// its body is complete.
func TestStopAnswersRequestWithIncompleteBody(t *testing.T) {
	t.Parallel()
	s, tr := newService(t, func(c *Config) { c.Drain.Longest = settings.Duration(100 * time.Millisecond) })
	graceful, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(graceful, context.Background()) }()
	conn, err := net.Dial("tcp", strings.TrimPrefix(tr.callers.URL, "http://"))
	assert.NilError(t, err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer %s\r\nJackdawtrack-Workspace: w\r\nJackdawtrack-Class: chat\r\nContent-Length: 100\r\n\r\nhalf", chatPath, workspaceKey)
	assert.NilError(t, err)
	tr.waitFor(t, "an open request", func() bool { return s.router.openRequests.Load() == 1 })
	stop()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err, "the request got no answer")
	_, _ = io.Copy(io.Discard, resp.Body)
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	<-ended
}
