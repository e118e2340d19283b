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
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

const (
	copyBufferBytes = 4 << 10
	// maxResumes bounds how often one stream is continued.
	maxResumes = 3
	// resumeDelay is the pause before the first attempt to continue a stream;
	// each further attempt waits twice as long.
	resumeDelay = 50 * time.Millisecond
	// endGrace is how long a server may take to close an answer after its end
	// marker. The answer is whole by then.
	endGrace = 100 * time.Millisecond

	promptTokenUnits    = 1 // service units per prompt token
	generatedTokenUnits = 4 // service units per generated token
)

// Causes of a cancelled exchange.
var (
	errSilent  = errors.New("no byte within the progress timeout")
	errTooLong = errors.New("longest duration of the class passed")
)

// Request is one request to one BackendServer.
type Request struct {
	ID        string
	Address   string // IP and port
	Method    string
	Path      string // path and query
	Header    http.Header
	Body      []byte
	Class     class.Class
	Kind      backend.Kind
	Abilities backend.Abilities

	// PromptTokens is the router's estimate, used when the engine reports none.
	PromptTokens uint64
	// HoldServerError ends the exchange before an answer with status 500 or
	// above reaches the caller, so that the request can be run again.
	HoldServerError bool
}

// Sink is the caller's side of an answer.
type Sink interface {
	// Start sends the status line and headers.
	Start(status int, header http.Header) error
	// Write sends a piece at once.
	Write(p []byte) (int, error)
}

// Report says how an exchange ended.
type Report struct {
	Err           *result.Error // nil if the caller received the whole answer
	Outcome       pool.Outcome
	Sent          bool // a byte can have reached the server
	Started       bool // the caller received the head of the answer
	Stream        bool // the answer is a server-sent event stream
	MidEvent      bool // the caller received a part of an event
	Status        int  // status of the server's answer, 0 if none
	Bytes         int64
	Resumes       int
	CostUnits     uint64
	FirstToken    time.Duration // dispatch to first byte of the answer
	TokenInterval time.Duration // mean over the answer, 0 if unknown
}

// buffers holds copy buffers of streams.
var buffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// flow is the state of one exchange.
type flow struct {
	t      *Transport
	r      *Request
	sink   Sink
	report Report

	base     context.Context // ends with the caller or the longest duration
	dog      *time.Timer
	cancel   context.CancelCauseFunc // of the present trip
	trip     *trip
	resp     *http.Response
	buf      []byte
	held     int // bytes of an unfinished event at the start of buf
	scanner  Scanner
	tail     tail
	begun    time.Time
	first    time.Time
	last     time.Time
	received int64
	partial  bool // a part of an event was emitted
}

// Forward sends the request and streams the answer into the sink. It returns
// when the answer is whole or given up.
func (t *Transport) Forward(ctx context.Context, r *Request, sink Sink) Report {
	base, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if r.Class.MaxDuration > 0 {
		limit := time.AfterFunc(r.Class.MaxDuration, func() { cancel(errTooLong) })
		defer limit.Stop()
	}
	buf := buffers.Get().(*[copyBufferBytes]byte)
	defer buffers.Put(buf)
	f := &flow{t: t, r: r, sink: sink, base: base, buf: buf[:], begun: time.Now()}
	defer f.closeTrip()
	err := f.run()
	f.finish(err)
	return f.report
}

// freshOnly reports whether the request needs a connection of its own: a
// request that may not run twice must not meet a connection that the server
// is closing, and without an id in the answer only a new connection tells
// whose answer it is.
func (r *Request) freshOnly() bool {
	return !r.Class.MayRunTwice || !r.Abilities.RepeatsID
}

func (f *flow) run() error {
	err := f.open(f.r.freshOnly(), f.r, nil, f.r.Body)
	if err != nil {
		return err
	}
	if err := f.checkHead(); err != nil {
		return err
	}
	for {
		err := f.copy()
		if err == nil || !f.resumable(err) {
			return err
		}
		if f.resume() != nil {
			return err
		}
	}
}

// open starts a trip with its own context and progress timer.
func (f *flow) open(fresh bool, r *Request, extra http.Header, body []byte) error {
	f.closeTrip()
	ctx, cancel := context.WithCancelCause(f.base)
	f.cancel = cancel
	f.dog = time.AfterFunc(f.progress(), func() { cancel(errSilent) })
	resp, tr, err := f.t.send(ctx, r, fresh, extra, body)
	f.dog.Stop()
	f.trip = tr
	if err != nil {
		f.report.Sent = tr.sent() || f.report.Sent
		return f.explain(ctx, err)
	}
	f.report.Sent = true
	f.resp = resp
	return nil
}

func (f *flow) progress() time.Duration {
	if f.r.Class.ProgressTimeout > 0 {
		return f.r.Class.ProgressTimeout
	}
	return class.Class{}.Normalize().ProgressTimeout
}

