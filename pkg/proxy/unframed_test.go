package proxy

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// Guards against a connection that ended with an answer being used again, and
// against such an answer on a reused connection being taken for a broken one.
func TestConnectionOfUnframedResponseIsNotReused(t *testing.T) {
	f := newFakeServer(t, func(c net.Conn, r *http.Request, n int64) {
		head := strings.Replace(okHead, "r-1", r.Header.Get(HeaderRequestID), 1)
		if n == 2 { // on the connection of the first request
			writeString(c, head+"\r\nunframed")
			_ = c.Close()
			return
		}
		writeString(c, head+"Content-Length: 6\r\n\r\nframed")
	})
	tr := NewTransport()
	defer tr.Close()
	for i, want := range []struct {
		body     string
		accepted int64
	}{{"framed", 1}, {"unframed", 1}, {"framed", 2}} {
		r := newRequest(f)
		r.Class.MayRunTwice = true
		sink := &recordingSink{}
		report := tr.Forward(t.Context(), r, sink)
		assert.Equal(t, resultCode(report), result.OK, "request %d: %v", i+1, report.Err)
		assert.Equal(t, sink.String(), want.body)
		assert.Equal(t, f.accepted.Load(), want.accepted)
		assert.Equal(t, sink.header.Get("Content-Length") != "", want.body == "framed")
	}
}

// countingSink is a Sink that counts the bytes it gets.
type countingSink struct{ n, largest atomic.Int64 }

func (s *countingSink) WriteHead(int, http.Header) error { return nil }

func (s *countingSink) Write(p []byte) (int, error) {
	s.n.Add(int64(len(p)))
	s.largest.Store(max(s.largest.Load(), int64(len(p))))
	return len(p), nil
}

// Guards against an answer without an end that is collected in memory or never
// given up.
func TestEndlessUnframedResponseIsBounded(t *testing.T) {
	for _, head := range []string{okHead + "\r\n", unframedStreamHead, unframedStreamHead + "data: "} {
		f := newFakeServer(t, func(c net.Conn, _ *http.Request, _ int64) {
			writeString(c, head)
			for {
				if _, err := io.WriteString(c, strings.Repeat("x", 4096)); err != nil {
					return
				}
			}
		})
		report, sink := forwardEndless(t, f)
		assert.Assert(t, sink.n.Load() > 0)
		assert.Equal(t, resultCode(report), result.StreamBroken)
		assert.Assert(t, sink.largest.Load() <= copyBufferBytes, "%d bytes at once", sink.largest.Load())
	}
}

// forwardEndless forwards an endless response until the maximum duration of its class.
// The duration begins before the connection, so on a busy machine a short one may end
// before the head: then a longer one is tried, up to testTimeout.
func forwardEndless(t *testing.T, f *fakeServer) (Report, *countingSink) {
	for limit := 200 * time.Millisecond; ; limit = min(2*limit, testTimeout) {
		r := newRequest(f)
		r.Class.MaxDuration = limit
		tr := NewTransport()
		sink := &countingSink{}
		report := tr.Forward(t.Context(), r, sink)
		tr.Close()
		if sink.n.Load() > 0 || limit >= testTimeout {
			return report, sink
		}
		t.Logf("nothing was read within %s: %v", limit, report.Err)
	}
}
