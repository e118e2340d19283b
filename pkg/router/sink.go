package router

import (
	"net/http"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/result"
)

const (
	// storedAnswerBytes is the largest answer of a keyed request that control
	// stores.
	storedAnswerBytes = 64 << 10
	// deadlineStep bounds how often the write deadline is moved.
	deadlineStep = time.Second
)

// callerSink writes an answer to the caller. A caller that takes no byte for
// the write timeout is given up, which bounds the time that it holds a slot.
type callerSink struct {
	w       http.ResponseWriter
	control *http.ResponseController
	timeout time.Duration
	moved   time.Time // when the write deadline was last moved

	keep      bool // keep the answer for control
	kept      []byte
	truncated bool
	status    int
	kind      string // content type
	left      int64  // bytes to the end of an answer with a length, -1 without
}

func newCallerSink(w http.ResponseWriter, timeout time.Duration, keep bool) *callerSink {
	return &callerSink{w: w, control: http.NewResponseController(w), timeout: timeout, keep: keep, left: -1}
}

// Start implements proxy.Sink.
func (s *callerSink) Start(status int, header http.Header) error {
	h := s.w.Header()
	for name, values := range header {
		h[name] = values
	}
	code := result.OK
	if status >= http.StatusInternalServerError {
		code = result.ServerError
	}
	setResult(h, code)
	s.status = status
	s.kind = header.Get("Content-Type")
	s.left = contentLength(header)
	s.moveDeadline()
	s.w.WriteHeader(status)
	return nil
}

// Write implements proxy.Sink. The last piece of an answer with a length is
// flushed by the end of the handler, in the same packet as its headers if the
// answer is short.
func (s *callerSink) Write(p []byte) (int, error) {
	s.moveDeadline()
	n, err := s.w.Write(p)
	if err != nil {
		return n, err
	}
	s.store(p)
	if s.left >= 0 {
		s.left -= int64(n)
		if s.left <= 0 {
			return n, nil
		}
	}
	return n, s.control.Flush()
}

func (s *callerSink) moveDeadline() {
	now := time.Now()
	if now.Sub(s.moved) < deadlineStep {
		return
	}
	s.moved = now
	// Writers without deadlines are test recorders.
	_ = s.control.SetWriteDeadline(now.Add(s.timeout + deadlineStep))
}

func (s *callerSink) store(p []byte) {
	if !s.keep || s.truncated {
		return
	}
	if len(s.kept)+len(p) > storedAnswerBytes {
		s.truncated = true
		s.kept = nil
		return
	}
	s.kept = append(s.kept, p...)
}
