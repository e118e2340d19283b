package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/netpeek"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

const (
	uploadBytes  = 3 << 20
	readOfUpload = 2000 // bytes of the upload that a server reads before it answers early
	partOfBody   = "a part of a response"
)

// serveRaw calls handle with each connection to a new server and the reader of its first
// request, and closes the connection after it.
func serveRaw(t *testing.T, handle func(c *net.TCPConn, in *bufio.Reader)) *fakeServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				handle(c.(*net.TCPConn), bufio.NewReader(c))
			}()
		}
	}()
	return &fakeServer{addr: l.Addr().String()}
}

// takeSocketError reads the error of the socket, as the write of a request or a look at the
// connection may do before the response is read.
func takeSocketError(t *testing.T, c net.Conn) {
	raw, err := c.(syscall.Conn).SyscallConn()
	assert.NilError(t, err)
	assert.NilError(t, raw.Control(func(fd uintptr) {
		_, err = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR)
	}))
	assert.NilError(t, err)
}

// errorTaker is a Sink that waits, before it takes the body, until the server has reset the
// connection, and takes the error of the socket.
type errorTaker struct {
	recordingSink
	t         *testing.T
	transport *Transport
	first     bool // of the part of the body that arrives
}

func (s *errorTaker) Write(p []byte) (int, error) {
	if !s.first {
		s.first = true
		awaitReset(s.t, s.transport)
	}
	return s.recordingSink.Write(p)
}

// awaitReset waits until the only connection of the transport is reset, and takes its error.
func awaitReset(t *testing.T, tr *Transport) {
	for limit := time.Now().Add(testTimeout); time.Now().Before(limit); time.Sleep(time.Millisecond) {
		tr.conns.mu.Lock()
		for _, conns := range tr.conns.conns {
			for c := range conns {
				if state, err := netpeek.Transfer(c.Conn); err == nil && state.Reset {
					takeSocketError(t, c.Conn)
					tr.conns.mu.Unlock()
					return
				}
			}
		}
		empty := len(tr.conns.conns) == 0
		tr.conns.mu.Unlock()
		if empty { // the write of the request has found the reset and closed the connection
			return
		}
	}
	t.Error("the connection was not reset")
}

// Guards against a part of a response that counts as whole, because another call has taken the
// error of a connection that was reset and the read after it met an end of file.
func TestResetResponseIsNotWhole(t *testing.T) {
	for _, c := range []struct{ name, header, body string }{
		{"body", "", partOfBody},
		{"stream", "Content-Type: text/event-stream\r\n", "data: one\n\n"},
	} {
		for _, upload := range []int{100, uploadBytes} {
			t.Run(fmt.Sprintf("%s, %d bytes", c.name, upload), func(t *testing.T) {
				f := serveRaw(t, func(conn *net.TCPConn, in *bufio.Reader) {
					_, _ = io.CopyN(io.Discard, in, 10)
					writeString(conn, okHead+c.header+"\r\n"+c.body)
					_ = conn.SetLinger(0)
				})
				tr := NewTransport()
				defer tr.Close()
				r := newRequest(f)
				r.Body = []byte(strings.Repeat("x", upload))
				sink := &errorTaker{t: t, transport: tr}
				report := tr.Forward(t.Context(), r, sink)
				assert.Assert(t, report.Err != nil && report.Err.Code.Executed() != result.ExecutedNo, "%d bytes count as a whole response: %v", sink.Len(), report.Err)

				body, err := readResponse(t, tr, f, upload, func() { awaitReset(t, tr) })
				assert.Assert(t, err != nil, "%q counts as a whole response", body)
			})
		}
	}
}

