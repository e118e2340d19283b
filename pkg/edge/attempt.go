package edge

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/dispatch"
	"jackdawtrack.example/jackdawtrack/pkg/proxy"
	"jackdawtrack.example/jackdawtrack/pkg/routing"
)

const (
	// readBufferBytes is the size of the read buffer of a response; an event of a
	// stream has a few hundred bytes.
	readBufferBytes = 4 << 10
	// coalesceDelayPerStream times the number of open streams is the delay between
	// two writes of a stream. A write and its reads take about 25 us of CPU time,
	// so all streams together use at most a tenth of a core; a host of the platform
	// has at least 0.4 cores.
	// Delays below minCoalesceDelay save nothing, because engines send events at
	// least 25 ms apart. maxCoalesceShare bounds the delay as a fraction of
	// Config.MaxEventDelay.
	coalesceDelayPerStream = 250 * time.Microsecond
	minCoalesceDelay       = 10 * time.Millisecond
	maxCoalesceShare       = 0.5
)

// bufferedResponse is a complete response that was not sent to the caller yet.
type bufferedResponse struct {
	status int
	header http.Header
	body   [][]byte // in blocks
}

// bodyBytes returns the size of the body.
func (h *bufferedResponse) bodyBytes() int {
	total := 0
	for _, block := range h.body {
		total += len(block)
	}
	return total
}

// attempt sends the request to the server of the decision and forwards the
// response.
func (x *proxiedRequest) attempt(v dispatch.Decision) attemptResult {
	x.eventsBefore = x.sseParser.count
	e := x.takeExchange(v)
	defer e.cancel(nil)
	defer e.dropBody()
	deadlineTimer := time.AfterFunc(time.Until(x.deadline), func() { e.cancel(errDeadlinePassed) })
	defer deadlineTimer.Stop()
	x.attemptStartedAt = e.startedAt
	if x.found != "" {
		x.foundAge = e.startedAt.Sub(x.foundAt)
	}
	h := x.newHedge(e)
	inactivityTimeout := startInactivityTimer(x.inactivityTimeout(), &inactivityTimer{mayAbandon: h.tryReplace, keep: h.keepFirst, abandon: func() { e.cancel(errServerInactive) }})
	defer func() { h.close(inactivityTimeout.stop()) }()
	defer x.endWithHost(e, h)()
	return h.awaitSecond(x.finishAttempt(v, x.exchange(e, h, inactivityTimeout)))
}

// exchange sends the request to the server of e and forwards the response.
func (x *proxiedRequest) exchange(e *serverExchange, h *hedge, inactivityTimeout *inactivityTimer) attemptResult {
	ctx, v := e.ctx, e.decision
	resp, sent, err := e.send(x)
	if err != nil {
		return x.classifySendError(ctx, err, sent)
	}
	defer resp.Body.Close()
	reply := x.s.config.Dialect.ReadHead(resp)
	a, bad := x.rejectHead(resp, reply, x.headSent, slices.Contains(x.sentTo, v.Address))
	if a.outcome != dispatch.InvalidResponse && a.outcome != dispatch.Misdirected {
		x.s.applyServerHints(v, reply, e.startedAt)
	}
	if bad {
		return a
	}
	if x.route.Stream && resp.StatusCode == http.StatusOK {
		return x.forwardStream(ctx, resp, inactivityTimeout, h)
	}
	return x.forwardBuffered(e, resp, inactivityTimeout)
}

// inactivityTimeout returns how long a server may send nothing before the request
// is retried at another one. On the last attempt, and for a request that must not
// be executed twice, it exceeds the deadline.
func (x *proxiedRequest) inactivityTimeout() time.Duration {
	last := x.sentAttempts+1 >= max(x.route.MaxAttempts, 1)
	if last || x.route.RetryPolicy == routing.AtMostOnce {
		return time.Until(x.deadline) + time.Second
	}
	return x.silenceLimit(false)
}

// silenceLimit returns how long a server may send nothing before another one is asked,
// before the first event or response (began false) or between events.
func (x *proxiedRequest) silenceLimit(began bool) time.Duration {
	if !began {
		return silenceLimitBeforeBegin(x.dispatchReq.Objective)
	}
	return stallFactor * eventPause(x.route)
}

func silenceLimitBeforeBegin(objective time.Duration) time.Duration {
	return max(time.Duration(inactivityFactor*float64(objective)), minInactivityTimeout)
}

// eventPause returns the longest pause between events of a stream of the route.
func eventPause(route *routing.Route) time.Duration {
	if route.MaxEventGap == 0 {
		return defaultEventPause
	}
	return route.MaxEventGap
}

