package wal

import (
	"math/rand/v2"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// writeBackDisk stores half of a write that finds no space at once, and truncations with
// the next sync only.
type writeBackDisk struct {
	*memDisk
	full bool // the next write finds no space
}

// Create implements FS.
func (d *writeBackDisk) Create(path string) (File, error) {
	f, err := d.memDisk.Create(path)
	return &writeBackFile{f, d}, err
}

// OpenAppend implements FS.
func (d *writeBackDisk) OpenAppend(path string) (File, error) {
	f, err := d.memDisk.OpenAppend(path)
	return &writeBackFile{f, d}, err
}

type writeBackFile struct {
	File
	disk *writeBackDisk
}

// Write implements File.
func (f *writeBackFile) Write(b []byte) (int, error) {
	if !f.disk.full {
		return f.File.Write(b)
	}
	f.disk.full = false
	n, err := f.File.Write(b[:len(b)/2])
	if err == nil {
		err = f.File.Sync()
	}
	if err != nil {
		return n, err
	}
	return n, syscall.ENOSPC
}

// Truncate implements File.
func (f *writeBackFile) Truncate(size int64) error {
	file := f.File.(*fileHandle).f
	synced := file.synced
	err := f.File.Truncate(size)
	file.synced = synced
	return err
}

// Guards against a folder that cannot be opened because a part of a frame is back after a
// power failure, in a segment that a new one has followed meanwhile.
func TestTornFrameDoesNotReturnBeforeANewSegment(t *testing.T) {
	d := &writeBackDisk{memDisk: newMemDisk()}
	l, _, err := Open(folder, Options{FS: d, NewIdentity: func() uint64 { return 77 }})
	assert.NilError(t, err)
	appendEntries(t, l, 1, 10)
	assert.NilError(t, l.SaveSnapshot(Snapshot{Index: 9, Term: 1}))
	d.full = true
	l.Append(entryRecord(11, 1, "refused"))
	assertCode(t, l.Sync(), result.DiskFull)
	assert.NilError(t, l.Compact(9)) // starts a new segment
	appendEntries(t, l, 11, 11)
	d.powerFailure(rand.New(rand.NewPCG(firstSeed, 1)))
	_, r, err := Open(folder, Options{FS: d.memDisk})
	assert.NilError(t, err)
	assert.Equal(t, len(r.Entries), 2)
}