// readResponse sends an upload with SendRequest, calls before once the head has arrived and
// reads the body.
func readResponse(t *testing.T, tr *Transport, f *fakeServer, upload int, before func()) (string, error) {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	target, refusal := ServerURL(f.addr, "/upload")
	assert.Assert(t, refusal == nil)
	req := &http.Request{Method: http.MethodPost, Host: f.addr, URL: target, Header: http.Header{}, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1}
	resp, _, err := tr.SendRequest(ctx, req, nil, []byte(strings.Repeat("x", upload)))
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	before()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// Guards against an early response that ends with an ordinary close of a server which has not
// read the upload: its kernel resets the connection, some time after the end of file.
func TestResponseOfServerThatLeavesUploadIsNotWhole(t *testing.T) {
	for _, upload := range []int{300 << 10, uploadBytes} {
		for n := range 100 {
			f := serveRaw(t, func(conn *net.TCPConn, in *bufio.Reader) {
				_, _ = io.CopyN(io.Discard, in, readOfUpload)
				writeString(conn, okHead+"\r\n"+partOfBody)
				if n%2 == 0 {
					_ = conn.SetLinger(0)
				}
			})
			tr := NewTransport()
			body, err := readResponse(t, tr, f, upload, func() {})
			tr.Close()
			assert.Assert(t, err != nil, "play %d: %q counts as a whole response", n, body)
		}
	}
}

// Guards against whole responses that are taken for cut ones: of servers that read the upload
// first, that answer early and read the rest, and that have ended their side before it.
func TestWholeUnframedResponsesAreAccepted(t *testing.T) {
	for _, c := range []struct {
		name   string
		handle func(conn *net.TCPConn, in *bufio.Reader)
	}{
		{"read first", func(conn *net.TCPConn, in *bufio.Reader) {
			r, err := http.ReadRequest(in)
			assert.Check(t, err == nil)
			_, _ = io.Copy(io.Discard, r.Body)
			writeString(conn, okHead+"\r\n"+partOfBody)
		}},
		{"early, closed after the rest", func(conn *net.TCPConn, in *bufio.Reader) {
			r, err := http.ReadRequest(in)
			assert.Check(t, err == nil)
			writeString(conn, okHead+"\r\n"+partOfBody)
			time.Sleep(20 * time.Millisecond)
			_, _ = io.Copy(io.Discard, r.Body)
		}},
		{"early, ended before the rest", func(conn *net.TCPConn, in *bufio.Reader) {
			r, err := http.ReadRequest(in)
			assert.Check(t, err == nil)
			writeString(conn, okHead+"\r\n"+partOfBody)
			_ = conn.CloseWrite()
			time.Sleep(100 * time.Millisecond) // longer than net/http waits for the write of the request
			_, _ = io.Copy(io.Discard, r.Body)
		}},
	} {
		for _, upload := range []int{0, 100, uploadBytes} {
			t.Run(fmt.Sprintf("%s, %d bytes", c.name, upload), func(t *testing.T) {
				for range 10 {
					f := serveRaw(t, c.handle)
					tr := NewTransport()
					body, err := readResponse(t, tr, f, upload, func() {})
					assert.NilError(t, err)
					assert.Equal(t, body, partOfBody)
					r := newRequest(f)
					r.Body = []byte(strings.Repeat("x", upload))
					sink := &recordingSink{}
					report := tr.Forward(t.Context(), r, sink)
					assert.Assert(t, report.Err == nil && sink.String() == partOfBody, "%v %q", report.Err, sink.String())
					tr.Close()
				}
			})
		}
	}
}

// Guards against a server that ends its response and never reads the rest of the upload: the
// wait for it ends with the request.
func TestEndOfResponseIsAwaitedWithinTheRequest(t *testing.T) {
	hold := make(chan struct{})
	defer close(hold)
	f := serveRaw(t, func(conn *net.TCPConn, in *bufio.Reader) {
		_, _ = io.CopyN(io.Discard, in, 10)
		writeString(conn, okHead+"\r\n"+partOfBody)
		_ = conn.CloseWrite()
		<-hold
	})
	tr := NewTransport()
	defer tr.Close()
	r := newRequest(f)
	r.Body = []byte(strings.Repeat("x", 2*uploadBytes))
	r.Class.ProgressTimeout = 200 * time.Millisecond
	report := tr.Forward(t.Context(), r, &recordingSink{})
	assert.Assert(t, report.Err != nil)
}
