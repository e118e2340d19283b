package proxy

import (
	"bytes"
	"encoding/json"
)

// maxKeptLine bounds the memory of the scanner. Usage objects are far
// shorter; a longer line is counted but not read.
const maxKeptLine = 4 << 10

var (
	dataField  = []byte("data:")
	doneMarker = []byte("[DONE]")
	usageField = []byte(`"usage"`)
)

// Usage is the token count that an engine reports.
type Usage struct {
	PromptTokens     uint64 `json:"prompt_tokens"`
	CompletionTokens uint64 `json:"completion_tokens"`
}

// Scanner reads a server-sent event stream as it passes, in pieces of any
// size. It keeps at most one line.
type Scanner struct {
	Events uint64 // data events before the end marker
	Done   bool   // the end marker was seen with its blank line
	Usage  *Usage // last usage object, nil if none was seen

	line     []byte
	tooLong  bool
	sawCR    bool
	hasData  bool
	sawDone  bool
	trailing int // bytes since the last blank line
}

// Write reads the next piece and returns the number of its bytes up to and
// including the last blank line, 0 if it has none.
func (s *Scanner) Write(p []byte) (boundary int) {
	for i := 0; i < len(p); i++ {
		b := p[i]
		switch {
		case b == '\n' && s.sawCR:
			// The second half of CR LF ends no line of its own.
			s.sawCR = false
			if s.trailing == 0 && boundary == i {
				boundary = i + 1
			}
		case b == '\n' || b == '\r':
			s.sawCR = b == '\r'
			if s.endLine() {
				boundary = i + 1
			}
		default:
			s.sawCR = false
			s.trailing++
			s.keep(b)
		}
	}
	return boundary
}

func (s *Scanner) keep(b byte) {
	if len(s.line) >= maxKeptLine {
		s.tooLong = true
		return
	}
	s.line = append(s.line, b)
}

// endLine reports whether the line was blank, which ends an event.
func (s *Scanner) endLine() bool {
	line, tooLong := s.line, s.tooLong
	s.line, s.tooLong = s.line[:0], false
	if len(line) > 0 {
		s.field(line, tooLong)
		return false
	}
	s.trailing = 0
	if s.sawDone {
		s.Done = true
	} else if s.hasData {
		s.Events++
	}
	s.hasData = false
	return true
}

func (s *Scanner) field(line []byte, tooLong bool) {
	value, ok := bytes.CutPrefix(line, dataField)
	if !ok {
		return
	}
	value = bytes.TrimPrefix(value, []byte(" "))
	if bytes.Equal(value, doneMarker) && !s.hasData {
		s.sawDone = true
		return
	}
	s.hasData = true
	if !tooLong && bytes.Contains(value, usageField) {
		s.readUsage(value)
	}
}

func (s *Scanner) readUsage(value []byte) {
	if u := parseUsage(value); u != nil {
		s.Usage = u
	}
}

func parseUsage(object []byte) *Usage {
	var v struct {
		Usage *Usage `json:"usage"`
	}
	if err := json.Unmarshal(object, &v); err != nil {
		return nil
	}
	return v.Usage
}

// Ended reports whether the end marker was seen, with or without its blank
// line.
func (s *Scanner) Ended() bool { return s.sawDone }

// tail keeps the last bytes of a plain answer, where engines put the usage
// object.
type tail struct{ kept []byte }

const tailBytes = 1 << 10

func (t *tail) write(p []byte) {
	if len(p) >= tailBytes {
		t.kept = append(t.kept[:0], p[len(p)-tailBytes:]...)
		return
	}
	if over := len(t.kept) + len(p) - tailBytes; over > 0 {
		t.kept = append(t.kept[:0], t.kept[over:]...)
	}
	t.kept = append(t.kept, p...)
}

// usage reads the last usage object of the kept bytes.
func (t *tail) usage() *Usage {
	at := bytes.LastIndex(t.kept, usageField)
	if at < 0 {
		return nil
	}
	rest := bytes.TrimLeft(t.kept[at+len(usageField):], " \t\r\n")
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