// buildRequest returns the request to send to the server of the decision. It resumes
// a stream after the event lastID that was forwarded to the caller, "" if none was.
func (x *proxiedRequest) buildRequest(v dispatch.Decision, lastID, slotReservation string) *http.Request {
	h := x.in.Header.Clone()
	lastEvent := x.in.LastEventID
	if lastID != "" {
		lastEvent = lastID
	}
	x.s.config.Dialect.WriteHeaders(h, RequestMetadata{
		RequestID: x.in.ID, Server: v.Server, Workspace: x.dispatchReq.Workspace,
		RemainingTime: max(time.Until(x.deadline), time.Millisecond), LastEventID: lastEvent, FetchFrom: v.FetchFrom, SlotReservation: slotReservation,
	})
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = []string{""} // prevents net/http from setting its default
	}
	target, _ := proxy.ServerURL(v.Address, x.in.Target) // Admit has checked it
	return &http.Request{Method: x.in.Method, Host: x.in.Host, Header: h, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, URL: target}
}

// finishAttempt reports the outcome to the dispatcher. After a Silent outcome it
// also closes idle connections to the server.
func (x *proxiedRequest) finishAttempt(v dispatch.Decision, a attemptResult) attemptResult {
	if a.outcome == dispatch.ResponseTimeout {
		x.s.transport.CloseIdleTo(v.Address)
	}
	if a.outcome == dispatch.ConnectionLost {
		x.recordLostConnection(v)
	}
	if a.outcome == dispatch.ConnectFailed && errors.Is(a.err, syscall.ECONNREFUSED) {
		x.s.recordEnd(processOf(v))
	}
	x.s.recordOtherProcess(v, a.err)
	if a.outcome == dispatch.CallerDisconnected && a.sent && !x.answerBegan() {
		x.watchServer(v)
	}
	if a.sent {
		x.sentTo = append(x.sentTo, v.Address)
	}
	x.s.recordOutcome(x.dispatchReq, a.outcome)
	return a
}

// classifySendError returns the result of an attempt that got no response head.
func (x *proxiedRequest) classifySendError(ctx context.Context, err error, sent func() bool) attemptResult {
	a := attemptResult{err: err, sent: sent()}
	cause := context.Cause(ctx)
	switch {
	case x.callerCtx.Err() != nil:
		a.outcome = dispatch.CallerDisconnected
	case errors.Is(err, proxy.ErrOtherProcess):
		a.outcome = dispatch.NotSent // the server is up, and others may use it
	case !a.sent && (isTimeout(err) || cause != nil):
		a.outcome = dispatch.ConnectTimeout
	case !a.sent:
		a.outcome = dispatch.ConnectFailed
	case errors.Is(cause, errDeadlinePassed) || errors.Is(cause, errServerInactive) || errors.Is(cause, errHostStopping):
		a.outcome, a.err = dispatch.ResponseTimeout, cause
	default:
		a.outcome = dispatch.ConnectionLost
	}
	return a
}

// refusalStatuses are the statuses with which a server can state that it did not
// execute a request.
var refusalStatuses = []int{
	http.StatusBadRequest, http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable,
}

// unreadStatuses are the statuses that a server may send before it runs the request, so
// that they do not show that the request is sound.
var unreadStatuses = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests}

// rejectHead reports whether a response head rules out forwarding the response:
// it does not belong to this request, was not produced by a backend server, is
// compressed, states that the request was not executed, or does not continue the
// stream that the caller receives (began). sentBefore is set if the request was sent
// to the address before: then a refusal may be a copy of an earlier one.
func (x *proxiedRequest) rejectHead(resp *http.Response, reply ResponseMetadata, began, sentBefore bool) (attemptResult, bool) {
	a := attemptResult{sent: true, status: resp.StatusCode}
	switch {
	case reply.RequestID != x.in.ID:
		a.outcome = dispatch.InvalidResponse
	case !proxy.IsFinalStatus(resp.StatusCode):
		a.outcome = dispatch.InvalidResponse
	case (reply.Misdirected || reply.NotExecuted) && (sentBefore || !slices.Contains(refusalStatuses, resp.StatusCode)):
		a.outcome = dispatch.InvalidResponse
	case reply.Misdirected:
		a.outcome = dispatch.Misdirected
	case reply.NotExecuted:
		a.outcome = dispatch.NotExecuted
	case resp.StatusCode/100 == 2 && !reply.HasSeal:
		a.outcome = dispatch.InvalidResponse
	case resp.Header.Get("Content-Encoding") != "":
		a.outcome = dispatch.InvalidResponse
	case began && resp.StatusCode >= http.StatusInternalServerError:
		a.outcome = dispatch.ServerError
	case began && (resp.StatusCode != http.StatusOK || mediaType(resp.Header) != mediaType(x.w.Header())):
		a.outcome = dispatch.InvalidResponse
	default:
		return a, false
	}
	return a, true
}

