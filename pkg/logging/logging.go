// Package logging configures logrus: text lines with a prefix for each
// component, JSON lines, and a non-blocking output.
package logging

import (
	"bytes"
	"fmt"
	"io"
	"sort"

	"github.com/sirupsen/logrus"

	"jackdawtrack.example/jackdawtrack/pkg/result"
)

const componentField = "part"

// SetupText configures the standard logger to write text lines of the logrus
// level to out. An unknown level returns InvalidSettings.
func SetupText(level string, out io.Writer) error {
	l, err := logrus.ParseLevel(level)
	if err != nil {
		return result.Wrap(result.InvalidSettings, err, "log level %q: use debug, info, warning or error", level)
	}
	logrus.SetLevel(l)
	logrus.SetOutput(out)
	logrus.SetFormatter(limitedFormatter{formatter{}})
	return nil
}

// ForComponent returns the logger of a component. SetupText prefixes its
// messages with the component in brackets.
func ForComponent(component string) *logrus.Entry {
	return logrus.WithField(componentField, component)
}

type formatter struct{}

// Format implements logrus.Formatter. A line holds time, level, component,
// message and the fields sorted by name.
func (formatter) Format(e *logrus.Entry) ([]byte, error) {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %-7s ", e.Time.UTC().Format("2006-01-02T15:04:05.000Z"), e.Level)
	if component, ok := e.Data[componentField]; ok {
		fmt.Fprintf(&b, "[%v] ", component)
	}
	b.WriteString(e.Message)
	names := make([]string, 0, len(e.Data))
	for name := range e.Data {
		if name != componentField {
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
