package wal

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"path/filepath"
	"strings"

	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// Snapshot holds the state after the entry Index. Meta and Data are opaque.
type Snapshot struct {
	Index uint64 // 0 means no snapshot
	Term  uint64
	Meta  []byte
	Data  []byte
}

const (
	snapMagic       = 0x6a647753
	snapHeaderBytes = 4 + 8 + 8 + 4 + 8
)

func encodeSnapshot(identity uint64, s Snapshot) []byte {
	b := make([]byte, 0, snapHeaderBytes+len(s.Meta)+len(s.Data)+4)
	b = binary.LittleEndian.AppendUint32(b, snapMagic)
	b = binary.LittleEndian.AppendUint64(b, s.Index)
	b = binary.LittleEndian.AppendUint64(b, s.Term)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(s.Meta)))
	b = binary.LittleEndian.AppendUint64(b, uint64(len(s.Data)))
	b = append(append(b, s.Meta...), s.Data...)
	return binary.LittleEndian.AppendUint32(b, crc32.Update(seedOf(identity, 0), castagnoli, b))
}

func decodeSnapshot(identity uint64, b []byte) (Snapshot, bool) {
	body := len(b) - 4
	if body < snapHeaderBytes || binary.LittleEndian.Uint32(b) != snapMagic {
		return Snapshot{}, false
	}
	if crc32.Update(seedOf(identity, 0), castagnoli, b[:body]) != binary.LittleEndian.Uint32(b[body:]) {
		return Snapshot{}, false
	}
	meta := int(binary.LittleEndian.Uint32(b[20:]))
	rest := b[snapHeaderBytes:body]
	if meta > len(rest) {
		return Snapshot{}, false
	}
	return Snapshot{
		Index: binary.LittleEndian.Uint64(b[4:]),
		Term:  binary.LittleEndian.Uint64(b[12:]),
		Meta:  rest[:meta:meta],
		Data:  rest[meta:],
	}, true
}

// SaveSnapshot writes the snapshot atomically. DiskFull leaves everything as
// it was. For a snapshot of another host that replaces the log, the caller
// appends a KindReset record and calls Sync next; Open repeats that step if
// a crash comes first.
func (l *Log) SaveSnapshot(s Snapshot) error {
	if l.failed != nil {
		return l.failed
	}
	return l.writeFile(fmt.Sprintf(snapPattern, s.Index), encodeSnapshot(l.identity, s))
}

// writeFile replaces a file atomically: temporary file, sync, rename, sync of
// the folder.
func (l *Log) writeFile(name string, content []byte) error {
	temporary := filepath.Join(l.folder, temporaryName)
	f, err := l.fs.Create(temporary)
	if err != nil {
		return l.refuseOrFail(err, "temporary file cannot be created")
	}
	if _, err := f.Write(content); err != nil {
		f.Close()
		if rmErr := l.fs.Remove(temporary); rmErr != nil {
			return l.fail(rmErr, "temporary file cannot be removed")
		}
		return l.refuseOrFail(err, name+" cannot be written")
	}
	if err := f.Sync(); err != nil {
		f.Close()
		return l.fail(err, "sync of %s failed", name)
	}
	if err := f.Close(); err != nil {
		return l.fail(err, "%s cannot be closed", name)
	}
	if err := l.fs.Rename(temporary, filepath.Join(l.folder, name)); err != nil {
		return l.refuseOrFail(err, name+" cannot be renamed")
	}
	if err := l.fs.SyncDir(l.folder); err != nil {
		return l.fail(err, "sync of the folder failed")
	}
	return nil
}

// Compact removes the snapshots before index and the segments that hold
// nothing after it. A snapshot at index must be saved. Only a prefix of the
// segments is removed, because a later segment may replace entries of an
// earlier one. A removal that a power failure undoes is repeated later. A new
// segment begins first, so that the next Open does not read what the snapshot
// covers; on a full disk the present segment stays in use.
func (l *Log) Compact(index uint64) error {
	if l.failed != nil {
		return l.failed
	}
	if l.size >= minRotateBytes {
		if err := l.rotate(); err != nil && l.failed != nil {
			return err
		}
	}
	for len(l.segments) > 1 && l.segments[0].maxIndex <= index {
		name := fmt.Sprintf(segmentPattern, l.segments[0].number)
		if err := l.fs.Remove(filepath.Join(l.folder, name)); err != nil {
			return l.fail(err, "segment cannot be removed")
		}
		if err := l.fs.SyncDir(l.folder); err != nil {
			return l.fail(err, "sync of the folder failed")
		}
		l.segments = l.segments[1:]
	}
	names, err := l.fs.List(l.folder)
	if err != nil {
		return l.fail(err, "folder cannot be listed")
	}
	keep := fmt.Sprintf(snapPattern, index)
	for _, name := range names {
		if strings.HasSuffix(name, ".snap") && name < keep {
			if err := l.fs.Remove(filepath.Join(l.folder, name)); err != nil {
				return l.fail(err, "snapshot cannot be removed")
			}
		}
	}
	return nil
}

// ReadSnapshot returns the snapshot saved at index.
func (l *Log) ReadSnapshot(index uint64) (Snapshot, error) {
	return l.readSnapshotFile(fmt.Sprintf(snapPattern, index))
}

// newestSnapshot returns Index 0 if there is none.
func (l *Log) newestSnapshot() (Snapshot, error) {
	names, err := l.fs.List(l.folder)
	if err != nil {
		return Snapshot{}, err
	}
	for i := len(names) - 1; i >= 0; i-- {
		if strings.HasSuffix(names[i], ".snap") {
			return l.readSnapshotFile(names[i])
		}
	}
	return Snapshot{}, nil
}

func (l *Log) readSnapshotFile(name string) (Snapshot, error) {
	b, err := l.fs.ReadFile(filepath.Join(l.folder, name))
	if err != nil {
		return Snapshot{}, err
	}
	s, ok := decodeSnapshot(l.identity, b)
	if !ok || fmt.Sprintf(snapPattern, s.Index) != name {
		return Snapshot{}, result.New(result.LogDamaged, "snapshot %s is damaged", name)
	}
	return s, nil
}
