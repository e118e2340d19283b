package peer

import (
	"context"
	"sync"
	"time"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
)

// link is the queue to one router and its present stream.
type link struct {
	name    string
	address string
	ctx     context.Context
	stop    context.CancelCauseFunc
	wake    chan struct{} // holds a token while the queue has messages

	mu     sync.Mutex
	queue  []*apiv1.Envelope
	use    uint64 // number of the present stream, rises with each one
	active bool
	end    context.CancelCauseFunc // of the present stream
}

// attach makes a stream the present one and ends the one before it. Messages
// queued for the earlier stream are dropped: Connected sends what is needed.
func (l *link) attach(end context.CancelCauseFunc) (use uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.end != nil {
		l.end(errReplaced)
	}
	l.use++
	l.active = true
	l.end = end
	l.queue = nil
	return l.use
}

func (l *link) detach(use uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.use != use {
		return
	}
	l.active = false
	l.end = nil
	l.queue = nil
}

// reset ends the present stream.
func (l *link) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.end != nil {
		l.end(errReplaced)
	}
}

func (l *link) open() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.active
}

func (l *link) push(e *apiv1.Envelope) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.active || len(l.queue) >= maxQueue {
		return false
	}
	l.queue = append(l.queue, e)
	l.signal()
	return true
}

// signal needs the lock.
func (l *link) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// take returns the next messages of the stream, false if it is not the present
// one any more.
func (l *link) take(use uint64) ([]*apiv1.Envelope, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.use != use {
		l.signal()
		return nil, false
	}
	n := min(len(l.queue), maxBatchItems)
	items := l.queue[:n:n]
	l.queue = l.queue[n:]
	if len(l.queue) > 0 {
		l.signal()
	}
	return items, true
}

// send passes the queue on, at most once in BatchInterval, and heartbeats when
// it is empty.
func (l *link) send(ctx context.Context, cancel context.CancelCauseFunc, use uint64, s stream) {
	heartbeat := time.NewTimer(HeartbeatInterval)
	defer heartbeat.Stop()
	pause := time.NewTimer(0)
	defer pause.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-pause.C:
		}
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		case <-heartbeat.C:
		}
		items, present := l.take(use)
		if !present {
			return
		}
		if err := s.Send(&apiv1.Batch{Items: items}); err != nil {
			cancel(err)
			return
		}
		heartbeat.Reset(HeartbeatInterval)
		pause.Reset(BatchInterval)
	}
}
