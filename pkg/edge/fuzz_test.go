package edge

import (
	"bytes"
	"testing"
)

// Guards against bytes of a stream that are passed on in parts or lost.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: x\n\nid: 2\r\n\r\n"), 3)
	f.Add([]byte("\n\n\n\r\n\r\n"), 1)
	f.Add([]byte("id:\x00\n\ndata"), 7)
	f.Fuzz(func(t *testing.T, data []byte, piece int) {
		if piece < 1 {
			return
		}
		var e events
		var got []byte
		for rest := data; len(rest) > 0; {
			n := min(piece, len(rest))
			whole := e.pending(rest[:n])
			got = append(got, whole...)
			firstID(whole)
			e.passed(whole)
			rest = rest[n:]
		}
		if !bytes.Equal(append(got, e.buffer...), data) {
			t.Fatalf("got %q and %q of %q", got, e.buffer, data)
		}
	})
}
