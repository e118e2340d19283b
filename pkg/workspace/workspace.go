// Package workspace holds the aggregate Workspace: a tenant of the fleet with
// its keys and its request rate limit.
package workspace

import (
	"crypto/sha256"
	"crypto/subtle"

	"jackdawtrack.example/jackdawtrack/pkg/class"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// MaxKeys is the number of keys that a workspace may hold at a time, enough to
// replace a key without an interruption.
const MaxKeys = 8

// MaxRequestsPerSecond bounds the request rate limit of a workspace.
const MaxRequestsPerSecond = 1e6

// Workspace is one tenant.
type Workspace struct {
	Name              string
	KeyHashes         [][]byte // SHA-256 of each accepted key
	RequestsPerSecond float64  // 0 means no limit
}

// HashKey returns the hash under which a key is stored.
func HashKey(key string) []byte {
	h := sha256.Sum256([]byte(key))
	return h[:]
}

// Authenticate reports whether the key belongs to the workspace. A workspace
// without keys accepts none.
func (w Workspace) Authenticate(key string) bool {
	hash := HashKey(key)
	found := 0
	for _, h := range w.KeyHashes {
		found |= subtle.ConstantTimeCompare(hash, h)
	}
	return found == 1
}

// Validate reports the first value that is out of range as InvalidCommand.
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
	if !(w.RequestsPerSecond >= 0 && w.RequestsPerSecond <= MaxRequestsPerSecond) { // also refuses NaN
		return result.New(result.InvalidCommand, "workspace %s: request rate %g is outside 0 to %g", w.Name, w.RequestsPerSecond, MaxRequestsPerSecond)
	}
	return nil
}
