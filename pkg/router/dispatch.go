package router

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"jackdawtrack.example/jackdawtrack/pkg/pool"
	"jackdawtrack.example/jackdawtrack/pkg/proxy"
	"jackdawtrack.example/jackdawtrack/pkg/quarantine"
	"jackdawtrack.example/jackdawtrack/pkg/release"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// maxAttempts is the maximum number of asks for one request.
const maxAttempts = 3

// runAdmitted runs an admitted request and answers the caller. A keyed request
// is recorded in control before and after it runs.
func (r *Router) runAdmitted(q *request) {
	q.decision.Pool = q.poolName
	q.suspects = suspectsOf(q)
	q.decision.Fingerprint = quarantine.FormatSuspect(q.suspects[len(q.suspects)-1])
	record, done := r.beginKeyed(q)
	if done {
		return
	}
	sink := newCallerSink(q.w, r.writeTimeout(q), record != nil)
	report, err := r.runAttempts(q, sink)
	if record != nil {
		if q.isTakeUp() && report.IsStream {
			sink.stored, sink.truncated = nil, true // the rest is not the whole answer
		}
		r.recordOutcome(record, sink, report, err)
	}
	r.finishResponse(q, sink, report, err)
}

// finishResponse ends the response to the caller and records the result. If an
// error follows the header of the response, a stream ends with an error event,
// and for any other response the connection is closed.
func (r *Router) finishResponse(q *request, sink *callerSink, report proxy.Report, err *result.Error) {
	if err == nil {
		err = sink.flushRest()
	}
	r.countOutcome(report, err)
	r.recordDecision(q, err)
	r.recordBurn(time.Now(), q, report, err)
	switch {
	case err == nil:
	case !report.HeadWritten:
		writeError(q.w, err)
	case report.IsStream && err.Code != result.CallerLeft:
		_, _ = sink.Write(proxy.ErrorEvent(err, report.PartialEvent))
	default:
		r.abort(q, report, err)
	}
}

// runAttempts acquires a grant and forwards the request, and repeats both while
// a retry is allowed. The error covers all attempts: it states that the request
// has not run only if no attempt can have run it.
func (r *Router) runAttempts(q *request, sink *callerSink) (proxy.Report, *result.Error) {
	if err := r.refuseQuarantined(q); err != nil {
		return proxy.Report{}, err
	}
	r.budget.request()
	shard := r.shardOf(q.poolName)
	var avoid []string
	var lastReport proxy.Report
	var lastErr *result.Error
	for n := 1; ; n++ {
		attempt := Attempt{Owner: r.ownerName(shard)}
		askedAt := time.Now()
		ctx, release := r.sendingContext(q)
		grant, refusal := r.acquireGrant(ctx, shard, q.newAsk(r.self, avoid))
		release()
		waited := time.Since(askedAt)
		r.counters.waitTime.Update(waited)
		attempt.WaitMS = milliseconds(waited)
		if refusal != nil {
			attempt.Result = refusal.Error()
			q.decision.Attempts = append(q.decision.Attempts, attempt)
			r.recordRefusal(q.poolName, refusal)
			if lastErr != nil {
				return lastReport, lastErr
			}
			return lastReport, r.explainNoServer(refusal)
		}
		r.countGranted(q)
		err := r.refuseLate(q)
		if err == nil {
			err = r.refuseTakeUp(q) // versions can have become known while it waited
		}
		if err == nil {
			err = r.beginAttempt(q)
		}
		if err != nil {
			r.settle(shard, pool.Settle{GrantID: grant.GrantID, Epoch: grant.Epoch, Outcome: pool.OutcomeUnused})
			attempt.Server, attempt.Result = grant.Server, err.Error()
			q.decision.Attempts = append(q.decision.Attempts, attempt)
			return lastReport, combineErrors(lastErr, err)
		}
		mayRetry := q.class.MayRunTwice && n < maxAttempts
		lastReport = r.dispatch(q, sink, shard, grant, mayRetry)
		lastErr = combineErrors(lastErr, lastReport.Err)
		q.decision.Attempts = append(q.decision.Attempts, completeAttempt(attempt, grant, lastReport))
		avoid = append(avoid, grant.Server)
		if lastReport.Err == nil || !mayRetry || r.suspectedAgain(q, lastReport.Lost) || !r.shouldRetry(q, lastReport, avoid) {
			return lastReport, lastErr
		}
		r.counters.retries.Inc(1)
	}
}

// combineErrors combines the errors of two attempts. A later attempt that did
// not run does not hide that an earlier attempt may have run.
func combineErrors(earlier, later *result.Error) *result.Error {
	if earlier == nil || later == nil {
		return later
	}
	if later.Code.Executed() == result.ExecutedNo && earlier.Code.Executed() != result.ExecutedNo {
		return earlier
	}
	return later
}

