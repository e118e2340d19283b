package router

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/class"
	"jackdawtrack.example/jackdawtrack/pkg/result"
	"jackdawtrack.example/jackdawtrack/pkg/settings"
	"jackdawtrack.example/jackdawtrack/pkg/standin"
)

// Guards against a request that waits for a server and keeps its place when the router
// stops although it can no longer end in time, and against one that is sent then.
func TestWaitingRequestIsRefusedWhenItIsTooLate(t *testing.T) {
	t.Parallel()
	tr := newTestRouter(t, nil)
	server := newRawServer(t, respondOK)
	tr.announceRawServer(t, "s1", server, backend.Abilities{})
	tr.router.RefuseLate(time.Now().Add(time.Minute)) // less than the longest duration
	for _, class := range []string{"order", "chat"} {
		resp, body := do(t, tr.request(t, http.MethodPost, "/services/p/x", class, "{}"))
		assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable, body)
		assert.Assert(t, resp.Header.Get(headerRetryAfter) != "")
	}
	assert.Equal(t, server.count.Load(), int64(0))
}

// Guards against a bound that refuses requests which can end in time.
func TestLatestStart(t *testing.T) {
	end := time.Now()
	for name, c := range map[string]struct {
		class class.Class
		want  time.Duration // before the end
	}{
		"at most once":              {class.Class{Answer: time.Second, MaxDuration: time.Minute}, time.Minute},
		"may run twice":             {class.Class{Answer: time.Second, MaxDuration: time.Minute, MayRunTwice: true}, 2500 * time.Millisecond},
		"short":                     {class.Class{Answer: time.Second, MaxDuration: 2 * time.Second, MayRunTwice: true}, 2 * time.Second},
		"stream, length not stated": {class.Class{FirstToken: time.Second, MaxDuration: time.Minute, MayRunTwice: true}, time.Minute},
	} {
		q := &request{class: c.class}
		assert.Equal(t, end.Sub(q.latestStart(end)), c.want, name)
	}
	r := newTestRouter(t, nil).router
	q := &request{class: class.Class{MaxDuration: time.Minute}}
	assert.Assert(t, r.refuseLate(q) == nil)
	r.RefuseLate(time.Now().Add(time.Hour))
	assert.Assert(t, r.refuseLate(q) == nil)
	r.RefuseLate(time.Now())
	assert.Equal(t, r.refuseLate(q).Code, result.ShuttingDown)
}

// Guards against requests that wait for a server, or whose bodies are incomplete, and are
// not refused when it becomes too late for them in a planned stop, but only later.
func TestUnsentRequestsAreRefusedOnceItIsTooLate(t *testing.T) {
	t.Parallel()
	tr := newTestRouter(t, nil)
	tr.startStandin(t, standin.ServerSettings{Name: "s1", Kind: backend.Engine, Pool: "p", TokenInterval: settings.Duration(100 * time.Millisecond)})
	const requests = 60
	refused := make(chan string, requests)
	for range requests {
		go func() {
			if resp, body := tryDo(tr.request(t, http.MethodPost, chatPath, "chat", chatBody(600))); resp != nil && resp.StatusCode != http.StatusOK {
				refused <- body
			}
		}()
	}
	conn, err := net.Dial("tcp", strings.TrimPrefix(tr.callers.URL, "http://"))
	assert.NilError(t, err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST /services/p/x HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer %s\r\nJackdawtrack-Workspace: w\r\nJackdawtrack-Class: order\r\nContent-Length: 8\r\n\r\nhalf", workspaceKey)
	assert.NilError(t, err)
	waiting := 0
	tr.waitFor(t, "open requests", func() bool {
		var held int
		waiting, held = tr.router.askTable.counts()
		return held > 0 && waiting > 0 && waiting+held == requests && tr.router.openRequests.Load() == requests+1
	})
	tr.router.RefuseLate(time.Now().Add(time.Minute)) // less than the longest duration
	entry, _ := result.Lookup(result.ShuttingDown)
	for range waiting {
		body := <-refused
		assert.Assert(t, strings.Contains(body, entry.Name), "refused late: %s", body)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, resp.Header.Get(headerRetryAfter) != "")
}
