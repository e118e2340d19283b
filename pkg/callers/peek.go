package callers

import (
	"context"
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// peeked is what waits on a connection.
type peeked struct {
	unread bool // bytes that nobody has read yet: on a busy host, a request
	ended  bool // the other side has closed or reset it
}

// peek looks at a connection without reading from it.
func peek(c net.Conn) (p peeked, err error) {
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
		p.unread = n > 0
		p.ended = err == nil && n == 0 || errors.Is(err, unix.ECONNRESET)
	})
	if errors.Is(err, unix.EAGAIN) || p.ended {
		err = nil
	}
	return p, errors.Join(err, controlErr)
}

// Left reports whether the caller has closed the connection of the request
// with that context. A busy host may read a request after that.
func Left(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(net.Conn)
	if !ok {
		return false
	}
	p, err := peek(c)
	return err != nil || p.ended // an error means that the connection is closed
}
