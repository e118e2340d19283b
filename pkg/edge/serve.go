package edge

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"jackdawtrack.example/jackdawtrack/pkg/dispatch"
	"jackdawtrack.example/jackdawtrack/pkg/proxy"
	"jackdawtrack.example/jackdawtrack/pkg/quarantine"
	"jackdawtrack.example/jackdawtrack/pkg/release"
	"jackdawtrack.example/jackdawtrack/pkg/result"
	"jackdawtrack.example/jackdawtrack/pkg/routing"
)

const (
	// noConfigurationRetryAfter is the Retry-After of a host that has just
	// started; it receives a configuration within a few hundred ms.
	noConfigurationRetryAfter = 500 * time.Millisecond
	// noServerRetryAfter is the minimum Retry-After while no server is up: about
	// one announcement interval.
	noServerRetryAfter = time.Second
	// responseMargin is how long before the caller's timeout the final response is
	// sent, to cover the network latency to the caller.
	responseMargin = 10 * time.Millisecond
	// maxUnsentAttempts bounds the attempts that fail before any byte is sent.
	maxUnsentAttempts = 4
	// inactivityFactor times the latency objective is the inactivity timeout of a
	// request that may be executed again.
	inactivityFactor = 2.5
	// minInactivityTimeout is the lower bound of that timeout.
	minInactivityTimeout = 500 * time.Millisecond
	// stallFactor times the route's longest pause between events is the inactivity
	// timeout of a resumable stream after its first event.
	stallFactor = 4
	// defaultEventPause applies to routes that state no pause between events.
	defaultEventPause = 250 * time.Millisecond
)

// Cancellation causes of an attempt.
var (
	errServerInactive = errors.New("server inactivity timeout exceeded")
	errDeadlinePassed = errors.New("request deadline exceeded")
)

// proxiedRequest is the state of one request from admission to its final response.
type proxiedRequest struct {
	s           *Server
	w           http.ResponseWriter
	in          *Request
	route       *routing.Route
	dispatchReq *dispatch.Request
	// suspects holds the parts of the prompt that other requests may have too, and last
	// the request itself.
	suspects  []uint64
	deadline  time.Time
	callerCtx context.Context

	decision          dispatch.Decision
	slotReservation   string            // reservation id at the server of the decision, "" if none
	sentAttempts      int               // attempts that may have reached a server
	sentTo            []string          // addresses of these attempts
	wasLost           bool              // an attempt was lost with its server before its answer began; guarded by s.mu
	mayHaveRun        bool              // a server may have executed it, so no response may claim that it was not executed
	lastErrorResponse *bufferedResponse // last 5xx response, sent to the caller if no attempt succeeds
	unsentAttempts    int               // attempts that failed before any byte was sent
	queueWait         time.Duration     // from arrival to the first attempt
	timeToFirst       time.Duration     // from arrival to the first event or the complete response
	isTrial           bool              // tests whether a quarantined part still crashes servers
	beganReported     bool              // the begin of the answer cleared the parts of the prompt
	eventsBefore      int               // events forwarded by earlier attempts
	attemptStartedAt  time.Time         // of the current attempt
	firstEventAt      time.Time         // first event of the current attempt
	headSent          bool              // status and headers were sent to the caller
	status            int
	errorCode         result.Code // of the error response, result.OK if there was none
	sseParser         sseParser
	releases          []release.ID // that wrote events of the response, in order
	start             *streamStart // nil until the first event of a stream that the caller may resume
	recordedAt        time.Time    // when its record was sent last
	found             string       // state in which the release of a stream that the caller takes up was found, "" for other requests
	resumesRecord     bool         // the stream that the caller takes up is recorded
	foundAt           time.Time
	foundAge          time.Duration // from foundAt to the start of the last attempt
	releaseFuncs      []func()      // return the memory of buffered responses
	outcomes          []string
	lastError         error           // error of the last failed attempt
	retryRefusal      dispatch.Reason // why there was no server for another attempt, "" if none was asked for
	secondRefusal     dispatch.Reason // why a silent server led to no second attempt, "" if none was silent or it did
	replacement       *serverExchange // attempt that has begun to answer in place of a silent server, nil if none
	closeReason       closeReason     // "" unless the connection was closed without a complete response
}

