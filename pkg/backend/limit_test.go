package backend

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a malformed limit that bounds or frees a server, and against a usable one
// that is not read.
func TestLimitOf(t *testing.T) {
	for _, c := range []struct {
		lines     []string
		statement LimitStatement
		perSecond float64
	}{
		{nil, NoLimit, 0},
		{[]string{"12.5"}, RequestLimit, 12.5},
		{[]string{" 3 "}, RequestLimit, 3},
		{[]string{"0"}, RequestLimit, 0},
		{[]string{"0.000"}, RequestLimit, 0},
		{[]string{"1e-05"}, RequestLimit, 1e-05},
		{[]string{"1000000"}, RequestLimit, 1e6},
		{[]string{"9", "4", "7"}, RequestLimit, 4},
		{[]string{"none", "4"}, RequestLimit, 4},
		{[]string{""}, MalformedLimit, 0},
		{[]string{"-1"}, MalformedLimit, 0},
		{[]string{"-0"}, MalformedLimit, 0},
		{[]string{"NaN"}, MalformedLimit, 0},
		{[]string{"inf"}, MalformedLimit, 0},
		{[]string{"+Infinity"}, MalformedLimit, 0},
		{[]string{"1e400"}, MalformedLimit, 0},
		{[]string{"1000001"}, MalformedLimit, 0},
		{[]string{"0x10"}, MalformedLimit, 0},
		{[]string{"1_000"}, MalformedLimit, 0},
		{[]string{"5 per second"}, MalformedLimit, 0},
		{[]string{"5,5"}, MalformedLimit, 0},
		{[]string{"1.2.3"}, MalformedLimit, 0},
	} {
		h := http.Header{}
		for _, line := range c.lines {
			h.Add("server-limit", line)
		}
		statement, perSecond := LimitOf(h)
		assert.Equal(t, statement, c.statement, "%q", c.lines)
		assert.Equal(t, perSecond, c.perSecond, "%q", c.lines)
	}
}
