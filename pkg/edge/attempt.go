package edge

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/dispatch"
	"jackdawtrack.example/jackdawtrack/pkg/proxy"
	"jackdawtrack.example/jackdawtrack/pkg/routing"
)

const (
	// copyBytes is the size of the buffer of one stream; an event has a few
	// hundred bytes.
	copyBytes = 4 << 10
	// gatherShare is the pause between two writes of a stream for each open
	// stream. A write with its reads takes about 25 us of the processor, so
	// streams then take a tenth of a core at most; a host of the platform has
	// 0.4 and more. Pauses below gatherLeast save nothing, since engines send
	// an event each 25 ms or later, and gatherMost is the part that they
	// may take of the time in which an event has to be passed on.
	gatherShare = 250 * time.Microsecond
	gatherLeast = 10 * time.Millisecond
	gatherMost  = 0.5
)

// held is a whole answer that has not been passed on.
type held struct {
	status int
	header http.Header
	body   []byte
}

// attempt sends the request to one server and passes its answer on.
func (x *exchangeState) attempt(v dispatch.Verdict) attemptEnd {
	ctx, cancel := context.WithCancelCause(x.caller)
	defer cancel(nil)
	limit := time.AfterFunc(time.Until(x.deadline), func() { cancel(errDeadline) })
	defer limit.Stop()
	begun := time.Now()
	var arrival proxy.Arrival
	silence := newSilenceWatch(x.silence(),
		func() bool {
			return x.s.givesUp(x.work.Service, v.Server, begun) &&
				(!x.started || x.s.hasOther(x.work.Service, v.Server)) && !arrival.Came()
		},
		func() { cancel(errSilent) })
	defer silence.stop()

	resp, sent, err := x.s.transport.Open(ctx, x.outgoing(v), &arrival, x.in.Body)
	if err != nil {
		return x.end(v, x.failed(ctx, err, sent))
	}
	defer resp.Body.Close()
	reply := x.s.config.Dialect.Read(resp)
	if reply.RequestID == x.in.ID && !reply.Misdirected {
		x.s.heed(v, reply)
	}
	if a, bad := x.checkHead(resp, reply); bad {
		return x.end(v, a)
	}
	if x.route.Stream && resp.StatusCode == http.StatusOK {
		return x.end(v, x.stream(ctx, resp, silence, &arrival))
	}
	return x.end(v, x.plain(ctx, resp))
}

// silence returns how long a server may say nothing before another one gets
// the request. A request that must not run again waits until its end.
func (x *exchangeState) silence() time.Duration {
	last := x.sends+1 >= max(x.route.MaxAttempts, 1)
	if last || x.route.Repeat == routing.AtMostOnce {
		return time.Until(x.deadline) + time.Second
	}
	return max(time.Duration(silentFactor*float64(x.work.Objective)), silentLeast)
}

func (x *exchangeState) outgoing(v dispatch.Verdict) *http.Request {
	h := x.in.Header.Clone()
	lastEvent := x.in.LastEvent
	if x.events.last != "" {
		lastEvent = x.events.last
	}
	x.s.config.Dialect.Write(h, Call{
		RequestID: x.in.ID, Server: v.Server, Workspace: x.work.Workspace,
		Left: max(time.Until(x.deadline), time.Millisecond), LastEvent: lastEvent, FetchFrom: v.FetchFrom, Slot: x.slot,
	})
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = []string{""} // keeps net/http from adding its own
	}
	return &http.Request{
		Method: x.in.Method, Host: x.in.Host, Header: h, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		URL: &url.URL{Scheme: "http", Host: v.Address, Opaque: x.in.Target},
	}
}

// end tells the decisions how the attempt ended.
func (x *exchangeState) end(v dispatch.Verdict, a attemptEnd) attemptEnd {
	if a.outcome == dispatch.Silent {
		x.s.transport.DropIdle(v.Address)
	}
	x.s.ended(x.work, a.outcome)
	return a
}

// failed explains an exchange without an answer.
func (x *exchangeState) failed(ctx context.Context, err error, sent func() bool) attemptEnd {
	a := attemptEnd{err: err, sent: sent()}
	cause := context.Cause(ctx)
	switch {
	case x.caller.Err() != nil:
		a.outcome = dispatch.CallerLeft
	case !a.sent && (isTimeout(err) || cause != nil):
		a.outcome = dispatch.ConnectTimeout
	case !a.sent:
		a.outcome = dispatch.ConnectFailed
	case errors.Is(cause, errDeadline) || errors.Is(cause, errSilent):
		a.outcome, a.err = dispatch.Silent, cause
	default:
		a.outcome = dispatch.Broken
	}
	return a
}

// checkHead refuses what is no answer to this request, and what says that the
// request has not run.
func (x *exchangeState) checkHead(resp *http.Response, reply Reply) (attemptEnd, bool) {
	a := attemptEnd{sent: true, status: resp.StatusCode}
	switch {
	case reply.RequestID != x.in.ID:
		a.outcome = dispatch.Garbled
	case reply.Misdirected:
		a.outcome = dispatch.Misdirected
	case reply.NotExecuted:
		a.outcome = dispatch.NotExecuted
	case resp.StatusCode/100 == 2 && !reply.Sealed:
		a.outcome = dispatch.Garbled
	case resp.Header.Get("Content-Encoding") != "":
		a.outcome = dispatch.Garbled
	default:
		return a, false
	}
	return a, true
}

