package router

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/proxy"
)

// Guards against a response that is cut after its begin without a record, or that looks
// complete.
func TestAbortedResponseIsRecorded(t *testing.T) {
	tr := newTestRouter(t, nil)
	s := newRawServer(t, func(c net.Conn, r *http.Request) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 10\r\n\r\nhello", proxy.HeaderRequestID, r.Header.Get(proxy.HeaderRequestID))
		_ = c.Close()
	})
	tr.announceRawServer(t, "s1", s, backend.Abilities{})
	resp, err := http.DefaultClient.Do(tr.request(t, http.MethodPost, "/services/p/x", "order", "{}"))
	if err == nil {
		_, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
	}
	assert.Assert(t, err != nil, "a response that was cut looks complete")
	assert.Equal(t, metrics.GetOrRegisterCounter(abortedMetric, tr.router.metrics).Count(), int64(1))
	assert.Equal(t, metrics.GetOrRegisterCounter(panicMetric, tr.router.metrics).Count(), int64(0))
}

// Guards against a handler panic that closes a connection without a record.
func TestHandlerPanicIsRecorded(t *testing.T) {
	tr := newTestRouter(t, nil)
	for want, cause := range []any{http.ErrAbortHandler, "fault"} {
		server := httptest.NewServer(tr.router.recordPanics(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(cause) })))
		_, err := http.Post(server.URL, "", nil)
		assert.Assert(t, err != nil)
		server.Close()
		assert.Equal(t, metrics.GetOrRegisterCounter(panicMetric, tr.router.metrics).Count(), int64(want))
	}
}
