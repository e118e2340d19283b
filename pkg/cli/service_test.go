package cli

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a statement on a service that is stored as another one.
func TestStatementsOnServices(t *testing.T) {
	f := startFleet(t)
	for _, c := range []struct {
		args  string
		code  int
		shows string
	}{
		{"service set stock --software-versions one", ExitOK, "revision 2"},
		{"--revision 1 service set stock --software-versions several", ExitRefused, "present: service stock: software versions one"},
		{"service set chat --software-versions several", ExitOK, "revision 3"},
		{"--output json service list", ExitOK, `"software_versions": "several"`},
		{"--output json service list", ExitOK, `"software_versions": "one"`},
		{"service set chat", ExitUsage, "software-versions"},
		{"service set chat --software-versions unstated", ExitUsage, "one,several"},
		{"service set a/b --software-versions one", ExitRefused, "next: Correct the command"},
		{"service delete stock", ExitOK, "revision 4"},
		{"service delete stock", ExitRefused, "404 not_found"},
	} {
		code, out, errs := f.run("", strings.Fields(c.args)...)
		assert.Equal(t, code, c.code, "%s: %s", c.args, errs)
		assert.Assert(t, strings.Contains(out+errs, c.shows), "%s: %s %s", c.args, out, errs)
	}
	_, out, _ := f.run("", "service", "list")
	assert.Assert(t, !strings.Contains(out, "stock") && strings.Contains(out, "chat"), out)
}
