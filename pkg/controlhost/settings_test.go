package controlhost

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/result"
	"jackdawtrack.example/jackdawtrack/pkg/settings"
)

const validSettings = `id: 1
data_folder: data
listen: 127.0.0.1:7400
members:
  - {id: 1, address: "127.0.0.1:7400"}
  - {id: 2, address: "127.0.0.2:7400"}
first_operator: {name: alice, key_hash: 2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b}
`

// Guards against settings with which a host cannot join its group, or would
// take the identity of another host.
func TestSettingsValidation(t *testing.T) {
	for name, c := range map[string]struct{ old, new, wantErr string }{
		"valid":           {"", "", ""},
		"no id":           {"id: 1\n", "", "id"},
		"unknown key":     {"data_folder", "data_dir", "line 2"},
		"no folder":       {"data_folder: data\n", "", "data_folder"},
		"same id":         {"id: 2", "id: 1", "members"},
		"other address":   {"listen: 127.0.0.1:7400", "listen: 127.0.0.1:7500", "members"},
		"any address":     {"listen: 127.0.0.1:7400", "listen: 0.0.0.0:7400", "advertise"},
		"not a member":    {"id: 1\ndata", "id: 3\ndata", "members"},
		"short hash":      {"2bb80d537b1da3e3", "", "key_hash"},
		"incomplete TLS":  {"id: 1\ndata", "tls: {key: a}\nid: 1\ndata", "tls"},
		"no listen":       {"listen: 127.0.0.1:7400", "listen: \"\"", "line 3"},
		"host name":       {"listen: 127.0.0.1:7400", "listen: localhost:7400", "line 3"},
		"missing TLS key": {"id: 1\ndata", "tls: {certificate: a, client_ca: b}\nid: 1\ndata", "tls"},
	} {
		path := filepath.Join(t.TempDir(), "settings.yaml")
		text := validSettings
		if c.old != "" {
			text = strings.Replace(text, c.old, c.new, 1)
		}
		assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
		err := settings.Load(path, NewSettings())
		if c.wantErr == "" {
			assert.NilError(t, err)
			continue
		}
		code, _ := result.CodeOf(err)
		assert.Equal(t, code, result.InvalidSettings, "%s: %v", name, err)
		assert.Assert(t, strings.Contains(err.Error(), c.wantErr), "%s: %v", name, err)
	}
	path := filepath.Join(t.TempDir(), "settings.yaml")
	assert.NilError(t, os.WriteFile(path, []byte(validSettings), 0o644))
	assert.ErrorContains(t, settings.Load(path, NewSettings()), "0600")
}
