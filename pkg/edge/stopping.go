package edge

import (
	"context"
	"errors"

	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// errHostStopping cancels an attempt at the end of the grace period of a planned stop.
var errHostStopping = errors.New("this host is stopping")

// errStoppingUnsent is the response to a request that was not sent before the end of
// the grace period.
var errStoppingUnsent = result.New(result.ShuttingDown, "this host stops before the request could be sent").WithRetryAfter(failedDispatchRetryAfter)

// stopping holds the steps of a planned stop, each a context that ends with its step.
type stopping struct {
	sending, answer, cut          context.Context
	endSending, endAnswer, endCut context.CancelFunc
}

func newStopping() stopping {
	var s stopping
	s.sending, s.endSending = context.WithCancel(context.Background())
	s.answer, s.endAnswer = context.WithCancel(context.Background())
	s.cut, s.endCut = context.WithCancel(context.Background())
	return s
}

// AnswerOpen answers all requests whose response has not begun: those that were not
// sent with status 503, those at a server with status 502. It is called shortly before
// the process ends.
func (s *Server) AnswerOpen() { s.stopping.endAnswer() }

// CutOpen aborts all responses that have begun.
func (s *Server) CutOpen() { s.stopping.endCut() }

// Open returns the number of requests in progress, and of streams among them that are
// being forwarded.
func (s *Server) Open() (requests, streams int64) {
	return s.openRequests.Load(), s.openStreams.Load()
}

// endWithHost cancels the exchange with the steps of a planned stop until release is
// called.
func (x *proxiedRequest) endWithHost(e *serverExchange, h *hedge) (release func()) {
	answer := context.AfterFunc(x.s.stopping.answer, func() {
		if !h.hasBegun() {
			e.cancel(errHostStopping)
		}
	})
	cut := context.AfterFunc(x.s.stopping.cut, func() { e.cancel(errHostStopping) })
	return func() {
		answer()
		cut()
	}
}
