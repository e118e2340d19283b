package callers

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a refusal that its caller loses to a reset: net/http closes the connection
// after some error statuses without reading what the caller has sent behind the head.
func TestRefusalOfHeadIsNotLostToAReset(t *testing.T) {
	for name, c := range map[string]struct {
		head   string
		status int
	}{
		"invalid head":              {"GET /x HTTP/1.1\r\nno colon\r\n\r\n", http.StatusBadRequest},
		"head that is too large":    {"GET /x HTTP/1.1\r\nHost: a.example\r\nX: " + strings.Repeat("x", 8<<10) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
		"unknown transfer encoding": {"POST /x HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: gzip\r\n\r\n", http.StatusNotImplemented},
		"unknown expectation":       {"POST /x HTTP/1.1\r\nHost: a.example\r\nExpect: more\r\nContent-Length: 65536\r\n\r\n", http.StatusExpectationFailed},
	} {
		t.Run(name, func(t *testing.T) {
			s := startRecorded(t, waitLimit)
			caller, err := net.Dial("tcp", s.address)
			assert.NilError(t, err)
			defer caller.Close()
			assert.NilError(t, caller.SetDeadline(time.Now().Add(waitLimit)))
			_, err = io.WriteString(caller, c.head+strings.Repeat("b", 64<<10))
			assert.NilError(t, err)
			in := bufio.NewReader(caller)
			resp, err := http.ReadResponse(in, nil)
			assert.NilError(t, err, "the refusal was lost")
			assert.Equal(t, resp.StatusCode, c.status)
			_, err = io.Copy(io.Discard, in)
			assert.NilError(t, err, "the connection was reset")
			assert.NilError(t, caller.Close())
			<-s.ended
			assert.DeepEqual(t, s.counts(), map[string]int64{"head_invalid": 1})
		})
	}
}

// Guards against a refusal that is lost to a reset because its caller still sends: the host
// closed the connection sooner than net/http does after 431.
func TestRefusalOfHeadWaitsForACallerThatSends(t *testing.T) {
	caller, host := connect(t)
	defer caller.Close()
	c := &callerConn{TCPConn: host.(*net.TCPConn), openedAt: time.Now(), state: http.StateActive}
	began := time.Now()
	_, err := io.WriteString(c, "HTTP/1.1 400 Bad Request\r\nConnection: close\r\n\r\n")
	assert.NilError(t, err)
	took := time.Since(began)
	const resetAvoidance = 500 * time.Millisecond // of net/http
	assert.Assert(t, took >= resetAvoidance, "the host reads on for %s only", took)
}
