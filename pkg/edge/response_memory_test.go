package edge

import (
	"bytes"
	"errors"
	"io"
	"runtime"
	"sync"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/dispatch"
)

// endlessReader is a response body that never ends.
type endlessReader struct{}

func (endlessReader) Read(p []byte) (int, error) { return len(p), nil }

// Guards against endless response bodies that exhaust the memory of a host: 500
// at once on the smallest host of the platform.
func TestEndlessResponsesAreBounded(t *testing.T) {
	const hostBytes, answers = 280 << 20, 500
	m := newResponseMemory(hostBytes)
	freeBytes, held := m.freeBytes, 0
	var releaseFuncs []func()
	for range answers {
		body, releaseMemory, err := m.read(endlessReader{})
		assert.Assert(t, errors.Is(err, errResponseTooLarge) || errors.Is(err, errResponseMemory), "%v", err)
		assert.Equal(t, len(body), 0)
		releaseFuncs = append(releaseFuncs, releaseMemory)
		held = max(held, freeBytes-m.freeBytes)
	}
	assert.Assert(t, held <= hostBytes/responseMemoryDivisor)
	body, releaseMemory, err := m.read(bytes.NewReader(make([]byte, freeResponseBytes/2)))
	assert.NilError(t, err, "small responses must pass while the memory is exhausted")
	assert.Equal(t, len(bytes.Join(body, nil)), freeResponseBytes/2)
	for _, f := range append(releaseFuncs, releaseMemory) {
		f()
	}
	assert.Equal(t, m.freeBytes, freeBytes)
}

// Guards against responses that are truncated or altered by the buffering,
// whatever their size and the size of the reads.
func TestResponsesAreReadCompletely(t *testing.T) {
	m := newResponseMemory(0)
	for _, size := range []int{0, 1, readBufferBytes, readBufferBytes + 1, freeResponseBytes, 1 << 20, 10 << 20} {
		want := make([]byte, size)
		for i := range want {
			want[i] = byte(i * 7)
		}
		for _, r := range []io.Reader{bytes.NewReader(want), iotest.HalfReader(bytes.NewReader(want)), iotest.DataErrReader(bytes.NewReader(want))} {
			got, done, err := m.read(r)
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(bytes.Join(got, nil), want), "%d bytes", size)
			done()
		}
	}
	assert.Equal(t, m.freeBytes, defaultResponseMemoryBytes)
}

// Guards against a buffered response that uses more memory than it reserves: a buffer that
// doubled was copied, so that the old and the new one were in use at once.
func TestBufferedResponseUsesNoMoreThanItReserves(t *testing.T) {
	m := newResponseMemory(160 << 20)
	total := m.freeBytes
	source := bytes.NewReader(make([]byte, 3<<20))
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, done, err := m.read(source)
	runtime.ReadMemStats(&after)
	assert.NilError(t, err)
	used, reserved := int(after.TotalAlloc-before.TotalAlloc), total-m.freeBytes
	const otherBytes = 64 << 10 // lists of blocks, other goroutines of the test process
	assert.Assert(t, used <= reserved+freeResponseBytes+otherBytes, "%d bytes used, %d reserved", used, reserved)
	done()
}

// Guards against responses that share a block: a caller would get bytes of another one.
func TestResponsesShareNoBlock(t *testing.T) {
	m := newResponseMemory(0)
	var readers sync.WaitGroup
	for i := range 16 {
		readers.Go(func() {
			want := bytes.Repeat([]byte{byte(i)}, 500_000)
			for range 20 {
				body, done, err := m.read(bytes.NewReader(want))
				assert.Check(t, err == nil && bytes.Equal(bytes.Join(body, nil), want), "response %d: %v", i, err)
				done()
			}
		})
	}
	readers.Wait()
	assert.Equal(t, m.freeBytes, defaultResponseMemoryBytes)
}

// Guards against operators who cannot tell which bound ended a response.
func TestBoundsOfResponsesAreCounted(t *testing.T) {
	x := newAttemptTest()
	m := x.s.metrics
	for _, c := range []struct {
		err               error
		outcome           dispatch.Outcome
		tooLarge, exhaust int64
	}{
		{io.ErrUnexpectedEOF, dispatch.ConnectionLost, 0, 0},
		{errResponseTooLarge, dispatch.InvalidResponse, 1, 0},
		{errEventTooLarge, dispatch.InvalidResponse, 2, 0},
		{errResponseMemory, dispatch.ResponseBufferFull, 2, 1},
	} {
		assert.Equal(t, x.classifyBodyError(t.Context(), attemptResult{}, c.err).outcome, c.outcome)
		assert.Equal(t, m.responsesTooLarge.Count(), c.tooLarge, "%v", c.err)
		assert.Equal(t, m.responseMemoryFull.Count(), c.exhaust, "%v", c.err)
	}
}
