package callers

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// heldConn is the connection of a caller whose network holds back what it writes.
type heldConn struct {
	net.Conn
	gate *sync.RWMutex
}

// Write implements net.Conn.
func (c heldConn) Write(p []byte) (int, error) {
	c.gate.RLock()
	defer c.gate.RUnlock()
	return c.Conn.Write(p)
}

// Guards against a request with HTTP/2 that ends without an answer because it crosses the
// close of its idle connection, of which the caller was not told.
func TestRequestWithHTTP2ThatCrossesTheCloseIsAnswered(t *testing.T) {
	for range 8 { // the caller may not have given the request to the connection yet
		crossHTTP2(t)
	}
}

func crossHTTP2(t *testing.T) {
	s, address, config := startTLS(t, waitLimit)
	config.NextProtos = []string{"h2"}
	var gate sync.RWMutex
	transport := &http.Transport{TLSClientConfig: config, ForceAttemptHTTP2: true, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return heldConn{c, &gate}, err
	}}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: waitLimit}
	gotConn := make(chan struct{}, 2)
	send := func() error {
		ctx := httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { gotConn <- struct{}{} }})
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "https://"+address+"/x", strings.NewReader("body"))
		if err != nil {
			return err
		}
		req.GetBody = nil // the transport repeats nothing by itself
		resp, err := client.Do(req)
		if err == nil {
			err = resp.Body.Close()
		}
		return err
	}
	assert.NilError(t, send())
	<-gotConn
	waitFor(t, "an idle connection", func() bool { return s.idleCount() == 1 })
	gate.Lock()
	ended := make(chan error, 1)
	go func() { ended <- send() }()
	<-gotConn
	waitFor(t, "a connection that is being closed", func() bool {
		s.closeIdle(0)
		return s.idleCount() == 0
	})
	gate.Unlock()
	assert.NilError(t, <-ended, "the request got no answer")
}
