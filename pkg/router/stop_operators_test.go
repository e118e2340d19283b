package router

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against calls of servers and operators that get no answer because the router
// ends while their heads arrive.
func TestStopAnswersCallsOfServersAndOperators(t *testing.T) {
	t.Parallel()
	s, tr := newService(t)
	graceful, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(graceful, context.Background()) }()
	_, announce, admin, _ := s.Addresses()
	const request = "GET /v1/admin/status HTTP/1.1\r\nHost: a.example\r\n\r\n"
	conns := map[string]net.Conn{}
	for _, address := range []string{announce, admin} {
		conn, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		defer conn.Close()
		assert.NilError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
		_, err = io.WriteString(conn, request[:20])
		assert.NilError(t, err)
		conns[address] = conn
	}
	stop()
	for address, conn := range conns {
		tr.waitFor(t, "a closed listener", func() bool {
			l, err := net.Listen("tcp", address) // fails while the router listens
			if err == nil {
				_ = l.Close()
			}
			return err == nil
		})
		_, err := io.WriteString(conn, request[20:])
		assert.NilError(t, err)
	}
	for _, conn := range conns {
		_, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err, "the call got no answer")
	}
	<-ended
}
