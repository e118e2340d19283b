package proxy

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/pool"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// canResume reports whether a broken stream can be resumed: the server announced
// that it can, the caller is still connected, and the response was valid.
func (f *forwarder) canResume(err error) bool {
	if !f.report.IsStream || !f.r.Abilities.Resume || f.report.ResumeCount >= maxResumes {
		return false
	}
	if f.requestCtx.Err() != nil || f.resp == nil || f.report.Status != http.StatusOK {
		return false
	}
	code, ok := result.CodeOf(err)
	return !ok || code == result.StreamBroken
}

// resumeBody is the body of a resume request. It is not the body of the original
// request, so a server that lost the stream cannot execute the request again.
var resumeBody = []byte("{}")

// resume continues the stream on a new connection at the offset of the bytes
// received so far. It retries with exponential backoff until maxResumes is
// reached or the error is final.
func (f *forwarder) resume() error {
	delay := firstResumeDelay
	for f.report.ResumeCount < maxResumes {
		f.report.ResumeCount++
		select {
		case <-f.requestCtx.Done():
			return context.Cause(f.requestCtx)
		case <-time.After(delay):
		}
		delay *= 2
		if !f.r.maySendAgain(f.requestCtx, true) {
			continue
		}
		err := f.resumeOnce()
		if err == nil {
			return nil
		}
		if _, final := result.CodeOf(err); final {
			return err
		}
	}
	return errors.New("every attempt to resume the stream failed")
}

// maySendAgain calls MaySendAgain if it is set.
func (r *Request) maySendAgain(ctx context.Context, wait bool) bool {
	return r.MaySendAgain == nil || r.MaySendAgain(ctx, wait)
}

// resumeOnce sends one resume request and checks that the server continues at
// the requested offset.
func (f *forwarder) resumeOnce() error {
	r := *f.r
	r.Method = http.MethodPost
	offset := strconv.FormatInt(f.bytesReceived, 10)
	err := f.startRoundTrip(true, &r, http.Header{HeaderResumeOffset: {offset}}, resumeBody)
	if err != nil {
		return err
	}
	if err := f.checkRequestID(); err != nil {
		return err
	}
	// Without the offset header the server may have restarted at the first byte;
	// with another offset bytes would be lost or duplicated.
	serverOffset := f.resp.Header.Get(HeaderResumeOffset)
	if f.resp.StatusCode != http.StatusOK || !isEventStream(f.resp.Header) || serverOffset != offset {
		return result.New(result.StreamBroken, "the server did not resume the stream: status %d, offset %q", f.resp.StatusCode, serverOffset)
	}
	return f.checkWriter()
}

// noteResumeRefusal keeps the error of a resume that was refused because of its
// writer. It replaces the error of the broken stream, whose other results stay.
func (f *forwarder) noteResumeRefusal(err error) {
	var refusal *result.Error
	if errors.As(err, &refusal) && refusal.Code == result.ReleaseChanged {
		f.resumeRefusal = refusal
	}
}

// finish completes the report after the exchange ended with err, and cancels the
// request at the server if it failed after it was sent.
func (f *forwarder) finish(err error) {
	f.report.PartialEvent = f.partialEvent
	f.recordLatencyAndCost()
	if err == nil {
		f.reportSuccess()
		return
	}
	f.report.Err, f.report.Outcome = f.classifyError(err)
	if f.resumeRefusal != nil {
		f.report.Err = f.resumeRefusal
	}
	if f.report.Outcome == pool.OutcomeSilent {
		f.t.conns.closeIdle(f.r.Address)
	}
	if f.report.Sent {
		f.cancelAtServer()
	}
}

// reportSuccess sets the outcome of a response that was received completely.
func (f *forwarder) reportSuccess() {
	f.report.Outcome = pool.OutcomeOK
	if f.report.Status >= http.StatusInternalServerError {
		f.report.Outcome = pool.OutcomeServerError
	}
}

// classifyError maps the error to the result for the caller, which tells whether
// the request can have been executed, and to the outcome for the concurrency
// limiter of the server.
func (f *forwarder) classifyError(err error) (*result.Error, pool.Outcome) {
	var known *result.Error
	switch {
	case errors.As(err, &known):
		return known, outcomeForCode(known.Code)
	case f.requestCtx.Err() != nil && isOwnEnd(context.Cause(f.requestCtx)):
		return f.resultIfSent(result.StreamBroken, result.ConnectFailed, err), pool.OutcomeCancelled
	case f.requestCtx.Err() != nil:
		return f.resultIfSent(result.CallerLeft, result.CallerLeftWaiting, err), f.outcomeIfSent(pool.OutcomeCancelled, pool.OutcomeUnused)
	case errors.Is(err, errProgressTimeout):
		return f.resultIfSent(result.ServerSilent, result.ConnectFailed, err), f.outcomeIfSent(pool.OutcomeSilent, pool.OutcomeConnectFailed)
	default:
		f.report.Lost = f.report.Sent
		return f.resultIfSent(result.StreamBroken, result.ConnectFailed, err), f.outcomeIfSent(pool.OutcomeBroken, pool.OutcomeConnectFailed)
	}
}

