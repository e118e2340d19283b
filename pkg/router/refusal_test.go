package router

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/catalog"
	"jackdawtrack.example/jackdawtrack/pkg/pool"
	"jackdawtrack.example/jackdawtrack/pkg/proxy"
	"jackdawtrack.example/jackdawtrack/pkg/result"
	"jackdawtrack.example/jackdawtrack/pkg/settings"
)

// TestRefusals checks that invalid requests are refused with the right code,
// HTTP status, headers and body.
func TestRefusals(t *testing.T) {
	tr := newTestRouter(t, func(c *Config, _ *Dependencies) { c.Limits.BodyBytes = minSizeLimit })
	tr.postAnnouncement(t, backend.Announcement{Name: "s1", Address: "127.0.0.1:9", Kind: backend.Engine}, serverKey)
	empty := newTestRouter(t, func(_ *Config, p *Dependencies) { p.Catalog = catalog.NewStore() })
	validBody := chatBody(1)
	cases := []struct {
		name       string
		testRouter *testRouter
		code       result.Code
		change     func(*http.Request)
		body       string
	}{
		{"no configuration", empty, result.NoConfiguration, nil, validBody},
		{"no key", tr, result.Unauthenticated, func(r *http.Request) { r.Header.Del("Authorization") }, validBody},
		{"wrong key", tr, result.Unauthenticated, func(r *http.Request) { r.Header.Set("Authorization", "Bearer x") }, validBody},
		{"unknown workspace", tr, result.UnknownWorkspace, func(r *http.Request) { r.Header.Set(proxy.HeaderWorkspace, "x") }, validBody},
		{"unknown class", tr, result.UnknownClass, func(r *http.Request) { r.Header.Set(proxy.HeaderClass, "x") }, validBody},
		{"unknown model", tr, result.UnknownModel, nil, strings.Replace(validBody, `"p"`, `"q"`, 1)},
		{"unknown service", tr, result.UnknownModel, func(r *http.Request) { r.URL.Path = "/services/q/" }, validBody},
		{"other path", tr, result.InvalidRequest, func(r *http.Request) { r.URL.Path = "/v1/models" }, validBody},
		{"no JSON", tr, result.InvalidRequest, nil, "{"},
		{"no messages", tr, result.InvalidRequest, nil, `{"model":"p"}`},
		{"long key", tr, result.InvalidRequest, func(r *http.Request) {
			r.Header.Set(proxy.HeaderIdempotencyKey, strings.Repeat("k", maxIdempotencyKeyBytes+1))
		}, validBody},
		{"hint", tr, result.InvalidRequest, func(r *http.Request) { r.Header.Set(proxy.HeaderCostHint, "-1") }, validBody},
		{"large body", tr, result.TooLarge, nil, strings.Repeat(" ", minSizeLimit+1)},
		{"large body of unknown length", tr, result.TooLarge, func(r *http.Request) { r.ContentLength = -1 }, strings.Repeat(" ", minSizeLimit+1)},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			req := tc.testRouter.request(t, http.MethodPost, chatPath, "chat", tc.body)
			if tc.change != nil {
				tc.change(req)
			}
			expectRefusal(t, req, tc.code)
		})
	}
	assert.Equal(t, tr.router.bodyMemoryBytes.Load(), int64(0))
}

func expectRefusal(t *testing.T, req *http.Request, code result.Code) {
	t.Helper()
	resp, body := do(t, req)
	var got struct {
		Code     result.Code
		Executed string
	}
	assert.NilError(t, json.Unmarshal([]byte(body), &got), "%s", body)
	assert.Equal(t, got.Code, code, body)
	assert.Equal(t, resp.StatusCode, code.Status())
	assert.Equal(t, got.Executed, string(code.Executed()))
	assert.Equal(t, resp.Header.Get(headerExecuted), string(code.Executed()))
	if suggestsRetry(code) {
		assert.Assert(t, resp.Header.Get(headerRetryAfter) != "")
	}
}

// TestRequestRateIsLimited checks that the request rate of a workspace is
// limited (F3).
func TestRequestRateIsLimited(t *testing.T) {
	tr := newTestRouter(t, nil)
	for i, code := range []result.Code{result.UnknownModel, result.RateLimited} {
		req := tr.request(t, http.MethodPost, chatPath, "chat", chatBody(1), proxy.HeaderWorkspace, "slow")
		t.Logf("request %d", i)
		expectRefusal(t, req, code)
	}
}

// TestAnnouncementsAreChecked checks that a server can announce itself only
// under a name that its credential allows and no other live server uses.
func TestAnnouncementsAreChecked(t *testing.T) {
	tr := newTestRouter(t, nil)
	first := backend.Announcement{Name: "s1", Address: "127.0.0.1:9", Kind: backend.Engine, BootID: 1}
	changed := func(change func(*backend.Announcement)) backend.Announcement {
		a := first
		change(&a)
		return a
	}
	for _, tc := range []struct {
		name   string
		a      backend.Announcement
		key    string
		status int
	}{
		{"wrong credential", first, "x", http.StatusForbidden},
		{"name of another credential", changed(func(a *backend.Announcement) { a.Name = "x1" }), serverKey, http.StatusForbidden},
		{"other data centre", changed(func(a *backend.Announcement) { a.DataCentre = "south" }), serverKey, http.StatusForbidden},
		{"first", first, serverKey, http.StatusNoContent},
		{"second server under the name", changed(func(a *backend.Announcement) { a.Address = "127.0.0.1:10" }), serverKey, http.StatusForbidden},
		{"restart", changed(func(a *backend.Announcement) { a.BootID = 2 }), serverKey, http.StatusNoContent},
	} {
		resp := tr.postAnnouncement(t, tc.a, tc.key)
		assert.Equal(t, resp.StatusCode, tc.status, tc.name)
	}
}

