package logging

import (
	"bytes"
	"strings"
	"testing"

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
