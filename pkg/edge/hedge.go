package edge

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/dispatch"
	"jackdawtrack.example/jackdawtrack/pkg/proxy"
	"jackdawtrack.example/jackdawtrack/pkg/release"
	"jackdawtrack.example/jackdawtrack/pkg/routing"
)

// soundSilence is how long a sound server may send nothing. By the users' pages that
// is a second or so, and their callers wait for 2 s. A request is never given up
// earlier for that reason alone.
const soundSilence = 2 * time.Second

// errAttemptEnded cancels a second attempt that is no longer needed.
var errAttemptEnded = errors.New("the attempt at the other server has ended or made progress")

// serverExchange is one HTTP exchange with a server. Its context covers the
// response body.
type serverExchange struct {
	ctx         context.Context
	cancel      context.CancelCauseFunc
	decision    dispatch.Decision
	dispatchReq *dispatch.Request
	process     proxy.Identification
	startedAt   time.Time
	arrival     proxy.UnreadMonitor
	resp        *http.Response // nil until it was sent
	body        [][]byte       // of resp, if it was read before the response replaced a silent server
	releaseBody func()         // returns the memory of body, nil if that was not read
}

func (x *proxiedRequest) newExchange(v dispatch.Decision, r *dispatch.Request) *serverExchange {
	e := &serverExchange{decision: v, dispatchReq: r, startedAt: time.Now()}
	e.ctx, e.cancel = context.WithCancelCause(x.callerCtx)
	e.process.Wanted = wantedProcess(v, r)
	e.ctx = x.s.identifyProcess(e.ctx, r.Service, &e.process)
	return e
}

// takeExchange returns the exchange that a second attempt has begun, or a new one.
func (x *proxiedRequest) takeExchange(v dispatch.Decision) *serverExchange {
	e := x.replacement
	x.replacement = nil
	if e == nil {
		return x.newExchange(v, x.dispatchReq)
	}
	return e
}

// takeOver continues the request with a second attempt that has begun to answer, and
// returns its decision.
func (x *proxiedRequest) takeOver(e *serverExchange) dispatch.Decision {
	x.s.mu.Lock()
	defer x.s.mu.Unlock()
	x.s.dispatcher.EndHedge(time.Now(), e.dispatchReq, x.dispatchReq)
	x.dispatchReq = e.dispatchReq
	return e.decision
}

// closeReplacement ends a second attempt that was not taken over.
func (x *proxiedRequest) closeReplacement() {
	if e := x.replacement; e != nil {
		x.replacement = nil
		x.s.endHedge(e, dispatch.CallerDisconnected)
	}
}

// send sends the request, unless a second attempt has done so.
func (e *serverExchange) send(x *proxiedRequest) (*http.Response, func() bool, error) {
	if e.resp != nil {
		return e.resp, nil, nil
	}
	return x.s.transport.SendRequest(e.ctx, x.buildRequest(e.decision, x.sseParser.lastID, x.slotReservation), &e.arrival, x.in.Body)
}

// hedge sends a request to a second server while the first one is silent. The
// first one keeps the request until the second has begun to answer, so a silent
// server costs no caller its response if no other server takes the request.
type hedge struct {
	x          *proxiedRequest
	first      *serverExchange
	startedAt  time.Time
	mayRepeat  bool     // the route allows another attempt
	sentBefore []string // addresses of earlier attempts and of the first server

	mu           sync.Mutex
	began        bool   // bytes of the response were sent to the caller
	lastEventID  string // of the last event sent to the caller
	closed       bool
	firstEnded   bool          // the first server has failed while the second attempt is in progress
	ready        bool          // the second server has begun to answer
	running      chan struct{} // closed when tryReplace returns, nil if it does not run
	second       *serverExchange
	silence      *time.Timer     // runs replaceSecond
	next         *serverExchange // takes the place of the second attempt when that has ended, nil if none
	sent         int             // second attempts that may have reached a server, without the one that was taken over
	secondSentTo []string        // addresses of the second attempts that may have reached a server
	unsent       int
	mayHaveRun   bool
	outcomes     []string
	heardAt      time.Time       // when events were forwarded last, or the start
	refusal      dispatch.Reason // why the last silence led to no second attempt, "" if it did
}