// isOwnEnd reports whether this router has cancelled a request whose caller is
// connected.
func isOwnEnd(cause error) bool {
	return errors.Is(cause, errMaxDuration) || errors.Is(cause, ErrStopping)
}

// outcomeForCode returns the outcome of a failure with a known result code.
func outcomeForCode(c result.Code) pool.Outcome {
	switch c {
	case result.CallerLeft, result.ReleaseChanged:
		return pool.OutcomeCancelled // the server did nothing wrong
	case result.ServerError:
		return pool.OutcomeServerError
	default:
		return pool.OutcomeBroken
	}
}

// resultIfSent returns an error with the code sent if a byte of the request can
// have reached the server, otherwise with the code unsent.
func (f *forwarder) resultIfSent(sent, unsent result.Code, cause error) *result.Error {
	if f.report.Sent {
		return result.Wrap(sent, cause, "the request was sent to the server")
	}
	return result.Wrap(unsent, cause, "nothing was sent to the server")
}

// outcomeIfSent selects the outcome in the same way as resultIfSent.
func (f *forwarder) outcomeIfSent(sent, unsent pool.Outcome) pool.Outcome {
	if f.report.Sent {
		return sent
	}
	return unsent
}

// cancelAtServer stops the execution of the request at the server. Most servers
// stop when the connection closes; those that announce the cancel ability also
// get a cancel request.
func (f *forwarder) cancelAtServer() {
	f.closeRoundTrip()
	if !f.r.Abilities.Cancel || f.report.Err.Code == result.ServerError {
		return
	}
	t, r := f.t, f.r
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		if r.maySendAgain(ctx, false) {
			_ = t.Cancel(ctx, r.Address, r.ID)
		}
	}()
}

// cancelTimeout bounds a cancel request. A server that does not receive it has
// lost the connection of the original request as well.
const cancelTimeout = 2 * time.Second

// recordLatencyAndCost fills in the latencies, and the cost in service units if
// the request was sent. A plain service costs one unit per millisecond, an engine
// costs units per token.
func (f *forwarder) recordLatencyAndCost() {
	if !f.firstByteAt.IsZero() {
		f.report.FirstToken = f.firstByteAt.Sub(f.startTime)
	}
	events := f.scanner.Events
	if events > 1 {
		f.report.TokenInterval = f.lastByteAt.Sub(f.firstByteAt) / time.Duration(events-1)
	}
	if !f.report.Sent {
		return
	}
	if f.r.Kind == backend.Service {
		f.report.CostUnits = uint64(max(time.Since(f.startTime).Milliseconds(), 1))
		return
	}
	usage := f.scanner.Usage
	if !f.report.IsStream {
		usage = f.tail.usage()
	}
	if usage == nil {
		usage = &Usage{PromptTokens: f.r.PromptTokens, CompletionTokens: events}
	}
	f.report.CostUnits = unitsPerPromptToken*usage.PromptTokens + unitsPerGeneratedToken*max(usage.CompletionTokens, events)
}

// errorBody is the JSON form of a rejected request or a broken stream.
type errorBody struct {
	Code         uint32          `json:"code"`
	Name         string          `json:"name"`
	Executed     result.Executed `json:"executed"`
	RetryAfterMS int64           `json:"retry_after_ms"`
	Message      string          `json:"message"`
}

// ErrorBody returns the JSON body that callers receive for an error.
func ErrorBody(e *result.Error) []byte {
	entry, _ := result.Lookup(e.Code)
	body, _ := json.Marshal(errorBody{
		Code:         uint32(e.Code),
		Name:         entry.Name,
		Executed:     e.Code.Executed(),
		RetryAfterMS: e.RetryAfter.Milliseconds(),
		Message:      e.Message,
	})
	return body
}

// ErrorEvent returns the server-sent event that ends a broken stream. With
// partialEvent it first terminates an event that the caller received in part.
func ErrorEvent(e *result.Error, partialEvent bool) []byte {
	var out []byte
	if partialEvent {
		out = append(out, "\n\n"...)
	}
	out = append(out, "event: error\ndata: "...)
	out = append(out, ErrorBody(e)...)
	return append(out, "\n\n"...)
}
