package release

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against releases that are taken for each other, and against a missing or huge
// version that counts as one that others may have too.
func TestReleasesDifferByServiceAndVersion(t *testing.T) {
	ids := map[ID]string{}
	for _, service := range []string{"a", "ab", ""} {
		for _, version := range []string{"v1", "v2", "bv1", "v1 "} {
			id := Of(service, version)
			assert.Assert(t, id != Unknown)
			assert.Equal(t, ids[id], "", "%s %s", service, version)
			ids[id] = service + "/" + version
		}
	}
	assert.Equal(t, Of("a", "v1"), Of("a", "v1"))
	assert.Equal(t, Of("a", ""), Unknown)
	assert.Equal(t, Of("a", strings.Repeat("v", MaxVersionBytes+1)), Unknown)
	assert.Equal(t, Unknown.String(), "unknown")
}
