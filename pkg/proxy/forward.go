package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/class"
	"jackdawtrack.example/jackdawtrack/pkg/pool"
	"jackdawtrack.example/jackdawtrack/pkg/release"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

const (
	copyBufferBytes = 4 << 10
	// maxResumes is the maximum number of attempts to resume one stream.
	maxResumes = 3
	// firstResumeDelay is the delay before the first attempt to resume a stream.
	// It doubles with each further attempt.
	firstResumeDelay = 50 * time.Millisecond
	// streamCloseTimeout is how long to wait for a server to close a response after
	// its end marker. The response is complete by then.
	streamCloseTimeout = 100 * time.Millisecond

	unitsPerPromptToken    = 1 // service units per prompt token
	unitsPerGeneratedToken = 4 // service units per generated token
)

// Causes with which the context of an exchange is cancelled.
var (
	errProgressTimeout = errors.New("no byte received within the progress timeout")
	errMaxDuration     = errors.New("maximum duration of the class exceeded")
	// ErrStopping is the cause with which a router that stops cancels its requests.
	// Their callers are still connected.
	ErrStopping = errors.New("the router stops")
)

// Request is a request to one BackendServer.
type Request struct {
	ID        string
	Address   string // IP and port
	Method    string
	Path      string // with query
	Header    http.Header
	Body      []byte
	Class     class.Class
	Kind      backend.Kind
	Abilities backend.Abilities

	// TakesUp: the caller asks for the rest of a stream, whose begin is not known here.
	TakesUp bool
	// Versions returns what is known of the software versions of the service, after
	// one of its servers stated the release. nil: the servers may differ.
	Versions func(stated release.ID) release.Versions

	// ObserveHead is called with the head of each answer, also of one that is not
	// forwarded. It may be nil.
	ObserveHead func(Head)
	// MaySendAgain reports whether the server may get one more request for this one. It
	// may wait for the rest of a broken stream, not for a cancel request. nil: always.
	MaySendAgain func(ctx context.Context, wait bool) bool

	// PromptTokens is the router's estimate, used when the engine reports no usage.
	PromptTokens uint64
	// InterceptServerError ends the exchange before any of a response with
	// status 500 or above is written to the sink, so that the request can be
	// retried.
	InterceptServerError bool
}

// Head is the head of an answer of a server.
type Head struct {
	Header  http.Header
	SentAt  time.Time // before the first byte of the request was sent
	Matches bool      // the answer belongs to the request
}

// Sink receives the response for the caller.
type Sink interface {
	// WriteHead writes the status line and the headers. It is called once,
	// before Write.
	WriteHead(status int, header http.Header) error
	// Write writes a part of the body without delay.
	Write(p []byte) (int, error)
}

// Report describes how a forwarded request ended.
type Report struct {
	Err           *result.Error // nil if the caller received the complete response
	Outcome       pool.Outcome
	Sent          bool // a byte of the request can have reached the server
	HeadWritten   bool // the head was written to the sink
	IsStream      bool // the response is a server-sent event stream
	PartialEvent  bool // the last event that the caller received is incomplete
	Lost          bool // the connection broke after a byte can have reached the server
	Status        int  // HTTP status of the server's response, 0 if there was none
	BytesWritten  int64
	ResumeCount   int
	CostUnits     uint64
	FirstToken    time.Duration // from the start of Forward to the first byte of the body
	TokenInterval time.Duration // mean between data events, 0 if unknown
}

// copyBuffers holds the read buffers of forwarded responses.
var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// forwarder is the state of one call of Forward. A resumed stream has several
// round trips.
type forwarder struct {
	t      *Transport
	r      *Request
	sink   Sink
	report Report

	requestCtx      context.Context // ends when the caller disconnects or MaxDuration passes
	progressTimer   *time.Timer
	cancelRoundTrip context.CancelCauseFunc // cancels the current round trip
	roundTrip       *roundTrip
	resp            *http.Response
	buf             []byte
	buffered        int // bytes of an incomplete event at the start of buf
	scanner         Scanner
	tail            tail
	startTime       time.Time
	firstByteAt     time.Time
	lastByteAt      time.Time
	bytesReceived   int64
	partialEvent    bool          // the last event written to the sink is incomplete
	began           writer        // of the first bytes
	resumeRefusal   *result.Error // nil unless another writer answered a resume request
}

