package callers

import (
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
)

const (
	// recordLogRate and recordLogBurst bound the log lines on closed connections.
	recordLogRate  = 5 // lines per second
	recordLogBurst = 50

	acceptErrorMetric = "callers.accept_errors"
	filterErrorMetric = "callers.filter_errors"
	panicMetric       = "callers.panics"
)

// closeReason states why a connection ended although no handler has seen its last
// request.
type closeReason string

const (
	// closeUnused means that nothing was received on the connection.
	closeUnused closeReason = "unused"
	// closeHeadTimeout means that the head was incomplete when its time was over.
	closeHeadTimeout closeReason = "head_timeout"
	// closeHeadAbandoned means that the caller has left before the head was complete.
	closeHeadAbandoned closeReason = "head_abandoned"
	// closeHeadInvalid means that net/http has refused the head with an error status.
	closeHeadInvalid closeReason = "head_invalid"
	// closeCrossed means that bytes arrived after the wait for a request was ended. The
	// caller was told that nothing has run.
	closeCrossed closeReason = "crossed"
	// closeHandshake means that a TLS connection ended before its first request.
	closeHandshake closeReason = "handshake"
	// closeHostStopped means that the process has closed the connection because it stops.
	closeHostStopped closeReason = "host_stopped"
	// closeBodyRefused means that bytes arrived after a refusal whose response closes the
	// connection, because the body of the request had not ended: the rest of the body, and
	// whatever the caller has sent after it.
	closeBodyRefused closeReason = "body_refused"
	// closeUnread means that bytes were unread when the connection was closed, of a further
	// request. Its caller was told so with the response before it, or the process has ended.
	closeUnread closeReason = "unread"
	// closeUnwritten means that a handler has returned, and the end of its response could not
	// be written: net/http writes what it holds, and the last chunk, only then.
	closeUnwritten closeReason = "unwritten"
)

// closeMetric returns the counter of a reason.
func closeMetric(reason closeReason) string { return "callers.closed." + string(reason) }

// closeRecorder counts and logs connections that end without a handler.
type closeRecorder struct {
	log        *logrus.Entry
	registry   metrics.Registry
	logLimiter *rate.Limiter
	unlogged   atomic.Int64
	ending     atomic.Bool // the process closes what is open
}

func newCloseRecorder(log *logrus.Entry, registry metrics.Registry) *closeRecorder {
	return &closeRecorder{log: log, registry: registry, logLimiter: rate.NewLimiter(recordLogRate, recordLogBurst)}
}

// Handler returns a handler that tells the tracker which requests were handed over, and
// which responses are in progress that only the end of the connection ends. It counts and
// logs panics of next, except http.ErrAbortHandler. It must be around the handler of the
// http.Server.
func (s *ConnTracker) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(connContextKey{}).(net.Conn)
		tracked, ok := transport(c).(*callerConn)
		if ok {
			tracked.setHandled()
		}
		defer s.closes.recordPanic(w, r)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		tracked.setResetOnClose(!r.ProtoAtLeast(1, 1))
		next.ServeHTTP(w, r)
		tracked.setResetOnClose(false) // not after a panic, which interrupts the response
		if r.ProtoMajor == 1 {         // HTTP/2 has several requests at once
			tracked.setReturned()
		}
	})
}

// recordPanic is deferred around a handler. net/http closes the connection, and logs a panic
// together with much that is of no interest.
func (r *closeRecorder) recordPanic(w http.ResponseWriter, req *http.Request) {
	cause := recover()
	if cause == nil {
		return
	}
	if req.ProtoMajor == 1 { // net/http reads the rest of the body before it closes the connection
		_ = http.NewResponseController(w).SetReadDeadline(pastDeadline) // fails on a closed connection only
	}
	if cause != http.ErrAbortHandler {
		metrics.GetOrRegisterCounter(panicMetric, r.registry).Inc(1)
		r.log.WithFields(logrus.Fields{"method": req.Method, "path": req.URL.Path, "caller": req.RemoteAddr, "cause": cause, "stack": string(debug.Stack())}).Error("handler panicked, its connection is closed")
	}
	panic(http.ErrAbortHandler)
}

