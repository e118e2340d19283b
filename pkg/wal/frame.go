package wal

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
)

// Kind tells what a record holds.
type Kind uint8

const (
	// KindEntry is a log entry. It replaces every earlier entry with the
	// same or a greater index.
	KindEntry Kind = 1
	// KindState is the hard state of consensus; the last one counts.
	KindState Kind = 2
	// KindReset drops all earlier entries. The next entry has Index+1.
	KindReset Kind = 3

	kindSegment Kind = 4
)

// Record is one item of the log. Index and Term are used by KindEntry and
// KindReset.
type Record struct {
	Kind  Kind
	Index uint64
	Term  uint64
	Data  []byte
}

// A frame is the unit of one sync: magic, payload length, sequence number,
// checksum, payload. A frame is written only after the frame before it is
// synced, so a damaged frame before a valid one is never a torn write.
const (
	frameMagic       = 0x6a64774c
	frameHeaderBytes = 20
	maxFrameBytes    = 256 << 20
)

var (
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
	magicBytes = binary.LittleEndian.AppendUint32(nil, frameMagic)

	errBadFrame  = errors.New("frame is incomplete or its checksum is wrong")
	errBadRecord = errors.New("record does not parse")
)

// seedOf binds the checksums of a segment to its folder and number, so a
// frame copied from elsewhere is not valid.
func seedOf(identity, segment uint64) uint32 {
	b := binary.LittleEndian.AppendUint64(nil, identity)
	b = binary.LittleEndian.AppendUint64(b, segment)
	return crc32.Checksum(b, castagnoli)
}

func frameSum(seed uint32, header, payload []byte) uint32 {
	sum := crc32.Update(seed, castagnoli, header[:16])
	return crc32.Update(sum, castagnoli, payload)
}

func encodeFrame(seed uint32, sequence uint64, records []Record) []byte {
	b := make([]byte, frameHeaderBytes, frameHeaderBytes+64*len(records))
	for _, r := range records {
		b = appendRecord(b, r)
	}
	payload := b[frameHeaderBytes:]
	binary.LittleEndian.PutUint32(b[0:], frameMagic)
	binary.LittleEndian.PutUint32(b[4:], uint32(len(payload)))
	binary.LittleEndian.PutUint64(b[8:], sequence)
	binary.LittleEndian.PutUint32(b[16:], frameSum(seed, b, payload))
	return b
}

func appendRecord(b []byte, r Record) []byte {
	b = append(b, byte(r.Kind))
	b = binary.AppendUvarint(b, r.Index)
	b = binary.AppendUvarint(b, r.Term)
	b = binary.AppendUvarint(b, uint64(len(r.Data)))
	return append(b, r.Data...)
}

// decodeFrame returns sequence, payload and total length of the first frame.
func decodeFrame(seed uint32, b []byte) (uint64, []byte, int, error) {
	if len(b) < frameHeaderBytes || binary.LittleEndian.Uint32(b) != frameMagic {
		return 0, nil, 0, errBadFrame
	}
	n := int(binary.LittleEndian.Uint32(b[4:]))
	if n > maxFrameBytes || n > len(b)-frameHeaderBytes {
		return 0, nil, 0, errBadFrame
	}
	payload := b[frameHeaderBytes : frameHeaderBytes+n]
	if frameSum(seed, b, payload) != binary.LittleEndian.Uint32(b[16:]) {
		return 0, nil, 0, errBadFrame
	}
	return binary.LittleEndian.Uint64(b[8:]), payload, frameHeaderBytes + n, nil
}

func decodeRecords(payload []byte) ([]Record, error) {
	var records []Record
	for len(payload) > 0 {
		r := Record{Kind: Kind(payload[0])}
		payload = payload[1:]
		var size uint64
		for _, v := range []*uint64{&r.Index, &r.Term, &size} {
			n := 0
			*v, n = binary.Uvarint(payload)
			if n <= 0 {
				return nil, errBadRecord
			}
			payload = payload[n:]
		}
		if size > uint64(len(payload)) {
			return nil, errBadRecord
		}
		r.Data = payload[:size:size]
		payload = payload[size:]
		records = append(records, r)
	}
	return records, nil
}
