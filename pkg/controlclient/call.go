package controlclient

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// Trailers of failed calls.
const (
	TrailerCode   = "jackdawtrack-code"   // result code, decimal
	TrailerLeader = "jackdawtrack-leader" // address of the leader, if known
)

const (
	// DefaultAttemptTimeout is longer than the longest election, so that a call
	// that waits for a new leader at a live host does not time out.
	DefaultAttemptTimeout = 4 * time.Second

	retryBackoffMin = 20 * time.Millisecond
	retryBackoffMax = 500 * time.Millisecond
)

type rpcMethod[Req, Res any] func(apiv1.ControlClient, context.Context, Req, ...grpc.CallOption) (Res, error)

// callWithFailover tries one host after another until a host responds, an error
// is final or ctx ends. All methods may be repeated: commands carry an id,
// keyed requests an attempt number.
func callWithFailover[Req, Res any](ctx context.Context, c *Client, in Req, m rpcMethod[Req, Res]) (Res, error) {
	out, _, err := callReportingLate(ctx, c, in, m)
	return out, err
}

// callReportingLate is callWithFailover. mayBeLate reports that an earlier call
// may still take effect after the response.
func callReportingLate[Req, Res any](ctx context.Context, c *Client, in Req, m rpcMethod[Req, Res]) (out Res, mayBeLate bool, err error) {
	var zero Res
	backoff := retryBackoffMin
	for {
		address := c.nextAddress()
		out, leader, err := callHost(ctx, c, address, in, m)
		if err == nil {
			c.recordSuccess(address)
			return out, mayBeLate, nil
		}
		if isFinal(err) || errors.Is(err, errClosed) {
			return zero, mayBeLate, err
		}
		c.recordFailure(address, leader)
		code, _ := result.CodeOf(err)
		if code != result.NotLeader && code != result.DiskFull {
			mayBeLate = true // a host that does not lead or has no space passes nothing on
		}
		select {
		case <-ctx.Done():
			if code == result.DiskFull && mayBeLate {
				err = result.Wrap(result.NoQuorum, err, "an earlier attempt may take effect")
			}
			return zero, mayBeLate, withResultCode(err)
		case <-time.After(backoff/2 + rand.N(backoff)):
		}
		backoff = min(2*backoff, retryBackoffMax)
	}
}

// callHost calls one host once. On an error it also returns the address of the
// leader as reported by the host, or "" if unknown.
func callHost[Req, Res any](ctx context.Context, c *Client, address string, in Req, m rpcMethod[Req, Res]) (Res, string, error) {
	var zero Res
	conn, err := c.conn(address)
	if err != nil {
		return zero, "", err
	}
	attemptCtx, cancel := context.WithTimeout(ctx, c.config.AttemptTimeout)
	defer cancel()
	var trailer metadata.MD
	out, err := m(apiv1.NewControlClient(conn), attemptCtx, in, grpc.Trailer(&trailer))
	if err == nil {
		return out, "", nil
	}
	if code, ok := trailerCode(trailer); ok {
		leader := ""
		if v := trailer.Get(TrailerLeader); len(v) > 0 {
			leader = v[0]
		}
		return zero, leader, result.New(code, "%s", status.Convert(err).Message())
	}
	if status.Code(err) == codes.DeadlineExceeded {
		// The connection may be unresponsive although new connections work.
		c.replaceConn(address, conn)
	}
	return zero, "", err
}

func trailerCode(trailer metadata.MD) (result.Code, bool) {
	v := trailer.Get(TrailerCode)
	if len(v) == 0 {
		return 0, false
	}
	n, err := strconv.ParseUint(v[0], 10, 32)
	return result.Code(n), err == nil
}

// isFinal reports whether every other host would return the same error. A host with a
// full disk gives up the lead, so another one may accept the call.
func isFinal(err error) bool {
	if code, ok := result.CodeOf(err); ok {
		switch code {
		case result.NotLeader, result.NoQuorum, result.SyncFailed, result.ShuttingDown, result.DiskFull:
			return false
		}
		return true
	}
	switch status.Code(err) {
	case codes.InvalidArgument, codes.Unimplemented, codes.PermissionDenied, codes.Unauthenticated, codes.ResourceExhausted:
		return true
	}
	return false
}

// withResultCode makes sure that the last error of a call has a result code. An
// error with a code is returned as it is; others become NoQuorum.
func withResultCode(err error) error {
	var e *result.Error
	if errors.As(err, &e) {
		return err
	}
	return result.Wrap(result.NoQuorum, err, "no control host answered")
}
