package router

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/proxy"
	"jackdawtrack.example/jackdawtrack/pkg/release"
	"jackdawtrack.example/jackdawtrack/pkg/settings"
	"jackdawtrack.example/jackdawtrack/pkg/standin"
)

// restartStandin starts a stand-in again with a version, as it was if empty.
func restartStandin(t *testing.T, address, version string) {
	t.Helper()
	body, err := json.Marshal(standin.Fault{Kind: standin.FaultRestartCold, DelayMS: -1, Version: version})
	assert.NilError(t, err)
	resp, err := http.Post("http://"+address+"/v1/faults", "application/json", bytes.NewReader(body))
	assert.NilError(t, err)
	resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusNoContent)
}

// Guards against a stream that two software versions wrote because its server came
// back under its address with another version, and against a broken stream where all
// processes have one version.
func TestStreamGoesOnAtItsReleaseOnly(t *testing.T) {
	for _, tc := range []struct {
		name, version, next string
		whole               bool
	}{
		{"same version", "v1", "v1", true},
		{"newer version", "v1", "v2", false},
		{"older version", "v2", "v1", false},
		{"no version", "", "", false},
		{"no version before", "", "v1", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tr := newTestRouter(t, nil)
			address := tr.startStandin(t, standin.ServerSettings{
				Name: "s1", Kind: backend.Engine, Pool: "p", SoftwareVersion: tc.version, KeepStreams: true,
				TokenInterval: settings.Duration(time.Millisecond),
			})
			tokens := 20_000 // more than 20 s, so that the stream runs when its server is started again
			if tc.whole {
				tokens = 2_000
			}
			resp, err := http.DefaultClient.Do(tr.request(t, http.MethodPost, chatPath, "chat", chatBody(tokens)))
			assert.NilError(t, err)
			defer resp.Body.Close()
			first := make([]byte, 100)
			_, err = io.ReadFull(resp.Body, first)
			assert.NilError(t, err)
			restartStandin(t, address, tc.next)
			rest, err := io.ReadAll(resp.Body)
			assert.NilError(t, err)
			body := string(first) + string(rest)
			ended := body[max(0, len(body)-400):]
			for _, h := range []string{proxy.HeaderProcess, proxy.HeaderRelease} {
				assert.Equal(t, resp.Header.Get(h), "", "passed on to the caller")
			}
			refused := tr.router.counters.resumesRefused.Count()
			if tc.whole {
				assert.Assert(t, strings.HasSuffix(body, "data: [DONE]\n\n"), ended)
				assert.Equal(t, refused, int64(0))
				assert.Assert(t, tr.router.counters.resumes.Count() > 0, "the stream was not broken")
				return
			}
			assert.Check(t, !strings.Contains(body, fmt.Sprintf(`"system_fingerprint":%q`, tc.next)), "joined from versions %q and %q", tc.version, tc.next)
			assert.Check(t, strings.Contains(ended, "event: error\ndata: {\"code\":207,") && strings.Contains(ended, `"executed":"maybe"`), ended)
			assert.Equal(t, refused, int64(1))
		})
	}
}

// Guards against a retry that joins the part of an event that the first server sent
// with the answer of a server of another version, and against a retry of a stream of
// which the caller has a part.
func TestRetryDoesNotJoinTwoReleases(t *testing.T) {
	const first, second = "data: v1\n\n", "data: v2\n\ndata: [DONE]\n\n"
	for _, sent := range []int{4, len(first)} {
		tr := newTestRouter(t, nil)
		cut := make(chan struct{})
		head := func(c net.Conn, r *http.Request, release string) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
				proxy.HeaderRequestID, r.Header.Get(proxy.HeaderRequestID), proxy.HeaderRelease, release)
		}
		s1 := newRawServer(t, func(c net.Conn, r *http.Request) {
			head(c, r, "p/v1")
			fmt.Fprintf(c, "%x\r\n%s\r\n", sent, first[:sent])
			<-cut
			resetConn(c, r)
		})
		s2 := newRawServer(t, func(c net.Conn, r *http.Request) {
			head(c, r, "p/v2")
			fmt.Fprintf(c, "%x\r\n%s\r\n0\r\n\r\n", len(second), second)
		})
		tr.announceRawServer(t, "s1", s1, backend.Abilities{})
		req := tr.request(t, http.MethodPost, "/services/p/x", "chat", "{}")
		begun, answered := make(chan struct{}), make(chan string, 1)
		go func() {
			resp, err := http.DefaultClient.Do(req)
			if !assert.Check(t, err) {
				answered <- ""
				return
			}
			defer resp.Body.Close()
			begin := make([]byte, len(first))
			_, _ = io.ReadFull(resp.Body, begin)
			close(begun)
			rest, _ := io.ReadAll(resp.Body)
			answered <- string(begin) + string(rest)
		}()
		tr.waitFor(t, "the first server has the request", func() bool { return s1.count.Load() == 1 })
		tr.announceRawServer(t, "s2", s2, backend.Abilities{})
		if sent == len(first) {
			<-begun
		}
		close(cut)
		body := <-answered
		if sent < len(first) {
			assert.Equal(t, body, second)
			continue
		}
		assert.Assert(t, strings.HasPrefix(body, first+"event: error\ndata: {\"code\":203,"), body)
		assert.Equal(t, s2.count.Load(), int64(0))
	}
}