func (x *proxiedRequest) newHedge(first *serverExchange) *hedge {
	return &hedge{
		x: x, first: first, startedAt: time.Now(), heardAt: time.Now(), began: x.headSent, lastEventID: x.sseParser.lastID,
		mayRepeat: x.route.RetryPolicy != routing.AtMostOnce && !x.isTrial, sentBefore: append(slices.Clone(x.sentTo), first.decision.Address),
	}
}

// progressed ends a second attempt in progress, because the first server has gone on.
func (h *hedge) progressed() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.noteSilence()
	h.cancelSecond()
}

// forwarded records what the caller has received. It ends a second attempt that began
// since progressed and continues what the caller had before.
func (h *hedge) forwarded(lastEventID string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.began, h.lastEventID, h.heardAt = true, lastEventID, time.Now()
	h.cancelSecond()
}

// cancelSecond cancels a second attempt in progress. The caller must hold mu.
func (h *hedge) cancelSecond() {
	for _, e := range []*serverExchange{h.second, h.next} {
		if e != nil {
			e.cancel(errAttemptEnded)
		}
	}
}

// hasBegun reports whether events were sent to the caller.
func (h *hedge) hasBegun() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.began
}

// sentAttempts returns the number of second attempts that may have reached a server.
func (h *hedge) sentAttempts() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.sent
}

// tryReplace reports whether the silent first server may be given up: a second one
// has begun to answer, or nothing can be lost because the caller has received
// nothing and the server has sent nothing to anyone for longer than a sound one. In a
// planned stop it keeps a request that may not be sent to another one any more. It may
// run several times at once: each event of the first server restarts the timer.
func (h *hedge) tryReplace() bool {
	h.mu.Lock()
	if h.closed || h.firstEnded || h.second != nil || h.first.arrival.HasUnread() {
		h.mu.Unlock()
		return false
	}
	began, lastEventID := h.began, h.lastEventID
	var second *serverExchange
	if h.refusal = h.refusalByRoute(began, lastEventID); h.refusal == "" {
		second, h.refusal = h.x.beginHedge(h.first, h.first.decision.Address, began)
	}
	if second == nil {
		h.mu.Unlock()
		return !began && !h.x.s.isTooLate(h.x.in) && time.Since(h.startedAt) > soundSilence && !h.x.s.heardSince(h.first.decision.Server, h.startedAt)
	}
	h.second, h.running = second, make(chan struct{})
	running := h.running
	h.mu.Unlock()
	defer close(running)
	for second != nil {
		var ready bool
		if ready, second = h.runSecond(second, began, lastEventID); ready {
			return true
		}
	}
	return false
}

// runSecond reports whether the second server has begun to answer. If not, it returns
// the exchange that takes its place, nil if there is none.
func (h *hedge) runSecond(second *serverExchange, began bool, lastEventID string) (ready bool, next *serverExchange) {
	h.mu.Lock()
	sentBefore := slices.Contains(slices.Concat(h.sentBefore, h.secondSentTo), second.decision.Address)
	silence := time.AfterFunc(h.x.silenceLimit(began), func() { h.replaceSecond(second) })
	h.silence = silence
	h.mu.Unlock()
	defer silence.Stop()

	a := h.x.awaitBegin(second, began, sentBefore, lastEventID)
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case a.done && !h.closed && context.Cause(second.ctx) == nil:
		h.ready = true
		return true, nil
	case a.sent && (a.done || context.Cause(second.ctx) == errAttemptEnded):
		a.outcome = dispatch.CallerDisconnected
	case context.Cause(second.ctx) == errAttemptEnded:
		a.outcome = dispatch.NotSent
	case a.outcome == dispatch.ConnectionLost:
		h.x.addLostConnection(second.decision, second.startedAt, false)
	}
	h.drop(a)
	h.second, h.next = h.next, nil
	if h.second != nil && (h.closed || context.Cause(h.second.ctx) != nil) {
		h.drop(attemptResult{outcome: dispatch.NotSent})
	}
	return false, h.second
}

