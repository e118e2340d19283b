package callers

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"
)

// writeApart writes the segments so that the host reads each by itself.
func writeApart(t *testing.T, s *ConnTracker, caller net.Conn, segments ...string) {
	t.Helper()
	sent := 0
	for _, segment := range segments {
		_, err := io.WriteString(caller, segment)
		assert.NilError(t, err)
		if sent += len(segment); segment == segments[len(segments)-1] {
			return
		}
		waitFor(t, "the host to read a segment", func() bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			for c := range s.open {
				tracked := c.(*callerConn)
				tracked.mu.Lock()
				defer tracked.mu.Unlock()
				return tracked.read == sent
			}
			return false
		})
	}
}

// Guards against a caller that counts as one that pipelines for good, so that no response
// says that its connection is closed, after one body in chunks that looked like it.
func TestDoubtfulEndOfChunksDoesNotMarkTheCaller(t *testing.T) {
	const head = "POST /first HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, segments := range map[string][]string{
		"its end in two parts":       {head + "4\r\nbody\r\n0\r\n", "\r\n"},
		"text of a head in the body": {head + "a\r\n\" HTTP/1.\"\r\n0\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := NewConnTracker(0, 0, metrics.NewRegistry())
			caller := dialTracked(t, s, false, func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				if !Pipelined(r.Context(), r.ContentLength) && r.URL.Path != "/first" {
					w.Header().Set("Connection", "close")
				}
			})
			responses := bufio.NewReader(caller)
			writeApart(t, s, caller, segments...)
			first, err := http.ReadResponse(responses, nil)
			assert.NilError(t, err)
			assert.Equal(t, first.StatusCode, http.StatusOK)
			_, err = io.WriteString(caller, "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n")
			assert.NilError(t, err)
			next, err := http.ReadResponse(responses, nil)
			assert.NilError(t, err)
			assert.Assert(t, next.Close, "a caller with one request at a time counts as one that pipelines")
		})
	}
}

// Guards against a pipelined request that is closed without an answer because the end of the
// head before it arrived in two parts.
func TestRequestBehindAHeadInTwoPartsIsSeen(t *testing.T) {
	const next = "GET /next HTTP/1.1\r\nHost: a.example\r\n\r\n"
	for name, segments := range map[string][]string{
		"no body":               {"GET / HTTP/1.1\r\nHost: a.example\r\n\r", "\n" + next},
		"a body with a length":  {"POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\n", "\r\nbody" + next},
		"a body in chunks":      {"POST / HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r", "\n\r\n4\r\nbody\r\n0\r\n\r\n" + next},
		"a head in three parts": {"GET / HTTP/1.1\r\nHost: a.example\r", "\n", "\r\n" + next},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := NewConnTracker(0, 0, metrics.NewRegistry())
			caller := dialTracked(t, s, false, func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				if r.URL.Path == "/" && !Pipelined(r.Context(), r.ContentLength) {
					w.Header().Set("Connection", "close")
				}
			})
			writeApart(t, s, caller, segments...)
			responses := bufio.NewReader(caller)
			for n := range 2 {
				resp, err := http.ReadResponse(responses, nil)
				assert.NilError(t, err, "request %d got no answer", n+1)
				assert.Equal(t, resp.StatusCode, http.StatusOK)
			}
		})
	}
}
