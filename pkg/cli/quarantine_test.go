package cli

import (
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a release that is sent without the operator's key or ends at a
// router that does not have the verdict, and against a list that omits a router
// without saying so.
func TestQuarantineIsListedAndReleased(t *testing.T) {
	f := &fleet{t: t, control: "127.0.0.1:1", keyFile: filepath.Join(t.TempDir(), "key")}
	assert.NilError(t, os.WriteFile(f.keyFile, []byte(testKey), 0o600))
	serve := func(list string) string {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			switch {
			case r.Method == http.MethodGet && r.URL.Path == quarantinePath:
				_, _ = w.Write([]byte(list))
			case r.Header.Get(headerOperator) != "alice" || r.Header.Get("Authorization") != "Bearer "+testKey:
				w.WriteHeader(http.StatusForbidden)
				_, _ = w.Write([]byte(`{"code":410,"message":"refused"}`))
			case r.Method == http.MethodDelete && r.URL.Path == quarantinePath+"/8c1f" && list != "[]":
				_, _ = w.Write([]byte(`{"released":"8c1f"}`))
			default:
				w.WriteHeader(http.StatusNotFound)
				_, _ = w.Write([]byte(`{"code":404,"message":"not quarantined"}`))
			}
		}))
		t.Cleanup(s.Close)
		return s.Listener.Addr().String()
	}
	without, with := serve("[]"), serve(`[{"kind":"request","suspect":"8c1f","request":"POST /x of workspace \"w\"","state":"quarantined","losses":3,"hosts":2,"refusals":41}]`)
	for _, c := range []struct {
		args  string
		code  int
		shows string
	}{
		{"quarantine list --admin " + without + " --admin " + with, ExitOK, "8c1f"},
		{"quarantine list --admin 127.0.0.1:1 --admin " + with, ExitUnreachable, "8c1f"},
		{"quarantine list", ExitUsage, "--admin"},
		{"quarantine release 8c1f --admin " + without + " --admin " + with, ExitOK, with},
		{"quarantine release 8c1f --admin 127.0.0.1:1 --admin " + with, ExitOK, with},
		{"quarantine release 77 --admin " + with, ExitRefused, "404 not_found"},
	} {
		code, out, errs := f.run("", strings.Fields(c.args)...)
		assert.Equal(t, code, c.code, "%s: %s%s", c.args, out, errs)
		assert.Assert(t, strings.Contains(out+errs, c.shows), "%s: %s%s", c.args, out, errs)
	}
	assert.NilError(t, os.WriteFile(f.keyFile, []byte("another key"), 0o600))
	code, _, errs := f.run("", "quarantine", "release", "8c1f", "--admin", with)
	assert.Equal(t, code, ExitRefused)
	assert.Assert(t, strings.Contains(errs, "410 not_authorized"), errs)
}
