package logging

import (
	"bufio"
	"io"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// maxQueuedLines limits the lines queued for a slow output, about 1 MB.
	maxQueuedLines = 2048
	// maxLineBytes bounds a line. It is PIPE_BUF, the longest write that a pipe takes in one
	// piece: of longer ones, lines were mixed with those of other processes and lost.
	maxLineBytes = 4 << 10
	// writeBufferBytes is the size of the buffer in front of the output.
	writeBufferBytes = maxLineBytes
	// dropReportInterval is how often the number of dropped lines is logged.
	dropReportInterval = 5 * time.Second
)

// NonBlockingWriter is a non-blocking writer with a bounded queue. Lines that
// arrive while the queue is full are dropped and counted.
type NonBlockingWriter struct {
	queue   chan []byte
	dropped atomic.Int64
	stop    chan struct{}
	done    chan struct{}
}

// NewNonBlockingWriter starts a writer that forwards lines to out until it is
// closed.
func NewNonBlockingWriter(out io.Writer) *NonBlockingWriter {
	b := &NonBlockingWriter{queue: make(chan []byte, maxQueuedLines), stop: make(chan struct{}), done: make(chan struct{})}
	go b.run(bufio.NewWriterSize(out, writeBufferBytes))
	return b
}

// Write queues one complete line or drops it. It never blocks and never fails.
func (b *NonBlockingWriter) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case b.queue <- line:
	default:
		b.dropped.Add(1)
	}
	return len(p), nil
}

// DroppedLines returns the number of dropped lines that has not been logged yet.
func (b *NonBlockingWriter) DroppedLines() int64 { return b.dropped.Load() }

// Close writes the queued lines and stops the writer. Lines written later are
// lost.
func (b *NonBlockingWriter) Close() error {
	close(b.stop)
	<-b.done
	return nil
}

func (b *NonBlockingWriter) run(out *bufio.Writer) {
	defer close(b.done)
	ticker := time.NewTicker(dropReportInterval)
	defer ticker.Stop()
	for {
		if len(b.queue) == 0 {
			_ = out.Flush() // a failure of the log output cannot be logged
		}
		select {
		case line := <-b.queue:
			writeLine(out, line)
		case <-ticker.C:
			b.reportDropped()
		case <-b.stop:
			b.writeQueued(out)
			b.reportDropped() // the queue has room for it now
			b.writeQueued(out)
			_ = out.Flush()
			return
		}
	}
}

// reportDropped logs how many lines were dropped since the last report.
func (b *NonBlockingWriter) reportDropped() {
	if n := b.dropped.Swap(0); n > 0 {
		logrus.WithField("lines", n).Warn("log lines were dropped")
	}
}

func (b *NonBlockingWriter) writeQueued(out *bufio.Writer) {
	for len(b.queue) > 0 {
		writeLine(out, <-b.queue)
	}
}

// writeLine writes a line without splitting it over two writes. A failure of the log output
// cannot be logged.
func writeLine(out *bufio.Writer, line []byte) {
	if out.Available() < len(line) {
		_ = out.Flush()
	}
	_, _ = out.Write(line)
}

// SetupJSON configures the standard logger to write JSON lines to out.
func SetupJSON(level logrus.Level, out io.Writer) {
	logrus.SetLevel(level)
	logrus.SetOutput(out)
	logrus.SetFormatter(limitedFormatter{&logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000Z07:00"}})
}
