package wal

import (
	"bytes"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"path/filepath"
	"strings"

	"jackdawtrack.example/jackdawtrack/pkg/result"
)

const identityBytes = 8 + 4 // size of the identity file: identity and checksum

// Recovered is the durable content of a folder.
type Recovered struct {
	Identity      uint64
	State         []byte   // last hard state, nil if none
	Snapshot      Snapshot // Index 0 if none
	Entries       []Record // contiguous, the first follows the snapshot
	TornTailBytes int64    // size of the torn write removed from the last segment
}

// Open locks the folder, which is created if needed, and recovers its content, all of which
// is durable when it returns.
// Errors carry FolderLocked, LogDamaged, DiskFull or SyncFailed.
func Open(folder string, o Options) (*Log, *Recovered, error) {
	l := &Log{fs: o.FS, folder: folder, maxSegmentBytes: o.SegmentBytes}
	if l.fs == nil {
		l.fs = OS{}
	}
	if l.maxSegmentBytes == 0 {
		l.maxSegmentBytes = DefaultSegmentBytes
	}
	if o.NewIdentity == nil {
		o.NewIdentity = randomIdentity
	}
	if err := l.fs.MkdirAll(folder); err != nil {
		return nil, nil, l.diskFullOrFail(err, "data folder cannot be created")
	}
	lock, err := l.fs.Lock(filepath.Join(folder, lockFileName))
	if err != nil {
		if _, ok := result.CodeOf(err); ok {
			return nil, nil, err
		}
		if isDiskFull(err) {
			return nil, nil, l.diskFullOrFail(err, "data folder cannot be locked")
		}
		return nil, nil, result.Wrap(result.FolderLocked, err, "data folder cannot be locked")
	}
	l.lock = lock
	r, err := l.recover(o.NewIdentity)
	if err != nil {
		l.Close()
		return nil, nil, err
	}
	return l, r, nil
}

func randomIdentity() uint64 {
	var b [8]byte
	for {
		rand.Read(b[:])
		if id := binary.LittleEndian.Uint64(b[:]); id != 0 {
			return id
		}
	}
}

func (l *Log) recover(newIdentity func() uint64) (*Recovered, error) {
	names, err := l.fs.List(l.folder)
	if err != nil {
		return nil, result.Wrap(result.LogDamaged, err, "data folder cannot be listed")
	}
	found, err := l.readIdentity(names)
	if err != nil {
		return nil, err
	}
	if !found {
		return l.initialise(names, newIdentity())
	}
	return l.replay(names)
}

// readIdentity reads the identity file. It returns false if there is none.
func (l *Log) readIdentity(names []string) (bool, error) {
	for _, name := range names {
		if name != identityFileName {
			continue
		}
		b, err := l.fs.ReadFile(filepath.Join(l.folder, name))
		if err != nil {
			return false, result.Wrap(result.LogDamaged, err, "identity cannot be read")
		}
		if len(b) != identityBytes || binary.LittleEndian.Uint32(b[8:]) != identityCRC(b[:8]) {
			return false, result.New(result.LogDamaged, "identity file is damaged")
		}
		l.identity = binary.LittleEndian.Uint64(b)
		return true, nil
	}
	return false, nil
}

func identityCRC(b []byte) uint32 { return checksumSeed(binary.LittleEndian.Uint64(b), frameMagic) }

// initialise writes the first segment and then the identity file, which marks the
// folder as complete. A segment without an identity file is accepted only if it
// can be left from an interrupted initialisation. Otherwise a host that lost its
// identity file could vote twice in a term.
func (l *Log) initialise(names []string, identity uint64) (*Recovered, error) {
	first := fmt.Sprintf(segmentFilePattern, 1)
	l.identity = identity
	headerBytes := len(encodeFrame(0, 1, l.header()))
	for _, name := range names {
		if name == lockFileName || name == temporaryFileName {
			continue
		}
		b, err := l.fs.ReadFile(filepath.Join(l.folder, name))
		if name != first || err != nil || len(b) > headerBytes {
			return nil, result.New(result.LogDamaged, "%s exists but the identity file is missing", name)
		}
	}
	if err := l.createSegment(1); err != nil {
		return nil, err
	}
	b := binary.LittleEndian.AppendUint64(nil, identity)
	b = binary.LittleEndian.AppendUint32(b, identityCRC(b))
	if err := l.writeFileAtomically(identityFileName, b); err != nil {
		return nil, err
	}
	// The folder may have been created by Open.
	if err := l.fs.SyncDir(filepath.Dir(l.folder)); err != nil {
		return nil, l.diskFullOrFail(err, "parent folder cannot be synced")
	}
	return &Recovered{Identity: identity}, nil
}

