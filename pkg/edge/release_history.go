package edge

import (
	"slices"

	"github.com/sirupsen/logrus"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/release"
)

// maxRecordedReleases is the length at which core hosts add no release to the list of a
// service. Servers of any release may begin streams then, because the list no longer
// says that a service has one release only.
const maxRecordedReleases = 8

// releaseHistory holds the newest list of the releases of each service on which streams
// may have begun, as the core hosts agreed on it.
type releaseHistory map[string]*apiv1.ServiceReleases

// merge merges the lists of a fleet state and reports whether any changed.
func (h releaseHistory) merge(lists []*apiv1.ServiceReleases, log *logrus.Entry) (changed bool) {
	for _, m := range lists {
		if h[m.GetService()].GetRevision() >= m.GetRevision() {
			continue
		}
		h[m.GetService()] = m
		changed = true
		log.WithFields(logrus.Fields{"service": m.GetService(), "versions": len(m.GetReleases()), "revision": m.GetRevision()}).Info("recorded software versions of a service changed")
	}
	return changed
}

// agreed reports whether a stream of the service may begin at a server of the release.
func (h releaseHistory) agreed(service string, id release.ID) bool {
	listed := h[service].GetReleases()
	return len(listed) >= maxRecordedReleases || slices.Contains(listed, uint64(id))
}

// lists reports whether the list of the service names the release.
func (h releaseHistory) lists(service string, id release.ID) bool {
	return slices.Contains(h[service].GetReleases(), uint64(id))
}

// severalReleases reports whether more than one release of the service is listed.
func (h releaseHistory) severalReleases(service string) bool {
	return len(h[service].GetReleases()) > 1
}

// severalReleases reports whether the fleet has recorded more than one release of the
// service. It says nothing about a host that has not received a state yet.
func (s *Server) severalReleases(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fleetView.releases.severalReleases(service)
}
