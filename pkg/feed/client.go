// Package feed keeps one stream to every core host and passes on what it
// carries: the agreed state, announcements of backend servers, and the list of
// edge and core hosts.
package feed

import (
	"context"
	"errors"
	"net"
	"runtime/debug"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/logging"
)

const (
	// HeartbeatInterval is how often both sides of a stream send at least.
	HeartbeatInterval = 500 * time.Millisecond
	// SilenceLimit ends a stream that carries nothing: three heartbeats. The
	// fronts then reconnect well within the 3 s after which they count as in
	// touch again.
	SilenceLimit = 3 * HeartbeatInterval
	// redialWait is the pause after a stream has ended.
	redialWait = 150 * time.Millisecond
	// connectTimeout bounds a connection attempt; hosts are milliseconds away.
	connectTimeout = 700 * time.Millisecond
	// windowBytes is a fixed flow control window, so that gRPC does not
	// measure the connection with pings.
	windowBytes = 1 << 20
	// maxEventBytes is the largest event; a document has at most 2 MiB.
	maxEventBytes = 8 << 20
	// forgetCore is how long a core host that no member names is still
	// called. Seeds are called as long as the settings name them.
	forgetCore = 10 * time.Second
)

// DialOptions returns the options of connections between hosts of the fleet.
func DialOptions() []grpc.DialOption {
	return []grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithNoProxy(), grpc.WithDisableServiceConfig(),
		grpc.WithInitialWindowSize(windowBytes), grpc.WithInitialConnWindowSize(windowBytes),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxEventBytes), grpc.MaxCallSendMsgSize(maxEventBytes)),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: redialWait, Multiplier: 1.5, Jitter: 0.2, MaxDelay: connectTimeout},
			MinConnectTimeout: connectTimeout,
		}),
	}
}

// Dial opens a connection to a host of the fleet.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// Connect returns a connection to a core host that dials on first use, with
// TCP if dial is nil.
func Connect(address string, dial Dial) (*grpc.ClientConn, error) {
	options := DialOptions()
	if dial != nil {
		options = append(options, grpc.WithContextDialer(dial))
	}
	return grpc.NewClient("passthrough:///"+address, options...)
}

// Handler takes the events of one core host. Calls for one host come one at a
// time; calls for several hosts may overlap.
type Handler interface {
	// Event takes an event of the core host at the address.
	Event(address string, e *apiv1.FleetEvent)
	// Lost is called when the stream to the core host has ended.
	Lost(address string, cause error)
}

// Client keeps the streams. Methods may be called by any goroutine.
type Client struct {
	self    *apiv1.FleetWatcher
	own     string // address of this core host, never called
	dial    Dial
	handler Handler
	log     *logrus.Entry
	ctx     context.Context

	mu    sync.Mutex // guards seeds and links
	seeds map[string]bool
	links map[string]*link
}

type link struct {
	cancel context.CancelFunc
	named  time.Time // when a seed list or a member last named it
}

// New returns a Client that keeps streams until ctx ends. own is the address
// of this process if it is a core host. dial may be nil.
func New(ctx context.Context, self *apiv1.FleetWatcher, own string, dial Dial, handler Handler) *Client {
	return &Client{
		self: self, own: own, dial: dial, handler: handler, log: logging.For("feed"), ctx: ctx,
		seeds: map[string]bool{}, links: map[string]*link{},
	}
}

// SetSeeds replaces the addresses that the settings name.
func (c *Client) SetSeeds(addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeds = map[string]bool{}
	for _, a := range addresses {
		c.seeds[a] = true
		c.open(a)
	}
}

// Named tells that a member names these core hosts.
func (c *Client) Named(addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range addresses {
		c.open(a)
	}
	for a, l := range c.links {
		if !c.seeds[a] && time.Since(l.named) > forgetCore {
			l.cancel()
			delete(c.links, a)
		}
	}
}

// Addresses returns the core hosts that are called.
func (c *Client) Addresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]string, 0, len(c.links))
	for a := range c.links {
		out = append(out, a)
	}
	return out
}

// open needs the lock.
func (c *Client) open(address string) {
	if address == c.own || address == "" {
		return
	}
	if l := c.links[address]; l != nil {
		l.named = time.Now()
		return
	}
	ctx, cancel := context.WithCancel(c.ctx)
	c.links[address] = &link{cancel: cancel, named: time.Now()}
	go c.keep(ctx, address)
}

// keep holds one stream after the other.
func (c *Client) keep(ctx context.Context, address string) {
	failures := 0
	for ctx.Err() == nil {
		received, err := c.stream(ctx, address)
		if ctx.Err() != nil {
			return
		}
		if received || failures == 0 {
			c.log.WithFields(logrus.Fields{"core": address, "cause": err}).Warn("the stream from a core host ended")
		}
		if received {
			failures = 0
		}
		failures++
		c.handler.Lost(address, err)
		select {
		case <-ctx.Done():
		case <-time.After(redialWait):
		}
	}
}

// stream serves one stream until it fails.
func (c *Client) stream(ctx context.Context, address string) (received bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, err := Connect(address, c.dial)
	if err != nil {
		return false, err
	}
	defer conn.Close()
	silence := time.AfterFunc(SilenceLimit, cancel)
	defer silence.Stop()
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
		silence.Reset(SilenceLimit)
		if !received {
			c.log.WithField("core", address).Info("a stream from a core host began")
		}
		received = true
		if err := c.deliver(address, e); err != nil {
			return received, err
		}
	}
}

// errPanicked ends a stream of which an event could not be taken. The next one
// begins with all that the core host knows.
var errPanicked = errors.New("the handling of an event failed")

// deliver passes an event on. A panic ends the stream and not the process.
func (c *Client) deliver(address string, e *apiv1.FleetEvent) (err error) {
	defer func() {
		if p := recover(); p != nil {
			c.log.WithFields(logrus.Fields{"core": address, "cause": p, "stack": string(debug.Stack())}).Error("the handling of an event failed")
			err = errPanicked
		}
	}()
	c.handler.Event(address, e)
	return nil
}

func (c *Client) heartbeat(ctx context.Context, stream grpc.BidiStreamingClient[apiv1.FleetWatcher, apiv1.FleetEvent]) {
	ticker := time.NewTicker(HeartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if stream.Send(&apiv1.FleetWatcher{}) != nil {
			return // Recv reports the cause
		}
	}
}
