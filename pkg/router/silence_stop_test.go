package router

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/catalog"
	"jackdawtrack.example/jackdawtrack/pkg/class"
	"jackdawtrack.example/jackdawtrack/pkg/proxy"
	"jackdawtrack.example/jackdawtrack/pkg/settings"
)

// unreadBodyBytes exceeds the buffers of a connection.
const unreadBodyBytes = 3 << 20

// Moments at which a server is silent before it sees a request.
const (
	whileReading  = "while-reading"
	unreadConn    = "unread-connection"
	unansweredSYN = "unanswered-syn"
)

// newUnreadServer returns a sound server that does not read the body of a request, does not
// read a new connection, or accepts none, each until serverSilence has passed.
func newUnreadServer(t *testing.T, moment string, silent *atomic.Int64) *rawServer {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) (err error) {
		_ = c.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 32<<10) })
		return err
	}}
	l, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &rawServer{addr: l.Addr().String()}
	ended := make(chan struct{})
	t.Cleanup(func() { _ = l.Close(); <-ended })
	if moment == unansweredSYN {
		release := refuseHandshakes(t, l.(*net.TCPListener))
		time.AfterFunc(serverSilence, release)
	}
	go func() {
		defer close(ended)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if moment == unreadConn {
					silent.Add(1)
					time.Sleep(serverSilence)
				}
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				s.count.Add(1)
				if moment == whileReading {
					silent.Add(1)
					time.Sleep(serverSilence)
				}
				n, _ := io.Copy(io.Discard, r.Body)
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", proxy.HeaderRequestID, r.Header.Get(proxy.HeaderRequestID), len(readBytes(n)), readBytes(n))
			}()
		}
	}()
	return s
}

func readBytes(n int64) string { return fmt.Sprintf("read %d bytes", n) }

// refuseHandshakes fills the queue of the listener, so the kernel answers no SYN until
// release is called.
func refuseHandshakes(t *testing.T, l *net.TCPListener) (release func()) {
	raw, err := l.SyscallConn()
	assert.NilError(t, err)
	assert.NilError(t, raw.Control(func(fd uintptr) { assert.Check(t, syscall.Listen(int(fd), 0)) }))
	var fill []net.Conn
	for range 2 {
		c, err := net.DialTimeout("tcp", l.Addr().String(), 50*time.Millisecond)
		if err != nil {
			break // the queue is full
		}
		fill = append(fill, c)
	}
	return func() {
		for _, c := range fill {
			_ = c.Close()
		}
		_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), 128) }) // fails after the test
	}
}

// announceUntilUsable announces the server with these names until the router uses them all: one
// that has just started may not own the pool yet.
func (tr *testRouter) announceUntilUsable(t *testing.T, s *rawServer, names ...string) {
	tr.waitFor(t, "usable servers", func() bool {
		usable := 0
		for _, name := range names {
			tr.announceRawServer(t, name, s, backend.Abilities{})
		}
		for _, shard := range tr.router.Status().Shards {
			for _, v := range shard.Servers {
				if v.Usable {
					usable++
				}
			}
		}
		return usable == len(names)
	})
}

// silentClasses returns classes whose requests may run twice, and once.
func silentClasses() []*apiv1.Change {
	return []*apiv1.Change{
		catalog.ClassChange(class.Class{Name: "read", Answer: 10 * time.Second, MayWait: true, MaxWait: 10 * time.Second, MayRunTwice: true, MaxDuration: 20 * time.Second}),
		catalog.ClassChange(class.Class{Name: "once", Answer: 10 * time.Second, MayWait: true, MaxWait: 10 * time.Second, MaxDuration: 20 * time.Second}),
	}
}

