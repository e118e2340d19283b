package quarantine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// A suspect is what servers may crash on: a prompt part that many requests share,
// or one request that is repeated whole. Both kinds are 64-bit values in one space;
// requestBit is set in requests and clear in parts.
const requestBit = 1 << 63

// maxHashedBody bounds the bytes of a body that a fingerprint covers, half of them
// from each end: xxhash takes about 10 us for 64 KB on a host of the platform.
const maxHashedBody = 64 << 10

// PartSuspect returns the suspect of a prompt part.
func PartSuspect(part uint64) uint64 { return part &^ requestBit }

// RequestSuspect returns the suspect of a request with the fingerprint.
func RequestSuspect(fingerprint uint64) uint64 { return fingerprint | requestBit }

// IsRequest reports whether a suspect is a request rather than a prompt part.
func IsRequest(suspect uint64) bool { return suspect&requestBit != 0 }

// KindOf returns "request" or "part".
func KindOf(suspect uint64) string {
	if IsRequest(suspect) {
		return "request"
	}
	return "part"
}

// Fingerprint returns a hash of what repeats when a request is sent again, also at
// another host: the workspace, method, host, target (path and query) and body. Of a
// body above maxHashedBody it covers the length and both ends.
func Fingerprint(workspace, method, host, target string, body []byte) uint64 {
	d := xxhash.New()
	var size [8]byte
	for _, field := range [...]string{workspace, method, host, target} {
		// The length keeps fields with the same concatenation apart.
		binary.LittleEndian.PutUint64(size[:], uint64(len(field)))
		_, _ = d.Write(size[:])
		_, _ = d.WriteString(field)
	}
	binary.LittleEndian.PutUint64(size[:], uint64(len(body)))
	_, _ = d.Write(size[:])
	if len(body) > maxHashedBody {
		_, _ = d.Write(body[:maxHashedBody/2])
		body = body[len(body)-maxHashedBody/2:]
	}
	_, _ = d.Write(body)
	return d.Sum64()
}
