package proxy

import (
	"bytes"
	"encoding/json"
)

// maxLineBytes bounds the memory of the scanner. Lines with a usage object are
// far shorter. A longer line counts as an event, but its usage is not parsed.
const maxLineBytes = 4 << 10

var (
	dataPrefix = []byte("data:")
	endMarker  = []byte("[DONE]")
	usageKey   = []byte(`"usage"`)
)

// Usage is the number of tokens that an engine reports for a request.
type Usage struct {
	PromptTokens     uint64 `json:"prompt_tokens"`
	CompletionTokens uint64 `json:"completion_tokens"`
}

// Scanner parses a server-sent event stream incrementally, in pieces of any size.
// It buffers at most one line. The zero value is ready to use.
type Scanner struct {
	Events uint64 // data events before the end marker
	Done   bool   // the end marker and the blank line after it were seen
	Usage  *Usage // last usage object, nil if none was seen

	line                []byte // current line, at most maxLineBytes
	tooLong             bool   // the current line exceeds maxLineBytes
	sawCR               bool   // the last byte was a CR
	eventHasData        bool   // the current event has a data field
	sawEndMarker        bool
	bytesSinceBlankLine int // without the bytes of line ends
}

// Write parses the next piece and returns the number of its bytes up to and
// including the last blank line, 0 if it has none.
func (s *Scanner) Write(p []byte) (boundary int) {
	for i := 0; i < len(p); i++ {
		b := p[i]
		switch {
		case b == '\n' && s.sawCR:
			// The LF of a CR LF pair does not end another line.
			s.sawCR = false
			if s.bytesSinceBlankLine == 0 && boundary == i {
				boundary = i + 1
			}
		case b == '\n' || b == '\r':
			s.sawCR = b == '\r'
			if s.endLine() {
				boundary = i + 1
			}
		default:
			s.sawCR = false
			s.bytesSinceBlankLine++
			s.appendToLine(b)
		}
	}
	return boundary
}

// appendToLine adds a byte to the current line up to maxLineBytes.
func (s *Scanner) appendToLine(b byte) {
	if len(s.line) >= maxLineBytes {
		s.tooLong = true
		return
	}
	s.line = append(s.line, b)
}

// endLine parses the current line and reports whether it was blank, which ends an
// event.
func (s *Scanner) endLine() bool {
	line, tooLong := s.line, s.tooLong
	s.line, s.tooLong = s.line[:0], false
	if len(line) > 0 {
		s.parseField(line, tooLong)
		return false
	}
	s.bytesSinceBlankLine = 0
	if s.sawEndMarker {
		s.Done = true
	} else if s.eventHasData {
		s.Events++
	}
	s.eventHasData = false
	return true
}

// parseField parses one non-blank line. Fields other than data are ignored.
func (s *Scanner) parseField(line []byte, tooLong bool) {
	value, ok := bytes.CutPrefix(line, dataPrefix)
	if !ok {
		return
	}
	value = bytes.TrimPrefix(value, []byte(" "))
	if bytes.Equal(value, endMarker) && !s.eventHasData {
		s.sawEndMarker = true
		return
	}
	s.eventHasData = true
	if !tooLong && bytes.Contains(value, usageKey) {
		s.updateUsage(value)
	}
}

func (s *Scanner) updateUsage(value []byte) {
	if u := parseUsage(value); u != nil {
		s.Usage = u
	}
}

// parseUsage returns the usage member of a JSON object, nil if it has none.
func parseUsage(object []byte) *Usage {
	var v struct {
		Usage *Usage `json:"usage"`
	}
	if err := json.Unmarshal(object, &v); err != nil {
		return nil
	}
	return v.Usage
}

// SawEndMarker reports whether the end marker was seen, with or without the blank
// line after it.
func (s *Scanner) SawEndMarker() bool { return s.sawEndMarker }

// tail keeps the last maxTailBytes of a response that is not a stream. Engines
// put the usage object there.
type tail struct{ data []byte }

const maxTailBytes = 1 << 10

func (t *tail) write(p []byte) {
	if len(p) >= maxTailBytes {
		t.data = append(t.data[:0], p[len(p)-maxTailBytes:]...)
		return
	}
	if overflow := len(t.data) + len(p) - maxTailBytes; overflow > 0 {
		t.data = append(t.data[:0], t.data[overflow:]...)
	}
	t.data = append(t.data, p...)
}

// usage parses the last usage object in the tail, nil if there is none.
func (t *tail) usage() *Usage {
	at := bytes.LastIndex(t.data, usageKey)
	if at < 0 {
		return nil
	}
	rest := bytes.TrimLeft(t.data[at+len(usageKey):], " \t\r\n")
	rest, ok := bytes.CutPrefix(rest, []byte(":"))
	if !ok {
		return nil
	}
	var u *Usage
	if err := json.NewDecoder(bytes.NewReader(rest)).Decode(&u); err != nil {
		return nil
	}
	return u
}
