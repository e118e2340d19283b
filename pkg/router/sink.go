package router

import (
	"errors"
	"net/http"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/callers"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

const (
	// maxStoredAnswerBytes is the size of the largest answer to a keyed request
	// that is stored in control.
	maxStoredAnswerBytes = 64 << 10
	// deadlineUpdateInterval limits how often the write deadline is extended.
	deadlineUpdateInterval = time.Second
)

// callerSink writes a response to the caller. A write that takes longer than the
// write timeout fails, which limits the time that a slow caller holds a slot.
type callerSink struct {
	w             http.ResponseWriter
	controller    *http.ResponseController
	timeout       time.Duration // 0 if the connection limits its writes
	deadlineSetAt time.Time     // when the write deadline was last set

	storeAnswer    bool // collect the answer for control
	stored         []byte
	truncated      bool
	status         int
	contentType    string
	remainingBytes int64 // bytes to the end of the response, -1 if the length is not known
}

func newCallerSink(w http.ResponseWriter, timeout time.Duration, storeAnswer bool) *callerSink {
	return &callerSink{w: w, controller: http.NewResponseController(w), timeout: timeout, storeAnswer: storeAnswer, remainingBytes: -1}
}

// writeTimeout returns the timeout of one write of the response. With HTTP/1 the connection
// limits its writes by progress. With HTTP/2 a caller can take bytes of other responses only.
func (r *Router) writeTimeout(q *request) time.Duration {
	if q.req.ProtoMajor == 1 && callers.WritesLimited(q.req.Context()) {
		return 0
	}
	return r.cfg.Limits.WriteTimeout.AsDuration()
}

// WriteHead implements proxy.Sink.
func (s *callerSink) WriteHead(status int, header http.Header) error {
	h := s.w.Header()
	for name, values := range header {
		h[name] = values
	}
	code := result.OK
	if status >= http.StatusInternalServerError {
		code = result.ServerError
	}
	setResultHeaders(h, code)
	s.status = status
	s.contentType = header.Get("Content-Type")
	s.remainingBytes = contentLength(header)
	s.extendDeadline()
	s.w.WriteHeader(status)
	return nil
}

// Write implements proxy.Sink. The last write of a response of known length is
// not flushed: flushRest sends it once the server has its place back and the result of a
// keyed request is recorded.
func (s *callerSink) Write(p []byte) (int, error) {
	s.extendDeadline()
	n, err := s.w.Write(p)
	if err != nil {
		return n, err
	}
	s.appendStored(p)
	if s.remainingBytes >= 0 {
		s.remainingBytes -= int64(n)
		if s.remainingBytes <= 0 {
			return n, nil
		}
	}
	return n, s.controller.Flush()
}

// flushRest sends what Write has left to the end of the handler, which reports no error. It
// returns CallerLeft if that fails.
func (s *callerSink) flushRest() *result.Error {
	s.extendDeadline()
	if err := s.controller.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return result.Wrap(result.CallerLeft, err, "writing the response to the caller failed")
	}
	return nil
}

// extendDeadline sets the write deadline for the next write.
func (s *callerSink) extendDeadline() {
	now := time.Now()
	if s.timeout == 0 || now.Sub(s.deadlineSetAt) < deadlineUpdateInterval {
		return
	}
	s.deadlineSetAt = now
	// Fails only for response recorders in tests, which have no deadlines.
	_ = s.controller.SetWriteDeadline(now.Add(s.timeout + deadlineUpdateInterval))
}

// appendStored collects the answer, and discards it if it becomes too large.
func (s *callerSink) appendStored(p []byte) {
	if !s.storeAnswer || s.truncated {
		return
	}
	if len(s.stored)+len(p) > maxStoredAnswerBytes {
		s.truncated = true
		s.stored = nil
		return
	}
	s.stored = append(s.stored, p...)
}
