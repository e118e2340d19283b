// Package controlclient calls the control hosts. It finds the leader, fails
// over to another host if one does not respond, replaces unresponsive
// connections, and keeps the configuration up to date with a watch stream.
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

// Config configures a Client.
type Config struct {
	// Addresses are the IP addresses and ports of the control hosts.
	Addresses []string
	// Upstreams returns the sources that Watch tries before Addresses, in order
	// of preference: for most routers the relays of their data centre. Nil
	// means none. Watch leaves a source that is no longer in the list.
	Upstreams func() []string

	Router      string // sent with Watch, RenewSession and AcquireFence
	DataCentre  string // sent with Watch
	Incarnation uint64 // sent with RenewSession and AcquireFence

	// DialOptions are appended to the default options, for example transport
	// credentials. Without credentials, connections are not encrypted.
	DialOptions []grpc.DialOption
	// RelayDialOptions replace DialOptions for Upstreams, if set.
	RelayDialOptions []grpc.DialOption
	// AttemptTimeout limits one call to one host; 0 means
	// DefaultAttemptTimeout.
	AttemptTimeout time.Duration
	Logger         *logrus.Entry // part "control" if nil
}

// Client calls the control hosts. It is safe for concurrent use. mu guards the
// fields below it and is never held during a call.
type Client struct {
	config      Config
	firstIndex  int          // index into Addresses at which Watch starts
	confirmedAt atomic.Int64 // Unix nanoseconds of the last confirmed event

	mu        sync.Mutex
	conns     map[string]*grpc.ClientConn
	nextIndex int    // index into Addresses of the next host to call
	leader    string // address that a host reported, "" if unknown
	closed    bool
}

// New returns a client. It opens no connection before the first call. An empty
// list of addresses is an InvalidSettings error.
func New(config Config) (*Client, error) {
	if len(config.Addresses) == 0 {
		return nil, result.New(result.InvalidSettings, "no control host address is configured")
	}
	if config.AttemptTimeout == 0 {
		config.AttemptTimeout = DefaultAttemptTimeout
	}
	if config.Logger == nil {
		config.Logger = logging.ForComponent("control")
	}
	c := &Client{config: config, conns: map[string]*grpc.ClientConn{}}
	// Different routers start with different hosts. Calls move to the leader;
	// watch streams stay distributed over all hosts.
	c.firstIndex = int(xxhash.Sum64String(config.Router) % uint64(len(config.Addresses)))
	c.nextIndex = c.firstIndex
	return c, nil
}

// Close closes all connections. Later calls fail with ShuttingDown.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	c.conns = map[string]*grpc.ClientConn{}
}

// Begin records a keyed request before its dispatch. After an error the outcome
// is unknown: the caller must not dispatch the request and should call Abort.
// repeated reports that an earlier call had no known outcome. It may still take
// effect after the response, so the caller should also call Abort unless the
// state is BEGIN_STARTED.
func (c *Client) Begin(ctx context.Context, in *apiv1.BeginRequest) (out *apiv1.BeginResponse, repeated bool, err error) {
	return callReportingLate(ctx, c, in, apiv1.ControlClient.Begin)
}

// Finish stores the answer of a keyed request.
func (c *Client) Finish(ctx context.Context, in *apiv1.FinishRequest) (*apiv1.FinishResponse, error) {
	return callWithFailover(ctx, c, in, apiv1.ControlClient.Finish)
}

// Abort removes the record of a keyed request that was never dispatched.
func (c *Client) Abort(ctx context.Context, in *apiv1.AbortRequest) (*apiv1.AbortResponse, error) {
	return callWithFailover(ctx, c, in, apiv1.ControlClient.Abort)
}

// RenewSession renews the session of this router, which keeps its keyed
// requests in the running state.
func (c *Client) RenewSession(ctx context.Context) (*apiv1.RenewSessionResponse, error) {
	in := &apiv1.RenewSessionRequest{Router: c.config.Router, Incarnation: c.config.Incarnation}
	return callWithFailover(ctx, c, in, apiv1.ControlClient.RenewSession)
}

// AcquireFence acquires or renews the lease for orders to one engine, or reads
// its record if next is nil. Code 0 means that this call wrote the next record.
// After an error the outcome is unknown.
func (c *Client) AcquireFence(ctx context.Context, observed, next *apiv1.Fence) (*apiv1.AcquireFenceResponse, error) {
	in := &apiv1.AcquireFenceRequest{Observed: observed, Next: next, Router: c.config.Router, Incarnation: c.config.Incarnation}
	return callWithFailover(ctx, c, in, apiv1.ControlClient.AcquireFence)
}

// Submit executes an operator command. A rejected command returns a response
// with a code and no error. After an error the command may be resent with the
// same id.
func (c *Client) Submit(ctx context.Context, in *apiv1.SubmitRequest) (*apiv1.SubmitResponse, error) {
	return callWithFailover(ctx, c, in, apiv1.ControlClient.Submit)
}

// Read returns the current catalog, confirmed by a majority.
func (c *Client) Read(ctx context.Context) (*apiv1.Snapshot, error) {
	return callWithFailover(ctx, c, &apiv1.ReadRequest{}, apiv1.ControlClient.Read)
}

// Status returns the status of the host at the address, or of any host if
// address is "".
func (c *Client) Status(ctx context.Context, address string) (*apiv1.StatusResponse, error) {
	if address == "" {
		return callWithFailover(ctx, c, &apiv1.StatusRequest{}, apiv1.ControlClient.Status)
	}
	out, _, err := callHost(ctx, c, address, &apiv1.StatusRequest{}, apiv1.ControlClient.Status)
	if err != nil {
		return nil, withResultCode(err)
	}
	return out, nil
}

// ChangeMember adds, promotes or removes a control host.
func (c *Client) ChangeMember(ctx context.Context, in *apiv1.ChangeMemberRequest) (*apiv1.SubmitResponse, error) {
	return callWithFailover(ctx, c, in, apiv1.ControlClient.ChangeMember)
}

// nextAddress returns the address for the next attempt: the known leader, else
// the selected one of the configured hosts.
func (c *Client) nextAddress() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != "" {
		return c.leader
	}
	return c.config.Addresses[c.nextIndex%len(c.config.Addresses)]
}

// recordSuccess selects a host that responded for the next calls.
func (c *Client) recordSuccess(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if i := slices.Index(c.config.Addresses, address); i >= 0 {
		c.nextIndex = i
	}
}

// recordFailure selects the host to call after a failure: the leader, if the
// failed host reported one, else the next configured host.
func (c *Client) recordFailure(address, leader string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if leader != "" && leader != address {
		c.leader = leader
		return
	}
	c.leader = ""
	if c.config.Addresses[c.nextIndex%len(c.config.Addresses)] == address {
		c.nextIndex = (c.nextIndex + 1) % len(c.config.Addresses)
	}
}
