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
	queueMessages   = 128             // per link; later messages are dropped, consensus repeats them
	checkEvery      = time.Second     // Identify call on each connection
	checkTimeout    = 2 * time.Second // after which the connection is replaced
	redialWait      = 100 * time.Millisecond
	redialMaxWait   = time.Second
	connectTimeout  = 2 * time.Second
	linkIdle        = time.Minute      // after which an unused link is closed
	pingEvery       = 10 * time.Second // smallest value that gRPC accepts in clients
	serverPingEvery = 2 * time.Second
	pingTimeout     = 2 * time.Second
	// windowBytes is a fixed flow control window. Without one, gRPC measures
	// the connection with a ping for almost every message.
	windowBytes = 1 << 20
)

// ServerOptions returns the gRPC server options for a control host. The
// server closes connections that have gone silent.
func ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.InitialWindowSize(windowBytes), grpc.InitialConnWindowSize(windowBytes),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: serverPingEvery, Timeout: pingTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: time.Second, PermitWithoutStream: true}),
	}
}

// transport sends messages to the other members, one link per address.
type transport struct {
	options []grpc.DialOption
	sent    metrics.Counter
	dropped metrics.Counter

	mu    sync.Mutex // guards links
	links map[string]*link

	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup
}

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
		grpc.WithInitialWindowSize(windowBytes), grpc.WithInitialConnWindowSize(windowBytes),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: pingEvery, Timeout: pingTimeout}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: redialWait, Multiplier: 1.6, Jitter: 0.2, MaxDelay: redialMaxWait},
			MinConnectTimeout: connectTimeout,
		}),
	}
	if c.Dial != nil {
		t.options = append(t.options, grpc.WithContextDialer(c.Dial))
	}
	t.options = append(t.options, c.DialOptions...)
	return t
}

// connect returns a connection that dials on first use.
func (t *transport) connect(address string) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+address, t.options...)
}

// send queues a message. It never blocks.
func (t *transport) send(address string, e *apiv1.RaftEnvelope) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ctx.Err() != nil {
		return
	}
	l := t.links[address]
	if l == nil {
		l = &link{address: address, queue: make(chan *apiv1.RaftEnvelope, queueMessages)}
		t.links[address] = l
		t.group.Add(1)
		go t.run(l)
	}
	select {
	case l.queue <- e:
	default:
		t.dropped.Inc(1)
	}
}

// run keeps one connection after the other until the link is unused.
func (t *transport) run(l *link) {
	defer t.group.Done()
	for t.ctx.Err() == nil {
		if t.serve(l) {
			return
		}
		t.drain(l)
		select {
		case <-t.ctx.Done():
		case <-time.After(redialWait):
		}
	}
}

// drain drops what was queued for a broken connection: newer messages replace
// it.
func (t *transport) drain(l *link) {
	for {
		select {
		case <-l.queue:
			t.dropped.Inc(1)
		default:
			return
		}
	}
}

// serve sends on one connection until it fails. It returns true if the link
// was removed because it was unused.
func (t *transport) serve(l *link) bool {
	ctx, cancel := context.WithCancel(t.ctx)
	defer cancel()
	conn, err := t.connect(l.address)
	if err != nil {
		return false
	}
	defer conn.Close()
	t.group.Add(1)
	go func() {
		defer t.group.Done()
		defer cancel()
		watch(ctx, conn)
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
		case <-time.After(linkIdle):
			return t.remove(l)
		}
	}
}

func (t *transport) remove(l *link) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(l.queue) > 0 {
		return false
	}
	delete(t.links, l.address)
	return true
}

// watch returns when the connection has stopped carrying data. A stream alone
// does not show this: sends succeed while buffers have room (F9).
func watch(ctx context.Context, conn *grpc.ClientConn) {
	client := apiv1.NewRaftIdentityClient(conn)
	for {
		call, cancel := context.WithTimeout(ctx, checkTimeout)
		_, err := client.Identify(call, &apiv1.IdentifyRequest{}, grpc.WaitForReady(true))
		cancel()
		if err != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(checkEvery):
		}
	}
}

// identify asks a host for the identity of its folder.
func (t *transport) identify(ctx context.Context, address string) (*apiv1.IdentifyResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	conn, err := t.connect(address)
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
	t.group.Wait()
}
