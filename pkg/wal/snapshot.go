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

// SaveSnapshot writes the snapshot atomically and removes older snapshots and
// the segments that hold only entries up to it. With reset, all entries are
// dropped: the snapshot came from another host and replaces the log. DiskFull
// leaves the earlier snapshot and all entries in place.
func (l *Log) SaveSnapshot(s Snapshot, reset bool) error {
	if l.failed != nil {
		return l.failed
	}
	name := fmt.Sprintf(snapPattern, s.Index)
	if err := l.writeFile(name, encodeSnapshot(l.identity, s)); err != nil {
		return err
	}
	if reset {
		l.Append(Record{Kind: KindReset, Index: s.Index, Term: s.Term})
		if err := l.Sync(); err != nil {
			return err
		}
	}
	return l.compact(s.Index, name)
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

// compact removes only a prefix of the segments, because a later segment may
// replace entries of an earlier one. A removal that is lost by a power
// failure is repeated by the next compact.
func (l *Log) compact(index uint64, keep string) error {
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
	for _, name := range names {
		if strings.HasSuffix(name, ".snap") && name < keep {
			if err := l.fs.Remove(filepath.Join(l.folder, name)); err != nil {
				return l.fail(err, "snapshot cannot be removed")
			}
		}
	}
	return nil
}

// ReadSnapshot returns the newest snapshot on disk, Index 0 if there is none.
func (l *Log) ReadSnapshot() (Snapshot, error) {
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
