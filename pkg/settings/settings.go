// Package settings reads strict YAML settings files. An unknown key, a value
// of the wrong type or a file that others can read although it holds a secret
// is refused with file and line.
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
	maxFileBytes    = 1 << 20
	othersCanRead   = 0o077
	addressExample  = "127.0.0.1:7400"
	durationExample = "250ms, 3s or 10m"
)

// Validator is implemented by settings types with rules of their own. The
// error should name the key.
type Validator interface {
	Validate() error
}

// SecretHolder is implemented by settings types that may hold a secret.
type SecretHolder interface {
	HoldsSecret() bool
}

// Load reads the file into out, which holds the defaults. Every error carries
// InvalidSettings and names the file.
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
	if s, ok := out.(SecretHolder); ok && s.HoldsSecret() && info.Mode().Perm()&othersCanRead != 0 {
		return result.New(result.InvalidSettings, "%s holds a secret and has mode %o: use 0600", path, info.Mode().Perm())
	}
	return nil
}

func decode(path string, text []byte, out Validator) error {
	d := yaml.NewDecoder(bytes.NewReader(text))
	d.KnownFields(true)
	if err := d.Decode(out); err != nil && !errors.Is(err, io.EOF) {
		return result.New(result.InvalidSettings, "%s: %s", path, plainMessage(err))
	}
	var rest yaml.Node
	if err := d.Decode(&rest); !errors.Is(err, io.EOF) {
		return result.New(result.InvalidSettings, "%s: more than one YAML document", path)
	}
	if err := out.Validate(); err != nil {
		return result.Wrap(result.InvalidSettings, err, "%s", path)
	}
	return nil
}

var goTypeInMessage = regexp.MustCompile(` in type [\w.]+`)

// plainMessage removes Go type names, which mean nothing to operators.
func plainMessage(err error) string {
	var t *yaml.TypeError
	if errors.As(err, &t) && len(t.Errors) > 0 {
		return goTypeInMessage.ReplaceAllString(t.Errors[0], ", which is not a known key here")
	}
	return err.Error()
}

// Duration is a time.Duration with a unit in YAML, for example 250ms.
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

// Std returns the value as time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Address is an IP address and port, for example 127.0.0.1:7400.
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
