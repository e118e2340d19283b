package logging

import (
	"encoding/json"
	"io"
	"os"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
)

// Guards against a line that is lost because it is longer than what a pipe takes in one
// piece, for example one with the stack of a panic.
func TestLongLineIsWrittenInOnePiece(t *testing.T) {
	const pipeBuffer = 4096 // PIPE_BUF of pipe(7)
	long := strings.Repeat("at line\n\t\"é\"", 1000)
	parts := make([]string, 700)
	for i := range parts {
		parts[i] = "part"
	}
	for name, c := range map[string]struct {
		message string
		fields  logrus.Fields
	}{
		"one long field":          {"panicked", logrus.Fields{"id": "a1", "stack": long}},
		"several long fields":     {"panicked", logrus.Fields{"id": "a1", "stack": long, "cause": long[:5000], "parts": parts}},
		"a long message":          {long, logrus.Fields{"id": "a1"}},
		"long with each escaped":  {"panicked", logrus.Fields{"id": "a1", "stack": strings.Repeat("\x01", 9000)}},
		"as long as a pipe takes": {"panicked", logrus.Fields{"id": "a1", "stack": strings.Repeat("x", pipeBuffer)}},
	} {
		for format, setup := range map[string]func(io.Writer){
			"json": func(out io.Writer) { SetupJSON(logrus.InfoLevel, out) },
			"text": func(out io.Writer) { assert.NilError(t, SetupText("info", out)) },
		} {
			t.Run(name+" "+format, func(t *testing.T) {
				previous := logrus.StandardLogger().Formatter
				out := &recordedWrites{release: make(chan struct{})}
				close(out.release)
				setup(out)
				defer func() { logrus.SetOutput(os.Stderr); logrus.SetFormatter(previous) }()
				logrus.WithFields(c.fields).Error(c.message)
				assert.Equal(t, len(out.writes), 1)
				line := out.writes[0]
				assert.Assert(t, len(line) <= pipeBuffer, "a line of %d bytes", len(line))
				assert.Assert(t, strings.HasSuffix(line, "\n"))
				assert.Assert(t, strings.Contains(line, "bytes left out)"), line)
				if format == "text" {
					assert.Assert(t, strings.Contains(line, "id=a1"), line)
					return
				}
				var fields map[string]any
				assert.NilError(t, json.Unmarshal([]byte(line), &fields))
				assert.Equal(t, fields["id"], "a1")
				assert.Equal(t, fields["level"], "error")
			})
		}
	}
}
