package controlclient

import (
	"errors"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"jackdawtrack.example/jackdawtrack/pkg/result"
)

const (
	// MaxMessageBytes fits the catalog of 40,000 workspaces with 8 keys each.
	MaxMessageBytes = 32 << 20

	dialTimeout            = 2 * time.Second
	keepaliveInterval      = 2 * time.Second // grpc-go raises it to 10 s on clients
	keepaliveTimeout       = 2 * time.Second // also the TCP user timeout
	reconnectBackoffMin    = 100 * time.Millisecond
	reconnectBackoffMax    = time.Second
	reconnectBackoffFactor = 1.6
	reconnectBackoffJitter = 0.3
	// replacedConnCloseDelay lets other calls on a replaced connection finish.
	replacedConnCloseDelay = 5 * time.Second
)

// flowControlWindowBytes is a fixed window size. Without it gRPC estimates the
// bandwidth with a ping for almost every message, which would double the
// control traffic of small messages.
const flowControlWindowBytes = 1 << 20

// ServerOptions returns the options that a server needs for clients of this
// package: it permits their keepalive pings and sends its own.
func ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.InitialWindowSize(flowControlWindowBytes),
		grpc.InitialConnWindowSize(flowControlWindowBytes),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveInterval / 2, PermitWithoutStream: true}),
		grpc.ConnectionTimeout(dialTimeout),
	}
}

// Dial returns a connection to one address. Extra options are applied last.
func Dial(address string, extra ...grpc.DialOption) (*grpc.ClientConn, error) {
	options := []grpc.DialOption{
		grpc.WithInitialWindowSize(flowControlWindowBytes),
		grpc.WithInitialConnWindowSize(flowControlWindowBytes),
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithNoProxy(),
		grpc.WithDisableServiceConfig(),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{
			Time: keepaliveInterval, Timeout: keepaliveTimeout, PermitWithoutStream: true,
		}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{
				BaseDelay: reconnectBackoffMin, Multiplier: reconnectBackoffFactor, Jitter: reconnectBackoffJitter, MaxDelay: reconnectBackoffMax,
			},
			MinConnectTimeout: dialTimeout,
		}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(MaxMessageBytes)),
	}
	// The passthrough scheme keeps addresses away from DNS.
	return grpc.NewClient("passthrough:///"+address, append(options, extra...)...)
}

// errClosed is the cause of ShuttingDown from a closed client. A host that shuts
// down returns the same code, but another one may answer.
var errClosed = errors.New("the control client is closed")

// conn returns the shared connection to an address.
func (c *Client) conn(address string) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, result.Wrap(result.ShuttingDown, errClosed, "no call to %s", address)
	}
	if conn, ok := c.conns[address]; ok {
		return conn, nil
	}
	conn, err := Dial(address, c.config.DialOptions...)
	if err != nil {
		return nil, result.Wrap(result.InvalidSettings, err, "control address %q", address)
	}
	c.conns[address] = conn
	return conn, nil
}

// replaceConn makes later calls to the address use a new connection.
func (c *Client) replaceConn(address string, old *grpc.ClientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[address] != old {
		return
	}
	delete(c.conns, address)
	time.AfterFunc(replacedConnCloseDelay, func() { _ = old.Close() })
}
