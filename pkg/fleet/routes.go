package fleet

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/streamrecord"
)

// Without a record, the release that began a stream is known only if all requests that
// a caller may still come back with were served by one service. So the state keeps the
// places whose services have changed, until the leader states that this is long ago. A
// place is a host and a path prefix; the longest one that matches a request holds. A
// place that is added or removed changes nothing if the one that covers it has the same
// services. One that nothing covers any more is kept for a later one that takes its
// requests over.

// MaxRouteChanges bounds the stored changes, and the removed places that nothing covers.
// With more changes, all routes count as changed. With more removed places, those of each
// host are joined.
const MaxRouteChanges = 64

// severalServices stands for the services of joined places. It fits no route: hashes
// have 64 bits.
const severalServices = 1

// NewStreamRoute returns what a configuration states about a route to streams.
func NewStreamRoute(place string, services []string) *apiv1.StreamRoute {
	return &apiv1.StreamRoute{Place: place, Services: hashServices(services)}
}

// hashServices does not depend on the order of the names.
func hashServices(services []string) uint64 {
	h := xxhash.New()
	for _, name := range slices.Compact(slices.Sorted(slices.Values(services))) {
		_, _ = h.WriteString(name) // never fails
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}

// servicesByPlace returns the services of each place, nil if the document does not state
// them.
func servicesByPlace(d *apiv1.FleetDocument) map[string]uint64 {
	if !d.GetHasStreamRoutes() {
		return nil
	}
	out := make(map[string]uint64, len(d.GetStreamRoutes()))
	for _, r := range d.GetStreamRoutes() {
		if len(r.GetPlace()) > streamrecord.MaxPlaceBytes {
			return nil
		}
		out[r.GetPlace()] = r.GetServices()
	}
	return out
}

// routeChangesAfter returns the changes after the routes of a document are replaced by
// the log entry with that index. Routes are nil if the document does not state them.
func routeChangesAfter(index uint64, stored *apiv1.RouteChanges, isFirst bool, previous, next map[string]uint64) *apiv1.RouteChanges {
	if isFirst && next != nil {
		return stored // no stream has begun yet
	}
	if previous == nil || next == nil {
		return &apiv1.RouteChanges{AllRevision: index}
	}
	h := newRouteHistory(stored)
	h.replace(index, previous, next)
	if len(h.left) > MaxRouteChanges {
		h.joinLeft()
	}
	if len(h.moved) > MaxRouteChanges || len(h.left) > MaxRouteChanges {
		return &apiv1.RouteChanges{AllRevision: index}
	}
	return &apiv1.RouteChanges{AllRevision: stored.GetAllRevision(), Changes: h.changes()}
}

// routeHistory holds the stored changes by place. A place can be in both maps.
type routeHistory struct {
	moved map[string]uint64    // log index of the last change of services
	left  map[string]leftPlace // places that were removed and that no other one covers
}

// leftPlace is a removed place and the services that its requests went to.
type leftPlace struct{ revision, services uint64 }

func newRouteHistory(stored *apiv1.RouteChanges) *routeHistory {
	h := &routeHistory{moved: map[string]uint64{}, left: map[string]leftPlace{}}
	for _, c := range stored.GetChanges() {
		if c.GetLeftServices() == 0 {
			h.moved[c.GetPlace()] = c.GetRevision()
		} else {
			h.left[c.GetPlace()] = leftPlace{c.GetRevision(), c.GetLeftServices()}
		}
	}
	return h
}

// replace records what moves when the routes change at the log index.
func (h *routeHistory) replace(index uint64, previous, next map[string]uint64) {
	moved := maps.Clone(h.moved)
	for place, services := range next {
		if before, isKnown := h.servicesBefore(place, previous); isKnown && before != services {
			moved[place] = index
		} else if revision := h.movedBefore(place, previous); revision > moved[place] {
			moved[place] = revision
		}
	}
	for place, l := range h.left {
		if at, isCovered := coveringPlace(place, next); isCovered {
			delete(h.left, place)
			if next[at] != l.services {
				moved[place] = index
			}
		}
	}
	for place, services := range previous {
		if at, isCovered := coveringPlace(place, next); !isCovered {
			h.left[place] = leftPlace{index, services}
		} else if next[at] != services {
			moved[place] = index
		}
	}
	h.moved = moved
}

// servicesBefore returns the services that the requests of a place went to, or last went
// to, and false if no route has led to them.
func (h *routeHistory) servicesBefore(place string, previous map[string]uint64) (uint64, bool) {
	if at, ok := coveringPlace(place, previous); ok {
		return previous[at], true
	}
	at, ok := coveringPlace(place, h.left)
	return h.left[at].services, ok
}

// movedBefore returns the log index of the last change of the place that covered the
// given one until now, or of a longer one, 0 if there is none.
func (h *routeHistory) movedBefore(place string, previous map[string]uint64) (latest uint64) {
	led, _ := coveringPlace(place, previous)
	left, _ := coveringPlace(place, h.left)
	// Longer places have been removed, and their requests moved until then.
	for end := len(place); end >= max(len(led), len(left)); end-- {
		latest = max(latest, h.moved[place[:end]])
	}
	return latest
}

// joinLeft joins the removed places of each host to one, whose requests count as moved
// wherever a new route leads them. Routes that are there stay as they are.
func (h *routeHistory) joinLeft() {
	joined := map[string]leftPlace{}
	for place, l := range h.left {
		host, _, _ := strings.Cut(place, "/")
		joined[host+"/"] = leftPlace{max(l.revision, joined[host+"/"].revision), severalServices}
	}
	h.left = joined
}

// changes returns the history in order of place.
func (h *routeHistory) changes() (out []*apiv1.RouteChange) {
	for place, revision := range h.moved {
		out = append(out, &apiv1.RouteChange{Place: place, Revision: revision})
	}
	for place, l := range h.left {
		out = append(out, &apiv1.RouteChange{Place: place, Revision: l.revision, LeftServices: l.services})
	}
	// Versions that do not know left places keep the last revision of a place.
	slices.SortFunc(out, func(a, b *apiv1.RouteChange) int {
		return cmp.Or(strings.Compare(a.GetPlace(), b.GetPlace()), cmp.Compare(a.GetRevision(), b.GetRevision()), cmp.Compare(a.GetLeftServices(), b.GetLeftServices()))
	})
	return out
}

// coveringPlace returns the longest of the places that leads to the requests of the given
// one, which can be that one itself.
func coveringPlace[V any](place string, places map[string]V) (string, bool) {
	for end := len(place); end > 0; end-- {
		if _, ok := places[place[:end]]; ok && place[end-1] == '/' {
			return place[:end], true
		}
	}
	return "", false
}

// settledRouteChanges returns the changes after those up to the log index are removed.
func settledRouteChanges(stored *apiv1.RouteChanges, upTo uint64) *apiv1.RouteChanges {
	out := &apiv1.RouteChanges{AllRevision: stored.GetAllRevision()}
	if out.AllRevision <= upTo {
		out.AllRevision = 0
	}
	for _, c := range stored.GetChanges() {
		if c.GetRevision() > upTo {
			out.Changes = append(out.Changes, c)
		}
	}
	return out
}

// OldestRouteChange returns the log index of the oldest change, 0 if there is none.
func OldestRouteChange(m *apiv1.RouteChanges) uint64 {
	oldest := m.GetAllRevision()
	for _, c := range m.GetChanges() {
		if oldest == 0 || c.GetRevision() < oldest {
			oldest = c.GetRevision()
		}
	}
	return oldest
}

// restoredRouteChanges returns the changes of a snapshot. A version that did not keep
// them may have changed any route just before.
func restoredRouteChanges(v *apiv1.FleetState) *apiv1.RouteChanges {
	switch {
	case v.GetRouteChanges() != nil:
		return v.GetRouteChanges()
	case v.GetDocument() == nil:
		return &apiv1.RouteChanges{}
	}
	return &apiv1.RouteChanges{AllRevision: cmp.Or(v.GetRevision(), 1)}
}

// AlwaysLedTo reports whether the streams of the callers that may still come back with
// requests of the place have begun at the service. Without a place, which older edge
// hosts do not state, no route may have changed.
func (s *State) AlwaysLedTo(place, service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if place == "" {
		return OldestRouteChange(s.routes) == 0
	}
	if s.routes.GetAllRevision() > 0 || slices.ContainsFunc(s.routes.GetChanges(), func(c *apiv1.RouteChange) bool {
		return c.GetLeftServices() == 0 && strings.HasPrefix(c.GetPlace(), place)
	}) {
		return false
	}
	// The edge host may use an older configuration than the stored one.
	return s.services == nil || s.services[place] == hashServices([]string{service})
}
