package edge

import (
	"errors"
	"net"
	"net/http"
	"os"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
)

// closeReason states why the connection of a caller is closed without a complete
// response. The values are fields of request lines; the metrics are in
// closeMetrics.
type closeReason string

const (
	closeCallerLeft closeReason = "the caller has left"
	// closeCallerConnected means that the context of the request has ended although
	// the connection shows neither an end nor an error.
	closeCallerConnected closeReason = "the request context ended, the caller is connected"
	closeTruncated       closeReason = "the response was interrupted after its start"
	closeHostStopped     closeReason = "the host stops"
	// closeCallerStalled means that a write to a connected caller has reached its limit.
	closeCallerStalled closeReason = "the caller reads nothing"
)

// closeMetrics holds the counter of each reason.
var closeMetrics = map[closeReason]string{
	closeCallerLeft:      "edge.closed.caller_left",
	closeCallerConnected: "edge.closed.caller_connected",
	closeTruncated:       "edge.closed.truncated",
	closeHostStopped:     "edge.closed.host_stopped",
	closeCallerStalled:   "edge.closed.caller_stalled",
}

// abort closes the connection of the caller, so that a truncated response does not
// look complete, and records the reason. It does not return.
func (x *proxiedRequest) abort(reason closeReason) {
	if reason == closeCallerLeft && x.in.Disconnected != nil && !x.in.Disconnected() {
		reason = closeCallerConnected
	}
	x.recordClose(reason)
	panic(http.ErrAbortHandler)
}

func (x *proxiedRequest) recordClose(reason closeReason) {
	x.closeReason = reason
	metrics.GetOrRegisterCounter(closeMetrics[reason], x.s.metrics.registry).Inc(1)
}

// recordWriteError records that a response could not be written although the caller has not
// left: it reads nothing, or this host has closed the connection at the end of a stop.
// net/http closes the connection in the first case.
func (x *proxiedRequest) recordWriteError(err error) {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		x.recordClose(closeCallerStalled)
	case errors.Is(err, net.ErrClosed):
		x.recordClose(closeHostStopped)
	}
}

// RecordCut records what is open when the host stops.
func (s *Server) RecordCut(connections int) {
	s.log.WithFields(logrus.Fields{"connections": connections, "requests": s.openRequests.Load(), "streams": s.openStreams.Load()}).Warn("open connections closed at the end of the grace period")
}
