package proxy

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/netpeek"
)

// errResponseCut is the end of a response without a length or chunks whose connection was
// reset, or whose server has not received the whole request.
var errResponseCut = errors.New("the connection was reset before the response ended")

// endCheckInterval is how often an unfinished upload is looked at after the server has ended
// its response.
const endCheckInterval = 2 * time.Millisecond

// responseEnd judges the end of a response that has neither a length nor chunks, and so ends
// with its connection. The end of file does not show whether the connection was closed or
// reset: the kernel reports the error of a reset to one call only, which may be the write of
// the request or a look at the connection, and the read after it meets an end of file.
type responseEnd struct {
	written chan struct{} // closed when the request was written or its write has failed

	mu           sync.Mutex
	conn         *trackedConn // of the exchange, nil until there is one
	writesBefore uint64       // Write calls on conn before the exchange
	isWritten    bool         // written is closed
	writeErr     error
}

func newResponseEnd() *responseEnd { return &responseEnd{written: make(chan struct{})} }

// begin sets the connection on which the request is sent. net/http may give one up before
// anything is written and take another.
func (e *responseEnd) begin(c *trackedConn, writesBefore uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.conn, e.writesBefore = c, writesBefore
}

// wrote records that the request was written, or that its write failed after a part of it.
func (e *responseEnd) wrote(err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isWritten || err != nil && (e.conn == nil || !e.conn.hasWritten(e.writesBefore)) {
		return
	}
	e.isWritten, e.writeErr = true, err
	close(e.written)
}

func (e *responseEnd) writeError() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.writeErr
}

// check returns io.EOF if the response is whole: the server has closed its side in order and
// received the whole request. It waits for a server that still reads, until the connection
// is closed. Where the system does not tell the state of a connection, only a failed write
// shows that the response is cut.
func (e *responseEnd) check(c *trackedConn) error {
	select {
	case <-e.written:
	case <-c.closed:
		return net.ErrClosed
	}
	if e.writeError() != nil {
		return errResponseCut
	}
	for {
		state, err := netpeek.Transfer(c.Conn)
		switch {
		case err != nil:
			return io.EOF
		case state.Reset:
			return errResponseCut
		case !state.Unacknowledged:
			return io.EOF
		}
		select {
		case <-c.closed:
			return net.ErrClosed
		case <-time.After(endCheckInterval):
		}
	}
}
