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

// resumable reports whether a broken stream can be continued: the server
// announced it, the caller is still there and the answer was the right one.
func (f *flow) resumable(err error) bool {
	if !f.report.Stream || !f.r.Abilities.Resume || f.report.Resumes >= maxResumes {
		return false
	}
	if f.base.Err() != nil || f.resp == nil || f.report.Status != http.StatusOK {
		return false
	}
	code, ok := result.CodeOf(err)
	return !ok || code == result.StreamBroken
}

// resumeBody is the body of a continuation. It is not the request, so a
// server that lost the stream cannot start a second run.
var resumeBody = []byte("{}")

// resume continues the stream on a new connection at the number of bytes
// received.
func (f *flow) resume() error {
	delay := resumeDelay
	for f.report.Resumes < maxResumes {
		f.report.Resumes++
		select {
		case <-f.base.Done():
			return context.Cause(f.base)
		case <-time.After(delay):
		}
		delay *= 2
		err := f.reopen()
		if err == nil {
			return nil
		}
		if _, final := result.CodeOf(err); final {
			return err
		}
	}
	return errors.New("every attempt to continue the stream failed")
}

func (f *flow) reopen() error {
	r := *f.r
	r.Method = http.MethodPost
	offset := strconv.FormatInt(f.received, 10)
	err := f.open(true, &r, http.Header{HeaderResumeOffset: {offset}}, resumeBody)
	if err != nil {
		return err
	}
	if err := f.checkIdentity(); err != nil {
		return err
	}
	// A server without the offset may have started at the first byte, and one
	// with another offset would lose or double bytes.
	from := f.resp.Header.Get(HeaderResumeOffset)
	if f.resp.StatusCode/100 != 2 || !isEventStream(f.resp.Header) || from != offset {
		return result.New(result.StreamBroken, "the server does not continue the stream: status %d, offset %q", f.resp.StatusCode, from)
	}
	return nil
}

// finish fills the report from the end of the exchange.
func (f *flow) finish(err error) {
	f.report.MidEvent = f.partial
	f.measure()
	if err == nil {
		f.succeed()
		return
	}
	f.report.Err, f.report.Outcome = f.classify(err)
	if f.report.Outcome == pool.OutcomeSilent {
		f.t.conns.dropIdle(f.r.Address)
	}
	if f.report.Sent {
		f.abandon()
	}
}

func (f *flow) succeed() {
	f.report.Outcome = pool.OutcomeOK
	if f.report.Status >= http.StatusInternalServerError {
		f.report.Outcome = pool.OutcomeServerError
	}
}

// classify turns the error into a truthful result and an outcome for the
// limiter of the server.
func (f *flow) classify(err error) (*result.Error, pool.Outcome) {
	var known *result.Error
	switch {
	case errors.As(err, &known):
		return known, outcomeOf(known.Code)
	case f.base.Err() != nil && errors.Is(context.Cause(f.base), errTooLong):
		return f.given(result.StreamBroken, result.ConnectFailed, err), pool.OutcomeCancelled
	case f.base.Err() != nil:
		return f.given(result.CallerLeft, result.CallerLeftWaiting, err), f.outcomeIfSent(pool.OutcomeCancelled, pool.OutcomeUnused)
	case errors.Is(err, errSilent):
		return f.given(result.ServerSilent, result.ConnectFailed, err), f.outcomeIfSent(pool.OutcomeSilent, pool.OutcomeConnectFailed)
	default:
		return f.given(result.StreamBroken, result.ConnectFailed, err), f.outcomeIfSent(pool.OutcomeBroken, pool.OutcomeConnectFailed)
	}
}

func outcomeOf(c result.Code) pool.Outcome {
	switch c {
	case result.CallerLeft:
		return pool.OutcomeCancelled
	case result.ServerError:
		return pool.OutcomeServerError
	default:
		return pool.OutcomeBroken
	}
}

// given chooses between the code of a sent request and that of an unsent one.
func (f *flow) given(sent, unsent result.Code, cause error) *result.Error {
	if f.report.Sent {
		return result.Wrap(sent, cause, "the request was sent to the server")
	}
	return result.Wrap(unsent, cause, "nothing was sent to the server")
}

func (f *flow) outcomeIfSent(sent, unsent pool.Outcome) pool.Outcome {
	if f.report.Sent {
		return sent
	}
	return unsent
}

// abandon stops work at the server that nobody waits for. Closing the
// connection is enough for most servers; others announce a cancel order.
func (f *flow) abandon() {
	f.closeTrip()
	if !f.r.Abilities.Cancel || f.report.Err.Code == result.ServerError {
		return
	}
	t, address, id := f.t, f.r.Address, f.r.ID
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		_ = t.Cancel(ctx, address, id)
	}()
}

// cancelTimeout bounds a cancel order. A server that misses it also lost the
// connection of the request.
const cancelTimeout = 2 * time.Second

// measure computes latencies and cost in service units.
func (f *flow) measure() {
	if !f.first.IsZero() {
		f.report.FirstToken = f.first.Sub(f.begun)
	}
	events := f.scanner.Events
	if events > 1 {
		f.report.TokenInterval = f.last.Sub(f.first) / time.Duration(events-1)
	}
	if !f.report.Sent {
		return
	}
	if f.r.Kind == backend.Service {
		f.report.CostUnits = uint64(max(time.Since(f.begun).Milliseconds(), 1))
		return
	}
	usage := f.scanner.Usage
	if !f.report.Stream {
		usage = f.tail.usage()
	}
	if usage == nil {
		usage = &Usage{PromptTokens: f.r.PromptTokens, CompletionTokens: events}
	}
	f.report.CostUnits = promptTokenUnits*usage.PromptTokens + generatedTokenUnits*max(usage.CompletionTokens, events)
}

// errorBody is the JSON form of a refusal or of a broken stream.
type errorBody struct {
	Code         uint32          `json:"code"`
	Name         string          `json:"name"`
	Executed     result.Executed `json:"executed"`
	RetryAfterMS int64           `json:"retry_after_ms"`
	Message      string          `json:"message"`
}

// ErrorBody returns the JSON body that callers get with a result code.
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

// ErrorEvent returns the event that ends a broken stream. It first ends an
// event that the caller received in part.
func ErrorEvent(e *result.Error, midEvent bool) []byte {
	var out []byte
	if midEvent {
		out = append(out, "\n\n"...)
	}
	out = append(out, "event: error\ndata: "...)
	out = append(out, ErrorBody(e)...)
	return append(out, "\n\n"...)
}
