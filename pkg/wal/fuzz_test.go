package wal

import "testing"

// Checks that decoding arbitrary bytes does not panic or read out of bounds.
func FuzzDecodeRecords(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{1, 0, 0, 0, 0, 0, 0, 0, 255, 255, 255, 255})
	f.Add([]byte("\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff"))
	f.Fuzz(func(t *testing.T, data []byte) {
		if records, err := decodeRecords(data); err == nil && len(records) > len(data) {
			t.Fatalf("%d records from %d bytes", len(records), len(data))
		}
		_, _, n, err := decodeFrame(1, data)
		if err == nil && n > len(data) {
			t.Fatalf("a frame of %d bytes from %d", n, len(data))
		}
	})
}