// mediaType returns the Content-Type without its parameters, in lower case.
func mediaType(h http.Header) string {
	kind, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(kind))
}

// forwardBuffered reads the complete response before it forwards it, so that a
// failure before the end can be retried.
func (x *proxiedRequest) forwardBuffered(e *serverExchange, resp *http.Response, inactivity *inactivityTimer) attemptResult {
	a := attemptResult{sent: true, status: resp.StatusCode}
	body, done, err := e.readBody(x.s.responses, resp)
	if err != nil {
		done()
		return x.classifyBodyError(e.ctx, a, err)
	}
	x.releaseFuncs = append(x.releaseFuncs, done)
	inactivity.stop()
	x.timeToFirst = time.Since(x.in.Arrived)
	header := resp.Header.Clone()
	proxy.RemoveHopByHopHeaders(header)
	h := &bufferedResponse{status: resp.StatusCode, header: header, body: body}
	if resp.StatusCode >= http.StatusInternalServerError {
		a.outcome, a.resp = dispatch.ServerError, h
		return a
	}
	a.outcome, a.done = dispatch.Completed, true
	if !slices.Contains(unreadStatuses, resp.StatusCode) {
		x.reportAnswerBegan(time.Now(), resp.StatusCode/100 == 2)
	}
	x.writeBuffered(h)
	return a
}

// classifyBodyError returns the result of an attempt whose response body could
// not be read to its end.
func (x *proxiedRequest) classifyBodyError(ctx context.Context, a attemptResult, err error) attemptResult {
	a.err = err
	cause := context.Cause(ctx)
	switch {
	case x.callerCtx.Err() != nil:
		a.outcome = dispatch.CallerDisconnected
	case errors.Is(cause, errDeadlinePassed) || errors.Is(cause, errServerInactive) || errors.Is(cause, errHostStopping):
		a.outcome, a.err = dispatch.ResponseTimeout, cause
	case errors.Is(err, errResponseTooLarge) || errors.Is(err, errEventTooLarge):
		a.outcome = dispatch.InvalidResponse
		x.s.metrics.responsesTooLarge.Inc(1)
	case errors.Is(err, errResponseMemory):
		a.outcome = dispatch.ResponseBufferFull
		x.s.metrics.responseMemoryFull.Inc(1)
	default:
		a.outcome = dispatch.ConnectionLost
	}
	return a
}

// writeBuffered sends a buffered response to the caller.
func (x *proxiedRequest) writeBuffered(h *bufferedResponse) {
	if x.headSent {
		x.abort(closeTruncated) // it would become part of the stream
	}
	out := x.w.Header()
	for name, values := range h.header {
		out[name] = values
	}
	out.Set("Content-Length", strconv.Itoa(h.bodyBytes()))
	preserveContentType(out)
	x.status, x.headSent = h.status, true
	x.w.WriteHeader(h.status)
	for _, block := range h.body {
		_, err := x.w.Write(block) // fails only if the caller has left or reads nothing
		if err != nil {
			x.recordWriteError(err)
			return
		}
	}
	x.recordWriteError(http.NewResponseController(x.w).Flush()) // net/http does not report whether it could write what it holds
}

// preserveContentType prevents net/http from sniffing a Content-Type if the
// server sent none.
func preserveContentType(h http.Header) {
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
}

