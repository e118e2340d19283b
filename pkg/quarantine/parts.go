package quarantine

import "strings"

const (
	// MaxRequestParts bounds the shared parts that are looked at in one request,
	// whatever callers send.
	MaxRequestParts = 32
	// maxLoggedSuspects bounds the suspects of one log line.
	maxLoggedSuspects = 48
)

// FormatList returns suspects in hexadecimal, separated by spaces. It cuts the list
// to the length of a log line.
func FormatList(suspects []uint64) string {
	var b strings.Builder
	for i, s := range suspects[:min(len(suspects), maxLoggedSuspects)] {
		if i > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(FormatSuspect(s))
	}
	return b.String()
}
