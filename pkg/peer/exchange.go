// Package peer implements the exchange between routers: one gRPC stream for each
// pair of routers, which carries batches of messages in both directions. Messages
// keep their order. Messages of a broken stream can be lost, so when a new stream
// opens each router resends what the other one still needs.
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
	// BatchInterval is the minimum time between two batches to one router. It
	// bounds the packet rate under load; a single message is sent at once.
	BatchInterval = 5 * time.Millisecond
	// HeartbeatInterval is the maximum time between two batches. An empty batch
	// is sent if there is no message.
	HeartbeatInterval = time.Second
	// StreamIdleTimeout is the time without a received batch after which a stream
	// is replaced. A connection can stop delivering for good while new ones work.
	StreamIdleTimeout = 3 * time.Second

	minRedialDelay = 100 * time.Millisecond
	maxRedialDelay = time.Second
	maxBatchItems  = 1024
	// maxQueuedMessages bounds the send queue of one router.
	maxQueuedMessages = 1 << 16
)

// Causes with which the context of a stream is cancelled.
var (
	errIdleTimeout = errors.New("no batch received within the stream idle timeout")
	errReplaced    = errors.New("a newer stream replaced this one")
	errRemoved     = errors.New("the router is no longer a peer")
	errWrongSender = errors.New("the first batch does not name the expected sender")
)

// Peer is another router of the fleet.
type Peer struct {
	ID      pool.RouterID // the incarnation is 0 if it is not known
	Address string        // IP and port of its Peer service
}

// Handler receives messages. Each stream calls it from one goroutine.
type Handler interface {
	// HandleConnect is called when a stream opens, before its first message.
	HandleConnect(to pool.RouterID)
	// HandleMessages handles the messages of one batch.
	HandleMessages(from pool.RouterID, items []*apiv1.Envelope)
}

// Exchange maintains a stream to every other router. Of two routers the one with
// the lower name opens the stream. It is safe for concurrent use.
type Exchange struct {
	apiv1.UnimplementedPeerServer

	self        pool.RouterID
	handler     Handler
	dialOptions []grpc.DialOption
	log         *logrus.Entry

	ctx    context.Context
	cancel context.CancelFunc

	taskMu sync.Mutex // prevents a task from starting after Close waits
	closed bool
	tasks  sync.WaitGroup

	mu    sync.Mutex
	links map[string]*link // by router name
}

// New returns an Exchange without peers. The dial options, for example transport
// credentials, are added to the defaults.
func New(self pool.RouterID, handler Handler, dialOptions ...grpc.DialOption) *Exchange {
	ctx, cancel := context.WithCancel(context.Background())
	return &Exchange{
		self:        self,
		handler:     handler,
		dialOptions: dialOptions,
		log:         logging.ForComponent("peer"),
		ctx:         ctx,
		cancel:      cancel,
		links:       make(map[string]*link),
	}
}

// Close closes all streams and waits for their goroutines.
func (x *Exchange) Close() {
	x.taskMu.Lock()
	x.closed = true
	x.taskMu.Unlock()
	x.cancel()
	x.tasks.Wait()
}

// startTask runs a task in a goroutine that Close waits for. It does nothing after
// Close.
func (x *Exchange) startTask(task func()) {
	x.taskMu.Lock()
	defer x.taskMu.Unlock()
	if !x.closed {
		x.tasks.Go(task)
	}
}

// SetPeers replaces the list of other routers. It closes the streams of routers
// that are not listed or have another address.
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

// newLink requires x.mu.
func (x *Exchange) newLink(p Peer) *link {
	ctx, cancel := context.WithCancelCause(x.ctx)
	l := &link{name: p.ID.Name, address: p.Address, ctx: ctx, stop: cancel, wake: make(chan struct{}, 1)}
	if x.self.Name < p.ID.Name {
		x.startTask(func() { x.maintainStream(l) })
	}
	return l
}

// link returns the link to a router, nil if it is not a peer.
func (x *Exchange) link(name string) *link {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.links[name]
}

// Send queues a message for a router. It returns false if no stream to the router
// is open or its queue is full. Messages to one router keep their order.
func (x *Exchange) Send(to string, e *apiv1.Envelope) bool {
	l := x.link(to)
	return l != nil && l.enqueue(e)
}

