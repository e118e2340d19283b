// Package netpeek looks at what waits on a connection without reading it.
package netpeek

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// State is what waits on a connection.
type State struct {
	Unread bool // bytes that nobody has read yet: on a busy host, a request
	Ended  bool // the other side has closed or reset it
}

// Peek looks at a connection without reading from it.
func Peek(c net.Conn) (p State, err error) {
	s, ok := c.(syscall.Conn)
	if !ok {
		return p, nil // not a socket
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return p, err
	}
	controlErr := raw.Control(func(fd uintptr) {
		var n int
		n, _, err = unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		p.Unread = n > 0
		p.Ended = err == nil && n == 0 || errors.Is(err, unix.ECONNRESET)
	})
	if errors.Is(err, unix.EAGAIN) || p.Ended {
		err = nil
	}
	return p, errors.Join(err, controlErr)
}
