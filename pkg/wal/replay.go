package wal

import (
	"encoding/binary"
	"fmt"
	"path/filepath"

	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// replayer rebuilds the log entries and the hard state from the segments in
// order.
type replayer struct {
	log         *Log
	recovered   *Recovered
	entries     []Record
	nextIndex   uint64 // greatest index that the next entry may have, 0 if unknown
	hasTornTail bool   // the last segment ends with a torn write
}

// segment replays the segment file with this number.
func (p *replayer) segment(number uint64, isLast, isFirst bool) error {
	l := p.log
	path := filepath.Join(l.folder, fmt.Sprintf(segmentFilePattern, number))
	b, err := l.fs.ReadFile(path)
	if err != nil {
		return result.Wrap(result.LogDamaged, err, "segment %d cannot be read", number)
	}
	seed := checksumSeed(l.identity, number)
	s := segment{number: number}
	for offset := 0; offset < len(b) || offset == 0; {
		sequence, payload, n, err := decodeFrame(seed, b[offset:])
		if err != nil {
			return p.handleInvalidFrame(s, b, offset, isLast, isFirst)
		}
		if err := p.replayFrame(&s, sequence, payload, offset == 0, isFirst); err != nil {
			return result.Wrap(result.LogDamaged, err, "segment %d offset %d", number, offset)
		}
		offset += n
		s.bytes = int64(offset)
	}
	l.segments = append(l.segments, s)
	return nil
}

// handleInvalidFrame accepts a torn write at the end of the last segment, and a
// last segment that has only a torn header frame, which it removes. Any other
// invalid frame is LogDamaged.
func (p *replayer) handleInvalidFrame(s segment, b []byte, offset int, isLast, isFirst bool) error {
	l := p.log
	seed := checksumSeed(l.identity, s.number)
	if !isLast || hasValidFrame(seed, b[offset:]) {
		return result.New(result.LogDamaged, "segment %d is damaged at offset %d", s.number, offset)
	}
	if offset > 0 {
		p.recovered.TornTailBytes = int64(len(b) - offset)
		p.hasTornTail = true
		l.segments = append(l.segments, s)
		return nil
	}
	header := len(encodeFrame(seed, l.sequence+1, l.header()))
	if isFirst || len(b) > header {
		return result.New(result.LogDamaged, "segment %d has no valid header", s.number)
	}
	path := filepath.Join(l.folder, fmt.Sprintf(segmentFilePattern, s.number))
	if err := l.fs.Remove(path); err != nil {
		return l.diskFullOrFail(err, fmt.Sprintf("segment %d cannot be removed", s.number))
	}
	return nil
}

// replayFrame replays the records of one frame. Only the first frame of the first
// segment may have any sequence number.
func (p *replayer) replayFrame(s *segment, sequence uint64, payload []byte, isHeader, isFirst bool) error {
	l := p.log
	if (!isHeader || !isFirst) && sequence != l.sequence+1 {
		return fmt.Errorf("frame %d follows frame %d", sequence, l.sequence)
	}
	l.sequence = sequence
	records, err := decodeRecords(payload)
	if err != nil {
		return err
	}
	for _, r := range records {
		if err := p.replayRecord(s, r); err != nil {
			return err
		}
	}
	return nil
}

func (p *replayer) replayRecord(s *segment, r Record) error {
	switch r.Kind {
	case KindEntry:
		s.maxIndex = max(s.maxIndex, r.Index)
		return p.replayEntry(r)
	case KindHardState:
		p.log.hardState, p.recovered.State = r.Data, r.Data
	case KindReset:
		s.maxIndex = max(s.maxIndex, r.Index)
		p.entries, p.nextIndex = nil, r.Index+1
	case kindSegmentHeader:
		if len(r.Data) != 8 || binary.LittleEndian.Uint64(r.Data) != p.log.identity {
			return fmt.Errorf("segment has the identity of another data folder")
		}
	default:
		return fmt.Errorf("unknown record kind %d", r.Kind)
	}
	return nil
}

// replayEntry adds an entry and removes earlier ones with the same or a greater
// index.
func (p *replayer) replayEntry(r Record) error {
	if p.nextIndex != 0 && r.Index > p.nextIndex {
		return fmt.Errorf("entry %d follows entry %d", r.Index, p.nextIndex-1)
	}
	for len(p.entries) > 0 && p.entries[len(p.entries)-1].Index >= r.Index {
		p.entries = p.entries[:len(p.entries)-1]
	}
	p.entries = append(p.entries, r)
	p.nextIndex = r.Index + 1
	return nil
}

// reconcileWithSnapshot removes the entries that the snapshot covers. If the log
// ends before the snapshot or has another term at its index, the snapshot came
// from another host and a crash interrupted its installation before the KindReset
// record was synced; the record is then written again.
func (p *replayer) reconcileWithSnapshot() error {
	snap := p.recovered.Snapshot
	if p.nextIndex != 0 && p.nextIndex <= snap.Index || p.conflictsWith(snap) {
		p.entries = nil
		p.log.Append(Record{Kind: KindReset, Index: snap.Index, Term: snap.Term})
		return p.log.Sync()
	}
	for len(p.entries) > 0 && p.entries[0].Index <= snap.Index {
		p.entries = p.entries[1:]
	}
	if len(p.entries) > 0 && p.entries[0].Index != snap.Index+1 {
		return result.New(result.LogDamaged, "entries %d to %d are missing", snap.Index+1, p.entries[0].Index-1)
	}
	p.recovered.Entries = p.entries
	return nil
}

// conflictsWith reports whether the entry at the snapshot's index has another
// term.
func (p *replayer) conflictsWith(snap Snapshot) bool {
	for _, e := range p.entries {
		if e.Index == snap.Index {
			return e.Term != snap.Term
		}
	}
	return false
}
