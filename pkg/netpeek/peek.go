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

// maxDropped bounds the bytes that Drop reads.
const maxDropped = 1 << 20

// Drop reads and drops what has arrived on a connection, without blocking, and returns the
// number of bytes. On a connection that is not a socket it does nothing.
func Drop(c net.Conn) (dropped int, err error) {
	s, ok := c.(syscall.Conn)
	if !ok {
		return 0, nil
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0, err
	}
	buffer := make([]byte, 4<<10)
	controlErr := raw.Control(func(fd uintptr) {
		for dropped < maxDropped {
			n, _, err := unix.Recvfrom(int(fd), buffer, unix.MSG_DONTWAIT)
			if n <= 0 || err != nil {
				return // nothing is left, or the peer has closed
			}
			dropped += n
		}
	})
	return dropped, controlErr
}
