package edge

import (
	"context"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/dispatch"
	"jackdawtrack.example/jackdawtrack/pkg/routing"
)

// RefuseLate refuses requests that were not sent to a server and may not end before
// answerAt, when AnswerOpen is called.
func (s *Server) RefuseLate(answerAt time.Time) {
	s.answerAt.Store(&answerAt)
	s.stopping.endSending()
}

// SendingContext returns a context that ends when a request that was not sent to a
// server is refused because of a planned stop. The caller must call release.
func (s *Server) SendingContext(in *Request) (ctx context.Context, release func()) {
	ctx, cancel := context.WithCancel(context.Background())
	stop := context.AfterFunc(s.stopping.sending, func() {
		timer := time.NewTimer(time.Until(in.latestStart(*s.answerAt.Load())))
		defer timer.Stop()
		select {
		case <-ctx.Done():
		case <-timer.C:
			cancel()
		}
	})
	return ctx, func() {
		stop()
		cancel()
	}
}

// isTooLate reports whether the request may not be sent to a server any more because of
// a planned stop.
func (s *Server) isTooLate(in *Request) bool {
	answerAt := s.answerAt.Load()
	return answerAt != nil && !time.Now().Before(in.latestStart(*answerAt))
}

// latestStart returns until when the request may be sent to a server to be answered at
// end. A request that may not be repeated is not cut: it must have its deadline by then.
func (in *Request) latestStart(end time.Time) time.Time {
	switch {
	case !in.Deadline().After(end):
		return end
	case in.dest.route.RetryPolicy == routing.AtMostOnce:
		return time.Time{}
	}
	return end.Add(-in.expectedDuration())
}

// expectedDuration returns how long a server may take for the whole response.
func (in *Request) expectedDuration() time.Duration {
	route := in.dest.route
	answer := silenceLimitBeforeBegin(in.objective())
	switch {
	case !route.Stream:
		return answer
	case in.Prompt == nil:
		return in.timeout()
	}
	return answer + time.Duration(expectedOutputTokens(in.Prompt))*eventPause(route)
}

// dropLate refuses a request that got a server too late in a planned stop, and returns
// the server's place. A stream that has begun cannot be refused, so it goes on.
func (x *proxiedRequest) dropLate() bool {
	if x.replacement != nil || x.headSent || !x.s.isTooLate(x.in) {
		return false
	}
	x.s.recordOutcome(x.dispatchReq, dispatch.NotSent)
	if x.mayHaveRun {
		x.respondFailed(attemptResult{outcome: dispatch.NotSent, err: errHostStopping})
		return true
	}
	x.respondError(errStoppingUnsent)
	return true
}
