package router

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/catalog"
	"jackdawtrack.example/jackdawtrack/pkg/class"
	"jackdawtrack.example/jackdawtrack/pkg/pool"
	"jackdawtrack.example/jackdawtrack/pkg/proxy"
	"jackdawtrack.example/jackdawtrack/pkg/settings"
	"jackdawtrack.example/jackdawtrack/pkg/standin"
	"jackdawtrack.example/jackdawtrack/pkg/workspace"
)

const (
	testTimeout  = 20 * time.Second
	workspaceKey = "ws-key"
	serverKey    = "server-key"
	operatorKey  = "operator-key"
)

// testRouter is one running router on free ports.
type testRouter struct {
	router  *Router
	store   *catalog.Store
	callers *httptest.Server
	announce,
	admin *httptest.Server
}

// configuration returns the catalog that all test routers use.
func configuration() []*apiv1.Change {
	chat := class.Class{Name: "chat", FirstToken: 10 * time.Second, MayWait: true, MaxWait: 10 * time.Second, MayRunTwice: true, ProgressTimeout: time.Second}
	order := class.Class{Name: "order", Answer: 10 * time.Second, MayWait: true, MaxWait: 10 * time.Second, ProgressTimeout: time.Second}
	return []*apiv1.Change{
		catalog.ClassChange(chat),
		catalog.ClassChange(order),
		catalog.ClassChange(class.Class{Name: "check", Answer: 10 * time.Second}),
		catalog.WorkspaceChange(workspace.Workspace{Name: "w", KeyHashes: [][]byte{workspace.HashKey(workspaceKey)}}),
		catalog.WorkspaceChange(workspace.Workspace{Name: "slow", KeyHashes: [][]byte{workspace.HashKey(workspaceKey)}, RequestsPerSecond: 0.001}),
		catalog.CredentialChange(catalog.Credential{Name: "s*", KeyHash: workspace.HashKey(serverKey)}),
		catalog.OperatorChange(catalog.Operator{Name: "op", KeyHash: workspace.HashKey(operatorKey)}),
	}
}

func newTestRouter(t testing.TB, change func(*Config, *Dependencies)) *testRouter {
	t.Helper()
	return newTestRouterAs(t, pool.RouterID{Name: "rt-1", DataCentre: "north", Incarnation: 7}, change)
}

func newTestRouterAs(t testing.TB, self pool.RouterID, change func(*Config, *Dependencies)) *testRouter {
	t.Helper()
	cfg := NewConfig()
	cfg.Name, cfg.DataCentre = self.Name, self.DataCentre
	deps := Dependencies{Catalog: catalog.NewStore(), Ownership: NewStaticOwnership(self), Pool: pool.DefaultConfig()}
	deps.Pool.RecoveryWait = 0
	deps.Catalog.ApplySnapshot(1, configuration())
	if change != nil {
		change(cfg, &deps)
	}
	r := New(cfg, self, deps)
	r.startedAt = time.Time{} // long enough ago for all servers to have announced themselves
	r.serversHeard.Store(true)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); r.Run(ctx) }()
	tr := &testRouter{
		router:   r,
		store:    deps.Catalog,
		callers:  httptest.NewServer(r.Handler()),
		announce: httptest.NewServer(r.AnnounceHandler()),
		admin:    httptest.NewServer(r.AdminHandler()),
	}
	t.Cleanup(func() {
		r.Close()
		tr.callers.Close()
		tr.announce.Close()
		tr.admin.Close()
		cancel()
		<-done
	})
	return tr
}

// startStandin starts a stand-in that announces itself to the router and waits
// until it can receive work.
func (tr *testRouter) startStandin(t testing.TB, s standin.ServerSettings) string {
	t.Helper()
	return tr.startServer(t, s).Address()
}

