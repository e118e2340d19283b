package callers

import (
	"context"
	"errors"
	"math"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// handshakeTime is how long a listener that is stopped waits for handshakes in progress.
	// It covers a round trip to a distant caller.
	handshakeTime = 100 * time.Millisecond
	// queueCheckTime is how long it waits again if a connection is in its queue after that.
	queueCheckTime = time.Millisecond
)

// kernelBufferBytes is the size of the kernel's send and receive buffers of a
// connection. Without it they grow to megabytes for callers that read slowly.
const kernelBufferBytes = 32 << 10

// Listen opens a TCP listener for callers. Multipath TCP, the default of the net package,
// has sockets of its own, whose options StopAccepting would not change.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{Control: limitKernelBuffers}
	config.SetMultipathTCP(false)
	return config.Listen(ctx, "tcp", address)
}

// limitKernelBuffers limits the buffers of a listening socket, which its connections
// inherit.
func limitKernelBuffers(_, _ string, c syscall.RawConn) error {
	var err error
	controlErr := c.Control(func(fd uintptr) {
		err = errors.Join(
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, kernelBufferBytes),
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, kernelBufferBytes))
	})
	return errors.Join(controlErr, err)
}

// Listener returns a listener whose connections tell the tracker whether a request
// has begun to arrive. net/http reports a connection as idle until it has read the
// whole head of the next request. StopAccepting closes the listener.
func (s *ConnTracker) Listener(l net.Listener) net.Listener {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener = &listener{Listener: l, closes: s.closes, writeLimit: s.writeLimit, ended: make(chan struct{})}
	return s.listener
}

// StopAccepting closes the listener once every connection that the kernel has
// established is accepted, or when ctx ends: the kernel resets the ones that wait in the
// queue of a closed listener, and their callers may have sent whole requests. Serve of
// the http.Server returns an error that wraps net.ErrClosed then, and the open
// connections are still served. A connection that is requested meanwhile is refused at once.
func (s *ConnTracker) StopAccepting(ctx context.Context) {
	s.mu.Lock()
	l := s.listener
	s.mu.Unlock()
	if l == nil {
		return
	}
	if l.served.Load() {
		l.stop()
		select {
		case <-l.ended:
		case <-ctx.Done():
		}
	}
	_ = l.Close() // no more connections are accepted in any case
}

// listener is a listener that can be stopped without losing connections.
type listener struct {
	net.Listener
	closes     *closeRecorder
	writeLimit time.Duration // of the connections
	served     atomic.Bool   // Accept was called
	stopping   atomic.Bool
	endOnce    sync.Once
	ended      chan struct{} // closed when Accept has returned an error that is not temporary
}

// tcpListener has the methods of *net.TCPListener that listener needs.
type tcpListener interface {
	syscall.Conn
	SetDeadline(time.Time) error
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	l.served.Store(true)
	for {
		c, err := l.Listener.Accept()
		switch {
		case err == nil:
		case l.stopping.Load() && errors.Is(err, os.ErrDeadlineExceeded):
			if l.hasQueued() {
				l.extendDeadline(queueCheckTime)
				continue
			}
			l.end()
			return nil, net.ErrClosed
		case errors.Is(err, net.ErrClosed):
			l.end()
		default:
			l.closes.recordAcceptError(err)
		}
		if tcp, ok := c.(*net.TCPConn); ok {
			return &callerConn{TCPConn: tcp, writeLimit: l.writeLimit, openedAt: time.Now()}, err
		}
		return c, err
	}
}

func (l *listener) end() { l.endOnce.Do(func() { close(l.ended) }) }

// stop refuses new handshakes and ends Accept when the queue is empty.
func (l *listener) stop() {
	if l.stopping.Swap(true) {
		return
	}
	if tcp, ok := l.Listener.(tcpListener); ok {
		if err := refuseHandshakes(tcp); err != nil {
			l.closes.recordFilterError(err) // a connection that is opened at the moment of the close is reset
		}
	}
	l.extendDeadline(handshakeTime)
}

// extendDeadline lets Accept wait for that long. A listener without deadlines is
// closed at once.
func (l *listener) extendDeadline(wait time.Duration) {
	if tcp, ok := l.Listener.(tcpListener); ok && tcp.SetDeadline(time.Now().Add(wait)) == nil {
		return
	}
	_ = l.Close() // as the listener cannot be stopped
}

// hasQueued reports whether a connection waits to be accepted.
func (l *listener) hasQueued() (queued bool) {
	tcp, ok := l.Listener.(tcpListener)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	err = raw.Control(func(fd uintptr) {
		poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(poll, 0)
		queued = err == nil && n == 1 && poll[0].Revents&unix.POLLIN != 0
	})
	return queued && err == nil
}

// noInterface is the index of a network interface that does not exist.
const noInterface = math.MaxInt32

// refuseHandshakes makes the kernel refuse requests for new connections, as if the listener
// were closed: it gets those of one interface only. Handshakes in progress are completed.
func refuseHandshakes(l syscall.Conn) error {
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_BINDTOIFINDEX, noInterface)
	})
	return errors.Join(err, optionErr)
}
