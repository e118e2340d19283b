package replica

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
)

const (
	linkQueueSize           = 128             // messages per link; more are dropped, which Raft tolerates by resending
	connectionCheckInterval = time.Second     // between Identify calls on each connection
	connectionCheckTimeout  = 2 * time.Second // of an Identify call, after which the connection is replaced
	redialBaseDelay         = 100 * time.Millisecond
	redialMaxDelay          = time.Second
	connectTimeout          = 2 * time.Second
	linkIdleTimeout         = time.Minute      // after which an unused link is closed
	clientKeepaliveInterval = 10 * time.Second // minimum that gRPC accepts in clients
	serverKeepaliveInterval = 2 * time.Second
	keepaliveTimeout        = 2 * time.Second
	// flowControlWindowBytes is a fixed flow control window. Without one, gRPC
	// estimates the bandwidth with a ping for almost every message.
	flowControlWindowBytes = 1 << 20
)

// ServerOptions returns the gRPC server options for a control host. With them, the
// server closes connections that no longer respond to keepalive pings.
func ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.InitialWindowSize(flowControlWindowBytes), grpc.InitialConnWindowSize(flowControlWindowBytes),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: serverKeepaliveInterval, Timeout: keepaliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: time.Second, PermitWithoutStream: true}),
	}
}

// transport sends messages to the other members over one link per address.
type transport struct {
	options []grpc.DialOption
	sent    metrics.Counter
	dropped metrics.Counter

	mu    sync.Mutex // guards links
	links map[string]*link

	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

// link is the send queue for one address.
type link struct {
	address string
	queue   chan *apiv1.RaftEnvelope
}

func newTransport(c *Config, m *replicaMetrics) *transport {
	t := &transport{sent: m.sent, dropped: m.dropped, links: make(map[string]*link)}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	t.options = []grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithNoProxy(), grpc.WithDisableServiceConfig(),
		grpc.WithInitialWindowSize(flowControlWindowBytes), grpc.WithInitialConnWindowSize(flowControlWindowBytes),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: clientKeepaliveInterval, Timeout: keepaliveTimeout}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: redialBaseDelay, Multiplier: 1.6, Jitter: 0.2, MaxDelay: redialMaxDelay},
			MinConnectTimeout: connectTimeout,
		}),
	}
	if c.Dial != nil {
		t.options = append(t.options, grpc.WithContextDialer(c.Dial))
	}
	t.options = append(t.options, c.DialOptions...)
	return t
}

// newConnection returns a client connection, which dials on first use.
func (t *transport) newConnection(address string) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+address, t.options...)
}

// send queues a message without blocking. It drops the message if the queue is
// full.
func (t *transport) send(address string, e *apiv1.RaftEnvelope) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ctx.Err() != nil {
		return
	}
	l := t.links[address]
	if l == nil {
		l = &link{address: address, queue: make(chan *apiv1.RaftEnvelope, linkQueueSize)}
		t.links[address] = l
		t.goroutines.Add(1)
		go t.runLink(l)
	}
	select {
	case l.queue <- e:
	default:
		t.dropped.Inc(1)
	}
}

// runLink reconnects until the link is removed or the transport is closed.
func (t *transport) runLink(l *link) {
	defer t.goroutines.Done()
	for t.ctx.Err() == nil {
		if t.runConnection(l) {
			return
		}
		t.dropQueuedMessages(l)
		select {
		case <-t.ctx.Done():
		case <-time.After(redialBaseDelay):
		}
	}
}

// dropQueuedMessages drops the messages that were queued for a broken connection,
// because newer messages supersede them.
func (t *transport) dropQueuedMessages(l *link) {
	for {
		select {
		case <-l.queue:
			t.dropped.Inc(1)
		default:
			return
		}
	}
}

// runConnection sends queued messages on one connection until it fails. It returns
// true if it removed the link because it was idle.
func (t *transport) runConnection(l *link) bool {
	ctx, cancel := context.WithCancel(t.ctx)
	defer cancel()
	conn, err := t.newConnection(l.address)
	if err != nil {
		return false
	}
	defer conn.Close()
	t.goroutines.Add(1)
	go func() {
		defer t.goroutines.Done()
		defer cancel()
		monitorConnection(ctx, conn)
	}()
	stream, err := apiv1.NewRaftClient(conn).Messages(ctx, grpc.WaitForReady(true))
	if err != nil {
		return false
	}
	for {
		select {
		case <-ctx.Done():
			return false
		case e := <-l.queue:
			if err := stream.Send(e); err != nil {
				return false
			}
			t.sent.Inc(1)
		case <-time.After(linkIdleTimeout):
			return t.removeUnusedLink(l)
		}
	}
}

// removeUnusedLink removes the link unless messages are queued. It reports
// whether it did.
func (t *transport) removeUnusedLink(l *link) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(l.queue) > 0 {
		return false
	}
	delete(t.links, l.address)
	return true
}

// monitorConnection returns when an Identify call on the connection fails. Sending
// on the stream does not detect a dead connection, because sends succeed while
// buffers have room (F9).
func monitorConnection(ctx context.Context, conn *grpc.ClientConn) {
	client := apiv1.NewRaftIdentityClient(conn)
	for {
		call, cancel := context.WithTimeout(ctx, connectionCheckTimeout)
		_, err := client.Identify(call, &apiv1.IdentifyRequest{}, grpc.WaitForReady(true))
		cancel()
		if err != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(connectionCheckInterval):
		}
	}
}

// identify requests the ID and the data folder's identity of a host.
func (t *transport) identify(ctx context.Context, address string) (*apiv1.IdentifyResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, connectionCheckTimeout)
	defer cancel()
	conn, err := t.newConnection(address)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	return apiv1.NewRaftIdentityClient(conn).Identify(ctx, &apiv1.IdentifyRequest{}, grpc.WaitForReady(true))
}

func (t *transport) close() {
	t.mu.Lock()
	t.cancel()
	t.mu.Unlock()
	t.goroutines.Wait()
}
