package logging

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// blocked is an output that takes nothing until it is released.
type blocked struct {
	release chan struct{}
	out     bytes.Buffer
}

func (b *blocked) Write(p []byte) (int, error) {
	<-b.release
	return b.out.Write(p)
}

// Guards against a process that waits for its log, against dropped lines that
// nobody counts, and against lines that are cut.
func TestBoundedDropsAndCounts(t *testing.T) {
	out := &blocked{release: make(chan struct{})}
	b := NewBounded(out)
	const lines = 4 * boundedLines
	line := strings.Repeat("x", 200) + "\n"
	for range lines {
		_, err := b.Write([]byte(line))
		assert.NilError(t, err)
	}
	dropped := b.Dropped()
	assert.Assert(t, dropped > 0)
	close(out.release)
	assert.NilError(t, b.Close())
	assert.Equal(t, out.out.String(), strings.Repeat(line, lines-int(dropped)))
}
