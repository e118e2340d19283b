package fleet

import (
	"fmt"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/release"
)

// releasesModel holds the releases of each service in plain sets.
type releasesModel struct {
	listed   map[string]map[uint64]bool
	revision map[string]uint64
	removed  map[string]bool // the last change is a removal that is not confirmed
}

func (m *releasesModel) apply(index uint64, c *apiv1.ServiceReleases) (changed bool) {
	set := m.listed[c.Service]
	if c.Replace {
		if set == nil || m.revision[c.Service] != c.Revision {
			return false
		}
		next := map[uint64]bool{}
		for _, id := range c.Releases {
			if set[id] {
				next[id] = true
			}
		}
		if len(next) == 0 || len(next) == len(set) && !m.removed[c.Service] {
			return false
		}
		m.removed[c.Service] = len(next) < len(set)
		m.listed[c.Service], m.revision[c.Service] = next, index
		return true
	}
	for _, id := range c.Releases {
		if len(set) == MaxReleases || set[id] {
			continue
		}
		if set == nil {
			set = map[uint64]bool{}
			m.listed[c.Service] = set
		}
		set[id], changed = true, true
	}
	if changed {
		m.removed[c.Service] = false
		m.revision[c.Service] = index
	}
	return changed
}

func drawReleases(t *rapid.T, s *State) *apiv1.ServiceReleases {
	c := &apiv1.ServiceReleases{
		Service:  rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "service"),
		Releases: rapid.SliceOfN(rapid.Uint64Range(0, 11), 0, 4).Draw(t, "releases"),
		Replace:  rapid.Bool().Draw(t, "replace"),
	}
	c.Revision = s.Releases(c.Service).GetRevision()
	if rapid.IntRange(0, 3).Draw(t, "old revision") == 0 {
		c.Revision = rapid.Uint64Range(0, c.Revision).Draw(t, "revision")
	}
	return c
}

// Guards against a release that is lost from the list while streams that began on it
// can go on, by another command, an outdated one or a restart: the only release that
// is left would be taken for the one that began them. It also guards against watchers
// that are woken without a change. It compares the state with a simple model.
func TestReleasesMatchModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, m := NewState(), &releasesModel{listed: map[string]map[uint64]bool{}, revision: map[string]uint64{}, removed: map[string]bool{}}
		for index := uint64(1); index <= 40; index++ {
			c := drawReleases(t, s)
			before, changed := s.View(0)
			want := m.apply(index, proto.Clone(c).(*apiv1.ServiceReleases))
			applyCommand(t, s, index, &apiv1.FleetCommand{Releases: c})
			assert.Equal(t, isClosed(changed), want)
			view, _ := s.View(0)
			if !want {
				assert.Equal(t, view.GetRevision(), before.GetRevision())
			}
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				s = restarted(t, s)
			}
			checkReleases(t, s, m)
		}
	})
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// restarted returns the state as it is restored from its snapshot.
func restarted(t interface{ Fatal(...any) }, s *State) *State {
	data, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	out := NewState()
	if err := out.Restore(data); err != nil {
		t.Fatal(err)
	}
	return out
}

func checkReleases(t *rapid.T, s *State, m *releasesModel) {
	view, _ := s.View(0)
	assert.Equal(t, len(view.GetReleases()), len(m.listed))
	assert.Assert(t, slices.IsSortedFunc(view.GetReleases(), func(a, b *apiv1.ServiceReleases) int {
		if a.Service < b.Service {
			return -1
		}
		return 1
	}))
	for _, got := range view.GetReleases() {
		set := m.listed[got.GetService()]
		assert.Equal(t, len(got.GetReleases()), len(set))
		assert.Equal(t, got.GetRevision(), m.revision[got.GetService()])
		_, isSole := SoleRelease(got)
		assert.Equal(t, isSole, len(set) == 1 && !set[uint64(release.Unknown)] && !m.removed[got.GetService()])
		for id := range uint64(12) {
			assert.Equal(t, slices.Contains(got.GetReleases(), id), set[id])
			assert.Equal(t, s.HasRelease(got.GetService(), release.ID(id)), set[id] || len(set) == MaxReleases)
			assert.Equal(t, s.CanAddRelease(got.GetService(), release.ID(id)), !set[id] && len(set) < MaxReleases)
		}
	}
}

// Guards against a replicated state that grows with the names and versions that
// servers announce.
func TestReleasesAreBounded(t *testing.T) {
	s := NewState()
	add := func(service string, ids ...uint64) {
		applyCommand(t, s, 1, &apiv1.FleetCommand{Releases: &apiv1.ServiceReleases{Service: service, Releases: ids}})
	}
	for n := range MaxServices + 1 {
		assert.Equal(t, s.CanAddRelease(fmt.Sprint("s", n), 1), n < MaxServices)
		add(fmt.Sprint("s", n), 1)
	}
	for id := range uint64(MaxReleases + 2) {
		add("s0", id)
	}
	add("", 1)
	view, _ := s.View(0)
	assert.Equal(t, len(view.GetReleases()), MaxServices)
	assert.Equal(t, len(s.Releases("s0").GetReleases()), MaxReleases)
	assert.Assert(t, s.HasRelease("s0", 99), "a full list must not keep a release out")
	assert.Assert(t, !s.HasRelease("s1", 99))
}

// Guards against a host that cannot read the snapshot of a version without releases.
func TestSnapshotWithoutReleasesIsRestored(t *testing.T) {
	data, err := proto.Marshal(&apiv1.FleetState{Revision: 4, Document: &apiv1.FleetDocument{Version: 3}})
	assert.NilError(t, err)
	s := NewState()
	applyCommand(t, s, 1, &apiv1.FleetCommand{Releases: &apiv1.ServiceReleases{Service: "s", Releases: []uint64{1}}})
	assert.NilError(t, s.Restore(data))
	assert.Equal(t, s.Version(), uint64(3))
	assert.Assert(t, s.Releases("s") == nil)
	assert.Assert(t, s.CanAddRelease("s", 1))
}

// Guards against a release that is taken for the only one of a service because the
// version of its servers is not known.
func TestUnknownReleaseIsNeverSole(t *testing.T) {
	for _, c := range []struct {
		listed []uint64
		want   release.ID
		ok     bool
	}{{nil, 0, false}, {[]uint64{0}, 0, false}, {[]uint64{5}, 5, true}, {[]uint64{0, 5}, 0, false}, {[]uint64{5, 6}, 0, false}} {
		id, ok := SoleRelease(&apiv1.ServiceReleases{Releases: c.listed})
		assert.Equal(t, id, c.want)
		assert.Equal(t, ok, c.ok)
	}
}
