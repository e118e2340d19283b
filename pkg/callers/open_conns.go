package callers

import (
	"context"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"
)

const (
	// maxOpenLines bounds the lines of one RecordOpen. They are not subject to the rate limit
	// of other lines.
	maxOpenLines = 200

	openMetric = "callers.open."
)

// OpenMoment is a moment of a planned stop at which connections are open.
type OpenMoment string

const (
	// OpenAtCut is the end of the grace period, when responses in progress are cut.
	OpenAtCut OpenMoment = "cut"
	// OpenAtEnd is the end of the process, which closes what is still open.
	OpenAtEnd OpenMoment = "end"
)

// SetRequestID sets the id that RecordOpen states for the request with this context.
func SetRequestID(ctx context.Context, id string) {
	c, _ := ctx.Value(connContextKey{}).(net.Conn)
	if tracked, ok := transport(c).(*callerConn); ok {
		tracked.mu.Lock()
		defer tracked.mu.Unlock()
		tracked.requestID = id
	}
}

// RecordOpen logs and counts the connections that are open at this moment of a planned stop,
// except those whose callers were told that they are closed: first each one, the ones that
// were silent for the longest time first, then how many there are, also if there is none.
func (s *ConnTracker) RecordOpen(moment OpenMoment) {
	conns := s.openConns()
	slices.SortFunc(conns, func(a, b openConn) int { return a.lastActive.Compare(b.lastActive) })
	running, unread := 0, 0
	for i, c := range conns {
		if c.running {
			running++
		}
		if c.unread > 0 {
			unread++
		}
		if i < maxOpenLines {
			s.log.WithFields(c.fields(moment)).Warn("open connection at the end of a stop")
		}
	}
	metrics.GetOrRegisterCounter(openMetric+string(moment), s.closes.registry).Inc(int64(len(conns)))
	s.log.WithFields(logrus.Fields{
		"moment": string(moment), "connections": len(conns), "requests": running, "unread": unread, "unlogged": max(len(conns)-maxOpenLines, 0),
	}).Info("open connections at the end of a stop")
}

// openConn is what is known of an open connection.
type openConn struct {
	caller               string
	state                http.ConnState
	encrypted            bool
	running              bool // a handler has a request
	id                   string
	requests             int
	received, sent       int // bytes of the last request, and of its response
	unread, unsent       int // bytes that the kernel holds
	openedAt, lastActive time.Time
}

func (c openConn) fields(moment OpenMoment) logrus.Fields {
	f := logrus.Fields{
		"moment": string(moment), "caller": c.caller, "state": c.state.String(), "tls": c.encrypted, "request": c.running, "conn_request": c.requests,
		"received": c.received, "sent": c.sent, "unread": c.unread, "unsent": c.unsent, "age_ms": time.Since(c.openedAt).Milliseconds(), "silent_ms": time.Since(c.lastActive).Milliseconds(),
	}
	if c.id != "" {
		f["id"] = c.id
	}
	return f
}

// openConns returns the open connections whose callers were not told that they are closed.
func (s *ConnTracker) openConns() []openConn {
	s.mu.Lock()
	conns := make([]net.Conn, 0, len(s.open))
	for c := range s.open {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	var out []openConn
	for _, c := range conns {
		if tracked, ok := transport(c).(*callerConn); !ok {
			out = append(out, openConn{caller: c.RemoteAddr().String()})
		} else if !tracked.isAnnounced() {
			out = append(out, tracked.describe())
		}
	}
	return out
}

// describe returns what is known of the connection, with the id of its last request.
func (c *callerConn) describe() openConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := openConn{
		caller: c.RemoteAddr().String(), state: c.state, encrypted: c.encrypted, running: c.handled && !c.returned, id: c.requestID, requests: c.requests, received: c.read, sent: c.sent,
		openedAt: c.openedAt, lastActive: c.lastActive,
	}
	if o.lastActive.IsZero() {
		o.lastActive = o.openedAt
	}
	raw, err := c.TCPConn.SyscallConn()
	if err != nil {
		return o
	}
	_ = raw.Control(func(fd uintptr) { // fails on a closed connection only
		o.unread, _ = unix.IoctlGetInt(int(fd), unix.TIOCINQ)
		o.unsent, _ = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ)
	})
	return o
}