// startServer is startStandin for tests that look at the stand-in itself.
func (tr *testRouter) startServer(t testing.TB, s standin.ServerSettings) *standin.Server {
	t.Helper()
	s.DataCentre, s.Listen, s.Credential, s.StartWarm = "north", "127.0.0.1:0", serverKey, true
	s.ReportLag = settings.Duration(10 * time.Millisecond)
	s.Announce = []settings.Address{settings.Address(tr.announce.Listener.Addr().String())}
	all := &standin.Settings{Servers: []standin.ServerSettings{s}}
	assert.NilError(t, all.Validate())
	log, err := standin.OpenExecutionLog(filepath.Join(t.TempDir(), "executions"))
	assert.NilError(t, err)
	server, err := standin.NewServer(all.Servers[0], log)
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = server.Serve(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	tr.waitFor(t, "stand-in is usable", func() bool {
		for _, shard := range tr.router.Status().Shards {
			for _, v := range shard.Servers {
				if v.Name == s.Name && v.Usable {
					return true
				}
			}
		}
		return false
	})
	return server
}

// announcer sends announcements. It is not the default client, whose idle connections
// end whenever a test server is closed.
var announcer = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// postAnnouncement announces a server that has no stand-in.
func (tr *testRouter) postAnnouncement(t testing.TB, a backend.Announcement, key string) *http.Response {
	t.Helper()
	if a.DataCentre == "" {
		a.DataCentre = "north"
	}
	a.Pool, a.BootID, a.Slots = "p", max(a.BootID, 1), 64
	if a.State == "" {
		a.State = backend.Ready
	}
	body, err := json.Marshal(a)
	assert.NilError(t, err)
	req, err := http.NewRequest(http.MethodPost, tr.announce.URL+"/v1/announce", bytes.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := announcer.Do(req)
	assert.NilError(t, err)
	resp.Body.Close()
	return resp
}

// waitFor polls ok until it returns true and fails the test after testTimeout.
func (tr *testRouter) waitFor(t testing.TB, what string, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(testTimeout)
	for !ok() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for: %s", what)
		}
		<-time.After(5 * time.Millisecond)
	}
}

func (tr *testRouter) request(t testing.TB, method, path, class, body string, header ...string) *http.Request {
	t.Helper()
	req, err := http.NewRequest(method, tr.callers.URL+path, strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+workspaceKey)
	req.Header.Set(proxy.HeaderWorkspace, "w")
	req.Header.Set(proxy.HeaderClass, class)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	return req
}

func do(t testing.TB, req *http.Request) (*http.Response, string) {
	t.Helper()
	resp, body := tryDo(req)
	assert.Assert(t, resp != nil, "incomplete response: %s", body)
	return resp, body
}

// tryDo returns a nil response if the request fails or the response breaks off.
func tryDo(req *http.Request) (*http.Response, string) {
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err.Error()
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, string(body)
	}
	return resp, string(body)
}

func chatBody(tokens int) string {
	return fmt.Sprintf(`{"model":"p","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"an apron with a pocket"}]}`, tokens)
}

// TestAnswerIsForwardedUnchanged checks that the response of the server reaches
// the caller unchanged and that the slot is freed.
func TestAnswerIsForwardedUnchanged(t *testing.T) {
	tr := newTestRouter(t, nil)
	address := tr.startStandin(t, standin.ServerSettings{Name: "s1", Kind: backend.Engine, Pool: "p", TokenInterval: settings.Duration(time.Millisecond)})
	resp, body := do(t, tr.request(t, http.MethodPost, chatPath, "chat", chatBody(20)))
	assert.Equal(t, resp.StatusCode, http.StatusOK, body)
	assert.Equal(t, resp.Header.Get(headerResult), "0")
	assert.Assert(t, strings.HasSuffix(body, "data: [DONE]\n\n"))

	direct, err := http.NewRequest(http.MethodPost, "http://"+address+chatPath, strings.NewReader(chatBody(20)))
	assert.NilError(t, err)
	direct.Header.Set(proxy.HeaderRequestID, resp.Header.Get(proxy.HeaderRequestID))
	_, same := do(t, direct)
	assert.Equal(t, body, same)

	d, ok := tr.router.decisionLog.get(resp.Header.Get(proxy.HeaderRequestID))
	assert.Assert(t, ok)
	assert.Equal(t, d.Attempts[0].Server, "s1")
	assert.Assert(t, d.Attempts[0].CostUnits > 80, "%+v", d.Attempts[0])
	waiting, held := tr.router.askTable.counts()
	assert.Equal(t, waiting+held, 0)
}

// TestServiceRequestIsForwardedUnchanged checks that path, query and method of
// a service request reach the server unchanged.
func TestServiceRequestIsForwardedUnchanged(t *testing.T) {
	tr := newTestRouter(t, nil)
	tr.startStandin(t, standin.ServerSettings{Name: "s1", Kind: backend.Service, Pool: "stock", ProcessingTime: settings.Duration(time.Millisecond)})
	resp, body := do(t, tr.request(t, http.MethodPut, "/services/stock/items/7?x=1", "order", "{}"))
	assert.Equal(t, resp.StatusCode, http.StatusOK, body)
	assert.Assert(t, strings.Contains(body, `"method":"PUT"`) && strings.Contains(body, `"path":"/items/7"`), body)
}
