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
)

// Guards against a router that reads on after a call with a body in chunks, drops the next
// call on the connection and never answers it.
func TestCallAfterOneInChunksIsAnswered(t *testing.T) {
	t.Parallel()
	s, tr := newService(t)
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go func() { _ = s.Run(ctx, ctx) }()
	_, announce, admin, _ := s.Addresses()
	callers := strings.TrimPrefix(tr.callers.URL, "http://")
	for name, c := range map[string]struct{ address, path, header string }{
		"request without a key":      {callers, chatPath, "Jackdawtrack-Workspace: w\r\n"},
		"request for no path":        {callers, "/other", ""},
		"announcement":               {announce, "/v1/announce", ""},
		"announcement to no path":    {announce, "/v1/other", ""},
		"operator's call to no path": {admin, "/v1/other", ""},
	} {
		for bodyName, body := range map[string]string{"whole": "4\r\nbody\r\n0\r\n\r\n", "with a trailer": "4\r\nbody\r\n0\r\nT: t\r\n\r\n"} {
			t.Run(name+"/"+bodyName, func(t *testing.T) {
				t.Parallel()
				conn, err := net.Dial("tcp", c.address)
				assert.NilError(t, err)
				defer conn.Close()
				assert.NilError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
				responses := bufio.NewReader(conn)
				for n := range 2 {
					_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: a.example\r\n%sTransfer-Encoding: chunked\r\n\r\n%s", c.path, c.header, body)
					assert.NilError(t, err)
					resp, err := http.ReadResponse(responses, nil)
					assert.NilError(t, err, "call %d got no answer", n+1)
					_, err = io.Copy(io.Discard, resp.Body)
					assert.NilError(t, err)
					if resp.Close {
						return
					}
				}
			})
		}
	}
}
