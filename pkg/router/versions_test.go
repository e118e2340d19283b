package router

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/catalog"
	"jackdawtrack.example/jackdawtrack/pkg/pool"
	"jackdawtrack.example/jackdawtrack/pkg/proxy"
	"jackdawtrack.example/jackdawtrack/pkg/release"
)

// routerStating starts a router whose operators state the versions of the service p,
// nothing if unstated. With another incarnation it is the same router, restarted.
func routerStating(t *testing.T, versions release.Versions, incarnation uint64) *testRouter {
	self := pool.RouterID{Name: "rt-1", DataCentre: "north", Incarnation: incarnation}
	return newTestRouterAs(t, self, func(_ *Config, d *Dependencies) {
		if versions != release.Unstated {
			d.Catalog.ApplyDelta(1, 2, []*apiv1.Change{stateVersions(versions)})
		}
	})
}

// stateVersions returns the change with which operators state the versions of p.
func stateVersions(versions release.Versions) *apiv1.Change {
	return catalog.ServiceChange(catalog.Service{Name: "p", Versions: versions})
}

// announceVersion announces a server of the pool p with a version.
func (tr *testRouter) announceVersion(t *testing.T, name string, s *rawServer, a backend.Announcement) {
	t.Helper()
	a.Name, a.Address, a.Abilities = name, s.addr, backend.Abilities{RepeatsID: true, Resume: true}
	if a.Kind == "" {
		a.Kind = backend.Service
	}
	assert.Equal(t, tr.postAnnouncement(t, a, serverKey).StatusCode, http.StatusNoContent)
}

const (
	wholeStream = "data: one\n\ndata: two\n\ndata: [DONE]\n\n"
	cutOffset   = 15
)

// newBreakingServer starts a server whose streams break after cutOffset bytes, once cut
// is closed, and are resumed. It adds the header lines begin to the first answer and
// later to the second.
func newBreakingServer(t *testing.T, begin, later string, cut <-chan struct{}) *rawServer {
	return newRawServer(t, func(c net.Conn, r *http.Request) {
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n",
			proxy.HeaderRequestID, r.Header.Get(proxy.HeaderRequestID))
		if r.Header.Get(proxy.HeaderResumeOffset) == fmt.Sprint(cutOffset) {
			fmt.Fprintf(c, "%s%s%s: %d\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, later, proxy.HeaderResumeOffset, cutOffset, len(wholeStream)-cutOffset, wholeStream[cutOffset:])
			return
		}
		fmt.Fprintf(c, "%s%s\r\n%x\r\n%s\r\n", head, begin, cutOffset, wholeStream[:cutOffset])
		<-cut
		_ = c.Close() // unlike a reset it discards no bytes
	})
}

// closedChannel returns a channel that is closed.
func closedChannel() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

// processLine and releaseLine return the header line with which a server states a value.
func processLine(value string) string { return proxy.HeaderProcess + ": " + value + "\r\n" }
func releaseLine(value string) string { return proxy.HeaderRelease + ": " + value + "\r\n" }

// Guards against a broken stream that ends with an error although one version is in
// service: its servers state neither process nor release, as before these headers.
func TestStreamOfServerThatStatesNothingIsResumed(t *testing.T) {
	for _, operators := range []release.Versions{release.Unstated, release.One} {
		for incarnation := range uint64(2) {
			tr := routerStating(t, operators, incarnation)
			s := newBreakingServer(t, "", "", closedChannel())
			tr.announceRawServer(t, "s1", s, backend.Abilities{Resume: true})
			_, body := do(t, tr.request(t, http.MethodPost, "/services/p/x", "order", "{}"))
			assert.Check(t, body == wholeStream, "%s, incarnation %d: %s", operators, incarnation, body)
			assert.Equal(t, s.count.Load(), int64(2))
		}
	}
}

