package callers

import (
	"bytes"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/netpeek"
)

// callerConn is the connection of a caller. It embeds a TCP connection, so net/http
// finds CloseWrite, with which it closes without a reset.
type callerConn struct {
	*net.TCPConn

	mu             sync.Mutex
	deadline       time.Time // read deadline that net/http has set
	bufferSize     int       // of the read buffer of net/http
	bufferEnd      *byte     // last byte of that buffer
	idle           bool
	deadlines      int    // read deadlines set since the connection became idle
	begun          bool   // bytes of the next request have arrived
	early          bool   // net/http has read a byte of the next request while a request runs
	closing        bool   // the wait for a request was ended
	extended       bool   // the time for the head of the next request was extended
	announced      bool   // the caller was told that the connection is closed
	crossed        int    // bytes that were received after the wait for a request was ended
	read           int    // bytes of the current request that were read from the socket, and any after it
	headTail       []byte // last bytes that were read, while headEnd is 0
	headEnd        int    // of these, the bytes of its head, 0 if that is not known
	pipelined      bool   // the caller has sent a request before it had the response to the last one
	nextHead       bool   // bytes after the head look like the head of a further request
	headOrBodyEnds bool   // the last bytes that were read may end a head or a body in chunks
	dropping       bool   // what arrives is dropped, because the end of the last body is not known
	dropped        int    // bytes that were dropped

	writeLimit      time.Duration // how long a blocked write may make no progress, 0 for no limit
	writeDeadline   time.Time     // that another package has set, zero for none
	writeExtendedAt time.Time     // when the own write deadline was set
	writingSince    time.Time     // start of the write in progress, zero if there is none

	// resetOnClose is set while a response to a caller with HTTP/1.0 is in progress: it has
	// no chunks, so the end of the connection is that of the response.
	resetOnClose bool

	openedAt   time.Time
	lastActive time.Time // when bytes were last read or written
	requestID  string    // of the last request, see SetRequestID
	sent       int       // bytes written since a handler was given that request

	state     http.ConnState // that net/http has reported last
	encrypted bool           // TLS is spoken on it
	tls       *tls.Conn      // that speaks HTTP/1.1, after its first request; nil otherwise
	handled   bool           // a handler has the current request
	requests  int            // that a handler was given, including the current one
	returned  bool           // the handler of the current request has returned
	tlsEnds   bool           // TLS says that the connection is closed
	unwritten bool           // the rest of its response could not be written after that
	refused   bool           // net/http has refused the head of the current request
	readErr   error          // of the last read of the current request
	unread    int            // bytes that nobody had read when the connection was closed
}

// firstBytesTime bounds the time to the fourth byte of a request that arrives when the idle
// timeout ends, and to the end of a head of which bytes are unread when the head timeout
// ends. It covers a lost packet.
const firstBytesTime = time.Second

// endOfHead separates the head of a request from its body.
var endOfHead = []byte("\r\n\r\n")

// versionOfHead ends the first line of the head of a request.
var versionOfHead = []byte(" HTTP/1.")

// Read implements net.Conn. A request that arrives when the wait for it ends is read. If
// none arrives, or its head is not complete in time, the caller is told before net/http
// closes the connection.
func (c *callerConn) Read(p []byte) (int, error) {
	c.beforeRead(p)
	if c.dropsRest() {
		return 0, io.EOF
	}
	n, err := c.TCPConn.Read(p)
	for c.isCloseCheck(p) && errors.Is(err, os.ErrDeadlineExceeded) && c.endBodyDeadline() {
		n, err = c.TCPConn.Read(p)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && c.awaitsHead() {
		c.endIdleTime()
		if c.continueWait() || c.continueHead() {
			n, err = c.TCPConn.Read(p)
		} else {
			c.announceClose()
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readErr = err
	if n > 0 {
		c.lastActive = time.Now()
		c.early = c.isCloseCheck(p)
		c.markRead(p[:n])
		c.markBegun()
	}
	return n, err
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.mu.Lock()
	reset := c.resetOnClose
	c.mu.Unlock()
	if reset {
		_ = c.TCPConn.SetLinger(0) // fails on a closed connection only
	} else {
		c.dropUnread()
	}
	return c.TCPConn.Close()
}

// dropUnread drops the bytes that nobody has read. The kernel would reset the connection on
// their account, and drop what it holds of a response for a caller that reads slowly.
func (c *callerConn) dropUnread() {
	dropped, _ := netpeek.Drop(c.TCPConn) // fails on a closed connection only
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unread += dropped
}

func (c *callerConn) setResetOnClose(reset bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resetOnClose = reset
}

// markRead counts the bytes of a request. The caller must hold mu.
func (c *callerConn) markRead(p []byte) {
	if c.early {
		c.pipelined = true
		return
	}
	rest := p
	if c.headEnd == 0 { // its end may arrive in parts
		head, known := p, len(c.headTail)
		if known > 0 {
			head = append(c.headTail, p...)
		}
		if i := bytes.Index(head, endOfHead); i >= 0 {
			c.headEnd = c.read - known + i + len(endOfHead)
			rest = head[i+len(endOfHead):]
			c.headTail = nil
		} else {
			c.headTail = bytes.Clone(head[max(len(head)-len(endOfHead)+1, 0):])
		}
	}
	c.nextHead = c.nextHead || c.headEnd > 0 && bytes.Contains(rest, versionOfHead)
	c.headOrBodyEnds = bytes.HasSuffix(p, endOfHead)
	c.read += len(p)
}

// dropsRest reports whether no request may be read from the connection any more.
func (c *callerConn) dropsRest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dropping
}

// endBodyDeadline removes the deadline of a body from the read that waits for the caller to
// close, which net/http begins at the end of the body: when that read fails, all requests
// on the connection count as abandoned. It reports false if net/http itself
// ends the read, or no handler has a request.
func (c *callerConn) endBodyDeadline() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.handled || c.deadline.Equal(pastDeadline) {
		return false
	}
	c.deadline = time.Time{}
	return c.TCPConn.SetReadDeadline(time.Time{}) == nil
}

// hasPipelined reports whether the caller sends requests before it has the response to
// the last one, as far as that is known. The body of the current request, which was read,
// has that many bytes, -1 if it came in chunks.
func (c *callerConn) hasPipelined(bodyBytes int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.read == 0, c.headEnd > 0 && bodyBytes >= 0 && int64(c.read-c.headEnd) > bodyBytes:
		c.pipelined = true
	case bodyBytes < 0 && (c.nextHead || !c.headOrBodyEnds):
		return true // perhaps; its requests are answered in any case
	}
	if !c.pipelined {
		state, err := netpeek.Peek(c.TCPConn)
		c.pipelined = err == nil && state.UnreadData
	}
	return c.pipelined
}