// destination is the result of matching a request against the configuration.
type destination struct {
	configVersion uint64 // version of the matched configuration
	route         *routing.Route
	workspace     string        // "" if the route needs none
	attemptAge    time.Duration // time since the first attempt of the caller
}

// resolveDestination matches a request to its route and workspace. It fails with
// NoConfiguration, UnknownRoute or Unauthenticated.
func (s *Server) resolveDestination(in *Request) (*destination, *result.Error) {
	table := s.table.Load()
	if table == nil {
		return nil, result.New(result.NoConfiguration, "this host has not received a configuration yet").WithRetryAfter(noConfigurationRetryAfter)
	}
	route := table.Match(in.Host, in.Path)
	if route == nil {
		return nil, result.New(result.UnknownRoute, "no route matches %s%s", in.Host, in.Path)
	}
	dest := &destination{configVersion: table.Version, route: route, attemptAge: s.attemptAges.estimate(in.Arrived, route.Name, in.CallerTimeout)}
	switch workspace := table.WorkspaceByKey(in.APIKey); {
	case workspace != nil:
		dest.workspace = workspace.Name
	case table.NeedsKey(route):
		return nil, result.New(result.Unauthenticated, "unknown API key")
	}
	return dest, nil
}

// errHostBusy is the response to requests shed because the CPU of this host is
// saturated.
var errHostBusy = result.New(result.HostBusy, "the CPU of this host is saturated").WithRetryAfter(shedRetryAfter)

// Admit reports whether a request may be served. If not, it sends the error
// response. It needs only the request head, so that an overloaded host spends
// little CPU time on the requests that it sheds.
func (s *Server) Admit(w http.ResponseWriter, in *Request) bool {
	dest, err := s.resolveDestination(in)
	if err == nil {
		err = proxy.CheckTarget(in.Method, in.Target)
	}
	if err == nil {
		in.dest = dest
		err = s.shed(in)
	}
	if err != nil {
		s.Refuse(w, in.ID, err)
		return false
	}
	return true
}

// Serve handles a request that Admit has accepted. It panics with
// http.ErrAbortHandler to abort a response that cannot be completed.
func (s *Server) Serve(ctx context.Context, w http.ResponseWriter, in *Request) {
	s.openRequests.Add(1)
	defer s.openRequests.Add(-1)
	in.awaitStart(ctx)
	x := s.newProxiedRequest(ctx, w, in)
	defer x.log(in.dest.configVersion)
	defer x.releaseResponses()
	defer x.closeReplacement()
	x.run()
}

func (s *Server) newProxiedRequest(ctx context.Context, w http.ResponseWriter, in *Request) *proxiedRequest {
	route := in.dest.route
	x := &proxiedRequest{s: s, w: w, in: in, route: route, callerCtx: ctx, deadline: in.Deadline()}
	x.dispatchReq = &dispatch.Request{
		ID: in.ID, Workspace: in.dest.workspace, Service: route.ChooseService(in.ID), Arrived: in.Arrived, AgeAtArrival: in.dest.attemptAge,
		Objective: in.objective(), Deadline: x.deadline, RecordedOnly: route.Stream,
	}
	if p := in.Prompt; p != nil {
		x.dispatchReq.Parts, x.dispatchReq.PromptTokens = p.Parts, p.Tokens
		x.suspects = sharedParts(p.Parts)
		x.dispatchReq.OutputTokens = expectedOutputTokens(p)
	}
	x.suspects = append(x.suspects, quarantine.RequestSuspect(quarantine.Fingerprint(in.dest.workspace, in.Method, routing.NormalizeHost(in.Host), in.Target, in.Body)))
	return x
}