// Guards against a stream that two versions wrote: neither the operators nor what the
// servers state shows that one version is in service. And against one that ends although
// the operators state that the servers never differ.
func TestResumeFollowsWhatIsKnownOfVersions(t *testing.T) {
	for name, tc := range map[string]struct {
		operators    release.Versions
		announced    []backend.Version // one after the other
		begin, later string
		whole        bool
	}{
		"several, nothing stated":                {operators: release.Several},
		"several, same process":                  {operators: release.Several, begin: processLine("s1/1"), later: processLine("s1/1"), whole: true},
		"several, same release":                  {operators: release.Several, begin: releaseLine("p/v1"), later: releaseLine("p/v1"), whole: true},
		"unstated, release later":                {later: releaseLine("p/v1")},
		"unstated, release first":                {begin: releaseLine("p/v1")},
		"unstated, process later":                {later: processLine("s1/1")},
		"unstated, another process":              {begin: processLine("s1/1"), later: processLine("s1/2")},
		"unstated, odd release":                  {begin: releaseLine("odd"), later: releaseLine("odd")},
		"unstated, version announced only":       {announced: []backend.Version{"v1"}},
		"unstated, version announced before":     {announced: []backend.Version{"v1", ""}},
		"one, version announced only":            {operators: release.One, announced: []backend.Version{"v1"}, whole: true},
		"one, another process":                   {operators: release.One, begin: processLine("s1/1"), later: processLine("s1/2"), whole: true},
		"one, another process, release later":    {operators: release.One, begin: processLine("s1/1"), later: processLine("s1/2") + releaseLine("p/v1"), whole: true},
		"one, two releases":                      {operators: release.One, begin: releaseLine("p/v1"), later: releaseLine("p/v2")},
		"one, two odd releases":                  {operators: release.One, begin: releaseLine("v1"), later: releaseLine("v2")},
		"one, two versions announced":            {operators: release.One, announced: []backend.Version{"v1", "v2"}},
		"one, two versions announced, same each": {operators: release.One, announced: []backend.Version{"v1", "v2"}, begin: releaseLine("p/v2"), later: releaseLine("p/v2"), whole: true},
	} {
		t.Run(name, func(t *testing.T) {
			tr := routerStating(t, tc.operators, 7)
			s := newBreakingServer(t, tc.begin, tc.later, closedChannel())
			for _, version := range append(tc.announced, "")[:max(1, len(tc.announced))] {
				tr.announceVersion(t, "s1", s, backend.Announcement{SoftwareVersion: version})
			}
			_, body := do(t, tr.request(t, http.MethodPost, "/services/p/x", "order", "{}"))
			assert.Equal(t, body == wholeStream, tc.whole, body)
			if !tc.whole {
				assert.Check(t, strings.Contains(body, `{"code":207,`) && !strings.Contains(body, "two"), body)
				assert.Equal(t, tr.router.counters.resumesRefused.Count(), int64(1))
			}
		})
	}
}

// Guards against what becomes known while a stream runs and is not looked at when it is
// resumed: a statement of the operators, a version, and a new process.
func TestResumeFollowsWhatBecameKnownMeanwhile(t *testing.T) {
	for name, learn := range map[string]func(*testing.T, *testRouter, *rawServer){
		"operators": func(t *testing.T, tr *testRouter, _ *rawServer) {
			assert.Assert(t, tr.store.ApplyDelta(1, 2, []*apiv1.Change{stateVersions(release.Several)}))
		},
		"version of another server": func(t *testing.T, tr *testRouter, _ *rawServer) {
			tr.announceVersion(t, "s2", newRawServer(t, respondOK), backend.Announcement{SoftwareVersion: "v1"})
		},
		"process": func(t *testing.T, tr *testRouter, s *rawServer) {
			tr.announceVersion(t, "s1", s, backend.Announcement{BootID: 2})
		},
		"process after another": func(t *testing.T, tr *testRouter, s *rawServer) {
			tr.announceVersion(t, "s1", s, backend.Announcement{BootID: 2})
			tr.announceVersion(t, "s1", s, backend.Announcement{BootID: 3})
		},
	} {
		t.Run(name, func(t *testing.T) {
			tr := routerStating(t, release.Unstated, 7)
			cut := make(chan struct{})
			s := newBreakingServer(t, "", "", cut)
			tr.announceVersion(t, "s1", s, backend.Announcement{})
			resp, err := http.DefaultClient.Do(tr.request(t, http.MethodPost, "/services/p/x", "order", "{}"))
			assert.NilError(t, err)
			defer resp.Body.Close()
			_, err = io.ReadFull(resp.Body, make([]byte, len("data: one\n\n")))
			assert.NilError(t, err)
			learn(t, tr, s)
			close(cut)
			rest, err := io.ReadAll(resp.Body)
			assert.NilError(t, err)
			assert.Assert(t, strings.Contains(string(rest), `{"code":207,`) && !strings.Contains(string(rest), "two"), string(rest))
		})
	}
}