func (f *flow) closeTrip() {
	if f.resp != nil {
		f.resp.Body.Close()
		f.resp = nil
	}
	if f.dog != nil {
		f.dog.Stop()
	}
	if f.cancel != nil {
		f.cancel(nil)
	}
}

// explain replaces the error of a cancelled exchange by the cause of it.
func (f *flow) explain(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

// checkHead checks identity and framing of an answer before any of it reaches
// the caller.
func (f *flow) checkHead() error {
	f.report.Status = f.resp.StatusCode
	if err := f.checkIdentity(); err != nil {
		return err
	}
	f.report.Stream = isEventStream(f.resp.Header)
	if !f.report.Stream && !framed(f.resp) {
		return result.New(result.StreamBroken, "the answer of the server has neither a length nor chunks")
	}
	if f.resp.StatusCode >= http.StatusInternalServerError && f.r.HoldServerError {
		return result.New(result.ServerError, "the server answered with status %d", f.resp.StatusCode)
	}
	return nil
}

func (f *flow) checkIdentity() error {
	got := f.resp.Header.Get(HeaderRequestID)
	if got == f.r.ID || got == "" && !f.r.Abilities.RepeatsID {
		return nil
	}
	return result.New(result.IdentityMismatch, "the answer of the server names request %q", got)
}

func isEventStream(h http.Header) bool {
	kind, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return strings.EqualFold(strings.TrimSpace(kind), "text/event-stream")
}

// framed reports whether the end of the answer can be told from a lost
// connection.
func framed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || slices.Contains(resp.TransferEncoding, "chunked")
}

// copy passes the answer until its end.
func (f *flow) copy() error {
	for {
		n, err := f.read()
		if n > 0 {
			if err := f.pass(n); err != nil {
				return err
			}
		}
		switch {
		case f.report.Stream && f.scanner.Done:
			f.awaitEnd(err)
			return f.flushHeld()
		case err == io.EOF:
			return f.atEnd()
		case err != nil:
			return err
		}
	}
}

func (f *flow) read() (int, error) {
	f.dog.Reset(f.progress())
	n, err := f.resp.Body.Read(f.buf[f.held:])
	f.dog.Stop()
	if n > 0 {
		f.last = time.Now()
		if f.first.IsZero() {
			f.first = f.last
		}
		f.received += int64(n)
	}
	if err != nil && err != io.EOF {
		err = f.explain(f.resp.Request.Context(), err)
	}
	return n, err
}

// pass emits the new bytes. Of a stream it emits whole events only, so that an
// error event can follow at any time; an event larger than the buffer passes
// in parts.
func (f *flow) pass(n int) error {
	end := f.held + n
	if !f.report.Stream {
		f.tail.write(f.buf[:end])
		return f.emit(f.buf[:end])
	}
	boundary := f.scanner.Write(f.buf[f.held:end])
	if boundary > 0 {
		boundary += f.held
		f.partial = false
	} else if end == len(f.buf) {
		boundary = end
		f.partial = true
	}
	if boundary == 0 {
		f.held = end
		return nil
	}
	err := f.emit(f.buf[:boundary])
	f.held = copy(f.buf, f.buf[boundary:end])
	return err
}

func (f *flow) emit(p []byte) error {
	if err := f.start(); err != nil {
		return err
	}
	if len(p) == 0 {
		return nil
	}
	n, err := f.sink.Write(p)
	f.report.Bytes += int64(n)
	if err != nil {
		return result.Wrap(result.CallerLeft, err, "the caller does not take the answer")
	}
	return nil
}

func (f *flow) start() error {
	if f.report.Started {
		return nil
	}
	f.report.Started = true
	h := answerHeader(f.resp.Header)
	if !f.report.Stream && f.resp.ContentLength >= 0 {
		h["Content-Length"] = f.resp.Header["Content-Length"]
	}
	if err := f.sink.Start(f.resp.StatusCode, h); err != nil {
		return result.Wrap(result.CallerLeft, err, "the caller does not take the answer")
	}
	return nil
}

func (f *flow) flushHeld() error {
	held := f.held
	f.held = 0
	return f.emit(f.buf[:held])
}

// awaitEnd lets the server close the answer, so that its connection can serve
// another request.
func (f *flow) awaitEnd(err error) {
	if err != nil {
		return
	}
	f.dog.Reset(endGrace)
	var rest [16]byte
	_, _ = f.resp.Body.Read(rest[:])
	f.dog.Stop()
}

// atEnd checks that a cleanly closed answer is whole.
func (f *flow) atEnd() error {
	if f.report.Stream && f.resp.StatusCode == http.StatusOK && !f.scanner.Ended() {
		return result.New(result.StreamBroken, "the stream ended without its end marker")
	}
	return f.flushHeld()
}
