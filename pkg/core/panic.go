package core

import (
	"context"
	"runtime/debug"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// errPanicked ends a call whose handling panicked. The other side calls again.
var errPanicked = status.Error(codes.Internal, "the handling of the call failed")

// guards returns the options that keep one message of another host from ending
// this process. The consensus itself runs in a goroutine of its own and stops
// the process on purpose: it must not go on with a state that may be wrong.
func (h *Host) guards() []grpc.ServerOption {
	return []grpc.ServerOption{grpc.ChainUnaryInterceptor(h.guardCall), grpc.ChainStreamInterceptor(h.guardStream)}
}

func (h *Host) guardCall(ctx context.Context, m any, info *grpc.UnaryServerInfo, next grpc.UnaryHandler) (out any, err error) {
	defer h.recoverCall(info.FullMethod, &err)
	return next(ctx, m)
}

func (h *Host) guardStream(server any, stream grpc.ServerStream, info *grpc.StreamServerInfo, next grpc.StreamHandler) (err error) {
	defer h.recoverCall(info.FullMethod, &err)
	return next(server, stream)
}

func (h *Host) recoverCall(method string, err *error) {
	if p := recover(); p != nil {
		h.log.WithFields(logrus.Fields{"method": method, "cause": p, "stack": string(debug.Stack())}).Error("the handling of a call failed")
		*err = errPanicked
	}
}
