package edge

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"jackdawtrack.example/jackdawtrack/pkg/dispatch"
	"jackdawtrack.example/jackdawtrack/pkg/proxy"
	"jackdawtrack.example/jackdawtrack/pkg/result"
	"jackdawtrack.example/jackdawtrack/pkg/routing"
)

const (
	// noConfigurationRetry is when a caller may come back to a host that has
	// just started; it has a configuration after a few hundred ms.
	noConfigurationRetry = 500 * time.Millisecond
	// noServerRetry is when a caller may come back if no server is up: one
	// announcement later.
	noServerRetry = time.Second
	// answerMargin is how long before the caller gives up it gets its final
	// answer: the way to the caller.
	answerMargin = 10 * time.Millisecond
	// maxUnsent bounds attempts of which no byte left this host.
	maxUnsent = 4
	// silentFactor times the objective is the time after which a request that
	// may run again is given up at a server that has said nothing.
	silentFactor = 2.5
	// silentLeast bounds it from below.
	silentLeast = 500 * time.Millisecond
	// stallFactor times the longest pause on time is the time after which a
	// stream that can be resumed is given up at its server.
	stallFactor = 4
	// defaultPause stands for a pause that the route does not state.
	defaultPause = 250 * time.Millisecond
)

// Causes of a cancelled attempt.
var (
	errSilent   = errors.New("the server was silent for too long")
	errDeadline = errors.New("the time of the request is over")
)

// exchangeState is one request on its way.
type exchangeState struct {
	s        *Server
	w        http.ResponseWriter
	in       *Request
	route    *routing.Route
	work     *dispatch.Request
	deadline time.Time
	caller   context.Context

	verdict  dispatch.Verdict
	slot     string // reservation at the server of the verdict
	sends    int    // that may have reached a server
	mayRan   bool   // a server may have run it, so no answer may say that it has not
	ran      *held
	unsent   int
	wait     time.Duration // to the first send
	first    time.Duration // to the first event or the answer
	started  bool          // the caller has the head of an answer
	status   int
	events   events
	release  []func() // give the memory of held answers back
	outcomes []string
	cause    error // of the last attempt that failed
}

// destination is what the configuration in force says of a request.
type destination struct {
	version   uint64 // of the configuration
	route     *routing.Route
	workspace string        // "" if the route needs none
	age       time.Duration // of the first attempt of its caller
}

// lookUp returns where a request goes, or why it goes nowhere.
func (s *Server) lookUp(in *Request) (*destination, *result.Error) {
	table := s.table.Load()
	if table == nil {
		return nil, result.New(result.NoConfiguration, "this host has no configuration yet").WithRetryAfter(noConfigurationRetry)
	}
	route := table.Match(in.Host, in.Path)
	if route == nil {
		return nil, result.New(result.UnknownRoute, "no route for %s%s", in.Host, in.Path)
	}
	to := &destination{version: table.Version, route: route, age: s.ages.of(in.Arrived, route.Name, in.Patience)}
	switch workspace := table.Workspace(in.Key); {
	case workspace != nil:
		to.workspace = workspace.Name
	case table.NeedsKey(route):
		return nil, result.New(result.Unauthenticated, "the key is not known")
	}
	return to, nil
}

// errHostBusy answers requests that the processor of this host cannot pass on
// in time.
var errHostBusy = result.New(result.HostBusy, "the processor of this host is used up").WithRetryAfter(shedRetry)

// Admits decides on the head of a request alone and answers one that it
// refuses. What a refusal costs is what a flooded host has left for the others.
func (s *Server) Admits(w http.ResponseWriter, in *Request) bool {
	to, err := s.lookUp(in)
	// One that was turned away before has no other host to go to.
	if err == nil && to.age == 0 && s.shedder.refuses(to.workspace) {
		err = errHostBusy
	}
	if err != nil {
		s.Refuse(w, in.ID, err)
		return false
	}
	in.to = to
	return true
}

// Serve answers one request that was admitted. It panics with
// http.ErrAbortHandler to break off an answer that cannot be completed.
func (s *Server) Serve(ctx context.Context, w http.ResponseWriter, in *Request) {
	s.serving.Add(1)
	defer s.serving.Add(-1)
	x := s.newExchange(ctx, w, in)
	defer x.log(in.to.version)
	defer x.releaseAnswers()
	x.run()
}

