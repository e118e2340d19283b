package capacity

import (
	"fmt"
	"runtime"

	"google.golang.org/protobuf/proto"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/burn"
	"jackdawtrack.example/jackdawtrack/pkg/catalog"
	"jackdawtrack.example/jackdawtrack/pkg/class"
)

// The size to design for.
const (
	designRouters     = 380
	designServers     = 670
	designWorkspaces  = 40_000
	designBacklogged  = designWorkspaces / 10
	designRequests    = 3_900 // a second
	designChanges     = 1_500 // a day
	designDataCentres = 8
	designModels      = 34
	designHosts       = 7 // set aside for control
	secondsPerDay     = 86_400

	controlBytesPerSecond = 4_096
	controlMemory         = 128 << 20
	controlCorePercent    = 4.7
	hotShardRequests      = 20 // a second; a pool with more is split
	changeInForceSeconds  = 10
)

// framing is what one message on an open gRPC stream costs beside its
// payload: TCP/IP header 40, HTTP/2 frame 9, gRPC prefix 5.
const framing = 40 + 9 + 5

var workspaceSizes = []int{5_000, 10_000, 20_000, 40_000}

// heapOf returns the heap bytes that the result of build keeps alive.
func heapOf(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

func workspaceName(i int) string { return fmt.Sprintf("workspace-%05d", i) }

func workspaceChange(i int) *apiv1.Change {
	hash := make([]byte, 32)
	copy(hash, workspaceName(i))
	return &apiv1.Change{Item: &apiv1.Change_Workspace{Workspace: &apiv1.Workspace{
		Name:      workspaceName(i),
		KeyHashes: [][]byte{hash},
	}}}
}

func workspaceChanges(n int) []*apiv1.Change {
	changes := make([]*apiv1.Change, n)
	for i := range changes {
		changes[i] = workspaceChange(i)
	}
	return changes
}

// CatalogMemory measures the heap of a router's catalog.
func CatalogMemory() Slope {
	s := Slope{Role: "router", Name: "catalog memory", XName: "workspace", Unit: "B", At: designWorkspaces, Budget: controlMemory}
	for _, n := range workspaceSizes {
		bytes := heapOf(func() any { return catalog.Empty().WithChanges(1, workspaceChanges(n)) })
		s.Points = append(s.Points, Point{float64(n), bytes})
	}
	return s
}

// CatalogSnapshotBytes measures what a restarted router receives.
func CatalogSnapshotBytes() Slope {
	s := Slope{Role: "router", Name: "catalog snapshot", XName: "workspace", Unit: "B", At: designWorkspaces}
	for _, n := range workspaceSizes {
		event := &apiv1.WatchEvent{Revision: 1, Snapshot: true, Changes: workspaceChanges(n)}
		s.Points = append(s.Points, Point{float64(n), float64(proto.Size(event))})
	}
	return s
}

// ChangeBytes measures the bytes a day that a router receives for changes and
// spreads them over the day.
func ChangeBytes() Slope {
	s := Slope{Role: "router", Name: "configuration changes", XName: "change a day", Unit: "B/s", At: designChanges, Budget: controlBytesPerSecond}
	one := proto.Size(&apiv1.WatchEvent{Revision: 1 << 20, PreviousRevision: 1<<20 - 1, Changes: workspaceChanges(1)}) + framing
	for _, n := range []int{100, 500, 1_500, 3_000} {
		s.Points = append(s.Points, Point{float64(n), float64(n*one) / secondsPerDay})
	}
	return s
}

// BurnMemory measures the heap of the burn recorder with one class for each
// workspace.
func BurnMemory() Slope {
	s := Slope{Role: "router", Name: "burn recorder memory", XName: "workspace", Unit: "B", At: designWorkspaces, Budget: controlMemory}
	for _, n := range workspaceSizes {
		bytes := heapOf(func() any {
			r := burn.NewRecorder("router", start)
			sample := burn.RequestSample{Class: class.Class{Name: "chat", Objective: 0.95}}
			for i := range n {
				sample.Workspace = workspaceName(i)
				r.Record(start, sample)
			}
			return r
		})
		s.Points = append(s.Points, Point{float64(n), bytes})
	}
	return s
}

// ChangeTime measures the processor time of a router for the configuration
// changes of a day, spread over the day.
func ChangeTime() Slope {
	s := Slope{Role: "router", Name: "applying 1,500 changes a day", XName: "workspace", Unit: "% of a core", At: designWorkspaces, Budget: controlCorePercent}
	const rounds = 200
	for _, n := range workspaceSizes {
		c := catalog.Empty().WithChanges(1, workspaceChanges(n))
		before := processorTime()
		for i := range rounds {
			c = c.WithChanges(uint64(i+2), []*apiv1.Change{workspaceChange(i)})
		}
		perChange := float64(processorTime()-before) / rounds
		s.Points = append(s.Points, Point{float64(n), perChange * designChanges / secondsPerDay / nanosPerPercent})
	}
	return s
}
