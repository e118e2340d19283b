package router

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/proxy"
)

// Guards against answers with neither a length nor chunks being rejected, and
// against callers that take one that was broken off for a complete one.
func TestUnframedResponsesReachCallers(t *testing.T) {
	reset := func(c net.Conn, r *http.Request) {
		time.Sleep(100 * time.Millisecond) // a reset discards bytes that were not read yet
		resetConn(c, r)
	}
	closeConn := func(c net.Conn, _ *http.Request) { _ = c.Close() }
	const stream = "Content-Type: text/event-stream\r\n"
	for _, c := range []struct {
		name, header, body string
		end                func(net.Conn, *http.Request)
		whole              bool
		requests           int    // a server that broke off gets no further request for a while
		want               string // beginning of what the caller reads
	}{
		{"plain", "", "hello", closeConn, true, 3, "hello"},
		{"plain, reset", "", "hello", reset, false, 1, "hello"},
		{"stream", stream, "data: 1\n\ndata: [DONE]\n\n", closeConn, true, 3, "data: 1\n\ndata: [DONE]\n\n"},
		{"stream, reset", stream, "data: 1\n\n", reset, true, 1, "data: 1\n\nevent: error\ndata: {\"code\":203,"},
		{"stream, ends inside an event", stream, "data: 1\n\ndata: 2", closeConn, true, 1, "data: 1\n\nevent: error\ndata: {\"code\":203,"},
	} {
		t.Run(c.name, func(t *testing.T) {
			tr := newTestRouter(t, nil)
			s := newRawServer(t, func(conn net.Conn, r *http.Request) {
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s\r\n%s", proxy.HeaderRequestID, r.Header.Get(proxy.HeaderRequestID), c.header, c.body)
				c.end(conn, r)
			})
			tr.announceRawServer(t, "s1", s, backend.Abilities{})
			for range c.requests { // the connections to the router are reused, those to the server are not
				resp, err := http.DefaultClient.Do(tr.request(t, http.MethodPost, "/services/p/x", "order", "{}"))
				assert.NilError(t, err)
				body, err := io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				assert.Equal(t, resp.StatusCode, http.StatusOK)
				assert.Equal(t, err == nil, c.whole, "%v", err)
				assert.Assert(t, strings.HasPrefix(string(body), c.want), "%q", body)
			}
		})
	}
}