// beforeRead detects bytes of the next request that were read with the request before:
// then net/http reads into the rest of its buffer.
func (c *callerConn) beforeRead(p []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	size := len(p)
	if c.bufferSize == 0 && size > 0 {
		c.bufferSize, c.bufferEnd = size, &p[size-1]
	}
	if c.idle && !c.encrypted && size < c.bufferSize { // TLS reads parts of any size
		c.markBegun()
	}
}

// isCloseCheck reports whether p is the buffer of the check for a closed connection, which has
// one byte. A read into the last byte of the read buffer of net/http is none. Only the reader
// of the connection may call it.
func (c *callerConn) isCloseCheck(p []byte) bool { return len(p) == 1 && &p[0] != c.bufferEnd }

// markBegun records that a request has begun to arrive. The caller must hold mu.
func (c *callerConn) markBegun() {
	c.begun = true
	if c.closing {
		c.closing = false
		_ = c.TCPConn.SetReadDeadline(c.deadline) // fails on a closed connection only
	}
}

// awaitsHead reports whether net/http reads the head of a request, so that it closes the
// connection without a word when a read ends at its deadline. On a TLS connection a notice
// would be no part of the protocol during the handshake, or with HTTP/2.
func (c *callerConn) awaitsHead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return (!c.encrypted || c.tls != nil) && (c.state == http.StateNew || c.state == http.StateIdle)
}

// canBeTold reports whether the notice of a close can be sent on the connection.
func (c *callerConn) canBeTold() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.encrypted || c.tls != nil
}

// endIdleTime records that the wait for a request was ended by a timeout of net/http, if one
// has ended while no part of a request had arrived.
func (c *callerConn) endIdleTime() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.begun && !c.closing {
		c.closing = true
		c.deadline = time.Now().Add(firstBytesTime) // net/http sets another one after four bytes
	}
}

// continueWait reports whether unread bytes have arrived although the wait for a
// request was ended.
func (c *callerConn) continueWait() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	state, err := netpeek.Peek(c.TCPConn)
	if !c.closing || err != nil || !state.UnreadData {
		return false
	}
	c.markBegun()
	return true
}

// continueHead reports whether bytes of a head that has begun to arrive are unread at its
// deadline: a host that stands still reads a head late that was sent in time. The head gets
// firstBytesTime, once, so that a caller cannot hold the connection by single bytes.
func (c *callerConn) continueHead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	state, err := netpeek.Peek(c.TCPConn)
	if !c.begun || c.extended || err != nil || !state.UnreadData {
		return false
	}
	c.extended = true
	return c.TCPConn.SetReadDeadline(time.Now().Add(firstBytesTime)) == nil
}

// SetReadDeadline implements net.Conn. net/http sets the deadline of an idle connection,
// and another one when it has four bytes of the next request.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.deadlines++; c.idle && c.deadlines > 1 {
		c.markBegun()
	}
	if c.closing {
		return nil
	}
	return c.TCPConn.SetReadDeadline(t)
}

// setIdle records whether net/http waits for a request.
func (c *callerConn) setIdle(idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle, c.deadlines, c.extended = idle, 0, false
	if idle {
		c.read, c.headEnd, c.headTail, c.nextHead = 0, 0, nil, false
		if c.early {
			c.read = 1
		}
	}
	c.begun, c.early = idle && c.early, false
}

// isUnused reports whether nothing has arrived on the connection and the wait for its first
// request goes on.
func (c *callerConn) isUnused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state == http.StateNew && !c.begun && !c.closing
}

// endWait ends the wait for a request, after which net/http closes the connection. It
// reports false if a request has begun to arrive.
func (c *callerConn) endWait() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.begun || c.closing {
		return !c.begun // the notice has a deadline of its own
	}
	c.closing = true
	_ = c.TCPConn.SetReadDeadline(pastDeadline) // fails on a closed connection only
	return true
}
