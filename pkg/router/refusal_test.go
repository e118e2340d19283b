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

// Guards against a request that passes admission without a right to, and
// against a refusal without code, execution or body.
func TestRefusals(t *testing.T) {
	f := newFleet(t, func(c *Config, _ *Parts) { c.Limits.BodyBytes = smallestBodyLimit })
	f.announceAs(t, backend.Announcement{Name: "s1", Address: "127.0.0.1:9", Kind: backend.Engine}, serverKey)
	empty := newFleet(t, func(_ *Config, p *Parts) { p.Catalog = catalog.NewStore() })
	good := chatBody(1)
	cases := []struct {
		name  string
		fleet *fleet
		code  result.Code
		edit  func(*http.Request)
		body  string
	}{
		{"no configuration", empty, result.NoConfiguration, nil, good},
		{"no key", f, result.Unauthenticated, func(r *http.Request) { r.Header.Del("Authorization") }, good},
		{"wrong key", f, result.Unauthenticated, func(r *http.Request) { r.Header.Set("Authorization", "Bearer x") }, good},
		{"unknown workspace", f, result.UnknownWorkspace, func(r *http.Request) { r.Header.Set(proxy.HeaderWorkspace, "x") }, good},
		{"unknown class", f, result.UnknownClass, func(r *http.Request) { r.Header.Set(proxy.HeaderClass, "x") }, good},
		{"unknown model", f, result.UnknownModel, nil, strings.Replace(good, `"p"`, `"q"`, 1)},
		{"unknown service", f, result.UnknownModel, func(r *http.Request) { r.URL.Path = "/services/q/" }, good},
		{"other path", f, result.InvalidRequest, func(r *http.Request) { r.URL.Path = "/v1/models" }, good},
		{"no JSON", f, result.InvalidRequest, nil, "{"},
		{"no messages", f, result.InvalidRequest, nil, `{"model":"p"}`},
		{"long key", f, result.InvalidRequest, func(r *http.Request) {
			r.Header.Set(proxy.HeaderIdempotencyKey, strings.Repeat("k", maxKeyLength+1))
		}, good},
		{"hint", f, result.InvalidRequest, func(r *http.Request) { r.Header.Set(proxy.HeaderCostHint, "-1") }, good},
		{"large body", f, result.TooLarge, nil, strings.Repeat(" ", smallestBodyLimit+1)},
		{"large body of unknown length", f, result.TooLarge, func(r *http.Request) { r.ContentLength = -1 }, strings.Repeat(" ", smallestBodyLimit+1)},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			req := tc.fleet.request(t, http.MethodPost, chatPath, "chat", tc.body)
			if tc.edit != nil {
				tc.edit(req)
			}
			expectRefusal(t, req, tc.code)
		})
	}
	assert.Equal(t, f.router.bodyMemory.Load(), int64(0))
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

// Guards against a workspace that floods the fleet (F3).
func TestRequestRateIsLimited(t *testing.T) {
	f := newFleet(t, nil)
	for i, code := range []result.Code{result.UnknownModel, result.RateLimited} {
		req := f.request(t, http.MethodPost, chatPath, "chat", chatBody(1), proxy.HeaderWorkspace, "slow")
		t.Logf("request %d", i)
		expectRefusal(t, req, code)
	}
}

// Guards against a server that announces itself under a name that is not its
// own.
func TestAnnouncementsAreChecked(t *testing.T) {
	f := newFleet(t, nil)
	first := backend.Announcement{Name: "s1", Address: "127.0.0.1:9", Kind: backend.Engine, BootID: 1}
	with := func(edit func(*backend.Announcement)) backend.Announcement {
		a := first
		edit(&a)
		return a
	}
	for _, tc := range []struct {
		name   string
		a      backend.Announcement
		key    string
		status int
	}{
		{"wrong credential", first, "x", http.StatusForbidden},
		{"name of another credential", with(func(a *backend.Announcement) { a.Name = "x1" }), serverKey, http.StatusForbidden},
		{"other data centre", with(func(a *backend.Announcement) { a.DataCentre = "south" }), serverKey, http.StatusForbidden},
		{"first", first, serverKey, http.StatusNoContent},
		{"second server under the name", with(func(a *backend.Announcement) { a.Address = "127.0.0.1:10" }), serverKey, http.StatusForbidden},
		{"restart", with(func(a *backend.Announcement) { a.BootID = 2 }), serverKey, http.StatusNoContent},
	} {
		resp := f.announceAs(t, tc.a, tc.key)
		assert.Equal(t, resp.StatusCode, tc.status, tc.name)
	}
}

