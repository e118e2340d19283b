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

// inode is the content of a file. synced is what a power failure keeps for
// sure.
type inode struct {
	data   []byte
	synced []byte
}

// disk is a file system in memory that loses unsynced writes and names,
// tears writes, fails syncs and fills up.
type disk struct {
	names   map[string]*inode // as the program sees them
	durable map[string]*inode // after a power failure
	locked  bool
	syncs   int   // that succeed from now on, -1 for no limit
	space   int64 // bytes left, -1 for no limit
}

func newDisk() *disk {
	return &disk{names: map[string]*inode{}, durable: map[string]*inode{}, space: -1, syncs: -1}
}

func (d *disk) sync() error {
	if d.syncs == 0 {
		return errIO
	}
	if d.syncs > 0 {
		d.syncs--
	}
	return nil
}

// powerFailure keeps what is synced. Unsynced names stay or vanish. Of each
// unsynced file a random prefix of the rest stays, in which a random part may
// be zero.
func (d *disk) powerFailure(rng *rand.Rand) {
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

func (d *disk) MkdirAll(string) error { return nil }

func (d *disk) List(string) ([]string, error) {
	var names []string
	for path := range d.names {
		names = append(names, filepath.Base(path))
	}
	slices.Sort(names)
	return names, nil
}

func (d *disk) ReadFile(path string) ([]byte, error) {
	f := d.names[path]
	if f == nil {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(f.data), nil
}

func (d *disk) Create(path string) (File, error) {
	if d.space == 0 {
		return nil, syscall.ENOSPC
	}
	f := &inode{}
	d.names[path] = f
	return &handle{d, f}, nil
}

func (d *disk) Append(path string) (File, error) {
	f := d.names[path]
	if f == nil {
		return nil, fs.ErrNotExist
	}
	return &handle{d, f}, nil
}

func (d *disk) Rename(from, to string) error {
	d.names[to] = d.names[from]
	delete(d.names, from)
	return nil
}

func (d *disk) Remove(path string) error {
	delete(d.names, path)
	return nil
}

func (d *disk) SyncDir(string) error {
	if err := d.sync(); err != nil {
		return err
	}
	d.durable = maps.Clone(d.names)
	return nil
}

func (d *disk) Lock(string) (io.Closer, error) {
	if d.locked {
		return nil, result.New(result.FolderLocked, "locked")
	}
	d.locked = true
	return &lockHandle{d}, nil
}

type lockHandle struct{ d *disk }

func (l *lockHandle) Close() error { l.d.locked = false; return nil }

type handle struct {
	d *disk
	f *inode
}

func (h *handle) Write(b []byte) (int, error) {
	if h.d.space < 0 {
		h.f.data = append(h.f.data, b...)
		return len(b), nil
	}
	n := min(int64(len(b)), h.d.space)
	h.f.data = append(h.f.data, b[:n]...)
	h.d.space -= n
	if n < int64(len(b)) {
		return int(n), syscall.ENOSPC
	}
	return len(b), nil
}

func (h *handle) Sync() error {
	if err := h.d.sync(); err != nil {
		return err
	}
	h.f.synced = slices.Clone(h.f.data)
	return nil
}

func (h *handle) Truncate(size int64) error {
	if h.d.space >= 0 {
		h.d.space += int64(len(h.f.data)) - size
	}
	h.f.data = h.f.data[:size:size]
	h.f.synced = h.f.synced[:min(size, int64(len(h.f.synced)))]
	return nil
}

func (h *handle) Close() error { return nil }

func (d *disk) find(suffix string) string {
	best := ""
	for path := range d.names {
		if strings.HasSuffix(path, suffix) {
			best = max(best, path)
		}
	}
	return best
}