// plain holds the answer until it is whole.
func (x *exchangeState) plain(ctx context.Context, resp *http.Response) attemptEnd {
	a := attemptEnd{sent: true, status: resp.StatusCode}
	body, done, err := x.s.answers.read(resp.Body)
	x.release = append(x.release, done)
	if err != nil {
		return x.broken(ctx, a, err)
	}
	x.first = time.Since(x.in.Arrived)
	header := resp.Header.Clone()
	proxy.RemoveHop(header)
	h := &held{status: resp.StatusCode, header: header, body: body}
	if resp.StatusCode >= http.StatusInternalServerError {
		a.outcome, a.resp = dispatch.ServerError, h
		return a
	}
	a.outcome, a.done = dispatch.Whole, true
	x.passHeld(h)
	return a
}

func (x *exchangeState) broken(ctx context.Context, a attemptEnd, err error) attemptEnd {
	a.err = err
	cause := context.Cause(ctx)
	switch {
	case x.caller.Err() != nil:
		a.outcome = dispatch.CallerLeft
	case errors.Is(cause, errDeadline) || errors.Is(cause, errSilent):
		a.outcome, a.err = dispatch.Silent, cause
	case errors.Is(err, errAnswerTooLong) || errors.Is(err, errEventTooLong):
		a.outcome = dispatch.Garbled
	case errors.Is(err, errAnswerMemory):
		a.outcome = dispatch.Unheld
	default:
		a.outcome = dispatch.Broken
	}
	return a
}

// passHeld gives a whole answer to the caller.
func (x *exchangeState) passHeld(h *held) {
	out := x.w.Header()
	for name, values := range h.header {
		out[name] = values
	}
	out.Set("Content-Length", strconv.Itoa(len(h.body)))
	keepContentType(out)
	x.status, x.started = h.status, true
	x.w.WriteHeader(h.status)
	_, _ = x.w.Write(h.body) // a caller that has left needs no answer
}

// keepContentType keeps net/http from guessing a type that the server did not
// state.
func keepContentType(h http.Header) {
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
}

// stream passes events on as they arrive, whole ones only, so that another
// server can go on.
func (x *exchangeState) stream(ctx context.Context, resp *http.Response, silence *silenceWatch, arrival *proxy.Arrival) attemptEnd {
	a := attemptEnd{sent: true, status: resp.StatusCode}
	x.events.buffer = x.events.buffer[:0]
	resumed := x.started
	buf := make([]byte, copyBytes)
	x.s.streams.Add(1)
	defer x.s.streams.Add(-1)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			arrival.Mark()
			whole := x.events.pending(buf[:n])
			if len(x.events.buffer)-len(whole) > maxEventBytes {
				return x.broken(ctx, a, errEventTooLong)
			}
			if len(whole) > 0 {
				silence.progress(x.stall())
				if resumed && !follows(x.events.last, firstID(whole)) {
					a.outcome = dispatch.Garbled
					return a
				}
				resumed = false
				if !x.pass(resp, whole) {
					a.outcome, a.done = dispatch.CallerLeft, true
					return a
				}
				x.gather(ctx)
			}
		}
		if err == io.EOF {
			return x.streamEnd(a, resp)
		}
		if err != nil {
			return x.broken(ctx, a, err)
		}
	}
}

// gather lets events of a stream come together on a host with many streams.
func (x *exchangeState) gather(ctx context.Context) {
	pause := gatherTime(x.s.streams.Load(), x.s.config.PassWithin)
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

// gatherTime returns the pause after passed events on a host with that many
// open streams, where an event has to be passed on within a time.
func gatherTime(streams int64, within time.Duration) time.Duration {
	pause := time.Duration(streams) * gatherShare
	if pause < gatherLeast {
		return 0
	}
	return min(pause, time.Duration(gatherMost*float64(within)))
}

// pass gives whole events to the caller. It reports false if the caller has
// left.
func (x *exchangeState) pass(resp *http.Response, whole []byte) bool {
	if x.events.count == 0 {
		x.first = time.Since(x.in.Arrived)
	}
	x.s.started(x.work)
	x.startStream(resp)
	_, err := x.w.Write(whole)
	if err == nil {
		err = http.NewResponseController(x.w).Flush()
	}
	x.events.passed(whole)
	return err == nil
}

func (x *exchangeState) startStream(resp *http.Response) {
	if x.started {
		return
	}
	x.started, x.status = true, resp.StatusCode
	header := resp.Header.Clone()
	proxy.RemoveHop(header)
	header.Del("Content-Length")
	out := x.w.Header()
	for name, values := range header {
		out[name] = values
	}
	keepContentType(out)
	x.w.WriteHeader(resp.StatusCode)
}

// streamEnd is called after a clean end of the server's stream.
func (x *exchangeState) streamEnd(a attemptEnd, resp *http.Response) attemptEnd {
	if len(x.events.buffer) > 0 {
		a.outcome = dispatch.Broken // in the middle of an event
		return a
	}
	x.startStream(resp)
	a.outcome, a.done = dispatch.Whole, true
	return a
}

// stall returns the longest pause before a stream that can be resumed is given
// up at its server.
func (x *exchangeState) stall() time.Duration {
	last := x.sends+1 >= max(x.route.MaxAttempts, 1)
	if last || x.route.Repeat != routing.Resumable {
		return time.Until(x.deadline) + time.Second
	}
	pause := x.route.EventPause
	if pause == 0 {
		pause = defaultPause
	}
	return stallFactor * pause
}
