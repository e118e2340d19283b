// Package peer is the exchange between routers: one gRPC stream for each pair
// of routers, which carries batches of messages in both directions. Messages
// keep their order; those of a broken stream can be lost, so a router sends
// what the other still needs when it is told of a new stream.
package peer

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/controlclient"
	"jackdawtrack.example/jackdawtrack/pkg/logging"
	"jackdawtrack.example/jackdawtrack/pkg/pool"
)

const (
	// BatchInterval is the least time between two batches to one router. It
	// bounds the packets under load; a lone message leaves at once.
	BatchInterval = 5 * time.Millisecond
	// HeartbeatInterval is the longest time between two batches.
	HeartbeatInterval = time.Second
	// SilenceLimit is the time without a batch after which a stream is
	// replaced. A connection can go silent for good while new ones work.
	SilenceLimit = 3 * time.Second

	redialMin     = 100 * time.Millisecond
	redialMax     = time.Second
	maxBatchItems = 1024
	// maxQueue bounds the messages for a router that cannot be reached.
	maxQueue = 1 << 16
)

// Causes of a stream's end.
var (
	errSilent   = errors.New("no batch for the silence limit")
	errReplaced = errors.New("a newer stream replaced this one")
	errRemoved  = errors.New("the router is no member any more")
	errNoSender = errors.New("the first batch names no sender")
)

// Peer is another router.
type Peer struct {
	ID      pool.RouterID // incarnation may be 0 if it is not known
	Address string        // IP and port of its Peer service
}

// Handler receives messages. It is called from one goroutine for each stream.
type Handler interface {
	// Connected tells of a new stream, before its first message.
	Connected(to pool.RouterID)
	// Receive takes the messages of one batch.
	Receive(from pool.RouterID, items []*apiv1.Envelope)
}

// Exchange keeps a stream to every other router. Of two routers the one with
// the lower name opens the stream. It is safe for concurrent use.
type Exchange struct {
	apiv1.UnimplementedPeerServer

	self    pool.RouterID
	handler Handler
	dial    []grpc.DialOption
	log     *logrus.Entry

	ctx    context.Context
	cancel context.CancelFunc

	taskMu sync.Mutex // orders the start of tasks before the wait for them
	closed bool
	tasks  sync.WaitGroup

	mu    sync.Mutex
	links map[string]*link
}

// New returns an Exchange without peers. Dial options are added to the
// defaults, for example transport credentials.
func New(self pool.RouterID, handler Handler, dial ...grpc.DialOption) *Exchange {
	ctx, cancel := context.WithCancel(context.Background())
	return &Exchange{
		self:    self,
		handler: handler,
		dial:    dial,
		log:     logging.For("peer"),
		ctx:     ctx,
		cancel:  cancel,
		links:   make(map[string]*link),
	}
}

// Close ends all streams and waits for their goroutines.
func (x *Exchange) Close() {
	x.taskMu.Lock()
	x.closed = true
	x.taskMu.Unlock()
	x.cancel()
	x.tasks.Wait()
}

// start runs a task that Close waits for, none after Close.
func (x *Exchange) start(task func()) {
	x.taskMu.Lock()
	defer x.taskMu.Unlock()
	if !x.closed {
		x.tasks.Go(task)
	}
}

// SetPeers replaces the list of other routers.
func (x *Exchange) SetPeers(peers []Peer) {
	x.mu.Lock()
	defer x.mu.Unlock()
	listed := make(map[string]bool, len(peers))
	for _, p := range peers {
		if p.ID.Name == x.self.Name {
			continue
		}
		listed[p.ID.Name] = true
		l := x.links[p.ID.Name]
		if l != nil && l.address == p.Address {
			continue
		}
		if l != nil {
			l.stop(errReplaced)
		}
		x.links[p.ID.Name] = x.newLink(p)
	}
	for name, l := range x.links {
		if !listed[name] {
			l.stop(errRemoved)
			delete(x.links, name)
		}
	}
}

// newLink needs the lock.
func (x *Exchange) newLink(p Peer) *link {
	ctx, cancel := context.WithCancelCause(x.ctx)
	l := &link{name: p.ID.Name, address: p.Address, ctx: ctx, stop: cancel, wake: make(chan struct{}, 1)}
	if x.self.Name < p.ID.Name {
		x.start(func() { x.keep(l) })
	}
	return l
}

func (x *Exchange) link(name string) *link {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.links[name]
}