// replaceSecond runs when the second server has sent nothing for too long. It ends that
// attempt if the route allows a third one and a third server has a place for it.
func (h *hedge) replaceSecond(second *serverExchange) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed || h.ready || h.second != second || context.Cause(second.ctx) != nil {
		return
	}
	mayRepeat := h.x.sentAttempts+h.sent+2 < h.x.route.MaxAttempts && !(h.firstEnded && h.x.s.suspectsAgain(h.x.suspects))
	if mayRepeat && !second.arrival.HasUnread() {
		h.next, h.refusal = h.x.beginHedge(second, h.first.decision.Address, h.began)
	}
	if h.next == nil {
		h.silence.Reset(inactivityRecheckInterval)
		return
	}
	second.cancel(errAttemptEnded)
}

// drop ends the second attempt with the result a. The caller must hold mu.
func (h *hedge) drop(a attemptResult) {
	second := h.second
	if second == nil {
		return
	}
	h.second, h.ready = nil, false
	if a.sent {
		h.sent++
		h.secondSentTo = append(h.secondSentTo, second.decision.Address)
	} else {
		h.unsent++
		h.x.s.refundRetry(h.x.dispatchReq.Service)
	}
	h.mayHaveRun = h.mayHaveRun || a.sent && a.outcome != dispatch.NotExecuted && a.outcome != dispatch.Misdirected
	h.outcomes = append(h.outcomes, "second: "+a.outcome.String())
	h.x.s.endHedge(second, a.outcome)
}

// keepFirst ends a second attempt because the first server has gone on.
func (h *hedge) keepFirst() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.firstEnded {
		h.drop(attemptResult{sent: true, outcome: dispatch.CallerDisconnected})
	}
}

// awaitSecond waits for a second attempt in progress after the first one has failed
// with the result a, until the deadline or the end of the grace period of a planned
// stop. It returns a with the error that ended the wait.
func (h *hedge) awaitSecond(a attemptResult) attemptResult {
	if a.done || h.x.suspectedAgain(a) {
		return a
	}
	h.mu.Lock()
	running := h.running
	last := h.second
	if h.next != nil {
		last = h.next
	}
	h.firstEnded = last != nil && context.Cause(last.ctx) == nil
	waits := h.firstEnded
	h.mu.Unlock()
	if !waits {
		return a
	}
	select {
	case <-running:
	case <-h.first.ctx.Done():
		if cause := context.Cause(h.first.ctx); errors.Is(cause, errDeadlinePassed) || errors.Is(cause, errHostStopping) {
			a.err = cause
		}
	}
	return a
}

