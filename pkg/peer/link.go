package peer

import (
	"context"
	"sync"
	"time"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
)

// link is the send queue to one router and its current stream.
type link struct {
	name    string
	address string
	ctx     context.Context
	stop    context.CancelCauseFunc
	wake    chan struct{} // holds a value while the queue has messages

	mu           sync.Mutex
	queue        []*apiv1.Envelope
	generation   uint64 // number of the current stream, incremented with each new one
	connected    bool
	cancelStream context.CancelCauseFunc // cancels the current stream
}

// attachStream makes a new stream the current one, cancels the one before it and
// returns the generation of the new one. Messages queued for the earlier stream
// are dropped: the handler resends what the other router still needs.
func (l *link) attachStream(cancelStream context.CancelCauseFunc) (generation uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cancelStream != nil {
		l.cancelStream(errReplaced)
	}
	l.generation++
	l.connected = true
	l.cancelStream = cancelStream
	l.queue = nil
	return l.generation
}

// detachStream removes the stream of a generation and drops its messages. It does
// nothing if a later stream is current.
func (l *link) detachStream(generation uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.generation != generation {
		return
	}
	l.connected = false
	l.cancelStream = nil
	l.queue = nil
}

// resetStream cancels the current stream.
func (l *link) resetStream() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cancelStream != nil {
		l.cancelStream(errReplaced)
	}
}

// isConnected reports whether a stream is open.
func (l *link) isConnected() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.connected
}

// enqueue adds a message to the queue. It returns false if no stream is open or the
// queue is full.
func (l *link) enqueue(e *apiv1.Envelope) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.connected || len(l.queue) >= maxQueuedMessages {
		return false
	}
	l.queue = append(l.queue, e)
	l.wakeSender()
	return true
}

// wakeSender wakes sendLoop. It requires l.mu.
func (l *link) wakeSender() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// takeBatch removes and returns the next messages for the stream of a generation.
// It returns false if that stream is no longer the current one.
func (l *link) takeBatch(generation uint64) ([]*apiv1.Envelope, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.generation != generation {
		l.wakeSender()
		return nil, false
	}
	n := min(len(l.queue), maxBatchItems)
	items := l.queue[:n:n]
	l.queue = l.queue[n:]
	if len(l.queue) > 0 {
		l.wakeSender()
	}
	return items, true
}

// sendLoop sends the queued messages, at most one batch per BatchInterval, and
// heartbeats while the queue is empty. It returns when the stream ends or is no
// longer the current one.
func (l *link) sendLoop(ctx context.Context, cancel context.CancelCauseFunc, generation uint64, s batchStream) {
	heartbeat := time.NewTimer(HeartbeatInterval)
	defer heartbeat.Stop()
	batchTimer := time.NewTimer(0)
	defer batchTimer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-batchTimer.C:
		}
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		case <-heartbeat.C:
		}
		items, current := l.takeBatch(generation)
		if !current {
			return
		}
		if err := s.Send(&apiv1.Batch{Items: items}); err != nil {
			cancel(err)
			return
		}
		heartbeat.Reset(HeartbeatInterval)
		batchTimer.Reset(BatchInterval)
	}
}
