package edge

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/dispatch"
	"jackdawtrack.example/jackdawtrack/pkg/proxy"
)

// brokenCaller is a caller whose connection takes a number of writes and flushes, then
// fails. Each flush that it takes makes the server send another event.
type brokenCaller struct {
	*httptest.ResponseRecorder
	writes, flushes int
	next            chan<- string
	err             error // of the first write or flush that it does not take
}

const secondEvent = "id: 2\ndata: two\n\n"

var errCallerConn = errors.New("broken pipe")

// Write implements http.ResponseWriter.
func (c *brokenCaller) Write(p []byte) (int, error) {
	if c.writes--; c.writes < 0 {
		return 0, c.err
	}
	return c.ResponseRecorder.Write(p)
}

// FlushError is called by http.ResponseController.
func (c *brokenCaller) FlushError() error {
	if c.flushes--; c.flushes < 0 {
		return c.err
	}
	c.next <- secondEvent
	return nil
}

// streamUntilClosed sends the head of a stream and the events of next, and
// closes left when the edge host has closed the connection.
func streamUntilClosed(l net.Listener, next <-chan string, left chan<- struct{}) {
	conn, err := l.Accept()
	if err != nil {
		return
	}
	defer conn.Close()
	in := bufio.NewReader(conn)
	if _, err := http.ReadRequest(in); err != nil {
		return
	}
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: "+fuzzID+"\r\nSeal: 1\r\nContent-Type: text/event-stream\r\n\r\n")
	go func() {
		for event := range next {
			_, _ = io.WriteString(conn, event)
		}
	}()
	_, _ = io.Copy(io.Discard, in)
	close(left)
}

// Guards against a stream that keeps its server busy, or goes to another one, although its
// caller takes no more bytes: nothing tells so but the failed write.
func TestStreamEndsWhenItsCallerTakesNoMore(t *testing.T) {
	const first = "id: 1\ndata: one\n\n"
	for name, c := range map[string]struct {
		writes, flushes int
		want            string
		err             error
		closed          closeReason
	}{
		"write of the first event":  {0, 9, "", errCallerConn, ""},
		"flush of the first event":  {9, 0, first, errCallerConn, ""},
		"write of the second event": {1, 9, first, errCallerConn, ""},
		"flush of the second event": {9, 1, first + secondEvent, errCallerConn, ""},
		"the caller reads nothing":  {1, 9, first, os.ErrDeadlineExceeded, closeCallerStalled},
		"the host has closed it":    {1, 9, first, net.ErrClosed, closeHostStopped},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer l.Close()
			next, left := make(chan string, 2), make(chan struct{})
			defer close(next)
			next <- first
			go streamUntilClosed(l, next, left)

			x := newAttemptTest().proxiedRequest
			x.s.transport, x.s.stopping = proxy.NewTransport(), newStopping()
			defer x.s.transport.Close()
			x.s.log = logrus.NewEntry(&logrus.Logger{Out: io.Discard})
			x.s.retryBudget = newRetryBudget(RetryBudget{})
			x.s.ctx = context.Background()
			caller := &brokenCaller{httptest.NewRecorder(), c.writes, c.flushes, next, c.err}
			x.w, x.in.Method, x.in.Target, x.in.Header = caller, http.MethodPost, "/", http.Header{}
			x.deadline = time.Now().Add(connEndTimeout)
			d := x.decision
			d.Address = l.Addr().String()

			a := x.attempt(d)
			assert.Equal(t, a.outcome, dispatch.CallerDisconnected)
			assert.Assert(t, a.done, "another attempt or an answer follows")
			select {
			case <-left:
			case <-time.After(connEndTimeout):
				t.Fatal("the server still sends the stream")
			}
			assert.Equal(t, caller.Body.String(), c.want)
			assert.Equal(t, x.s.openStreams.Load(), int64(0))
			assert.Equal(t, x.closeReason, c.closed)
			x.outcomes = append(x.outcomes, a.outcome.String())
			x.log(1)
			assert.Equal(t, metrics.GetOrRegisterCounter("edge.requests.caller left", x.s.metrics.registry).Count(), int64(1))
		})
	}
}

// Guards against a response of a few KB that is recorded as whole although it could not be
// written: it fits into the buffer of net/http, which an earlier response keeps full.
func TestSmallResponseThatCannotBeWrittenIsRecorded(t *testing.T) {
	for name, c := range map[string]struct {
		err    error
		closed closeReason
	}{
		"written":                  {nil, ""},
		"the caller reads nothing": {os.ErrDeadlineExceeded, closeCallerStalled},
		"the host has closed it":   {net.ErrClosed, closeHostStopped},
	} {
		t.Run(name, func(t *testing.T) {
			x := newAttemptTest().proxiedRequest
			x.w = &brokenCaller{ResponseRecorder: httptest.NewRecorder(), writes: 1, err: c.err, next: make(chan string, 1)}
			x.writeBuffered(&bufferedResponse{status: http.StatusOK, header: http.Header{}, body: [][]byte{[]byte("hello")}})
			assert.Equal(t, x.closeReason, c.closed)
		})
	}
}