// forwardStream forwards server-sent events as they arrive, but only complete
// ones, so that another server can resume the stream after a failure.
func (x *proxiedRequest) forwardStream(ctx context.Context, resp *http.Response, inactivity *inactivityTimer, h *hedge) attemptResult {
	a := attemptResult{sent: true, status: resp.StatusCode}
	x.sseParser.buffer = x.sseParser.buffer[:0]
	resumed, nextID := x.headSent, x.headSent
	buf := make([]byte, readBufferBytes)
	x.s.openStreams.Add(1)
	defer x.s.openStreams.Add(-1)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			h.first.arrival.MarkRead()
			events := x.sseParser.appendBytes(buf[:n])
			if len(x.sseParser.buffer)-len(events) > maxEventBytes {
				return x.classifyBodyError(ctx, a, errEventTooLarge)
			}
			if len(events) > 0 {
				if !inactivity.progress(x.stallTimeout(h.sentAttempts())) {
					a.outcome, a.err = dispatch.ResponseTimeout, errServerInactive
					return a
				}
				h.progressed()
				if nextID && !isNextID(x.sseParser.lastID, firstID(events)) || resumed && !idsIncrease(x.sseParser.lastID, events) {
					a.outcome = dispatch.InvalidResponse
					return a
				}
				nextID = false
				if x.sseParser.count == x.eventsBefore && !x.checkRelease(h.first) {
					a.outcome = dispatch.InvalidResponse
					return a
				}
				inactivity.pause()
				x.beginStream(h.first)
				x.recordRelease(h.first.decision.Release)
				if !x.forwardEvents(resp, events) {
					a.outcome, a.done = dispatch.CallerDisconnected, true
					return a
				}
				x.renewRecord(time.Now())
				if time.Since(x.firstEventAt) > beginTime {
					x.reportAnswerBegan(x.firstEventAt, true)
				}
				x.coalesceEvents(ctx)
				h.forwarded(x.sseParser.lastID)
				inactivity.resume()
			}
		}
		if err == io.EOF {
			return x.finishStream(a, resp)
		}
		if err != nil {
			return x.classifyBodyError(ctx, a, err)
		}
	}
}

// coalesceEvents waits for coalesceDelay, so that a host with many streams
// forwards several events with one write.
func (x *proxiedRequest) coalesceEvents(ctx context.Context) {
	pause := coalesceDelay(x.s.openStreams.Load(), x.s.config.MaxEventDelay)
	if pause == 0 {
		return
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// coalesceDelay returns how long to wait after a write on a host with that many
// open streams. maxDelay is the time within which an event must be forwarded.
func coalesceDelay(streams int64, maxDelay time.Duration) time.Duration {
	pause := time.Duration(streams) * coalesceDelayPerStream
	if pause < minCoalesceDelay {
		return 0
	}
	return min(pause, time.Duration(maxCoalesceShare*float64(maxDelay)))
}

// forwardEvents writes complete events to the caller and flushes them. It returns
// false if the write fails, which means that the caller has left or reads nothing.
func (x *proxiedRequest) forwardEvents(resp *http.Response, events []byte) bool {
	if x.sseParser.count == 0 {
		x.timeToFirst = time.Since(x.in.Arrived)
		x.recordStreamBegan()
	}
	if x.sseParser.count == x.eventsBefore {
		x.firstEventAt = time.Now()
	}
	x.s.recordFirstEvent(x.dispatchReq)
	x.writeStreamHead(resp)
	_, err := x.w.Write(events)
	if err == nil {
		err = http.NewResponseController(x.w).Flush()
	}
	x.recordWriteError(err)
	x.sseParser.consume(events)
	return err == nil
}

// writeStreamHead sends the status and headers of a streamed response, once.
func (x *proxiedRequest) writeStreamHead(resp *http.Response) {
	if x.headSent {
		return
	}
	x.headSent, x.status = true, resp.StatusCode
	header := resp.Header.Clone()
	proxy.RemoveHopByHopHeaders(header)
	header.Del("Content-Length")
	out := x.w.Header()
	for name, values := range header {
		out[name] = values
	}
	preserveContentType(out)
	x.w.WriteHeader(resp.StatusCode)
}

// finishStream returns the result after the server has ended the response body
// without an error.
func (x *proxiedRequest) finishStream(a attemptResult, resp *http.Response) attemptResult {
	// An incomplete event, or a connection that was closed before the first event,
	// shows that the server broke off.
	if len(x.sseParser.buffer) > 0 || x.sseParser.count == x.eventsBefore && !proxy.IsFramed(resp) {
		a.outcome = dispatch.ConnectionLost
		return a
	}
	if x.headSent && x.sseParser.count == x.eventsBefore {
		// The first server had not ended the stream, so something is missing.
		a.outcome = dispatch.InvalidResponse
		return a
	}
	x.writeStreamHead(resp)
	if x.sseParser.count > x.eventsBefore {
		x.reportAnswerBegan(x.firstEventAt, true)
	}
	a.outcome, a.done = dispatch.Completed, true
	return a
}

// stallTimeout returns the inactivity timeout of a stream after its first event.
// hedges is the number of failed attempts beside the current one. On the last
// attempt, and for a stream that cannot be resumed, it exceeds the deadline.
func (x *proxiedRequest) stallTimeout(hedges int) time.Duration {
	last := x.sentAttempts+hedges+1 >= max(x.route.MaxAttempts, 1)
	if last || x.route.RetryPolicy != routing.Resumable {
		return time.Until(x.deadline) + time.Second
	}
	return x.silenceLimit(true)
}