// expectedOutputTokens returns the caller's estimate, whose median is accurate,
// capped at the maximum output. Without an estimate it returns half the maximum.
func expectedOutputTokens(p *Prompt) int {
	if p.OutputTokensHint > 0 {
		return min(p.OutputTokensHint, max(p.MaxOutputTokens, 1))
	}
	return p.MaxOutputTokens / 2
}

// run dispatches the request, and retries it as the route and the retry budget
// allow, until the caller has a response or has left.
func (x *proxiedRequest) run() {
	x.recordStreamStep("arrived")
	if x.refuseQuarantined() || !x.bindRest() || x.isResumption() && !x.bindRelease() {
		return
	}
	defer x.forgetUnsentTakeUp()
	x.s.creditRetryBudget(x.dispatchReq.Service)
	v, err := x.awaitDecision()
	for err == nil {
		if v.Action == dispatch.Refuse {
			x.respondRefused(v)
			return
		}
		if x.callerLeft() {
			x.s.recordOutcome(x.dispatchReq, dispatch.NotSent)
			err = context.Canceled
			break
		}
		x.decision = v
		if x.dropLate() || x.replacement == nil && x.dropQuarantined() {
			return
		}
		if x.slotReservation = ""; v.ReserveSlot && !x.reserve(v) {
			v, err = x.awaitDecision()
			continue
		}
		if x.sentAttempts == 0 {
			x.queueWait = time.Since(x.in.Arrived)
		}
		if x.replacement == nil && !x.mayBeSent() {
			return
		}
		x.recordStreamStep("sent")
		a := x.attempt(v)
		x.outcomes = append(x.outcomes, a.outcome.String())
		if a.done {
			return
		}
		x.recordFailure(a)
		if !x.canRetry(a) || x.replacement == nil && (!x.headSent && x.s.isTooLate(x.in) || x.suspectedAgain(a)) {
			x.respondFailed(a)
			return
		}
		if x.replacement != nil {
			v = x.takeOver(x.replacement)
			continue
		}
		v, err = x.awaitRetry(v.Server, a.sent)
		if v.Action == dispatch.Refuse {
			x.retryRefusal = v.Reason
		}
		if x.mayHaveRun && (err != nil || v.Action == dispatch.Refuse) {
			if errors.Is(err, errHostStopping) {
				a.err = err
			}
			x.respondFailed(a)
			return
		}
	}
	x.respondUndispatched(err)
}

func (x *proxiedRequest) releaseResponses() {
	for _, release := range x.releaseFuncs {
		release()
	}
}

// callerLeft reports whether the caller has closed its connection. Before the
// first attempt it also inspects the connection: on a busy host the caller may
// have left before its request was read, and net/http detects that late, in
// another goroutine.
func (x *proxiedRequest) callerLeft() bool {
	if x.callerCtx.Err() != nil {
		return true
	}
	return x.sentAttempts == 0 && x.in.Disconnected != nil && x.in.Disconnected()
}

// awaitDecision submits the request to the dispatcher and waits for its
// decision, until the deadline or until the caller leaves.
func (x *proxiedRequest) awaitDecision() (dispatch.Decision, error) {
	v, waiting := x.s.requestDecision(x.dispatchReq)
	if waiting == nil {
		return v, nil
	}
	x.decision = v
	x.recordStreamStep("queued")
	return x.awaitQueued(v, waiting)
}

// respondUndispatched ends a request that got no decision in time or whose
// caller left before it was sent.
func (x *proxiedRequest) respondUndispatched(err error) {
	if errors.Is(err, context.Canceled) {
		x.outcomes = append(x.outcomes, "caller left waiting")
		x.abort(closeCallerLeft)
	}
	if errors.Is(err, errHostStopping) {
		x.respondError(errStoppingUnsent)
		return
	}
	x.respondError(result.New(result.DeadlinePassed, "the request deadline passed while the request was queued").WithRetryAfter(failedDispatchRetryAfter))
}

// failedDispatchRetryAfter is the Retry-After of a request that no server took
// before its deadline or its last allowed attempt.
const failedDispatchRetryAfter = 300 * time.Millisecond

