// Package waltest has a disk for tests that fills up, fails to sync or stalls.
package waltest

import (
	"errors"
	"sync"
	"sync/atomic"
	"syscall"

	"jackdawtrack.example/jackdawtrack/pkg/wal"
)

// ErrSync is the error of a sync that fails.
var ErrSync = errors.New("input/output error")

// Disk is the real file system with faults. The zero value has none.
type Disk struct {
	wal.OS
	Full    atomic.Bool  // writes store half of their bytes and return ENOSPC
	Failing atomic.Bool  // syncs return ErrSync
	Stall   sync.RWMutex // syncs wait while it is locked
}

// Create implements wal.FS.
func (d *Disk) Create(path string) (wal.File, error) {
	f, err := d.OS.Create(path)
	return &file{f, d}, err
}

// Append implements wal.FS.
func (d *Disk) Append(path string) (wal.File, error) {
	f, err := d.OS.Append(path)
	return &file{f, d}, err
}

type file struct {
	wal.File
	disk *Disk
}

// Write implements wal.File.
func (f *file) Write(b []byte) (int, error) {
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
func (f *file) Sync() error {
	f.disk.Stall.RLock()
	defer f.disk.Stall.RUnlock()
	if f.disk.Failing.Load() {
		return ErrSync
	}
	return f.File.Sync()
}
