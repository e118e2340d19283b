package callers

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
)

// logLines returns the lines of a log in JSON with this message.
func logLines(t *testing.T, log, message string) (out []map[string]any) {
	t.Helper()
	for line := range strings.Lines(log) {
		var fields map[string]any
		assert.NilError(t, json.Unmarshal([]byte(line), &fields), line)
		if fields["msg"] == message {
			out = append(out, fields)
		}
	}
	return out
}

// Guards against connections that the end of a process closes without a word in the log:
// which request they have, and whether bytes of it are unread, is not known later.
func TestOpenConnectionsAreRecordedAtTheEndOfAStop(t *testing.T) {
	const idle, limitedLines = 2, 2*recordLogBurst + recordLogRate
	s := NewConnTracker(0, 0, metrics.NewRegistry())
	var log bytes.Buffer
	logger := logrus.New()
	logger.SetFormatter(&logrus.JSONFormatter{})
	logger.SetOutput(&log)
	s.log = logrus.NewEntry(logger)
	s.RecordOpen(OpenAtEnd)
	none := logLines(t, log.String(), "open connections at the end of a stop")
	assert.Equal(t, len(none), 1, "a stop that closes no connection does not say so")
	assert.Equal(t, none[0]["connections"], 0.0)
	log.Reset()
	for range limitedLines {
		s.closes.logLimiter.Allow() // the lines of a stop come after those of a busy host
	}

	running, release := make(chan struct{}), make(chan struct{})
	server := &http.Server{ConnState: s.OnStateChange, ConnContext: s.ContextWithConn, Handler: s.Handler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		SetRequestID(r.Context(), "id-"+r.URL.Path)
		if r.URL.Path == "/running" {
			close(running)
			<-release
		}
	}))}
	l, err := Listen(t.Context(), "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = server.Serve(s.Listener(l)) }()
	defer server.Close()
	defer close(release)
	var conns []net.Conn
	for i := range idle + 1 {
		conn, err := net.Dial("tcp", l.Addr().String())
		assert.NilError(t, err)
		defer conn.Close()
		conns = append(conns, conn)
		_, err = fmt.Fprintf(conn, "GET /%d HTTP/1.1\r\nHost: a.example\r\n\r\n", i)
		assert.NilError(t, err)
		_, err = http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err)
	}
	const next = "GET /unread HTTP/1.1\r\nHost: a.example\r\n\r\n"
	_, err = io.WriteString(conns[0], "GET /running HTTP/1.1\r\nHost: a.example\r\n\r\n")
	assert.NilError(t, err)
	<-running
	_, err = io.WriteString(conns[0], next)
	assert.NilError(t, err)
	waitFor(t, "idle connections, and unread bytes of a request", func() bool {
		unread := 0
		for _, c := range s.openConns() {
			unread += c.unread
		}
		return s.idleCount() == idle && unread == len(next)-1 // net/http has read one
	})

	s.RecordOpen(OpenAtCut)
	lines := logLines(t, log.String(), "open connection at the end of a stop")
	assert.Equal(t, len(lines), idle+1)
	for _, line := range lines {
		assert.Equal(t, line["moment"], "cut")
		if line["request"] == true {
			assert.Equal(t, line["id"], "id-/running")
			assert.Equal(t, line["conn_request"], 2.0)
			assert.Equal(t, line["state"], "active")
			assert.Equal(t, line["sent"], 0.0, "its response has not begun")
			assert.Equal(t, line["unread"], float64(len(next)-1))
			continue
		}
		assert.Equal(t, line["state"], "idle")
		assert.Equal(t, line["unread"], 0.0)
		assert.Assert(t, line["sent"].(float64) > 0, "its response is whole")
		assert.Assert(t, strings.HasPrefix(line["id"].(string), "id-/"), "the last request is not named")
	}
	total := logLines(t, log.String(), "open connections at the end of a stop")
	assert.Equal(t, len(total), 1)
	assert.Equal(t, total[0]["connections"], float64(idle+1))
	assert.Equal(t, total[0]["requests"], 1.0)
	assert.Equal(t, total[0]["unread"], 1.0)
	assert.Equal(t, metrics.GetOrRegisterCounter("callers.open.cut", s.closes.registry).Count(), int64(idle+1))
}

// Guards against a flood of lines at the end of a stop, and a count that leaves out what has
// no line, or has connections whose callers were told of the close.
func TestLinesOfOpenConnectionsAreBounded(t *testing.T) {
	s := NewConnTracker(0, 0, metrics.NewRegistry())
	var log bytes.Buffer
	logger := logrus.New()
	logger.SetFormatter(&logrus.JSONFormatter{})
	logger.SetOutput(&log)
	s.log = logrus.NewEntry(logger)
	caller, host := connect(t)
	defer caller.Close()
	for range maxOpenLines + 3 {
		s.OnStateChange(&callerConn{TCPConn: host.(*net.TCPConn)}, http.StateNew)
	}
	s.OnStateChange(&callerConn{TCPConn: host.(*net.TCPConn), announced: true}, http.StateNew) // its caller was told
	s.RecordOpen(OpenAtEnd)
	assert.Equal(t, len(logLines(t, log.String(), "open connection at the end of a stop")), maxOpenLines)
	total := logLines(t, log.String(), "open connections at the end of a stop")
	assert.Equal(t, total[0]["connections"], float64(maxOpenLines+3))
	assert.Equal(t, total[0]["unlogged"], 3.0)
}
