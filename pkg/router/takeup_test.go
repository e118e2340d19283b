package router

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/pool"
	"jackdawtrack.example/jackdawtrack/pkg/proxy"
	"jackdawtrack.example/jackdawtrack/pkg/release"
)

// restOfStream is what takeUpServer answers to a request for the rest of a stream.
const restOfStream = "data: after 7\n\ndata: [DONE]\n\n"

// newTakeUpServer starts a server that goes on with a stream after its event 7 and
// states the release, nothing if it is empty.
func newTakeUpServer(t *testing.T, contentType, stated string) *rawServer {
	return newRawServer(t, func(c net.Conn, r *http.Request) {
		body := "data: from the beginning\n\ndata: [DONE]\n\n"
		if r.Header.Get("Last-Event-Id") == "7" {
			body = restOfStream
		}
		head := fmt.Sprintf("%s: %s\r\nContent-Type: %s\r\n", proxy.HeaderRequestID, r.Header.Get(proxy.HeaderRequestID), contentType)
		if stated != "" {
			head += releaseLine(stated)
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	})
}

const eventStream = "text/event-stream"

// assertTakeUpRefused checks that a take-up is refused before any of it is sent.
func (tr *testRouter) assertTakeUpRefused(t *testing.T, path string, servers ...*rawServer) {
	t.Helper()
	sent := func() (total int64) {
		for _, s := range servers {
			total += s.count.Load()
		}
		return total
	}
	before, refused := sent(), tr.router.counters.takeUpsRefused.Count()
	resp, body := tr.takeUp(t, path)
	assert.Check(t, resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(headerResult) == "128" && resp.Header.Get(headerExecuted) == "no", "%d %s", resp.StatusCode, body)
	assert.Equal(t, sent(), before, "sent to a server")
	assert.Equal(t, tr.router.counters.takeUpsRefused.Count(), refused+1)
}

// takeUp sends a request for the rest of a stream.
func (tr *testRouter) takeUp(t *testing.T, path string) (*http.Response, string) {
	t.Helper()
	return do(t, tr.request(t, http.MethodPost, path, "chat", chatBody(1), headerLastEventID, "7", "Resumes", "rt-1-7-1"))
}

// Guards against a request with Last-Event-Id that is refused although one version is in
// service: the statement of the operators is known to a router that has just started,
// and where servers and operators state nothing the request is passed on as any other.
func TestTakeUpWithOneVersionGoesOn(t *testing.T) {
	const path = "/services/p/x"
	for name, tc := range map[string]struct {
		operators         release.Versions
		version, stated   string
		path, contentType string
		kind              backend.Kind
	}{
		"nothing stated":                 {path: path, contentType: eventStream},
		"nothing stated, plain answer":   {path: path, contentType: "application/json"},
		"nothing stated, engine":         {path: chatPath, contentType: eventStream, kind: backend.Engine},
		"one, nothing stated by servers": {operators: release.One, path: path, contentType: eventStream},
		"one, stated by servers":         {operators: release.One, version: "v1", stated: "p/v1", path: path, contentType: eventStream},
		"one, engine":                    {operators: release.One, version: "v1", stated: "p/v1", path: chatPath, contentType: eventStream, kind: backend.Engine},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTakeUpServer(t, tc.contentType, tc.stated)
			for incarnation := range uint64(2) {
				tr := routerStating(t, tc.operators, incarnation)
				tr.announceVersion(t, "s1", s, backend.Announcement{Kind: tc.kind, SoftwareVersion: backend.Version(tc.version)})
				for range 2 {
					resp, body := tr.takeUp(t, tc.path)
					assert.Check(t, resp.StatusCode == http.StatusOK && body == restOfStream, "incarnation %d: %d %s", incarnation, resp.StatusCode, body)
				}
				assert.Equal(t, tr.router.counters.takeUpsRefused.Count(), int64(0))
			}
		})
	}
}

// Guards against a stream that a caller takes up at a server of another version where
// versions differ or are not known, in particular by a router that has just started and
// knows one version only.
func TestTakeUpWithUnknownVersionsIsRefused(t *testing.T) {
	for name, tc := range map[string]struct {
		operators release.Versions
		announced []backend.Version // each by a server of its own
	}{
		"several, nothing stated":            {release.Several, []backend.Version{""}},
		"several, one version":               {release.Several, []backend.Version{"v1", "v1"}},
		"unstated, one version":              {release.Unstated, []backend.Version{"v1"}},
		"unstated, two versions":             {release.Unstated, []backend.Version{"v1", "v2"}},
		"unstated, a version and none":       {release.Unstated, []backend.Version{"v1", ""}},
		"one, although servers state two":    {release.One, []backend.Version{"v1", "v2"}},
		"one, although servers state others": {release.One, []backend.Version{"v2", "", "v1"}},
	} {
		t.Run(name, func(t *testing.T) {
			for _, kind := range []backend.Kind{backend.Service, backend.Engine} {
				path := map[backend.Kind]string{backend.Service: "/services/p/x", backend.Engine: chatPath}[kind]
				tr := routerStating(t, tc.operators, 7)
				var servers []*rawServer
				for i, version := range tc.announced {
					servers = append(servers, newTakeUpServer(t, eventStream, ""))
					tr.announceVersion(t, fmt.Sprintf("s%d", i), servers[i], backend.Announcement{Kind: kind, SoftwareVersion: version})
				}
				tr.assertTakeUpRefused(t, path, servers...)
				resp, body := do(t, tr.request(t, http.MethodPost, path, "chat", chatBody(1)))
				assert.Check(t, resp.StatusCode == http.StatusOK, "a stream from its beginning: %s", body)
			}
		})
	}
}

