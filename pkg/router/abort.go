package router

import (
	"crypto/tls"
	"net"
	"net/http"
	"runtime/debug"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"jackdawtrack.example/jackdawtrack/pkg/proxy"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

const (
	// abortLogRate and abortLogBurst bound the log lines on aborted responses.
	abortLogRate  = 5 // lines per second
	abortLogBurst = 50

	abortedMetric = "responses.aborted"
	panicMetric   = "requests.panic"
)

func newAbortLogLimiter() *rate.Limiter { return rate.NewLimiter(abortLogRate, abortLogBurst) }

// abort closes the connection of a caller whose response has begun and cannot go on, so
// that it does not look complete, and records the reason. It does not return.
func (r *Router) abort(q *request, report proxy.Report, e *result.Error) {
	metrics.GetOrRegisterCounter(abortedMetric, r.metrics).Inc(1)
	if r.abortLogLimiter.Allow() {
		r.log.WithFields(logrus.Fields{"id": q.id, "code": uint32(e.Code), "reason": e.Message, "bytes": report.BytesWritten}).Info("response aborted")
	}
	panic(http.ErrAbortHandler)
}

// resetOldCaller resets the connection of a caller with HTTP/1.0, which gets no chunks:
// the end of the connection is that of the response.
func resetOldCaller(w http.ResponseWriter, req *http.Request) {
	if req.ProtoAtLeast(1, 1) {
		return
	}
	if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
		resetConnection(conn)
	}
}

func resetConnection(conn net.Conn) {
	if t, ok := conn.(*tls.Conn); ok {
		conn = t.NetConn() // closing the TLS connection would announce an orderly end
	}
	if c, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = c.SetLinger(0) // fails on a closed connection only
	}
	_ = conn.Close()
}

// recordPanics returns a handler that counts and logs panics of next, except
// http.ErrAbortHandler. net/http closes the connection, or resetOldCaller resets it.
func (r *Router) recordPanics(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		defer func() {
			cause := recover()
			if cause == nil {
				return
			}
			if cause != http.ErrAbortHandler {
				metrics.GetOrRegisterCounter(panicMetric, r.metrics).Inc(1)
				r.log.WithFields(logrus.Fields{"id": w.Header().Get(proxy.HeaderRequestID), "cause": cause, "stack": string(debug.Stack())}).Error("request handler panicked")
			}
			resetOldCaller(w, req)
			panic(http.ErrAbortHandler)
		}()
		next.ServeHTTP(w, req)
	})
}
