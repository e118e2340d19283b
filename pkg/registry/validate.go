package registry

import (
	"strings"
	"unicode"
	"unicode/utf8"

	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// MaxNameBytes is the maximum length of an id and of a name. All hosts receive them,
// and servers receive their id in a header.
const MaxNameBytes = 256

// ValidID reports whether a server id has 1 to MaxNameBytes printable ASCII
// characters without spaces and slashes, so that it can be sent in a header and
// stand in a path.
func ValidID(id string) bool {
	outside := func(r rune) bool { return r <= ' ' || r >= 0x7f || r == '/' }
	return id != "" && len(id) <= MaxNameBytes && strings.IndexFunc(id, outside) < 0
}

// ValidName reports whether the name of a service or data centre has at most
// MaxNameBytes and is UTF-8 without control characters. Any other name cannot be
// sent to other hosts.
func ValidName(name string) bool {
	return len(name) <= MaxNameBytes && utf8.ValidString(name) && strings.IndexFunc(name, unicode.IsControl) < 0
}

// Validate returns the first name that cannot be sent to other hosts as an
// InvalidCommand error.
func (e *Entry) Validate() error {
	switch {
	case !ValidID(e.ID):
		return invalid("id %.64q is empty, longer than %d bytes or not printable", e.ID, MaxNameBytes)
	case !ValidName(e.Service) || !ValidName(e.DataCentre):
		return invalid("service %.64q or data centre %.64q is longer than %d bytes or not printable", e.Service, e.DataCentre, MaxNameBytes)
	}
	return nil
}

func invalid(format string, args ...any) error {
	return result.New(result.InvalidCommand, format, args...)
}
