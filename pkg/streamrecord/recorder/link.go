package recorder

import (
	"context"
	"errors"
	"runtime/debug"
	"time"

	"google.golang.org/grpc"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/feed"
	"jackdawtrack.example/jackdawtrack/pkg/streamrecord"
)

const (
	// flushInterval is the longest time that a record which is not urgent waits to be
	// sent with others.
	flushInterval = 100 * time.Millisecond
	// maxPending bounds the records that wait to be sent to one core host. A stream that
	// has more is opened again, which sends the live ones.
	maxPending = maxRecords
	// maxOpenQueries bounds the queries to one core host that are not answered yet.
	maxOpenQueries = 4 * streamrecord.MaxQueriesPerMessage
)

var (
	errTooManyPending = errors.New("too many records wait to be sent")
	errNoReply        = errors.New("no reply within the idle timeout")
	errPanicked       = errors.New("the handler of a reply panicked")
)

// link is the stream to one core host. One message at a time is in flight; what becomes
// pending meanwhile goes with the next one. Recorder.mu guards its fields.
type link struct {
	wake        chan struct{} // capacity 1
	cancel      context.CancelCauseFunc
	isConnected bool // a reply was received

	number   uint64 // of the last message
	inFlight []*delivery
	isBusy   bool // the last message is in flight
	// sentBefore is the number of the last message before the last call of RequireAnswer.
	sentBefore uint64
	lastSent   time.Time

	urgent, normal, upload []*delivery
	queries                []streamrecord.Query // not sent yet
	open                   map[uint64]*find     // by number of the query
}

// runStream opens a stream on the connection and runs it until it fails. It reports
// whether the core host replied.
func (r *Recorder) runStream(ctx context.Context, conn *grpc.ClientConn) (isConnected bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stream, err := apiv1.NewFleetClient(conn).Streams(ctx)
	if err != nil {
		return false, err
	}
	l := &link{wake: make(chan struct{}, 1), cancel: cancel, open: map[uint64]*find{}}
	r.addLink(l)
	defer func() { isConnected = r.removeLink(l) }() // also after a panic: Find would wait for the link
	go r.receive(l, stream)
	return false, r.send(ctx, l, stream)
}

// send sends the messages until the stream ends.
func (r *Recorder) send(ctx context.Context, l *link, stream grpc.BidiStreamingClient[apiv1.StreamNews, apiv1.StreamNewsReply]) error {
	flush := time.NewTicker(flushInterval)
	defer flush.Stop()
	isFlush := false
	for {
		if m := r.nextMessage(time.Now(), l, isFlush); m != nil {
			isFlush = false
			if err := stream.Send(m); err != nil {
				return endOfStream(ctx, err)
			}
		}
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-l.wake:
		case <-flush.C:
			isFlush = true
		}
	}
}

// endOfStream returns why the stream was cancelled, or err if it was not.
func endOfStream(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

// receive handles the replies and cancels the stream at its end, or when no reply
// arrives within the idle timeout: each message is replied to, and one is sent with each
// heartbeat.
func (r *Recorder) receive(l *link, stream grpc.BidiStreamingClient[apiv1.StreamNews, apiv1.StreamNewsReply]) {
	defer func() {
		if p := recover(); p != nil {
			r.log.WithField("cause", p).WithField("stack", string(debug.Stack())).Error("panic in the handler of a reply")
			l.cancel(errPanicked)
		}
	}()
	silence := time.AfterFunc(feed.StreamIdleTimeout, func() { l.cancel(errNoReply) })
	defer silence.Stop()
	for {
		reply, err := stream.Recv()
		if err != nil {
			l.cancel(err)
			return
		}
		silence.Reset(feed.StreamIdleTimeout)
		r.handleReply(l, reply)
	}
}

// enqueue adds a record. It requires Recorder.mu.
func (l *link) enqueue(d *delivery, urgent bool) {
	if len(l.urgent)+len(l.normal) >= maxPending {
		l.cancel(errTooManyPending)
		return
	}
	if !urgent {
		l.normal = append(l.normal, d)
		return
	}
	l.urgent = append(l.urgent, d)
	l.wakeUp()
}

func (l *link) wakeUp() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// nextMessage returns the next message to send, nil if one is in flight or nothing is
// due. Everything pending goes with a message, urgent records first.
func (r *Recorder) nextMessage(now time.Time, l *link, isFlush bool) *apiv1.StreamNews {
	r.mu.Lock()
	defer r.mu.Unlock()
	isDue := len(l.urgent)+len(l.upload)+len(l.queries) > 0 || isFlush && len(l.normal) > 0 ||
		now.Sub(l.lastSent) >= feed.HeartbeatInterval
	if l.isBusy || !isDue {
		return nil
	}
	l.number++
	l.isBusy, l.lastSent = true, now
	m := &apiv1.StreamNews{Number: l.number, Queries: l.takeQueries()}
	for _, queue := range []*[]*delivery{&l.urgent, &l.normal, &l.upload} {
		l.takeRecords(now, m, queue)
	}
	r.sent.Inc(int64(len(m.Records)))
	return m
}

// takeQueries removes the queries of the next message. Those whose caller no longer
// waits are left out.
func (l *link) takeQueries() (out []*apiv1.StreamQuery) {
	n := min(len(l.queries), streamrecord.MaxQueriesPerMessage)
	for _, q := range l.queries[:n] {
		if l.open[q.Number] != nil {
			out = append(out, q.ToProto())
		}
	}
	l.queries = l.queries[n:]
	return out
}

// takeRecords moves records from a queue to the message. Expired ones are left out.
func (l *link) takeRecords(now time.Time, m *apiv1.StreamNews, queue *[]*delivery) {
	n := min(len(*queue), streamrecord.MaxRecordsPerMessage-len(m.Records))
	for _, d := range (*queue)[:n] {
		if d.record.Expires.After(now) {
			m.Records = append(m.Records, d.record.ToProto(now))
			l.inFlight = append(l.inFlight, d)
		}
	}
	*queue = (*queue)[n:]
	if len(*queue) == 0 {
		*queue = nil
	}
}

// handleReply handles what the core host has stored and answered.
func (r *Recorder) handleReply(l *link, reply *apiv1.StreamNewsReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l.isConnected = true
	if reply.GetStored() > l.sentBefore {
		r.needsAnswer = false
	}
	if l.isBusy && reply.GetStored() == l.number {
		for _, d := range l.inFlight {
			r.setStored(d)
		}
		l.inFlight, l.isBusy = nil, false
		l.wakeUp()
	}
	for _, m := range reply.GetAnswers() {
		a := streamrecord.DecodeAnswer(m)
		if f := l.open[a.Number]; f != nil {
			delete(l.open, a.Number)
			r.answered(f, l, a)
		}
	}
}
