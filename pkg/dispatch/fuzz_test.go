package dispatch

import (
	"math"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
)

// Guards against datagrams that cause a panic or make an estimate NaN or
// infinite, which prevents further decisions.
func FuzzTakeDigest(f *testing.F) {
	for _, m := range []*apiv1.LoadDigest{
		{},
		{Router: "edge-1", Incarnation: 1, Number: 1, Complete: true, Capacity: math.NaN(), Servers: []*apiv1.ServerLoad{{
			Server: hashOf("engine-0"), PromptTokens: math.MinInt64, Running: math.MaxUint32, KvTokens: math.MaxUint32, BacklogMs: math.MaxUint32, Failed: math.MaxUint32}}},
		{DataCentre: "b", Summary: true, Relay: true, Incarnation: math.MaxUint64, Number: math.MaxUint64, Capacity: math.Inf(1),
			Uses:       []*apiv1.WorkspaceUse{{Workspace: "w", Asked: math.MaxUint64, Served: math.MaxUint64}},
			Placements: []*apiv1.Placement{{Server: hashOf("engine-0"), Part: 1, Tokens: math.MaxUint32}}},
		{Router: "edge-2", Capacity: -1, Leaving: []*apiv1.LeavingServer{{Id: "engine-0", BornMs: -1}}},
	} {
		data, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte{0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		m := &apiv1.LoadDigest{}
		if proto.Unmarshal(data, m) != nil {
			return
		}
		for _, hosts := range []int{2, 2 * meshLimit} {
			d := newFleet(1, 2)[0]
			d.SetEdgeHosts([]string{"edge-0", "edge-1"}, hosts)
			now := start
			for range 3 {
				d.MergeDigest(now, m)
				m.Number++
				now = now.Add(300 * time.Millisecond)
				d.Admit(now, newRequest(now, "w", 500, time.Second, Part{ID: 1, Tokens: 100}))
				d.Poll(now)
			}
			d.Digest(now, 1)
			d.Summaries(now, []string{"b"})
			for _, v := range []float64{d.shares.capacity, d.shares.fairShare, d.servers["engine-0"].backlogTokens, d.servers["engine-0"].failureRate} {
				if math.IsNaN(v) || math.IsInf(v, 0) {
					t.Fatalf("estimate is %v", v)
				}
			}
		}
	})
}
