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

const identityBytes = 8 + 4 // identity and checksum

// Recovered is the durable content of a folder.
type Recovered struct {
	Identity uint64
	State    []byte   // last hard state, nil if none
	Snapshot Snapshot // Index 0 if none
	Entries  []Record // contiguous, the first follows the snapshot
	TornTail int64    // bytes cut off the last segment
}

// Open locks the folder, recovers its content and makes it ready for Append.
// Errors carry FolderLocked, LogDamaged, DiskFull or SyncFailed.
func Open(folder string, o Options) (*Log, *Recovered, error) {
	l := &Log{fs: o.FS, folder: folder, limit: o.SegmentBytes}
	if l.fs == nil {
		l.fs = OS{}
	}
	if l.limit == 0 {
		l.limit = DefaultSegmentBytes
	}
	if o.NewIdentity == nil {
		o.NewIdentity = randomIdentity
	}
	if err := l.fs.MkdirAll(folder); err != nil {
		return nil, nil, result.Wrap(result.SyncFailed, err, "data folder cannot be created")
	}
	lock, err := l.fs.Lock(filepath.Join(folder, lockName))
	if err != nil {
		if _, ok := result.CodeOf(err); ok {
			return nil, nil, err
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

func (l *Log) readIdentity(names []string) (bool, error) {
	for _, name := range names {
		if name != identityName {
			continue
		}
		b, err := l.fs.ReadFile(filepath.Join(l.folder, name))
		if err != nil {
			return false, result.Wrap(result.LogDamaged, err, "identity cannot be read")
		}
		if len(b) != identityBytes || binary.LittleEndian.Uint32(b[8:]) != identitySum(b[:8]) {
			return false, result.New(result.LogDamaged, "identity file is damaged")
		}
		l.identity = binary.LittleEndian.Uint64(b)
		return true, nil
	}
	return false, nil
}

func identitySum(b []byte) uint32 { return seedOf(binary.LittleEndian.Uint64(b), frameMagic) }

// initialise writes the first segment, then the identity, which marks the
// folder as complete. A segment without an identity is accepted only as the
// rest of an interrupted initialise; otherwise a folder that lost its
// identity could vote a second time.
func (l *Log) initialise(names []string, identity uint64) (*Recovered, error) {
	first := fmt.Sprintf(segmentPattern, 1)
	l.identity = identity
	headerBytes := len(encodeFrame(0, 1, l.header()))
	for _, name := range names {
		if name == lockName || name == temporaryName {
			continue
		}
		b, err := l.fs.ReadFile(filepath.Join(l.folder, name))
		if name != first || err != nil || len(b) > headerBytes {
			return nil, result.New(result.LogDamaged, "%s exists but the identity is missing", name)
		}
	}
	if err := l.create(1); err != nil {
		return nil, err
	}
	b := binary.LittleEndian.AppendUint64(nil, identity)
	b = binary.LittleEndian.AppendUint32(b, identitySum(b))
	if err := l.writeFile(identityName, b); err != nil {
		return nil, err
	}
	// The folder itself may be new in its parent.
	if err := l.fs.SyncDir(filepath.Dir(l.folder)); err != nil {
		return nil, l.fail(err, "sync of the parent folder failed")
	}
	return &Recovered{Identity: identity}, nil
}

func (l *Log) replay(names []string) (*Recovered, error) {
	r := &Recovered{Identity: l.identity}
	var err error
	if r.Snapshot, err = l.newestSnapshot(); err != nil {
		return nil, err
	}
	numbers := segmentNumbers(names)
	if len(numbers) == 0 {
		return nil, result.New(result.LogDamaged, "the identity exists but no segment does")
	}
	p := &replayer{log: l, out: r}
	for i, n := range numbers {
		if i > 0 && n != numbers[i-1]+1 {
			return nil, result.New(result.LogDamaged, "segment %d is missing", numbers[i-1]+1)
		}
		if err := p.segment(n, i == len(numbers)-1, i == 0); err != nil {
			return nil, err
		}
	}
	if err := l.openActive(p.keep); err != nil {
		return nil, err
	}
	return r, p.finish()
}

func segmentNumbers(names []string) []uint64 {
	var numbers []uint64
	for _, name := range names {
		var n uint64
		if _, err := fmt.Sscanf(name, segmentPattern, &n); err == nil && strings.HasSuffix(name, ".log") {
			numbers = append(numbers, n)
		}
	}
	return numbers
}

// openActive continues the last segment after cutting off its torn tail.
func (l *Log) openActive(cut bool) error {
	s := l.segments[len(l.segments)-1]
	l.number, l.size = s.number, s.bytes
	for _, each := range l.segments {
		l.written += each.bytes
	}
	f, err := l.fs.Append(filepath.Join(l.folder, fmt.Sprintf(segmentPattern, s.number)))
	if err != nil {
		return result.Wrap(result.LogDamaged, err, "segment %d cannot be opened", s.number)
	}
	l.file = f
	if !cut {
		return nil
	}
	if err := f.Truncate(s.bytes); err != nil {
		return l.fail(err, "truncation of segment %d failed", s.number)
	}
	if err := f.Sync(); err != nil {
		return l.fail(err, "sync of segment %d failed", s.number)
	}
	return nil
}

// hasValidFrame searches for a frame behind a damaged one.
func hasValidFrame(seed uint32, b []byte) bool {
	for {
		i := bytes.Index(b, magicBytes)
		if i < 0 {
			return false
		}
		if _, _, _, err := decodeFrame(seed, b[i:]); err == nil {
			return true
		}
		b = b[i+1:]
	}
}