// TestLocalMarkTakesDataCentreOut checks that a data centre that an operator
// marked as out of service receives no new work (I4), that only operators can
// mark it, and that a newer configuration ends the mark.
func TestLocalMarkTakesDataCentreOut(t *testing.T) {
	tr := newTestRouter(t, nil)
	tr.postAnnouncement(t, backend.Announcement{Name: "s1", Address: "127.0.0.1:9", Kind: backend.Engine}, serverKey)
	setMark := func(key, state string) int {
		req, err := http.NewRequest(http.MethodPost, tr.admin.URL+"/v1/admin/datacentre/north/"+state, nil)
		assert.NilError(t, err)
		req.Header.Set(headerOperator, "op")
		req.Header.Set("Authorization", "Bearer "+key)
		resp, _ := do(t, req)
		return resp.StatusCode
	}
	assert.Equal(t, setMark("x", "out"), http.StatusForbidden)
	assert.Assert(t, !tr.router.dataCentreOut("north"))
	assert.Equal(t, setMark(operatorKey, "off"), http.StatusBadRequest)
	assert.Equal(t, setMark(operatorKey, "out"), http.StatusOK)
	assert.Assert(t, tr.router.dataCentreOut("north"))
	shard := tr.router.shardOf("p")
	tr.waitFor(t, "the owner grants no work in the data centre", func() bool {
		usable := true
		tr.router.applyIfOwner(shard, func(_ time.Time, o *pool.Owner) { usable = o.Snapshot().Servers[0].Usable })
		return !usable
	})
	assert.Equal(t, setMark(operatorKey, "in"), http.StatusOK)
	assert.Assert(t, !tr.router.dataCentreOut("north"))
	assert.Equal(t, setMark(operatorKey, "out"), http.StatusOK)
	assert.Assert(t, tr.router.dataCentreOut("north"), "marks made in the same millisecond must keep their order")
	assert.Assert(t, tr.store.ApplyDelta(1, 2, nil))
	assert.Assert(t, !tr.router.dataCentreOut("north"))
}

// TestSlowBodyTimesOut checks that a caller does not hold memory with a body
// that never arrives.
func TestSlowBodyTimesOut(t *testing.T) {
	tr := newTestRouter(t, func(c *Config, _ *Dependencies) { c.Limits.BodyTimeout = settings.Duration(100 * time.Millisecond) })
	for key, code := range map[string]result.Code{workspaceKey: result.InvalidRequest, "x": result.Unauthenticated} {
		tr.expectSlowBody(t, key, code)
	}
}

func (tr *testRouter) expectSlowBody(t *testing.T, key string, code result.Code) {
	t.Helper()
	c, err := net.Dial("tcp", tr.callers.Listener.Addr().String())
	assert.NilError(t, err)
	defer c.Close()
	assert.NilError(t, c.SetDeadline(time.Now().Add(testTimeout)))
	_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n%s: w\r\n%s: chat\r\nContent-Length: 100\r\n\r\n{",
		chatPath, key, proxy.HeaderWorkspace, proxy.HeaderClass)
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	resp.Body.Close()
	assert.Equal(t, resp.Header.Get(headerResult), fmt.Sprint(uint32(code)))
	tr.waitFor(t, "all requests have ended", func() bool { return tr.router.openRequests.Load() == 0 && tr.router.bodyMemoryBytes.Load() == 0 })
}

// TestStartedRouterWaitsForAnnouncements checks that a router is not ready, and
// does not report a model as unknown, before it has had time to receive
// announcements.
func TestStartedRouterWaitsForAnnouncements(t *testing.T) {
	tr := newTestRouter(t, nil)
	assert.Assert(t, tr.router.Ready())
	tr.router.startedAt = time.Now()
	assert.Assert(t, !tr.router.Ready())
	expectRefusal(t, tr.request(t, http.MethodPost, chatPath, "chat", chatBody(1)), result.NoServer)
	tr.postAnnouncement(t, backend.Announcement{Name: "s1", Address: "127.0.0.1:9", Kind: backend.Engine}, serverKey)
	assert.Assert(t, tr.router.Ready())
}

// TestSettingsAreChecked checks that invalid settings are refused, for example
// addresses that other routers cannot reach.
func TestSettingsAreChecked(t *testing.T) {
	for name, change := range map[string]func(*Config){
		"name":            func(c *Config) { c.Name = "" },
		"data_centre":     func(c *Config) { c.DataCentre = "a b" },
		"listen.peers":    func(c *Config) { c.Listen.Peers = "0.0.0.0:7402" },
		"tls.callers":     func(c *Config) { c.TLS.Callers.Key = "k" },
		"body_bytes":      func(c *Config) { c.Limits.BodyBytes = 0 },
		"body_memory":     func(c *Config) { c.Limits.BodyMemoryBytes = 1 },
		"write_timeout":   func(c *Config) { c.Limits.WriteTimeout = 0 },
		"drain.longest":   func(c *Config) { c.Drain.Longest = 0 },
		"is used twice":   func(c *Config) { c.Peers = []PeerConfig{{"rt", "north", "127.0.0.1:1"}} },
		"name, data_cent": func(c *Config) { c.Peers = []PeerConfig{{Name: "x"}} },
	} {
		c := NewConfig()
		c.Name, c.DataCentre = "rt", "north"
		assert.NilError(t, c.Validate())
		change(c)
		assert.ErrorContains(t, c.Validate(), name)
	}
}
