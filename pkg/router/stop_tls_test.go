package router

import (
	"bufio"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/settings"
	"jackdawtrack.example/jackdawtrack/pkg/standin"
)

// newTLSService is newService with TLS for callers, and a client for one protocol.
func newTLSService(t *testing.T, protocol string, change ...func(*Config)) (*Service, *testRouter, *http.Client) {
	t.Helper()
	files := newCertificates(t)
	s, tr := newService(t, append(change, func(c *Config) { c.TLS.Callers = TLSFiles{Certificate: files.Certificate, Key: files.Key} })...)
	tr.callers.URL = strings.Replace(tr.callers.URL, "http://", "https://", 1)
	ca, err := loadCA(files.ClientCA)
	assert.NilError(t, err)
	transport := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: ca, NextProtos: []string{protocol}}, ForceAttemptHTTP2: protocol == "h2"}
	t.Cleanup(transport.CloseIdleConnections)
	return s, tr, &http.Client{Transport: transport, Timeout: testTimeout}
}

// beginStream returns the response to a request for a stream once its first event has
// arrived.
func beginStream(t *testing.T, client *http.Client, req *http.Request) (*http.Response, *bufio.Reader) {
	t.Helper()
	resp, err := client.Do(req)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = resp.Body.Close() })
	in := bufio.NewReader(resp.Body)
	_, err = in.Peek(1)
	assert.NilError(t, err)
	return resp, in
}

// Guards against streams that a stop cuts on connections with TLS, and against idle ones
// that hold the router. A hard stop ends the streams with an error event.
func TestStopAnswersStreamsOverTLS(t *testing.T) {
	t.Parallel()
	for protocol, version := range map[string]string{"http/1.1": "HTTP/1.1", "h2": "HTTP/2.0"} {
		for name, hardStop := range map[string]bool{"stop": false, "hard stop": true} {
			t.Run(version+" "+name, func(t *testing.T) {
				t.Parallel()
				s, tr, client := newTLSService(t, protocol)
				graceful, stop := context.WithCancel(context.Background())
				hardCtx, abort := context.WithCancel(context.Background())
				ended := make(chan error, 1)
				go func() { ended <- s.Run(graceful, hardCtx) }()
				tr.startStandin(t, standin.ServerSettings{Name: "s1", Kind: backend.Engine, Pool: "p", TokenInterval: settings.Duration(10 * time.Millisecond)})
				idle := &http.Client{Transport: client.Transport.(*http.Transport).Clone(), Timeout: testTimeout}
				defer idle.CloseIdleConnections()
				done, err := idle.Do(tr.request(t, http.MethodGet, "/", "chat", ""))
				assert.NilError(t, err)
				assert.NilError(t, done.Body.Close())
				resp, in := beginStream(t, client, tr.request(t, http.MethodPost, chatPath, "chat", chatBody(100)))
				assert.Equal(t, resp.Proto, version)
				stop()
				tr.waitFor(t, "the router reports not ready", func() bool { return !s.router.Ready() })
				if hardStop {
					abort()
				}
				body, err := io.ReadAll(in)
				assert.NilError(t, err, "the stream was cut after %q", body)
				if hardStop {
					assert.Assert(t, strings.Contains(string(body), "event: error"), "%s", body)
					assert.ErrorIs(t, <-ended, errHardStop)
				} else {
					assert.Assert(t, strings.HasSuffix(string(body), "data: [DONE]\n\n") && !strings.Contains(string(body), "event: error"), "%s", body)
					assert.NilError(t, <-ended)
				}
				abort()
			})
		}
	}
}

// Guards against connections with TLS that end before their first request without a
// record.
func TestBrokenHandshakeIsRecorded(t *testing.T) {
	t.Parallel()
	s, tr, _ := newTLSService(t, "http/1.1")
	graceful, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(graceful, context.Background()) }()
	closed := metrics.GetOrRegisterCounter("callers.closed.handshake", s.router.metrics)
	for i, sent := range []string{"", "GET / HTTP/1.1\r\n\r\n"} {
		c, err := net.Dial("tcp", strings.TrimPrefix(tr.callers.URL, "https://"))
		assert.NilError(t, err)
		_, err = io.WriteString(c, sent)
		assert.NilError(t, err)
		assert.NilError(t, c.Close())
		tr.waitFor(t, "the record", func() bool { return closed.Count() == int64(i+1) })
	}
	stop()
	assert.NilError(t, <-ended)
}