// Guards against a stream that goes on with what a server writes of whose release the
// router learns from its answer only: it is of another data centre, or has just started.
func TestTakeUpAnsweredByStatedReleaseIsEnded(t *testing.T) {
	tr := routerStating(t, release.Unstated, 7)
	s1, s2 := newTakeUpServer(t, eventStream, "p/v1"), newTakeUpServer(t, eventStream, "p/v1")
	tr.announceVersion(t, "s1", s1, backend.Announcement{})
	tr.announceVersion(t, "s2", s2, backend.Announcement{})
	resp, body := tr.takeUp(t, "/services/p/x")
	assert.Check(t, resp.StatusCode == http.StatusBadGateway && resp.Header.Get(headerResult) == "207" && !strings.Contains(body, "after 7"), "%d %s", resp.StatusCode, body)
	assert.Equal(t, s1.count.Load()+s2.count.Load(), int64(1), "run again, although the class may run twice")
	assert.Equal(t, tr.router.counters.takeUpsRefused.Count(), int64(1))
	tr.assertTakeUpRefused(t, "/services/p/x", s1, s2)
	assert.Assert(t, tr.store.ApplyDelta(1, 2, []*apiv1.Change{stateVersions(release.One)}))
	_, body = tr.takeUp(t, "/services/p/x")
	assert.Equal(t, body, restOfStream, "with the statement of the operators")
}

// Guards against answers of two releases that a statement of one version hides.
func TestTakeUpAfterAnswersOfTwoReleasesIsRefused(t *testing.T) {
	tr := routerStating(t, release.One, 7)
	versions := make(chan string, 2)
	s := newRawServer(t, func(c net.Conn, r *http.Request) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%sContent-Length: 2\r\n\r\nok", proxy.HeaderRequestID, r.Header.Get(proxy.HeaderRequestID), releaseLine("p/"+<-versions))
	})
	tr.announceVersion(t, "s1", s, backend.Announcement{})
	for _, version := range []string{"v1", "v2"} {
		versions <- version
		_, body := do(t, tr.request(t, http.MethodPost, "/services/p/x", "chat", "{}"))
		assert.Equal(t, body, "ok")
	}
	tr.assertTakeUpRefused(t, "/services/p/x", s)
}

// Guards against a take-up that is sent although a version became known while it waited
// for a place.
func TestTakeUpThatWaitedIsCheckedAgain(t *testing.T) {
	tr := routerStating(t, release.Unstated, 7)
	s := newTakeUpServer(t, eventStream, "")
	tr.announceVersion(t, "s1", s, backend.Announcement{State: backend.Starting})
	answered := make(chan *http.Response, 1)
	req := tr.request(t, http.MethodPost, "/services/p/x", "chat", "{}", headerLastEventID, "7")
	go func() {
		resp, _ := tryDo(req)
		answered <- resp
	}()
	tr.waitFor(t, "the take-up waits", func() bool {
		waiting, _ := tr.router.askTable.counts()
		return waiting == 1
	})
	tr.announceVersion(t, "s1", s, backend.Announcement{SoftwareVersion: "v1"})
	resp := <-answered
	assert.Assert(t, resp != nil && resp.Header.Get(headerResult) == "128" && resp.Header.Get(headerExecuted) == "no")
	assert.Equal(t, s.count.Load(), int64(0))
	tr.waitFor(t, "the place is free", func() bool {
		waiting, held := tr.router.askTable.counts()
		return waiting+held == 0
	})
}

// Guards against a take-up that waits for a place although it is refused in any case.
func TestTakeUpIsRefusedWithoutWaiting(t *testing.T) {
	tr := routerStating(t, release.Several, 7)
	s := newTakeUpServer(t, eventStream, "")
	tr.announceVersion(t, "s1", s, backend.Announcement{State: backend.Starting})
	tr.assertTakeUpRefused(t, "/services/p/x", s)
	waiting, held := tr.router.askTable.counts()
	assert.Equal(t, waiting+held, 0)
}

// Guards against a stream that goes on with the answer of a server that states something
// else than a release.
func TestTakeUpAnsweredByOddReleaseIsEnded(t *testing.T) {
	for _, odd := range []string{"v1", "p/", "p/" + strings.Repeat("v", release.MaxVersionBytes+1)} {
		tr := routerStating(t, release.Unstated, 7)
		tr.announceVersion(t, "s1", newTakeUpServer(t, eventStream, odd), backend.Announcement{})
		resp, body := tr.takeUp(t, "/services/p/x")
		assert.Check(t, resp.Header.Get(headerResult) == "207" && !strings.Contains(body, "after 7"), "%s: %s", odd, body)
	}
}

// Guards against a router that does not tell the owner that a request takes a stream up.
func TestAskStatesThatItTakesUp(t *testing.T) {
	for value, want := range map[string]bool{"7": true, "": false} {
		q := &request{req: &http.Request{Header: http.Header{headerLastEventID: {value}}}}
		assert.Equal(t, q.newAsk(pool.RouterID{}, nil).TakesUp, want, "Last-Event-Id %q", value)
	}
	q := &request{req: &http.Request{Header: http.Header{}}}
	assert.Assert(t, !q.newAsk(pool.RouterID{}, nil).TakesUp)
}
