package edge

import (
	"testing"

	"gotest.tools/v3/assert"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/release"
)

// Guards against a host that takes a server for one of another release than it
// announced, and against one that misses the change of a server that came back.
func TestServerInfoStatesTheRelease(t *testing.T) {
	v := newTestView()
	v.mergeEvent(start, &apiv1.FleetEvent{State: fleetState(1, 1), Confirmed: true})
	for i, version := range []string{"v1", "v2", ""} {
		m := testAnnouncement(0, 0)
		m.BornMs, m.Release = int64(i+1), uint64(release.Of("s", version))
		servers, _, _ := v.mergeEvent(start, &apiv1.FleetEvent{Servers: []*apiv1.ServerAnnouncement{m}})
		assert.Assert(t, servers)
		assert.Equal(t, v.serverInfos(start)[0].Release, release.Of("s", version))
	}
}

// Guards against a stream that begins at a release before the fleet has recorded it, and
// against a host that keeps an older list or does not act on a newer one.
func TestServersOfRecordedReleases(t *testing.T) {
	id := func(version string) uint64 { return uint64(release.Of("s", version)) }
	var full []uint64
	for i := range uint64(maxRecordedReleases) {
		full = append(full, i+1)
	}
	for _, c := range []struct {
		name              string
		lists             []*apiv1.ServiceReleases
		recorded, several bool
	}{
		{"no list", nil, false, false},
		{"list of another service", []*apiv1.ServiceReleases{{Service: "t", Releases: []uint64{id("v1"), id("v2")}, Revision: 1}}, false, false},
		{"other release", []*apiv1.ServiceReleases{{Service: "s", Releases: []uint64{id("v2")}, Revision: 1}}, false, false},
		{"listed", []*apiv1.ServiceReleases{{Service: "s", Releases: []uint64{id("v1")}, Revision: 1}}, true, false},
		{"several", []*apiv1.ServiceReleases{{Service: "s", Releases: []uint64{id("v2"), id("v1")}, Revision: 1}}, true, true},
		{"nearly full", []*apiv1.ServiceReleases{{Service: "s", Releases: full[1:], Revision: 1}}, false, true},
		{"full", []*apiv1.ServiceReleases{{Service: "s", Releases: full, Revision: 1}}, true, true},
		{"older list later", []*apiv1.ServiceReleases{{Service: "s", Releases: []uint64{id("v1"), 0}, Revision: 5}, {Service: "s", Releases: []uint64{id("v2")}, Revision: 4}}, true, true},
		{"newer list", []*apiv1.ServiceReleases{{Service: "s", Releases: []uint64{id("v1"), id("v2")}, Revision: 4}, {Service: "s", Releases: []uint64{id("v2")}, Revision: 5}}, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &Server{fleetView: newTestView()}
			m := testAnnouncement(0, 0)
			m.Release = id("v1")
			s.fleetView.mergeEvent(start, &apiv1.FleetEvent{State: fleetState(1, 1), Confirmed: true, Servers: []*apiv1.ServerAnnouncement{m}})
			last := uint64(0)
			for _, list := range c.lists {
				changed, _, _ := s.fleetView.mergeEvent(start, &apiv1.FleetEvent{State: &apiv1.FleetState{Releases: []*apiv1.ServiceReleases{list}}})
				assert.Equal(t, changed, list.GetRevision() > last)
				last = max(last, list.GetRevision())
			}
			assert.Equal(t, s.fleetView.serverInfos(start)[0].Recorded, c.recorded)
			assert.Equal(t, s.severalReleases("s"), c.several)
		})
	}
}

// Guards against servers without a version that begin streams unrecorded: the list must
// say that they serve the service too.
func TestServerWithoutAVersionIsRecordedLikeOthers(t *testing.T) {
	h := releaseHistory{}
	log := newTestView().log
	assert.Assert(t, h.merge([]*apiv1.ServiceReleases{{Service: "s", Releases: []uint64{7}, Revision: 1}}, log))
	assert.Assert(t, !h.agreed("s", release.Unknown))
	assert.Assert(t, h.merge([]*apiv1.ServiceReleases{{Service: "s", Releases: []uint64{7, 0}, Revision: 2}}, log))
	assert.Assert(t, h.agreed("s", release.Unknown) && h.severalReleases("s"))
}
