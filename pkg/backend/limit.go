package backend

import (
	"math"
	"net/http"
	"strconv"
	"strings"
)

// HeaderLimit is the header of an answer in which a BackendServer states how many
// requests a second it takes from all routers together. The limit holds until an answer
// to a later request does not state one.
const HeaderLimit = "Server-Limit"

const (
	// MaxRequestRate is the greatest limit in requests a second. A greater one states
	// nothing.
	MaxRequestRate = 1e6
	// maxLimitBytes bounds the text of a limit.
	maxLimitBytes = 64
)

// LimitStatement is what the header of an answer states of the request rate.
type LimitStatement int

// Statements of an answer.
const (
	NoLimit        LimitStatement = iota // the answer has no limit
	RequestLimit                         // the answer states a limit
	MalformedLimit                       // the header is not a usable number, which states nothing
)

// LimitOf returns what the header of an answer states, and the limit in requests a second
// of a RequestLimit. Of several lines, the lowest usable number counts.
func LimitOf(h http.Header) (LimitStatement, float64) {
	lines := h[HeaderLimit]
	if len(lines) == 0 {
		return NoLimit, 0
	}
	lowest, found := 0.0, false
	for _, line := range lines {
		if perSecond, ok := parseLimit(line); ok && (!found || perSecond < lowest) {
			lowest, found = perSecond, true
		}
	}
	if !found {
		return MalformedLimit, 0
	}
	return RequestLimit, lowest
}

// parseLimit parses a decimal number of requests a second. ParseFloat also takes
// hexadecimal numbers and names such as Inf.
func parseLimit(text string) (float64, bool) {
	text = strings.TrimSpace(text)
	if len(text) > maxLimitBytes || strings.Trim(text, "0123456789.eE+-") != "" {
		return 0, false
	}
	perSecond, err := strconv.ParseFloat(text, 64)
	if err != nil || math.Signbit(perSecond) || perSecond > MaxRequestRate {
		return 0, false
	}
	return perSecond, true
}
