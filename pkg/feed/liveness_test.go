package feed

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/registry"
)

var start = time.Unix(1_700_000_000, 0)

func server(startMS int64, vouched bool) *apiv1.ServerAnnouncement {
	return &apiv1.ServerAnnouncement{Id: "i", Address: "a", State: uint32(registry.Ready), Sequence: 1, BornMs: startMS, Vouched: vouched}
}

// Guards against servers that expire although a core host hears them, and against
// servers that stay alive after the core host has stopped to report them: because
// they are silent, have restarted, or the stream of the core host was lost.
func TestReportedServersAreRenewed(t *testing.T) {
	for _, c := range []struct {
		name  string
		then  func(v *Liveness, r *registry.Registry)
		renew bool
	}{
		{"reported as alive", func(*Liveness, *registry.Registry) {}, true},
		{"no longer reported", func(v *Liveness, r *registry.Registry) {
			v.Apply(start, "core", &apiv1.FleetEvent{Servers: []*apiv1.ServerAnnouncement{server(1, false)}}, r, nil)
		}, false},
		{"restarted", func(_ *Liveness, r *registry.Registry) { r.Merge(registry.FromProto(server(2, false), start)) }, false},
		{"stream lost", func(v *Liveness, _ *registry.Registry) { v.HandleDisconnect("core") }, false},
		{"stream of another core host lost", func(v *Liveness, _ *registry.Registry) { v.HandleDisconnect("other") }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			v, r := NewLiveness(), registry.New()
			r.Merge(registry.FromProto(server(1, true), start))
			assert.Assert(t, !v.Apply(start, "core", &apiv1.FleetEvent{Servers: []*apiv1.ServerAnnouncement{server(1, true)}}, r, nil))
			c.then(v, r)
			v.Apply(start.Add(5*time.Second), "core", &apiv1.FleetEvent{HeardWithinMs: 1000}, r, nil)
			got, _ := r.Get("i")
			want := start
			if c.renew {
				want = start.Add(4 * time.Second)
			}
			assert.Equal(t, got.Heard, want)
		})
	}
}

// Guards against edge hosts that expire while they are connected to a core host, and
// against ones that stay known after they have disconnected.
func TestConnectedEdgesAreRenewed(t *testing.T) {
	v, r := NewLiveness(), registry.New()
	seen := 0
	take := func(edges ...*apiv1.EdgeHost) int {
		seen = 0
		v.Apply(start, "core", &apiv1.FleetEvent{Edges: edges}, r, func(name string) { seen++; assert.Equal(t, name, "e") })
		return seen
	}
	assert.Equal(t, take(&apiv1.EdgeHost{Name: "e", Connected: true}), 1)
	assert.Equal(t, take(), 1)
	assert.Equal(t, take(&apiv1.EdgeHost{Name: "e"}), 0)
	assert.Equal(t, take(), 0)
}
