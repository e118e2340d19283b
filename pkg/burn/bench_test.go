package burn

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkRecord reports the time per request and the memory per pair of
// class and workspace.
func BenchmarkRecord(b *testing.B) {
	for _, n := range []int{16, 4_000, 40_000} {
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			names := make([]string, n)
			for i := range names {
				names[i] = fmt.Sprintf("workspace-%d", i)
			}
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			r := NewRecorder("a", start)
			s := RequestSample{Class: chat, FirstByte: time.Millisecond}
			for _, s.Workspace = range names {
				r.Record(start, s)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				s.Workspace = names[i%n]
				r.Record(start, s)
				i++
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "B/workspace")
			runtime.KeepAlive(r)
		})
	}
}