// replay recovers a folder that has an identity file.
func (l *Log) replay(names []string) (*Recovered, error) {
	r := &Recovered{Identity: l.identity}
	var err error
	if r.Snapshot, err = l.latestSnapshot(); err != nil {
		return nil, err
	}
	numbers := segmentNumbers(names)
	if len(numbers) == 0 {
		return nil, result.New(result.LogDamaged, "identity file exists but no segment does")
	}
	p := &replayer{log: l, recovered: r}
	for i, n := range numbers {
		if i > 0 && n != numbers[i-1]+1 {
			return nil, result.New(result.LogDamaged, "segment %d is missing", numbers[i-1]+1)
		}
		if err := p.segment(n, i == len(numbers)-1, i == 0); err != nil {
			return nil, err
		}
	}
	if err := l.openActiveSegment(p.hasTornTail); err != nil {
		return nil, err
	}
	if err := l.syncFound(r.Snapshot.Index); err != nil {
		return nil, err
	}
	return r, p.reconcileWithSnapshot()
}

// syncFound makes durable what replay has found. A process that was killed may have written
// files or changed names without a sync, and the caller confirms to others what it gets.
func (l *Log) syncFound(snapshotIndex uint64) error {
	names := []string{identityFileName}
	if snapshotIndex > 0 {
		names = append(names, fmt.Sprintf(snapshotFilePattern, snapshotIndex))
	}
	for _, s := range l.segments {
		names = append(names, fmt.Sprintf(segmentFilePattern, s.number))
	}
	for _, name := range names {
		if err := l.syncFile(name); err != nil {
			return l.diskFullOrFail(err, name+" cannot be synced")
		}
	}
	for _, folder := range []string{l.folder, filepath.Dir(l.folder)} {
		if err := l.fs.SyncDir(folder); err != nil {
			return l.diskFullOrFail(err, "data folder or its parent cannot be synced")
		}
	}
	return nil
}

func (l *Log) syncFile(name string) error {
	f, err := l.fs.OpenAppend(filepath.Join(l.folder, name))
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

// segmentNumbers returns the numbers of the segment files in ascending order.
func segmentNumbers(names []string) []uint64 {
	var numbers []uint64
	for _, name := range names {
		var n uint64
		if _, err := fmt.Sscanf(name, segmentFilePattern, &n); err == nil && strings.HasSuffix(name, ".log") {
			numbers = append(numbers, n)
		}
	}
	return numbers
}

// openActiveSegment opens the last segment for appending and truncates its torn
// tail if there is one.
func (l *Log) openActiveSegment(truncateTail bool) error {
	s := l.segments[len(l.segments)-1]
	l.number, l.activeBytes = s.number, s.bytes
	for _, found := range l.segments {
		l.writtenBytes += found.bytes
	}
	f, err := l.fs.OpenAppend(filepath.Join(l.folder, fmt.Sprintf(segmentFilePattern, s.number)))
	if err != nil {
		return result.Wrap(result.LogDamaged, err, "segment %d cannot be opened", s.number)
	}
	l.activeFile = f
	if !truncateTail {
		return nil
	}
	if err := f.Truncate(s.bytes); err != nil {
		return l.diskFullOrFail(err, fmt.Sprintf("segment %d cannot be truncated", s.number))
	}
	return nil
}

// hasValidFrame reports whether b contains a valid frame at any offset.
func hasValidFrame(seed uint32, b []byte) bool {
	for {
		i := bytes.Index(b, frameMagicBytes)
		if i < 0 {
			return false
		}
		if _, _, _, err := decodeFrame(seed, b[i:]); err == nil {
			return true
		}
		b = b[i+1:]
	}
}
