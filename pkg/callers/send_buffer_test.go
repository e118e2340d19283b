package callers

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"
)

// answerBytes is more than the kernel takes for a caller that reads nothing unless the send
// buffer grows, and less than each kernel allows.
const answerBytes = 256 << 10

// slowCaller opens a connection whose kernel takes few bytes that are not read.
func slowCaller(t *testing.T, address string) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	assert.NilError(t, c.(*net.TCPConn).SetReadBuffer(16<<10))
	assert.NilError(t, c.SetDeadline(time.Now().Add(waitLimit)))
	return c.(*net.TCPConn)
}

// Guards against callers that read slowly and lose the end of an answer when the process
// ends: what the host still holds then is dropped. With TLS too.
func TestSlowCallerGetsAnswerOfEndedProcess(t *testing.T) {
	for _, encrypted := range []bool{false, true} {
		t.Run(fmt.Sprintf("TLS=%v", encrypted), func(t *testing.T) {
			const slow = 5
			s := NewConnTracker(0, 64, metrics.NewRegistry())
			l, err := Listen(t.Context(), "127.0.0.1:0")
			assert.NilError(t, err)
			returned := make(chan error, slow)
			server := httptest.NewUnstartedServer(s.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, err := w.Write(make([]byte, answerBytes))
				returned <- err
			})))
			_ = server.Listener.Close() // the default one
			server.Listener = s.Listener(l)
			server.Config.ConnState, server.Config.ConnContext = s.OnStateChange, s.ContextWithConn
			start := server.Start
			if encrypted {
				start = server.StartTLS
			}
			start()
			defer server.Close()
			var conns []net.Conn
			for range slow {
				var c net.Conn = slowCaller(t, l.Addr().String())
				if encrypted {
					c = tls.Client(c, &tls.Config{InsecureSkipVerify: true})
				}
				_, err := fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
				assert.NilError(t, err)
				conns = append(conns, c)
			}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go s.GrowSendBuffers(ctx)
			for range slow {
				select {
				case err := <-returned:
					assert.NilError(t, err)
				case <-time.After(waitLimit):
					t.Fatal("the answer is not in the kernel")
				}
			}
			cancel()
			assert.NilError(t, s.WaitClosed(t.Context(), 0))
			assert.NilError(t, server.Config.Close())
			read := make(chan error, slow)
			for _, c := range conns {
				go func() {
					n, err := io.Copy(io.Discard, c)
					if err == nil && n <= answerBytes {
						err = fmt.Errorf("%d bytes", n)
					}
					read <- err
				}()
			}
			for range slow {
				assert.NilError(t, <-read)
			}
		})
	}
}

// Guards against callers that read nothing and use up the memory of a host that stops, and
// against buffers that grow although nothing waits for them.
func TestSendBuffersAreBounded(t *testing.T) {
	const memory = 1 << 20
	s := NewConnTracker(0, 0, metrics.NewRegistry())
	s.sendMemory = memory
	l, err := Listen(t.Context(), "127.0.0.1:0")
	assert.NilError(t, err)
	tracked := s.Listener(l)
	defer tracked.Close()
	g := &bufferGrowth{left: memory, sizes: map[*callerConn]int{}}
	var hosts []*callerConn
	for range 20 {
		slowCaller(t, l.Addr().String())
		accepted, err := tracked.Accept()
		assert.NilError(t, err)
		s.OnStateChange(accepted, http.StateActive)
		s.open[accepted] = true
		hosts = append(hosts, accepted.(*callerConn))
		t.Cleanup(func() { _ = accepted.Close() })
	}
	assert.Equal(t, len(s.blockedConns()), 0)
	for _, h := range hosts {
		go func() { _, _ = h.Write(make([]byte, 2*maxSendBuffer)) }()
	}
	for deadline := time.Now().Add(waitLimit); len(s.blockedConns()) < len(hosts); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "%d writes are blocked", len(s.blockedConns()))
	}
	for range 20 {
		for _, c := range s.blockedConns() {
			g.grow(c)
		}
	}
	total := 0
	for _, size := range g.sizes {
		total += size
	}
	assert.Assert(t, g.left >= 0 && g.left < memory, "%d bytes are left", g.left)
	assert.Assert(t, total <= memory+len(hosts)*kernelBufferBytes, "%d bytes", total)
	assert.Assert(t, g.refused == len(hosts), "%d of %d are at their bound", g.refused, len(hosts))
}
