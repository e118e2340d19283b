// Package streamrecord keeps which release began a stream, so that a caller that takes
// the stream up is served by that release only. It performs no I/O and reads no clock:
// the current time is an argument.
package streamrecord

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/release"
)

const (
	// MaxTTL bounds the lifetime of a record: the longest time in which a caller may
	// come back.
	MaxTTL = 60 * time.Second
	// keyBytes is the length of a key. At 128 bits a collision of two streams cannot be
	// found by a caller that chooses its request ids.
	keyBytes = 16
)

// Key identifies a stream by its workspace, its route and the request id of the attempt
// that brought its first event.
type Key [keyBytes]byte

// KeyOf returns the key of a stream. Each field is preceded by its length, so that
// different fields give different keys.
func KeyOf(workspace, route, requestID string) Key {
	h := sha256.New()
	for _, field := range []string{workspace, route, requestID} {
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(field)))) // never fails
		_, _ = h.Write([]byte(field))
	}
	return Key(h.Sum(nil)[:keyBytes])
}

// State is what is known about the release that began a stream.
type State uint32

// Values of State. They are part of the protocol between hosts.
const (
	Unknown     State = 0 // no record, and no proof of the release
	Recorded    State = 1
	Conflict    State = 2 // records name several releases, or one that fits none
	Sole        State = 3 // no record, but the service has had one release only
	Unconfirmed State = 4 // no record, and the history of releases could not be confirmed
)

// String returns the state in lower case.
func (s State) String() string {
	switch s {
	case Unknown:
		return "unknown"
	case Recorded:
		return "recorded"
	case Conflict:
		return "conflict"
	case Sole:
		return "sole"
	case Unconfirmed:
		return "unconfirmed"
	}
	return "invalid"
}

// Record states which release began a stream. release.Unknown stands for a conflict.
type Record struct {
	Key     Key
	Release release.ID
	Expires time.Time
	// Process is the server process that was asked. It is NoProcess if that is not known
	// or no longer of use, see Table.Replace.
	Process Process
}
