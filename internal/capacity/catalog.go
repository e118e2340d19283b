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

// The deployment size to design for, and the budgets of control traffic, memory
// and processor time on a router.
const (
	designRouters              = 380
	designServers              = 670
	designWorkspaces           = 40_000
	designBackloggedWorkspaces = designWorkspaces / 10
	designRequestsPerSecond    = 3_900
	designChangesPerDay        = 1_500
	designDataCentres          = 8
	designModels               = 34
	designControlHosts         = 7 // reserved for control
	secondsPerDay              = 86_400

	controlBytesPerSecond     = 4_096
	controlMemoryBytes        = 128 << 20
	controlCorePercent        = 4.7
	hotShardRequestsPerSecond = 20 // a pool with a higher rate is split
	changePropagationSeconds  = 10
)

// grpcMessageOverheadBytes is the overhead of one message on an open gRPC stream:
// TCP/IP headers 40, HTTP/2 frame header 9, gRPC prefix 5.
const grpcMessageOverheadBytes = 40 + 9 + 5

var workspaceSizes = []int{5_000, 10_000, 20_000, 40_000}

// retainedHeapBytes returns the heap bytes retained by the result of build.
func retainedHeapBytes(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&before)
	result := build()
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(result)
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
	s := Slope{Role: "router", Name: "catalog memory", SizeName: "workspace", Unit: "B", DesignSize: designWorkspaces, Budget: controlMemoryBytes}
	for _, n := range workspaceSizes {
		bytes := retainedHeapBytes(func() any { return catalog.Empty().WithChanges(1, workspaceChanges(n)) })
		s.Points = append(s.Points, Point{float64(n), bytes})
	}
	return s
}

// CatalogSnapshotBytes measures the size of the catalog snapshot that a restarted
// router receives.
func CatalogSnapshotBytes() Slope {
	s := Slope{Role: "router", Name: "catalog snapshot", SizeName: "workspace", Unit: "B", DesignSize: designWorkspaces}
	for _, n := range workspaceSizes {
		event := &apiv1.WatchEvent{Revision: 1, Snapshot: true, Changes: workspaceChanges(n)}
		s.Points = append(s.Points, Point{float64(n), float64(proto.Size(event))})
	}
	return s
}

// ChangeTraffic measures the bytes per second that a router receives for
// configuration changes, averaged over a day.
func ChangeTraffic() Slope {
	s := Slope{Role: "router", Name: "configuration changes", SizeName: "change a day", Unit: "B/s", DesignSize: designChangesPerDay, Budget: controlBytesPerSecond}
	messageSize := proto.Size(&apiv1.WatchEvent{Revision: 1 << 20, PreviousRevision: 1<<20 - 1, Changes: workspaceChanges(1)}) + grpcMessageOverheadBytes
	for _, n := range []int{100, 500, 1_500, 3_000} {
		s.Points = append(s.Points, Point{float64(n), float64(n*messageSize) / secondsPerDay})
	}
	return s
}

// BurnMemory measures the heap of the burn recorder with one class for each
// workspace.
func BurnMemory() Slope {
	s := Slope{Role: "router", Name: "burn recorder memory", SizeName: "workspace", Unit: "B", DesignSize: designWorkspaces, Budget: controlMemoryBytes}
	for _, n := range workspaceSizes {
		bytes := retainedHeapBytes(func() any {
			r := burn.NewRecorder("router", startTime)
			sample := burn.RequestSample{Class: class.Class{Name: "chat", Objective: 0.95}}
			for i := range n {
				sample.Workspace = workspaceName(i)
				r.Record(startTime, sample)
			}
			return r
		})
		s.Points = append(s.Points, Point{float64(n), bytes})
	}
	return s
}

// ChangeProcessingTime measures the processor time of a router for configuration changes,
// averaged over a day.
func ChangeProcessingTime() Slope {
	s := Slope{Role: "router", Name: "applying 1,500 changes a day", SizeName: "workspace", Unit: "% of a core", DesignSize: designWorkspaces, Budget: controlCorePercent}
	const rounds = 200
	for _, n := range workspaceSizes {
		c := catalog.Empty().WithChanges(1, workspaceChanges(n))
		before := processorTime()
		for i := range rounds {
			c = c.WithChanges(uint64(i+2), []*apiv1.Change{workspaceChange(i)})
		}
		perChange := float64(processorTime()-before) / rounds
		s.Points = append(s.Points, Point{float64(n), perChange * designChangesPerDay / secondsPerDay / nanosPerCorePercent})
	}
	return s
}
