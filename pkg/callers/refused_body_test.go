package callers

import (
	"bufio"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"
)

// Guards against a refusal that holds a stream of HTTP/2 for as long as its caller sends.
func TestRefusalWithHTTP2DoesNotReadOn(t *testing.T) {
	handled := make(chan time.Duration, 1)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
		begin := time.Now()
		SendEarlyRefusal(w, r)
		handled <- time.Since(begin)
	}))
	server.EnableHTTP2 = true
	server.StartTLS()
	defer server.Close()
	body, sender := io.Pipe()
	defer sender.Close()
	go func() { _, _ = sender.Write([]byte("the rest does not follow")) }()
	resp, err := server.Client().Post(server.URL, "", body)
	assert.NilError(t, err)
	defer resp.Body.Close()
	assert.Equal(t, resp.ProtoMajor, 2)
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, <-handled < refusedBodyTime/2)
}

// Guards against a refusal that does not arrive because the caller of a body in chunks still
// sends, or waits for the response in the middle of it.
func TestRefusalOfBodyInChunksArrives(t *testing.T) {
	const bodyBytes = 16 << 20 // exceeds the buffers of a connection
	whole := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", bodyBytes, strings.Repeat("b", bodyBytes))
	for name, c := range map[string]struct {
		encrypted, readFailed bool
		body                  string
	}{
		"unread": {false, false, whole}, "unread, TLS": {true, false, whole},
		"its read has failed": {false, true, whole}, "its read has failed, TLS": {true, true, whole},
		"its caller waits": {false, false, "1\r\nb\r\n"}, "its caller waits, TLS": {true, false, "1\r\nb\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := NewConnTracker(0, 0, metrics.NewRegistry())
			server := &http.Server{
				Handler: s.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if c.readFailed {
						_ = http.NewResponseController(w).SetReadDeadline(pastDeadline)
						_, _ = io.Copy(io.Discard, r.Body)
						w.Header().Set("Connection", "close")
					}
					w.WriteHeader(http.StatusServiceUnavailable)
					SendEarlyRefusal(w, r)
				})),
				ConnState: s.OnStateChange, ConnContext: s.ContextWithConn,
			}
			l, err := Listen(t.Context(), "127.0.0.1:0")
			assert.NilError(t, err)
			listener := s.Listener(l)
			config, callerConfig := certificate(t)
			if c.encrypted {
				listener = tls.NewListener(listener, config)
			}
			go func() { _ = server.Serve(listener) }()
			defer server.Close()
			transport, err := net.Dial("tcp", l.Addr().String())
			assert.NilError(t, err)
			defer transport.Close()
			assert.NilError(t, transport.(*net.TCPConn).SetWriteBuffer(64<<10)) // the kernel must not take the whole body
			assert.NilError(t, transport.SetDeadline(time.Now().Add(waitLimit)))
			caller := transport
			if c.encrypted {
				caller = tls.Client(transport, callerConfig)
			}
			_, err = fmt.Fprintf(caller, "POST / HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n%s", c.body)
			assert.NilError(t, err, "the connection was reset while the caller was sending")
			resp, err := http.ReadResponse(bufio.NewReader(caller), nil)
			assert.NilError(t, err, "the refusal did not arrive")
			defer resp.Body.Close()
			assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
		})
	}
}
