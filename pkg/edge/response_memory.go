package edge

import (
	"errors"
	"io"
	"sync"
)

const (
	// Buffered responses may use the memory of the host divided by
	// responseMemoryDivisor, or defaultResponseMemoryBytes on a host whose memory
	// is not known.
	responseMemoryDivisor      = 8
	defaultResponseMemoryBytes = 64 << 20
	// One response may use that memory divided by maxResponseDivisor, so that
	// several large ones fit.
	maxResponseDivisor = 4
	// freeResponseBytes is the size up to which a response needs no reservation, so
	// that ordinary responses pass while large ones use up the memory.
	freeResponseBytes = 64 << 10
	// maxBlockBytes is the size of the largest blocks of a buffered response.
	maxBlockBytes = 64 << 10
	// maxEventBytes bounds one event of a stream; typical events have a few hundred
	// bytes.
	maxEventBytes = 64 << 10
)

// Errors for responses that exceed a memory bound.
var (
	errResponseTooLarge = errors.New("response exceeds the maximum size of a buffered response")
	errEventTooLarge    = errors.New("event of the stream exceeds the maximum size")
	errResponseMemory   = errors.New("memory for buffered responses is exhausted")
)

// responseMemory bounds the memory of all buffered responses.
type responseMemory struct {
	mu               sync.Mutex
	freeBytes        int
	maxResponseBytes int // of one response
}

func newResponseMemory(hostBytes int64) *responseMemory {
	total := defaultResponseMemoryBytes
	if hostBytes > 0 {
		total = int(hostBytes / responseMemoryDivisor)
	}
	return &responseMemory{freeBytes: total, maxResponseBytes: total / maxResponseDivisor}
}

// reserve takes n bytes and reports false if fewer are free.
func (m *responseMemory) reserve(n int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if n > m.freeBytes {
		return false
	}
	m.freeBytes -= n
	return true
}

// release returns n reserved bytes.
func (m *responseMemory) release(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.freeBytes += n
}

// largeBlocks holds blocks that no response uses. New ones for each response would fill
// the heap of a busy host before the garbage collector frees them.
var largeBlocks = sync.Pool{New: func() any { return new([maxBlockBytes]byte) }}

// read reads a complete response body, as a list of blocks: a buffer that grows would
// need its old and its new size at once. It fails with errResponseTooLarge,
// errResponseMemory or a read error. The caller must call releaseMemory once, also after
// an error, and must not use the body after that: other responses reuse its blocks.
func (m *responseMemory) read(r io.Reader) (body [][]byte, releaseMemory func(), err error) {
	size, reserved := 0, 0 // bytes of the full blocks, reserved bytes
	var large []*[maxBlockBytes]byte
	releaseMemory = func() {
		m.release(reserved)
		for _, b := range large {
			largeBlocks.Put(b)
		}
	}
	block := make([]byte, 0, readBufferBytes)
	for {
		n, err := r.Read(block[len(block):cap(block)])
		block = block[:len(block)+n]
		if err == io.EOF {
			return append(body, block), releaseMemory, nil
		}
		if err != nil {
			return nil, releaseMemory, err
		}
		if len(block) < cap(block) {
			continue
		}
		body, size = append(body, block), size+len(block)
		next := min(size, maxBlockBytes)
		switch {
		case size >= m.maxResponseBytes:
			return nil, releaseMemory, errResponseTooLarge
		case size < freeResponseBytes:
		case !m.reserve(next):
			return nil, releaseMemory, errResponseMemory
		default:
			reserved += next
		}
		if next < maxBlockBytes {
			block = make([]byte, 0, next)
			continue
		}
		b := largeBlocks.Get().(*[maxBlockBytes]byte)
		large, block = append(large, b), b[:0]
	}
}