// Forward sends the request and streams the response to the sink. It returns
// when the response is complete, has failed or was cancelled. It cancels a
// request at the server if it fails after it was sent.
func (t *Transport) Forward(ctx context.Context, r *Request, sink Sink) Report {
	requestCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if r.Class.MaxDuration > 0 {
		limit := time.AfterFunc(r.Class.MaxDuration, func() { cancel(errMaxDuration) })
		defer limit.Stop()
	}
	buf := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buf)
	f := &forwarder{t: t, r: r, sink: sink, requestCtx: requestCtx, buf: buf[:], startTime: time.Now()}
	defer f.closeRoundTrip()
	err := f.run()
	f.finish(err)
	return f.report
}

// needsUnpooledConn reports whether the request needs a connection of its own. A
// request that may not run twice must not use a pooled connection that the
// server may be closing. If the server does not repeat the request id, only a
// new connection ensures that the response belongs to this request.
func (r *Request) needsUnpooledConn() bool {
	return !r.Class.MayRunTwice || !r.Abilities.RepeatsID
}

// run sends the request and forwards the response. It resumes a broken stream if
// that is possible and otherwise returns the error that broke it.
func (f *forwarder) run() error {
	err := f.startRoundTrip(f.r.needsUnpooledConn(), f.r, nil, f.r.Body)
	if err != nil {
		return err
	}
	if err := f.checkResponseHead(); err != nil {
		return err
	}
	for {
		err := f.copyBody()
		if err == nil || !f.canResume(err) {
			return err
		}
		if resumeErr := f.resume(); resumeErr != nil {
			f.noteResumeRefusal(resumeErr)
			return err
		}
	}
}

// startRoundTrip sends a request with a context and progress timer of its own,
// and waits for the head of the response. It closes the round trip before.
func (f *forwarder) startRoundTrip(unpooled bool, r *Request, extra http.Header, body []byte) error {
	f.closeRoundTrip()
	ctx, cancelRoundTrip := context.WithCancelCause(f.requestCtx)
	f.cancelRoundTrip = cancelRoundTrip
	f.progressTimer = time.AfterFunc(f.progressTimeout(), func() { cancelRoundTrip(errProgressTimeout) })
	sentAt := time.Now()
	resp, tr, err := f.t.sendRequest(ctx, r, unpooled, extra, body)
	f.progressTimer.Stop()
	f.roundTrip = tr
	if err != nil {
		f.report.Sent = tr.abort() || f.report.Sent
		return f.causeOrErr(ctx, err)
	}
	f.report.Sent = true
	f.resp = resp
	if f.r.ObserveHead != nil {
		f.r.ObserveHead(Head{Header: resp.Header, SentAt: sentAt, Matches: f.checkRequestID() == nil})
	}
	return nil
}

// progressTimeout returns the longest time without a byte from the server.
func (f *forwarder) progressTimeout() time.Duration {
	if f.r.Class.ProgressTimeout > 0 {
		return f.r.Class.ProgressTimeout
	}
	return class.Class{}.WithDefaults().ProgressTimeout
}

// closeRoundTrip closes the response and cancels the current round trip.
func (f *forwarder) closeRoundTrip() {
	if f.resp != nil {
		f.resp.Body.Close()
		f.resp = nil
	}
	if f.progressTimer != nil {
		f.progressTimer.Stop()
	}
	if f.cancelRoundTrip != nil {
		f.cancelRoundTrip(nil)
	}
}

// causeOrErr returns the cause of the cancellation if ctx was cancelled,
// otherwise err.
func (f *forwarder) causeOrErr(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

// checkResponseHead checks the request id of a response before any of it is written
// to the sink.
func (f *forwarder) checkResponseHead() error {
	f.report.Status = f.resp.StatusCode
	if err := f.checkRequestID(); err != nil {
		return err
	}
	if !IsFinalStatus(f.resp.StatusCode) {
		return result.New(result.StreamBroken, "the server answered with status %d", f.resp.StatusCode)
	}
	f.report.IsStream = isEventStream(f.resp.Header)
	f.began = writerOf(f.resp.Header)
	known := f.versions(f.began)
	if f.resp.StatusCode >= http.StatusInternalServerError && f.r.InterceptServerError {
		return result.New(result.ServerError, "the server answered with status %d", f.resp.StatusCode)
	}
	if f.r.TakesUp && f.report.IsStream && !f.began.canTakeUp(known) {
		return result.New(result.ReleaseChanged, "it is not known what began the stream, and %s answered", f.began)
	}
	return nil
}

// checkRequestID checks that the response belongs to this request. A response
// without an id is accepted if the server does not repeat ids.
func (f *forwarder) checkRequestID() error {
	got := f.resp.Header.Get(HeaderRequestID)
	if got == f.r.ID || got == "" && !f.r.Abilities.RepeatsID {
		return nil
	}
	return result.New(result.IdentityMismatch, "the server's response carries request id %q", got)
}

// IsFinalStatus reports whether a status can be that of a complete response. net/http
// reads any three digits, but panics when it writes some of them.
func IsFinalStatus(status int) bool {
	return status >= http.StatusOK && status < 600
}

func isEventStream(h http.Header) bool {
	kind, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return strings.EqualFold(strings.TrimSpace(kind), "text/event-stream")
}

// IsFramed reports whether a response has a length or chunks. Any other one ends
// with its connection: a connection that was closed ends it, one that was reset has
// cut it off.
func IsFramed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || slices.Contains(resp.TransferEncoding, "chunked")
}