// Guards against requests that a planned stop of the router ends without the whole answer of
// a server that is silent for a while, at any moment, and is not in the way of the stop.
func TestStopWaitsForSilentServers(t *testing.T) {
	t.Parallel()
	s, tr := newService(t)
	tr.announce.URL = "http://" + tr.announce.Listener.Addr().String()
	s.router.startedAt = time.Time{} // long enough ago for all servers to have announced themselves
	s.router.serversHeard.Store(true)
	graceful, stop := context.WithCancel(context.Background())
	hardCtx, abort := context.WithCancel(context.Background())
	defer abort()
	defer stop()
	s.store.ApplySnapshot(2, append(configuration(), silentClasses()...))
	records := &fakeRecords{finishes: make(chan *apiv1.FinishRequest, 100), begin: func() (*apiv1.BeginResponse, error) {
		return &apiv1.BeginResponse{State: apiv1.BeginState_BEGIN_STARTED}, nil
	}}
	s.router.records = records
	ended := make(chan error, 1)
	go func() { ended <- s.Run(graceful, hardCtx) }()
	type answer struct {
		name string
		resp *http.Response
		body string
	}
	answers := make(chan answer, 100)
	var silent, requests, keyed int64
	var arrived atomic.Int64
	server := newRawServer(t, func(c net.Conn, r *http.Request) {
		answerSilently(c, r, func() { arrived.Add(1); time.Sleep(serverSilence) })
	})
	classes := []string{"read", "once", "keyed"}
	var names []string // each request at a server of its own
	for i := range len(classes) * len(silentMoments) {
		names = append(names, fmt.Sprintf("s%d", i))
	}
	tr.announceUntilUsable(t, server, names...)
	for _, class := range classes {
		for _, m := range silentMoments {
			var header []string
			name := class
			if class == "keyed" {
				keyed++
				name, header = "once", []string{proxy.HeaderIdempotencyKey, m}
			}
			requests++
			go func() {
				resp, body := tryDo(tr.request(t, http.MethodPost, "/services/p/"+m, name, "{}", header...))
				answers <- answer{class + " " + m, resp, body}
			}()
		}
	}
	silent = requests
	tr.waitFor(t, "silent servers", func() bool { return arrived.Load() == silent })
	stop()
	for range requests {
		a := <-answers
		if a.resp == nil || a.resp.StatusCode != http.StatusOK || a.body != silentBody && a.body != silentStream {
			t.Errorf("%s: no whole answer: %v, %q", a.name, a.resp, a.body)
		}
	}
	assert.NilError(t, <-ended)
	assert.Equal(t, server.count.Load(), requests)
	assert.Equal(t, int64(len(records.finishes)), keyed, "ends of keyed requests that were recorded")
	for range keyed {
		f := <-records.finishes
		assert.Check(t, !f.Unknown && len(f.Answer.Body) > 0, "a keyed request was recorded without its answer")
	}
}

// Guards against requests that end without an answer because their server does not read or
// accept for a while, with and without a planned stop: what is refused has not run.
func TestRequestsAtServersThatDoNotReadEnd(t *testing.T) {
	t.Parallel()
	for _, stops := range []bool{false, true} {
		for _, moment := range []string{whileReading, unreadConn, unansweredSYN} {
			for _, kind := range []string{"read", "once", "keyed"} {
				t.Run(fmt.Sprintf("%s, %s, stop %v", moment, kind, stops), func(t *testing.T) {
					t.Parallel()
					endAtUnreadServer(t, moment, kind, stops)
				})
			}
		}
	}
}

func endAtUnreadServer(t *testing.T, moment, kind string, stops bool) {
	s, tr := newService(t, func(c *Config) { c.Drain.Longest = settings.Duration(30 * time.Second) })
	tr.announce.URL = "http://" + tr.announce.Listener.Addr().String()
	s.router.startedAt = time.Time{} // long enough ago for all servers to have announced themselves
	s.router.serversHeard.Store(true)
	graceful, stop := context.WithCancel(context.Background())
	hardCtx, abort := context.WithCancel(context.Background())
	defer abort()
	s.store.ApplySnapshot(2, append(configuration(), silentClasses()...))
	records := &fakeRecords{finishes: make(chan *apiv1.FinishRequest, 1), begin: func() (*apiv1.BeginResponse, error) {
		return &apiv1.BeginResponse{State: apiv1.BeginState_BEGIN_STARTED}, nil
	}}
	records.aborts.Store(1) // none fails
	s.router.records = records
	ended := make(chan error, 1)
	go func() { ended <- s.Run(graceful, hardCtx) }()
	var silent atomic.Int64
	server := newUnreadServer(t, moment, &silent)
	tr.announceUntilUsable(t, server, "s1")
	class, header := kind, []string(nil)
	if kind == "keyed" {
		class, header = "once", []string{proxy.HeaderIdempotencyKey, "k1"}
	}
	var resp *http.Response
	var body string
	done := make(chan struct{})
	go func() {
		defer close(done)
		resp, body = tryDo(tr.request(t, http.MethodPost, "/services/p/x", class, strings.Repeat("b", unreadBodyBytes), header...))
	}()
	tr.waitFor(t, "a silent server", func() bool {
		select {
		case <-done:
			return true
		default:
			return silent.Load() > 0 || moment == unansweredSYN && s.router.openRequests.Load() > 0
		}
	})
	if stops {
		stop()
	}
	<-done
	switch {
	case resp == nil:
		t.Errorf("no answer: %s", body)
	case resp.StatusCode == http.StatusOK:
		assert.Equal(t, body, readBytes(unreadBodyBytes))
		assert.Equal(t, server.count.Load(), int64(1))
	case resp.StatusCode == http.StatusServiceUnavailable:
		assert.Equal(t, server.count.Load(), int64(0), "refused, and it has run: %s", body)
		assert.Check(t, moment == unansweredSYN, "refused at a server that accepts: %s", body)
	default:
		t.Errorf("status %d: %s", resp.StatusCode, body)
	}
	stop()
	assert.NilError(t, <-ended)
}
