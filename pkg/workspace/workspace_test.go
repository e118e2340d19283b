package workspace

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// Guards against accepting the key of another workspace, and against a workspace
// without keys that accepts any key.
func TestAuthenticate(t *testing.T) {
	w := Workspace{Name: "w", KeyHashes: [][]byte{HashKey("old"), HashKey("new")}}
	assert.Assert(t, w.Authenticate("old") && w.Authenticate("new"))
	assert.Assert(t, !w.Authenticate("other") && !w.Authenticate(""))
	assert.Assert(t, !Workspace{Name: "w"}.Authenticate(""))
}

// Guards against accepting a negative rate, or NaN or infinity, which would never
// limit requests.
func TestValidateRefusesRatesOutsideTheRange(t *testing.T) {
	for _, rate := range []float64{-1, math.NaN(), math.Inf(1)} {
		code, _ := result.CodeOf(Workspace{Name: "w", RequestsPerSecond: rate}.Validate())
		assert.Equal(t, code, result.InvalidCommand)
	}
}
