// Package callers tracks the connections of callers to an edge host: how many
// are open, which are idle, and whether a caller has closed its connection.
package callers

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"jackdawtrack.example/jackdawtrack/pkg/logging"
	"jackdawtrack.example/jackdawtrack/pkg/netpeek"
)

const (
	// maxFileShare is the part of the file limit that connections of callers may
	// use. Each request needs another connection to its server.
	maxFileShare = 0.25
	// connsPerMegabyte bounds connections by the memory of the host: one uses
	// about 40 KB with its request, and all may use a quarter of the memory.
	connsPerMegabyte = 6
	// overLimitIdle is the idle time after which connections are closed while
	// too many are open. It is not shorter because the next request may
	// already be on its way on a connection that was just used.
	overLimitIdle = 2 * time.Second
	// idleCheckInterval is the interval of the check for idle connections.
	idleCheckInterval = time.Second
	// DrainIdle is the idle time after which connections are closed while the host
	// stops. A response that began before the stop could not announce the close, and
	// callers often use its connection again at once. They are told with the next
	// response then.
	DrainIdle = time.Second
	// drainCheckInterval replaces idleCheckInterval while the host stops, and
	// closeCheckInterval in the last part of the grace period, of a few hundred ms.
	drainCheckInterval = 100 * time.Millisecond
	closeCheckInterval = 50 * time.Millisecond
	// unusedTime is how long a stop waits at least for the first request on a connection: a
	// round trip to a distant caller.
	unusedTime = 100 * time.Millisecond
)

// pastDeadline is a read deadline that ends a blocked read at once.
var pastDeadline = time.Unix(1, 0)

// connContextKey is the context key of the connection of a request.
type connContextKey struct{}

// ConnTracker tracks the open connections of callers. OnStateChange and
// ContextWithConn are the hooks ConnState and ConnContext of an http.Server.
// ConnTracker is safe for concurrent use.
type ConnTracker struct {
	log     *logrus.Entry
	closes  *closeRecorder
	maxOpen int // open connections above which OverLimit reports true, 0 for no bound
	// sendMemory bounds the bytes that GrowSendBuffers adds to the buffers of the kernel.
	sendMemory int

	mu         sync.Mutex // guards the fields below; not held during system calls on sockets
	listener   *listener
	writeLimit time.Duration // see LimitWrites
	open       map[net.Conn]bool
	idle       map[net.Conn]time.Time // start of the idle time
	// closing holds idle connections on which closeIfIdle has ended the wait
	// for a request. A request that was read before that is still served.
	closing map[net.Conn]bool
}

// NewConnTracker returns a ConnTracker for a host with this file limit and this
// memory in MB, each 0 if unknown. It counts in registry why connections end that no
// handler has seen.
func NewConnTracker(files int, memoryMB int64, registry metrics.Registry) *ConnTracker {
	maxOpen := int(maxFileShare * float64(files))
	if memoryMB > 0 {
		maxOpen = min(maxOpen, connsPerMegabyte*int(memoryMB))
	}
	sendMemory := defaultSendMemory
	if memoryMB > 0 {
		sendMemory = int(sendBufferShare * float64(memoryMB<<20))
	}
	log := logging.ForComponent("callers")
	return &ConnTracker{log: log, closes: newCloseRecorder(log, registry), maxOpen: maxOpen, sendMemory: sendMemory, open: map[net.Conn]bool{}, idle: map[net.Conn]time.Time{}, closing: map[net.Conn]bool{}}
}

// OnStateChange counts open connections and records which are idle since when.
// It is the ConnState hook of an http.Server.
func (s *ConnTracker) OnStateChange(c net.Conn, state http.ConnState) {
	if tracked, ok := transport(c).(*callerConn); ok {
		tracked.setTLS(c, state)
		if reason, bytes := tracked.observe(state, isTLS(c)); reason != "" {
			defer s.closes.record(tracked, reason, bytes) // after mu is released
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.idle, c)
	if tracked, ok := transport(c).(*callerConn); ok {
		tracked.setIdle(state == http.StateIdle)
	}
	switch state {
	case http.StateNew:
		s.open[c] = true
	case http.StateActive:
		if s.closing[c] {
			delete(s.closing, c)
			_ = c.SetReadDeadline(time.Time{}) // fails on a closed connection only
		}
	case http.StateIdle:
		s.idle[c] = time.Now()
	case http.StateClosed, http.StateHijacked:
		delete(s.open, c)
		delete(s.closing, c)
	}
}

// ContextWithConn adds the connection to the context of its requests, for
// Disconnected. It is the ConnContext hook of an http.Server.
func (s *ConnTracker) ContextWithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey{}, c)
}

