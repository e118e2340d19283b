package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/result"
)

const truthSeed = 41

// witness is a server that remembers the id of every request of which it saw
// the head, and resets each connection after a number of bytes.
type witness struct {
	addr string
	done sync.WaitGroup
	stop func()

	mu   sync.Mutex
	seen map[string]int
}

func newWitness(t *testing.T, cut func() int64) *witness {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	w := &witness{addr: l.Addr().String(), seen: make(map[string]int), stop: func() { l.Close() }}
	w.done.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			after := cut()
			w.done.Go(func() { w.serve(c, after) })
		}
	})
	return w
}

func (w *witness) serve(c net.Conn, after int64) {
	defer reset(c)
	in := bufio.NewReader(c)
	head, err := http.ReadRequest(in)
	if err != nil {
		return
	}
	w.mu.Lock()
	w.seen[head.Header.Get(HeaderRequestID)]++
	w.mu.Unlock()
	_, _ = io.CopyN(io.Discard, head.Body, after)
}

// Guards against I6 and I7: whatever moment a connection is reset or a caller
// leaves, a request that is reported as not run must never have reached the
// server, and none may reach it twice.
func TestNotRunIsTrueAtEveryMoment(t *testing.T) {
	t.Logf("seed %d", truthSeed)
	const requests = 600
	random := rand.New(rand.NewPCG(truthSeed, 0))
	var cuts sync.Mutex
	body := make([]byte, 256<<10) // more than the socket buffers take at once
	w := newWitness(t, func() int64 {
		cuts.Lock()
		defer cuts.Unlock()
		return random.Int64N(int64(len(body)))
	})
	tr := NewTransport()
	defer tr.Close()
	notRun := make(map[string]bool)
	moments := rand.New(rand.NewPCG(truthSeed, 1))
	for i := range requests {
		r := request(&fake{addr: w.addr})
		r.ID = fmt.Sprint("r-", i)
		r.Body = body
		r.Class.MayRunTwice = i%2 == 0
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(moments.Int64N(int64(700*time.Microsecond))))
		report := tr.Forward(ctx, r, &memory{})
		cancel()
		assert.Assert(t, report.Err != nil)
		executed := report.Err.Code.Executed()
		assert.Equal(t, executed == result.ExecutedNo, !report.Sent)
		if !report.Sent {
			notRun[r.ID] = true
		}
	}
	w.stop()
	tr.Close()
	w.done.Wait()
	assert.Assert(t, len(notRun) > 0 && len(w.seen) > 0, "both outcomes must occur: %d not run, %d seen", len(notRun), len(w.seen))
	for id, times := range w.seen {
		assert.Assert(t, !notRun[id], "%s reached the server and was reported as not run", id)
		assert.Equal(t, times, 1, "%s reached the server more than once", id)
	}
	t.Logf("%d requests: %d not run, %d seen by the server", requests, len(notRun), len(w.seen))
}

// Guards against a write that leaves after the refusal: the check above meets
// this moment too rarely.
func TestSealedConnectionSendsNothing(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	c := newConnTable().add("server", near)
	_, since := c.use()
	assert.Assert(t, !c.seal(since))
	_, err := c.Write([]byte("late"))
	assert.ErrorIs(t, err, errSealed)
}

// Guards against a busy connection that is closed as idle: net/http reports
// the return to its pool after another request can have taken it.
func TestLateReleaseDoesNotMakeABusyConnectionIdle(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	table := newConnTable()
	c := table.add("server", near)
	first, _ := c.use()
	_, _ = c.use()
	c.release(first)
	assert.Equal(t, table.dropIdle("server"), 0)
	second, _ := c.use()
	c.release(second)
	assert.Equal(t, table.dropIdle("server"), 1)
}
