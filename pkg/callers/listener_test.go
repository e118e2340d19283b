package callers

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
)

// Guards against requests that get no answer because their connections wait in the queue
// of the listener when it is closed: a busy host accepts them late.
func TestQueuedConnectionsAreServedWhenTheListenerStops(t *testing.T) {
	s := NewConnTracker(0, 0, metrics.NewRegistry())
	release := make(chan struct{})
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.URL.Path) }),
		ConnState: func(c net.Conn, state http.ConnState) {
			if state == http.StateNew {
				<-release // holds the loop that accepts connections
			}
			s.OnStateChange(c, state)
		},
	}
	l, err := Listen(t.Context(), "127.0.0.1:0")
	assert.NilError(t, err)
	served := make(chan error, 1)
	go func() { served <- server.Serve(s.Listener(l)) }()
	defer server.Close()
	const queued = 40
	conns := make([]net.Conn, queued)
	for i := range conns {
		conns[i], err = net.Dial("tcp", l.Addr().String())
		assert.NilError(t, err)
		defer conns[i].Close()
		_, err = fmt.Fprintf(conns[i], "GET /%d HTTP/1.1\r\nHost: a.example\r\n\r\n", i)
		assert.NilError(t, err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), waitLimit)
	defer cancel()
	var stop sync.WaitGroup
	stop.Go(func() { s.StopAccepting(ctx) })
	time.Sleep(2 * handshakeTime) // the queue is still full after the wait for handshakes
	close(release)
	stop.Wait()
	for i, c := range conns {
		assert.NilError(t, c.SetReadDeadline(time.Now().Add(waitLimit)))
		in := bufio.NewReader(c)
		checkResponse(t, in, fmt.Sprintf("/%d", i))
	}
	assert.ErrorIs(t, <-served, net.ErrClosed)
	_, err = net.DialTimeout("tcp", l.Addr().String(), waitLimit)
	assert.Assert(t, err != nil, "the listener is open")
}

// Guards against requests that get no answer because their connections are opened at the
// moment of the close, when the queue was seen empty: the kernel opens none any more.
func TestConnectionsOpenedWhileTheListenerStopsAreServed(t *testing.T) {
	for i := range 20 {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			t.Parallel()
			stopWhileCallersConnect(t)
		})
	}
}

func stopWhileCallersConnect(t *testing.T) {
	s := NewConnTracker(0, 0, metrics.NewRegistry())
	server := &http.Server{
		Handler:   http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.URL.Path) }),
		ConnState: s.OnStateChange,
	}
	l, err := Listen(t.Context(), "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = server.Serve(s.Listener(l)) }()
	defer server.Close()
	ctx, cancel := context.WithTimeout(t.Context(), waitLimit)
	defer cancel()
	var callers sync.WaitGroup
	for range 8 {
		callers.Go(func() {
			for {
				c, err := net.DialTimeout("tcp", l.Addr().String(), waitLimit)
				if err != nil {
					return // refused: no request was sent
				}
				if err := exchange(c); err != nil {
					t.Errorf("a request on an open connection got no answer: %v", err)
				}
			}
		})
	}
	waitFor(t, "connections", func() bool { return s.OpenCount() > 0 })
	s.StopAccepting(ctx)
	callers.Wait()
	assert.NilError(t, s.WaitClosed(ctx, 0))
}

// exchange sends one request on the connection, reads the response and closes it.
func exchange(c net.Conn) error {
	defer c.Close()
	if _, err := io.WriteString(c, "GET /x HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n\r\n"); err != nil {
		return err
	}
	_, err := http.ReadResponse(bufio.NewReader(c), nil)
	return err
}

// noFilterListener is a TCP listener on whose socket no options can be set.
type noFilterListener struct{ *net.TCPListener }

var errNoSocket = errors.New("no socket")

func (noFilterListener) SyscallConn() (syscall.RawConn, error) { return nil, errNoSocket }

// Guards against a listener that stops and still takes new connections, so that some are
// reset, and nothing tells.
func TestFailureToIgnoreHandshakesIsRecorded(t *testing.T) {
	s := NewConnTracker(0, 0, metrics.NewRegistry())
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	s.closes.log = logrus.NewEntry(log)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	stopped := s.Listener(noFilterListener{l.(*net.TCPListener)})
	server := &http.Server{ConnState: s.OnStateChange}
	go func() { _ = server.Serve(stopped) }()
	defer server.Close()
	waitFor(t, "Accept", stopped.(*listener).served.Load)
	s.StopAccepting(t.Context())
	assert.DeepEqual(t, s.counts(), map[string]int64{"callers.filter_errors": 1})
	assert.Assert(t, strings.Contains(out.String(), errNoSocket.Error()), "log: %q", out.String())
}
