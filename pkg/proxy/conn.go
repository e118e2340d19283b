package proxy

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"

	"jackdawtrack.example/jackdawtrack/pkg/netpeek"
)

// errWritesDisabled is returned by writes to a connection after its request was
// aborted. No byte may reach the server after the caller was told that the
// request was not executed.
var errWritesDisabled = errors.New("writes to this connection are disabled")

// errClosedByServer is returned by the first write of a request to a reused connection
// that its server has closed.
var errClosedByServer = errors.New("the server has closed this connection")

// trackedConn is a connection to a BackendServer that counts its Write calls and
// can disable further ones.
type trackedConn struct {
	net.Conn
	table   *connTable
	addr    string
	startMS int64 // start of the process at the other end in Unix milliseconds, 0 if not known

	bytesReceived atomic.Int64                // bytes read from the socket
	end           atomic.Pointer[responseEnd] // nil unless the response ends with the connection
	closed        chan struct{}               // closed by Close
	closeOnce     sync.Once

	mu             sync.Mutex
	writeCalls     uint64 // Write calls that can have passed bytes to the kernel
	useCount       uint64 // HTTP exchanges started on this connection
	checkClosed    bool   // the next write is the first one of a reused connection
	writesDisabled bool
	otherProcess   bool // writes are disabled because the request must not reach this process
	idle           bool
}

// Read implements net.Conn. At the end of a response that ends with the connection it returns
// io.EOF only if the response is whole.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytesReceived.Add(int64(n))
	if e := c.end.Load(); e != nil && err == io.EOF {
		err = e.check(c)
	}
	return n, err
}

// Write implements net.Conn. It counts the call before a byte can reach the
// kernel, and returns errWritesDisabled after disableWrites. The first write of a
// request to a reused connection returns errClosedByServer if its server has closed it:
// on a busy host, the reader of the connection sees that late.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.writesDisabled {
		err := errWritesDisabled
		if c.otherProcess {
			err = ErrOtherProcess
		}
		c.mu.Unlock()
		return 0, err
	}
	if c.checkClosed {
		c.checkClosed = false
		if state, err := netpeek.Peek(c.Conn); err == nil && state.PeerClosed {
			c.writesDisabled = true
			c.mu.Unlock()
			return 0, errClosedByServer
		}
	}
	c.writeCalls++
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// Close implements net.Conn and removes the connection from its table.
func (c *trackedConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	c.table.remove(c)
	return c.Conn.Close()
}

// use marks the connection busy for a new exchange; reused is set if it was idle
// before. It returns the number of the exchange on this connection, from 1, and the
// number of Write calls so far.
func (c *trackedConn) use(reused bool) (use, writeCalls uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle, c.checkClosed = false, reused
	c.useCount++
	return c.useCount, c.writeCalls
}

// release marks the connection idle after the exchange with the number use,
// unless a later exchange has begun: net/http may report the return of a
// connection to its pool after another request has already taken it.
func (c *trackedConn) release(use uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.useCount == use {
		c.idle = true
	}
}

// hasWritten reports whether there were Write calls after the first writesBefore.
func (c *trackedConn) hasWritten(writesBefore uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writeCalls > writesBefore
}

// disableWrites rejects further Write calls and reports whether there were any
// after the first writesBefore. The result is final: no byte is written after
// it.
func (c *trackedConn) disableWrites(writesBefore uint64) (written bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writesDisabled = true
	return c.writeCalls > writesBefore
}

// refuseOtherProcess disables further Write calls, because the request needs another process
// than the one at the other end.
func (c *trackedConn) refuseOtherProcess() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writesDisabled, c.otherProcess = true, true
}

// isOtherProcess reports whether refuseOtherProcess was called.
func (c *trackedConn) isOtherProcess() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.otherProcess
}

// connTable holds the open connections by server address, so that idle ones can
// be closed when a connection to the same address stopped responding.
type connTable struct {
	mu    sync.Mutex
	conns map[string]map[*trackedConn]struct{}
}

func newConnTable() *connTable {
	return &connTable{conns: make(map[string]map[*trackedConn]struct{})}
}

func (t *connTable) add(addr string, c net.Conn) *trackedConn {
	tracked := &trackedConn{Conn: c, table: t, addr: addr, closed: make(chan struct{})}
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

// closeIdle closes the idle connections to an address and returns their number.
// Writes are disabled first, so a request that takes one of them meanwhile fails
// without sending anything.
func (t *connTable) closeIdle(addr string) int {
	t.mu.Lock()
	var idle []*trackedConn
	for c := range t.conns[addr] {
		c.mu.Lock()
		if c.idle {
			c.writesDisabled = true
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
