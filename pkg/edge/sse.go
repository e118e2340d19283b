package edge

import (
	"bytes"
	"strconv"
)

// events cuts a stream of server-sent events into whole events.
type events struct {
	buffer []byte
	last   string // id of the last whole event
	count  int
}

// pending takes bytes and returns the whole events among what is held. The
// slice is valid until passed is called with it.
func (e *events) pending(p []byte) []byte {
	e.buffer = append(e.buffer, p...)
	return e.buffer[:lastBoundary(e.buffer)]
}

// passed notes that the caller has the events, and drops them.
func (e *events) passed(whole []byte) {
	e.note(whole)
	e.buffer = append(e.buffer[:0], e.buffer[len(whole):]...)
}

// lastBoundary returns the length up to and including the last blank line.
func lastBoundary(b []byte) int {
	end := 0
	if i := bytes.LastIndex(b, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.LastIndex(b, []byte("\r\n\r\n")); i >= 0 {
		end = max(end, i+4)
	}
	return end
}

func (e *events) note(whole []byte) {
	for line := range bytes.Lines(whole) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			e.count++
			continue
		}
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			e.last = string(bytes.TrimSpace(id))
		}
	}
}

// firstID returns the id of the first event in the bytes, "" if it has none.
func firstID(whole []byte) string {
	for line := range bytes.Lines(whole) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			return ""
		}
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(id))
		}
	}
	return ""
}

// follows reports whether a stream that ended with one id may go on with the
// other: the next number. Ids that are no numbers cannot be checked.
func follows(last, next string) bool {
	a, errA := strconv.ParseUint(last, 10, 64)
	b, errB := strconv.ParseUint(next, 10, 64)
	return errA == nil && errB == nil && b == a+1
}
