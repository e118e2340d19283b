package core

import (
	"context"
	"testing"

	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
)

// Guards against a core host that ends with all its streams because the handling
// of one message panics.
func TestPanicOfACallEndsTheCallOnly(t *testing.T) {
	h := newTestHost()
	_, err := h.guardCall(context.Background(), nil, &grpc.UnaryServerInfo{}, func(context.Context, any) (any, error) { panic("fault") })
	assert.ErrorIs(t, err, errPanicked)
	err = h.guardStream(nil, nil, &grpc.StreamServerInfo{}, func(any, grpc.ServerStream) error { panic("fault") })
	assert.ErrorIs(t, err, errPanicked)
	out, err := h.guardCall(context.Background(), 1, &grpc.UnaryServerInfo{}, func(_ context.Context, m any) (any, error) { return m, nil })
	assert.NilError(t, err)
	assert.Equal(t, out, 1)
}

// Guards against a host that stays locked after a panic in the midst of an
// event of another host.
func TestPanicOfAnEventLeavesNoLock(t *testing.T) {
	h := newTestHost()
	h.servers = nil // makes the next announcement panic
	func() {
		defer func() { assert.Assert(t, recover() != nil) }()
		h.Event("core", &apiv1.FleetEvent{Servers: []*apiv1.ServerAnnouncement{{Id: "i"}}})
	}()
	assert.Assert(t, h.mu.TryLock())
}
