package registry

import (
	"net/netip"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// Limits of an announcement.
const (
	// MaxNameBytes is the maximum length of an id and of a name. All hosts receive
	// them, and servers receive their id in a header.
	MaxNameBytes = 256
	// MaxSlots is the maximum number of concurrent requests of one server, as many
	// as it could have connections.
	MaxSlots = 1 << 16
	// MaxSequence is the largest integer that every JSON encoder writes exactly.
	MaxSequence = 1<<53 - 1
	// MaxStartMS is the year 2200 in Unix milliseconds. A start time in another unit
	// than milliseconds is later.
	MaxStartMS = 7_258_118_400_000
	// MaxColdTime is the longest remaining cold time. Servers are cold for seconds
	// or minutes.
	MaxColdTime = time.Hour
	// maxAge bounds the age in a message of another host. An older entry has expired.
	maxAge = 24 * time.Hour
)

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

// ParseAddress returns the canonical form of the IP address and port of a server,
// or an InvalidCommand error if no server can have it.
func ParseAddress(address string) (string, error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return "", result.New(result.InvalidCommand, "address %.64q is not an IP address and port", address)
	}
	ip := at.Addr().Unmap()
	if at.Port() == 0 || ip.Zone() != "" || ip.IsUnspecified() || ip.IsMulticast() {
		return "", result.New(result.InvalidCommand, "address %.64q is not that of a server", address)
	}
	return netip.AddrPortFrom(ip, at.Port()).String(), nil
}

// Validate returns the first value that is out of range as an InvalidCommand error.
// An entry with State Gone needs only an id and a start time.
func (e *Entry) Validate(now time.Time) error {
	switch {
	case !ValidID(e.ID):
		return invalid("id %.64q is empty, longer than %d bytes or not printable", e.ID, MaxNameBytes)
	case e.StartMS < 0 || e.StartMS > MaxStartMS:
		return invalid("start time %d is outside 0 to %d", e.StartMS, int64(MaxStartMS))
	case !ValidName(e.Service) || !ValidName(e.DataCentre):
		return invalid("service %.64q or data centre %.64q is longer than %d bytes or not printable", e.Service, e.DataCentre, MaxNameBytes)
	case e.State == Gone:
		return nil
	case e.State != Ready && e.State != Draining:
		return invalid("unknown state %d", e.State)
	case e.Service == "":
		return invalid("service is missing")
	case e.DataCentre == "":
		return invalid("data centre is missing")
	case e.Slots < 0 || e.Slots > MaxSlots:
		return invalid("slots %d are outside 0 to %d", e.Slots, MaxSlots)
	case e.Sequence > MaxSequence:
		return invalid("sequence %d is greater than %d", e.Sequence, uint64(MaxSequence))
	case e.ColdUntil.Sub(now) > MaxColdTime:
		return invalid("cold time %s is longer than %s", e.ColdUntil.Sub(now), MaxColdTime)
	}
	_, err := ParseAddress(e.Address)
	return err
}

func invalid(format string, args ...any) error {
	return result.New(result.InvalidCommand, format, args...)
}

// DurationOfAge converts an age in milliseconds in a message of another host. A
// negative age counts as 0, so that nothing is heard in the future.
func DurationOfAge(ms int64) time.Duration { return clampMS(ms, maxAge) }

// clampMS converts a number of milliseconds to a duration from 0 to most.
func clampMS(ms int64, most time.Duration) time.Duration {
	return time.Duration(min(max(ms, 0), most.Milliseconds())) * time.Millisecond
}