// dispatch sends the request to the server of a grant and settles the grant. A
// request of a class that may not run twice is dispatched only once.
func (r *Router) dispatch(q *request, sink *callerSink, shard pool.ShardID, g pool.Grant, holdServerError bool) proxy.Report {
	q.dispatchedAt = time.Now()
	monitor := &answerMonitor{Sink: sink, r: r, q: q}
	versions := r.versionsAt(q.poolName, g)
	report := r.transport.Forward(q.context(), &proxy.Request{
		ID:        q.id,
		Address:   g.Address,
		Method:    q.req.Method,
		Path:      q.serverPath,
		Header:    proxy.ForwardedHeader(q.req.Header),
		Body:      q.body,
		Class:     q.class,
		Kind:      q.kind,
		Abilities: g.Abilities,
		TakesUp:   q.isTakeUp(),
		Versions: func(stated release.ID) release.Versions {
			r.servers.noteRelease(time.Now(), q.poolName, stated)
			return r.confirmedVersions(q, versions)
		},
		ObserveHead: func(h proxy.Head) { r.observeHead(shard, g, h) },
		MaySendAgain: func(ctx context.Context, wait bool) bool {
			return r.maySendAgain(ctx, q, shard, g, wait)
		},
		PromptTokens:         uint64(q.chat.PromptUnits),
		InterceptServerError: holdServerError,
	}, monitor)
	r.observeAttempt(q, g, monitor, report)
	r.settle(shard, pool.Settle{
		GrantID:       g.GrantID,
		Epoch:         g.Epoch,
		Outcome:       report.Outcome,
		CostUnits:     report.CostUnits,
		FirstToken:    report.FirstToken,
		TokenInterval: report.TokenInterval,
	})
	if report.FirstToken > 0 {
		r.counters.firstToken.Update(report.FirstToken)
	}
	r.counters.resumes.Inc(int64(report.ResumeCount))
	if report.Err != nil && report.Err.Code == result.ReleaseChanged {
		if q.isTakeUp() && !report.HeadWritten {
			r.counters.takeUpsRefused.Inc(1)
		} else {
			r.counters.resumesRefused.Inc(1)
		}
		r.log.WithFields(logrus.Fields{"request": q.id, "server": g.Server, "boot_id": g.BootID}).Warnf("stream not resumed: %v", report.Err)
	}
	return report
}

// shouldRetry reports whether a failed attempt is retried. If the pool has no
// other ready server, the caller receives the error at once instead of waiting
// for one.
func (r *Router) shouldRetry(q *request, report proxy.Report, tried []string) bool {
	if report.HeadWritten || q.context().Err() != nil || r.recentlyRefused(q.poolName) {
		return false
	}
	if q.isTakeUp() && report.Err.Code == result.ReleaseChanged {
		return false // what the answer stated holds for the other servers too
	}
	return r.servers.hasOtherReadyServer(q.poolName, tried) && r.budget.tryWithdraw()
}

// recordRefusal stops retries in a pool for retryPauseAfterRefusal.
func (r *Router) recordRefusal(poolName string, e *result.Error) {
	if e.Code == result.CallerLeftWaiting {
		return
	}
	r.lastRefusalMu.Lock()
	defer r.lastRefusalMu.Unlock()
	r.lastRefusalAt[poolName] = time.Now()
}

func (r *Router) recentlyRefused(poolName string) bool {
	r.lastRefusalMu.Lock()
	defer r.lastRefusalMu.Unlock()
	refusedAt, ok := r.lastRefusalAt[poolName]
	return ok && time.Since(refusedAt) < retryPauseAfterRefusal
}

// explainNoServer replaces NoServer by DataCentreOut if operators took the data
// centre out of service.
func (r *Router) explainNoServer(e *result.Error) *result.Error {
	if e.Code == result.NoServer && r.dataCentreOut(r.self.DataCentre) {
		return result.New(result.DataCentreOut, "data centre %s is out of service and no other data centre accepted the request", r.self.DataCentre).WithRetryAfter(e.RetryAfter)
	}
	return e
}

// completeAttempt returns the attempt with the result of its dispatch.
func completeAttempt(a Attempt, g pool.Grant, report proxy.Report) Attempt {
	a.Server = g.Server
	a.Sent = report.Sent
	a.Status = report.Status
	a.FirstTokenMS = milliseconds(report.FirstToken)
	a.Bytes = report.BytesWritten
	a.Resumes = report.ResumeCount
	a.CostUnits = report.CostUnits
	a.Result = result.OK.String()
	if report.Err != nil {
		a.Result = report.Err.Error()
	}
	return a
}

// countOutcome increments the metric for the result of a request.
func (r *Router) countOutcome(report proxy.Report, err *result.Error) {
	switch {
	case err == nil:
		r.counters.whole.Inc(1)
	case err.Code == result.CallerLeft || err.Code == result.CallerLeftWaiting:
		r.counters.cancelled.Inc(1)
	case err.Code.Executed() == result.ExecutedNo:
		r.counters.refused.Inc(1)
	default:
		r.counters.broken.Inc(1)
	}
}

// recordDecision adds the result to the decision and stores it. The decision
// must not be modified afterwards.
func (r *Router) recordDecision(q *request, e *result.Error) {
	d := q.decision
	code, explanation := result.OK, "The caller received the whole answer."
	if e != nil {
		code, explanation = e.Code, e.Error()
	}
	entry, _ := result.Lookup(code)
	d.Code = uint32(code)
	d.Result = entry.Name
	d.Executed = string(code.Executed())
	d.Explanation = explanation
	d.TotalMS = milliseconds(time.Since(q.arrivedAt))
	r.countStep(q, requestEnd(q, e))
	r.decisionLog.add(d)
}
