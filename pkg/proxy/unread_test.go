package proxy

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a server that is taken for unresponsive while its response waits
// to be read on a busy host (seen as LOST requests on a grown deployment), and
// against an unresponsive server that counts as responding because its connection
// carried earlier responses.
func TestUnreadResponseDataIsDetected(t *testing.T) {
	const deadline = 60 * time.Second
	step := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		<-step
		w.(http.Flusher).Flush()
		_, _ = io.WriteString(w, "first")
		w.(http.Flusher).Flush()
		<-step
		_, _ = io.WriteString(w, "second")
	}))
	defer server.Close()
	transport := NewTransport()
	defer transport.Close()
	waitUnread := func(a *UnreadMonitor) {
		for limit := time.Now().Add(deadline); !a.HasUnread(); time.Sleep(time.Millisecond) {
			assert.Assert(t, time.Now().Before(limit))
		}
	}
	for range 2 { // the second time on the same connection
		var a UnreadMonitor
		assert.Assert(t, !a.HasUnread())
		req, err := http.NewRequest(http.MethodGet, server.URL, nil)
		assert.NilError(t, err)
		opened := make(chan *http.Response)
		go func() {
			resp, _, err := transport.SendRequest(context.Background(), req, &a, nil)
			if err != nil {
				t.Error(err)
			}
			opened <- resp
		}()
		select {
		case step <- struct{}{}:
		case <-time.After(deadline):
			t.Fatal("the server got no request")
		}
		waitUnread(&a)
		resp := <-opened
		_, err = io.ReadFull(resp.Body, make([]byte, len("first")))
		assert.NilError(t, err)
		a.MarkRead()
		assert.Assert(t, !a.HasUnread())
		step <- struct{}{}
		waitUnread(&a)
		_, err = io.Copy(io.Discard, resp.Body)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
	}
}
