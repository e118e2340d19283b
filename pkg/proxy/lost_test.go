package proxy

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// Guards against a crash of a server that counts as none, and against a slow or
// faulty server, or a caller that has left, counting as a crash.
func TestLostConnectionIsReported(t *testing.T) {
	for _, tc := range []struct {
		name   string
		handle func(net.Conn)
		lost   bool
	}{
		{"reset before the head", resetConn, true},
		{"closed before the head", func(c net.Conn) { _ = c.Close() }, true},
		{"closed within a stream", func(c net.Conn) { writeString(c, streamHead+chunk("data: 1\n\n")); _ = c.Close() }, true},
		{"reset within a body", func(c net.Conn) { writeString(c, plainHead+"12345"); resetAfterRead(c) }, true},
		{"unframed stream closed", func(c net.Conn) { writeString(c, unframedStreamHead+"data: 1\n\n"); _ = c.Close() }, true},
		{"stream without its end", func(c net.Conn) { writeString(c, streamHead+chunk("data: 1\n\n")+"0\r\n\r\n") }, false},
		{"complete", func(c net.Conn) { writeString(c, plainHead+"1234567890"); _ = c.Close() }, false},
		{"answer to another request", func(c net.Conn) {
			writeString(c, "HTTP/1.1 200 OK\r\nJackdawtrack-Request-Id: r-2\r\nContent-Length: 0\r\n\r\n")
		}, false},
		{"silent", func(net.Conn) {}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFakeServer(t, func(c net.Conn, _ *http.Request, _ int64) { tc.handle(c) })
			r := newRequest(f)
			if tc.name == "silent" {
				r.Class.ProgressTimeout = silentTimeout
			}
			tr := NewTransport()
			defer tr.Close()
			report := tr.Forward(t.Context(), r, &recordingSink{})
			assert.Equal(t, report.Lost, tc.lost, "%v", report.Err)
		})
	}
	t.Run("caller left", func(t *testing.T) {
		ctx, leave := context.WithCancel(t.Context())
		f := newFakeServer(t, func(c net.Conn, _ *http.Request, _ int64) { leave(); <-time.After(50 * time.Millisecond); resetConn(c) })
		tr := NewTransport()
		defer tr.Close()
		report := tr.Forward(ctx, newRequest(f), &recordingSink{})
		assert.Assert(t, !report.Lost && report.Sent)
	})
	t.Run("nothing sent", func(t *testing.T) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		assert.NilError(t, l.Close())
		r := newRequest(&fakeServer{addr: l.Addr().String()})
		tr := NewTransport()
		defer tr.Close()
		report := tr.Forward(t.Context(), r, &recordingSink{})
		assert.Assert(t, !report.Lost && report.Err.Code == result.ConnectFailed)
	})
}
