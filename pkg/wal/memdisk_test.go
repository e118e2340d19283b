package wal

import (
	"errors"
	"io"
	"io/fs"
	"maps"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"strings"
	"syscall"

	"jackdawtrack.example/jackdawtrack/pkg/result"
)

var errIO = errors.New("input/output error")

// inode is the content of a file. A power failure keeps at least synced.
type inode struct {
	data   []byte
	synced []byte
}

// memDisk is an in-memory file system. It simulates power failures that lose or
// tear unsynced writes and lose directory changes, failing syncs and a full disk.
type memDisk struct {
	names     map[string]*inode // by path, as the process sees them
	durable   map[string]*inode // by path, after the last SyncDir
	locked    bool
	syncsLeft int   // syncs that succeed before the first failure, -1 for no limit
	freeBytes int64 // -1 for no limit
}

func newMemDisk() *memDisk {
	return &memDisk{names: map[string]*inode{}, durable: map[string]*inode{}, freeBytes: -1, syncsLeft: -1}
}

func (d *memDisk) sync() error {
	if d.syncsLeft == 0 {
		return errIO
	}
	if d.syncsLeft > 0 {
		d.syncsLeft--
	}
	return nil
}

// powerFailure keeps synced content. Unsynced directory changes are all kept or
// all lost. Of the unsynced content of each file a random prefix is kept, in which
// a random range may be zeroed.
func (d *memDisk) powerFailure(rng *rand.Rand) {
	if rng.IntN(2) == 0 {
		d.durable = maps.Clone(d.names)
	}
	d.names = maps.Clone(d.durable)
	d.locked = false
	for _, f := range d.names {
		if len(f.data) <= len(f.synced) {
			f.data = slices.Clone(f.synced)
			continue
		}
		tail := slices.Clone(f.data[len(f.synced):][:rng.IntN(len(f.data)-len(f.synced)+1)])
		if len(tail) > 0 && rng.IntN(2) == 0 {
			from := rng.IntN(len(tail))
			clear(tail[from : from+rng.IntN(len(tail)-from)+1])
		}
		f.data = append(slices.Clone(f.synced), tail...)
		f.synced = slices.Clone(f.data)
	}
}

func (d *memDisk) MkdirAll(string) error { return nil }

func (d *memDisk) List(string) ([]string, error) {
	var names []string
	for path := range d.names {
		names = append(names, filepath.Base(path))
	}
	slices.Sort(names)
	return names, nil
}

func (d *memDisk) ReadFile(path string) ([]byte, error) {
	f := d.names[path]
	if f == nil {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(f.data), nil
}

func (d *memDisk) Create(path string) (File, error) {
	if d.freeBytes == 0 {
		return nil, syscall.ENOSPC
	}
	f := &inode{}
	d.names[path] = f
	return &fileHandle{d, f}, nil
}

func (d *memDisk) OpenAppend(path string) (File, error) {
	f := d.names[path]
	if f == nil {
		return nil, fs.ErrNotExist
	}
	return &fileHandle{d, f}, nil
}

func (d *memDisk) Rename(from, to string) error {
	d.names[to] = d.names[from]
	delete(d.names, from)
	return nil
}

func (d *memDisk) Remove(path string) error {
	delete(d.names, path)
	return nil
}

func (d *memDisk) SyncDir(string) error {
	if err := d.sync(); err != nil {
		return err
	}
	d.durable = maps.Clone(d.names)
	return nil
}

func (d *memDisk) Lock(string) (io.Closer, error) {
	if d.locked {
		return nil, result.New(result.FolderLocked, "locked")
	}
	d.locked = true
	return &lockHandle{d}, nil
}

type lockHandle struct{ d *memDisk }

func (l *lockHandle) Close() error { l.d.locked = false; return nil }

type fileHandle struct {
	d *memDisk
	f *inode
}

func (h *fileHandle) Write(b []byte) (int, error) {
	if h.d.freeBytes < 0 {
		h.f.data = append(h.f.data, b...)
		return len(b), nil
	}
	n := min(int64(len(b)), h.d.freeBytes)
	h.f.data = append(h.f.data, b[:n]...)
	h.d.freeBytes -= n
	if n < int64(len(b)) {
		return int(n), syscall.ENOSPC
	}
	return len(b), nil
}

func (h *fileHandle) Sync() error {
	if err := h.d.sync(); err != nil {
		return err
	}
	h.f.synced = slices.Clone(h.f.data)
	return nil
}

func (h *fileHandle) Truncate(size int64) error {
	if h.d.freeBytes >= 0 {
		h.d.freeBytes += int64(len(h.f.data)) - size
	}
	h.f.data = h.f.data[:size:size]
	h.f.synced = h.f.synced[:min(size, int64(len(h.f.synced)))]
	return nil
}

func (h *fileHandle) Close() error { return nil }

// lastPathWithSuffix returns the greatest path with this suffix, "" if none.
func (d *memDisk) lastPathWithSuffix(suffix string) string {
	best := ""
	for path := range d.names {
		if strings.HasSuffix(path, suffix) {
			best = max(best, path)
		}
	}
	return best
}
