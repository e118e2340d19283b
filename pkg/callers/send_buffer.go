package callers

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"
)

const (
	// maxSendBuffer bounds the send buffer of one connection. The kernel may allow less
	// (net.core.wmem_max).
	maxSendBuffer = 4 << 20
	// sendBufferShare is the part of the memory of the host that the kernel may hold for
	// callers beyond kernelBufferBytes each, and defaultSendMemory stands for it if the
	// memory is not known.
	sendBufferShare   = 0.25
	defaultSendMemory = 64 << 20
	// growInterval is how often blocked connections get a larger buffer.
	growInterval = 25 * time.Millisecond
)

// GrowSendBuffers doubles the kernel's send buffers of callers that block a write, until
// ctx ends. A planned stop calls it: the kernel goes on sending after the process has
// ended, so a caller that reads slowly still gets the rest of an answer that its server has
// completed. All buffers together are bounded by a share of the memory of the host.
func (s *ConnTracker) GrowSendBuffers(ctx context.Context) {
	ticker := time.NewTicker(growInterval)
	defer ticker.Stop()
	g := &bufferGrowth{left: s.sendMemory, sizes: map[*callerConn]int{}}
	for ctx.Err() == nil {
		for _, c := range s.blockedConns() {
			g.grow(c)
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	if len(g.sizes) > 0 {
		s.log.WithFields(logrus.Fields{"connections": len(g.sizes), "bytes": s.sendMemory - g.left, "largest": g.largest, "refused": g.refused}).Info("send buffers grown")
	}
}

// blockedConns returns the open connections on which a write has waited for growInterval.
func (s *ConnTracker) blockedConns() []*callerConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*callerConn
	for c := range s.open {
		if tracked, ok := transport(c).(*callerConn); ok && tracked.isWriteBlocked() {
			out = append(out, tracked)
		}
	}
	return out
}

// bufferGrowth is the state of GrowSendBuffers. What a connection got counts until the
// end, because the kernel may still hold it after a close.
type bufferGrowth struct {
	left    int                 // bytes that may still be given
	sizes   map[*callerConn]int // of the buffers, 0 if the kernel gives no more
	largest int
	refused int // connections that got less than they asked for
}

// grow doubles the send buffer of a connection, as far as the bounds allow.
func (g *bufferGrowth) grow(c *callerConn) {
	size, known := g.sizes[c]
	if known && size == 0 {
		return
	}
	if !known {
		size = kernelBufferBytes
	}
	wanted := min(2*size, maxSendBuffer)
	if wanted == size {
		return
	}
	if wanted-size > g.left {
		g.refuse(c)
		return
	}
	granted, err := setSendBuffer(c, wanted)
	if err != nil || granted <= size {
		g.refuse(c)
		return
	}
	g.left -= granted - size
	g.sizes[c] = granted
	g.largest = max(g.largest, granted)
}

func (g *bufferGrowth) refuse(c *callerConn) {
	g.refused++
	g.sizes[c] = 0
}

// setSendBuffer sets the size of the send buffer and returns the size that the kernel
// allows.
func setSendBuffer(c *callerConn, size int) (granted int, err error) {
	if err := c.TCPConn.SetWriteBuffer(size); err != nil {
		return 0, err
	}
	raw, err := c.TCPConn.SyscallConn()
	if err != nil {
		return 0, err
	}
	controlErr := raw.Control(func(fd uintptr) {
		granted, err = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF)
	})
	if controlErr != nil {
		return 0, controlErr
	}
	return granted / 2, err // Linux doubles the size, for its own use
}

// beginWrite and endWrite record that a write is in progress.
func (c *callerConn) beginWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writingSince = time.Now()
}

func (c *callerConn) endWrite(written int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writingSince = time.Time{}
	if written > 0 {
		c.lastActive = time.Now()
		c.sent += written
	}
}

func (c *callerConn) isWriteBlocked() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.writingSince.IsZero() && time.Since(c.writingSince) >= growInterval
}
