package router

import (
	"context"
	"crypto/sha256"
	"io"
	"time"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/proxy"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

const (
	// beginTimeout limits the wait for control. After it a keyed request is
	// refused if it may not run twice. An election of control takes 1.5 to 3 s.
	beginTimeout        = 4 * time.Second
	recordRetryInterval = 500 * time.Millisecond
	// recordTimeout limits the attempts to record the end of a keyed request.
	// If the session of the router ends, control marks the record as unknown.
	recordTimeout     = 10 * time.Minute
	controlRetryAfter = 5 * time.Second // Retry-After if control cannot be reached
)

// fingerprint returns a hash of method, path and body. Control uses it to
// detect a key that is reused for a different request.
func fingerprint(q *request) []byte {
	h := sha256.New()
	for _, part := range []string{q.req.Method, q.req.URL.RequestURI()} {
		_, _ = io.WriteString(h, part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(q.body)
	return h.Sum(nil)
}

// beginKeyed records a keyed request in control before it is dispatched. done
// means that the caller has been answered. If record is nil and done is false,
// the request runs without a record.
func (r *Router) beginKeyed(q *request) (record *apiv1.BeginRequest, done bool) {
	if q.idempotencyKey == "" {
		return nil, false
	}
	if r.records == nil {
		return nil, r.handleControlUnavailable(q, nil)
	}
	record = &apiv1.BeginRequest{
		Workspace:   q.workspace.Name,
		Key:         q.idempotencyKey,
		Fingerprint: fingerprint(q),
		Router:      r.self.Name,
		Incarnation: r.self.Incarnation,
		Attempt:     r.requestSequence.Add(1),
	}
	ctx, cancel := context.WithTimeout(q.context(), beginTimeout)
	defer cancel()
	resp, repeated, err := r.records.Begin(ctx, record)
	if err != nil {
		r.abortRecord(record)
		return nil, r.handleControlUnavailable(q, err)
	}
	if repeated && resp.State != apiv1.BeginState_BEGIN_STARTED {
		// An earlier call can arrive late and make this attempt the owner of a
		// record that it would never finish.
		r.abortRecord(record)
	}
	return record, r.answerUnlessStarted(q, resp)
}

// handleControlUnavailable refuses a keyed request of a class that may not run
// twice. A request of another class runs as if it had no key.
func (r *Router) handleControlUnavailable(q *request, cause error) (done bool) {
	if q.class.MayRunTwice {
		return false
	}
	r.refuse(q, result.Wrap(result.ControlUnavailable, cause, "the idempotency key cannot be recorded").WithRetryAfter(controlRetryAfter))
	return true
}

// answerUnlessStarted answers the caller, unless control has recorded the
// request as started by this router.
func (r *Router) answerUnlessStarted(q *request, resp *apiv1.BeginResponse) (done bool) {
	switch resp.State {
	case apiv1.BeginState_BEGIN_STARTED:
		return false
	case apiv1.BeginState_BEGIN_DONE:
		r.writeStoredAnswer(q, resp.Answer)
	case apiv1.BeginState_BEGIN_RUNNING:
		r.refuse(q, result.New(result.StillRunning, "a request with this key is still running"))
	case apiv1.BeginState_BEGIN_UNKNOWN:
		r.refuse(q, result.New(result.OutcomeUnknown, "the router that ran the request with this key was lost before the result was recorded"))
	case apiv1.BeginState_BEGIN_CONFLICT:
		r.refuse(q, result.New(result.KeyConflict, "the key was used for a different request"))
	case apiv1.BeginState_BEGIN_FULL:
		r.refuse(q, result.New(result.KeyTableFull, "the table of idempotency records is full"))
	default:
		r.refuse(q, result.New(result.ControlUnavailable, "control refused the key with code %d", resp.Code).WithRetryAfter(controlRetryAfter))
	}
	return true
}

func (r *Router) writeStoredAnswer(q *request, a *apiv1.StoredAnswer) {
	if a == nil || a.Truncated {
		r.refuse(q, result.New(result.AnswerTooLarge, "the request has run, but its answer was too large to store"))
		return
	}
	r.recordDecision(q, result.New(result.StoredAnswer, "the stored answer of the first request with this key"))
	h := q.w.Header()
	setResultHeaders(h, result.StoredAnswer)
	if a.ContentType != "" {
		h.Set("Content-Type", a.ContentType)
	}
	q.w.WriteHeader(int(a.Status))
	_, _ = q.w.Write(a.Body) // fails only if the caller has disconnected
}

// recordOutcome records the end of a keyed request in control, in the
// background. The answer to the caller does not wait for it.
func (r *Router) recordOutcome(record *apiv1.BeginRequest, sink *callerSink, report proxy.Report, err *result.Error) {
	if err != nil && err.Code.Executed() == result.ExecutedNo {
		r.abortRecord(record)
		return
	}
	finish := &apiv1.FinishRequest{Begin: record, Unknown: err != nil}
	if err == nil {
		finish.Answer = &apiv1.StoredAnswer{
			Status:      int32(sink.status),
			ContentType: sink.contentType,
			Body:        sink.stored,
			Truncated:   sink.truncated,
		}
	}
	r.retryUntilRecorded("finish", func(ctx context.Context) error {
		_, err := r.records.Finish(ctx, finish)
		return err
	})
}

// abortRecord removes the record of a request that was never dispatched, in the
// background.
func (r *Router) abortRecord(record *apiv1.BeginRequest) {
	r.retryUntilRecorded("abort", func(ctx context.Context) error {
		_, err := r.records.Abort(ctx, &apiv1.AbortRequest{Begin: record})
		return err
	})
}

// retryUntilRecorded repeats a call to control in the background until it
// succeeds or recordTimeout has passed. A graceful shutdown waits for it.
func (r *Router) retryUntilRecorded(step string, call func(context.Context) error) {
	r.recordWrites.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
		defer cancel()
		for {
			err := call(ctx)
			if err == nil {
				return
			}
			select {
			case <-ctx.Done():
				r.log.WithError(err).Warnf("the %s of a keyed request could not be recorded in time", step)
				return
			case <-r.closing:
				r.log.WithError(err).Warnf("the %s of a keyed request was not recorded before shutdown", step)
				return
			case <-time.After(recordRetryInterval):
			}
		}
	})
}