// OverLimit reports whether too many connections are open. Without a bound a
// flood of short connections uses up the file limit, and then no caller is
// answered, nor the health checks of the balancer.
func (s *ConnTracker) OverLimit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.maxOpen > 0 && len(s.open) > s.maxOpen
}

// Drain closes idle connections until no connection has been open for the quiet
// time or ctx ends. Requests that still arrive are answered.
func (s *ConnTracker) Drain(ctx context.Context, quiet time.Duration) {
	ticker := time.NewTicker(drainCheckInterval)
	defer ticker.Stop()
	empty := time.Now()
	for time.Since(empty) < quiet {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		s.closeIdle(DrainIdle)
		s.closeUnused(DrainIdle)
		if s.OpenCount() > 0 {
			empty = time.Now()
		}
	}
}

// WaitClosed closes connections that are idle for longer than limit, until none is open
// or ctx ends, and returns the error of ctx then, unless the callers of all open ones
// were told that they are closed. Shutdown of an http.Server instead
// closes connections on which a part of a request has arrived, and drops requests that
// it reads later.
func (s *ConnTracker) WaitClosed(ctx context.Context, limit time.Duration) error {
	ticker := time.NewTicker(closeCheckInterval)
	defer ticker.Stop()
	for s.closeIdle(limit); s.OpenCount() > 0; s.closeIdle(limit) {
		s.closeUnused(limit)
		select {
		case <-ctx.Done():
			if s.CutCount() == 0 {
				return nil
			}
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// OpenCount returns the number of open connections.
func (s *ConnTracker) OpenCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// CutCount returns the number of open connections whose callers were not told that they
// are closed.
func (s *ConnTracker) CutCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for c := range s.open {
		if tracked, ok := transport(c).(*callerConn); !ok || !tracked.isAnnounced() {
			count++
		}
	}
	return count
}

// CloseIdleUntil closes connections that are idle for longer than limit
// returns, once per idleCheckInterval, until stop is closed.
func (s *ConnTracker) CloseIdleUntil(stop <-chan struct{}, limit func() time.Duration) {
	ticker := time.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			s.closeIdle(limit())
		}
	}
}

// closeIdle closes connections that are idle for longer than limit, or than
// overLimitIdle while too many are open. It peeks at the sockets without holding
// the lock, because OnStateChange needs the lock when a request arrives.
func (s *ConnTracker) closeIdle(limit time.Duration) {
	closed, begun, unread, failed := 0, 0, 0, 0
	var cause error
	candidates, limit := s.idleConns(limit)
	for _, c := range candidates {
		peeked, err := netpeek.Peek(transport(c))
		switch {
		case err != nil:
			failed, cause = failed+1, err
		case peeked.UnreadData:
			unread++
		case s.closeIfIdle(c):
			closed++
		default:
			begun++
		}
	}
	if len(candidates) > 0 {
		s.log.WithFields(logrus.Fields{"closed": closed, "begun": begun, "unread": unread, "failed": failed, "error": cause, "limit_ms": limit.Milliseconds()}).Info("checked idle connections")
	}
}

// closeUnused closes connections on which nothing has arrived for longer than limit, at
// least unusedTime, since they were opened.
func (s *ConnTracker) closeUnused(limit time.Duration) {
	closed := 0
	for _, c := range s.unusedConns(max(limit, unusedTime)) {
		if peeked, err := netpeek.Peek(c.TCPConn); err == nil && !peeked.UnreadData && c.endWait() {
			closed++
		}
	}
	if closed > 0 {
		s.log.WithField("closed", closed).Info("closed unused connections")
	}
}

