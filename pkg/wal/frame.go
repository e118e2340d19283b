package wal

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
)

// Kind is the type of a record.
type Kind uint8

const (
	// KindEntry is a log entry. It replaces every earlier entry with the
	// same or a greater index.
	KindEntry Kind = 1
	// KindHardState is the Raft hard state. It replaces the earlier one.
	KindHardState Kind = 2
	// KindReset removes all earlier entries. The next entry has Index+1.
	KindReset Kind = 3

	kindSegmentHeader Kind = 4
)

// Record is one record of the log. Index and Term are used by KindEntry and
// KindReset only.
type Record struct {
	Kind  Kind
	Index uint64
	Term  uint64
	Data  []byte
}

// A frame holds the records of one sync: magic (4 bytes), payload length (4),
// sequence number (8), CRC-32C (4) and payload. A frame is written only after the
// frame before it is synced, so a damaged frame before a valid one is never a
// torn write.
const (
	frameMagic       = 0x6a64774c
	frameHeaderBytes = 20
	maxFrameBytes    = 256 << 20
)

var (
	castagnoli      = crc32.MakeTable(crc32.Castagnoli)
	frameMagicBytes = binary.LittleEndian.AppendUint32(nil, frameMagic)

	errInvalidFrame  = errors.New("frame is incomplete or has a wrong checksum")
	errInvalidRecord = errors.New("malformed record")
)

// checksumSeed returns the initial checksum value of a segment. It depends on the
// folder's identity and the segment number, so that a frame copied from another
// folder or segment is invalid.
func checksumSeed(identity, segment uint64) uint32 {
	b := binary.LittleEndian.AppendUint64(nil, identity)
	b = binary.LittleEndian.AppendUint64(b, segment)
	return crc32.Checksum(b, castagnoli)
}

func frameChecksum(seed uint32, header, payload []byte) uint32 {
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
	binary.LittleEndian.PutUint32(b[16:], frameChecksum(seed, b, payload))
	return b
}

func appendRecord(b []byte, r Record) []byte {
	b = append(b, byte(r.Kind))
	b = binary.AppendUvarint(b, r.Index)
	b = binary.AppendUvarint(b, r.Term)
	b = binary.AppendUvarint(b, uint64(len(r.Data)))
	return append(b, r.Data...)
}

// decodeFrame returns the sequence number, the payload and the total length in
// bytes of the frame at the start of b.
func decodeFrame(seed uint32, b []byte) (uint64, []byte, int, error) {
	if len(b) < frameHeaderBytes || binary.LittleEndian.Uint32(b) != frameMagic {
		return 0, nil, 0, errInvalidFrame
	}
	n := int(binary.LittleEndian.Uint32(b[4:]))
	if n > maxFrameBytes || n > len(b)-frameHeaderBytes {
		return 0, nil, 0, errInvalidFrame
	}
	payload := b[frameHeaderBytes : frameHeaderBytes+n]
	if frameChecksum(seed, b, payload) != binary.LittleEndian.Uint32(b[16:]) {
		return 0, nil, 0, errInvalidFrame
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
				return nil, errInvalidRecord
			}
			payload = payload[n:]
		}
		if size > uint64(len(payload)) {
			return nil, errInvalidRecord
		}
		r.Data = payload[:size:size]
		payload = payload[size:]
		records = append(records, r)
	}
	return records, nil
}
