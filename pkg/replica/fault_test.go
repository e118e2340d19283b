package replica

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/result"
	"jackdawtrack.example/jackdawtrack/pkg/wal"
)

// faultyFS is the real file system with a disk that fills up, fails to sync or
// stalls while stall is locked.
type faultyFS struct {
	wal.OS
	full, failing atomic.Bool
	stall         sync.RWMutex
}

func (f *faultyFS) Create(path string) (wal.File, error) {
	file, err := f.OS.Create(path)
	return &faultyFile{file, f}, err
}

func (f *faultyFS) Append(path string) (wal.File, error) {
	file, err := f.OS.Append(path)
	return &faultyFile{file, f}, err
}

type faultyFile struct {
	wal.File
	fs *faultyFS
}

func (f *faultyFile) Write(b []byte) (int, error) {
	if !f.fs.full.Load() {
		return f.File.Write(b)
	}
	n, _ := f.File.Write(b[:len(b)/2])
	return n, syscall.ENOSPC
}

func (f *faultyFile) Sync() error {
	f.fs.stall.RLock()
	defer f.fs.stall.RUnlock()
	if f.fs.failing.Load() {
		return errors.New("input/output error")
	}
	return f.File.Sync()
}

// Guards against a process that works on after a failed sync.
func TestSyncFailureStopsReplica(t *testing.T) {
	fs := &faultyFS{}
	g := newGroup(t, 1)
	g.fs[1] = fs
	m := g.start(1)
	g.propose("before")
	fs.failing.Store(true)
	_, err := m.Propose(g.context(), []byte("x"))
	assert.Equal(t, codeOf(err), result.NoQuorum)
	<-m.Done()
	assert.Equal(t, codeOf(m.Err()), result.SyncFailed)
	assert.DeepEqual(t, m.machine.list(), []string{"before"})
	_, err = m.Propose(g.context(), []byte("y"))
	assert.Assert(t, err != nil)
}

// Guards against a full disk that loses accepted changes, applies refused
// ones or needs a restart.
func TestFullDiskRefusesChanges(t *testing.T) {
	fs := &faultyFS{}
	g := newGroup(t, 1)
	g.fs[1] = fs
	m := g.start(1)
	var want []string
	for round := range 3 {
		for i := range 5 {
			want = append(want, fmt.Sprintf("%d/%d", round, i))
			g.propose(want[len(want)-1])
		}
		fs.full.Store(true)
		for range 3 {
			_, err := m.Propose(g.context(), []byte("refused"))
			assert.Equal(t, codeOf(err), result.DiskFull)
		}
		assert.Assert(t, m.Status().DiskFull)
		fs.full.Store(false)
	}
	g.propose("last")
	want = append(want, "last")
	assert.DeepEqual(t, m.machine.list(), want)
	g.stop(1)
	m = g.start(1)
	assert.NilError(t, m.ReadBarrier(g.context()))
	assert.DeepEqual(t, m.machine.list(), want)
}
