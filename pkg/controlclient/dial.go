package controlclient

import (
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"jackdawtrack.example/jackdawtrack/pkg/result"
)

const (
	// MaxMessageBytes holds the catalog of 40,000 workspaces with 8 keys each.
	MaxMessageBytes = 32 << 20

	dialTimeout      = 2 * time.Second
	keepaliveTime    = 2 * time.Second // grpc-go raises it to 10 s on clients
	keepaliveTimeout = 2 * time.Second // also the TCP user timeout
	reconnectMin     = 100 * time.Millisecond
	reconnectMax     = time.Second
	reconnectFactor  = 1.6
	reconnectJitter  = 0.3
	// replacedConnGrace lets other calls on a replaced connection end.
	replacedConnGrace = 5 * time.Second
)

// windowBytes is a fixed flow-control window. Without one gRPC measures the
// connection with a ping for almost every message, which would double the
// control traffic of small messages.
const windowBytes = 1 << 20

// ServerOptions returns the options that a server for these clients needs: it
// accepts their keepalive pings and sends its own.
func ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.InitialWindowSize(windowBytes),
		grpc.InitialConnWindowSize(windowBytes),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveTime / 2, PermitWithoutStream: true}),
		grpc.ConnectionTimeout(dialTimeout),
	}
}

// Dial returns a connection to one address. Extra options come last.
func Dial(address string, extra ...grpc.DialOption) (*grpc.ClientConn, error) {
	options := []grpc.DialOption{
		grpc.WithInitialWindowSize(windowBytes),
		grpc.WithInitialConnWindowSize(windowBytes),
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithNoProxy(),
		grpc.WithDisableServiceConfig(),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{
			Time: keepaliveTime, Timeout: keepaliveTimeout, PermitWithoutStream: true,
		}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{
				BaseDelay: reconnectMin, Multiplier: reconnectFactor, Jitter: reconnectJitter, MaxDelay: reconnectMax,
			},
			MinConnectTimeout: dialTimeout,
		}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(MaxMessageBytes)),
	}
	// The passthrough scheme keeps addresses away from DNS.
	return grpc.NewClient("passthrough:///"+address, append(options, extra...)...)
}

// conn returns the shared connection to an address.
func (c *Client) conn(address string) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, result.New(result.ShuttingDown, "the control client is closed")
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

// replace makes the next call to the address use a new connection.
func (c *Client) replace(address string, old *grpc.ClientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[address] != old {
		return
	}
	delete(c.conns, address)
	time.AfterFunc(replacedConnGrace, func() { _ = old.Close() })
}
