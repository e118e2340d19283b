package edge

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"jackdawtrack.example/jackdawtrack/pkg/dispatch"
	"jackdawtrack.example/jackdawtrack/pkg/quarantine"
)

const (
	// maxRequestParts bounds the shared parts that are looked at in one request,
	// whatever callers send.
	maxRequestParts = 32
	// maxLoggedParts bounds the prompt parts of one log line.
	maxLoggedParts = 48
)

// sharedParts returns the suspects of the parts of a prompt that other requests may
// share: all but the last one.
func sharedParts(parts []dispatch.Part) []uint64 {
	if len(parts) < 2 {
		return nil
	}
	parts = parts[:min(len(parts)-1, maxRequestParts)]
	out := make([]uint64, len(parts))
	for i, p := range parts {
		out[i] = quarantine.PartSuspect(p.ID)
	}
	return out
}

// sortedIDs returns the ids of a set in ascending order.
func sortedIDs(set map[uint64]bool) []uint64 { return slices.Sorted(maps.Keys(set)) }

// hexIDs returns up to maxLoggedParts ids in hexadecimal, separated by spaces.
func hexIDs(ids []uint64) string {
	var b strings.Builder
	for i, id := range ids[:min(len(ids), maxLoggedParts)] {
		if i > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(strconv.FormatUint(id, 16))
	}
	return b.String()
}
