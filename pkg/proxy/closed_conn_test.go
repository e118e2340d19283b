package proxy

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// lateReader is a connection whose reader gets the end of the connection only after
// the next write, as on a busy host.
type lateReader struct {
	*net.TCPConn
	ended   chan<- struct{} // gets a value when the server has closed the connection
	atEnd   atomic.Bool
	once    sync.Once
	release chan struct{}
}

func (c *lateReader) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if err != nil {
		c.atEnd.Store(true)
		c.ended <- struct{}{}
		<-c.release
	}
	return n, err
}

func (c *lateReader) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	if c.atEnd.Load() {
		c.once.Do(func() { close(c.release) })
	}
	return n, err
}

func (c *lateReader) Close() error {
	c.once.Do(func() { close(c.release) })
	return c.TCPConn.Close()
}

// Guards against a request that is lost because it is sent on an idle connection that
// its server has closed, which the reader of the connection has not seen yet.
func TestRequestIsNotSentOnClosedIdleConnection(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(net.Conn)
		idle int
	}{
		{"closed", func(c net.Conn) { _ = c.Close() }, 1},
		{"reset", resetConn, 1},
		{"all idle connections closed", func(c net.Conn) { _ = c.Close() }, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			var arrived sync.WaitGroup
			arrived.Add(c.idle)
			closeConns, ended := make(chan struct{}), make(chan struct{}, c.idle+1)
			f := newFakeServer(t, func(conn net.Conn, _ *http.Request, n int64) {
				if n > int64(c.idle) {
					writeString(conn, plainHead+"0123456789")
					return
				}
				arrived.Done()
				arrived.Wait() // each request gets a connection of its own
				writeString(conn, plainHead+"0123456789")
				<-closeConns
				c.end(conn)
			})
			tr := NewTransport()
			defer tr.Close()
			dial := tr.pooled.DialContext
			tr.pooled.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
				conn, err := dial(ctx, network, addr)
				if err == nil {
					tracked := conn.(*trackedConn)
					tracked.Conn = &lateReader{TCPConn: tracked.Conn.(*net.TCPConn), ended: ended, release: make(chan struct{})}
				}
				return conn, err
			}
			send := func() error {
				req, err := http.NewRequest(http.MethodPost, "http://"+f.addr, nil)
				if err != nil {
					return err
				}
				resp, sent, err := tr.SendRequest(t.Context(), req, nil, []byte("{}"))
				if err != nil {
					return fmt.Errorf("sent %v: %w", sent(), err)
				}
				defer resp.Body.Close()
				_, err = io.Copy(io.Discard, resp.Body)
				return err
			}
			var sending sync.WaitGroup
			for range c.idle {
				sending.Go(func() {
					if err := send(); err != nil {
						t.Error(err)
					}
				})
			}
			sending.Wait()
			close(closeConns)
			for range c.idle {
				<-ended
			}
			assert.NilError(t, send())
			assert.Equal(t, f.requests.Load(), int64(c.idle+1))
			assert.Equal(t, f.accepted.Load(), int64(c.idle+1))
		})
	}
}
