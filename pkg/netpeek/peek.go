// Package netpeek inspects the receive side of a connection without reading from
// it.
package netpeek

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// State is the state of the receive side of a connection.
type State struct {
	UnreadData bool // the socket buffer has bytes that were not read yet; on a busy host this can be a request
	PeerClosed bool // the peer has closed or reset the connection
}

// Peek returns the state of a connection without reading from it or blocking. For a
// connection that is not a socket it returns the zero State.
func Peek(c net.Conn) (p State, err error) {
	s, ok := c.(syscall.Conn)
	if !ok {
		return p, nil
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return p, err
	}
	controlErr := raw.Control(func(fd uintptr) {
		var n int
		n, _, err = unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		p.UnreadData = n > 0
		p.PeerClosed = err == nil && n == 0 || errors.Is(err, unix.ECONNRESET)
	})
	if errors.Is(err, unix.EAGAIN) || p.PeerClosed {
		err = nil
	}
	return p, errors.Join(err, controlErr)
}
