package wal

import (
	"encoding/binary"
	"fmt"
	"path/filepath"

	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// replayer rebuilds the entries from the segments in order.
type replayer struct {
	log     *Log
	out     *Recovered
	entries []Record
	next    uint64 // index that the next entry has at most, 0 if unknown
	keep    bool   // the last segment has a tail to cut off
}

func (p *replayer) segment(number uint64, last, first bool) error {
	l := p.log
	path := filepath.Join(l.folder, fmt.Sprintf(segmentPattern, number))
	b, err := l.fs.ReadFile(path)
	if err != nil {
		return result.Wrap(result.LogDamaged, err, "segment %d cannot be read", number)
	}
	seed := seedOf(l.identity, number)
	s := segment{number: number}
	for offset := 0; offset < len(b) || offset == 0; {
		sequence, payload, n, err := decodeFrame(seed, b[offset:])
		if err != nil {
			return p.badFrame(s, b, offset, last, first)
		}
		if err := p.frame(&s, sequence, payload, offset == 0, first); err != nil {
			return result.Wrap(result.LogDamaged, err, "segment %d offset %d", number, offset)
		}
		offset += n
		s.bytes = int64(offset)
	}
	l.segments = append(l.segments, s)
	return nil
}

// badFrame accepts a torn write at the end of the last segment and refuses
// everything else.
func (p *replayer) badFrame(s segment, b []byte, offset int, last, first bool) error {
	l := p.log
	seed := seedOf(l.identity, s.number)
	if !last || hasValidFrame(seed, b[offset:]) {
		return result.New(result.LogDamaged, "segment %d is damaged at offset %d", s.number, offset)
	}
	if offset > 0 {
		p.out.TornTail = int64(len(b) - offset)
		p.keep = true
		l.segments = append(l.segments, s)
		return nil
	}
	header := len(encodeFrame(seed, l.sequence+1, l.header()))
	if first || len(b) > header {
		return result.New(result.LogDamaged, "segment %d has no valid header", s.number)
	}
	path := filepath.Join(l.folder, fmt.Sprintf(segmentPattern, s.number))
	if err := l.fs.Remove(path); err != nil {
		return l.fail(err, "segment %d cannot be removed", s.number)
	}
	return nil
}

func (p *replayer) frame(s *segment, sequence uint64, payload []byte, header, first bool) error {
	l := p.log
	if (!header || !first) && sequence != l.sequence+1 {
		return fmt.Errorf("frame %d follows frame %d", sequence, l.sequence)
	}
	l.sequence = sequence
	records, err := decodeRecords(payload)
	if err != nil {
		return err
	}
	for _, r := range records {
		if err := p.record(s, r); err != nil {
			return err
		}
	}
	return nil
}

func (p *replayer) record(s *segment, r Record) error {
	switch r.Kind {
	case KindEntry:
		s.maxIndex = max(s.maxIndex, r.Index)
		return p.entry(r)
	case KindState:
		p.log.state, p.out.State = r.Data, r.Data
	case KindReset:
		s.maxIndex = max(s.maxIndex, r.Index)
		p.entries, p.next = nil, r.Index+1
	case kindSegment:
		if len(r.Data) != 8 || binary.LittleEndian.Uint64(r.Data) != p.log.identity {
			return fmt.Errorf("segment belongs to another folder")
		}
	default:
		return fmt.Errorf("unknown record kind %d", r.Kind)
	}
	return nil
}

func (p *replayer) entry(r Record) error {
	if p.next != 0 && r.Index > p.next {
		return fmt.Errorf("entry %d follows entry %d", r.Index, p.next-1)
	}
	for len(p.entries) > 0 && p.entries[len(p.entries)-1].Index >= r.Index {
		p.entries = p.entries[:len(p.entries)-1]
	}
	p.entries = append(p.entries, r)
	p.next = r.Index + 1
	return nil
}

// finish drops the entries that the snapshot covers. If the log does not
// reach the snapshot or differs from it, the snapshot was installed from
// another host and the rest of the installation is repeated.
func (p *replayer) finish() error {
	snap := p.out.Snapshot
	if p.next != 0 && p.next <= snap.Index || p.differs(snap) {
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
	p.out.Entries = p.entries
	return nil
}

func (p *replayer) differs(snap Snapshot) bool {
	for _, e := range p.entries {
		if e.Index == snap.Index {
			return e.Term != snap.Term
		}
	}
	return false
}
