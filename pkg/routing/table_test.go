package routing

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func route(name, prefix string) Route {
	return Route{Name: name, Host: "a.example", PathPrefix: prefix, Timeout: time.Second, Targets: []Target{{"s", 1}}}
}

func TestMatchSelectsLongestPrefix(t *testing.T) {
	c := &Config{Version: 1, Services: []Service{{Name: "s"}}, Routes: []Route{route("root", "/"), route("a", "/a/"), route("ab", "/a/b/")}}
	assert.NilError(t, c.Validate())
	table := NewTable(c)
	for _, x := range []struct{ host, path, want string }{
		{"a.example", "/", "root"},
		{"A.Example:8080", "/a/", "a"},
		{"a.example", "/a", "root"},
		{"a.example", "/a/b", "a"},
		{"a.example", "/a/b/", "ab"},
		{"a.example", "/a/b/c/d", "ab"},
		{"a.example", "/ab/c", "root"},
		{"a.example", "x", ""},
		{"b.example", "/a/", ""},
	} {
		got := ""
		if r := table.Match(x.host, x.path); r != nil {
			got = r.Name
		}
		assert.Equal(t, got, x.want, "%s%s", x.host, x.path)
	}
}

// Guards against a match that differs from a linear scan of all prefixes.
func TestMatchAgainstScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		segments := rapid.StringMatching(`(/[ab]{0,2}){0,4}`)
		c := &Config{}
		seen := map[string]bool{}
		for _, p := range rapid.SliceOfN(segments, 0, 6).Draw(t, "prefixes") {
			if p += "/"; !seen[p] {
				seen[p] = true
				c.Routes = append(c.Routes, route(p, p))
			}
		}
		path := "/" + segments.Draw(t, "path") + "x"
		best := ""
		for p := range seen {
			if strings.HasPrefix(path, p) && len(p) > len(best) {
				best = p
			}
		}
		got := ""
		if r := NewTable(c).Match("a.example", path); r != nil {
			got = r.PathPrefix
		}
		if got != best {
			t.Fatalf("Match(%q) returned prefix %q, a linear scan %q", path, got, best)
		}
	})
}

// Guards against hosts that choose different services for one request, and
// against shares of requests that differ from the weights.
func TestChooseFollowsWeights(t *testing.T) {
	r := route("r", "/")
	r.Targets = []Target{{"a", 90}, {"b", 10}, {"c", 0}}
	count := map[string]int{}
	for i := range 10_000 {
		id := fmt.Sprint(i)
		count[r.ChooseService(id)]++
		assert.Equal(t, r.ChooseService(id), r.ChooseService(id))
	}
	assert.Equal(t, count["c"], 0)
	assert.Assert(t, count["b"] > 800 && count["b"] < 1200, "%v", count)
}

// Guards against routes that count as other ones, or services that get no requests and
// count as those of a route, when a caller takes up a stream.
func TestPlaceAndServices(t *testing.T) {
	r := Route{Host: "A.example:80", PathPrefix: "/x/", Targets: []Target{{"s", 1}, {"unused", 0}, {"t", 2}}}
	assert.Equal(t, r.Place(), "a.example/x/")
	assert.DeepEqual(t, r.Services(), []string{"s", "t"})
}
