package wal

import (
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// fullDisk is a memDisk on which operations of some kinds fail with ENOSPC from one
// occurrence on, for a number of them.
type fullDisk struct {
	*memDisk
	kinds map[string]bool
	skip  int // occurrences before the first failure
	fails int // failures left
	// stores makes a sync that fails store the content, and a truncation durable only
	// with the next sync.
	stores bool
}

// check returns ENOSPC if an operation of this kind fails.
func (d *fullDisk) check(kind string) error {
	if !d.kinds[kind] || d.fails == 0 {
		return nil
	}
	if d.skip > 0 {
		d.skip--
		return nil
	}
	d.fails--
	return syscall.ENOSPC
}

func (d *fullDisk) Create(path string) (File, error) {
	if err := d.check("create"); err != nil {
		return nil, err
	}
	f, err := d.memDisk.Create(path)
	return &fullFile{f, d}, err
}

func (d *fullDisk) OpenAppend(path string) (File, error) {
	f, err := d.memDisk.OpenAppend(path)
	return &fullFile{f, d}, err
}

func (d *fullDisk) Rename(from, to string) error {
	if err := d.check("rename"); err != nil {
		return err
	}
	return d.memDisk.Rename(from, to)
}

func (d *fullDisk) Remove(path string) error {
	if err := d.check("remove"); err != nil {
		return err
	}
	return d.memDisk.Remove(path)
}

func (d *fullDisk) SyncDir(folder string) error {
	if err := d.check("sync folder"); err != nil {
		return err
	}
	return d.memDisk.SyncDir(folder)
}

func (d *fullDisk) Lock(path string) (io.Closer, error) { return d.memDisk.Lock(path) }

type fullFile struct {
	File
	d *fullDisk
}

func (f *fullFile) Write(b []byte) (int, error) {
	if err := f.d.check("write"); err != nil {
		n, _ := f.File.Write(b[:len(b)/2])
		return n, err
	}
	return f.File.Write(b)
}

func (f *fullFile) Sync() error {
	if err := f.d.check("sync"); err != nil {
		if f.d.stores {
			_ = f.File.Sync()
		}
		return err
	}
	return f.File.Sync()
}

func (f *fullFile) Truncate(size int64) error {
	if err := f.d.check("truncate"); err != nil {
		return err
	}
	inode := f.File.(*fileHandle).f
	synced := inode.synced
	err := f.File.Truncate(size)
	if f.d.stores {
		inode.synced = synced
	}
	return err
}

func (f *fullFile) Close() error {
	_ = f.File.Close()
	return f.d.check("close")
}

// appendBesideSnapshots appends entries with one sync each, in several segments, and
// saves and compacts snapshots. Entries that are refused are appended again with another
// text, as an entry of another leader may be. It stores the texts by index and returns the
// index of the last snapshot.
func appendBesideSnapshots(t *testing.T, l *Log, first, last uint64, texts map[uint64]string) (saved uint64) {
	t.Helper()
	for i := first; i <= last; i++ {
		for attempt := 0; ; attempt++ {
			assert.Assert(t, attempt < 100, "entry %d was refused %d times", i, attempt)
			text := fmt.Sprint("entry ", i, " attempt ", attempt)
			l.Append(entryRecord(i, 1, text), Record{Kind: KindHardState, Data: []byte(text)})
			err := l.Sync()
			if err == nil {
				texts[i] = text
				break
			}
			assertCode(t, err, result.DiskFull)
		}
		if i%8 != 0 {
			continue
		}
		err := l.SaveSnapshot(Snapshot{Index: i, Term: 1, Data: fmt.Append(nil, "snapshot ", i)})
		if err != nil {
			assertCode(t, err, result.DiskFull)
			continue
		}
		saved = i
		assert.NilError(t, l.Compact(i))
	}
	return saved
}

// Guards against a log that fails for good, loses an accepted entry or keeps a refused one
// if any operation finds the disk full, for any time, also with a power failure after it.
func TestLogGoesOnAfterFullDiskAtAnyOperation(t *testing.T) {
	const last, more = 25, 44
	kinds := [][]string{
		{"create"}, {"write"}, {"sync"}, {"truncate", "write"}, {"close"}, {"rename"}, {"remove"}, {"sync folder"},
		{"remove", "write"}, {"remove", "sync"}, {"sync", "sync folder"},
		{"create", "write", "sync", "truncate", "close", "rename", "remove", "sync folder"},
	}
	runs := uint64(1)
	if os.Getenv("JACKDAWTRACK_SOAK_SEEDS") != "" {
		runs = 8
	}
	for _, failing := range kinds {
		t.Run(fmt.Sprint(failing), func(t *testing.T) {
			for skip := range 90 {
				for _, fails := range []int{1, 2, 25} {
					for seed := range runs {
						d := &fullDisk{memDisk: newMemDisk(), kinds: map[string]bool{}, skip: skip, stores: (skip/2+fails)%2 == 0}
						l, _, err := Open(folder, Options{FS: d, SegmentBytes: segmentBytes, NewIdentity: func() uint64 { return 77 }})
						assert.NilError(t, err)
						for _, k := range failing {
							d.kinds[k] = true
						}
						d.fails = fails
						texts := map[uint64]string{}
						saved := appendBesideSnapshots(t, l, 1, last, texts)
						d.fails = 0
						end := uint64(last)
						if (uint64(skip+fails)+seed)%2 == 0 {
							end = more
							saved = max(saved, appendBesideSnapshots(t, l, last+1, more, texts))
						}
						d.powerFailure(rand.New(rand.NewPCG(uint64(skip), seed)))
						_, r := mustOpen(t, d.memDisk)
						// A refused snapshot may be found, and replaces the entries before it.
						assert.Assert(t, r.Snapshot.Index >= saved, "snapshot %d, saved %d", r.Snapshot.Index, saved)
						assert.Equal(t, string(r.State), texts[end])
						for i, e := range r.Entries {
							assert.Equal(t, e.Index, r.Snapshot.Index+1+uint64(i))
							assert.Equal(t, string(e.Data), texts[e.Index])
						}
						assert.Equal(t, r.Snapshot.Index+uint64(len(r.Entries)), end)
					}
				}
			}
		})
	}
}

// Guards against a refused entry that returns after a power failure: what a full disk left
// of it must be removed before another one is accepted, and if it may still be there, the
// error says so.
func TestEntryRefusedByAFullDiskDoesNotReturn(t *testing.T) {
	for _, failing := range [][]string{{"write"}, {"sync"}, {"sync", "truncate"}, {"write", "truncate"}} {
		for fails := 1; fails < 4; fails++ {
			for seed := range uint64(20) {
				d := &fullDisk{memDisk: newMemDisk(), kinds: map[string]bool{}, fails: fails, stores: seed%2 == 0}
				l, _, err := Open(folder, Options{FS: d, NewIdentity: func() uint64 { return 77 }})
				assert.NilError(t, err)
				appendEntries(t, l, 1, 3)
				for _, k := range failing {
					d.kinds[k] = true
				}
				l.Append(entryRecord(4, 1, "refused"))
				err = l.Sync()
				assertCode(t, err, result.DiskFull)
				d.powerFailure(rand.New(rand.NewPCG(1, seed)))
				_, r := mustOpen(t, d.memDisk)
				assert.Assert(t, len(r.Entries) == 3 || MayBeWritten(err), "%v, %d failures: the refused entry is in the log", failing, fails)
			}
		}
	}
}

// Guards against a folder that cannot be opened because a segment that a full disk left
// unfinished has the sequence number of a later frame of the segment before.
func TestUnfinishedSegmentIsRemoved(t *testing.T) {
	for _, failing := range []string{"create", "write", "sync", "sync folder"} {
		for seed := range uint64(10) {
			d := &fullDisk{memDisk: newMemDisk(), kinds: map[string]bool{failing: true}, stores: true}
			l, _, err := Open(folder, Options{FS: d, NewIdentity: func() uint64 { return 77 }})
			assert.NilError(t, err)
			appendEntries(t, l, 1, 10)
			assert.Assert(t, l.activeBytes >= minRotateBytes)
			assert.NilError(t, l.SaveSnapshot(Snapshot{Index: 9, Term: 1}))
			d.fails = 1
			assert.NilError(t, l.Compact(9))
			assert.Equal(t, d.fails, 0)
			appendEntries(t, l, 11, 11)
			d.powerFailure(rand.New(rand.NewPCG(firstSeed, seed)))
			_, r := mustOpen(t, d.memDisk)
			assert.Equal(t, len(r.Entries), 2)
		}
	}
}

// Guards against entries that are lost or found twice after the snapshot of another host
// was written but the disk was full for the record that ends the entries before it.
func TestSnapshotWithoutItsResetRecord(t *testing.T) {
	for _, more := range []uint64{0, 3, 20} { // entries after the refusal
		for seed := range uint64(10) {
			d := &fullDisk{memDisk: newMemDisk(), kinds: map[string]bool{"write": true}}
			l, _, err := Open(folder, Options{FS: d, SegmentBytes: segmentBytes, NewIdentity: func() uint64 { return 77 }})
			assert.NilError(t, err)
			appendEntries(t, l, 1, 5)
			assert.NilError(t, l.SaveSnapshot(Snapshot{Index: 10, Term: 1}))
			d.fails = 1
			l.Append(Record{Kind: KindReset, Index: 10, Term: 1})
			assertCode(t, l.Sync(), result.DiskFull)
			appendEntries(t, l, 6, 5+more)
			d.powerFailure(rand.New(rand.NewPCG(firstSeed, seed)))
			_, r := mustOpen(t, d.memDisk)
			assert.Equal(t, r.Snapshot.Index, uint64(10))
			assert.Equal(t, 10+uint64(len(r.Entries)), max(10, 5+more))
		}
	}
}

// Guards against a folder that cannot be opened after its disk was full during Open.
func TestOpenAfterFullDisk(t *testing.T) {
	all := map[string]bool{"create": true, "write": true, "sync": true, "truncate": true, "close": true, "rename": true, "remove": true, "sync folder": true}
	for skip := range 12 {
		for _, fails := range []int{1, 3, 100} {
			d := &fullDisk{memDisk: newMemDisk(), kinds: all, skip: skip, fails: fails}
			open := func() (*Log, error) {
				l, _, err := Open(folder, Options{FS: d, SegmentBytes: segmentBytes, NewIdentity: func() uint64 { return 77 }})
				return l, err
			}
			l, err := open()
			if err != nil {
				assertCode(t, err, result.DiskFull)
				d.fails = 0
				l, err = open()
			}
			assert.NilError(t, err)
			d.fails = 0
			appendEntries(t, l, 1, 12)
			// A torn write and a snapshot of another host make Open write.
			path := d.lastPathWithSuffix(".log")
			d.names[path].data = append(d.names[path].data, 1, 2, 3)
			assert.NilError(t, l.SaveSnapshot(Snapshot{Index: 20, Term: 2}))
			assert.NilError(t, l.Close())
			d.skip, d.fails = skip%4, fails
			if l, err = open(); err != nil {
				assertCode(t, err, result.DiskFull)
				d.fails = 0
				l, err = open()
			}
			assert.NilError(t, err)
			d.fails = 0
			l.Append(entryRecord(21, 2, "x"))
			assert.NilError(t, l.Sync())
		}
	}
}
