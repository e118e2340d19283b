package edge

import (
	"bytes"
	"testing"
)

// Guards against stream bytes that are lost or reordered, and against panics on
// malformed events.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: x\n\nid: 2\r\n\r\n"), 3)
	f.Add([]byte("\n\n\n\r\n\r\n"), 1)
	f.Add([]byte("id:\x00\n\ndata"), 7)
	f.Fuzz(func(t *testing.T, data []byte, piece int) {
		if piece < 1 {
			return
		}
		var e sseParser
		var got []byte
		for rest := data; len(rest) > 0; {
			n := min(piece, len(rest))
			events := e.appendBytes(rest[:n])
			got = append(got, events...)
			firstID(events)
			e.consume(events)
			rest = rest[n:]
		}
		if !bytes.Equal(append(got, e.buffer...), data) {
			t.Fatalf("consumed %q and buffered %q of %q", got, e.buffer, data)
		}
	})
}
