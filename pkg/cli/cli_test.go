package cli

import (
	"bytes"
	"context"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/controlhost"
	"jackdawtrack.example/jackdawtrack/pkg/logging"
	"jackdawtrack.example/jackdawtrack/pkg/settings"
	"jackdawtrack.example/jackdawtrack/pkg/workspace"
)

func TestMain(m *testing.M) {
	if err := logging.SetupText("error", io.Discard); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

const testKey = "the key of alice"

// fleet is a fleet of one control host with the operator alice.
type fleet struct {
	t       *testing.T
	control string
	keyFile string
}

func startFleet(t *testing.T) *fleet {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	admin, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	f := &fleet{t: t, control: l.Addr().String(), keyFile: filepath.Join(t.TempDir(), "key")}
	assert.NilError(t, os.WriteFile(f.keyFile, []byte(testKey+"\n"), 0o600))
	s := controlhost.NewSettings()
	s.ID, s.DataFolder, s.Listen = 1, t.TempDir(), settings.Address(f.control)
	s.Members = []controlhost.Member{{ID: 1, Address: settings.Address(f.control)}}
	s.FirstOperator = controlhost.FirstOperator{Name: "alice", KeyHash: hex.EncodeToString(workspace.HashKey(testKey))}
	assert.NilError(t, s.Validate())
	host, err := controlhost.Open(s, controlhost.Options{Listener: l, Admin: admin})
	assert.NilError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- host.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		assert.NilError(t, <-done)
	})
	deadline := time.Now().Add(time.Minute)
	for { // the host creates the first operator after it becomes leader
		if _, out, _ := f.run("", "operator", "list"); strings.Contains(out, "alice") {
			return f
		}
		assert.Assert(t, time.Now().Before(deadline), "the first operator was not created within a minute")
	}
}

func (f *fleet) run(stdin string, args ...string) (code int, out, errs string) {
	var o, e bytes.Buffer
	args = append([]string{"--control", f.control, "--operator", "alice", "--key-file", f.keyFile}, args...)
	code = Run(f.t.Context(), args, Streams{In: strings.NewReader(stdin), Out: &o, Err: &e}, "test")
	return code, o.String(), e.String()
}

// Guards against exit codes that operators' scripts would misread, and against
// an error message without the recommended next step.
func TestExitCodesAndMessages(t *testing.T) {
	f := startFleet(t)
	for _, c := range []struct {
		args  string
		code  int
		shows string
	}{
		{"class set chat --first-token 340ms", ExitOK, "revision 2"},
		{"class get chat", ExitOK, "340ms"},
		{"class get none", ExitRefused, "404 not_found"},
		{"class set bad", ExitRefused, "next: Correct the command"},
		{"datacentre out north", ExitOK, "--router ADMIN-ADDRESS"},
		{"datacentre list", ExitOK, "true"},
		{"--revision 1 datacentre in north", ExitRefused, "present: data centre north: out true"},
		{"--command-id c1 datacentre in north", ExitOK, "revision 4"},
		{"--command-id c1 datacentre in north", ExitOK, "applied earlier"},
		{"--command-id c1 datacentre out north", ExitRefused, "408 command_reused"},
		{"server depart s1", ExitOK, "revision 5"},
		{"server list", ExitOK, "s1"},
		{"server return s1", ExitOK, "revision 6"},
		{"server return s1", ExitRefused, "404 not_found"},
		{"operator delete alice", ExitRefused, "last operator"},
		{"member list", ExitOK, f.control},
		{"member replace 1 1 127.0.0.1:1", ExitUsage, "id of its own"},
		{"status", ExitOK, f.control},
		{"completion bash", ExitOK, "complete -F"},
		{"nonsense", ExitUsage, "--help"},
		{"--output table workspace set w --add-key --replace-keys", ExitUsage, "exclude"},
		{"datacentre out no/such", ExitUsage, "name"},
		{"--help", ExitOK, "usage: jackdawctl"},
	} {
		code, out, errs := f.run("", strings.Fields(c.args)...)
		assert.Equal(t, code, c.code, "%s: %s%s", c.args, out, errs)
		assert.Assert(t, strings.Contains(out+errs, c.shows), "%s: %s%s", c.args, out, errs)
	}
}

