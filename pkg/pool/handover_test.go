package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/limiter"
)

// Guards against cold servers that get a full cold limit when their data centre
// comes back, on top of work whose slots were released while they were warm.
func TestReturnWaitsForLoadReport(t *testing.T) {
	o, now := open("s1")
	o.SetDataCentreOut(now, true)
	now = now.Add(time.Second)
	o.SetDataCentreOut(now, false)
	for id := uint64(1); id <= 3; id++ {
		o.Ask(now, ask(id, "w", draft, now))
	}
	a := announce("s1", 0)
	a.Load.AgeMS, a.Load.Running = 500, 1
	o.Announce(now, a)
	assert.Equal(t, len(o.Take().Grants), 0)
	o.Announce(now.Add(time.Second), a)
	assert.Equal(t, len(o.Take().Grants), 1)
}

// Guards against a limit from the time before a data centre was out that the
// next owner uses after the return.
func TestHandoverWhileOutIsCold(t *testing.T) {
	o, now := open("s1")
	o.servers["s1"].limit.Restore(now, 6, true)
	o.SetDataCentreOut(now, true)
	next := newOwner(shardA, 2)
	next.Accept(now, o.Handover())
	assert.Equal(t, next.Snapshot().Servers[0].Full, limiter.ColdLimit)
}

// Guards against the hand-over of an owner that was cut off while a server
// restarted under the same boot id: its limit belongs to the earlier run.
func TestOldHandoverKeepsRestartedServerCold(t *testing.T) {
	o, now := open("s1")
	o.Announce(now, announce("s1", 50))
	o.servers["s1"].limit.Restore(now, 6, true)
	next := newOwner(shardA, 2)
	next.Announce(now, announce("s1", 2))
	next.Accept(now, o.Handover())
	assert.Equal(t, next.Snapshot().Servers[0].Full, limiter.ColdLimit)
}

// Guards against a hand-over that vouches for a server that its owner has not
// heard of for as long as a restart can take.
func TestHandoverLeavesOutSilentServers(t *testing.T) {
	o, now := open("s1", "s2")
	now = now.Add(backend.SilenceLimit)
	o.Announce(now, announce("s2", 0))
	h := o.Handover()
	assert.Equal(t, len(h.Servers), 1)
	next := newOwner(shardA, 2)
	next.Accept(now, h)
	assert.Equal(t, next.Snapshot().Servers[0].Name, "s2")
}

// Guards against a next owner that grants slots which the owner before it had
// lent to another data centre, before a load report shows them free.
func TestHandoverCarriesLentSlots(t *testing.T) {
	const limit = 4
	o, now := open("s1")
	o.servers["s1"].limit.Restore(now, limit, false)
	o.Summary(now, Summary{From: shardB, Epoch: 1, Waiting: 5, Lowest: []WaitingValue{{Value: 0, Count: 5}}})
	lent := 0
	for _, l := range o.Take().Loans {
		lent += int(l.Slots)
	}
	assert.Equal(t, lent, limit)
	next := newOwner(shardA, 2)
	next.Accept(now, o.Handover())
	next.Ask(now, ask(1, "w", draft, now))
	assert.Equal(t, len(next.Take().Grants), 0)
	later := now.Add(time.Second)
	next.Announce(later, announce("s1", 0))
	assert.Equal(t, len(next.Take().Grants), 1)
}
