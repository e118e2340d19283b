package workspace

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// Guards against a key of another workspace, and a workspace without keys that
// accepts any.
func TestAuthenticate(t *testing.T) {
	w := Workspace{Name: "w", KeyHashes: [][]byte{HashKey("old"), HashKey("new")}}
	assert.Assert(t, w.Authenticate("old") && w.Authenticate("new"))
	assert.Assert(t, !w.Authenticate("other") && !w.Authenticate(""))
	assert.Assert(t, !Workspace{Name: "w"}.Authenticate(""))
}

// Guards against a rate that is no number and so never limits.
func TestValidateRefusesRatesOutsideTheRange(t *testing.T) {
	for _, rate := range []float64{-1, math.NaN(), math.Inf(1)} {
		code, _ := result.CodeOf(Workspace{Name: "w", RequestsPerSecond: rate}.Validate())
		assert.Equal(t, code, result.InvalidCommand)
	}
}
