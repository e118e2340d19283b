package fleet

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/streamrecord"
)

// testRoutes holds the service of each place; nil is a configuration whose routes are
// not stated.
type testRoutes map[string]string

func (r testRoutes) document(version uint64) *apiv1.FleetDocument {
	d := &apiv1.FleetDocument{Version: version, Data: []byte("{}"), HasStreamRoutes: r != nil}
	for place, service := range r {
		d.StreamRoutes = append(d.StreamRoutes, NewStreamRoute(place, []string{service}))
	}
	return d
}

// match returns the longest place that leads to the request, "" if there is none.
func (r testRoutes) match(request string) (longest string) {
	for place := range r {
		if strings.HasPrefix(request, place) && len(place) > len(longest) {
			longest = place
		}
	}
	return longest
}

var (
	testPlaces   = []string{"h/", "h/a/", "h/a/b/", "h/a/c/", "h/c/", "i/"}
	testRequests = []string{"h/x", "h/a/x", "h/a/b/x", "h/a/c/x", "h/c/x", "i/x"}
)

// routesModel keeps all configurations with the log index at which each came into force.
type routesModel struct {
	configs []testRoutes
	indices []uint64
	settled uint64
	moves   map[string]uint64 // by request, the log index of its last move to another service
}

// apply adds a configuration. A request moves when another service than the last one gets
// it, also if none did in between.
func (m *routesModel) apply(index uint64, next testRoutes) {
	for _, request := range testRequests {
		last := ""
		for _, c := range m.lately() {
			last = cmp.Or(c[c.match(request)], last)
		}
		if service := next[next.match(request)]; service != "" && last != "" && service != last {
			m.moves[request] = index
		}
	}
	m.configs, m.indices = append(m.configs, next), append(m.indices, index)
}

// lately returns the configurations that may have been in force since the settled index.
func (m *routesModel) lately() []testRoutes {
	first := 0
	for i, index := range m.indices {
		if index <= m.settled {
			first = i
		}
	}
	return m.configs[first:]
}

// hasLedElsewhere reports whether a request of the place may have been served by another
// service lately. The edge host that asks may route by any of the configurations.
func (m *routesModel) hasLedElsewhere(place, service string) bool {
	lately := m.lately()
	if len(lately) > 1 && slices.ContainsFunc(lately, func(c testRoutes) bool { return c == nil }) {
		return true
	}
	for _, ofEdge := range lately {
		for _, request := range testRequests {
			if ofEdge[place] == service && ofEdge.match(request) == place && !m.isServedBy(request, service) {
				return true
			}
		}
	}
	return false
}

// isServedBy reports whether the request was served by the service lately, if at all.
func (m *routesModel) isServedBy(request, service string) bool {
	return !slices.ContainsFunc(m.lately(), func(c testRoutes) bool {
		at := c.match(request)
		return at != "" && c[at] != service
	})
}

// isUntouched reports whether no request of the place has moved lately, and each place
// that covered it while it was no place of its own is untouched too.
func (m *routesModel) isUntouched(place string) bool {
	lately := m.lately()
	if len(lately) > 1 && slices.ContainsFunc(lately, func(c testRoutes) bool { return c == nil }) {
		return false
	}
	for _, request := range testRequests {
		if strings.HasPrefix(request, place) && m.moves[request] > m.settled {
			return false
		}
	}
	return !slices.ContainsFunc(lately, func(c testRoutes) bool {
		at := c.match(place)
		return at != "" && at != place && !m.isUntouched(at)
	})
}

func drawRoutes(t *rapid.T) testRoutes {
	if rapid.IntRange(0, 19).Draw(t, "not stated") == 0 {
		return nil
	}
	out := testRoutes{}
	for _, place := range testPlaces {
		if service := rapid.SampledFrom([]string{"", "s", "s", "s", "t"}).Draw(t, place); service != "" {
			out[place] = service
		}
	}
	return out
}

// Guards against a stream that goes on at the only release of a service although its
// route led to another one lately, in any order of changes, settlements and restarts,
// and against refusals while no request that can be led there has moved: a narrower
// route that is added or removed moves nothing if it has the services of the wider one.
func TestRouteChangesMatchModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, m := NewState(), &routesModel{moves: map[string]uint64{}}
		current := testRoutes{}
		for index := uint64(1); index <= 12; index++ {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				upTo := rapid.Uint64Range(0, index-1).Draw(t, "settled")
				applyCommand(t, s, index, &apiv1.FleetCommand{SettledRoutes: upTo})
				m.settled = max(m.settled, upTo)
			case 1:
				s = restarted(t, s)
			default:
				current = drawRoutes(t)
				applyCommand(t, s, index, &apiv1.FleetCommand{Document: current.document(index)})
				m.apply(index, current)
			}
			if current == nil || len(m.configs) == 0 {
				continue
			}
			for place, service := range current {
				led := s.AlwaysLedTo(place, service)
				assert.Assert(t, !led || !m.hasLedElsewhere(place, service), "%s led elsewhere", place)
				assert.Assert(t, led || !m.isUntouched(place), "%s is untouched", place)
				assert.Assert(t, !s.AlwaysLedTo(place, "other"), "an older configuration is taken for this one")
			}
		}
	})
}