// attemptResult is the outcome of one attempt at a server.
type attemptResult struct {
	outcome dispatch.Outcome
	done    bool // the caller has its response or has left
	sent    bool // a byte may have reached the server
	status  int
	resp    *bufferedResponse
	err     error
}

// recordFailure keeps what later error responses depend on: whether a server may
// have executed the request, its last 5xx response and the last error.
func (x *proxiedRequest) recordFailure(a attemptResult) {
	if a.sent && a.outcome != dispatch.NotExecuted && a.outcome != dispatch.Misdirected {
		x.mayHaveRun = true
	}
	if a.resp != nil {
		x.lastErrorResponse = a.resp
	}
	x.lastError = a.err
}

// canRetry counts a failed attempt and reports whether the request may be sent
// to another server.
func (x *proxiedRequest) canRetry(a attemptResult) bool {
	if time.Until(x.deadline) <= 0 || x.callerCtx.Err() != nil || errors.Is(a.err, errHostStopping) {
		return false
	}
	if x.headSent && !x.mayGoOn() {
		return false
	}
	if !a.sent {
		x.unsentAttempts++
		return x.unsentAttempts < maxUnsentAttempts
	}
	x.sentAttempts++
	if x.sentAttempts >= max(x.route.MaxAttempts, 1) {
		return false
	}
	if a.outcome == dispatch.NotExecuted || a.outcome == dispatch.Misdirected {
		return true
	}
	if x.headSent {
		return x.route.RetryPolicy == routing.Resumable && x.sseParser.lastID != ""
	}
	return x.route.RetryPolicy != routing.AtMostOnce
}

// respondRefused sends the error response to a request that the dispatcher refused.
func (x *proxiedRequest) respondRefused(v dispatch.Decision) {
	x.decision = v
	code := result.TargetUnreachable
	switch v.Reason {
	case dispatch.ReasonOverShare:
		code = result.RateLimited
	case dispatch.ReasonNoServer, dispatch.ReasonNotRecorded:
		code = result.NoServer
	case dispatch.ReasonQueueFull:
		code = result.QueueFull
	case dispatch.ReasonReleaseGone:
		code = result.ReleaseGone
	case dispatch.ReasonReleaseFull:
		code = result.ReleaseFull
	}
	x.respondError(result.New(code, "%s", v.Reason).WithRetryAfter(max(v.RetryAfter, minRetryAfter(v))))
}

func minRetryAfter(v dispatch.Decision) time.Duration {
	if v.Reason == dispatch.ReasonNoServer {
		return noServerRetryAfter
	}
	return 0
}

// respondFailed ends a request whose last attempt failed: with the last 5xx
// response of a server if there is one, else with an error.
func (x *proxiedRequest) respondFailed(a attemptResult) {
	switch {
	case x.callerCtx.Err() != nil:
		x.abort(closeCallerLeft)
	case x.headSent && errors.Is(a.err, errHostStopping):
		x.abort(closeHostStopped)
	case x.headSent:
		x.abort(closeTruncated)
	case x.lastErrorResponse != nil:
		x.writeBuffered(x.lastErrorResponse)
	case !x.mayHaveRun:
		x.respondError(result.New(result.NoServer, "no server accepted the request, last attempt: %s", a.outcome).WithRetryAfter(failedDispatchRetryAfter))
	case errors.Is(a.err, errDeadlinePassed):
		x.respondError(result.New(result.ServerSilent, "the server did not respond before the request deadline"))
	default:
		x.respondError(result.New(result.StreamBroken, "the response was interrupted: %s", a.outcome))
	}
}

func (x *proxiedRequest) respondError(e *result.Error) {
	if x.headSent {
		x.abort(closeTruncated) // the error would become part of the stream
	}
	x.status, x.errorCode = e.Code.Status(), e.Code
	writeError(x.w, e)
}

// Refuse sends an error response to a request that was not sent to a server.
func (s *Server) Refuse(w http.ResponseWriter, id string, e *result.Error) {
	s.metrics.recordOutcome("refused", 0)
	if !s.refusalLogLimiter.Allow() {
		s.unloggedRefusals.Add(1)
		writeError(w, e)
		return
	}
	s.log.WithFields(logrus.Fields{"id": id, "status": e.Code.Status(), "reason": e.Message, "code": uint32(e.Code)}).Info("request refused")
	writeError(w, e)
}

