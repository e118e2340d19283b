// Package feed keeps a gRPC stream to every core host and delivers its events: the
// replicated fleet state, announcements of backend servers, and the lists of edge
// and core hosts.
package feed

import (
	"context"
	"errors"
	"fmt"
	"net"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/logging"
	"jackdawtrack.example/jackdawtrack/pkg/registry"
)

const (
	// HeartbeatInterval is the longest time between two messages in each direction of
	// a stream.
	HeartbeatInterval = 500 * time.Millisecond
	// StreamIdleTimeout is the time without a message after which a stream is
	// closed: three heartbeats. Edge hosts then reconnect well within the 3 s
	// after which they count as in contact again.
	StreamIdleTimeout = 3 * HeartbeatInterval
	// reconnectDelay is the pause before a reconnect after a stream has ended.
	reconnectDelay = 150 * time.Millisecond
	// connectTimeout bounds a connection attempt. Hosts are a few milliseconds away.
	connectTimeout = 700 * time.Millisecond
	// flowControlWindowBytes is a fixed HTTP/2 flow control window, so that gRPC does
	// not send pings to estimate the bandwidth.
	flowControlWindowBytes = 1 << 20
	// maxEventBytes bounds an event. A configuration document has at most 2 MiB.
	maxEventBytes = 8 << 20
	// unadvertisedTTL is how long the stream to a core host is kept that no core host
	// advertises any more. Streams to seeds are kept as long as the settings list
	// them.
	unadvertisedTTL = 10 * time.Second
)

// DialOptions returns the gRPC options for connections between hosts of the fleet.
func DialOptions() []grpc.DialOption {
	return []grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithNoProxy(), grpc.WithDisableServiceConfig(),
		grpc.WithInitialWindowSize(flowControlWindowBytes), grpc.WithInitialConnWindowSize(flowControlWindowBytes),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxEventBytes), grpc.MaxCallSendMsgSize(maxEventBytes)),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: reconnectDelay, Multiplier: 1.5, Jitter: 0.2, MaxDelay: connectTimeout},
			MinConnectTimeout: connectTimeout,
		}),
	}
}

// Dial opens a connection to a host of the fleet.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// Connect returns a client connection to a core host. It connects on first use, with
// TCP if dial is nil.
func Connect(address string, dial Dial) (*grpc.ClientConn, error) {
	options := DialOptions()
	if dial != nil {
		options = append(options, grpc.WithContextDialer(dial))
	}
	return grpc.NewClient("passthrough:///"+address, options...)
}

// Handler receives the events of core hosts. Calls for one core host do not
// overlap; calls for different ones may.
type Handler interface {
	// HandleEvent handles an event of the core host at the address.
	HandleEvent(address string, e *apiv1.FleetEvent)
	// HandleDisconnect is called when the stream to the core host has ended.
	HandleDisconnect(address string, cause error)
}

// Reporter is implemented by a Handler that reports state to the core hosts.
type Reporter interface {
	// Heartbeat returns the next heartbeat of a stream.
	Heartbeat() *apiv1.FleetWatcher
}

// ConnectionUser is implemented by a Handler that makes calls of its own to the core
// hosts.
type ConnectionUser interface {
	// UseConnection is called in a goroutine of its own for each connection to the core
	// host at the address, after the first event was handled. ctx ends with the
	// connection.
	UseConnection(ctx context.Context, address string, conn *grpc.ClientConn)
}

// Client keeps the streams to all core hosts. It is safe for concurrent use.
type Client struct {
	self       *apiv1.FleetWatcher
	ownAddress string // address of this process if it is a core host; never connected to
	dial       Dial
	handler    Handler
	log        *logrus.Entry
	ctx        context.Context

	mu          sync.Mutex // guards seeds and connections
	seeds       map[string]bool
	connections map[string]*connection
}

// connection is the stream to one core host, with its reconnects.
type connection struct {
	cancel         context.CancelFunc
	lastAdvertised time.Time // when the seeds or a core host last listed it
}

// New returns a Client that keeps its streams until ctx ends. ownAddress is the
// address of this process if it is a core host, else "". dial may be nil, which
// stands for TCP.
func New(ctx context.Context, self *apiv1.FleetWatcher, ownAddress string, dial Dial, handler Handler) *Client {
	return &Client{
		self: self, ownAddress: ownAddress, dial: dial, handler: handler, log: logging.ForComponent("feed"), ctx: ctx,
		seeds: map[string]bool{}, connections: map[string]*connection{},
	}
}

// SetSeeds replaces the addresses of core hosts that the settings list.
func (c *Client) SetSeeds(addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeds = map[string]bool{}
	for _, a := range addresses {
		c.seeds[a] = true
		c.ensureConnection(a)
	}
}

// AddAdvertised adds the core hosts that a core host advertises, and closes the
// streams to those that are no seed and were not advertised for
// unadvertisedTTL.
func (c *Client) AddAdvertised(addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range addresses {
		c.ensureConnection(a)
	}
	for a, l := range c.connections {
		if !c.seeds[a] && time.Since(l.lastAdvertised) > unadvertisedTTL {
			l.cancel()
			delete(c.connections, a)
		}
	}
}

