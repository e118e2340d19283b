package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/limiter"
)

// Guards against overload of cold servers after their data centre comes back:
// slots that were released while the servers were warm may still be in use, so
// the owner has to wait for a load report.
func TestReturnedDataCentreWaitsForLoadReport(t *testing.T) {
	o, now := newGrantingOwner("s1")
	o.SetDataCentreOut(now, true)
	now = now.Add(time.Second)
	o.SetDataCentreOut(now, false)
	for id := uint64(1); id <= 3; id++ {
		o.Ask(now, ask(id, "w", draft, now))
	}
	a := announce("s1", 0)
	a.Load.AgeMS, a.Load.Running = 500, 1
	o.HandleAnnouncement(now, a)
	assert.Equal(t, len(o.TakeOutput().Grants), 0)
	o.HandleAnnouncement(now.Add(time.Second), a)
	assert.Equal(t, len(o.TakeOutput().Grants), 1)
}

// Guards against a next owner that uses a limit from before the data centre was
// taken out.
func TestHandoverWhileDataCentreOutIsCold(t *testing.T) {
	o, now := newGrantingOwner("s1")
	o.servers["s1"].limit.Restore(now, 6, true)
	o.SetDataCentreOut(now, true)
	next := newOwner(shardA, 2)
	next.AcceptHandover(now, o.Handover())
	assert.Equal(t, next.Snapshot().Servers[0].Full, limiter.MaxColdLimit)
}

// Guards against the handover of a partitioned owner that missed the restart of
// a server under the same boot id: its limit is from before the restart.
func TestOldHandoverKeepsRestartedServerCold(t *testing.T) {
	o, now := newGrantingOwner("s1")
	o.HandleAnnouncement(now, announce("s1", 50))
	o.servers["s1"].limit.Restore(now, 6, true)
	next := newOwner(shardA, 2)
	next.HandleAnnouncement(now, announce("s1", 2))
	next.AcceptHandover(now, o.Handover())
	assert.Equal(t, next.Snapshot().Servers[0].Full, limiter.MaxColdLimit)
}

// Guards against a handover with the limit of a silent server, which may have
// restarted in the meantime.
func TestHandoverLeavesOutSilentServers(t *testing.T) {
	o, now := newGrantingOwner("s1", "s2")
	now = now.Add(backend.AnnouncementTimeout)
	o.HandleAnnouncement(now, announce("s2", 0))
	h := o.Handover()
	assert.Equal(t, len(h.Servers), 1)
	next := newOwner(shardA, 2)
	next.AcceptHandover(now, h)
	assert.Equal(t, next.Snapshot().Servers[0].Name, "s2")
}

// Guards against a next owner that grants slots which its predecessor lent to
// another data centre, before a load report shows that they are free.
func TestHandoverCarriesLentSlots(t *testing.T) {
	const limit = 4
	o, now := newGrantingOwner("s1")
	o.servers["s1"].limit.Restore(now, limit, false)
	o.HandleSummary(now, Summary{From: shardB, Epoch: 1, Waiting: 5, Lowest: []WaitingValue{{Value: 0, Count: 5}}})
	lent := 0
	for _, l := range o.TakeOutput().Loans {
		lent += int(l.Slots)
	}
	assert.Equal(t, lent, limit)
	next := newOwner(shardA, 2)
	next.AcceptHandover(now, o.Handover())
	next.Ask(now, ask(1, "w", draft, now))
	assert.Equal(t, len(next.TakeOutput().Grants), 0)
	later := now.Add(time.Second)
	next.HandleAnnouncement(later, announce("s1", 0))
	assert.Equal(t, len(next.TakeOutput().Grants), 1)
}
