package proxy

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// Guards against a broken stream that goes on with the error of the server that was
// asked to resume it, or that counts as complete after such an answer.
func TestBrokenStreamIsNotContinuedWithAnError(t *testing.T) {
	const sent = "data: one\n\ndata: tw"
	const errorText = `{"error":"no room"}` + "\n\n"
	idHeader, stream := "Jackdawtrack-Request-Id: r-1\r\n", "Jackdawtrack-Process: s1/1\r\nContent-Type: text/event-stream\r\n"
	offset := fmt.Sprintf("%s: %d\r\n", HeaderResumeOffset, len(sent))
	answer := func(status, header, body string) string {
		return fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n%s\r\n%s", status, len(body), header, body)
	}
	for name, bytes := range map[string]string{
		"404":                          answer("404 Not Found", idHeader+offset, errorText),
		"429":                          answer("429 Too Many Requests", idHeader+"Retry-After: 1\r\n", errorText),
		"500":                          answer("500 Internal Server Error", idHeader+stream+offset, errorText),
		"302":                          answer("302 Found", idHeader+"Location: /x\r\n", errorText),
		"201 that ends without marker": answer("201 Created", idHeader+stream+offset, errorText),
		"204":                          "HTTP/1.1 204 No Content\r\n" + idHeader + stream + offset + "\r\n",
		"206 with an error and marker": answer("206 Partial Content", idHeader+stream+offset, errorText+doneEvent),
		"200 with an error":            answer("200 OK", idHeader+"Content-Type: application/json\r\n"+offset, errorText),
		"200 that ends without marker": answer("200 OK", idHeader+stream+offset, ""),
		"200 of another request":       answer("200 OK", "Jackdawtrack-Request-Id: r-2\r\n"+stream+offset, "o\n\n"+doneEvent),
		"200 without an id":            answer("200 OK", stream+offset, "o\n\n"+doneEvent),
		"no protocol":                  "error: no room\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			f := newFakeServer(t, func(c net.Conn, _ *http.Request, n int64) {
				if n == 1 {
					writeString(c, streamHead+chunk(sent))
					resetAfterRead(c)
					return
				}
				writeString(c, bytes)
				_ = c.Close()
			})
			r := newRequest(f)
			r.Abilities.Resume = true
			report, sink := forward(t, r)
			assert.Check(t, report.Err != nil, "the stream counts as complete")
			assert.Check(t, report.Err == nil || report.Err.Code.Executed() != result.ExecutedNo)
			assert.Check(t, strings.HasPrefix(sent, sink.String()), "%q", sink.String())
			assert.Check(t, report.HeadWritten && report.IsStream, "%+v", report)
		})
	}
}

// Guards against a status that no response can have: the handler panicked when it
// passed the status on.
func TestStatusOutOfRangeIsAnError(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		f := newFakeServer(t, func(c net.Conn, _ *http.Request, _ int64) {
			writeString(c, "HTTP/1.1 "+status+" Odd\r\nJackdawtrack-Request-Id: r-1\r\nContent-Length: 0\r\n\r\n")
			_ = c.Close()
		})
		report, sink := forward(t, newRequest(f))
		assert.Equal(t, resultCode(report), result.StreamBroken, "status %s", status)
		assert.Equal(t, sink.status, 0)
	}
}