// copyBody forwards the body until its end.
func (f *forwarder) copyBody() error {
	for {
		n, err := f.readBody()
		if n > 0 {
			if err := f.forwardBytes(n); err != nil {
				return err
			}
		}
		switch {
		case f.report.IsStream && f.scanner.Done:
			f.awaitStreamClose(err)
			return f.flushBuffered()
		case err == io.EOF:
			return f.handleEOF()
		case err != nil:
			return err
		}
	}
}

// readBody reads the next bytes of the body under the progress timeout. The time
// that the sink takes does not count.
func (f *forwarder) readBody() (int, error) {
	f.progressTimer.Reset(f.progressTimeout())
	n, err := f.resp.Body.Read(f.buf[f.buffered:])
	f.progressTimer.Stop()
	if n > 0 {
		f.lastByteAt = time.Now()
		if f.firstByteAt.IsZero() {
			f.firstByteAt = f.lastByteAt
		}
		f.bytesReceived += int64(n)
	}
	if err != nil && err != io.EOF {
		err = f.causeOrErr(f.resp.Request.Context(), err)
	}
	return n, err
}

// forwardBytes writes the n bytes that were read last to the sink. Of a stream it
// writes complete events only, so that an error event can follow at any time. An
// event larger than the buffer is written in parts.
func (f *forwarder) forwardBytes(n int) error {
	end := f.buffered + n
	if !f.report.IsStream {
		f.tail.write(f.buf[:end])
		return f.writeToSink(f.buf[:end])
	}
	boundary := f.scanner.Write(f.buf[f.buffered:end])
	if boundary > 0 {
		boundary += f.buffered
		f.partialEvent = false
	} else if end == len(f.buf) {
		boundary = end
		f.partialEvent = true
	}
	if boundary == 0 {
		f.buffered = end
		return nil
	}
	err := f.writeToSink(f.buf[:boundary])
	f.buffered = copy(f.buf, f.buf[boundary:end])
	return err
}

// writeToSink writes the head if that is still to be done, and then p.
func (f *forwarder) writeToSink(p []byte) error {
	if err := f.writeHead(); err != nil {
		return err
	}
	if len(p) == 0 {
		return nil
	}
	n, err := f.sink.Write(p)
	f.report.BytesWritten += int64(n)
	if err != nil {
		return result.Wrap(result.CallerLeft, err, "writing the response to the caller failed")
	}
	return nil
}

// writeHead writes the status and the headers once.
func (f *forwarder) writeHead() error {
	if f.report.HeadWritten {
		return nil
	}
	f.report.HeadWritten = true
	h := responseHeader(f.resp.Header)
	if !f.report.IsStream && f.resp.ContentLength >= 0 {
		h["Content-Length"] = f.resp.Header["Content-Length"]
	}
	if err := f.sink.WriteHead(f.resp.StatusCode, h); err != nil {
		return result.Wrap(result.CallerLeft, err, "writing the response to the caller failed")
	}
	return nil
}

// flushBuffered writes the bytes of an incomplete event to the sink.
func (f *forwarder) flushBuffered() error {
	buffered := f.buffered
	f.buffered = 0
	return f.writeToSink(f.buf[:buffered])
}

// awaitStreamClose waits for the server to close the response, so that the
// connection can be reused. err is the error of the last read.
func (f *forwarder) awaitStreamClose(err error) {
	if err != nil {
		return
	}
	f.progressTimer.Reset(streamCloseTimeout)
	var rest [16]byte
	_, _ = f.resp.Body.Read(rest[:])
	f.progressTimer.Stop()
}

// handleEOF checks that a cleanly closed response is complete and writes the
// buffered rest. A stream with status 200 needs its end marker. Without a length or
// chunks, the end of a server looks like that of a response, so the marker needs its
// blank line: without that, callers drop the event.
func (f *forwarder) handleEOF() error {
	framed := IsFramed(f.resp)
	if f.report.IsStream && f.resp.StatusCode == http.StatusOK && !(framed && f.scanner.SawEndMarker()) {
		f.report.Lost = !framed
		return result.New(result.StreamBroken, "the stream ended without its end marker")
	}
	return f.flushBuffered()
}
