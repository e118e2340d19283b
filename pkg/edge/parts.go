package edge

import (
	"jackdawtrack.example/jackdawtrack/pkg/dispatch"
	"jackdawtrack.example/jackdawtrack/pkg/quarantine"
)

// sharedParts returns the suspects of the parts of a prompt that other requests may
// share: all but the last one.
func sharedParts(parts []dispatch.Part) []uint64 {
	if len(parts) < 2 {
		return nil
	}
	parts = parts[:min(len(parts)-1, quarantine.MaxRequestParts)]
	out := make([]uint64, len(parts))
	for i, p := range parts {
		out[i] = quarantine.PartSuspect(p.ID)
	}
	return out
}