// RecordDropped records a request that was not sent to a server and gets no
// response.
func (s *Server) RecordDropped(id, reason string) {
	s.metrics.recordOutcome("dropped", 0)
	if !s.refusalLogLimiter.Allow() {
		s.unloggedRefusals.Add(1)
		return
	}
	s.log.WithFields(logrus.Fields{"id": id, "reason": reason}).Info("request dropped")
}

// RecordPanic records a request whose handler panicked with cause.
func (s *Server) RecordPanic(id string, cause any, stack []byte) {
	s.metrics.recordOutcome("panic", 0)
	s.log.WithFields(logrus.Fields{"id": id, "cause": cause, "stack": string(stack)}).Error("request handler panicked")
}

func writeError(w http.ResponseWriter, e *result.Error) {
	body := proxy.ErrorBody(e)
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(e.RetryAfter.Seconds(), 'f', 2, 64))
	}
	w.WriteHeader(e.Code.Status())
	_, _ = w.Write(body) // fails only if the caller has left
}

func (s *Server) creditRetryBudget(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryBudget.credit(service)
}

// log writes the log line of a request: the decision, its inputs and the
// outcome. Lines on refused requests are rate limited.
func (x *proxiedRequest) log(version uint64) {
	v := x.decision
	outcome := "refused"
	if len(x.outcomes) > 0 {
		outcome = x.outcomes[len(x.outcomes)-1]
	}
	x.s.metrics.recordOutcome(outcome, x.timeToFirst)
	x.recordSecondRefusal()
	x.recordStreamEnd()
	if outcome == "refused" && !x.s.refusalLogLimiter.Allow() {
		x.s.unloggedRefusals.Add(1)
		return
	}
	x.s.log.WithFields(logrus.Fields{
		"id": x.in.ID, "route": x.route.Name, "service": x.dispatchReq.Service, "workspace": x.dispatchReq.Workspace,
		"config": version, "kind": uint8(v.Action), "reason": v.Reason, "class": v.Class.String(), "server": v.Server,
		"info_age_ms": v.AnnouncementAge.Milliseconds(), "backlog_ms": v.BacklogTime.Milliseconds(), "predicted_ms": v.PredictedLatency.Milliseconds(),
		"running": v.RunningRequests, "uncached": v.UncachedTokens, "fetch_from": v.FetchFrom, "prompt": x.dispatchReq.PromptTokens, "queue": v.QueueLength, "share": int64(v.FairShare), "served": int64(v.ServedTokens),
		"retry_after_ms": v.RetryAfter.Milliseconds(), "wait_ms": x.queueWait.Milliseconds(), "start_delay_ms": x.in.startDelay.Milliseconds(), "first_ms": x.timeToFirst.Milliseconds(),
		"total_ms": time.Since(x.in.Arrived).Milliseconds(), "objective_ms": x.dispatchReq.Objective.Milliseconds(), "age_ms": x.dispatchReq.AgeAtArrival.Milliseconds(), "patience_ms": x.in.CallerTimeout.Milliseconds(), "events": x.sseParser.count,
		"status": x.status, "outcome": outcome, "attempts": x.outcomes, "cause": x.lastError, "retry_refusal": x.retryRefusal, "second_refusal": x.secondRefusal, "closed": x.closeReason, "conn_request": x.in.ConnRequest, "trial": x.isTrial,
		"resumes": fmt.Sprintf("%.64s", x.in.Resumes), "last_event": fmt.Sprintf("%.64s", x.in.LastEventID), "releases": x.releases, "found": x.found, "found_age_ms": x.foundAge.Milliseconds(),
		"parts": quarantine.FormatList(x.parts()), "fingerprint": strconv.FormatUint(x.fingerprint(), 16),
	}).Info("request")
}

// isTimeout reports whether err is a network timeout.
func isTimeout(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}
