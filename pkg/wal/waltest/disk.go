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
	Full       atomic.Bool  // every operation that may need space returns ENOSPC, writes as with FailWrites
	FailSyncs  atomic.Bool  // syncs return ErrSync
	StallSyncs sync.RWMutex // syncs block while it is locked for writing
}

// checkSpace returns ENOSPC while the disk is full.
func (d *FaultyDisk) checkSpace() error {
	if d.Full.Load() {
		return syscall.ENOSPC
	}
	return nil
}

// Rename implements wal.FS.
func (d *FaultyDisk) Rename(from, to string) error {
	if err := d.checkSpace(); err != nil {
		return err
	}
	return d.OS.Rename(from, to)
}

// Remove implements wal.FS.
func (d *FaultyDisk) Remove(path string) error {
	if err := d.checkSpace(); err != nil {
		return err
	}
	return d.OS.Remove(path)
}

// SyncDir implements wal.FS.
func (d *FaultyDisk) SyncDir(folder string) error {
	if err := d.checkSpace(); err != nil {
		return err
	}
	return d.OS.SyncDir(folder)
}

// Create implements wal.FS.
func (d *FaultyDisk) Create(path string) (wal.File, error) {
	if err := d.checkSpace(); err != nil {
		return nil, err
	}
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
	if !f.disk.FailWrites.Load() && !f.disk.Full.Load() {
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
	if err := f.disk.checkSpace(); err != nil {
		return err
	}
	return f.File.Sync()
}

// Truncate implements wal.File.
func (f *faultyFile) Truncate(size int64) error {
	if err := f.disk.checkSpace(); err != nil {
		return err
	}
	return f.File.Truncate(size)
}
