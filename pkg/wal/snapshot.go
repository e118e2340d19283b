package wal

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"path/filepath"
	"strings"

	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// Snapshot is a snapshot of the state machine. Meta and Data are opaque.
type Snapshot struct {
	Index uint64 // last included index, 0 if there is no snapshot
	Term  uint64 // last included term
	Meta  []byte
	Data  []byte
}

const (
	snapshotMagic       = 0x6a647753
	snapshotHeaderBytes = 4 + 8 + 8 + 4 + 8
)

func encodeSnapshot(identity uint64, s Snapshot) []byte {
	b := make([]byte, 0, snapshotHeaderBytes+len(s.Meta)+len(s.Data)+4)
	b = binary.LittleEndian.AppendUint32(b, snapshotMagic)
	b = binary.LittleEndian.AppendUint64(b, s.Index)
	b = binary.LittleEndian.AppendUint64(b, s.Term)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(s.Meta)))
	b = binary.LittleEndian.AppendUint64(b, uint64(len(s.Data)))
	b = append(append(b, s.Meta...), s.Data...)
	return binary.LittleEndian.AppendUint32(b, crc32.Update(checksumSeed(identity, 0), castagnoli, b))
}

// decodeSnapshot returns false if b is incomplete or its checksum is wrong.
func decodeSnapshot(identity uint64, b []byte) (Snapshot, bool) {
	body := len(b) - 4
	if body < snapshotHeaderBytes || binary.LittleEndian.Uint32(b) != snapshotMagic {
		return Snapshot{}, false
	}
	if crc32.Update(checksumSeed(identity, 0), castagnoli, b[:body]) != binary.LittleEndian.Uint32(b[body:]) {
		return Snapshot{}, false
	}
	metaBytes := int(binary.LittleEndian.Uint32(b[20:]))
	rest := b[snapshotHeaderBytes:body]
	if metaBytes > len(rest) {
		return Snapshot{}, false
	}
	return Snapshot{
		Index: binary.LittleEndian.Uint64(b[4:]),
		Term:  binary.LittleEndian.Uint64(b[12:]),
		Meta:  rest[:metaBytes:metaBytes],
		Data:  rest[metaBytes:],
	}, true
}

// SaveSnapshot writes the snapshot atomically. After DiskFull the log is
// unchanged and goes on, but Open may find the snapshot. If the snapshot of
// another host replaces the log, the caller must then append a KindReset record
// and call Sync; Open does so if a crash came first.
func (l *Log) SaveSnapshot(s Snapshot) error {
	if l.failure != nil {
		return l.failure
	}
	return l.writeFileAtomically(fmt.Sprintf(snapshotFilePattern, s.Index), encodeSnapshot(l.identity, s))
}

// writeFileAtomically writes and syncs a temporary file, renames it to name and
// syncs the folder.
func (l *Log) writeFileAtomically(name string, content []byte) error {
	temporary := filepath.Join(l.folder, temporaryFileName)
	f, err := l.fs.Create(temporary)
	if err != nil {
		return l.diskFullOrFail(err, "temporary file cannot be created")
	}
	if err := writeAndClose(f, content); err != nil {
		return l.removeTemporary(err, name+" cannot be written")
	}
	if err := l.fs.Rename(temporary, filepath.Join(l.folder, name)); err != nil {
		return l.removeTemporary(err, name+" cannot be renamed")
	}
	if err := l.fs.SyncDir(l.folder); err != nil {
		return l.diskFullOrFail(err, "data folder cannot be synced")
	}
	return nil
}

func writeAndClose(f File, content []byte) error {
	if _, err := f.Write(content); err != nil {
		f.Close()
		return err
	}
	if err := f.Sync(); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}

// removeTemporary frees the space of the temporary file, which no other file depends on,
// and returns DiskFull if the disk is full. Any other cause is permanent.
func (l *Log) removeTemporary(cause error, message string) error {
	if isDiskFull(cause) {
		_ = l.fs.Remove(filepath.Join(l.folder, temporaryFileName)) // the next one replaces what is left
	}
	return l.diskFullOrFail(cause, message)
}

// Compact removes the snapshots before index and the segments that hold no entry
// after it. A snapshot at index must have been saved. Only a prefix of the
// segments is removed, because a later segment may replace entries of an earlier
// one. A removal that a power failure undoes is repeated by a later Compact. A
// new segment is started first, so that the next Open does not read entries that
// the snapshot covers; on a full disk the active segment stays in use, and what cannot
// be removed stays until a later Compact.
func (l *Log) Compact(index uint64) error {
	if l.failure != nil {
		return l.failure
	}
	if l.activeBytes >= minRotateBytes {
		err := l.finishUndo()
		if err == nil {
			err = l.rotate()
		}
		if err != nil && l.failure != nil {
			return err
		}
	}
	if err := l.removeBefore(index); err != nil && !isDiskFull(err) {
		return l.failPermanently(err, "segments and snapshots before %d cannot be removed", index)
	}
	return nil
}

// removeBefore removes the segments and snapshots that the snapshot at index replaces.
func (l *Log) removeBefore(index uint64) error {
	for len(l.segments) > 1 && l.segments[0].maxIndex <= index {
		name := fmt.Sprintf(segmentFilePattern, l.segments[0].number)
		if err := l.fs.Remove(filepath.Join(l.folder, name)); err != nil {
			return err
		}
		l.segments = l.segments[1:]
		if err := l.fs.SyncDir(l.folder); err != nil {
			return err
		}
	}
	names, err := l.fs.List(l.folder)
	if err != nil {
		return err
	}
	keep := fmt.Sprintf(snapshotFilePattern, index)
	for _, name := range names {
		if strings.HasSuffix(name, ".snap") && name < keep {
			if err := l.fs.Remove(filepath.Join(l.folder, name)); err != nil {
				return err
			}
		}
	}
	return nil
}

// ReadSnapshot returns the snapshot saved at index.
func (l *Log) ReadSnapshot(index uint64) (Snapshot, error) {
	return l.readSnapshotFile(fmt.Sprintf(snapshotFilePattern, index))
}

// latestSnapshot returns the snapshot with the greatest index, or one with Index 0
// if there is none.
func (l *Log) latestSnapshot() (Snapshot, error) {
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
	if !ok || fmt.Sprintf(snapshotFilePattern, s.Index) != name {
		return Snapshot{}, result.New(result.LogDamaged, "snapshot %s is damaged", name)
	}
	return s, nil
}