// Send queues a message for a router and reports whether a stream is open to
// it. Messages to one router keep their order.
func (x *Exchange) Send(to string, e *apiv1.Envelope) bool {
	l := x.link(to)
	return l != nil && l.push(e)
}

// Reset replaces the stream to a router by a new one, so that both sides tell
// each other again what they need.
func (x *Exchange) Reset(name string) {
	if l := x.link(name); l != nil {
		l.reset()
	}
}

// Connected reports whether a stream to the router is open.
func (x *Exchange) Connected(name string) bool {
	l := x.link(name)
	return l != nil && l.open()
}

// keep opens a stream again and again until the link stops.
func (x *Exchange) keep(l *link) {
	delay := redialMin
	for l.ctx.Err() == nil {
		began := time.Now()
		err := x.call(l)
		if l.ctx.Err() != nil {
			return
		}
		x.log.Debugf("stream to %s ended: %v", l.name, err)
		if time.Since(began) > SilenceLimit {
			delay = redialMin
		}
		select {
		case <-l.ctx.Done():
		case <-time.After(delay/2 + rand.N(delay)):
		}
		delay = min(2*delay, redialMax)
	}
}

// call opens one stream on a connection of its own, because the earlier one
// may be silent for good.
func (x *Exchange) call(l *link) error {
	conn, err := controlclient.Dial(l.address, x.dial...)
	if err != nil {
		return err
	}
	defer conn.Close()
	ctx, cancel := context.WithCancelCause(l.ctx)
	defer cancel(nil)
	stream, err := apiv1.NewPeerClient(conn).Exchange(ctx)
	if err != nil {
		return err
	}
	if err := stream.Send(&apiv1.Batch{Sender: FromRouter(x.self)}); err != nil {
		return err
	}
	return x.run(ctx, cancel, l, stream)
}

// Exchange implements the Peer service.
func (x *Exchange) Exchange(stream grpc.BidiStreamingServer[apiv1.Batch, apiv1.Batch]) error {
	ctx, cancel := context.WithCancelCause(stream.Context())
	defer cancel(nil)
	defer context.AfterFunc(x.ctx, func() { cancel(errRemoved) })()
	if err := stream.Send(&apiv1.Batch{Sender: FromRouter(x.self)}); err != nil {
		return err
	}
	return x.run(ctx, cancel, nil, stream)
}

// stream is either side of an exchange.
type stream interface {
	Send(*apiv1.Batch) error
	Recv() (*apiv1.Batch, error)
}

// run receives batches until the stream ends. A nil link is found by the name
// of the sender.
func (x *Exchange) run(ctx context.Context, cancel context.CancelCauseFunc, l *link, s stream) error {
	silence := time.AfterFunc(SilenceLimit, func() { cancel(errSilent) })
	defer silence.Stop()
	batches := make(chan *apiv1.Batch)
	x.start(func() { receive(ctx, cancel, s, batches) })
	first, err := next(ctx, batches)
	if err != nil {
		return err
	}
	from := ToRouter(first.Sender)
	if from.Name == "" || l != nil && from.Name != l.name {
		return errNoSender
	}
	if l == nil {
		l = x.link(from.Name)
	}
	if l == nil {
		return errRemoved
	}
	defer context.AfterFunc(l.ctx, func() { cancel(errRemoved) })()
	use := l.attach(cancel)
	defer l.detach(use)
	x.log.Infof("exchange with %s begins", from.Name)
	x.handler.Connected(from)
	x.start(func() { l.send(ctx, cancel, use, s) })
	for batch := first; ; {
		silence.Reset(SilenceLimit)
		if len(batch.Items) > 0 {
			x.handler.Receive(from, batch.Items)
		}
		if batch, err = next(ctx, batches); err != nil {
			return err
		}
	}
}

// receive reads batches in a goroutine of its own, so that the end of ctx
// frees the stream's handler although Recv still blocks.
func receive(ctx context.Context, cancel context.CancelCauseFunc, s stream, out chan<- *apiv1.Batch) {
	for {
		batch, err := s.Recv()
		if err != nil {
			cancel(err)
			return
		}
		select {
		case out <- batch:
		case <-ctx.Done():
			return
		}
	}
}

func next(ctx context.Context, batches <-chan *apiv1.Batch) (*apiv1.Batch, error) {
	select {
	case batch := <-batches:
		return batch, nil
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}