// Guards against I4: a data centre that an operator took out without control
// must get no new work, and only an operator may say so. A newer configuration
// ends the mark.
func TestLocalMarkTakesDataCentreOut(t *testing.T) {
	f := newFleet(t, nil)
	f.announceAs(t, backend.Announcement{Name: "s1", Address: "127.0.0.1:9", Kind: backend.Engine}, serverKey)
	mark := func(key, state string) int {
		req, err := http.NewRequest(http.MethodPost, f.admin.URL+"/v1/admin/datacentre/north/"+state, nil)
		assert.NilError(t, err)
		req.Header.Set(headerOperator, "op")
		req.Header.Set("Authorization", "Bearer "+key)
		resp, _ := do(t, req)
		return resp.StatusCode
	}
	assert.Equal(t, mark("x", "out"), http.StatusForbidden)
	assert.Assert(t, !f.router.dataCentreOut("north"))
	assert.Equal(t, mark(operatorKey, "off"), http.StatusBadRequest)
	assert.Equal(t, mark(operatorKey, "out"), http.StatusOK)
	assert.Assert(t, f.router.dataCentreOut("north"))
	shard := f.router.shardOf("p")
	f.await(t, "the owner gives no work to the data centre", func() bool {
		usable := true
		f.router.atShard(shard, func(_ time.Time, o *pool.Owner) { usable = o.Snapshot().Servers[0].Usable })
		return !usable
	})
	assert.Equal(t, mark(operatorKey, "in"), http.StatusOK)
	assert.Assert(t, !f.router.dataCentreOut("north"))
	assert.Equal(t, mark(operatorKey, "out"), http.StatusOK)
	assert.Assert(t, f.router.dataCentreOut("north"), "marks of one millisecond keep their order")
	assert.Assert(t, f.store.ApplyDelta(1, 2, nil))
	assert.Assert(t, !f.router.dataCentreOut("north"))
}

// Guards against a caller that holds memory with a body that never arrives.
func TestSlowBodyIsGivenUp(t *testing.T) {
	f := newFleet(t, func(c *Config, _ *Parts) { c.Limits.BodyTimeout = settings.Duration(100 * time.Millisecond) })
	for key, code := range map[string]result.Code{wsKey: result.InvalidRequest, "x": result.Unauthenticated} {
		f.expectSlowBody(t, key, code)
	}
}

func (f *fleet) expectSlowBody(t *testing.T, key string, code result.Code) {
	t.Helper()
	c, err := net.Dial("tcp", f.callers.Listener.Addr().String())
	assert.NilError(t, err)
	defer c.Close()
	assert.NilError(t, c.SetDeadline(time.Now().Add(testPatience)))
	_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n%s: w\r\n%s: chat\r\nContent-Length: 100\r\n\r\n{",
		chatPath, key, proxy.HeaderWorkspace, proxy.HeaderClass)
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	resp.Body.Close()
	assert.Equal(t, resp.Header.Get(headerResult), fmt.Sprint(uint32(code)))
	f.await(t, "nothing is open", func() bool { return f.router.open.Load() == 0 && f.router.bodyMemory.Load() == 0 })
}

// Guards against a 404 for a model that a restarted router has not heard of
// yet, and against readiness before it has.
func TestStartedRouterWaitsForAnnouncements(t *testing.T) {
	f := newFleet(t, nil)
	assert.Assert(t, f.router.Ready())
	f.router.began = time.Now()
	assert.Assert(t, !f.router.Ready())
	expectRefusal(t, f.request(t, http.MethodPost, chatPath, "chat", chatBody(1)), result.NoServer)
	f.announceAs(t, backend.Announcement{Name: "s1", Address: "127.0.0.1:9", Kind: backend.Engine}, serverKey)
	assert.Assert(t, f.router.Ready())
}

// Guards against settings that start a router which others cannot reach or
// that accepts what it cannot hold.
func TestSettingsAreChecked(t *testing.T) {
	for name, edit := range map[string]func(*Config){
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
		edit(c)
		assert.ErrorContains(t, c.Validate(), name)
	}
}
