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

// read reads a complete response body. It fails with errResponseTooLarge,
// errResponseMemory or a read error. The caller must call releaseMemory when it no
// longer needs the body, also after an error.
func (m *responseMemory) read(r io.Reader) (body []byte, releaseMemory func(), err error) {
	reserved := 0
	releaseMemory = func() { m.release(reserved) }
	body = make([]byte, 0, readBufferBytes)
	for {
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, releaseMemory, nil
		}
		if err != nil {
			return nil, releaseMemory, err
		}
		if len(body) < cap(body) {
			continue
		}
		additional := len(body) // the buffer doubles
		switch {
		case len(body) >= m.maxResponseBytes:
			return nil, releaseMemory, errResponseTooLarge
		case len(body) < freeResponseBytes:
		case !m.reserve(additional):
			return nil, releaseMemory, errResponseMemory
		default:
			reserved += additional
		}
		grown := make([]byte, len(body), len(body)+additional)
		copy(grown, body)
		body = grown
	}
}