// Guards against a route that is moved in two steps: removed, and later taken over by a
// longer place that no route led to in between.
func TestRouteThatReturnsAtALongerPlaceIsChanged(t *testing.T) {
	s := NewState()
	for i, c := range []testRoutes{{"h/": "s"}, {"i/": "s"}, {"i/": "s", "h/a/": "t"}} {
		applyCommand(t, s, uint64(i+1), &apiv1.FleetCommand{Document: c.document(uint64(i + 1))})
	}
	assert.Assert(t, !s.AlwaysLedTo("h/a/", "t"))
	assert.Assert(t, s.AlwaysLedTo("i/", "s"))
	applyCommand(t, s, 4, &apiv1.FleetCommand{SettledRoutes: 2})
	assert.Assert(t, !s.AlwaysLedTo("h/a/", "t"))
	applyCommand(t, s, 5, &apiv1.FleetCommand{SettledRoutes: 3})
	assert.Assert(t, s.AlwaysLedTo("h/a/", "t"))
}

// Guards against refusals at a route because a narrower one with the same services was
// added or removed, and against answers once the narrower one led elsewhere.
func TestNarrowerRouteWithTheSameServicesChangesNothing(t *testing.T) {
	for _, c := range []struct {
		name    string
		configs []testRoutes
		want    bool
	}{
		{"added", []testRoutes{{"h/": "s"}, {"h/": "s", "h/a/": "s"}}, true},
		{"removed", []testRoutes{{"h/": "s", "h/a/": "s"}, {"h/": "s"}}, true},
		{"added, other services", []testRoutes{{"h/": "s"}, {"h/": "s", "h/a/": "t"}}, false},
		{"removed, other services", []testRoutes{{"h/": "s", "h/a/": "t"}, {"h/": "s"}}, false},
		{"wider one returns", []testRoutes{{"h/": "s", "i/": "s"}, {"i/": "s"}, {"h/": "s", "i/": "s"}}, true},
		{"wider one returns elsewhere", []testRoutes{{"h/": "t", "i/": "s"}, {"i/": "s"}, {"h/": "s", "i/": "s"}}, false},
		{"wider one takes over", []testRoutes{{"h/a/": "s", "i/": "s"}, {"i/": "s"}, {"h/": "s", "i/": "s"}}, true},
		{"wider one takes over from another", []testRoutes{{"h/a/": "t", "i/": "s"}, {"i/": "s"}, {"h/": "s", "i/": "s"}}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := NewState()
			for i, routes := range c.configs {
				applyCommand(t, s, uint64(i+1), &apiv1.FleetCommand{Document: routes.document(uint64(i + 1))})
			}
			assert.Equal(t, s.AlwaysLedTo("h/", "s"), c.want)
		})
	}
}

// Guards against a stored list that grows with the routes that change, and against
// changes that are forgotten because there are too many.
func TestRouteChangesAreBounded(t *testing.T) {
	s, before, after := NewState(), testRoutes{"i/": "s"}, testRoutes{"i/": "s"}
	for n := range MaxRouteChanges + 1 {
		before[fmt.Sprintf("h/%d/", n)], after[fmt.Sprintf("h/%d/", n)] = "s", "t"
	}
	applyCommand(t, s, 1, &apiv1.FleetCommand{Document: before.document(1)})
	applyCommand(t, s, 2, &apiv1.FleetCommand{Document: after.document(2)})
	view, _ := s.View(0)
	assert.Equal(t, len(view.GetRouteChanges().GetChanges()), 0)
	assert.Assert(t, !s.AlwaysLedTo("h/0/", "t") && !s.AlwaysLedTo("i/", "s"))
	applyCommand(t, s, 3, &apiv1.FleetCommand{SettledRoutes: 2})
	assert.Assert(t, s.AlwaysLedTo("h/0/", "t") && s.AlwaysLedTo("i/", "s"))
}

