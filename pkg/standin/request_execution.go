package standin

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"
)

// abandonTimeout is how long an execution continues without a reader, so that
// its router can resume the stream.
const abandonTimeout = 2 * time.Second

var errServerFailed = errors.New("the server failed during the execution")

// requestExecution is the execution of one request with the response body
// produced so far. Readers can read the body from any offset. Lock order: the
// server lock before the lock of an execution.
type requestExecution struct {
	record ExecutionRecord
	ctx    context.Context
	cancel context.CancelCauseFunc
	pool   string
	chat   ChatRequest // empty for a plain service

	mu               sync.Mutex
	body             []byte
	tokens           int // in body, of a stream
	done             bool
	failed           bool
	changed          chan struct{} // closed and replaced after every change
	readers          int
	readersChangedAt time.Time // when the number of readers last changed
}

func newRequestExecution(e ExecutionRecord) *requestExecution {
	ctx, cancel := context.WithCancelCause(context.Background())
	return &requestExecution{record: e, ctx: ctx, cancel: cancel, changed: make(chan struct{})}
}

func (r *requestExecution) appendBody(b []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.body = append(r.body, b...)
	r.notifyReaders()
}

// appendToken appends the event of one token of a stream.
func (r *requestExecution) appendToken(event []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.body = append(r.body, event...)
	r.tokens++
	r.notifyReaders()
}

// next returns an execution that goes on with the stream in another process.
func (r *requestExecution) next() *requestExecution {
	out := newRequestExecution(r.record)
	out.record.Start = time.Now().UTC()
	r.mu.Lock()
	defer r.mu.Unlock()
	out.chat, out.body, out.tokens = r.chat, slices.Clone(r.body), r.tokens
	return out
}

func (r *requestExecution) finish(failed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.done, r.failed = true, failed
	r.notifyReaders()
}

func (r *requestExecution) notifyReaders() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// waitForBytes waits for body bytes after the offset. done means that the body
// is complete. The error is errServerFailed if the execution failed, or that of
// ctx.
func (r *requestExecution) waitForBytes(ctx context.Context, offset int) (part []byte, done bool, err error) {
	for {
		r.mu.Lock()
		part, done, failed, changed := r.body[min(offset, len(r.body)):], r.done, r.failed, r.changed
		r.mu.Unlock()
		if failed {
			return nil, true, errServerFailed
		}
		if len(part) > 0 || done {
			return part, done, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, false, ctx.Err()
		}
	}
}

func (r *requestExecution) adjustReaderCount(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers += n
	r.readersChangedAt = time.Now()
}

// abandoned reports whether the execution has had no reader for longer than
// abandonTimeout since the last one left.
func (r *requestExecution) abandoned() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.readers <= 0 && !r.readersChangedAt.IsZero() && time.Since(r.readersChangedAt) > abandonTimeout
}

// sleep waits for d and reports whether the execution is not cancelled.
func (r *requestExecution) sleep(d time.Duration) bool {
	if d <= 0 {
		return r.ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return r.ctx.Err() == nil
	case <-r.ctx.Done():
		return false
	}
}

// streamTo streams the body from the offset to the caller. It resets the
// connection if the execution fails.
func (r *requestExecution) streamTo(w http.ResponseWriter, request *http.Request, offset int) {
	r.adjustReaderCount(1)
	defer r.adjustReaderCount(-1)
	controller := http.NewResponseController(w)
	for {
		part, done, err := r.waitForBytes(request.Context(), offset)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if _, err := w.Write(part); err != nil {
			return
		}
		offset += len(part)
		if err := controller.Flush(); err != nil {
			return
		}
		if done {
			return
		}
	}
}

// waitForBody returns the complete body. It resets the connection if the
// execution fails.
func (r *requestExecution) waitForBody(request *http.Request) []byte {
	r.adjustReaderCount(1)
	defer r.adjustReaderCount(-1)
	var body []byte
	for {
		part, done, err := r.waitForBytes(request.Context(), len(body))
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		body = append(body, part...)
		if done {
			return body
		}
	}
}
