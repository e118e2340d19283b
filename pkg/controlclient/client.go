// Package controlclient calls the control hosts. It finds the leader, fails
// over to another host when one does not answer, replaces connections that
// have gone silent, and follows the configuration through a watch stream.
package controlclient

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/logging"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// Config of a client.
type Config struct {
	// Addresses are the control hosts, IP and port.
	Addresses []string
	// Upstreams returns the sources that Watch tries before Addresses, best
	// first: for most routers the relays of their data centre. Nil means none.
	// When the source in use is no longer among them, Watch leaves it.
	Upstreams func() []string

	Router      string // name sent with Watch
	DataCentre  string // sent with Watch
	Incarnation uint64 // used by RenewSession

	// DialOptions are added to the defaults, for example transport
	// credentials. Without any, connections are not encrypted.
	DialOptions []grpc.DialOption
	// RelayDialOptions are used for Upstreams in place of DialOptions, if set.
	RelayDialOptions []grpc.DialOption
	// AttemptTimeout bounds one attempt at one host, DefaultAttemptTimeout if 0.
	AttemptTimeout time.Duration
	Logger         *logrus.Entry // part "control" if nil
}

// Client is safe for concurrent use. mu guards the fields below it and is
// never held over a call.
type Client struct {
	config      Config
	first       int          // index into Addresses with which Watch begins
	confirmedAt atomic.Int64 // Unix nanoseconds of the last confirmed event

	mu     sync.Mutex
	conns  map[string]*grpc.ClientConn
	next   int    // index into Addresses of the host to try
	leader string // address that a host named as the leader, "" if unknown
	closed bool
}

// New returns a client. It opens no connection until the first call. An empty
// list of addresses is refused as InvalidSettings.
func New(config Config) (*Client, error) {
	if len(config.Addresses) == 0 {
		return nil, result.New(result.InvalidSettings, "no address of a control host is given")
	}
	if config.AttemptTimeout == 0 {
		config.AttemptTimeout = DefaultAttemptTimeout
	}
	if config.Logger == nil {
		config.Logger = logging.For("control")
	}
	c := &Client{config: config, conns: map[string]*grpc.ClientConn{}}
	// Different routers begin with different hosts. Calls move on to the
	// leader; watch streams stay spread over all hosts.
	c.first = int(xxhash.Sum64String(config.Router) % uint64(len(config.Addresses)))
	c.next = c.first
	return c, nil
}

// Close closes all connections. Later calls fail.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	c.conns = map[string]*grpc.ClientConn{}
}

// Begin records a keyed request before its dispatch. An error means that the
// fate of the record is unknown: the caller does not dispatch, and calls Abort.
func (c *Client) Begin(ctx context.Context, in *apiv1.BeginRequest) (*apiv1.BeginResponse, error) {
	return call(ctx, c, in, apiv1.ControlClient.Begin)
}

// Finish stores the answer of a keyed request.
func (c *Client) Finish(ctx context.Context, in *apiv1.FinishRequest) (*apiv1.FinishResponse, error) {
	return call(ctx, c, in, apiv1.ControlClient.Finish)
}

// Abort withdraws a Begin whose request was never dispatched.
func (c *Client) Abort(ctx context.Context, in *apiv1.AbortRequest) (*apiv1.AbortResponse, error) {
	return call(ctx, c, in, apiv1.ControlClient.Abort)
}

// RenewSession keeps the keyed requests of this router running.
func (c *Client) RenewSession(ctx context.Context) (*apiv1.RenewSessionResponse, error) {
	in := &apiv1.RenewSessionRequest{Router: c.config.Router, Incarnation: c.config.Incarnation}
	return call(ctx, c, in, apiv1.ControlClient.RenewSession)
}

// AcquireFence takes or renews the right to give orders to one engine, or reads
// its record if no next record is given. Code 0 means that this call made the
// next record the present one. After an error its fate is unknown.
func (c *Client) AcquireFence(ctx context.Context, observed, next *apiv1.Fence) (*apiv1.AcquireFenceResponse, error) {
	in := &apiv1.AcquireFenceRequest{Observed: observed, Next: next, Router: c.config.Router, Incarnation: c.config.Incarnation}
	return call(ctx, c, in, apiv1.ControlClient.AcquireFence)
}

// Submit applies an operator command. A refusal is a response with a code and
// no error. After an error the command may be resent with the same id.
func (c *Client) Submit(ctx context.Context, in *apiv1.SubmitRequest) (*apiv1.SubmitResponse, error) {
	return call(ctx, c, in, apiv1.ControlClient.Submit)
}

// Read returns the catalog as a majority has confirmed it.
func (c *Client) Read(ctx context.Context) (*apiv1.Snapshot, error) {
	return call(ctx, c, &apiv1.ReadRequest{}, apiv1.ControlClient.Read)
}

// Status returns the status of one host, of any that answers if address is "".
func (c *Client) Status(ctx context.Context, address string) (*apiv1.StatusResponse, error) {
	if address == "" {
		return call(ctx, c, &apiv1.StatusRequest{}, apiv1.ControlClient.Status)
	}
	out, _, err := attempt(ctx, c, address, &apiv1.StatusRequest{}, apiv1.ControlClient.Status)
	if err != nil {
		return nil, asResult(err)
	}
	return out, nil
}

// ChangeMember adds, promotes or removes a control host.
func (c *Client) ChangeMember(ctx context.Context, in *apiv1.ChangeMemberRequest) (*apiv1.SubmitResponse, error) {
	return call(ctx, c, in, apiv1.ControlClient.ChangeMember)
}

// target returns the address for the next attempt: the known leader, else the
// present choice among the configured hosts.
func (c *Client) target() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != "" {
		return c.leader
	}
	return c.config.Addresses[c.next%len(c.config.Addresses)]
}

// answered remembers a host that answered.
func (c *Client) answered(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if i := slices.Index(c.config.Addresses, address); i >= 0 {
		c.next = i
	}
}

// failed moves on from a host. leader is the address that it named, "" if none.
func (c *Client) failed(address, leader string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if leader != "" && leader != address {
		c.leader = leader
		return
	}
	c.leader = ""
	if c.config.Addresses[c.next%len(c.config.Addresses)] == address {
		c.next = (c.next + 1) % len(c.config.Addresses)
	}
}
