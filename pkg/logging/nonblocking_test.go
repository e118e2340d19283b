package logging

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
)

// blockedWriter blocks every write until release is closed.
type blockedWriter struct {
	release chan struct{}
	out     bytes.Buffer
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	return b.out.Write(p)
}

// Guards against a process that blocks on a slow log output, against dropped
// lines that are not counted, and against truncated lines.
func TestWriterDropsAndCountsLinesWhileOutputBlocks(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	b := NewNonBlockingWriter(out)
	const lines = 4 * maxQueuedLines
	line := strings.Repeat("x", 200) + "\n"
	for range lines {
		_, err := b.Write([]byte(line))
		assert.NilError(t, err)
	}
	dropped := b.DroppedLines()
	assert.Assert(t, dropped > 0)
	close(out.release)
	assert.NilError(t, b.Close())
	assert.Equal(t, out.out.String(), strings.Repeat(line, lines-int(dropped)))
}

// recordedWrites keeps each write by itself. Like blockedWriter it blocks until release is
// closed.
type recordedWrites struct {
	release chan struct{}
	writes  []string
}

func (r *recordedWrites) Write(p []byte) (int, error) {
	<-r.release
	r.writes = append(r.writes, string(p))
	return len(p), nil
}

// Guards against lines that are lost in bursts, when a pipe takes a long write in parts.
func TestLinesOfABurstAreWrittenInPiecesThatAPipeTakesWhole(t *testing.T) {
	const pipeBuffer = 4096 // PIPE_BUF of pipe(7)
	out := &recordedWrites{release: make(chan struct{})}
	b := NewNonBlockingWriter(out)
	var lines []string
	for i := range maxQueuedLines / 2 {
		lines = append(lines, fmt.Sprintf("%d %s\n", i, strings.Repeat("x", 200+7*i%1000)))
		_, err := b.Write([]byte(lines[i]))
		assert.NilError(t, err)
	}
	close(out.release)
	assert.NilError(t, b.Close())
	for _, w := range out.writes {
		assert.Assert(t, len(w) <= pipeBuffer, "a write of %d bytes", len(w))
		assert.Assert(t, strings.HasSuffix(w, "\n"), "a write ends within a line")
	}
	assert.Equal(t, strings.Join(out.writes, ""), strings.Join(lines, ""))
}

// Guards against dropped lines that nothing reports, because the process ends before the
// next report.
func TestDroppedLinesAreReportedAtClose(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	b := NewNonBlockingWriter(out)
	for range 2 * maxQueuedLines {
		_, err := b.Write([]byte("x\n"))
		assert.NilError(t, err)
	}
	dropped := b.DroppedLines()
	assert.Assert(t, dropped > 0)
	logrus.SetOutput(b)
	defer logrus.SetOutput(os.Stderr)
	close(out.release)
	assert.NilError(t, b.Close())
	assert.Assert(t, strings.Contains(out.out.String(), fmt.Sprintf("lines=%d", dropped)), "no line on %d dropped lines", dropped)
}
