package router

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/proxy"
	"jackdawtrack.example/jackdawtrack/pkg/settings"
)

// startLargeResponse starts a router, a server whose responses have size bytes, and a request
// whose caller has read the head of its response. The caller's kernel takes few bytes that it
// does not read.
func startLargeResponse(t *testing.T, writeTimeout time.Duration, size int) (s *Service, tr *testRouter, conn net.Conn, body io.Reader) {
	s, tr = newService(t, func(c *Config) { c.Limits.WriteTimeout = settings.Duration(writeTimeout) })
	_, announce, _, _ := s.Addresses()
	tr.announce.URL = "http://" + announce
	graceful, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(graceful, context.Background()) }()
	t.Cleanup(func() { stop(); assert.NilError(t, <-ended) })
	server := newRawServer(t, func(c net.Conn, r *http.Request) {
		size := size
		if r.URL.Path == "/ready" {
			size = 1
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n", proxy.HeaderRequestID, r.Header.Get(proxy.HeaderRequestID), size)
		_, _ = c.Write(make([]byte, size))
	})
	tr.waitFor(t, "a response", func() bool {
		tr.announceRawServer(t, "s1", server, backend.Abilities{})
		ctx, cancel := context.WithTimeout(t.Context(), testTimeout/10)
		defer cancel()
		resp, _ := tryDo(tr.request(t, http.MethodPost, "/services/p/ready", "order", "{}").WithContext(ctx))
		return resp != nil && resp.StatusCode == http.StatusOK
	})
	conn = tr.dialCallers(t)
	assert.NilError(t, conn.(*net.TCPConn).SetReadBuffer(64<<10))
	assert.NilError(t, tr.request(t, http.MethodPost, "/services/p/x", "order", "{}").Write(conn))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	return s, tr, conn, resp.Body
}

// Guards against a response that is cut although its caller reads all the time, because it
// reads so slowly that the kernel takes no further bytes for the write timeout.
func TestSlowCallerGetsItsWholeResponse(t *testing.T) {
	t.Parallel()
	const writeTimeout, pause = 2 * time.Second, 200 * time.Millisecond
	const size, step, steps = 16 << 20, 30 << 10, 5 * writeTimeout / pause
	_, _, conn, body := startLargeResponse(t, writeTimeout, size)
	for range steps {
		time.Sleep(pause) // the pace of the caller
		_, err := io.CopyN(io.Discard, body, step)
		assert.NilError(t, err)
	}
	rest, err := io.Copy(io.Discard, body)
	assert.NilError(t, err, "the response was cut")
	assert.Equal(t, int64(steps)*step+rest, int64(size))
	assert.NilError(t, conn.Close())
}

// Guards against a caller that reads nothing and so holds a slot of its server for ever.
func TestCallerThatReadsNothingIsGivenUp(t *testing.T) {
	t.Parallel()
	s, tr, conn, body := startLargeResponse(t, 200*time.Millisecond, 64<<20)
	tr.waitFor(t, "the end of the request", func() bool { return s.router.openRequests.Load() == 0 })
	aborted := metrics.GetOrRegisterCounter(abortedMetric, s.router.metrics)
	tr.waitFor(t, "the record", func() bool { return aborted.Count() == 1 })
	_, err := io.Copy(io.Discard, body)
	assert.Assert(t, err != nil, "the response looks complete")
	assert.NilError(t, conn.Close())
}

// Guards against a response over HTTP/2 that is cut although its caller reads all the time,
// because one write takes longer than the write timeout.
func TestSlowHTTP2CallerGetsItsWholeResponse(t *testing.T) {
	t.Parallel()
	const writeTimeout, pause = time.Second, 200 * time.Millisecond
	const size, window, step, steps = 1 << 20, 64 << 10, 2 << 10, 5 * writeTimeout / pause
	s, tr, client := newTLSService(t, "h2", func(c *Config) { c.Limits.WriteTimeout = settings.Duration(writeTimeout) })
	client.Transport.(*http.Transport).HTTP2 = &http.HTTP2Config{MaxReceiveBufferPerStream: window, MaxReceiveBufferPerConnection: window}
	_, announce, _, _ := s.Addresses()
	tr.announce.URL = "http://" + announce
	graceful, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(graceful, context.Background()) }()
	t.Cleanup(func() { stop(); assert.NilError(t, <-ended) })
	server := newRawServer(t, func(c net.Conn, r *http.Request) {
		size := size
		if r.URL.Path == "/ready" {
			size = 1
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n", proxy.HeaderRequestID, r.Header.Get(proxy.HeaderRequestID), size)
		_, _ = c.Write(make([]byte, size))
	})
	tr.waitFor(t, "a response", func() bool {
		tr.announceRawServer(t, "s1", server, backend.Abilities{})
		resp, err := client.Do(tr.request(t, http.MethodPost, "/services/p/ready", "order", "{}"))
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	resp, err := client.Do(tr.request(t, http.MethodPost, "/services/p/x", "order", "{}"))
	assert.NilError(t, err)
	defer resp.Body.Close()
	assert.Equal(t, resp.ProtoMajor, 2)
	for range steps {
		time.Sleep(pause) // the pace of the caller
		_, err := io.CopyN(io.Discard, resp.Body, step)
		assert.NilError(t, err)
	}
	rest, err := io.Copy(io.Discard, resp.Body)
	assert.NilError(t, err, "the response was cut")
	assert.Equal(t, int64(steps)*step+rest, int64(size))
}
