package wal

import (
	"encoding/binary"
	"fmt"
	"io"
	"path/filepath"

	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// DefaultSegmentBytes is the size after which a new segment file begins.
const DefaultSegmentBytes = 4 << 20

// minRotateBytes keeps Compact from making segments that are nearly empty.
const minRotateBytes = 256

const (
	lockName       = "lock"
	identityName   = "identity"
	temporaryName  = "temporary"
	segmentPattern = "%016x.log"
	snapPattern    = "%016x.snap"
)

// Options of Open. The zero value is usable.
type Options struct {
	FS           FS            // OS if nil
	SegmentBytes int64         // DefaultSegmentBytes if 0
	NewIdentity  func() uint64 // random if nil; never 0
}

// Log is the open log of one folder. It is used by one goroutine.
type Log struct {
	fs       FS
	folder   string
	limit    int64
	lock     io.Closer
	identity uint64

	file     File
	number   uint64 // of the active segment
	size     int64  // of the active segment, synced frames only
	written  int64  // in all segments since Open
	sequence uint64 // of the last frame
	state    []byte // last synced hard state
	segments []segment
	pending  []Record
	failed   error // sticky: the content on disk is unknown
}

type segment struct {
	number   uint64
	maxIndex uint64 // greatest index in it, 0 if none
	bytes    int64
}

// Identity returns the random identity of the folder.
func (l *Log) Identity() uint64 { return l.identity }

// Written returns the bytes found at Open plus the bytes written since. The
// difference between two calls is the growth of the log.
func (l *Log) Written() int64 { return l.written }

// Segments returns the number of segment files.
func (l *Log) Segments() int { return len(l.segments) }

// Append adds records to the next frame. They are durable after Sync.
func (l *Log) Append(records ...Record) { l.pending = append(l.pending, records...) }

// Sync writes the appended records as one frame and syncs it. DiskFull means
// that none of them is in the log and that it remains usable. SyncFailed is
// final: the process must stop, because the content on disk is unknown.
func (l *Log) Sync() error {
	if l.failed != nil {
		return l.failed
	}
	records := l.pending
	l.pending = nil
	if len(records) == 0 {
		return nil
	}
	if l.size >= l.limit {
		if err := l.rotate(); err != nil {
			return err
		}
	}
	if err := l.write(records); err != nil {
		return err
	}
	l.note(records)
	return nil
}

func (l *Log) write(records []Record) error {
	frame := encodeFrame(seedOf(l.identity, l.number), l.sequence+1, records)
	if len(frame) > maxFrameBytes {
		return result.New(result.TooLarge, "frame has %d bytes", len(frame))
	}
	if _, err := l.file.Write(frame); err != nil {
		return l.undoWrite(err)
	}
	if err := l.file.Sync(); err != nil {
		return l.fail(err, "sync of segment %d failed", l.number)
	}
	l.sequence++
	l.size += int64(len(frame))
	l.written += int64(len(frame))
	l.segments[len(l.segments)-1].bytes = l.size
	return nil
}

// undoWrite removes a partly written frame after a full disk.
func (l *Log) undoWrite(cause error) error {
	if !isDiskFull(cause) {
		return l.fail(cause, "write to segment %d failed", l.number)
	}
	if err := l.file.Truncate(l.size); err != nil {
		return l.fail(err, "truncation of segment %d failed", l.number)
	}
	return result.Wrap(result.DiskFull, cause, "change is not in the log")
}

func (l *Log) fail(cause error, format string, args ...any) error {
	l.failed = result.Wrap(result.SyncFailed, cause, format, args...)
	return l.failed
}

func (l *Log) note(records []Record) {
	s := &l.segments[len(l.segments)-1]
	for _, r := range records {
		switch r.Kind {
		case KindEntry, KindReset:
			s.maxIndex = max(s.maxIndex, r.Index)
		case KindState:
			l.state = r.Data
		}
	}
}

// rotate starts a new segment. Its first frame repeats the hard state, so
// that older segments can be removed.
func (l *Log) rotate() error {
	old := l.file
	if err := l.create(l.number + 1); err != nil {
		return err
	}
	old.Close()
	return nil
}

func (l *Log) create(number uint64) error {
	path := filepath.Join(l.folder, fmt.Sprintf(segmentPattern, number))
	f, err := l.fs.Create(path)
	if err != nil {
		return l.refuseOrFail(err, "segment cannot be created")
	}
	frame := encodeFrame(seedOf(l.identity, number), l.sequence+1, l.header())
	if _, err := f.Write(frame); err != nil {
		f.Close()
		if rmErr := l.fs.Remove(path); rmErr != nil {
			return l.fail(rmErr, "segment cannot be removed")
		}
		return l.refuseOrFail(err, "segment cannot be written")
	}
	if err := f.Sync(); err != nil {
		return l.fail(err, "sync of a new segment failed")
	}
	if err := l.fs.SyncDir(l.folder); err != nil {
		return l.fail(err, "sync of the folder failed")
	}
	l.file, l.number = f, number
	l.sequence++
	l.size = int64(len(frame))
	l.segments = append(l.segments, segment{number: number, bytes: l.size})
	return nil
}

func (l *Log) header() []Record {
	id := binary.LittleEndian.AppendUint64(nil, l.identity)
	records := []Record{{Kind: kindSegment, Data: id}}
	if l.state != nil {
		records = append(records, Record{Kind: KindState, Data: l.state})
	}
	return records
}

func (l *Log) refuseOrFail(err error, message string) error {
	if isDiskFull(err) {
		return result.Wrap(result.DiskFull, err, "%s", message)
	}
	return l.fail(err, "%s", message)
}

// Close releases the folder. Appended records that were not synced are lost.
func (l *Log) Close() error {
	var first error
	if l.file != nil {
		first = l.file.Close()
	}
	if err := l.lock.Close(); err != nil && first == nil {
		first = err
	}
	if l.failed == nil {
		l.failed = result.New(result.SyncFailed, "the log is closed")
	}
	return first
}
