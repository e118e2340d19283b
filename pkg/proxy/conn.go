package proxy

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
)

// errSealed is returned by writes to a connection after its request was given
// up, so that no byte can follow a refusal that says "not run".
var errSealed = errors.New("connection is sealed")

// trackedConn counts writes and can be sealed against further ones.
type trackedConn struct {
	net.Conn
	owner *connTable
	addr  string

	got atomic.Int64 // bytes that were read

	mu     sync.Mutex
	writes uint64 // Write calls that may have passed bytes to the kernel
	uses   uint64 // exchanges on this connection
	sealed bool
	idle   bool
}

// Read implements net.Conn.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.got.Add(int64(n))
	return n, err
}

// Write implements net.Conn. The count rises before the first byte can leave.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.owner.remove(c)
	return c.Conn.Close()
}

// use marks the connection busy and returns the number of this use and of the
// writes so far.
func (c *trackedConn) use() (use, writes uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = false
	c.uses++
	return c.uses, c.writes
}

// release marks the connection idle, unless a later use has begun: net/http
// reports the return to its pool after another request can have taken it.
func (c *trackedConn) release(use uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.uses == use {
		c.idle = true
	}
}

// seal forbids further writes and reports whether one happened since the
// given count. The answer is final: no byte leaves after it.
func (c *trackedConn) seal(since uint64) (written bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writes > since
}

// connTable knows the open connections of each address, so that idle ones can
// be dropped when one to the same address went silent.
type connTable struct {
	mu    sync.Mutex
	conns map[string]map[*trackedConn]struct{}
}

func newConnTable() *connTable {
	return &connTable{conns: make(map[string]map[*trackedConn]struct{})}
}

func (t *connTable) add(addr string, c net.Conn) *trackedConn {
	tracked := &trackedConn{Conn: c, owner: t, addr: addr}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conns[addr] == nil {
		t.conns[addr] = make(map[*trackedConn]struct{})
	}
	t.conns[addr][tracked] = struct{}{}
	return tracked
}

func (t *connTable) remove(c *trackedConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns[c.addr], c)
	if len(t.conns[c.addr]) == 0 {
		delete(t.conns, c.addr)
	}
}

// dropIdle closes the idle connections of an address. A connection that is
// taken into use meanwhile is sealed, so its request fails with nothing sent.
func (t *connTable) dropIdle(addr string) int {
	t.mu.Lock()
	var idle []*trackedConn
	for c := range t.conns[addr] {
		c.mu.Lock()
		if c.idle {
			c.sealed = true
			idle = append(idle, c)
		}
		c.mu.Unlock()
	}
	t.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
	return len(idle)
}
