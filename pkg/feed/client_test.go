package feed

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
)

// faulty panics at its first event.
type faulty struct{ events int }

func (f *faulty) Event(string, *apiv1.FleetEvent) {
	if f.events++; f.events == 1 {
		panic("fault")
	}
}

func (*faulty) Lost(string, error) {}

// Guards against an edge host that ends because the handling of one event of a
// core host panics.
func TestPanicOfAnEventEndsTheStreamOnly(t *testing.T) {
	h := &faulty{}
	c := New(context.Background(), &apiv1.FleetWatcher{}, "", nil, h)
	assert.ErrorIs(t, c.deliver("core", &apiv1.FleetEvent{}), errPanicked)
	assert.NilError(t, c.deliver("core", &apiv1.FleetEvent{}))
}
