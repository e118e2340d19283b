package settings

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/result"
)

type sample struct {
	Listen Address  `yaml:"listen"`
	Wait   Duration `yaml:"wait"`
	Key    string   `yaml:"key"`
}

func (s *sample) Validate() error   { return nil }
func (s *sample) HoldsSecret() bool { return s.Key != "" }

// Guards against settings that are silently ignored or misread.
func TestLoadErrorsNameLine(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"unknown key", "listen: 127.0.0.1:1\nlisen: x\n", "line 2: field lisen not found"},
		{"no unit", "wait: 3\n", "line 1: duration \"3\""},
		{"host name", "\nlisten: example:80\n", "line 2: address"},
		{"two documents", "wait: 3s\n---\nwait: 4s\n", "more than one YAML document"},
		{"readable secret", "key: abc\n", "use 0600"},
	} {
		t.Run(c.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "s.yaml")
			assert.NilError(t, os.WriteFile(path, []byte(c.text), 0o644))
			err := Load(path, &sample{})
			assert.ErrorContains(t, err, c.want)
			code, _ := result.CodeOf(err)
			assert.Equal(t, code, result.InvalidSettings)
		})
	}
}

func TestLoadKeepsDefaults(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s.yaml")
	assert.NilError(t, os.WriteFile(path, []byte("listen: 127.0.0.1:1\n"), 0o600))
	s := sample{Wait: Duration(time.Second)}
	assert.NilError(t, Load(path, &s))
	assert.Equal(t, s.Wait.AsDuration(), time.Second)
}
