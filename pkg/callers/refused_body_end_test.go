package callers

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
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