// ResetStream closes the stream to a router. A new one opens, on which both
// sides resend what the other one still needs.
func (x *Exchange) ResetStream(name string) {
	if l := x.link(name); l != nil {
		l.resetStream()
	}
}

// Connected reports whether a stream to the router is open.
func (x *Exchange) Connected(name string) bool {
	l := x.link(name)
	return l != nil && l.isConnected()
}

// maintainStream reopens the stream with exponential backoff until the link is
// stopped.
func (x *Exchange) maintainStream(l *link) {
	delay := minRedialDelay
	for l.ctx.Err() == nil {
		began := time.Now()
		err := x.openStream(l)
		if l.ctx.Err() != nil {
			return
		}
		x.log.Debugf("stream to %s ended: %v", l.name, err)
		if time.Since(began) > StreamIdleTimeout {
			delay = minRedialDelay
		}
		select {
		case <-l.ctx.Done():
		case <-time.After(delay/2 + rand.N(delay)):
		}
		delay = min(2*delay, maxRedialDelay)
	}
}

// openStream opens a stream on a new connection, because the earlier connection may
// have stopped delivering, and serves it until it ends.
func (x *Exchange) openStream(l *link) error {
	conn, err := controlclient.Dial(l.address, x.dialOptions...)
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
	if err := stream.Send(&apiv1.Batch{Sender: RouterToProto(x.self)}); err != nil {
		return err
	}
	return x.serveStream(ctx, cancel, l, stream)
}

// Exchange implements the Peer service. It serves a stream that another router
// opened.
func (x *Exchange) Exchange(stream grpc.BidiStreamingServer[apiv1.Batch, apiv1.Batch]) error {
	ctx, cancel := context.WithCancelCause(stream.Context())
	defer cancel(nil)
	defer context.AfterFunc(x.ctx, func() { cancel(errRemoved) })()
	if err := stream.Send(&apiv1.Batch{Sender: RouterToProto(x.self)}); err != nil {
		return err
	}
	return x.serveStream(ctx, cancel, nil, stream)
}

// batchStream is the client or the server side of a stream.
type batchStream interface {
	Send(*apiv1.Batch) error
	Recv() (*apiv1.Batch, error)
}

// serveStream sends and receives batches until the stream ends, and returns why it
// ended. If l is nil, the link is looked up by the sender in the first batch.
func (x *Exchange) serveStream(ctx context.Context, cancel context.CancelCauseFunc, l *link, s batchStream) error {
	idleTimer := time.AfterFunc(StreamIdleTimeout, func() { cancel(errIdleTimeout) })
	defer idleTimer.Stop()
	batches := make(chan *apiv1.Batch)
	x.startTask(func() { receiveBatches(ctx, cancel, s, batches) })
	first, err := nextBatch(ctx, batches)
	if err != nil {
		return err
	}
	from := RouterFromProto(first.Sender)
	if from.Name == "" || l != nil && from.Name != l.name {
		return errWrongSender
	}
	if l == nil {
		l = x.link(from.Name)
	}
	if l == nil {
		return errRemoved
	}
	defer context.AfterFunc(l.ctx, func() { cancel(errRemoved) })()
	generation := l.attachStream(cancel)
	defer l.detachStream(generation)
	x.log.Infof("stream with %s opened", from.Name)
	x.handler.HandleConnect(from)
	x.startTask(func() { l.sendLoop(ctx, cancel, generation, s) })
	for batch := first; ; {
		idleTimer.Reset(StreamIdleTimeout)
		if len(batch.Items) > 0 {
			x.handler.HandleMessages(from, batch.Items)
		}
		if batch, err = nextBatch(ctx, batches); err != nil {
			return err
		}
	}
}

// receiveBatches reads batches in a goroutine of its own, so that the handler of
// the stream can return when ctx ends although Recv still blocks.
func receiveBatches(ctx context.Context, cancel context.CancelCauseFunc, s batchStream, out chan<- *apiv1.Batch) {
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

// nextBatch returns the next batch, or the cause of the end of ctx.
func nextBatch(ctx context.Context, batches <-chan *apiv1.Batch) (*apiv1.Batch, error) {
	select {
	case batch := <-batches:
		return batch, nil
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}
