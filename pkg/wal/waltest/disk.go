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

// ErrSync is returned by Sync while Disk.Failing is set.
var ErrSync = errors.New("input/output error")

// Disk is the file system of the operating system with injected faults. The zero
// value injects none.
type Disk struct {
	wal.OS
	Full    atomic.Bool  // writes store half of their bytes and return ENOSPC
	Failing atomic.Bool  // syncs return ErrSync
	Stall   sync.RWMutex // syncs block while it is locked for writing
}

// Create implements wal.FS.
func (d *Disk) Create(path string) (wal.File, error) {
	f, err := d.OS.Create(path)
	return &faultyFile{f, d}, err
}

// OpenAppend implements wal.FS.
func (d *Disk) OpenAppend(path string) (wal.File, error) {
	f, err := d.OS.OpenAppend(path)
	return &faultyFile{f, d}, err
}

type faultyFile struct {
	wal.File
	disk *Disk
}

// Write implements wal.File.
func (f *faultyFile) Write(b []byte) (int, error) {
	if !f.disk.Full.Load() {
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
	f.disk.Stall.RLock()
	defer f.disk.Stall.RUnlock()
	if f.disk.Failing.Load() {
		return ErrSync
	}
	return f.File.Sync()
}
