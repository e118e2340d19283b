package wal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"path/filepath"

	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// DefaultSegmentBytes is the default size at which a new segment file is
// started.
const DefaultSegmentBytes = 4 << 20

// minRotateBytes is the minimum size at which Compact starts a new segment, so
// that it leaves no nearly empty ones.
const minRotateBytes = 256

const (
	lockFileName        = "lock"
	identityFileName    = "identity"
	temporaryFileName   = "temporary"
	segmentFilePattern  = "%016x.log"
	snapshotFilePattern = "%016x.snap"
)

// Options configures Open. The zero value selects the defaults.
type Options struct {
	FS           FS            // OS if nil
	SegmentBytes int64         // DefaultSegmentBytes if 0
	NewIdentity  func() uint64 // must not return 0; random if nil
}

// Log is the open log of one folder. It is not safe for concurrent use.
type Log struct {
	fs              FS
	folder          string
	maxSegmentBytes int64
	lock            io.Closer
	identity        uint64

	activeFile      File
	number          uint64 // number of the active segment
	activeBytes     int64  // size of the synced frames in the active segment
	writtenBytes    int64  // size of the segments found at Open plus the frames that Sync wrote since
	sequence        uint64 // sequence number of the last synced frame
	hardState       []byte // last synced hard state
	segments        []segment
	unsyncedRecords []Record
	failure         error // set for good once the content on disk is unknown
	// undo removes what a write to a full disk has left, nil if nothing is left. No frame
	// is written before it has succeeded, because replay accepts an unfinished frame only
	// at the end of the last segment.
	undo func() error
}

// segment describes one segment file.
type segment struct {
	number   uint64
	maxIndex uint64 // greatest entry or reset index, 0 if none
	bytes    int64  // size of the valid frames
}

// Identity returns the random identity of the folder.
func (l *Log) Identity() uint64 { return l.identity }

// WrittenBytes returns the size of the segments found at Open plus the size of the
// frames that Sync has written since. The difference between two calls is the
// growth of the log.
func (l *Log) WrittenBytes() int64 { return l.writtenBytes }

// SegmentCount returns the number of segment files.
func (l *Log) SegmentCount() int { return len(l.segments) }

// Append buffers records for the next frame. They are durable after Sync.
func (l *Log) Append(records ...Record) { l.unsyncedRecords = append(l.unsyncedRecords, records...) }

// errMayBeWritten marks the DiskFull of a frame whose sync failed and that could not be
// removed yet.
var errMayBeWritten = errors.New("the records may be in the log after a power failure")

// MayBeWritten reports whether the records of a Sync that returned DiskFull may be found
// by Open if no later Sync succeeds.
func MayBeWritten(err error) bool { return errors.Is(err, errMayBeWritten) }

// Sync writes the appended records as one frame and syncs it. After DiskFull the log
// remains usable and none of the records is in it, unless MayBeWritten reports that
// Open may find them. After TooLarge none is in the log. SyncFailed is permanent: the
// process must stop, because the content on disk is unknown.
func (l *Log) Sync() error {
	if l.failure != nil {
		return l.failure
	}
	records := l.unsyncedRecords
	l.unsyncedRecords = nil
	if len(records) == 0 {
		return nil
	}
	if err := l.finishUndo(); err != nil {
		return err
	}
	if l.activeBytes >= l.maxSegmentBytes {
		if err := l.rotate(); err != nil {
			return err
		}
	}
	if err := l.writeFrame(records); err != nil {
		return err
	}
	l.updateAfterSync(records)
	return nil
}

func (l *Log) writeFrame(records []Record) error {
	frame := encodeFrame(checksumSeed(l.identity, l.number), l.sequence+1, records)
	if len(frame) > maxFrameBytes {
		return result.New(result.TooLarge, "frame size %d bytes is over the limit", len(frame))
	}
	if _, err := l.activeFile.Write(frame); err != nil {
		return l.undoWrite(err, l.truncateDurably, "segment %d cannot be written", l.number)
	}
	if err := l.activeFile.Sync(); err != nil {
		return l.undoSync(err)
	}
	l.sequence++
	l.activeBytes += int64(len(frame))
	l.writtenBytes += int64(len(frame))
	l.segments[len(l.segments)-1].bytes = l.activeBytes
	return nil
}

// undoWrite removes what a write to a full disk has left with undo, at once or before the
// next frame, and returns DiskFull. Any other cause is permanent.
func (l *Log) undoWrite(cause error, undo func() error, format string, args ...any) error {
	if !isDiskFull(cause) {
		return l.failPermanently(cause, format, args...)
	}
	l.undo = undo
	if err := l.finishUndo(); err != nil && l.failure != nil {
		return err
	}
	return result.Wrap(result.DiskFull, cause, format, args...)
}

