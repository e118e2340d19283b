package logging

import (
	"bufio"
	"io"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// boundedLines is the number of lines that wait for a slow output: about
	// 1 MB.
	boundedLines = 2048
	// flushBytes is the size of one write to the output.
	flushBytes = 16 << 10
	// droppedInterval is how often the number of dropped lines is logged.
	droppedInterval = 5 * time.Second
)

// Bounded is a writer that never blocks: lines that the output does not take
// in time are dropped and counted.
type Bounded struct {
	lines   chan []byte
	dropped atomic.Int64
	stop    chan struct{}
	done    chan struct{}
}

// NewBounded returns a writer in front of out. Close flushes it.
func NewBounded(out io.Writer) *Bounded {
	b := &Bounded{lines: make(chan []byte, boundedLines), stop: make(chan struct{}), done: make(chan struct{})}
	go b.run(bufio.NewWriterSize(out, flushBytes))
	return b
}

// Write implements io.Writer for one whole line.
func (b *Bounded) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case b.lines <- line:
	default:
		b.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of dropped lines that was not logged yet.
func (b *Bounded) Dropped() int64 { return b.dropped.Load() }

// Close writes what waits. Later lines are dropped.
func (b *Bounded) Close() error {
	close(b.stop)
	<-b.done
	return nil
}

func (b *Bounded) run(out *bufio.Writer) {
	defer close(b.done)
	ticker := time.NewTicker(droppedInterval)
	defer ticker.Stop()
	for {
		if len(b.lines) == 0 {
			_ = out.Flush() // nothing can be logged about a log that fails
		}
		select {
		case line := <-b.lines:
			if out.Available() < len(line) {
				_ = out.Flush() // whole lines only in one write
			}
			_, _ = out.Write(line)
		case <-ticker.C:
			if n := b.dropped.Swap(0); n > 0 {
				logrus.WithField("lines", n).Warn("log lines were dropped")
			}
		case <-b.stop:
			for len(b.lines) > 0 {
				_, _ = out.Write(<-b.lines)
			}
			_ = out.Flush()
			return
		}
	}
}

// SetupStructured makes the standard logger write JSON lines to out.
func SetupStructured(level logrus.Level, out io.Writer) {
	logrus.SetLevel(level)
	logrus.SetOutput(out)
	logrus.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
}
