package callers

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// Guards against callers whose request for a connection is ignored while a listener stops:
// their kernel asks again after a second only.
func TestCallerIsRefusedAtOnceWhileTheListenerStops(t *testing.T) {
	s := NewConnTracker(0, 0, metrics.NewRegistry())
	release := make(chan struct{})
	server := &http.Server{ConnState: func(c net.Conn, state http.ConnState) {
		if state == http.StateNew {
			<-release // holds the loop that accepts connections
		}
		s.OnStateChange(c, state)
	}}
	l, err := Listen(t.Context(), "127.0.0.1:0")
	assert.NilError(t, err)
	stopped := s.Listener(l).(*listener)
	go func() { _ = server.Serve(stopped) }()
	defer server.Close()
	first, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	defer first.Close()
	ctx, cancel := context.WithTimeout(t.Context(), waitLimit)
	defer cancel()
	var stop sync.WaitGroup
	stop.Go(func() { s.StopAccepting(ctx) })
	defer stop.Wait()
	defer close(release)
	for {
		c, err := net.DialTimeout("tcp", l.Addr().String(), 900*time.Millisecond) // the kernel of the caller asks again later
		if err == nil {
			_ = c.Close() // opened before the stop
			continue
		}
		assert.ErrorIs(t, err, syscall.ECONNREFUSED)
		return
	}
}

// Guards against requests that get no answer because the handshake of a distant caller is in
// progress when the listener is closed.
func TestHandshakeOfADistantCallerIsCompletedWhenTheListenerStops(t *testing.T) {
	s := NewConnTracker(0, 0, metrics.NewRegistry())
	server := &http.Server{
		Handler:   http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.URL.Path) }),
		ConnState: s.OnStateChange,
	}
	l, err := Listen(t.Context(), "127.0.0.1:0")
	assert.NilError(t, err)
	raw, err := l.(*net.TCPListener).SyscallConn()
	assert.NilError(t, err)
	var optionErr error
	assert.NilError(t, raw.Control(func(fd uintptr) {
		// The handshake is in progress until the first bytes of the request arrive.
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_DEFER_ACCEPT, int(waitLimit/time.Second))
	}))
	assert.NilError(t, optionErr)
	stopped := s.Listener(l).(*listener)
	go func() { _ = server.Serve(stopped) }()
	defer server.Close()
	conns := make([]net.Conn, 10)
	for i := range conns {
		conns[i], err = net.Dial("tcp", l.Addr().String())
		assert.NilError(t, err)
		defer conns[i].Close()
	}
	waitFor(t, "Accept", stopped.served.Load)
	ctx, cancel := context.WithTimeout(t.Context(), waitLimit)
	defer cancel()
	var stop sync.WaitGroup
	stop.Go(func() { s.StopAccepting(ctx) })
	waitFor(t, "the stop", stopped.stopping.Load)
	time.Sleep(20 * time.Millisecond)
	for i, c := range conns {
		_, err := fmt.Fprintf(c, "GET /%d HTTP/1.1\r\nHost: a.example\r\n\r\n", i)
		assert.NilError(t, err)
	}
	for i, c := range conns {
		assert.NilError(t, c.SetReadDeadline(time.Now().Add(waitLimit)))
		checkResponse(t, bufio.NewReader(c), fmt.Sprintf("/%d", i))
	}
	stop.Wait()
	_, err = net.DialTimeout("tcp", l.Addr().String(), waitLimit)
	assert.Assert(t, err != nil && !errors.Is(err, os.ErrDeadlineExceeded), "the listener is open")
}
