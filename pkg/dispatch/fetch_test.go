package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/release"
)

// Guards against a prompt of which another release prefilled the first part: what two
// releases compute does not fit together.
func TestPartsAreFetchedWithinARelease(t *testing.T) {
	longest, shorter := []Part{{ID: 7, Tokens: 5000}, {ID: 8, Tokens: 1000}}, []Part{{ID: 7, Tokens: 5000}}
	for _, c := range []struct {
		name     string
		releases []release.ID // the first server gets the request, the second caches most of it, the third less
		source   string
	}{
		{"one release", []release.ID{v1, v1, v1}, "10.0.0.1:80"},
		{"less cached at the release", []release.ID{v1, v2, v1}, "10.0.0.2:80"},
		{"cached by another release only", []release.ID{v1, v2, v2}, ""},
		{"cached where no version is stated", []release.ID{v1, release.Unknown, release.Unknown}, ""},
		{"no version stated", []release.ID{release.Unknown, release.Unknown, release.Unknown}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newFleetOf(false, c.releases...)
			d.servers["engine-1"].cachedParts.recordUse(longest, start, engineKV)
			d.servers["engine-2"].cachedParts.recordUse(shorter, start, engineKV)
			r := newRequest(start, "w", 7000, time.Second, longest...)
			r.ExcludedServers = []string{"engine-1", "engine-2"}
			assert.Equal(t, d.Admit(start, r).FetchFrom, c.source)
		})
	}
}

// Guards against prompt parts that are assumed to be cached by a server that came back
// with another version and states the same start time.
func TestServerOfAnotherReleaseHasNoCachedParts(t *testing.T) {
	d := newFleetOf(false, v1, v2)
	part := Part{ID: 7, Tokens: 5000}
	d.servers["engine-0"].cachedParts.recordUse([]Part{part}, start, engineKV)
	d.SetServers(start, infosOf(false, v2, v2))
	r := newRequest(start, "w", 6000, time.Second, part)
	r.ExcludedServers = []string{"engine-1"}
	v := d.Admit(start, r)
	assert.Equal(t, v.Server, "engine-0")
	assert.Equal(t, v.UncachedTokens, 6000)
}
