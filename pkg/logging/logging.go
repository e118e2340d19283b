// Package logging configures logrus with a fixed prefix for each part of a
// program.
package logging

import (
	"bytes"
	"fmt"
	"io"
	"sort"

	"github.com/sirupsen/logrus"

	"jackdawtrack.example/jackdawtrack/pkg/result"
)

const partField = "part"

// Setup sets level and output of the standard logger. Levels are those of
// logrus; another level is refused as InvalidSettings.
func Setup(level string, out io.Writer) error {
	l, err := logrus.ParseLevel(level)
	if err != nil {
		return result.Wrap(result.InvalidSettings, err, "log level %q: use debug, info, warning or error", level)
	}
	logrus.SetLevel(l)
	logrus.SetOutput(out)
	logrus.SetFormatter(formatter{})
	return nil
}

// For returns the logger of one part; its lines begin with "[part]".
func For(part string) *logrus.Entry {
	return logrus.WithField(partField, part)
}

type formatter struct{}

// Format implements logrus.Formatter: time, level, prefix, message, fields in
// the order of their names.
func (formatter) Format(e *logrus.Entry) ([]byte, error) {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %-7s ", e.Time.UTC().Format("2006-01-02T15:04:05.000Z"), e.Level)
	if part, ok := e.Data[partField]; ok {
		fmt.Fprintf(&b, "[%v] ", part)
	}
	b.WriteString(e.Message)
	names := make([]string, 0, len(e.Data))
	for name := range e.Data {
		if name != partField {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	for _, name := range names {
		fmt.Fprintf(&b, " %s=%v", name, e.Data[name])
	}
	b.WriteByte('\n')
	return b.Bytes(), nil
}