// unusedConns returns the connections without TLS that have waited for their first request
// for longer than limit.
func (s *ConnTracker) unusedConns(limit time.Duration) []*callerConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*callerConn
	for c := range s.open {
		if tracked, ok := c.(*callerConn); ok && time.Since(tracked.openedAt) > limit && tracked.isUnused() {
			out = append(out, tracked)
		}
	}
	return out
}

// transport returns the TCP connection below a TLS connection, and any other connection
// as it is.
func transport(c net.Conn) net.Conn {
	if t, ok := c.(*tls.Conn); ok {
		return t.NetConn()
	}
	return c
}

// idleConns returns the connections that are idle for longer than the limit that
// applies, and that limit: overLimitIdle while too many are open.
func (s *ConnTracker) idleConns(limit time.Duration) ([]net.Conn, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.maxOpen > 0 && len(s.open) > s.maxOpen {
		limit = overLimitIdle
	}
	var out []net.Conn
	for c, since := range s.idle {
		if time.Since(since) > limit {
			out = append(out, c)
		}
	}
	return out, limit
}

// closeIfIdle ends the wait for a request on the connection, after which the
// server closes it, unless a request has arrived. It reports whether it did.
func (s *ConnTracker) closeIfIdle(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, idle := s.idle[c]; !idle {
		return false
	}
	if tracked, ok := transport(c).(*callerConn); ok && tracked.canBeTold() {
		if tracked.endWait() {
			delete(s.idle, c)
			return true
		}
		return false
	}
	if encrypted, ok := c.(*tls.Conn); ok && encrypted.ConnectionState().NegotiatedProtocol == "h2" {
		return s.goAway(encrypted)
	}
	delete(s.idle, c)
	s.closing[c] = true
	_ = c.SetReadDeadline(pastDeadline) // fails on a closed connection only
	return true
}

// goAway tells the caller of an idle connection with HTTP/2 to send no more requests on it,
// and ends the wait for one after noticeTime, unless one has arrived. A response may still
// be in the buffers of net/http just after its end, so it reports false for a connection that
// became idle less than unusedTime ago. The caller must hold mu.
func (s *ConnTracker) goAway(c *tls.Conn) bool {
	if time.Since(s.idle[c]) < unusedTime {
		return false
	}
	delete(s.idle, c)
	s.closing[c] = true
	go func() {
		_, _ = c.Write([]byte(goAwayFrame)) // fails on a closed connection only
		time.AfterFunc(noticeTime, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.closing[c] {
				_ = c.SetReadDeadline(pastDeadline) // as above
			}
		})
	}()
	return true
}

// Pipelined reports whether the caller of the request with this context sends requests
// before it has the response to the last one. A response that closes the connection would
// leave them without an answer. The body of the request, which must have been read, has that
// many bytes, -1 if it came in chunks.
func Pipelined(ctx context.Context, bodyBytes int64) bool {
	c, ok := ctx.Value(connContextKey{}).(*callerConn)
	return ok && c.hasPipelined(bodyBytes)
}

// RequestNumber returns the number of the request with this context on its connection,
// from 1, and 0 if it is not known. A later one than the first came on a kept connection.
func RequestNumber(ctx context.Context) int {
	c, _ := ctx.Value(connContextKey{}).(net.Conn)
	tracked, ok := transport(c).(*callerConn)
	if !ok {
		return 0
	}
	tracked.mu.Lock()
	defer tracked.mu.Unlock()
	return tracked.requests
}

// Disconnected reports whether the caller has closed the connection of the
// request with this context. A busy host can read a request after its caller
// has left.
func Disconnected(ctx context.Context) bool {
	c, ok := ctx.Value(connContextKey{}).(net.Conn)
	if !ok {
		return false
	}
	p, err := netpeek.Peek(c)
	return err != nil || p.PeerClosed // an error means that the connection is closed
}

// SinceReceived returns the time since the last bytes of the request with this context arrived
// at the machine, and false if the system does not tell that. They may have waited for a
// handler.
func SinceReceived(ctx context.Context) (time.Duration, bool) {
	c, ok := ctx.Value(connContextKey{}).(net.Conn)
	if !ok {
		return 0, false
	}
	since, err := netpeek.SinceReceived(c)
	return since, err == nil
}
