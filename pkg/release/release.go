// Package release identifies the software release that a backend server runs: its
// service and its software version. What servers of two releases write into one
// stream does not fit together.
package release

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// ID identifies a release. Only known releases can be compared: two servers that state
// no usable version may differ.
type ID uint64

// Unknown is the release of a server that states no usable version. No stream goes on
// at such a server.
const Unknown ID = 0

// MaxVersionBytes bounds a software version. A longer one counts as not stated.
const MaxVersionBytes = 128

// Of returns the release of a server of the service with the software version, Unknown
// if the version is empty or too long.
func Of(service, version string) ID {
	if version == "" || len(version) > MaxVersionBytes {
		return Unknown
	}
	h := xxhash.New()
	_, _ = h.WriteString(service) // never fails
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(version)
	if id := ID(h.Sum64()); id != Unknown {
		return id
	}
	return 1
}

// String returns the release in hexadecimal, "unknown" for Unknown.
func (id ID) String() string {
	if id == Unknown {
		return "unknown"
	}
	return strconv.FormatUint(uint64(id), 16)
}
