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

// Guards against a server that counts as silent while its answer waits to be
// read on a busy host (LOST on a grown deployment), and against one that said
// nothing and counts as heard because its connection carried other answers.
func TestArrival(t *testing.T) {
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
	came := func(a *Arrival) {
		for limit := time.Now().Add(deadline); !a.Came(); time.Sleep(time.Millisecond) {
			assert.Assert(t, time.Now().Before(limit))
		}
	}
	for range 2 { // the second time on the same connection
		var a Arrival
		assert.Assert(t, !a.Came())
		req, err := http.NewRequest(http.MethodGet, server.URL, nil)
		assert.NilError(t, err)
		opened := make(chan *http.Response)
		go func() {
			resp, _, err := transport.Open(context.Background(), req, &a, nil)
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
		came(&a)
		resp := <-opened
		_, err = io.ReadFull(resp.Body, make([]byte, len("first")))
		assert.NilError(t, err)
		a.Mark()
		assert.Assert(t, !a.Came())
		step <- struct{}{}
		came(&a)
		_, err = io.Copy(io.Discard, resp.Body)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
	}
}
