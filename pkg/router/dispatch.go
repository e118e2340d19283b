package router

import (
	"net/http"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/pool"
	"jackdawtrack.example/jackdawtrack/pkg/proxy"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// maxAttempts bounds the asks of one request.
const maxAttempts = 3

// process runs an admitted request, with its record in control if it is keyed.
func (r *Router) process(q *request) {
	q.decision.Pool = q.pool
	record, done := r.begin(q)
	if done {
		return
	}
	sink := newCallerSink(q.w, r.cfg.Limits.WriteTimeout.Std(), record != nil)
	report, err := r.run(q, sink)
	if record != nil {
		r.end(record, sink, report, err)
	}
	r.answer(q, sink, report, err)
}

// answer ends the answer to the caller. After an error that follows the head
// of an answer it makes the break visible: a stream ends with an error event,
// a plain answer with a broken connection.
func (r *Router) answer(q *request, sink *callerSink, report proxy.Report, err *result.Error) {
	r.count(report, err)
	r.record(q, err)
	r.recordBurn(time.Now(), q, report, err)
	switch {
	case err == nil:
	case !report.Started:
		writeError(q.w, err)
	case report.Stream && err.Code != result.CallerLeft:
		_, _ = sink.Write(proxy.ErrorEvent(err, report.MidEvent))
	default:
		panic(http.ErrAbortHandler)
	}
}

// run asks for a slot and forwards the request until it is answered or given
// up. The error states truthfully what all attempts together can have done.
func (r *Router) run(q *request, sink *callerSink) (proxy.Report, *result.Error) {
	r.budget.request()
	shard := r.shardOf(q.pool)
	var avoid []string
	var last proxy.Report
	var lastErr *result.Error
	for n := 1; ; n++ {
		attempt := Attempt{Owner: r.ownerName(shard)}
		asked := time.Now()
		grant, refusal := r.askFor(q.context(), shard, q.ask(r.self, avoid))
		waited := time.Since(asked)
		r.counters.waitTime.Update(waited)
		attempt.WaitMS = milliseconds(waited)
		if refusal != nil {
			attempt.Result = refusal.Error()
			q.decision.Attempts = append(q.decision.Attempts, attempt)
			r.noteRefusal(q.pool, refusal)
			if lastErr != nil {
				return last, lastErr
			}
			return last, r.outRefusal(refusal)
		}
		mayRepeat := q.class.MayRunTwice && n < maxAttempts
		last = r.dispatch(q, sink, shard, grant, mayRepeat)
		lastErr = worse(lastErr, last.Err)
		q.decision.Attempts = append(q.decision.Attempts, finished(attempt, grant, last))
		avoid = append(avoid, grant.Server)
		if last.Err == nil || !mayRepeat || !r.repeat(q, last, avoid) {
			return last, lastErr
		}
		r.counters.retries.Inc(1)
	}
}

// worse combines the results of two attempts: a later "not run" does not take
// back that an earlier attempt may have run.
func worse(earlier, later *result.Error) *result.Error {
	if earlier == nil || later == nil {
		return later
	}
	if later.Code.Executed() == result.ExecutedNo && earlier.Code.Executed() != result.ExecutedNo {
		return earlier
	}
	return later
}

// dispatch sends the request to the server of a grant and settles the grant.
// A request of a class that may not run twice comes here once.
func (r *Router) dispatch(q *request, sink *callerSink, shard pool.ShardID, g pool.Grant, hold bool) proxy.Report {
	q.dispatched = time.Now()
	report := r.transport.Forward(q.context(), &proxy.Request{
		ID:              q.id,
		Address:         g.Address,
		Method:          q.in.Method,
		Path:            q.path,
		Header:          proxy.ForwardHeader(q.in.Header),
		Body:            q.body,
		Class:           q.class,
		Kind:            q.kind,
		Abilities:       g.Abilities,
		PromptTokens:    uint64(q.chat.PromptUnits),
		HoldServerError: hold,
	}, sink)
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
	r.counters.resumes.Inc(int64(report.Resumes))
	return report
}

// repeat decides whether a failed attempt is followed by another one. Without
// another server the caller gets the final answer at once instead of a wait.
func (r *Router) repeat(q *request, report proxy.Report, tried []string) bool {
	if report.Started || q.context().Err() != nil || r.recentlyRefused(q.pool) {
		return false
	}
	return r.servers.another(q.pool, tried) && r.budget.take()
}

func (r *Router) noteRefusal(name string, e *result.Error) {
	if e.Code == result.CallerLeftWaiting {
		return
	}
	r.refusedMu.Lock()
	defer r.refusedMu.Unlock()
	r.refused[name] = time.Now()
}

func (r *Router) recentlyRefused(name string) bool {
	r.refusedMu.Lock()
	defer r.refusedMu.Unlock()
	at, ok := r.refused[name]
	return ok && time.Since(at) < refusalPause
}

// outRefusal names the reason when the pool has no server because operators
// took the data centre out.
func (r *Router) outRefusal(e *result.Error) *result.Error {
	if e.Code == result.NoServer && r.dataCentreOut(r.self.DataCentre) {
		return result.New(result.DataCentreOut, "data centre %s is out and no other one took the request", r.self.DataCentre).WithRetryAfter(e.RetryAfter)
	}
	return e
}

func finished(a Attempt, g pool.Grant, report proxy.Report) Attempt {
	a.Server = g.Server
	a.Sent = report.Sent
	a.Status = report.Status
	a.FirstTokenMS = milliseconds(report.FirstToken)
	a.Bytes = report.Bytes
	a.Resumes = report.Resumes
	a.CostUnits = report.CostUnits
	a.Result = result.OK.String()
	if report.Err != nil {
		a.Result = report.Err.Error()
	}
	return a
}

func (r *Router) count(report proxy.Report, err *result.Error) {
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

// record stores the decision. It must not change afterwards.
func (r *Router) record(q *request, e *result.Error) {
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
	d.TotalMS = milliseconds(time.Since(q.arrived))
	r.ring.add(d)
}
