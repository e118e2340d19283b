package wal

import (
	"encoding/binary"
	"fmt"
	"io"
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

// Sync writes the appended records as one frame and syncs it. After DiskFull or
// TooLarge none of them is in the log, which remains usable. SyncFailed is
// permanent: the process must stop, because the content on disk is unknown.
func (l *Log) Sync() error {
	if l.failure != nil {
		return l.failure
	}
	records := l.unsyncedRecords
	l.unsyncedRecords = nil
	if len(records) == 0 {
		return nil
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
		return l.rollBackWrite(err)
	}
	if err := l.activeFile.Sync(); err != nil {
		return l.failPermanently(err, "segment %d cannot be synced", l.number)
	}
	l.sequence++
	l.activeBytes += int64(len(frame))
	l.writtenBytes += int64(len(frame))
	l.segments[len(l.segments)-1].bytes = l.activeBytes
	return nil
}

// rollBackWrite removes a partially written frame if the disk is full. Any other
// write error is permanent.
func (l *Log) rollBackWrite(cause error) error {
	if !isDiskFull(cause) {
		return l.failPermanently(cause, "segment %d cannot be written", l.number)
	}
	if err := l.activeFile.Truncate(l.activeBytes); err != nil {
		return l.failPermanently(err, "segment %d cannot be truncated", l.number)
	}
	return result.Wrap(result.DiskFull, cause, "disk is full, the records were not written")
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
	if _, err := f.Write(frame); err != nil {
		f.Close()
		if removeErr := l.fs.Remove(path); removeErr != nil {
			return l.failPermanently(removeErr, "unfinished segment cannot be removed")
		}
		return l.diskFullOrFail(err, "segment cannot be written")
	}
	if err := f.Sync(); err != nil {
		return l.failPermanently(err, "new segment cannot be synced")
	}
	if err := l.fs.SyncDir(l.folder); err != nil {
		return l.failPermanently(err, "data folder cannot be synced")
	}
	l.activeFile, l.number = f, number
	l.sequence++
	l.activeBytes = int64(len(frame))
	l.segments = append(l.segments, segment{number: number, bytes: l.activeBytes})
	return nil
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