// Guards against a workspace key that is stored or printed a second time, and
// against a change of one workspace value that resets the others.
func TestWorkspaceKeysAreShownOnceAndKept(t *testing.T) {
	f := startFleet(t)
	code, out, _ := f.run("", "--output", "json", "workspace", "set", "samtryck")
	assert.Equal(t, code, ExitOK)
	var first struct{ Keys []string }
	assert.NilError(t, json.Unmarshal([]byte(out), &first))
	assert.Equal(t, len(first.Keys), 1)
	code, out, _ = f.run("second\n", "workspace", "set", "samtryck", "--requests-per-second", "5", "--add-key", "--key-stdin")
	assert.Equal(t, code, ExitOK)
	assert.Assert(t, !strings.Contains(out, "second"))
	code, _, _ = f.run("", "workspace", "set", "samtryck")
	assert.Equal(t, code, ExitOK)
	_, out, _ = f.run("", "--output", "json", "workspace", "list")
	var list []map[string]any
	assert.NilError(t, json.Unmarshal([]byte(out), &list))
	assert.DeepEqual(t, list, []map[string]any{{"name": "samtryck", "keys": 2.0, "requests_per_second": 5.0}})
	assert.Assert(t, !strings.Contains(out, first.Keys[0]))
}

// Guards against a missing hint to use --router when no control host is
// reachable, as in a partitioned data centre (F1).
func TestDataCentreOutWithoutControl(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	f := &fleet{t: t, control: l.Addr().String(), keyFile: filepath.Join(t.TempDir(), "key")}
	assert.NilError(t, l.Close())
	assert.NilError(t, os.WriteFile(f.keyFile, []byte(testKey), 0o600))
	code, _, errs := f.run("", "--timeout", "300ms", "--command-id", "c9", "datacentre", "out", "north")
	assert.Equal(t, code, ExitUnreachable)
	assert.Assert(t, strings.Contains(errs, "--command-id c9") && strings.Contains(errs, "--router ADMIN-ADDRESS"), errs)

	router := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, in *http.Request) {
		if in.URL.Path != "/v1/admin/datacentre/north/out" || in.Header.Get(headerOperator) != "alice" || in.Header.Get("Authorization") != "Bearer "+testKey {
			w.WriteHeader(http.StatusForbidden)
			_, _ = w.Write([]byte(`{"code":410,"message":"refused"}`))
			return
		}
		_, _ = w.Write([]byte(`{"routers_reached":4}`))
	}))
	defer router.Close()
	address := router.Listener.Addr().String()
	code, out, errs := f.run("", "datacentre", "out", "north", "--router", address)
	assert.Equal(t, code, ExitOK, errs)
	assert.Assert(t, strings.Contains(out, "4"))
	code, _, errs = f.run("", "datacentre", "out", "south", "--router", address)
	assert.Equal(t, code, ExitRefused)
	assert.Assert(t, strings.Contains(errs, "410 not_authorized"), errs)
	router.Close()
	code, _, _ = f.run("", "--timeout", "300ms", "datacentre", "out", "north", "--router", address)
	assert.Equal(t, code, ExitUnreachable)
}

// Guards against accepting a key file that other users can read.
func TestKeyFileModeIsChecked(t *testing.T) {
	f := &fleet{t: t, control: "127.0.0.1:1", keyFile: filepath.Join(t.TempDir(), "key")}
	assert.NilError(t, os.WriteFile(f.keyFile, []byte(testKey), 0o644))
	code, _, errs := f.run("", "datacentre", "out", "north")
	assert.Equal(t, code, ExitUsage)
	assert.Assert(t, strings.Contains(errs, "0600"), errs)
}
