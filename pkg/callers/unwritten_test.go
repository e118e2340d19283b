package callers

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"
)

// Guards against a refusal or the last chunk of a stream that counts as delivered although
// it could not be written: net/http writes both after the handler has returned.
func TestEndOfResponseThatCannotBeWrittenIsRecorded(t *testing.T) {
	for name, stream := range map[string]bool{"refusal": false, "last chunk": true} {
		t.Run(name, func(t *testing.T) {
			s := NewConnTracker(0, 0, metrics.NewRegistry())
			left, ended := make(chan struct{}), make(chan struct{})
			server := &http.Server{
				Handler: s.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if stream {
						_, _ = io.WriteString(w, "data: x\n\n")
						_ = http.NewResponseController(w).Flush()
					}
					close(left)
					<-r.Context().Done() // the reset has arrived
					if !stream {
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
			go func() { _ = server.Serve(s.Listener(l)) }()
			defer server.Close()
			caller, err := net.Dial("tcp", l.Addr().String())
			assert.NilError(t, err)
			_, err = io.WriteString(caller, "GET /x HTTP/1.1\r\nHost: a.example\r\n\r\n")
			assert.NilError(t, err)
			<-left
			assert.NilError(t, caller.(*net.TCPConn).SetLinger(0))
			assert.NilError(t, caller.Close())
			<-ended
			assert.DeepEqual(t, s.counts(), map[string]int64{"unwritten": 1})
		})
	}
}
