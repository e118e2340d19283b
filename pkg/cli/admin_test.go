package cli

import (
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"encoding/json"

	"jackdawtrack.example/jackdawtrack/pkg/burn"
	"jackdawtrack.example/jackdawtrack/pkg/class"
	"jackdawtrack.example/jackdawtrack/pkg/result"
	"jackdawtrack.example/jackdawtrack/pkg/router"
)

// fakeRouter serves the admin API of one router at a revision and returns its
// address. Its burn report holds one request.
func fakeRouter(t *testing.T, name string, revision uint64, meetsTarget bool) string {
	t.Helper()
	now := time.Now()
	recorder := burn.NewRecorder(name, now.Add(-time.Hour))
	sample := burn.RequestSample{Class: class.Class{Name: "chat", FirstToken: time.Second}.WithDefaults(), Workspace: "w", FirstByte: time.Millisecond}
	if !meetsTarget {
		sample.Code = result.TargetUnreachable
	}
	recorder.Record(now, sample)
	mux := http.NewServeMux()
	writeJSON := func(w http.ResponseWriter, v any) { assert.Check(t, json.NewEncoder(w).Encode(v)) }
	mux.HandleFunc("GET /v1/admin/status", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, router.Status{Name: name, Revision: revision})
	})
	mux.HandleFunc("GET /v1/admin/burn", func(w http.ResponseWriter, _ *http.Request) {
		r, err := recorder.Report(now)
		assert.Check(t, err)
		writeJSON(w, r)
	})
	mux.HandleFunc("GET /v1/admin/requests/{id}", func(w http.ResponseWriter, in *http.Request) {
		if in.PathValue("id") != name+"-1" {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		writeJSON(w, router.Decision{ID: name + "-1", Attempts: []router.Attempt{{Server: "s1"}}})
	})
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// Guards against reporting a data centre as out before every named router has
// applied the change. A router in a partitioned data centre lags behind or does
// not respond.
func TestDataCentreOutIsConfirmedByRouters(t *testing.T) {
	f := startFleet(t)
	current := fakeRouter(t, "r1", 1<<20, true)
	behind := fakeRouter(t, "r2", 0, true)
	code, out, _ := f.run("", "datacentre", "out", "north", "--admin", current)
	assert.Equal(t, code, ExitOK)
	assert.Assert(t, strings.Contains(out, "in force at 1 of 1 routers"), out)
	silent, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections and never answers
	assert.NilError(t, err)
	defer silent.Close()
	code, _, errs := f.run("", "datacentre", "in", "north", "--admin", current, "--admin", behind, "--admin", silent.Addr().String(), "--timeout", "3s")
	assert.Equal(t, code, ExitUnreachable)
	want := "not confirmed by " + behind + ", " + silent.Addr().String() + ":"
	assert.Assert(t, strings.Contains(errs, want), errs)
	assert.Assert(t, strings.Contains(errs, "--router ADMIN-ADDRESS"), errs)
}

// Guards against a burn report that silently omits a router, and against a
// decision that is not found because only another router holds it.
func TestReportAndWhyAskAllRouters(t *testing.T) {
	f := startFleet(t)
	a, b := fakeRouter(t, "r1", 1, true), fakeRouter(t, "r2", 1, false)
	page := filepath.Join(t.TempDir(), "burn.html")
	code, out, _ := f.run("", "report", "burn", "--page", page, "--admin", a, "--admin", b, "--admin", "127.0.0.1:1")
	assert.Equal(t, code, ExitOK)
	for _, want := range []string{"50.00%", "refusal", "missing: router 127.0.0.1:1"} {
		assert.Assert(t, strings.Contains(out, want), "%s: %s", want, out)
	}
	html, err := os.ReadFile(page)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(html), "<svg"))

	code, out, _ = f.run("", "why", "r2-1", "--admin", a, "--admin", b)
	assert.Equal(t, code, ExitOK)
	assert.Assert(t, strings.Contains(out, "s1"), out)
	code, _, _ = f.run("", "why", "r3-1", "--admin", a, "--admin", b)
	assert.Equal(t, code, ExitRefused)
}
