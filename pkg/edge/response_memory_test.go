package edge

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
)

// endless is a body that never ends.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

// Guards against bodies without end that use up the memory of a host: 500 at
// once on the smallest host of the platform.
func TestAnswersWithoutEndAreBounded(t *testing.T) {
	const hostBytes, answers = 280 << 20, 500
	m := newAnswerMemory(hostBytes)
	free, held := m.free, 0
	var done []func()
	for range answers {
		body, give, err := m.read(endless{})
		assert.Assert(t, errors.Is(err, errAnswerTooLong) || errors.Is(err, errAnswerMemory), "%v", err)
		assert.Equal(t, len(body), 0)
		done = append(done, give)
		held = max(held, free-m.free)
	}
	assert.Assert(t, held <= hostBytes/answerShare)
	body, give, err := m.read(bytes.NewReader(make([]byte, answerStep/2)))
	assert.NilError(t, err, "ordinary answers pass while the memory is used up")
	assert.Equal(t, len(body), answerStep/2)
	for _, f := range append(done, give) {
		f()
	}
	assert.Equal(t, m.free, free)
}

// Guards against answers that are cut or changed on their way through the
// buffer, whatever their size and pieces.
func TestAnswersAreReadWhole(t *testing.T) {
	m := newAnswerMemory(0)
	for _, size := range []int{0, 1, copyBytes, copyBytes + 1, answerStep, 1 << 20, 10 << 20} {
		want := make([]byte, size)
		for i := range want {
			want[i] = byte(i * 7)
		}
		for _, r := range []io.Reader{bytes.NewReader(want), iotest.HalfReader(bytes.NewReader(want)), iotest.DataErrReader(bytes.NewReader(want))} {
			got, done, err := m.read(r)
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(got, want), "%d bytes", size)
			done()
		}
	}
	assert.Equal(t, m.free, defaultAnswers)
}