// undoSync removes a complete frame whose sync found the disk full. The earlier frames are
// durable. The removal must be durable too, otherwise Open may find the frame.
func (l *Log) undoSync(cause error) error {
	err := l.undoWrite(cause, l.truncateDurably, "segment %d cannot be synced", l.number)
	if l.undo != nil && l.failure == nil {
		return result.Wrap(result.DiskFull, errors.Join(cause, errMayBeWritten), "segment %d cannot be synced", l.number)
	}
	return err
}

// finishUndo removes what a write to a full disk has left. It returns DiskFull if the
// disk is still full.
func (l *Log) finishUndo() error {
	if l.undo == nil {
		return nil
	}
	if err := l.undo(); err != nil {
		return l.diskFullOrFail(err, "unfinished write cannot be removed")
	}
	l.undo = nil
	return nil
}

// truncateDurably removes what follows the synced frames of the active segment. A part of
// a frame that a power failure brings back damages a segment that is not the last one.
func (l *Log) truncateDurably() error {
	if err := l.activeFile.Truncate(l.activeBytes); err != nil {
		return err
	}
	return l.activeFile.Sync()
}

// failPermanently makes this and every later operation return SyncFailed.
func (l *Log) failPermanently(cause error, format string, args ...any) error {
	l.failure = result.Wrap(result.SyncFailed, cause, format, args...)
	return l.failure
}

// updateAfterSync updates the active segment and the hard state with synced
// records.
func (l *Log) updateAfterSync(records []Record) {
	s := &l.segments[len(l.segments)-1]
	for _, r := range records {
		switch r.Kind {
		case KindEntry, KindReset:
			s.maxIndex = max(s.maxIndex, r.Index)
		case KindHardState:
			l.hardState = r.Data
		}
	}
}

// rotate starts a new segment. Its first frame repeats the hard state, so that
// older segments can be removed.
func (l *Log) rotate() error {
	old := l.activeFile
	if err := l.createSegment(l.number + 1); err != nil {
		return err
	}
	old.Close()
	return nil
}

// createSegment creates a segment file with its header frame and makes it the
// active segment.
func (l *Log) createSegment(number uint64) error {
	path := filepath.Join(l.folder, fmt.Sprintf(segmentFilePattern, number))
	f, err := l.fs.Create(path)
	if err != nil {
		return l.diskFullOrFail(err, "segment cannot be created")
	}
	frame := encodeFrame(checksumSeed(l.identity, number), l.sequence+1, l.header())
	if err := l.writeSegmentHeader(f, frame); err != nil {
		f.Close()
		// The removal must be durable: the frames that follow in the segment before have
		// the sequence numbers of this one.
		return l.undoWrite(err, func() error {
			if err := l.fs.Remove(path); err != nil && !errors.Is(err, fs.ErrNotExist) {
				return err
			}
			return l.fs.SyncDir(l.folder)
		}, "segment %d cannot be created", number)
	}
	l.activeFile, l.number = f, number
	l.sequence++
	l.activeBytes = int64(len(frame))
	l.segments = append(l.segments, segment{number: number, bytes: l.activeBytes})
	return nil
}

// writeSegmentHeader writes the first frame of a segment file and makes both durable.
func (l *Log) writeSegmentHeader(f File, frame []byte) error {
	if _, err := f.Write(frame); err != nil {
		return err
	}
	if err := f.Sync(); err != nil {
		return err
	}
	return l.fs.SyncDir(l.folder)
}

// header returns the records of the first frame of a segment.
func (l *Log) header() []Record {
	id := binary.LittleEndian.AppendUint64(nil, l.identity)
	records := []Record{{Kind: kindSegmentHeader, Data: id}}
	if l.hardState != nil {
		records = append(records, Record{Kind: KindHardState, Data: l.hardState})
	}
	return records
}

// diskFullOrFail returns DiskFull for a full disk and fails permanently
// otherwise.
func (l *Log) diskFullOrFail(err error, message string) error {
	if isDiskFull(err) {
		return result.Wrap(result.DiskFull, err, "%s", message)
	}
	return l.failPermanently(err, "%s", message)
}

// Close closes the log and unlocks the folder. Records that were not synced are
// lost.
func (l *Log) Close() error {
	var first error
	if l.activeFile != nil {
		first = l.activeFile.Close()
	}
	if err := l.lock.Close(); err != nil && first == nil {
		first = err
	}
	if l.failure == nil {
		l.failure = result.New(result.SyncFailed, "the log is closed")
	}
	return first
}
