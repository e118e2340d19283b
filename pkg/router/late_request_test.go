package router

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/catalog"
	"jackdawtrack.example/jackdawtrack/pkg/class"
	"jackdawtrack.example/jackdawtrack/pkg/settings"
)

// Guards against requests that are sent to a server when a router stops although they
// may take longer than the time for running requests, and are cut at its end: their
// heads arrived before, the rest of their bodies after it began.
func TestLateRequestIsNotSentDuringShutdown(t *testing.T) {
	t.Parallel()
	s, tr := newService(t, func(c *Config) {
		c.Drain.Longest = settings.Duration(5 * time.Second)
		c.Peers = []PeerConfig{{Name: "rt-2", DataCentre: "south", Address: "127.0.0.1:1"}} // with fixed peers the router owns its servers to the end
	})
	quick := class.Class{Name: "quick", Answer: time.Second, MayWait: true, MaxDuration: time.Second}
	repeats := class.Class{Name: "repeats", Answer: 100 * time.Millisecond, MayWait: true, MayRunTwice: true}
	s.store.ApplySnapshot(2, append(configuration(), catalog.ClassChange(quick), catalog.ClassChange(repeats)))
	graceful, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(graceful, context.Background()) }()
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	server := newRawServer(t, func(c net.Conn, r *http.Request) {
		if r.URL.Path == "/held" {
			<-release
			return
		}
		respondOK(c, r)
	})
	tr.announce.URL = "http://" + tr.announce.Listener.Addr().String()
	tr.announceRawServer(t, "s1", server, backend.Abilities{})
	address := strings.TrimPrefix(tr.callers.URL, "http://")
	finish := map[string]func() *http.Response{}
	for name, path := range map[string]string{"order": "held", "quick": "x", "repeats": "x"} {
		conn, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		_, err = fmt.Fprintf(conn, "POST /services/p/%s HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer %s\r\nJackdawtrack-Workspace: w\r\nJackdawtrack-Class: %s\r\nContent-Length: 8\r\n\r\nhalf", path, workspaceKey, name)
		assert.NilError(t, err)
		finish[name] = func() *http.Response {
			_, _ = io.WriteString(conn, "rest")
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err, "%s got no answer", name)
			return resp
		}
	}
	tr.waitFor(t, "open requests", func() bool { return s.router.openRequests.Load() == 3 })
	stop()
	tr.waitFor(t, "a closed listener", func() bool {
		l, err := net.Listen("tcp", address) // fails while the router listens
		if err == nil {
			_ = l.Close()
		}
		return err == nil
	})
	tr.announceRawServer(t, "s1", server, backend.Abilities{})
	for _, name := range []string{"quick", "repeats"} {
		assert.Equal(t, finish[name]().StatusCode, http.StatusOK, name)
	}
	before := server.count.Load()
	resp := finish["order"]()
	assert.Equal(t, server.count.Load(), before, "status %d", resp.StatusCode)
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, resp.Header.Get("Retry-After") != "")
	assert.NilError(t, <-ended)
}
