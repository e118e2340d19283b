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

	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// refusedBodyBytes exceeds the buffers of a connection and limits.body_bytes.
const refusedBodyBytes = 16 << 20

// Guards against a refusal that the caller of a large body does not get: the router refuses
// the request, reads no further and resets the connection while the caller still sends.
func TestCallerOfLargeBodyGetsTheRefusal(t *testing.T) {
	t.Parallel()
	const header = "Authorization: Bearer " + workspaceKey + "\r\nJackdawtrack-Workspace: w\r\nJackdawtrack-Class: chat\r\n"
	noChange := func(*Config) {}
	noState := func(*Router) {}
	for name, c := range map[string]struct {
		path   string
		header string
		change func(*Config)
		state  func(*Router)
		code   result.Code
	}{
		"no key":           {chatPath, "Jackdawtrack-Workspace: w\r\n", noChange, noState, result.Unauthenticated},
		"no workspace":     {chatPath, strings.Replace(header, ": w\r\n", ": other\r\n", 1), noChange, noState, result.UnknownWorkspace},
		"no class":         {chatPath, strings.Replace(header, ": chat\r\n", ": other\r\n", 1), noChange, noState, result.UnknownClass},
		"too large":        {chatPath, header, noChange, noState, result.TooLarge},
		"no memory":        {chatPath, header, func(c *Config) { c.Limits.BodyBytes, c.Limits.BodyMemoryBytes = 32<<20, 32<<20 }, func(r *Router) { r.bodyMemoryBytes.Add(32 << 20) }, result.QueueFull},
		"too many open":    {chatPath, header, func(c *Config) { c.Limits.OpenRequests = 1 }, func(r *Router) { r.openRequests.Add(1) }, result.QueueFull},
		"no such path":     {"/other", header, noChange, noState, result.InvalidRequest},
		"the router stops": {chatPath, header, func(c *Config) { c.Limits.BodyBytes = 32 << 20 }, func(r *Router) { r.RefuseLate(time.Now()) }, result.ShuttingDown},
	} {
		for _, chunked := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/chunked=%v", name, chunked), func(t *testing.T) {
				t.Parallel()
				s, tr := newService(t, c.change)
				c.state(s.router)
				ctx, stop := context.WithCancel(context.Background())
				defer stop()
				go func() { _ = s.Run(ctx, ctx) }()
				conn, err := net.Dial("tcp", strings.TrimPrefix(tr.callers.URL, "http://"))
				assert.NilError(t, err)
				defer conn.Close()
				assert.NilError(t, conn.(*net.TCPConn).SetWriteBuffer(64<<10)) // the kernel must not take the whole body
				assert.NilError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
				framing, body := fmt.Sprintf("Content-Length: %d", refusedBodyBytes), strings.Repeat("b", refusedBodyBytes)
				if chunked {
					framing, body = "Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", refusedBodyBytes, body)
				}
				_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: a.example\r\n%s%s\r\n\r\n%s", c.path, c.header, framing, body)
				assert.NilError(t, err, "the connection was reset while the caller was sending")
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				assert.NilError(t, err, "the refusal did not arrive")
				defer resp.Body.Close()
				assert.Equal(t, resp.Header.Get(headerResult), fmt.Sprint(uint64(c.code)))
			})
		}
	}
}
