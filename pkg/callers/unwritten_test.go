package callers

import (
	"crypto/tls"
	"crypto/x509"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"
)

// Guards against a refusal or the last chunk of a stream that counts as delivered although
// it could not be written: net/http writes both after the handler has returned.
func TestEndOfResponseThatCannotBeWrittenIsRecorded(t *testing.T) {
	for name, c := range map[string]struct{ stream, encrypted bool }{
		"refusal": {false, false}, "last chunk": {true, false}, "refusal with TLS": {false, true}, "last chunk with TLS": {true, true},
	} {
		t.Run(name, func(t *testing.T) {
			s := NewConnTracker(0, 0, metrics.NewRegistry())
			left, ended := make(chan struct{}), make(chan struct{})
			server := &http.Server{
				Handler: s.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if c.stream {
						_, _ = io.WriteString(w, "data: x\n\n")
						_ = http.NewResponseController(w).Flush()
					}
					close(left)
					<-r.Context().Done() // the reset has arrived
					if !c.stream {
						w.WriteHeader(http.StatusServiceUnavailable)
					}
				})),
				ConnState: func(c net.Conn, state http.ConnState) {
					s.OnStateChange(c, state)
					if state == http.StateClosed {
						close(ended)
					}
				},
				ConnContext: s.ContextWithConn,
			}
			l, err := Listen(t.Context(), "127.0.0.1:0")
			assert.NilError(t, err)
			stopped := s.Listener(l)
			config, callerConfig := certificate(t)
			if c.encrypted {
				stopped = tls.NewListener(stopped, config)
			}
			go func() { _ = server.Serve(stopped) }()
			defer server.Close()
			transport, err := net.Dial("tcp", l.Addr().String())
			assert.NilError(t, err)
			caller := transport
			if c.encrypted {
				caller = tls.Client(transport, callerConfig)
			}
			_, err = io.WriteString(caller, "GET /x HTTP/1.1\r\nHost: a.example\r\n\r\n")
			assert.NilError(t, err)
			<-left
			assert.NilError(t, transport.(*net.TCPConn).SetLinger(0))
			assert.NilError(t, transport.Close())
			<-ended
			assert.DeepEqual(t, s.counts(), map[string]int64{"unwritten": 1})
		})
	}
}

// certificate returns the TLS settings of a server and of its callers.
func certificate(t *testing.T) (server, caller *tls.Config) {
	s := httptest.NewTLSServer(nil)
	t.Cleanup(s.Close)
	roots := x509.NewCertPool()
	roots.AddCert(s.Certificate())
	return &tls.Config{Certificates: s.TLS.Certificates}, &tls.Config{RootCAs: roots, ServerName: "example.com"}
}

// Guards against a complete response that counts as cut because its caller has left when TLS
// says that the connection is closed.
func TestEndOfTLSThatCannotBeWrittenIsNotRecorded(t *testing.T) {
	s := NewConnTracker(0, 0, metrics.NewRegistry())
	l, err := Listen(t.Context(), "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	caller, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	accepted, err := s.Listener(l).Accept()
	assert.NilError(t, err)
	tracked := accepted.(*callerConn)
	config, callerConfig := certificate(t)
	encrypted := tls.Server(tracked, config)
	s.OnStateChange(encrypted, http.StateNew)
	client := tls.Client(caller, callerConfig)
	handshake := make(chan error, 1)
	go func() { handshake <- client.Handshake() }()
	assert.NilError(t, encrypted.Handshake())
	assert.NilError(t, <-handshake)
	s.OnStateChange(encrypted, http.StateActive)
	tracked.setHandled()
	tracked.setReturned()
	assert.NilError(t, caller.(*net.TCPConn).SetLinger(0))
	assert.NilError(t, caller.Close())
	waitFor(t, "the reset", func() bool {
		_ = encrypted.SetReadDeadline(time.Now().Add(waitLimit))
		_, err := encrypted.Read(make([]byte, 1))
		return err != nil
	})
	assert.Assert(t, encrypted.CloseWrite() != nil, "the end of TLS could be written")
	_ = encrypted.Close() // the same error
	s.OnStateChange(encrypted, http.StateClosed)
	assert.DeepEqual(t, s.counts(), map[string]int64{})
}