func (s *Server) newExchange(ctx context.Context, w http.ResponseWriter, in *Request) *exchangeState {
	route := in.to.route
	limit := route.Timeout
	if in.Patience > 0 {
		limit = min(limit, in.Patience)
	}
	x := &exchangeState{s: s, w: w, in: in, route: route, caller: ctx, deadline: in.Arrived.Add(limit - answerMargin)}
	x.work = &dispatch.Request{
		ID: in.ID, Workspace: in.to.workspace, Service: route.Choose(in.ID), Arrived: in.Arrived, Age: in.to.age,
		Objective: route.Objective, Deadline: x.deadline,
	}
	if x.work.Objective == 0 {
		x.work.Objective = limit
	}
	if p := in.Prompt; p != nil {
		x.work.Parts, x.work.PromptTokens = p.Parts, p.Tokens
		x.work.OutputTokens = expectedOutput(p)
	}
	return x
}

// expectedOutput takes the caller's estimate, which is right at the median,
// within the most that it allows; without one, half of that.
func expectedOutput(p *Prompt) int {
	if p.OutputHint > 0 {
		return min(p.OutputHint, max(p.MaxOutput, 1))
	}
	return p.MaxOutput / 2
}

func (x *exchangeState) run() {
	x.s.budgetRequest(x.work.Service)
	v, err := x.verdictOf()
	for err == nil {
		if v.Kind == dispatch.Refuse {
			x.refuse(v)
			return
		}
		if x.callerLeft() {
			x.s.ended(x.work, dispatch.Unused)
			err = context.Canceled
			break
		}
		x.verdict = v
		if x.slot = ""; v.Reserve && !x.reserve(v) {
			v, err = x.verdictOf()
			continue
		}
		if x.sends == 0 {
			x.wait = time.Since(x.in.Arrived)
		}
		a := x.attempt(v)
		x.outcomes = append(x.outcomes, a.outcome.String())
		if a.done {
			return
		}
		x.note(a)
		if !x.mayRepeat(a) {
			x.fail(a)
			return
		}
		v = x.s.again(x.work, v.Server, a.sent)
		if v.Kind == dispatch.Refuse && x.mayRan {
			x.fail(a)
			return
		}
	}
	x.giveUp(err)
}

func (x *exchangeState) releaseAnswers() {
	for _, give := range x.release {
		give()
	}
}

// callerLeft reports whether the caller has closed its connection. On a busy
// host a request may have been unread for so long that its caller left before,
// and net/http notices that late, in another goroutine.
func (x *exchangeState) callerLeft() bool {
	if x.caller.Err() != nil {
		return true
	}
	return x.sends == 0 && x.in.Left != nil && x.in.Left()
}

// verdictOf waits for the first decision.
func (x *exchangeState) verdictOf() (dispatch.Verdict, error) {
	v, waiting := x.s.offer(x.work)
	if waiting == nil {
		return v, nil
	}
	timer := time.NewTimer(time.Until(x.deadline))
	defer timer.Stop()
	var err error
	select {
	case v = <-waiting:
		return v, nil
	case <-x.caller.Done():
		err = context.Canceled
	case <-timer.C:
		err = errDeadline
	}
	if v, ok := x.s.withdraw(x.work); ok {
		if v.Kind == dispatch.Send {
			x.s.ended(x.work, dispatch.Unused)
		}
	}
	return v, err
}

// giveUp ends a request that was never sent.
func (x *exchangeState) giveUp(err error) {
	if errors.Is(err, context.Canceled) {
		x.outcomes = append(x.outcomes, "caller left waiting")
		panicAbort()
	}
	x.write(result.New(result.DeadlinePassed, "the time of the request passed while it waited").WithRetryAfter(dispatchRetry))
}

// dispatchRetry goes with an answer that comes when the caller gives up.
const dispatchRetry = 300 * time.Millisecond

// attemptEnd says how one send ended.
type attemptEnd struct {
	outcome dispatch.Outcome
	done    bool // the caller has its answer, or is gone
	sent    bool // a byte may have reached the server
	status  int
	resp    *held
	err     error
}

// note remembers what a failed attempt means for the truth of later answers.
func (x *exchangeState) note(a attemptEnd) {
	if a.sent && a.outcome != dispatch.NotExecuted && a.outcome != dispatch.Misdirected {
		x.mayRan = true
	}
	if a.resp != nil {
		x.ran = a.resp
	}
	x.cause = a.err
}

// mayRepeat reports whether another server may get the request.
func (x *exchangeState) mayRepeat(a attemptEnd) bool {
	if time.Until(x.deadline) <= 0 || x.caller.Err() != nil {
		return false
	}
	if !a.sent {
		x.unsent++
		return x.unsent < maxUnsent
	}
	x.sends++
	if x.sends >= max(x.route.MaxAttempts, 1) {
		return false
	}
	if a.outcome == dispatch.NotExecuted || a.outcome == dispatch.Misdirected {
		return true
	}
	if x.started {
		return x.route.Repeat == routing.Resumable && x.events.last != ""
	}
	return x.route.Repeat != routing.AtMostOnce
}

