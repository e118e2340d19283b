package replica

import (
	"fmt"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/result"
	"jackdawtrack.example/jackdawtrack/pkg/wal"
	"jackdawtrack.example/jackdawtrack/pkg/wal/waltest"
)

// A failed sync must stop the replica, because the content on disk is unknown.
func TestSyncFailureStopsReplica(t *testing.T) {
	fs := &waltest.FaultyDisk{}
	g := newGroup(t, 1)
	g.fs[1] = fs
	m := g.start(1)
	g.propose("before")
	fs.FailSyncs.Store(true)
	_, err := m.Propose(g.context(), []byte("x"))
	assert.Equal(t, codeOf(err), result.NoQuorum)
	<-m.Done()
	assert.Equal(t, codeOf(m.Err()), result.SyncFailed)
	assert.DeepEqual(t, m.machine.list(), []string{"before"})
	_, err = m.Propose(g.context(), []byte("y"))
	assert.Assert(t, err != nil)
}

// A full disk must not lose accepted commands or apply rejected ones, and the
// replica must accept commands again once there is space, without a restart.
func TestFullDiskRefusesChanges(t *testing.T) {
	fs := &waltest.FaultyDisk{}
	g := newGroup(t, 1)
	g.fs[1] = fs
	m := g.start(1)
	var want []string
	for round := range 3 {
		for i := range 5 {
			want = append(want, fmt.Sprintf("%d/%d", round, i))
			g.propose(want[len(want)-1])
		}
		fs.FailWrites.Store(true)
		for range 3 {
			_, err := m.Propose(g.context(), []byte("refused"))
			assert.Equal(t, codeOf(err), result.DiskFull)
		}
		assert.Assert(t, m.Status().DiskFull)
		fs.FailWrites.Store(false)
	}
	g.propose("last")
	want = append(want, "last")
	assert.DeepEqual(t, m.machine.list(), want)
	g.stop(1)
	m = g.start(1)
	assert.NilError(t, m.ReadBarrier(g.context()))
	assert.DeepEqual(t, m.machine.list(), want)
}

// newGroupWithFaultyDisks returns a group that is not started, and its disks by host ID.
func newGroupWithFaultyDisks(t *testing.T, size uint64) (*group, map[uint64]*waltest.FaultyDisk) {
	g := newGroup(t, int(size))
	disks := map[uint64]*waltest.FaultyDisk{}
	for id := uint64(1); id <= size; id++ {
		disks[id] = &waltest.FaultyDisk{}
		g.fs[id] = disks[id]
	}
	return g, disks
}

func (g *group) waitStatus(id uint64, what string, ok func(Status) bool) {
	g.t.Helper()
	s, err := g.members[id].WaitForStatus(g.context(), ok)
	assert.NilError(g.t, err, "%s: %+v", what, s)
}

// Guards against a host that stays unready and refuses changes with a full disk for good,
// because it has nothing to write after its disk has space again: it failed to write its
// own candidacy, and the leader came back in the same term.
func TestIdleHostNoticesSpaceOnItsDisk(t *testing.T) {
	const leader, full, behind = 1, 2, 3
	g, disks := newGroupWithFaultyDisks(t, 3)
	g.modifyConfig = func(c *Config) {
		if c.ID == leader {
			c.ElectionTicks = 10000 // it keeps leading while it is cut off
		}
	}
	g.startAll()
	g.propose("before", leader)
	// The host that is behind can become no leader, but gives its vote to the full one.
	g.net.setIsolated(address(behind), true)
	g.propose("first", leader)
	g.waitApplied(g.members[full], g.members[leader].Status().Commit)
	disks[full].FailWrites.Store(true)
	g.net.setIsolated(address(leader), true)
	g.net.setIsolated(address(behind), false)
	g.waitStatus(full, "no write failed", func(s Status) bool { return s.DiskFull })
	g.net.setIsolated(address(leader), false)
	g.waitStatus(full, "the leader is not known", func(s Status) bool { return s.Leader == leader })
	_, err := g.members[full].Propose(g.context(), []byte("x"))
	assert.Equal(t, codeOf(err), result.NotLeader)
	m := g.members[full]
	assert.Equal(t, m.metrics.diskFull.Value(), int64(1))
	disks[full].FailWrites.Store(false)
	g.waitStatus(full, "the disk is still taken for full", func(s Status) bool { return !s.DiskFull })
	assert.Equal(t, m.metrics.diskFull.Value(), int64(0))
	assert.Assert(t, m.metrics.fullWrites.Count() > 0)
	assert.Equal(t, m.Status().Term, g.members[leader].Status().Term)
}

// diskWithoutSnapshots has no space for snapshots while full is set.
type diskWithoutSnapshots struct {
	wal.OS
	full atomic.Bool
}

// Rename implements wal.FS.
func (d *diskWithoutSnapshots) Rename(from, to string) error {
	if d.full.Load() && strings.HasSuffix(to, ".snap") {
		return syscall.ENOSPC
	}
	return d.OS.Rename(from, to)
}

// Guards against a log that grows for as long as no change comes after a snapshot found no
// space: the snapshot is tried again without one. Time is virtual.
func TestSnapshotIsTriedAgainAfterFullDisk(t *testing.T) {
	metrics.NewMeter().Stop() // starts the goroutine of all meters outside of the bubble
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 1)
		g.snapshotThresholdBytes = 1000
		fs := &diskWithoutSnapshots{}
		g.fs[1] = fs
		m := g.start(1)
		fs.full.Store(true)
		g.propose(strings.Repeat("x", 1500))
		synctest.Wait()
		assert.Equal(t, m.metrics.fullSnaps.Count(), int64(1))
		time.Sleep(3 * snapshotRetryInterval)
		assert.Assert(t, m.metrics.fullSnaps.Count() > 1 && m.metrics.fullSnaps.Count() < 5, "%d attempts", m.metrics.fullSnaps.Count())
		assert.Equal(t, m.metrics.snapshots.Count(), int64(0))
		fs.full.Store(false)
		time.Sleep(2 * snapshotRetryInterval)
		assert.Equal(t, m.metrics.snapshots.Count(), int64(1))
		assert.Equal(t, m.Status().SnapshotIndex, m.Status().Applied)
	})
}