// Guards against a resume that is compared with the server as it was at the decision:
// the process that began the stream was started since.
func TestResumeIsComparedWithWhatAnswered(t *testing.T) {
	const whole = "data: one\n\ndata: two\n\ndata: [DONE]\n\n"
	const cutOffset = 15
	tr := newTestRouter(t, nil)
	s := newRawServer(t, func(c net.Conn, r *http.Request) {
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s1/2\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n",
			proxy.HeaderRequestID, r.Header.Get(proxy.HeaderRequestID), proxy.HeaderProcess)
		if r.Header.Get(proxy.HeaderResumeOffset) == fmt.Sprint(cutOffset) {
			fmt.Fprintf(c, "%s%s: %d\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, proxy.HeaderResumeOffset, cutOffset, len(whole)-cutOffset, whole[cutOffset:])
			return
		}
		fmt.Fprintf(c, "%s\r\n%x\r\n%s\r\n", head, cutOffset, whole[:cutOffset])
		_ = c.Close() // unlike a reset it discards no bytes
	})
	tr.announceRawServer(t, "s1", s, backend.Abilities{Resume: true}) // boot id 1
	_, body := do(t, tr.request(t, http.MethodPost, "/services/p/x", "order", "{}"))
	assert.Equal(t, body, whole)
}

// Guards against a caller that makes a server go on with a stream: the headers of a
// resume request are the router's own.
func TestCallerCannotResumeAtServer(t *testing.T) {
	tr := newTestRouter(t, nil)
	headers := make(chan http.Header, 1)
	s := newRawServer(t, func(c net.Conn, r *http.Request) {
		headers <- r.Header
		respondOK(c, r)
	})
	tr.announceRawServer(t, "s1", s, backend.Abilities{})
	resp, _ := do(t, tr.request(t, http.MethodPost, "/services/p/x", "order", "{}", proxy.HeaderResumeOffset, "5", proxy.HeaderRequestID, "rt-9-1-1"))
	got := <-headers
	assert.Equal(t, got.Get(proxy.HeaderResumeOffset), "")
	assert.Equal(t, got.Get(proxy.HeaderRequestID), resp.Header.Get(proxy.HeaderRequestID))
	assert.Assert(t, got.Get(proxy.HeaderRequestID) != "rt-9-1-1")
}

// Guards against a stream that a caller takes up at a server of another version: the
// router does not know which one began it.
func TestTakeUpWithoutRecordIsRefused(t *testing.T) {
	tr := routerStating(t, release.Several, 7)
	s := newRawServer(t, func(c net.Conn, r *http.Request) {
		event := "id: 0\ndata: v2 from the beginning\n\n"
		if last := r.Header.Get("Last-Event-Id"); last != "" {
			event = "data: v2 after " + last + "\n\n"
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%sdata: [DONE]\n\n",
			proxy.HeaderRequestID, r.Header.Get(proxy.HeaderRequestID), len(event)+len("data: [DONE]\n\n"), event)
	})
	tr.announceRawServer(t, "s1", s, backend.Abilities{})
	for _, values := range [][]string{{"7"}, {"0"}, {"", "7"}, {strings.Repeat("7", 8000)}} {
		req := tr.request(t, http.MethodPost, "/services/p/x", "chat", "{}", "Resumes", "rt-1-7-1")
		req.Header["Last-Event-Id"] = values
		resp, body := do(t, req)
		assert.Check(t, resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(headerExecuted) == "no", "%d %s", resp.StatusCode, body)
		assert.Check(t, resp.Header.Get(headerResult) == "128", body)
	}
	assert.Check(t, s.count.Load() == 0, "sent to the server %d times", s.count.Load())
	_, body := do(t, tr.request(t, http.MethodPost, "/services/p/x", "chat", "{}", "Last-Event-Id", "", "Resumes", "rt-1-7-1"))
	assert.Check(t, strings.Contains(body, "from the beginning"), body)
}

// Guards against a version that other routers and operators learn of only when the
// announcement is sent again for another reason.
func TestChangedVersionIsShared(t *testing.T) {
	servers := newServerTable()
	a := backend.Announcement{Name: "s1", DataCentre: "north", Address: "10.0.0.1:80", Pool: "p", Kind: backend.Engine, BootID: 1, State: backend.Ready}
	now := time.Now()
	servers.update(now, a)
	assert.Assert(t, !servers.update(now, a))
	a.SoftwareVersion = "v1"
	assert.Assert(t, servers.update(now, a))
}
