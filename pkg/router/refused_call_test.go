package router

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a refusal that a server or an operator does not get: the router refuses the
// call, reads no further and resets the connection while the caller still sends.
func TestCallerOfLargeCallGetsTheRefusal(t *testing.T) {
	t.Parallel()
	s, _ := newService(t)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go func() { _ = s.Run(ctx, ctx) }()
	_, announce, admin, _ := s.Addresses()
	for name, c := range map[string]struct {
		address, path string
		status        int
	}{
		"announcement too large":            {announce, "/v1/announce", http.StatusForbidden},
		"no such path":                      {announce, "/v1/other", http.StatusNotFound},
		"no such path on the admin address": {admin, "/v1/other", http.StatusNotFound},
	} {
		for _, chunked := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/chunked=%v", name, chunked), func(t *testing.T) {
				conn, err := net.Dial("tcp", c.address)
				assert.NilError(t, err)
				defer conn.Close()
				assert.NilError(t, conn.(*net.TCPConn).SetWriteBuffer(64<<10)) // the kernel must not take the whole body
				assert.NilError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
				framing, body := fmt.Sprintf("Content-Length: %d", refusedBodyBytes), strings.Repeat(" ", refusedBodyBytes)
				if chunked {
					framing, body = "Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", refusedBodyBytes, body)
				}
				_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: a.example\r\n%s\r\n\r\n%s", c.path, framing, body)
				assert.NilError(t, err, "the connection was reset while the caller was sending")
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				assert.NilError(t, err, "the refusal did not arrive")
				defer resp.Body.Close()
				assert.Equal(t, resp.StatusCode, c.status)
			})
		}
	}
}
