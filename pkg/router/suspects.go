package router

import (
	"github.com/cespare/xxhash/v2"

	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/quarantine"
)

// suspectsOf returns what servers that run the request may crash on: the parts of
// its content that other requests may share, and the request as a whole. The host
// that it was sent to is left out, because callers may use any router.
func suspectsOf(q *request) []uint64 {
	var out []uint64
	switch {
	case q.kind == backend.Engine:
		out = make([]uint64, 0, len(q.chat.Prefixes)+1)
		for _, p := range q.chat.Prefixes {
			out = append(out, quarantine.PartSuspect(p))
		}
	case len(q.body) > 0:
		out = append(make([]uint64, 0, 2), quarantine.PartSuspect(quarantine.Fingerprint("", "", q.poolName, "", q.body)))
	}
	whole := quarantine.Fingerprint(q.workspace.Name, q.req.Method, "", q.req.URL.RequestURI(), q.body)
	return append(out, quarantine.RequestSuspect(whole))
}

// prefixHashes returns the hashes of chatRequest.Prefixes.
func prefixHashes(model string, messages []chatMessage) []uint64 {
	n := min(len(messages)-1, quarantine.MaxRequestParts)
	if n < 1 {
		return nil
	}
	out := make([]uint64, 0, n)
	hash := xxhash.New()
	_, _ = hash.WriteString(model)
	for _, m := range messages[:n] {
		// The zero bytes keep fields with the same concatenation apart.
		_, _ = hash.Write([]byte{0})
		_, _ = hash.WriteString(m.Role)
		_, _ = hash.Write([]byte{0})
		_, _ = hash.Write(m.Content)
		out = append(out, hash.Sum64())
	}
	return out
}
