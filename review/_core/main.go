// Command core is jackdawtrack-core on a stand-in for the disk of its machine, through the
// entry point that the project's own soak uses for disks with faults. The disk can stall,
// and it notes how much of each file has been synced, so that a loss of power can be
// played: "After a loss of power, a file contains what its last fsync or fdatasync covered."
package main

import (
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/replica"
	"jackdawtrack.example/jackdawtrack/pkg/wal"
	"jackdawtrack.example/jackdawtrack/platform"
)

// disk is the file system of the operating system with syncs that can stall. While the file
// notes + "/stall" exists, a sync does not return. notes + "/" + the name of a file holds the
// number of its bytes that were synced.
type disk struct {
	wal.OS
	notes string
}

type file struct {
	wal.File
	disk *disk
	path string
	mu   sync.Mutex
}

func (d *disk) wait() {
	for {
		if _, err := os.Stat(filepath.Join(d.notes, "stall")); err != nil {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

func (d *disk) note(path string, bytes int64) {
	name := filepath.Join(d.notes, filepath.Base(path))
	_ = os.WriteFile(name+".new", []byte(strconv.FormatInt(bytes, 10)), 0o600)
	_ = os.Rename(name+".new", name)
}

// Create implements wal.FS.
func (d *disk) Create(path string) (wal.File, error) {
	f, err := d.OS.Create(path)
	if err != nil {
		return nil, err
	}
	d.note(path, 0)
	return &file{File: f, disk: d, path: path}, nil
}

// OpenAppend implements wal.FS.
func (d *disk) OpenAppend(path string) (wal.File, error) {
	f, err := d.OS.OpenAppend(path)
	if err != nil {
		return nil, err
	}
	return &file{File: f, disk: d, path: path}, nil
}

// Rename implements wal.FS.
func (d *disk) Rename(from, to string) error {
	if err := d.OS.Rename(from, to); err != nil {
		return err
	}
	return os.Rename(filepath.Join(d.notes, filepath.Base(from)), filepath.Join(d.notes, filepath.Base(to)))
}

// Sync implements wal.File.
func (f *file) Sync() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	info, err := os.Stat(f.path)
	if err != nil {
		return err
	}
	f.disk.wait()
	if err := f.File.Sync(); err != nil {
		return err
	}
	f.disk.note(f.path, info.Size())
	return nil
}

// Truncate implements wal.File.
func (f *file) Truncate(size int64) error {
	f.disk.wait()
	return f.File.Truncate(size)
}

func main() {
	d := &disk{notes: os.Getenv("REVIEW_DISK_NOTES")}
	platform.Main("jackdawtrack-core", "Runs a core host on a stand-in disk.", "review", platform.CoreRunner(func(c *replica.Config) { c.FS = d }))
}
