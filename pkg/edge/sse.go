package edge

import (
	"bytes"
	"strconv"
)

// sseParser splits a stream of server-sent events at event boundaries.
type sseParser struct {
	buffer []byte // received bytes that were not consumed
	lastID string // id of the last consumed event that has one
	count  int    // consumed events
}

// appendBytes appends received bytes and returns the complete events in the
// buffer. The slice is valid until the next call of consume.
func (e *sseParser) appendBytes(chunk []byte) []byte {
	e.buffer = append(e.buffer, chunk...)
	return e.buffer[:lastBoundary(e.buffer)]
}

// consume records the events that appendBytes returned as delivered and removes
// them from the buffer.
func (e *sseParser) consume(events []byte) {
	e.recordEvents(events)
	e.buffer = append(e.buffer[:0], e.buffer[len(events):]...)
}

// lastBoundary returns the length of b up to and including its last blank line, 0
// if it has none.
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

// recordEvents updates lastID and count.
func (e *sseParser) recordEvents(events []byte) {
	for line := range bytes.Lines(events) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			e.count++
			continue
		}
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			e.lastID = string(bytes.TrimSpace(id))
		}
	}
}

// firstID returns the id of the first event, "" if it has none.
func firstID(events []byte) string {
	for line := range bytes.Lines(events) {
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

// isNextID reports whether next is the number that follows last. Ids that are not
// numbers cannot be verified, so it reports false for them.
func isNextID(last, next string) bool {
	a, errA := strconv.ParseUint(last, 10, 64)
	b, errB := strconv.ParseUint(next, 10, 64)
	return errA == nil && errB == nil && b == a+1
}

// idsIncrease reports whether each of the complete events has a number as its id that
// is greater than that of the event before it, the first one than last. Comments and
// blank lines are not events.
func idsIncrease(last string, events []byte) bool {
	previous, err := strconv.ParseUint(last, 10, 64)
	if err != nil {
		return false
	}
	id, hasFields := "", false
	for line := range bytes.Lines(events) {
		line = bytes.TrimRight(line, "\r\n")
		switch value, isID := bytes.CutPrefix(line, []byte("id:")); {
		case isID:
			id, hasFields = string(bytes.TrimSpace(value)), true
		case len(line) > 0:
			hasFields = hasFields || line[0] != ':'
		case hasFields:
			next, err := strconv.ParseUint(id, 10, 64)
			if err != nil || next <= previous {
				return false
			}
			previous, id, hasFields = next, "", false
		}
	}
	return true
}
