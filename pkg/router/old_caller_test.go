package router

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/proxy"
)

// assertInterrupted reads the response to a caller with HTTP/1.0, which must not look
// complete.
func assertInterrupted(t *testing.T, conn net.Conn) {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return // the reset came first
	}
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	body, err := io.ReadAll(resp.Body)
	assert.Assert(t, err != nil, "an interrupted response looks complete: %q", body)
}

// Guards against an interrupted response that looks complete to a caller with HTTP/1.0:
// it gets no chunks, so the end of the connection is the end of the response. With TLS,
// an orderly close even states that nothing is missing.
func TestInterruptedResponseIsResetForOldCallers(t *testing.T) {
	t.Parallel()
	for name, encrypted := range map[string]bool{"plain": false, "TLS": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var tr *testRouter
			var dial func(address string) (net.Conn, error)
			if encrypted {
				var s *Service
				var client *http.Client
				s, tr, client = newTLSService(t, "http/1.1", func(c *Config) {
					c.Peers = []PeerConfig{{Name: "rt-2", DataCentre: "south", Address: "127.0.0.1:1"}} // without fixed peers the router owns nothing before it has joined
				})
				ctx, stop := context.WithCancel(context.Background())
				ended := make(chan error, 1)
				go func() { ended <- s.Run(ctx, ctx) }()
				t.Cleanup(func() {
					stop()
					<-ended
				})
				tr.announce.URL = "http://" + tr.announce.Listener.Addr().String()
				dial = func(address string) (net.Conn, error) {
					return tls.Dial("tcp", address, client.Transport.(*http.Transport).TLSClientConfig)
				}
			} else {
				tr = newTestRouter(t, nil)
				dial = func(address string) (net.Conn, error) { return net.Dial("tcp", address) }
			}
			server := newRawServer(t, func(c net.Conn, r *http.Request) {
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n6\r\n wo", proxy.HeaderRequestID, r.Header.Get(proxy.HeaderRequestID))
				_ = c.Close()
			})
			tr.announceRawServer(t, "s1", server, backend.Abilities{})
			_, address, _ := strings.Cut(tr.callers.URL, "://")
			conn, err := dial(address)
			assert.NilError(t, err)
			defer conn.Close()
			_, err = fmt.Fprintf(conn, "POST /services/p/x HTTP/1.0\r\nHost: a.example\r\nAuthorization: Bearer %s\r\nJackdawtrack-Workspace: w\r\nJackdawtrack-Class: order\r\nContent-Length: 2\r\n\r\n{}", workspaceKey)
			assert.NilError(t, err)
			assertInterrupted(t, conn)
			assert.Equal(t, server.count.Load(), int64(1))
		})
	}
}

// Guards against a response that looks complete to a caller with HTTP/1.0 although the
// handler has panicked in its middle.
func TestPanickedResponseIsResetForOldCallers(t *testing.T) {
	tr := newTestRouter(t, nil)
	server := httptest.NewServer(tr.router.recordPanics(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "hello")
		_ = http.NewResponseController(w).Flush()
		panic("fault")
	})))
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "GET / HTTP/1.0\r\n\r\n")
	assert.NilError(t, err)
	assertInterrupted(t, conn)
}
