package callers

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// limitedConn returns both ends of a connection whose host has a write limit. The caller's
// kernel takes few bytes that it does not read.
func limitedConn(t *testing.T, limit time.Duration) (caller *net.TCPConn, host *callerConn) {
	s := NewConnTracker(0, 0, metrics.NewRegistry())
	s.LimitWrites(limit)
	l, err := Listen(t.Context(), "127.0.0.1:0")
	assert.NilError(t, err)
	tracked := s.Listener(l)
	defer tracked.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	caller = c.(*net.TCPConn)
	assert.NilError(t, caller.SetReadBuffer(64<<10))
	accepted, err := tracked.Accept()
	assert.NilError(t, err)
	host = accepted.(*callerConn)
	t.Cleanup(func() { _ = caller.Close(); _ = host.Close() })
	return caller, host
}

// Guards against a caller that stays connected, reads nothing and so holds its request and
// its response for ever.
func TestCallerThatReadsNothingIsGivenUp(t *testing.T) {
	caller, host := limitedConn(t, 100*time.Millisecond)
	ended := make(chan error, 1)
	go func() { _, err := host.Write(make([]byte, 64<<20)); ended <- err }()
	select {
	case err := <-ended:
		assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
	case <-time.After(waitLimit):
		t.Fatal("the write still waits for a caller that reads nothing")
	}
	assert.NilError(t, host.Close())
	assert.NilError(t, caller.SetReadDeadline(time.Now().Add(waitLimit)))
	_, err := io.Copy(io.Discard, caller)
	assert.ErrorIs(t, err, syscall.ECONNRESET, "the kernel of the host keeps the response")
}

// fillBuffers writes until the kernel takes no more bytes, and returns how many it took. The
// kernel says when that is: a busy host may not have run yet when a time for it has passed.
func fillBuffers(t *testing.T, host *callerConn) (filled int) {
	t.Helper()
	raw, err := host.TCPConn.SyscallConn()
	assert.NilError(t, err)
	chunk := make([]byte, 64<<10)
	assert.NilError(t, raw.Write(func(fd uintptr) bool {
		var n int
		for n, err = unix.Write(int(fd), chunk); err == nil || errors.Is(err, unix.EINTR); n, err = unix.Write(int(fd), chunk) {
			filled += max(n, 0)
		}
		return true // it is not tried again when some bytes are free
	}))
	assert.ErrorIs(t, err, unix.EAGAIN)
	return filled
}

// Guards against a caller that reads slowly, but all the time, and is cut: the kernel of the
// host takes bytes of the response less often than the limit.
func TestSlowCallerKeepsItsResponse(t *testing.T) {
	t.Parallel()
	const limit, pause = 2 * time.Second, 250 * time.Millisecond
	caller, host := limitedConn(t, limit)
	assert.NilError(t, host.SetWriteBuffer(256<<10))
	filled := fillBuffers(t, host)

	// A third of the buffer is free after one and a half limits.
	step := filled / 3 * int(pause) / int(limit*3/2)
	rest := filled / 2
	ended := make(chan error, 1)
	started := time.Now()
	go func() { _, err := host.Write(make([]byte, rest)); ended <- err }()
	read, buf := 0, make([]byte, step)
	for {
		select {
		case err := <-ended:
			assert.NilError(t, err, "the response was cut after %d of %d bytes", read, filled+rest)
			assert.Assert(t, time.Since(started) > limit, "the caller is not slow")
			assert.NilError(t, host.Close())
			last, err := io.Copy(io.Discard, caller)
			assert.NilError(t, err)
			assert.Equal(t, read+int(last), filled+rest)
			return
		case <-time.After(pause): // the pace of the caller
		}
		n, err := io.ReadFull(caller, buf)
		read += n
		assert.NilError(t, err)
	}
}

// Guards against a write limit that outlives or replaces a deadline that another package
// has set, for example the one for the end of a TLS connection.
func TestOtherWriteDeadlineReplacesTheLimit(t *testing.T) {
	_, host := limitedConn(t, waitLimit)
	assert.NilError(t, host.SetWriteDeadline(time.Now().Add(10*time.Millisecond)))
	ended := make(chan error, 1)
	go func() { _, err := host.Write(make([]byte, 64<<20)); ended <- err }()
	select {
	case err := <-ended:
		assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
	case <-time.After(waitLimit / 2):
		t.Fatal("the write does not end at its deadline")
	}
	assert.NilError(t, host.SetWriteDeadline(time.Time{}))
	assert.Assert(t, host.extendWrite(), "the limit applies again")
}
