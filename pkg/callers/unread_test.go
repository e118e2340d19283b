package callers

import (
	"bufio"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"
)

// Guards against a request that counts as abandoned by its caller, because the host has ended
// the wait for it while it lay in a buffer of net/http, and its read deadline stayed.
func TestRequestInBufferIsReadAfterTheEndOfTheWait(t *testing.T) {
	for _, encrypted := range []bool{false, true} {
		t.Run(fmt.Sprintf("TLS %v", encrypted), func(t *testing.T) {
			t.Parallel()
			s := NewConnTracker(0, 0, metrics.NewRegistry())
			server := &http.Server{ConnContext: s.ContextWithConn}
			server.ConnState = func(c net.Conn, state http.ConnState) {
				s.OnStateChange(c, state)
				if state == http.StateIdle {
					s.closeIdle(0)
				}
			}
			server.Handler = s.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path != "/second" {
					return
				}
				c := transport(r.Context().Value(connContextKey{}).(net.Conn)).(*callerConn)
				_, _ = io.WriteString(w, "running")
				_ = http.NewResponseController(w).Flush()
				for r.Context().Err() == nil && !c.hasBegun() { // the third request is on its way
					time.Sleep(time.Millisecond)
				}
				if r.Context().Err() != nil {
					panic(http.ErrAbortHandler)
				}
			}))
			l, err := Listen(t.Context(), "127.0.0.1:0")
			assert.NilError(t, err)
			listener := s.Listener(l)
			config, callerConfig := certificate(t)
			if encrypted {
				listener = tls.NewListener(listener, config)
			}
			go func() { _ = server.Serve(listener) }()
			defer server.Close()
			caller, err := net.Dial("tcp", l.Addr().String())
			assert.NilError(t, err)
			defer caller.Close()
			assert.NilError(t, caller.SetDeadline(time.Now().Add(waitLimit)))
			if encrypted {
				caller = tls.Client(caller, callerConfig)
			}
			const request = "GET /%s HTTP/1.1\r\nHost: a.example\r\n\r\n"
			_, err = fmt.Fprintf(caller, request+request, "first", "second")
			assert.NilError(t, err)
			in := bufio.NewReader(caller)
			resp, err := http.ReadResponse(in, nil)
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, http.StatusOK)
			resp, err = http.ReadResponse(in, nil)
			assert.NilError(t, err, "the second request got no answer")
			_, err = io.ReadFull(resp.Body, make([]byte, len("running")))
			assert.NilError(t, err, "the second request counts as abandoned")
			_, err = fmt.Fprintf(caller, request, "third")
			assert.NilError(t, err)
			_, err = io.Copy(io.Discard, resp.Body)
			assert.NilError(t, err, "the second request counts as abandoned")
		})
	}
}
