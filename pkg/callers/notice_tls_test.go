package callers

import (
	"bufio"
	"crypto/tls"
	"crypto/x509"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"
)

// startTLS returns a server with TLS, HTTP/1.1 and HTTP/2, and the settings of a caller.
func startTLS(t *testing.T, idleTimeout time.Duration) (*ConnTracker, string, *tls.Config) {
	s := NewConnTracker(0, 0, metrics.NewRegistry())
	server := httptest.NewUnstartedServer(s.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.URL.Path) })))
	server.Listener = s.Listener(server.Listener)
	server.Config.ConnState, server.Config.ConnContext, server.Config.IdleTimeout = s.OnStateChange, s.ContextWithConn, idleTimeout
	server.EnableHTTP2 = true
	server.StartTLS()
	t.Cleanup(server.Close)
	roots := x509.NewCertPool()
	roots.AddCert(server.Certificate())
	return s, server.Listener.Addr().String(), &tls.Config{RootCAs: roots, ServerName: "example.com"}
}

// Guards against a request on a connection with TLS that ends without an answer because it
// crosses the close of the connection.
func TestCallerWithTLSIsToldOfTheClose(t *testing.T) {
	for name, c := range map[string]struct {
		timeout time.Duration
		end     func(*ConnTracker)
	}{
		"check":        {waitLimit, func(s *ConnTracker) { s.closeIdle(0) }},
		"idle timeout": {10 * time.Millisecond, func(*ConnTracker) {}},
	} {
		t.Run(name, func(t *testing.T) {
			s, address, config := startTLS(t, c.timeout)
			caller, err := tls.Dial("tcp", address, config)
			assert.NilError(t, err)
			defer caller.Close()
			assert.NilError(t, caller.SetDeadline(time.Now().Add(waitLimit)))
			const request = "GET /x HTTP/1.1\r\nHost: a.example\r\n\r\n"
			_, err = io.WriteString(caller, request)
			assert.NilError(t, err)
			in := bufio.NewReader(caller)
			checkResponse(t, in, "/x")
			waitFor(t, "an idle connection", func() bool { return s.idleCount() == 1 || in.Buffered() > 0 || c.timeout < waitLimit })
			c.end(s)
			_, err = in.Peek(1)
			assert.NilError(t, err, "the connection ended without an answer")
			_, err = io.WriteString(caller, request) // crosses the close
			assert.NilError(t, err)
			checkClosed(t, in)
			assert.NilError(t, caller.Close())
			assert.NilError(t, s.WaitClosed(t.Context(), 0))
			assert.DeepEqual(t, s.counts(), map[string]int64{})
		})
	}
}

// Guards against a request with TLS that ends without an answer because a check for idle
// connections runs while it arrives, in two parts.
func TestRequestWithTLSDuringIdleCheckIsAnswered(t *testing.T) {
	s, address, config := startTLS(t, waitLimit)
	stop := make(chan struct{})
	var checks sync.WaitGroup
	checks.Go(func() {
		for {
			select {
			case <-stop:
				return
			default:
				s.closeIdle(0)
			}
		}
	})
	defer checks.Wait()
	defer close(stop)
	for range 20 {
		caller, err := tls.Dial("tcp", address, config)
		assert.NilError(t, err)
		assert.NilError(t, caller.SetDeadline(time.Now().Add(waitLimit)))
		in := bufio.NewReader(caller)
		for status := http.StatusOK; status == http.StatusOK; {
			for _, part := range []string{"GET /x HTTP/1.1\r\nHo", "st: a.example\r\n\r\n"} {
				if _, err = io.WriteString(caller, part); err != nil {
					break // told meanwhile
				}
			}
			resp, err := http.ReadResponse(in, nil)
			assert.NilError(t, err, "the request got no answer")
			_, err = io.Copy(io.Discard, resp.Body)
			assert.NilError(t, err)
			status = resp.StatusCode
			assert.Assert(t, status == http.StatusOK || status == http.StatusRequestTimeout, "status %d", status)
		}
		_ = caller.Close() // the host has closed it
	}
}

// Guards against a notice in the middle of HTTP/2, whose callers have another one.
func TestCallerWithHTTP2GetsNoNotice(t *testing.T) {
	s, address, config := startTLS(t, waitLimit)
	config.NextProtos = []string{"h2"}
	transport := &http.Transport{TLSClientConfig: config, ForceAttemptHTTP2: true}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: waitLimit}
	for range 2 {
		resp, err := client.Get("https://" + address + "/x")
		assert.NilError(t, err)
		assert.Equal(t, resp.ProtoMajor, 2)
		assert.NilError(t, resp.Body.Close())
		waitFor(t, "an idle connection", func() bool { return s.idleCount() == 1 })
		waitFor(t, "the end of the connection", func() bool {
			s.closeIdle(0) // not while a frame of the caller is unread
			return s.OpenCount() == 0
		})
		transport.CloseIdleConnections() // the caller may not have noticed the end yet
	}
}
