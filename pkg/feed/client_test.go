package feed

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
)

// panickingHandler panics on its first event.
type panickingHandler struct{ events int }

func (f *panickingHandler) HandleEvent(string, *apiv1.FleetEvent) {
	if f.events++; f.events == 1 {
		panic("fault")
	}
}

func (*panickingHandler) HandleDisconnect(string, error) {}

// Guards against an edge host that crashes because the handler of an event panics.
func TestHandlerPanicEndsOnlyTheStream(t *testing.T) {
	h := &panickingHandler{}
	c := New(context.Background(), &apiv1.FleetWatcher{}, "", nil, h)
	assert.ErrorIs(t, c.deliver("core", &apiv1.FleetEvent{}), errHandlerPanicked)
	assert.NilError(t, c.deliver("core", &apiv1.FleetEvent{}))
}
