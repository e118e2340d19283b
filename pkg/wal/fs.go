// Package wal implements the write-ahead log of one control host. Its data folder
// holds records in checksummed frames in segment files, snapshots, a lock file
// and the random identity of the folder. Sync returns after the appended records
// are durable.
package wal

import (
	"errors"
	"io"
	"os"
	"syscall"

	"golang.org/x/sys/unix"

	"jackdawtrack.example/jackdawtrack/pkg/result"
)

const (
	folderMode = 0o700
	fileMode   = 0o600
)

// File is an open file of an FS.
type File interface {
	io.Writer
	// Sync returns after the content is durable.
	Sync() error
	// Truncate sets the size in bytes. Later writes append at the new end.
	Truncate(size int64) error
	Close() error
}

// FS is the set of file system operations that the log uses. Tests replace it to
// simulate lost writes, failures and a full disk.
type FS interface {
	MkdirAll(folder string) error
	// List returns the names in the folder in ascending order.
	List(folder string) ([]string, error)
	ReadFile(path string) ([]byte, error)
	// Create opens a file for appending. An existing file is truncated.
	Create(path string) (File, error)
	// OpenAppend opens an existing file for appending.
	OpenAppend(path string) (File, error)
	Rename(from, to string) error
	Remove(path string) error
	// SyncDir makes the creation, renaming and removal of files in the folder
	// durable.
	SyncDir(folder string) error
	// Lock takes an exclusive lock until the returned Closer is closed. It
	// returns FolderLocked if the lock is held elsewhere.
	Lock(path string) (io.Closer, error)
}

// OS is the file system of the operating system.
type OS struct{}

// MkdirAll implements FS.
func (OS) MkdirAll(folder string) error { return os.MkdirAll(folder, folderMode) }

// List implements FS.
func (OS) List(folder string) ([]string, error) {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, nil
}

// ReadFile implements FS.
func (OS) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

// Create implements FS.
func (OS) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, fileMode)
}

// OpenAppend implements FS.
func (OS) OpenAppend(path string) (File, error) {
	return os.OpenFile(path, os.O_WRONLY|os.O_APPEND, fileMode)
}

// Rename implements FS.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FS.
func (OS) Remove(path string) error { return os.Remove(path) }

// SyncDir implements FS.
func (OS) SyncDir(folder string) error {
	d, err := os.Open(folder)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// Lock implements FS.
func (OS) Lock(path string) (io.Closer, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, err
	}
	err = unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB)
	if err == nil {
		return f, nil
	}
	f.Close()
	if errors.Is(err, unix.EWOULDBLOCK) {
		return nil, result.New(result.FolderLocked, "%s is locked by another process", path)
	}
	return nil, err
}

// isDiskFull reports whether err is a full disk or an exceeded quota.
func isDiskFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}
