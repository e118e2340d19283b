package router

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/settings"
	"jackdawtrack.example/jackdawtrack/pkg/standin"
)

// dialCallers returns a connection to the listener for callers.
func (tr *testRouter) dialCallers(t *testing.T) net.Conn {
	conn, err := net.Dial("tcp", strings.TrimPrefix(tr.callers.URL, "http://"))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
	return conn
}

// waitForClosedListener waits until the router has closed its listener for callers.
func (tr *testRouter) waitForClosedListener(t *testing.T) {
	t.Helper()
	tr.waitFor(t, "a closed listener", func() bool {
		l, err := net.Listen("tcp", strings.TrimPrefix(tr.callers.URL, "http://")) // fails while the router listens
		if err == nil {
			_ = l.Close()
		}
		return err == nil
	})
}

// rawChat returns the bytes of a chat request.
func rawChat() string {
	body := chatBody(1)
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer %s\r\nJackdawtrack-Workspace: w\r\nJackdawtrack-Class: chat\r\nContent-Length: %d\r\n\r\n%s", chatPath, workspaceKey, len(body), body)
}

func readAnswer(t *testing.T, in *bufio.Reader, what string) {
	t.Helper()
	resp, err := http.ReadResponse(in, nil)
	assert.NilError(t, err, "%s got no answer", what)
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK, "%s: %s", what, body)
}

// Guards against requests that get no answer because the router stops while their heads
// arrive: on new connections and on one that was used before. net/http drops what it
// reads during a Shutdown.
func TestStopAnswersRequestsWhoseHeadsArriveInParts(t *testing.T) {
	t.Parallel()
	s, tr := newService(t)
	graceful, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(graceful, context.Background()) }()
	tr.startStandin(t, standin.ServerSettings{Name: "s1", Kind: backend.Engine, Pool: "p", TokenInterval: settings.Duration(time.Millisecond)})
	unused, used := tr.dialCallers(t), tr.dialCallers(t)
	unusedIn, usedIn := bufio.NewReader(unused), bufio.NewReader(used)
	request := rawChat()
	_, err := io.WriteString(used, request)
	assert.NilError(t, err)
	readAnswer(t, usedIn, "the first request")
	for _, c := range []net.Conn{unused, used} {
		_, err := io.WriteString(c, request[:30])
		assert.NilError(t, err)
	}
	stop()
	tr.waitForClosedListener(t)
	for _, c := range []net.Conn{unused, used} {
		_, err := io.WriteString(c, request[30:])
		assert.NilError(t, err)
	}
	readAnswer(t, unusedIn, "the request on a new connection")
	readAnswer(t, usedIn, "the request on a used connection")
	assert.NilError(t, <-ended)
}

// Guards against requests that get no answer because a router that stops closes its
// listener while their connections wait to be accepted.
func TestStopServesRequestsInTheQueueOfTheListener(t *testing.T) {
	t.Parallel()
	s, tr := newService(t)
	held, release := make(chan struct{}), make(chan struct{})
	var holdOnce sync.Once
	track := s.httpServers[0].ConnState
	s.httpServers[0].ConnState = func(c net.Conn, state http.ConnState) {
		if state == http.StateNew {
			holdOnce.Do(func() { close(held) })
			<-release // holds the loop that accepts connections
		}
		if track != nil {
			track(c, state)
		}
	}
	graceful, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(graceful, context.Background()) }()
	tr.startStandin(t, standin.ServerSettings{Name: "s1", Kind: backend.Engine, Pool: "p", TokenInterval: settings.Duration(time.Millisecond)})
	conns := make([]net.Conn, 20)
	for i := range conns {
		conns[i] = tr.dialCallers(t)
		_, err := io.WriteString(conns[i], rawChat())
		assert.NilError(t, err)
	}
	<-held
	stop()
	tr.waitFor(t, "the router reports not ready", func() bool { return !s.router.Ready() })
	time.AfterFunc(4*s.cfg.Drain.Notice.AsDuration(), func() { close(release) }) // when the router stops accepting
	for i, c := range conns {
		readAnswer(t, bufio.NewReader(c), fmt.Sprintf("request %d", i))
	}
	assert.NilError(t, <-ended)
}