// Guards against two versions that count as one after the older one was announced last,
// and against a single one that is forgotten while its servers announce it.
func TestStatedVersionsAreKept(t *testing.T) {
	servers := newServerTable()
	now := time.Now()
	announce := func(name string, version backend.Version) {
		servers.update(now, backend.Announcement{Name: name, Pool: "p", Kind: backend.Engine, BootID: 1, SoftwareVersion: version})
	}
	assert.Equal(t, servers.statedVersions(now, "p"), release.Unstated)
	announce("s1", "")
	assert.Equal(t, servers.statedVersions(now, "p"), release.Unstated)
	announce("s1", "v1")
	announce("s2", "")
	assert.Equal(t, servers.statedVersions(now, "p"), release.One)
	assert.Equal(t, servers.statedVersions(now, "q"), release.Unstated)
	for range 3 * int(statementRetention/time.Minute) {
		now = now.Add(time.Minute)
		announce("s1", "v1")
		servers.removeExpired(now)
		assert.Equal(t, servers.statedVersions(now, "p"), release.One)
	}
	announce("s1", "v2")
	changed := now
	for now.Sub(changed) < statementRetention {
		assert.Equal(t, servers.statedVersions(now, "p"), release.Several)
		now = now.Add(time.Minute)
		announce("s1", "v2")
		servers.removeExpired(now)
	}
	assert.Equal(t, servers.statedVersions(now, "p"), release.One)
	now = now.Add(statementRetention)
	assert.Equal(t, servers.statedVersions(now, "p"), release.Unstated)
	now = now.Add(time.Minute)
	servers.removeExpired(now)
	assert.Equal(t, len(servers.releases), 0)
}

// Guards against a service with one version whose streams end and whose take-ups are
// refused, because its servers announce it with blanks, which a header does not keep.
func TestBlanksAroundVersionMakeNoOtherOne(t *testing.T) {
	tr := routerStating(t, release.One, 7)
	s := newTakeUpServer(t, eventStream, "p/v1")
	for i, version := range []backend.Version{"v1 ", "\t v1", "v1"} {
		tr.announceVersion(t, "s1", s, backend.Announcement{BootID: uint64(i + 1), SoftwareVersion: version})
		resp, body := tr.takeUp(t, "/services/p/x")
		assert.Check(t, resp.StatusCode == http.StatusOK && body == restOfStream, "%q: %d %s", version, resp.StatusCode, body)
	}
	assert.Equal(t, tr.router.versions("p"), release.One)
	tr.announceVersion(t, "s1", s, backend.Announcement{BootID: 4, SoftwareVersion: "v 1"})
	assert.Equal(t, tr.router.versions("p"), release.Several, "a blank within a version")
}

// Guards against a statement of one version that is taken at its word although servers
// stated another release before all of them stopped, in announcements or in answers.
func TestStatedReleasesRefuteOneAfterStopOfAllServers(t *testing.T) {
	tr := routerStating(t, release.One, 7)
	servers, now := tr.router.servers, time.Now()
	earlier := now.Add(time.Minute - statementRetention)
	servers.noteRelease(earlier, "p", release.Of("p", "v1"))
	servers.removeExpired(now)
	s := newTakeUpServer(t, eventStream, "p/v2")
	tr.announceVersion(t, "s1", s, backend.Announcement{})
	resp, body := tr.takeUp(t, "/services/p/x")
	assert.Check(t, resp.Header.Get(headerResult) == "207" && !strings.Contains(body, "after 7"), body)
	tr.assertTakeUpRefused(t, "/services/p/x", s)
	tr = routerStating(t, release.One, 7)
	tr.router.servers.noteRelease(earlier, "p", release.Of("p", "v1"))
	tr.announceVersion(t, "s1", s, backend.Announcement{SoftwareVersion: "v2"})
	tr.assertTakeUpRefused(t, "/services/p/x", s)
}
