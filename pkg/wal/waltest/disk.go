// Package waltest provides a file system for tests with injectable faults: a full
// disk, failing syncs and stalled syncs.
package waltest

import (
	"errors"
	"sync"
	"sync/atomic"
	"syscall"

	"jackdawtrack.example/jackdawtrack/pkg/wal"
)

// ErrSync is returned by Sync while FaultyDisk.FailSyncs is set.
var ErrSync = errors.New("input/output error")

// FaultyDisk is the file system of the operating system with injected faults.
// The zero value injects none.
type FaultyDisk struct {
	wal.OS
	FailWrites atomic.Bool  // writes store half of their bytes and return ENOSPC
	FailSyncs  atomic.Bool  // syncs return ErrSync
	StallSyncs sync.RWMutex // syncs block while it is locked for writing
}

// Create implements wal.FS.
func (d *FaultyDisk) Create(path string) (wal.File, error) {
	f, err := d.OS.Create(path)
	return &faultyFile{f, d}, err
}

// OpenAppend implements wal.FS.
func (d *FaultyDisk) OpenAppend(path string) (wal.File, error) {
	f, err := d.OS.OpenAppend(path)
	return &faultyFile{f, d}, err
}

type faultyFile struct {
	wal.File
	disk *FaultyDisk
}

// Write implements wal.File.
func (f *faultyFile) Write(b []byte) (int, error) {
	if !f.disk.FailWrites.Load() {
		return f.File.Write(b)
	}
	n, err := f.File.Write(b[:len(b)/2])
	if err != nil {
		return n, err
	}
	return n, syscall.ENOSPC
}

// Sync implements wal.File.
func (f *faultyFile) Sync() error {
	f.disk.StallSyncs.RLock()
	defer f.disk.StallSyncs.RUnlock()
	if f.disk.FailSyncs.Load() {
		return ErrSync
	}
	return f.File.Sync()
}