// close ends a second attempt in progress and waits for it. It adds the results to
// the request, which takes over a second attempt that has begun to answer if the
// first was given up for it or has failed.
func (h *hedge) close(abandoned bool) {
	h.mu.Lock()
	h.closed = true
	running := h.running
	abandoned = abandoned || h.firstEnded && h.ready
	if !abandoned {
		h.cancelSecond()
	}
	h.mu.Unlock()
	if running != nil {
		<-running
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if abandoned {
		h.x.replacement, h.second = h.second, nil
	}
	h.drop(attemptResult{sent: true, outcome: dispatch.CallerDisconnected})
	h.x.sentAttempts += h.sent
	h.x.sentTo = append(h.x.sentTo, h.secondSentTo...)
	h.x.mayHaveRun = h.x.mayHaveRun || h.mayHaveRun
	h.x.outcomes = append(h.x.outcomes, h.outcomes...)
	h.noteSilence()
	h.x.secondRefusal = h.refusal
}

// readBody returns the body of a response that is not a stream.
func (e *serverExchange) readBody(m *responseMemory, resp *http.Response) (body [][]byte, release func(), err error) {
	if release = e.releaseBody; release != nil {
		e.releaseBody = nil
		return e.body, release, nil
	}
	return m.read(resp.Body)
}

// dropBody returns the memory of a body that was read and not used.
func (e *serverExchange) dropBody() {
	if e.releaseBody != nil {
		e.releaseBody()
		e.releaseBody = nil
	}
}

// beginHedge returns an exchange with another server than that of running, nil and the
// reason if there is none. It fetches nothing from the address of the first server.
// began states that events were forwarded, so the release of the stream must be known.
func (x *proxiedRequest) beginHedge(running *serverExchange, firstAddress string, began bool) (*serverExchange, dispatch.Reason) {
	x.s.mu.Lock()
	defer x.s.mu.Unlock()
	now := time.Now()
	if refusal := x.hedgeRefusal(now, began); refusal != "" {
		return nil, refusal
	}
	r, v := x.s.dispatcher.Hedge(now, running.dispatchReq, running.decision.Server)
	if r == nil {
		return nil, reasonNoPlace
	}
	x.s.retryBudget.spend(x.dispatchReq.Service)
	if v.FetchFrom == firstAddress {
		v.FetchFrom = "" // the silent server would delay the fetch
	}
	return x.newExchange(v, r), ""
}

// awaitBegin sends the request to a second server and waits until it has begun to
// answer: with the next event of a stream, or with the whole body of another response,
// because the first server is given up for it. The result is done then.
func (x *proxiedRequest) awaitBegin(e *serverExchange, began, sentBefore bool, lastEventID string) attemptResult {
	resp, sent, err := x.s.transport.SendRequest(e.ctx, x.buildRequest(e.decision, lastEventID, ""), &e.arrival, x.in.Body)
	if err != nil {
		x.s.recordOtherProcess(e.decision, err)
		return x.classifySendError(e.ctx, err, sent)
	}
	e.resp = resp
	reply := x.s.config.Dialect.ReadHead(resp)
	a, bad := x.rejectHead(resp, reply, began, sentBefore)
	if a.outcome != dispatch.InvalidResponse && a.outcome != dispatch.Misdirected {
		x.s.applyServerHints(e.decision, reply, e.startedAt)
	}
	if bad {
		return a
	}
	if !x.route.Stream || resp.StatusCode != http.StatusOK {
		if a.outcome = dispatch.ServerError; began || resp.StatusCode >= http.StatusInternalServerError {
			return a
		}
		var done func()
		if e.body, done, err = x.s.responses.read(resp.Body); err != nil {
			done()
			return x.classifyBodyError(e.ctx, a, err)
		}
		e.releaseBody, a.done = done, true
		return a
	}
	events, err := readFirstEvents(resp)
	if err != nil {
		return x.classifyBodyError(e.ctx, a, err)
	}
	a.done, a.outcome = x.hasReleaseOfStream(e, began) && (!began || isNextID(lastEventID, firstID(events))), dispatch.InvalidResponse
	return a
}

// hasReleaseOfStream reports whether the server that answers e may take over the stream:
// its process may have been replaced since it was chosen. checkRelease is too late for
// that, because the first server is given up before.
func (x *proxiedRequest) hasReleaseOfStream(e *serverExchange, began bool) bool {
	x.s.mu.Lock()
	defer x.s.mu.Unlock()
	bound := e.dispatchReq.Release
	if bound == release.Unknown {
		return !began
	}
	return x.s.releaseOf(e) == bound && (!began || x.mayGoOnLocked())
}

// readFirstEvents reads the body of a stream until it has a complete event, and puts
// the bytes back.
func readFirstEvents(resp *http.Response) ([]byte, error) {
	var read []byte
	buf := make([]byte, readBufferBytes)
	for lastBoundary(read) == 0 {
		n, err := resp.Body.Read(buf)
		read = append(read, buf[:n]...)
		if err != nil && lastBoundary(read) == 0 {
			return nil, err
		}
		if len(read) > maxEventBytes {
			return nil, errEventTooLarge
		}
	}
	resp.Body = struct {
		io.Reader
		io.Closer
	}{io.MultiReader(bytes.NewReader(slices.Clone(read)), resp.Body), resp.Body}
	return read[:lastBoundary(read)], nil
}

// endHedge ends a second attempt that is not taken over.
func (s *Server) endHedge(e *serverExchange, o dispatch.Outcome) {
	e.cancel(errAttemptEnded)
	if e.resp != nil {
		_ = e.resp.Body.Close()
	}
	e.dropBody()
	s.recordOutcome(e.dispatchReq, o)
}

// heardSince reports whether the server has answered any request of this host since
// the given time.
func (s *Server) heardSince(server string, since time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatcher.HeardSince(server, since)
}

// refundRetry returns the retry of an attempt that reached no server.
func (s *Server) refundRetry(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryBudget.refund(service)
}
