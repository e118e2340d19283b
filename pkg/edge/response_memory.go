package edge

import (
	"errors"
	"io"
	"sync"
)

const (
	// answerShare is the part of the host's memory that plain answers may take
	// which are held until they are whole, and defaultAnswers stands for it on
	// a host that does not know its memory, in bytes.
	answerShare    = 8
	defaultAnswers = 64 << 20
	// largestShare is the part of that memory for one answer: several large ones
	// fit beside each other.
	largestShare = 4
	// answerStep is how much memory an answer asks for at a time. The first step
	// is free, so that ordinary answers pass while large ones use up the memory.
	answerStep = 64 << 10
	// maxEventBytes bounds one event of a stream. Events have a few hundred bytes.
	maxEventBytes = 64 << 10
)

// Reasons for which an answer is given up.
var (
	errAnswerTooLong = errors.New("the answer is longer than this host holds")
	errEventTooLong  = errors.New("an event of the stream does not end")
	errAnswerMemory  = errors.New("the memory for answers is used up")
)

// answerMemory bounds the memory of all answers that are held.
type answerMemory struct {
	mu   sync.Mutex
	free int
	most int // of one answer
}

func newAnswerMemory(hostBytes int64) *answerMemory {
	all := defaultAnswers
	if hostBytes > 0 {
		all = int(hostBytes / answerShare)
	}
	return &answerMemory{free: all, most: all / largestShare}
}

func (m *answerMemory) take(n int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if n > m.free {
		return false
	}
	m.free -= n
	return true
}

func (m *answerMemory) give(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.free += n
}

// read reads a whole answer. The caller calls done when it needs the bytes no
// more, also after an error.
func (m *answerMemory) read(r io.Reader) (body []byte, done func(), err error) {
	taken := 0
	done = func() { m.give(taken) }
	body = make([]byte, 0, copyBytes)
	for {
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, done, nil
		}
		if err != nil {
			return nil, done, err
		}
		if len(body) < cap(body) {
			continue
		}
		more := len(body) // appending doubles the memory
		switch {
		case len(body) >= m.most:
			return nil, done, errAnswerTooLong
		case len(body) < answerStep:
		case !m.take(more):
			return nil, done, errAnswerMemory
		default:
			taken += more
		}
		grown := make([]byte, len(body), len(body)+more)
		copy(grown, body)
		body = grown
	}
}
