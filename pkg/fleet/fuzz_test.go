package fleet

import (
	"math"
	"testing"

	"google.golang.org/protobuf/proto"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
)

// Guards against a stored command that crashes core hosts, that replaces a newer
// document, or after which the state cannot be restored from its snapshot.
func FuzzApply(f *testing.F) {
	for _, c := range []*apiv1.FleetCommand{
		{},
		{Document: &apiv1.FleetDocument{Version: math.MaxUint64, Data: []byte("[[[")}},
		{Mark: &apiv1.FleetMark{DataCentre: "z", Out: true, Revision: math.MaxUint64}},
		{Verdict: &apiv1.QuarantineVerdict{Suspect: 1, Generation: math.MaxUint32, State: math.MaxUint32, AgeMs: math.MinInt64, StoredUnixMs: math.MinInt64}},
		{Releases: &apiv1.ServiceReleases{Service: "s", Releases: []uint64{0, 1, 1, math.MaxUint64}, Revision: math.MaxUint64}},
		{Releases: &apiv1.ServiceReleases{Service: "first", Releases: []uint64{9, 8, 7, 6, 5, 4, 3, 2, 1}}},
		{Releases: &apiv1.ServiceReleases{Service: "first", Releases: []uint64{2}, Revision: 1, Replace: true}},
		{Releases: &apiv1.ServiceReleases{Service: "first", Revision: 1, Replace: true}},
		{Releases: &apiv1.ServiceReleases{Service: "\x00", Releases: []uint64{1}}},
		{Releases: &apiv1.ServiceReleases{Releases: []uint64{1}}},
		{Document: &apiv1.FleetDocument{Version: 8, HasStreamRoutes: true, StreamRoutes: []*apiv1.StreamRoute{{}, {Place: "a/"}, {Place: "a/", Services: 1}}}},
		{SettledRoutes: math.MaxUint64},
	} {
		data, err := EncodeCommand(c)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte{0xff, 0xff})
	f.Fuzz(func(t *testing.T, command []byte) {
		s := NewState()
		first, err := EncodeCommand(&apiv1.FleetCommand{Document: &apiv1.FleetDocument{Version: 7, Data: []byte("{}")}, Mark: &apiv1.FleetMark{DataCentre: "first", Out: true}, Releases: &apiv1.ServiceReleases{Service: "first", Releases: []uint64{1, 2}}})
		if err != nil {
			t.Fatal(err)
		}
		s.Apply(1, first)
		s.Apply(2, command)
		if s.Version() < 7 {
			t.Fatalf("version %d", s.Version())
		}
		if n := len(s.Releases("first").GetReleases()); n == 0 || n > MaxReleases {
			t.Fatalf("%d releases", n)
		}
		if view, _ := s.View(0); len(view.GetRouteChanges().GetChanges()) > MaxRouteChanges {
			t.Fatalf("%d changes of routes", len(view.GetRouteChanges().GetChanges()))
		}
		snapshot, err := s.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		restored := NewState()
		if err := restored.Restore(snapshot); err != nil {
			t.Fatal(err)
		}
		want, _ := s.View(0)
		got, _ := restored.View(0)
		if !proto.Equal(got, want) {
			t.Fatalf("%v restored as %v", want, got)
		}
	})
}
