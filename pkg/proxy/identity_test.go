package proxy

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// testIdentity reads the start from a JSON object.
type testIdentity struct{}

func (testIdentity) IdentityPath() string { return "/who" }

func (testIdentity) ReadIdentity(status int, body []byte) int64 {
	var m struct{ Born int64 }
	if status != http.StatusOK || json.Unmarshal(body, &m) != nil {
		return 0
	}
	return m.Born
}

// identityServer answers the question with the given bytes, and other requests with "ok".
type identityServer struct {
	address                    string
	conns, questions, requests atomic.Int64
}

func newIdentityServer(t *testing.T, answer string, closes bool) *identityServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &identityServer{address: l.Addr().String()}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go s.serve(c, answer, closes)
		}
	}()
	return s
}

func (s *identityServer) serve(c net.Conn, answer string, closes bool) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		if req.URL.Path != "/who" {
			s.requests.Add(1)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			continue
		}
		s.questions.Add(1)
		_, _ = io.WriteString(c, answer)
		if closes {
			return
		}
	}
}

// send sends a request that needs the process, 0 for any, and returns the process that got it.
func (s *identityServer) send(t *testing.T, transport *Transport, wanted int64) (startMS int64, mayHaveRun bool, err error) {
	id := &Identification{Wanted: wanted}
	req, err := http.NewRequest(http.MethodPost, "http://"+s.address+"/x", nil)
	assert.NilError(t, err)
	resp, abort, err := transport.SendRequest(WithIdentification(context.Background(), id), req, nil, []byte("body"))
	if err != nil {
		return id.StartMS(), abort(), err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "ok")
	return id.StartMS(), true, nil
}

// Guards against requests that fail, run twice or are answered with other bytes, because their
// server does not state its process, or in a way that cannot be read.
func TestServersThatStateNoProcessAreUsed(t *testing.T) {
	const stated = `{"born":7}`
	ok := func(header, body string) string { return "HTTP/1.1 200 OK\r\n" + header + "\r\n\r\n" + body }
	sized := func(body string) string { return ok(fmt.Sprintf("Content-Length: %d", len(body)), body) }
	for name, c := range map[string]struct {
		answer  string
		closes  bool
		startMS int64
		conns   int64 // for two requests one after the other
	}{
		"stated":             {sized(stated), false, 7, 1},
		"stated in chunks":   {ok("Transfer-Encoding: chunked", "a\r\n"+stated+"\r\n0\r\n\r\n"), false, 7, 1},
		"no start":           {sized(`{"state":"ready"}`), false, 0, 1},
		"another type":       {sized(`{"born":"7"}`), false, 0, 1},
		"status 404":         {"HTTP/1.1 404 Not Found\r\nContent-Length: 10\r\n\r\n" + stated, false, 0, 1},
		"more than a body":   {sized(stated) + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother", false, 0, 2},
		"closing":            {ok("Connection: close\r\nContent-Length: 10", stated), false, 0, 2},
		"without a length":   {ok("X: y", stated), true, 0, 2},
		"no answer":          {"", false, 0, 2},
		"half an answer":     {ok("Content-Length: 10", stated[:4]), false, 0, 2},
		"closed connection":  {"", true, 0, 2},
		"no HTTP":            {"SSH-2.0-x\r\n", false, 0, 2},
		"interim answer":     {"HTTP/1.1 103 Early Hints\r\n\r\n", false, 0, 2},
		"head without end":   {"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("y", 1<<20), false, 0, 2},
		"body without end":   {ok("Transfer-Encoding: chunked", strings.Repeat("1000\r\n"+strings.Repeat("z", 0x1000)+"\r\n", 100)), false, 0, 2},
		"an impossible size": {ok("Content-Length: -1", stated), false, 0, 2},
	} {
		t.Run(name, func(t *testing.T) {
			s, transport := newIdentityServer(t, c.answer, c.closes), NewTransportWithOptions(Options{Identity: testIdentity{}})
			defer transport.Close()
			for n := range 2 {
				startMS, _, err := s.send(t, transport, 0)
				assert.NilError(t, err)
				assert.Equal(t, startMS, c.startMS)
				assert.Equal(t, s.requests.Load(), int64(n+1))
			}
			assert.Equal(t, s.conns.Load(), c.conns)
			assert.Equal(t, s.questions.Load(), int64(1), "asked again")
			transport.CloseIdleTo(s.address)
			_, _, err := s.send(t, transport, 0)
			assert.NilError(t, err)
			asked, failed := transport.Identified()
			if c.startMS == 0 {
				assert.Equal(t, asked, int64(1), "a server that did not state its process is asked again at once")
				assert.Equal(t, failed, int64(1))
			} else {
				assert.Equal(t, asked, int64(2))
				assert.Equal(t, failed, int64(0))
			}
		})
	}
}

// Guards against a request that reaches another process than the one that it needs, on a new
// connection or a kept one, and against one that is said to have run then.
func TestRequestForAnotherProcessIsNotSent(t *testing.T) {
	for _, kept := range []int{0, 1} {
		t.Run(fmt.Sprintf("%d kept connections", kept), func(t *testing.T) {
			s, transport := newIdentityServer(t, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n"+`{"born":7}`, false), NewTransportWithOptions(Options{Identity: testIdentity{}})
			defer transport.Close()
			for range kept {
				_, _, err := s.send(t, transport, 0)
				assert.NilError(t, err)
			}
			before := s.requests.Load()
			_, mayHaveRun, err := s.send(t, transport, 8)
			assert.Assert(t, errors.Is(err, ErrOtherProcess), "%v", err)
			assert.Equal(t, mayHaveRun, false)
			startMS, _, err := s.send(t, transport, 7)
			assert.NilError(t, err)
			assert.Equal(t, startMS, int64(7))
			assert.Equal(t, s.requests.Load(), before+1)
		})
	}
}

// Guards against requests that need no proof and pay for one.
func TestRequestsWithoutIdentificationAskNoServer(t *testing.T) {
	s, transport := newIdentityServer(t, "", false), NewTransportWithOptions(Options{Identity: testIdentity{}})
	defer transport.Close()
	req, err := http.NewRequest(http.MethodPost, "http://"+s.address+"/x", nil)
	assert.NilError(t, err)
	resp, _, err := transport.SendRequest(t.Context(), req, nil, nil)
	assert.NilError(t, err)
	_ = resp.Body.Close()
	assert.Equal(t, s.questions.Load(), int64(0))
}
