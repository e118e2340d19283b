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
	// DefaultAttemptTimeout is longer than the longest election, so that a
	// call that waits for a new leader at a live host is not cut off.
	DefaultAttemptTimeout = 4 * time.Second

	retryPauseMin = 20 * time.Millisecond
	retryPauseMax = 500 * time.Millisecond
)

type method[Req, Res any] func(apiv1.ControlClient, context.Context, Req, ...grpc.CallOption) (Res, error)

// call tries one host after the other until one answers, the answer is final
// or ctx ends. All methods may be repeated: commands carry an id, keyed
// requests an attempt.
func call[Req, Res any](ctx context.Context, c *Client, in Req, m method[Req, Res]) (Res, error) {
	var none Res
	pause := retryPauseMin
	for {
		address := c.target()
		out, leader, err := attempt(ctx, c, address, in, m)
		if err == nil {
			c.answered(address)
			return out, nil
		}
		if isFinal(err) {
			return none, err
		}
		c.failed(address, leader)
		select {
		case <-ctx.Done():
			return none, asResult(err)
		case <-time.After(pause/2 + rand.N(pause)):
		}
		pause = min(2*pause, retryPauseMax)
	}
}

// attempt calls one host once. The address is that of the leader as the host
// named it, "" if it named none.
func attempt[Req, Res any](ctx context.Context, c *Client, address string, in Req, m method[Req, Res]) (Res, string, error) {
	var none Res
	conn, err := c.conn(address)
	if err != nil {
		return none, "", err
	}
	bounded, cancel := context.WithTimeout(ctx, c.config.AttemptTimeout)
	defer cancel()
	var trailer metadata.MD
	out, err := m(apiv1.NewControlClient(conn), bounded, in, grpc.Trailer(&trailer))
	if err == nil {
		return out, "", nil
	}
	if code, ok := trailerCode(trailer); ok {
		leader := ""
		if v := trailer.Get(TrailerLeader); len(v) > 0 {
			leader = v[0]
		}
		return none, leader, result.New(code, "%s", status.Convert(err).Message())
	}
	if status.Code(err) == codes.DeadlineExceeded {
		// The connection may be silent for good although new ones work.
		c.replace(address, conn)
	}
	return none, "", err
}

func trailerCode(trailer metadata.MD) (result.Code, bool) {
	v := trailer.Get(TrailerCode)
	if len(v) == 0 {
		return 0, false
	}
	n, err := strconv.ParseUint(v[0], 10, 32)
	return result.Code(n), err == nil
}

// isFinal reports whether another host would give the same answer.
func isFinal(err error) bool {
	if code, ok := result.CodeOf(err); ok {
		return code != result.NotLeader && code != result.NoQuorum && code != result.SyncFailed && code != result.ShuttingDown
	}
	switch status.Code(err) {
	case codes.InvalidArgument, codes.Unimplemented, codes.PermissionDenied, codes.Unauthenticated, codes.ResourceExhausted:
		return true
	}
	return false
}

// asResult turns the last error of a call into one with a result code. The
// host's own code stays; a host that did not answer gives NoQuorum.
func asResult(err error) error {
	var e *result.Error
	if errors.As(err, &e) {
		return err
	}
	return result.Wrap(result.NoQuorum, err, "no control host answered")
}
