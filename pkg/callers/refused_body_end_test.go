package callers

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a deadline that does not end the read of a body, because the buffer of
// net/http has room for one byte and the read is taken for the check for a closed connection.
func TestDeadlineEndsTheReadIntoTheLastByteOfTheBuffer(t *testing.T) {
	for name, body := range map[string]string{
		"line of a chunk": "1;" + strings.Repeat("x", 4093),
		"trailer":         "0\r\nT: " + strings.Repeat("x", 4092),
	} {
		for less := range 4 {
			t.Run(fmt.Sprintf("%s, %d bytes less", name, less), func(t *testing.T) {
				t.Parallel()
				handling, sent := make(chan struct{}), make(chan struct{})
				caller := dialHandler(t, false, func(w http.ResponseWriter, r *http.Request) {
					close(handling)
					<-sent
					conn := http.NewResponseController(w)
					_ = conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
					_, _ = io.Copy(io.Discard, r.Body)
					_ = conn.SetReadDeadline(time.Time{})
					w.Header().Set("Connection", "close")
					w.WriteHeader(http.StatusServiceUnavailable)
					SendEarlyRefusal(w, r)
				})
				_, err := io.WriteString(caller, "POST / HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n")
				assert.NilError(t, err)
				<-handling
				_, err = io.WriteString(caller, body[:len(body)-less])
				assert.NilError(t, err)
				close(sent)
				_, err = http.ReadResponse(bufio.NewReader(caller), nil)
				assert.NilError(t, err, "the request got no answer")
			})
		}
	}
}

// Guards against a connection that stays open for as long as its caller likes: a refused
// request asked for 100 Continue, and net/http waits for the body that never comes.
func TestRefusalOfAnExpectedBodyEndsTheConnection(t *testing.T) {
	for name, framing := range map[string]string{"in chunks": "Transfer-Encoding: chunked", "with a length": "Content-Length: 100"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			caller := dialHandler(t, false, func(w http.ResponseWriter, r *http.Request) {
				if !ReadRefusedBody(w, r) {
					w.Header().Set("Connection", "close")
				}
				w.WriteHeader(http.StatusServiceUnavailable)
				SendEarlyRefusal(w, r)
			})
			_, err := fmt.Fprintf(caller, "POST / HTTP/1.1\r\nHost: a.example\r\nExpect: 100-continue\r\n%s\r\n\r\n", framing)
			assert.NilError(t, err)
			responses := bufio.NewReader(caller)
			refusal, err := http.ReadResponse(responses, nil)
			assert.NilError(t, err)
			assert.Equal(t, refusal.StatusCode, http.StatusServiceUnavailable)
			assert.Assert(t, refusal.Close)
			_, err = io.Copy(io.Discard, responses)
			assert.NilError(t, err, "the host does not close the connection")
		})
	}
}

// Guards against a connection that stays open without an answer after a panic of its handler,
// because net/http waits for the rest of the body.
func TestPanicBeforeTheBodyEndsTheConnection(t *testing.T) {
	for name, cause := range map[string]any{"abort": http.ErrAbortHandler, "fault": "fault"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			caller := dialHandler(t, false, func(http.ResponseWriter, *http.Request) { panic(cause) })
			_, err := io.WriteString(caller, "POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: 100\r\n\r\n")
			assert.NilError(t, err)
			_, err = io.Copy(io.Discard, caller)
			assert.Assert(t, !errors.Is(err, os.ErrDeadlineExceeded), "the host does not close the connection")
		})
	}
}
