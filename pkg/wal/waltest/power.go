package waltest

import (
	"errors"
	"io"
	"io/fs"
	"maps"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"sync"

	"jackdawtrack.example/jackdawtrack/pkg/result"
	"jackdawtrack.example/jackdawtrack/pkg/wal"
)

// ErrPowerOff is returned by the disks of a Power that is off.
var ErrPowerOff = errors.New("power off")

// Power is the power supply of several disks in memory, which fails for all of them at
// one moment. It is safe for concurrent use.
type Power struct {
	mu  sync.Mutex // guards the disks too
	off bool
}

// NewDisk returns an empty disk.
func (p *Power) NewDisk() *PowerDisk {
	return &PowerDisk{power: p, names: map[string]*inode{}, durable: map[string]*inode{}}
}

// Fail ends the power of all disks. Operations on them fail from then on.
func (p *Power) Fail() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.off = true
}

// Failed reports whether the power has failed.
func (p *Power) Failed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.off
}

// inode is the content of a file.
type inode struct{ data, synced []byte }

// PowerDisk is a disk in memory that loses unsynced content when its power fails.
type PowerDisk struct {
	power          *Power
	names, durable map[string]*inode // by path, as the process sees them and after the last SyncDir
	locked         bool
}

// Survivor returns the disk after a failure of its power, on another power supply.
// Unsynced directory changes are all kept or all lost, and of the unsynced content of
// each file a random prefix is kept.
func (d *PowerDisk) Survivor(p *Power, rng *rand.Rand) *PowerDisk {
	d.power.mu.Lock()
	defer d.power.mu.Unlock()
	names := d.durable
	if rng.IntN(2) == 0 {
		names = d.names
	}
	out := p.NewDisk()
	for _, path := range slices.Sorted(maps.Keys(names)) {
		f := names[path]
		kept := len(f.synced)
		if len(f.data) > kept {
			kept += rng.IntN(len(f.data) - kept + 1)
		}
		data := slices.Clone(f.synced)
		if kept > len(f.synced) {
			data = slices.Clone(f.data[:kept])
		}
		out.names[path] = &inode{data: data, synced: slices.Clone(data)}
	}
	out.durable = maps.Clone(out.names)
	return out
}

// do runs an operation while the power is on.
func (d *PowerDisk) do(operation func() error) error {
	d.power.mu.Lock()
	defer d.power.mu.Unlock()
	if d.power.off {
		return ErrPowerOff
	}
	return operation()
}

// MkdirAll implements wal.FS.
func (d *PowerDisk) MkdirAll(string) error { return d.do(func() error { return nil }) }

// List implements wal.FS.
func (d *PowerDisk) List(folder string) (names []string, err error) {
	err = d.do(func() error {
		for path := range d.names {
			if filepath.Dir(path) == filepath.Clean(folder) {
				names = append(names, filepath.Base(path))
			}
		}
		slices.Sort(names)
		return nil
	})
	return names, err
}

// ReadFile implements wal.FS.
func (d *PowerDisk) ReadFile(path string) (data []byte, err error) {
	err = d.do(func() error {
		f := d.names[path]
		if f == nil {
			return fs.ErrNotExist
		}
		data = slices.Clone(f.data)
		return nil
	})
	return data, err
}

// Create implements wal.FS.
func (d *PowerDisk) Create(path string) (wal.File, error) {
	f := &inode{}
	err := d.do(func() error { d.names[path] = f; return nil })
	return &powerFile{d, f}, err
}

// OpenAppend implements wal.FS.
func (d *PowerDisk) OpenAppend(path string) (wal.File, error) {
	out := &powerFile{d: d}
	err := d.do(func() error {
		if out.f = d.names[path]; out.f == nil {
			return fs.ErrNotExist
		}
		return nil
	})
	return out, err
}

// Rename implements wal.FS.
func (d *PowerDisk) Rename(from, to string) error {
	return d.do(func() error {
		d.names[to] = d.names[from]
		delete(d.names, from)
		return nil
	})
}

// Remove implements wal.FS.
func (d *PowerDisk) Remove(path string) error {
	return d.do(func() error { delete(d.names, path); return nil })
}

// SyncDir implements wal.FS.
func (d *PowerDisk) SyncDir(string) error {
	return d.do(func() error { d.durable = maps.Clone(d.names); return nil })
}

// Lock implements wal.FS.
func (d *PowerDisk) Lock(string) (io.Closer, error) {
	err := d.do(func() error {
		if d.locked {
			return result.New(result.FolderLocked, "locked")
		}
		d.locked = true
		return nil
	})
	return &powerLock{d}, err
}

type powerLock struct{ d *PowerDisk }

// Close implements io.Closer.
func (l *powerLock) Close() error {
	return l.d.do(func() error { l.d.locked = false; return nil })
}

type powerFile struct {
	d *PowerDisk
	f *inode
}

// Write implements wal.File.
func (h *powerFile) Write(b []byte) (n int, err error) {
	err = h.d.do(func() error {
		h.f.data = append(h.f.data, b...)
		n = len(b)
		return nil
	})
	return n, err
}

// Sync implements wal.File.
func (h *powerFile) Sync() error {
	return h.d.do(func() error { h.f.synced = slices.Clone(h.f.data); return nil })
}

// Truncate implements wal.File.
func (h *powerFile) Truncate(size int64) error {
	return h.d.do(func() error {
		h.f.data = h.f.data[:size:size]
		h.f.synced = h.f.synced[:min(size, int64(len(h.f.synced)))]
		return nil
	})
}

// Close implements wal.File.
func (h *powerFile) Close() error { return nil }
