// Package workspace defines Workspace: a tenant of the fleet with its keys and its
// request rate limit.
package workspace

import (
	"crypto/sha256"
	"crypto/subtle"

	"jackdawtrack.example/jackdawtrack/pkg/class"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// MaxKeys is the greatest number of keys of a workspace. More than one is needed
// to replace a key without an interruption.
const MaxKeys = 8

// MaxRequestsPerSecond bounds the request rate limit of a workspace.
const MaxRequestsPerSecond = 1e6

// Workspace is a tenant.
type Workspace struct {
	Name              string
	KeyHashes         [][]byte // SHA-256 of each accepted key
	RequestsPerSecond float64  // 0 means no limit
}

// HashKey returns the SHA-256 hash of a key, in the form of Workspace.KeyHashes.
func HashKey(key string) []byte {
	h := sha256.Sum256([]byte(key))
	return h[:]
}

// Authenticate reports whether a key belongs to the workspace. It compares hashes
// in constant time. A workspace without keys accepts none.
func (w Workspace) Authenticate(key string) bool {
	hash := HashKey(key)
	match := 0
	for _, h := range w.KeyHashes {
		match |= subtle.ConstantTimeCompare(hash, h)
	}
	return match == 1
}

// Validate returns the first value that is out of range as an InvalidCommand
// error.
func (w Workspace) Validate() error {
	if !class.ValidName(w.Name) {
		return result.New(result.InvalidCommand, "workspace name %q: 1 to %d letters, digits, '-', '_' or '.'", w.Name, class.MaxNameLength)
	}
	if len(w.KeyHashes) > MaxKeys {
		return result.New(result.InvalidCommand, "workspace %s: %d keys, at most %d", w.Name, len(w.KeyHashes), MaxKeys)
	}
	for _, h := range w.KeyHashes {
		if len(h) != sha256.Size {
			return result.New(result.InvalidCommand, "workspace %s: key hash has %d bytes instead of %d", w.Name, len(h), sha256.Size)
		}
	}
	if !(w.RequestsPerSecond >= 0 && w.RequestsPerSecond <= MaxRequestsPerSecond) { // also true for NaN
		return result.New(result.InvalidCommand, "workspace %s: request rate %g is outside 0 to %g", w.Name, w.RequestsPerSecond, MaxRequestsPerSecond)
	}
	return nil
}