// refuse answers a request that has not run and never will.
func (x *exchangeState) refuse(v dispatch.Verdict) {
	x.verdict = v
	code := result.TargetUnreachable
	switch v.Reason {
	case dispatch.ReasonShare:
		code = result.RateLimited
	case dispatch.ReasonNoServer:
		code = result.NoServer
	case dispatch.ReasonQueueFull:
		code = result.QueueFull
	}
	x.write(result.New(code, "%s", v.Reason).WithRetryAfter(max(v.RetryAfter, minRetry(v))))
}

func minRetry(v dispatch.Verdict) time.Duration {
	if v.Reason == dispatch.ReasonNoServer {
		return noServerRetry
	}
	return 0
}

// fail answers a request whose last attempt failed.
func (x *exchangeState) fail(a attemptEnd) {
	switch {
	case x.caller.Err() != nil:
		panicAbort()
	case x.started:
		panicAbort() // an answer that ends early must not look complete
	case x.ran != nil:
		x.passHeld(x.ran)
	case !x.mayRan:
		x.write(result.New(result.NoServer, "no server took the request: %s", a.outcome).WithRetryAfter(dispatchRetry))
	case errors.Is(a.err, errDeadline):
		x.write(result.New(result.ServerSilent, "the server did not answer in time"))
	default:
		x.write(result.New(result.StreamBroken, "the answer broke off: %s", a.outcome))
	}
}

func panicAbort() { panic(http.ErrAbortHandler) }

func (x *exchangeState) write(e *result.Error) {
	x.status = e.Code.Status()
	writeError(x.w, e)
}

// Refuse answers a request that was not given to a server.
func (s *Server) Refuse(w http.ResponseWriter, id string, e *result.Error) {
	s.metrics.ended("refused", 0)
	if !s.refusals.Allow() {
		s.unlogged.Add(1)
		writeError(w, e)
		return
	}
	s.log.WithFields(logrus.Fields{"id": id, "status": e.Code.Status(), "reason": e.Message, "code": uint32(e.Code)}).Info("a request was refused")
	writeError(w, e)
}

// Dropped notes a request that was not given to a server and gets no answer.
func (s *Server) Dropped(id, reason string) {
	s.metrics.ended("dropped", 0)
	if !s.refusals.Allow() {
		s.unlogged.Add(1)
		return
	}
	s.log.WithFields(logrus.Fields{"id": id, "reason": reason}).Info("a request was dropped")
}

// Failed notes a request whose handling panicked.
func (s *Server) Failed(id string, cause any, stack []byte) {
	s.metrics.ended("panic", 0)
	s.log.WithFields(logrus.Fields{"id": id, "cause": cause, "stack": string(stack)}).Error("the handling of a request failed")
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
	_, _ = w.Write(body) // a caller that has left needs no answer
}

func (s *Server) budgetRequest(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.request(service)
}

// log writes the line of a request: what was decided, from what, and the end.
func (x *exchangeState) log(version uint64) {
	v := x.verdict
	outcome := "refused"
	if len(x.outcomes) > 0 {
		outcome = x.outcomes[len(x.outcomes)-1]
	}
	x.s.metrics.ended(outcome, x.first)
	if outcome == "refused" && !x.s.refusals.Allow() {
		x.s.unlogged.Add(1)
		return
	}
	x.s.log.WithFields(logrus.Fields{
		"id": x.in.ID, "route": x.route.Name, "service": x.work.Service, "workspace": x.work.Workspace,
		"config": version, "kind": uint8(v.Kind), "reason": v.Reason, "class": v.Class.String(), "server": v.Server,
		"info_age_ms": v.InfoAge.Milliseconds(), "backlog_ms": v.Backlog.Milliseconds(), "predicted_ms": v.Predicted.Milliseconds(),
		"running": v.Running, "uncached": v.Uncached, "fetch_from": v.FetchFrom, "prompt": x.work.PromptTokens, "queue": v.Queue, "share": int64(v.Level), "served": int64(v.Served),
		"retry_after_ms": v.RetryAfter.Milliseconds(), "wait_ms": x.wait.Milliseconds(), "first_ms": x.first.Milliseconds(),
		"total_ms": time.Since(x.in.Arrived).Milliseconds(), "objective_ms": x.work.Objective.Milliseconds(), "age_ms": x.work.Age.Milliseconds(), "patience_ms": x.in.Patience.Milliseconds(), "events": x.events.count,
		"status": x.status, "outcome": outcome, "attempts": x.outcomes, "cause": x.cause,
	}).Info("request")
}

// isTimeout reports whether a connection attempt got no answer.
func isTimeout(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}
