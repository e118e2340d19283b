package proxy

import (
	"sync"

	"jackdawtrack.example/jackdawtrack/pkg/netpeek"
)

// Arrival tells whether bytes of an answer have come that its reader has not
// got yet. On a busy host that takes hundreds of milliseconds. The zero value
// is ready to use.
type Arrival struct {
	mu   sync.Mutex
	conn *trackedConn
	mark int64 // bytes of the connection that count as got
}

// begin is called when the exchange has its connection.
func (a *Arrival) begin(c *trackedConn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn, a.mark = c, c.got.Load()
}

// Mark notes that the reader has got what came.
func (a *Arrival) Mark() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn != nil {
		a.mark = a.conn.got.Load()
	}
}

// Came reports whether bytes have come since the last Mark.
func (a *Arrival) Came() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn == nil {
		return false
	}
	if a.conn.got.Load() > a.mark {
		return true
	}
	waiting, err := netpeek.Peek(a.conn.Conn)
	return err == nil && waiting.Unread // an error means that the connection is closed
}