// CoreAddresses returns the core hosts that the client keeps streams to.
func (c *Client) CoreAddresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]string, 0, len(c.connections))
	for a := range c.connections {
		out = append(out, a)
	}
	return out
}

// ensureConnection starts a stream to the address unless one exists, and records
// that the address was listed. The caller must hold c.mu.
func (c *Client) ensureConnection(address string) {
	if address == c.ownAddress || address == "" {
		return
	}
	if l := c.connections[address]; l != nil {
		l.lastAdvertised = time.Now()
		return
	}
	ctx, cancel := context.WithCancel(c.ctx)
	c.connections[address] = &connection{cancel: cancel, lastAdvertised: time.Now()}
	go c.maintainStream(ctx, address)
}

// maintainStream reconnects the stream to a core host until ctx ends.
func (c *Client) maintainStream(ctx context.Context, address string) {
	failures := 0
	for ctx.Err() == nil {
		received, err := c.stream(ctx, address)
		if ctx.Err() != nil {
			return
		}
		if received || failures == 0 {
			c.log.WithFields(logrus.Fields{"core": address, "cause": err}).Warn("stream from core host ended")
		}
		if received {
			failures = 0
		}
		failures++
		c.handler.HandleDisconnect(address, err)
		select {
		case <-ctx.Done():
		case <-time.After(reconnectDelay):
		}
	}
}

// stream opens a stream to a core host and delivers its events until it fails. It
// reports whether any event was received.
func (c *Client) stream(ctx context.Context, address string) (received bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, err := Connect(address, c.dial)
	if err != nil {
		return false, err
	}
	defer conn.Close()
	silenceTimer := time.AfterFunc(StreamIdleTimeout, cancel)
	defer silenceTimer.Stop()
	stream, err := apiv1.NewFleetClient(conn).Watch(ctx, grpc.WaitForReady(true))
	if err != nil {
		return false, err
	}
	if err := stream.Send(c.self); err != nil {
		return false, err
	}
	go c.heartbeat(ctx, stream)
	for {
		e, err := stream.Recv()
		if err != nil {
			return received, err
		}
		silenceTimer.Reset(StreamIdleTimeout)
		if !received {
			c.log.WithField("core", address).Info("stream from core host started")
		}
		isFirst := !received
		received = true
		if err := c.deliver(address, e); err != nil {
			return received, err
		}
		if isFirst { // what is asked on the connection is judged by the state in this event
			go c.useConnection(ctx, address, conn)
		}
	}
}

// useConnection lets the handler use the connection if it is a ConnectionUser. A panic
// ends this use only.
func (c *Client) useConnection(ctx context.Context, address string, conn *grpc.ClientConn) {
	defer func() {
		if p := recover(); p != nil {
			c.log.WithFields(logrus.Fields{"core": address, "cause": p, "stack": string(debug.Stack())}).Error("user of the connection panicked")
		}
	}()
	if u, ok := c.handler.(ConnectionUser); ok {
		u.UseConnection(ctx, address, conn)
	}
}

// errHandlerPanicked ends a stream after its handler has panicked. The next stream
// begins with the complete state of the core host, so no event is lost.
var errHandlerPanicked = errors.New("fleet event handler panicked")

// removeInvalidServers removes the announcements that are not valid from an event and
// logs them, so that they affect no others.
func (c *Client) removeInvalidServers(address string, e *apiv1.FleetEvent) {
	now := time.Now()
	e.Servers = slices.DeleteFunc(e.Servers, func(m *apiv1.ServerAnnouncement) bool {
		entry := registry.FromProto(m, now)
		err := entry.Validate(now)
		if err != nil {
			c.log.WithError(err).WithFields(logrus.Fields{"core": address, "server": fmt.Sprintf("%.64q", m.GetId())}).Warn("invalid server announcement ignored")
		}
		return err != nil
	})
}

// deliver calls the handler. It recovers from a panic and returns
// errHandlerPanicked, so that a panic ends the stream but not the process.
func (c *Client) deliver(address string, e *apiv1.FleetEvent) (err error) {
	defer func() {
		if p := recover(); p != nil {
			c.log.WithFields(logrus.Fields{"core": address, "cause": p, "stack": string(debug.Stack())}).Error("fleet event handler panicked")
			err = errHandlerPanicked
		}
	}()
	c.removeInvalidServers(address, e)
	c.handler.HandleEvent(address, e)
	return nil
}

// heartbeat sends a message, empty unless the handler is a Reporter, at each HeartbeatInterval until the stream ends.
func (c *Client) heartbeat(ctx context.Context, stream grpc.BidiStreamingClient[apiv1.FleetWatcher, apiv1.FleetEvent]) {
	ticker := time.NewTicker(HeartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		m := &apiv1.FleetWatcher{}
		if r, ok := c.handler.(Reporter); ok {
			m = r.Heartbeat()
		}
		if stream.Send(m) != nil {
			return // Recv returns the error
		}
	}
}