// End records that the process closes all connections from now on.
func (s *ConnTracker) End() { s.closes.ending.Store(true) }

// record counts and logs the end of a connection, if no handler has seen its last
// request. Lines are rate limited.
func (r *closeRecorder) record(c *callerConn, reason closeReason, bytes int) {
	if r.ending.Load() && reason == closeHeadInvalid {
		reason = closeHostStopped // an http.Server that is closed drops what it reads
	}
	metrics.GetOrRegisterCounter(closeMetric(reason), r.registry).Inc(1)
	if !r.logLimiter.Allow() {
		r.unlogged.Add(1)
		return
	}
	r.log.WithFields(logrus.Fields{
		"reason": string(reason), "caller": c.RemoteAddr().String(), "bytes": bytes,
		"age_ms": time.Since(c.openedAt).Milliseconds(), "unlogged": r.unlogged.Swap(0),
	}).Info("connection ended without a handled request")
}

// recordAcceptError counts and logs that a connection could not be accepted.
func (r *closeRecorder) recordAcceptError(err error) {
	metrics.GetOrRegisterCounter(acceptErrorMetric, r.registry).Inc(1)
	if r.logLimiter.Allow() {
		r.log.WithError(err).Warn("connection could not be accepted")
		return
	}
	r.unlogged.Add(1)
}

// recordFilterError counts and logs that a listener that stops still takes new connections.
func (r *closeRecorder) recordFilterError(err error) {
	metrics.GetOrRegisterCounter(filterErrorMetric, r.registry).Inc(1)
	r.log.WithError(err).Warn("listener still takes new connections, some may be reset at the stop")
}

// setHandled records that a handler has the current request.
func (c *callerConn) setHandled() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handled = true
	c.requests++
	c.requestID, c.sent = "", 0
	c.returned = false
}

// setReturned records that the handler of the current request has returned.
func (c *callerConn) setReturned() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.returned = true
}

// recordWriteError records that a response could not be written, if its handler does not
// know.
func (c *callerConn) recordWriteError() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unwritten = c.unwritten || c.returned && !c.tlsEnds
}

// observe follows the state that net/http reports. For the end of the connection it
// returns the reason to record, empty if a handler has answered the last request.
func (c *callerConn) observe(state http.ConnState, isTLS bool) (reason closeReason, bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := c.state
	c.state, c.encrypted = state, isTLS
	switch state {
	case http.StateIdle:
		c.handled, c.returned, c.readErr = false, false, nil // net/http ends reads beside a handler with a deadline
	case http.StateClosed:
		return c.reasonOfEnd(last, isTLS), c.read + c.crossed + c.dropped + c.unread
	}
	return "", 0
}

// reasonOfEnd returns why the connection ended. The caller must hold mu.
func (c *callerConn) reasonOfEnd(last http.ConnState, isTLS bool) closeReason {
	// On a TLS connection bytes also arrive without a request.
	received := last == http.StateActive || !isTLS && (c.read > 0 || c.begun)
	switch {
	case c.unwritten:
		return closeUnwritten
	case c.crossed > 0:
		return closeCrossed
	case c.dropped > 0:
		return closeBodyRefused
	case c.unread > 0 && !isTLS && (c.handled || !received): // a caller with TLS may have sent the end of it
		return closeUnread
	case c.handled, last == http.StateIdle && !received:
		return ""
	case c.refused:
		return closeHeadInvalid
	case errors.Is(c.readErr, net.ErrClosed):
		return closeHostStopped
	case last == http.StateNew && isTLS:
		return closeHandshake
	case !received:
		return closeUnused
	case errors.Is(c.readErr, os.ErrDeadlineExceeded):
		return closeHeadTimeout
	case errors.Is(c.readErr, io.EOF), errors.Is(c.readErr, syscall.ECONNRESET):
		return closeHeadAbandoned
	}
	return closeHeadInvalid
}

// isTLS reports whether the connection is encrypted.
func isTLS(c net.Conn) bool {
	_, ok := c.(*tls.Conn)
	return ok
}
