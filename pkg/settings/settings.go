// Package settings reads YAML settings files in strict mode. It rejects unknown
// keys and values of the wrong type with file and line, and files with a secret
// that other users can read.
package settings

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"regexp"
	"time"

	"go.yaml.in/yaml/v3"

	"jackdawtrack.example/jackdawtrack/pkg/result"
)

const (
	maxFileBytes       = 1 << 20
	groupOtherPermMask = 0o077
	addressExample     = "127.0.0.1:7400"
	durationExample    = "250ms, 3s or 10m"
)

// Validator is implemented by settings types. An error of Validate should name
// the key.
type Validator interface {
	Validate() error
}

// SecretHolder is implemented by settings types that may hold a secret.
type SecretHolder interface {
	HoldsSecret() bool
}

// Load reads the file into out, which holds the defaults, and validates it. All
// errors have the code InvalidSettings and name the file.
func Load(path string, out Validator) error {
	f, err := os.Open(path)
	if err != nil {
		return result.Wrap(result.InvalidSettings, err, "settings cannot be opened")
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil {
		return result.Wrap(result.InvalidSettings, err, "settings cannot be read")
	}
	text, err := io.ReadAll(io.LimitReader(f, maxFileBytes))
	if err != nil {
		return result.Wrap(result.InvalidSettings, err, "settings cannot be read")
	}
	if err := decode(path, text, out); err != nil {
		return err
	}
	if s, ok := out.(SecretHolder); ok && s.HoldsSecret() && info.Mode().Perm()&groupOtherPermMask != 0 {
		return result.New(result.InvalidSettings, "%s holds a secret and has mode %o: use 0600", path, info.Mode().Perm())
	}
	return nil
}

func decode(path string, text []byte, out Validator) error {
	d := yaml.NewDecoder(bytes.NewReader(text))
	d.KnownFields(true)
	if err := d.Decode(out); err != nil && !errors.Is(err, io.EOF) {
		return result.New(result.InvalidSettings, "%s: %s", path, stripGoTypes(err))
	}
	var extra yaml.Node
	if err := d.Decode(&extra); !errors.Is(err, io.EOF) {
		return result.New(result.InvalidSettings, "%s: more than one YAML document", path)
	}
	if err := out.Validate(); err != nil {
		return result.Wrap(result.InvalidSettings, err, "%s", path)
	}
	return nil
}

var goTypeInMessage = regexp.MustCompile(` in type [\w.]+`)

// stripGoTypes replaces Go type names, which mean nothing to operators, in a
// YAML error.
func stripGoTypes(err error) string {
	var t *yaml.TypeError
	if errors.As(err, &t) && len(t.Errors) > 0 {
		return goTypeInMessage.ReplaceAllString(t.Errors[0], ", which is not a known key here")
	}
	return err.Error()
}

// Duration is a time.Duration that is written with a unit in YAML, for example
// 250ms.
type Duration time.Duration

// UnmarshalYAML implements yaml.Unmarshaler.
func (d *Duration) UnmarshalYAML(node *yaml.Node) error {
	v, err := time.ParseDuration(node.Value)
	if err != nil || v < 0 {
		return lineError(node, "duration %q: write it with a unit, for example %s", node.Value, durationExample)
	}
	*d = Duration(v)
	return nil
}

// AsDuration returns the value as a time.Duration.
func (d Duration) AsDuration() time.Duration { return time.Duration(d) }

// Address is an IP address with a port, for example 127.0.0.1:7400.
type Address string

// UnmarshalYAML implements yaml.Unmarshaler.
func (a *Address) UnmarshalYAML(node *yaml.Node) error {
	if _, err := netip.ParseAddrPort(node.Value); err != nil {
		return lineError(node, "address %q: write IP and port, for example %s", node.Value, addressExample)
	}
	*a = Address(node.Value)
	return nil
}

func lineError(node *yaml.Node, format string, args ...any) error {
	message := fmt.Sprintf(format, args...)
	return &yaml.TypeError{Errors: []string{fmt.Sprintf("line %d: %s", node.Line, message)}}
}
