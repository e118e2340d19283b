package standin

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"
)

// resumeGrace is how long a run goes on without a reader, so that its router
// can resume the stream.
const resumeGrace = 2 * time.Second

var errBroken = errors.New("the server failed")

// run is one execution with its answer so far. Readers follow it from any
// offset. The run lock is taken after the server lock, never before.
type run struct {
	execution Execution
	ctx       context.Context
	cancel    context.CancelCauseFunc

	mu      sync.Mutex
	answer  []byte
	done    bool
	failed  bool
	changed chan struct{} // closed and replaced on every change
	readers int
	left    time.Time // when the last reader left
}

func newRun(e Execution) *run {
	ctx, cancel := context.WithCancelCause(context.Background())
	return &run{execution: e, ctx: ctx, cancel: cancel, changed: make(chan struct{})}
}

func (r *run) write(b []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answer = append(r.answer, b...)
	r.wake()
}

func (r *run) finish(failed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.done, r.failed = true, failed
	r.wake()
}

func (r *run) wake() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// next waits for bytes after the offset. done tells that the answer is whole;
// an error tells that the run failed.
func (r *run) next(ctx context.Context, offset int) (part []byte, done bool, err error) {
	for {
		r.mu.Lock()
		part, done, failed, changed := r.answer[min(offset, len(r.answer)):], r.done, r.failed, r.changed
		r.mu.Unlock()
		if failed {
			return nil, true, errBroken
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

func (r *run) addReader(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers += n
	r.left = time.Now()
}

// abandoned reports whether nobody has read the run for resumeGrace.
func (r *run) abandoned() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.readers <= 0 && !r.left.IsZero() && time.Since(r.left) > resumeGrace
}

// pause waits and reports whether the run may go on.
func (r *run) pause(d time.Duration) bool {
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

// follow copies the answer from the offset to the caller.
func (r *run) follow(w http.ResponseWriter, request *http.Request, offset int) {
	r.addReader(1)
	defer r.addReader(-1)
	flush := http.NewResponseController(w)
	for {
		part, done, err := r.next(request.Context(), offset)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if _, err := w.Write(part); err != nil {
			return
		}
		offset += len(part)
		if err := flush.Flush(); err != nil {
			return
		}
		if done {
			return
		}
	}
}

// collect waits for the whole answer.
func (r *run) collect(request *http.Request) []byte {
	r.addReader(1)
	defer r.addReader(-1)
	var all []byte
	for {
		part, done, err := r.next(request.Context(), len(all))
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		all = append(all, part...)
		if done {
			return all
		}
	}
}