// Guards against a guess about routes that nobody stated: by the snapshot of a version
// that did not keep their changes, by a sender that does not state them, or at a place
// that is too long. Each counts as changed just now, and is settled.
func TestUnstatedRoutesCountAsChanged(t *testing.T) {
	old, err := proto.Marshal(&apiv1.FleetState{Revision: 4, Document: testRoutes{"h/": "s"}.document(3)})
	assert.NilError(t, err)
	long := "h/" + strings.Repeat("a", streamrecord.MaxPlaceBytes) + "/"
	for name, prepare := range map[string]func(*State){
		"snapshot": func(s *State) { assert.NilError(t, s.Restore(old)) },
		"sender": func(s *State) {
			applyCommand(t, s, 1, &apiv1.FleetCommand{Document: testRoutes{"h/": "s"}.document(2)})
			applyCommand(t, s, 4, &apiv1.FleetCommand{Document: testRoutes(nil).document(3)})
		},
		"first document": func(s *State) { applyCommand(t, s, 4, &apiv1.FleetCommand{Document: testRoutes(nil).document(3)}) },
		"long place": func(s *State) {
			applyCommand(t, s, 4, &apiv1.FleetCommand{Document: testRoutes{long: "s", "h/": "s"}.document(3)})
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := NewState()
			prepare(s)
			assert.Assert(t, !s.AlwaysLedTo("h/", "s") && !s.AlwaysLedTo("", "s"))
			applyCommand(t, s, 5, &apiv1.FleetCommand{SettledRoutes: 3})
			assert.Assert(t, !s.AlwaysLedTo("h/", "s"))
			applyCommand(t, s, 6, &apiv1.FleetCommand{SettledRoutes: 4})
			assert.Assert(t, s.AlwaysLedTo("h/", "s") && s.AlwaysLedTo("", "s"))
			assert.Assert(t, restarted(t, s).AlwaysLedTo("h/", "s"))
		})
	}
}

// Guards against refusals of queries of older edge hosts, which name no place, while no
// route has changed, and against an answer to them after any has.
func TestQueryWithoutAPlace(t *testing.T) {
	s := NewState()
	assert.Assert(t, s.AlwaysLedTo("", "s"))
	applyCommand(t, s, 1, &apiv1.FleetCommand{Document: testRoutes{"h/": "s"}.document(1)})
	assert.Assert(t, s.AlwaysLedTo("", "s"))
	applyCommand(t, s, 2, &apiv1.FleetCommand{Document: testRoutes{"h/": "t"}.document(2)})
	assert.Assert(t, !s.AlwaysLedTo("", "t"))
}

// Guards against a route that counts as changed because its services are named in
// another order or twice.
func TestOrderOfServicesDoesNotMatter(t *testing.T) {
	a, b := NewStreamRoute("h/", []string{"s", "t"}), NewStreamRoute("h/", []string{"t", "s", "t"})
	assert.Assert(t, proto.Equal(a, b))
	assert.Assert(t, a.GetServices() != NewStreamRoute("h/", []string{"s"}).GetServices())
	assert.Assert(t, a.GetServices() != NewStreamRoute("h/", []string{"st"}).GetServices())
}

// Guards against refusals at all routes because many others were removed, and against a
// removed one that is forgotten when its requests are taken over. New routes of a host
// of their own must not fill the table either.
func TestManyRemovedRoutesDoNotCountAsChangeOfAll(t *testing.T) {
	s, before := NewState(), testRoutes{"i/": "s"}
	for n := range 2 * MaxRouteChanges {
		before[fmt.Sprintf("h/%d/", n)] = "s"
	}
	applyCommand(t, s, 1, &apiv1.FleetCommand{Document: before.document(1)})
	applyCommand(t, s, 2, &apiv1.FleetCommand{Document: testRoutes{"i/": "s"}.document(2)})
	assert.Check(t, s.AlwaysLedTo("i/", "s"))
	after := testRoutes{"i/": "s", "h/0/": "s", "h/1/": "t"}
	for n := range 2 * MaxRouteChanges {
		after[fmt.Sprintf("new-%d/", n)] = "s"
	}
	applyCommand(t, s, 3, &apiv1.FleetCommand{Document: after.document(3)})
	assert.Check(t, s.AlwaysLedTo("i/", "s") && s.AlwaysLedTo("new-0/", "s"))
	assert.Check(t, !s.AlwaysLedTo("h/1/", "t"))
	view, _ := s.View(0)
	assert.Check(t, len(view.GetRouteChanges().GetChanges()) <= 2*MaxRouteChanges)
	applyCommand(t, s, 4, &apiv1.FleetCommand{SettledRoutes: 3})
	assert.Check(t, s.AlwaysLedTo("h/1/", "t"))
	assert.Check(t, restarted(t, s).AlwaysLedTo("h/0/", "s"))
}
