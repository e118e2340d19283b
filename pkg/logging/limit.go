package logging

import (
	"fmt"
	"maps"
	"strings"

	"github.com/sirupsen/logrus"
)

// limitedFormatter shortens the longest fields of lines that a pipe would not take in one
// piece, for example the stack of a panic: of a split line, parts are mixed with other lines.
type limitedFormatter struct {
	logrus.Formatter
}

// Format implements logrus.Formatter.
func (f limitedFormatter) Format(e *logrus.Entry) ([]byte, error) {
	line, err := f.Formatter.Format(e)
	if len(line) <= maxLineBytes {
		return line, err
	}
	short := &logrus.Entry{Logger: e.Logger, Data: maps.Clone(e.Data), Time: e.Time, Level: e.Level, Message: e.Message}
	for range len(e.Data) + 1 {
		if err != nil || len(line) <= maxLineBytes {
			break
		}
		shortenLongest(short, len(line)-maxLineBytes)
		line, err = f.Formatter.Format(short)
	}
	return line, err
}

// shortenLongest shortens the message or the longest field of e by at least the given
// number of bytes, or to the statement of how many bytes were left out.
func shortenLongest(e *logrus.Entry, bytes int) {
	longest, name := e.Message, ""
	for field, v := range e.Data {
		if text := fmt.Sprint(v); len(text) > len(longest) || len(text) == len(longest) && field < name {
			longest, name = text, field
		}
	}
	const markBytes = 40 // more than the longest mark
	kept := strings.ToValidUTF8(longest[:max(0, len(longest)-bytes-markBytes)], "")
	kept += fmt.Sprintf("... (%d bytes left out)", len(longest)-len(kept))
	if name == "" {
		e.Message = kept
		return
	}
	e.Data[name] = kept
}
