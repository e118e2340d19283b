package callers

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a refusal that holds a stream of HTTP/2 for as long as its caller sends.
func TestRefusalWithHTTP2DoesNotReadOn(t *testing.T) {
	handled := make(chan time.Duration, 1)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
		begin := time.Now()
		SendEarlyRefusal(w, r)
		handled <- time.Since(begin)
	}))
	server.EnableHTTP2 = true
	server.StartTLS()
	defer server.Close()
	body, sender := io.Pipe()
	defer sender.Close()
	go func() { _, _ = sender.Write([]byte("the rest does not follow")) }()
	resp, err := server.Client().Post(server.URL, "", body)
	assert.NilError(t, err)
	defer resp.Body.Close()
	assert.Equal(t, resp.ProtoMajor, 2)
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, <-handled < refusedBodyTime/2)
}
