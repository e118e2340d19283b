package router

import (
	"context"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/proxy"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

const (
	// lateRetryAfter is the Retry-After of a request that is refused because this router
	// stops. Another router takes the retry.
	lateRetryAfter = 300 * time.Millisecond
	// answerTargetFactor times the target of an answer is the expected time to it.
	answerTargetFactor = 2.5
)

// RefuseLate refuses requests that were not sent to a server and may not end before end.
func (r *Router) RefuseLate(end time.Time) {
	r.drainEnd.Store(&end)
	r.endSending()
}

// sendingContext returns the context of a request until it is sent to a server. It ends
// with ErrStopping when the request is refused because the router stops. The caller must
// call release.
func (r *Router) sendingContext(q *request) (ctx context.Context, release func()) {
	ctx, cancel := context.WithCancelCause(q.context())
	stop := context.AfterFunc(r.sending, func() {
		timer := time.NewTimer(time.Until(q.latestStart(*r.drainEnd.Load())))
		defer timer.Stop()
		select {
		case <-ctx.Done():
		case <-timer.C:
			cancel(proxy.ErrStopping)
		}
	})
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// refuseLate returns the refusal of a request that may not be sent to a server any more
// because the router stops, nil if it may.
func (r *Router) refuseLate(q *request) *result.Error {
	end := r.drainEnd.Load()
	if end == nil || time.Now().Before(q.latestStart(*end)) {
		return nil
	}
	return result.New(result.ShuttingDown, "the router stops before the request could end").WithRetryAfter(lateRetryAfter)
}

// latestStart returns until when the request may be sent to a server to be answered at
// end. A request that may not run twice is not cut: its longest duration must fit.
func (q *request) latestStart(end time.Time) time.Time {
	longest := q.class.MaxDuration
	if q.class.MayRunTwice && q.class.FirstToken == 0 && q.class.Answer > 0 {
		longest = min(longest, time.Duration(answerTargetFactor*float64(q.class.Answer)))
	}
	return end.Add(-longest)
}
