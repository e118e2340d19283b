package fleet

import (
	"slices"
	"strings"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/registry"
	"jackdawtrack.example/jackdawtrack/pkg/release"
)

const (
	// MaxServices bounds the services whose releases are stored.
	MaxServices = 4096
	// MaxReleases bounds the stored releases of a service. A full list stands for any
	// release, see Lists.
	MaxReleases = 8
)

// Lists reports whether streams may have begun on the release according to the list of
// its service. A full list stands for any release: it proves nothing on a stream in any
// case, and a release that it has no room for can still be served.
func Lists(m *apiv1.ServiceReleases, id release.ID) bool {
	return len(m.GetReleases()) >= MaxReleases || slices.Contains(m.GetReleases(), uint64(id))
}

// SoleRelease returns the only release in the list, and false if it has none or
// several, if that one cannot be compared with others, or if others were removed
// lately: a removed release may have been announced again at the same time, and streams
// may have begun on it at hosts that did not know of the removal.
func SoleRelease(m *apiv1.ServiceReleases) (release.ID, bool) {
	if len(m.GetReleases()) != 1 || m.GetReplace() || m.GetReleases()[0] == uint64(release.Unknown) {
		return release.Unknown, false
	}
	return release.ID(m.GetReleases()[0]), true
}

// releaseSets holds the releases of each service. The messages are never modified,
// because views share them.
type releaseSets struct {
	byService map[string]*apiv1.ServiceReleases
	sorted    []*apiv1.ServiceReleases // by service; replaced on a change
}

func newReleaseSets(stored []*apiv1.ServiceReleases) releaseSets {
	s := releaseSets{byService: map[string]*apiv1.ServiceReleases{}}
	for _, m := range stored {
		s.store(m)
	}
	return s
}

// store replaces the releases of a service.
func (s *releaseSets) store(m *apiv1.ServiceReleases) {
	s.byService[m.GetService()] = m
	s.sorted = slices.Clone(s.sorted)
	at, found := slices.BinarySearchFunc(s.sorted, m.GetService(), func(e *apiv1.ServiceReleases, service string) int {
		return strings.Compare(e.GetService(), service)
	})
	if found {
		s.sorted[at] = m
		return
	}
	s.sorted = slices.Insert(s.sorted, at, m)
}

// apply executes the command of the log entry with that index and reports whether it
// changed anything.
func (s *releaseSets) apply(index uint64, c *apiv1.ServiceReleases) bool {
	stored := s.byService[c.GetService()]
	if c.GetReplace() {
		return s.replace(index, stored, c)
	}
	next := extended(stored, c)
	if len(next) == len(stored.GetReleases()) || stored == nil && !s.hasRoom(c.GetService()) {
		return false
	}
	s.store(&apiv1.ServiceReleases{Service: c.GetService(), Releases: next, Revision: index})
	return true
}

// replace removes releases from a list, or confirms an earlier removal if it keeps all.
func (s *releaseSets) replace(index uint64, stored, c *apiv1.ServiceReleases) bool {
	if stored == nil || stored.GetRevision() != c.GetRevision() {
		return false // another change came first
	}
	next := slices.DeleteFunc(slices.Clone(stored.GetReleases()), func(id uint64) bool { return !slices.Contains(c.GetReleases(), id) })
	isRemoval := len(next) < len(stored.GetReleases())
	if len(next) == 0 || !isRemoval && !stored.GetReplace() {
		return false
	}
	s.store(&apiv1.ServiceReleases{Service: c.GetService(), Releases: next, Revision: index, Replace: isRemoval})
	return true
}

// hasRoom reports whether the releases of a new service can be stored.
func (s *releaseSets) hasRoom(service string) bool {
	return service != "" && registry.ValidName(service) && len(s.byService) < MaxServices
}

// extended returns the stored releases and those that the command adds, in ascending
// order.
func extended(stored, c *apiv1.ServiceReleases) []uint64 {
	next := slices.Clone(stored.GetReleases())
	for _, id := range c.GetReleases() {
		if len(next) < MaxReleases && !slices.Contains(next, id) {
			next = append(next, id)
		}
	}
	slices.Sort(next)
	return next
}

// Releases returns the releases of a service, nil if there are none. The caller must
// not modify the message.
func (s *State) Releases(service string) *apiv1.ServiceReleases {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.releases.byService[service]
}

// HasRelease reports whether streams of the service may have begun on the release.
func (s *State) HasRelease(service string, id release.ID) bool {
	return Lists(s.Releases(service), id)
}

// CanAddRelease reports whether the state would store a release of the service.
func (s *State) CanAddRelease(service string, id release.ID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.releases.byService[service]
	return !Lists(m, id) && (m != nil || s.releases.hasRoom(service))
}
