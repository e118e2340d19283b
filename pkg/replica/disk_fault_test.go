package replica

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/result"
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
