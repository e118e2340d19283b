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
	// beginTimeout bounds the wait for control before a keyed request is
	// refused. An election takes 1.5 to 3 s.
	beginTimeout = 4 * time.Second
	recordRetry  = 500 * time.Millisecond
	// recordPatience is how long a router tries to record the end of a keyed
	// request. Control marks the record unknown when the session of the router
	// ends.
	recordPatience = 10 * time.Minute
	controlRetry   = 5 * time.Second // Retry-After without control
)

// fingerprint covers method, path and body, so that a reused key with another
// request is found.
func fingerprint(q *request) []byte {
	h := sha256.New()
	for _, part := range []string{q.in.Method, q.in.URL.RequestURI()} {
		_, _ = io.WriteString(h, part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(q.body)
	return h.Sum(nil)
}

// begin records a keyed request before its dispatch. done means that the
// caller has its answer. A nil record without done means an unkeyed request.
func (r *Router) begin(q *request) (record *apiv1.BeginRequest, done bool) {
	if q.key == "" {
		return nil, false
	}
	if r.records == nil {
		return nil, r.withoutControl(q, nil)
	}
	record = &apiv1.BeginRequest{
		Workspace:   q.workspace.Name,
		Key:         q.key,
		Fingerprint: fingerprint(q),
		Router:      r.self.Name,
		Incarnation: r.self.Incarnation,
		Attempt:     r.requests.Add(1),
	}
	ctx, cancel := context.WithTimeout(q.context(), beginTimeout)
	defer cancel()
	answer, err := r.records.Begin(ctx, record)
	if err != nil {
		r.abort(record)
		return nil, r.withoutControl(q, err)
	}
	return record, r.answerBegin(q, answer)
}

// withoutControl refuses a keyed request of a class that may not run twice.
// Another one runs as if it had no key.
func (r *Router) withoutControl(q *request, cause error) (done bool) {
	if q.class.MayRunTwice {
		return false
	}
	r.refuse(q, result.Wrap(result.ControlUnavailable, cause, "the key cannot be recorded").WithRetryAfter(controlRetry))
	return true
}

// answerBegin answers the caller unless the request was started.
func (r *Router) answerBegin(q *request, b *apiv1.BeginResponse) (done bool) {
	switch b.State {
	case apiv1.BeginState_BEGIN_STARTED:
		return false
	case apiv1.BeginState_BEGIN_DONE:
		r.answerStored(q, b.Answer)
	case apiv1.BeginState_BEGIN_RUNNING:
		r.refuse(q, result.New(result.StillRunning, "the request with this key is running"))
	case apiv1.BeginState_BEGIN_UNKNOWN:
		r.refuse(q, result.New(result.OutcomeUnknown, "the router that ran the request with this key was lost"))
	case apiv1.BeginState_BEGIN_CONFLICT:
		r.refuse(q, result.New(result.KeyConflict, "the key was used for another request"))
	case apiv1.BeginState_BEGIN_FULL:
		r.refuse(q, result.New(result.KeyTableFull, "the table of idempotency records is full"))
	default:
		r.refuse(q, result.New(result.ControlUnavailable, "control refused the key with code %d", b.Code).WithRetryAfter(controlRetry))
	}
	return true
}

func (r *Router) answerStored(q *request, a *apiv1.StoredAnswer) {
	if a == nil || a.Truncated {
		r.refuse(q, result.New(result.AnswerTooLarge, "the request ran; its answer was too large to store"))
		return
	}
	r.record(q, result.New(result.StoredAnswer, "the answer of the first run of this key"))
	h := q.w.Header()
	setResult(h, result.StoredAnswer)
	if a.ContentType != "" {
		h.Set("Content-Type", a.ContentType)
	}
	q.w.WriteHeader(int(a.Status))
	_, _ = q.w.Write(a.Body) // the caller may have left
}

// end records how a keyed request ended. The answer to the caller does not
// wait for it.
func (r *Router) end(record *apiv1.BeginRequest, sink *callerSink, report proxy.Report, err *result.Error) {
	if err != nil && err.Code.Executed() == result.ExecutedNo {
		r.abort(record)
		return
	}
	finish := &apiv1.FinishRequest{Begin: record, Unknown: err != nil}
	if err == nil {
		finish.Answer = &apiv1.StoredAnswer{
			Status:      int32(sink.status),
			ContentType: sink.kind,
			Body:        sink.kept,
			Truncated:   sink.truncated,
		}
	}
	r.persist("finish", func(ctx context.Context) error {
		_, err := r.records.Finish(ctx, finish)
		return err
	})
}

// abort withdraws a record whose request was never dispatched.
func (r *Router) abort(record *apiv1.BeginRequest) {
	r.persist("abort", func(ctx context.Context) error {
		_, err := r.records.Abort(ctx, &apiv1.AbortRequest{Begin: record})
		return err
	})
}

// persist repeats a call to control until it succeeds. Shutdown waits for it.
func (r *Router) persist(what string, call func(context.Context) error) {
	r.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), recordPatience)
		defer cancel()
		for {
			err := call(ctx)
			if err == nil {
				return
			}
			select {
			case <-ctx.Done():
				r.log.WithError(err).Warnf("could not record the %s of a keyed request", what)
				return
			case <-r.closing:
				r.log.WithError(err).Warnf("the %s of a keyed request is not recorded", what)
				return
			case <-time.After(recordRetry):
			}
		}
	})
}
