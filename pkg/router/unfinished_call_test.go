package router

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/settings"
)

// Guards against a request, or a call of a server or an operator, that gets no answer, and
// holds its connection for as long as it likes, because its body stops: net/http waits for
// the rest of it, or for a goroutine that still reads it, before it answers.
func TestCallWhoseBodyStopsIsAnswered(t *testing.T) {
	t.Parallel()
	s, _ := newService(t, func(c *Config) { c.Limits.HeaderTimeout = settings.Duration(500 * time.Millisecond) })
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop) // the subtests run in parallel
	go func() { _ = s.Run(ctx, ctx) }()
	callers, announce, admin, _ := s.Addresses()
	for name, c := range map[string]struct{ address, method, path string }{
		"request without a key":         {callers, "POST", chatPath},
		"no such path of callers":       {callers, "POST", "/other"},
		"announcement":                  {announce, "POST", "/v1/announce"},
		"no such path":                  {announce, "POST", "/v1/other"},
		"order of an operator":          {admin, "POST", "/v1/admin/datacentre/dc1/draining"},
		"status with a body":            {admin, "GET", "/v1/admin/status"},
		"no such path of an operator's": {admin, "POST", "/v1/other"},
	} {
		for _, framing := range []string{"Content-Length: 100\r\n\r\n{", "Transfer-Encoding: chunked\r\n\r\n1\r\n{\r\n"} {
			t.Run(name+"/"+framing[:7], func(t *testing.T) {
				t.Parallel()
				conn, err := net.Dial("tcp", c.address)
				assert.NilError(t, err)
				defer conn.Close()
				assert.NilError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
				_, err = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: a.example\r\n%s", c.method, c.path, framing)
				assert.NilError(t, err)
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				assert.NilError(t, err, "the call got no answer")
				defer resp.Body.Close()
				assert.Assert(t, resp.Close, "the end of the body is not known")
				t.Log(resp.Status)
			})
		}
	}
}
