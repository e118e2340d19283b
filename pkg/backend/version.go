package backend

import (
	"encoding/json"
	"strings"
	"unicode/utf8"

	"jackdawtrack.example/jackdawtrack/pkg/release"
)

// Version is the software version of a server process, empty if the server states
// none that can be used. A server is not refused because of its version.
type Version string

// UnmarshalJSON implements json.Unmarshaler. A value of another type, one that is too
// long, and one with replaced characters count as not stated. Blanks around a version
// are no part of it, because headers cannot state them.
func (v *Version) UnmarshalJSON(data []byte) error {
	*v = ""
	var text string
	if json.Unmarshal(data, &text) != nil || strings.ContainsRune(text, utf8.RuneError) {
		return nil
	}
	if text = strings.TrimSpace(text); len(text) <= release.MaxVersionBytes {
		*v = Version(text)
	}
	return nil
}
