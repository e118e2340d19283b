package edge

import (
	"context"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/dispatch"
)

// retryDecision returns the first decision on another server for a request that failed at
// the server named failed. If the request is queued, the channel receives its final
// decision; otherwise the channel is nil. If the failed attempt may have been sent, the
// retry is charged to the retry budget.
func (s *Server) retryDecision(r *dispatch.Request, failed string, mayHaveBeenSent bool) (dispatch.Decision, chan dispatch.Decision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if mayHaveBeenSent && !s.retryBudget.spend(r.Service) {
		return dispatch.Decision{Action: dispatch.Refuse, Reason: reasonRetryBudget, RetryAfter: budgetRetryAfter}, nil
	}
	v := s.dispatcher.Retry(time.Now(), r, failed)
	if v.Action != dispatch.Wait {
		return v, nil
	}
	return v, s.awaitPoll(r)
}

// awaitRetry returns the decision on another server for a request that failed at the server
// named failed. It waits as awaitDecision does if the request is queued, and returns the
// charge to the retry budget if it is not sent then.
func (x *proxiedRequest) awaitRetry(failed string, mayHaveBeenSent bool) (dispatch.Decision, error) {
	v, waiting := x.s.retryDecision(x.dispatchReq, failed, mayHaveBeenSent)
	if waiting == nil {
		return v, nil
	}
	x.recordStreamStep("queued")
	v, err := x.awaitQueued(v, waiting)
	if err == nil && v.Action == dispatch.Send && x.headSent && !x.mayGoOn() { // its release has come into doubt meanwhile
		x.s.recordOutcome(x.dispatchReq, dispatch.NotSent)
		v = dispatch.Decision{Action: dispatch.Refuse, Reason: reasonRelease}
	}
	if mayHaveBeenSent && (err != nil || v.Action != dispatch.Send) {
		x.s.refundRetry(x.dispatchReq.Service)
	}
	return v, err
}

// awaitQueued waits for the decision on a queued request, until the deadline, until the
// caller leaves or until the host stops. A response that has begun ends with the last step
// of the stop, as it does at a server. v is the decision to queue the request.
func (x *proxiedRequest) awaitQueued(v dispatch.Decision, waiting chan dispatch.Decision) (dispatch.Decision, error) {
	timer := time.NewTimer(time.Until(x.deadline))
	defer timer.Stop()
	sending, release := x.s.SendingContext(x.in)
	defer release()
	late, stop := sending.Done(), x.s.stopping.answer.Done()
	if x.headSent {
		late, stop = nil, x.s.stopping.cut.Done()
	}
	var err error
	select {
	case v = <-waiting:
		return v, nil
	case <-x.callerCtx.Done():
		err = context.Canceled
	case <-timer.C:
		err = errDeadlinePassed
	case <-late:
		err = errHostStopping
	case <-stop:
		err = errHostStopping
	}
	if v, ok := x.s.cancelWaiting(x.dispatchReq, waiting); ok {
		if v.Action == dispatch.Send {
			x.s.recordOutcome(x.dispatchReq, dispatch.NotSent)
		}
	}
	return v, err
}
