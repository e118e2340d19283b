package callers

import (
	"context"
	"errors"
	"net"
	"os"
	"time"
)

// writeTries is how often per write limit a blocked write is begun again.
const writeTries = 4

// LimitWrites makes a write fail, and resets its connection, if the kernel takes no byte of
// it for limit because the caller reads nothing. It must be called before Listener. Other
// write deadlines take its place.
func (s *ConnTracker) LimitWrites(limit time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeLimit = limit
}

// Write implements net.Conn. After a refusal of a head, which net/http writes in one piece
// before it closes the connection, it waits for the caller to close.
func (c *callerConn) Write(p []byte) (written int, err error) {
	c.beginWrite()
	written, err = c.writeLimited(p)
	c.endWrite(written)
	if err != nil {
		c.recordWriteError()
	}
	if err == nil && c.refusesHead(p) && c.TCPConn.SetReadDeadline(time.Now().Add(refusedHeadTime)) == nil {
		c.awaitClose()
	}
	return written, err
}

// writeLimited is Write with the write limit. One deadline for the whole write would cut
// callers that read all the time, but slowly. A blocked write is begun again because the
// kernel then takes bytes as soon as any of its buffer is free, and otherwise when a third
// of it is: the buffer can have several MB.
func (c *callerConn) writeLimited(p []byte) (written int, err error) {
	progressAt := time.Now()
	for c.extendWrite() {
		n, err := c.TCPConn.Write(p[written:])
		written += n
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
		if n > 0 {
			progressAt = time.Now()
		}
		if time.Since(progressAt) >= c.writeLimit {
			_ = c.TCPConn.SetLinger(0) // the kernel drops what it holds for the caller
			return written, err
		}
	}
	n, err := c.TCPConn.Write(p[written:])
	return written + n, err
}

// extendWrite sets the write deadline to the next try. It reports false if writes are not
// limited or another deadline applies.
func (c *callerConn) extendWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeLimit == 0 || !c.writeDeadline.IsZero() {
		return false
	}
	interval := c.writeLimit / writeTries
	if now := time.Now(); now.Sub(c.writeExtendedAt) > interval/2 {
		c.writeExtendedAt = now
		return c.TCPConn.SetWriteDeadline(now.Add(interval)) == nil
	}
	return true
}

// SetWriteDeadline implements net.Conn. A TLS connection sets a deadline before it writes
// that it is closed.
func (c *callerConn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tlsEnds = c.encrypted && c.returned
	c.writeDeadline, c.writeExtendedAt = t, time.Time{}
	return c.TCPConn.SetWriteDeadline(t)
}

// WritesLimited reports whether the connection of the request with this context has a write
// limit.
func WritesLimited(ctx context.Context) bool {
	c, _ := ctx.Value(connContextKey{}).(net.Conn)
	tracked, ok := transport(c).(*callerConn)
	return ok && tracked.writeLimit > 0
}
