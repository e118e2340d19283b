package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/backend"
)

// Guards against overload of a cold server after the loss of a router. A load
// report taken 0.2 ms after a new grant shows only the two requests of the lost
// router. The owner takes one of them for the granted request, which has not
// reached the server yet, and releases a slot that is still in use.
func TestInFlightRequestDoesNotHideOrphan(t *testing.T) {
	t.Skip("see KNOWN-RED.txt")
	o, now := newGrantingOwner("s1")
	o.servers["s1"].limit.Restore(now, 3, true)
	lost := RouterID{Name: "r2", DataCentre: "a", Incarnation: 1}
	for id := uint64(1); id <= 2; id++ {
		a := ask(id, "w", draft, now)
		a.Router = lost
		o.Ask(now, a)
	}
	assert.Equal(t, len(o.TakeOutput().Grants), 2)
	o.RemoveRouter(now, lost)
	report := func(at time.Time, running int) {
		a := announce("s1", 0)
		a.Load = backend.Load{Running: running}
		o.HandleAnnouncement(at, a)
	}
	now = now.Add(3 * time.Second)
	report(now, 2)
	o.Ask(now, ask(3, "w", draft, now))
	assert.Equal(t, len(o.TakeOutput().Grants), 1)
	report(now.Add(200*time.Microsecond), 2)
	o.Ask(now.Add(time.Millisecond), ask(4, "w", draft, now))
	assert.Equal(t, len(o.TakeOutput().Grants), 0, "three requests run on a server with a limit of three")
	now = now.Add(time.Second)
	report(now, 2) // one request of the lost router has ended
	assert.Equal(t, len(o.TakeOutput().Grants), 1)
}
