package core

import (
	"context"
	"testing"

	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
)

// Guards against a core host whose process ends, with all its streams, because the
// handler of one call panics.
func TestPanicEndsOnlyItsCall(t *testing.T) {
	h := newTestHost()
	_, err := h.recoverUnary(context.Background(), nil, &grpc.UnaryServerInfo{}, func(context.Context, any) (any, error) { panic("fault") })
	assert.ErrorIs(t, err, errCallPanicked)
	err = h.recoverStream(nil, nil, &grpc.StreamServerInfo{}, func(any, grpc.ServerStream) error { panic("fault") })
	assert.ErrorIs(t, err, errCallPanicked)
	out, err := h.recoverUnary(context.Background(), 1, &grpc.UnaryServerInfo{}, func(_ context.Context, m any) (any, error) { return m, nil })
	assert.NilError(t, err)
	assert.Equal(t, out, 1)
}

// Guards against a mutex that stays locked after a panic while an event of another
// host is merged.
func TestPanicInEventReleasesLock(t *testing.T) {
	h := newTestHost()
	h.servers = nil // makes the next announcement panic
	func() {
		defer func() { assert.Assert(t, recover() != nil) }()
		h.HandleEvent("core", &apiv1.FleetEvent{Servers: []*apiv1.ServerAnnouncement{{Id: "i"}}})
	}()
	assert.Assert(t, h.mu.TryLock())
}
