package core

import (
	"context"
	"runtime/debug"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// errCallPanicked is returned for a call whose handler panicked. The other host
// retries the call.
var errCallPanicked = status.Error(codes.Internal, "internal error: the call handler panicked")

// panicRecoveryOptions returns the server options that keep a panic in the handler
// of one call from ending the process. They do not cover the consensus, which runs
// in a goroutine of its own: a panic there ends the process on purpose, because the
// state may be wrong.
func (h *Host) panicRecoveryOptions() []grpc.ServerOption {
	return []grpc.ServerOption{grpc.ChainUnaryInterceptor(h.recoverUnary), grpc.ChainStreamInterceptor(h.recoverStream)}
}

// recoverUnary is a grpc.UnaryServerInterceptor.
func (h *Host) recoverUnary(ctx context.Context, m any, info *grpc.UnaryServerInfo, next grpc.UnaryHandler) (out any, err error) {
	defer h.recoverPanic(info.FullMethod, &err)
	return next(ctx, m)
}

// recoverStream is a grpc.StreamServerInterceptor.
func (h *Host) recoverStream(server any, stream grpc.ServerStream, info *grpc.StreamServerInfo, next grpc.StreamHandler) (err error) {
	defer h.recoverPanic(info.FullMethod, &err)
	return next(server, stream)
}

// recoverPanic, when deferred, logs a panic of the call and sets err.
func (h *Host) recoverPanic(method string, err *error) {
	if p := recover(); p != nil {
		h.log.WithFields(logrus.Fields{"method": method, "cause": p, "stack": string(debug.Stack())}).Error("panic in a call handler")
		*err = errCallPanicked
	}
}
