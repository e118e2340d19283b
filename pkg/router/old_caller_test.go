package router

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/proxy"
)

// Guards against an interrupted response that looks complete to a caller with HTTP/1.0:
// it gets no chunks, so the end of the connection is the end of the response.
func TestInterruptedResponseIsResetForOldCallers(t *testing.T) {
	t.Parallel()
	tr := newTestRouter(t, nil)
	server := newRawServer(t, func(c net.Conn, r *http.Request) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n6\r\n wo", proxy.HeaderRequestID, r.Header.Get(proxy.HeaderRequestID))
		_ = c.Close()
	})
	tr.announceRawServer(t, "s1", server, backend.Abilities{})
	conn, err := net.Dial("tcp", strings.TrimPrefix(tr.callers.URL, "http://"))
	assert.NilError(t, err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST /services/p/x HTTP/1.0\r\nHost: a.example\r\nAuthorization: Bearer %s\r\nJackdawtrack-Workspace: w\r\nJackdawtrack-Class: order\r\nContent-Length: 2\r\n\r\n{}", workspaceKey)
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return // the reset came first
	}
	body, err := io.ReadAll(resp.Body)
	assert.Assert(t, resp.StatusCode != http.StatusOK || err != nil, "an interrupted response looks complete: %q", body)
	assert.Equal(t, server.count.Load(), int64(1))
}
