package proxy

import (
	"sync"

	"jackdawtrack.example/jackdawtrack/pkg/netpeek"
)

// UnreadMonitor detects bytes of a response that have arrived but that the
// reader has not read yet. On a busy host such bytes can wait for hundreds of
// milliseconds. The zero value is ready to use. It is safe for concurrent use.
type UnreadMonitor struct {
	mu        sync.Mutex
	conn      *trackedConn
	bytesRead int64 // bytes received on conn that the reader has read
}

// attach sets the connection of the exchange. Bytes received on it before do not
// count as unread.
func (a *UnreadMonitor) attach(c *trackedConn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn, a.bytesRead = c, c.bytesReceived.Load()
}

// MarkRead records that the reader has read all bytes received so far.
func (a *UnreadMonitor) MarkRead() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn != nil {
		a.bytesRead = a.conn.bytesReceived.Load()
	}
}

// HasUnread reports whether bytes have arrived since the last MarkRead,
// including bytes that still wait in the socket buffer.
func (a *UnreadMonitor) HasUnread() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn == nil {
		return false
	}
	if a.conn.bytesReceived.Load() > a.bytesRead {
		return true
	}
	state, err := netpeek.Peek(a.conn.Conn)
	return err == nil && state.UnreadData // a closed connection returns an error
}
