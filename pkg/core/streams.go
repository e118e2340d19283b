package core

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/feed"
	"jackdawtrack.example/jackdawtrack/pkg/fleet"
	"jackdawtrack.example/jackdawtrack/pkg/streamrecord"
)

const (
	// queryConfirmTimeout bounds the confirmation of the history of releases. A take-up
	// waits for the answer.
	queryConfirmTimeout = 250 * time.Millisecond
	// maxOpenQueries bounds the queries of one stream that wait for a confirmation or
	// for the sending of their answer.
	maxOpenQueries = 4 * streamrecord.MaxQueriesPerMessage
)

// newsStream is the server side of one Streams call.
type newsStream struct {
	h      *Host
	stream grpc.BidiStreamingServer[apiv1.StreamNews, apiv1.StreamNewsReply]
	wake   chan struct{} // capacity 1, a reply is due

	mu      sync.Mutex // guards the fields below
	due     bool
	stored  uint64 // number of the last message whose records are stored
	answers []*apiv1.StreamAnswer
	waiting int // queries that wait for a confirmation
}

// Streams implements apiv1.FleetServer. It stores the records of an edge host and
// answers its queries until the edge host disconnects or sends nothing within the idle
// timeout of the feed. Each message is replied to.
func (h *Host) Streams(stream grpc.BidiStreamingServer[apiv1.StreamNews, apiv1.StreamNewsReply]) error {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	s := &newsStream{h: h, stream: stream, wake: make(chan struct{}, 1)}
	go s.receive(cancel)
	return s.send(ctx)
}

// receive handles the messages of the edge host and cancels the stream at its end.
func (s *newsStream) receive(cancel context.CancelFunc) {
	var err error
	defer cancel()
	defer s.h.recoverPanic("Streams", &err)
	idleTimer := time.AfterFunc(feed.StreamIdleTimeout, cancel)
	defer idleTimer.Stop()
	for {
		m, err := s.stream.Recv()
		if err != nil {
			return
		}
		idleTimer.Reset(feed.StreamIdleTimeout)
		s.handle(time.Now(), m)
	}
}

// handle stores the records of a message, answers the queries that need no
// confirmation, and has the history of releases confirmed for the others.
func (s *newsStream) handle(now time.Time, m *apiv1.StreamNews) {
	news := streamrecord.DecodeNews(now, m)
	s.h.streams.countDropped(int64(news.Dropped), "not valid or beyond the bounds of a message")
	s.h.streams.store(now, news.Records)
	var answers []streamrecord.Answer
	var unproven []streamrecord.Query
	for _, q := range s.admit(news.Queries) {
		if a, isFinal := s.h.answer(now, q); isFinal {
			answers = append(answers, a)
		} else {
			unproven = append(unproven, q)
		}
	}
	s.reply(news.Number, answers, len(unproven))
	if len(unproven) > 0 {
		s.h.confirmations.add(func(err error) { s.answerUnproven(unproven, err) })
	}
}

// admit drops the queries beyond maxOpenQueries, of an edge host that does not receive
// its answers.
func (s *newsStream) admit(queries []streamrecord.Query) []streamrecord.Query {
	s.mu.Lock()
	defer s.mu.Unlock()
	room := max(maxOpenQueries-len(s.answers)-s.waiting, 0)
	if len(queries) <= room {
		return queries
	}
	s.h.streams.countDropped(int64(len(queries)-room), "too many open queries")
	return queries[:room]
}

// answerUnproven answers queries after the attempt to confirm the history of releases.
func (s *newsStream) answerUnproven(queries []streamrecord.Query, err error) {
	now := time.Now()
	answers := make([]streamrecord.Answer, 0, len(queries))
	for _, q := range queries {
		answers = append(answers, s.h.answerConfirmed(now, q, err))
	}
	s.reply(0, answers, -len(queries))
}

// reply makes the sender send a reply. A number of 0 leaves the last one.
func (s *newsStream) reply(stored uint64, answers []streamrecord.Answer, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.due = true
	s.stored = max(s.stored, stored)
	s.waiting += waiting
	for _, a := range answers {
		s.h.streams.answers[a.State].Inc(1)
		s.answers = append(s.answers, a.ToProto())
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// send sends the replies until ctx ends or a send fails.
func (s *newsStream) send(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.wake:
		}
		if m := s.nextReply(); m != nil {
			if err := s.stream.Send(m); err != nil {
				return err
			}
		}
	}
}

// nextReply returns what is to be sent, nil if nothing is.
func (s *newsStream) nextReply() *apiv1.StreamNewsReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.due {
		return nil
	}
	m := &apiv1.StreamNewsReply{Stored: s.stored, Answers: s.answers}
	s.due, s.answers = false, nil
	return m
}

// answer answers a query from the records and from what this host knows of the history.
// It returns false if the answer needs the confirmed history: the service has one
// release here, or none, which a host that restarted may not have applied yet.
func (h *Host) answer(now time.Time, q streamrecord.Query) (a streamrecord.Answer, isFinal bool) {
	a.Number = q.Number
	if a.Release, a.State = h.streams.get(now, q.Key); a.State != streamrecord.Unknown {
		return a, true
	}
	listed := h.state.Releases(q.Service)
	_, isSole := fleet.SoleRelease(listed)
	return a, q.Service == "" || len(listed.GetReleases()) > 0 && !isSole
}

// answerConfirmed answers a query after the attempt to confirm the history. err is that
// of the attempt.
func (h *Host) answerConfirmed(now time.Time, q streamrecord.Query, err error) streamrecord.Answer {
	a, _ := h.answer(now, q)
	if a.State != streamrecord.Unknown {
		return a
	}
	if err != nil {
		a.State = streamrecord.Unconfirmed
		return a
	}
	if id, ok := fleet.SoleRelease(h.state.Releases(q.Service)); ok && h.state.AlwaysLedTo(q.Place, q.Service) {
		a.State, a.Release = streamrecord.Sole, id
	}
	return a
}

// confirmHistory returns after this host has applied every command that was committed
// before the call.
func (h *Host) confirmHistory() (err error) {
	defer h.recoverPanic("Streams", &err)
	ctx, cancel := context.WithTimeout(h.ctx, queryConfirmTimeout)
	defer cancel()
	return h.retry(ctx, h.readBarrier)
}

// confirmations runs one confirmation at a time. Those who come while one is running
// share the next one, because a confirmation holds only for what was committed before
// it began.
type confirmations struct {
	confirm func() error

	mu      sync.Mutex // guards the fields below
	running bool
	waiting []func(error)
}

// add calls done in the background with the result of a confirmation that begins after
// the call.
func (c *confirmations) add(done func(error)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = append(c.waiting, done)
	if !c.running {
		c.running = true
		go c.run()
	}
}

func (c *confirmations) run() {
	for {
		c.mu.Lock()
		batch := c.waiting
		c.waiting, c.running = nil, len(batch) > 0
		c.mu.Unlock()
		if len(batch) == 0 {
			return
		}
		err := c.confirm()
		for _, done := range batch {
			done(err)
		}
	}
}
