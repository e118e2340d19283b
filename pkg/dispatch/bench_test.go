package dispatch

import (
	"fmt"
	"testing"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/release"
)

// BenchmarkDecision measures the decision on a request whose first part all
// engines cache, its first event and its end.
func BenchmarkDecision(b *testing.B) {
	for _, engines := range []int{9, 94, 300, 670} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			d := newFleet(1, engines)[0]
			d.SetServiceRate(0)
			part := Part{ID: 7, Tokens: 500}
			for _, s := range d.servers {
				s.cachedParts.recordUse([]Part{part}, start, engineKV)
			}
			now := start
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(200 * time.Millisecond)
				r := newRequest(now, "w", 2000, time.Second, part)
				d.Admit(now, r)
				d.RecordEvent(now, r)
				d.RecordOutcome(now, r, Completed)
			}
		})
	}
}

// BenchmarkDecisionAtRelease measures the decision on a request at engines of two
// releases, for any of them and for one.
func BenchmarkDecisionAtRelease(b *testing.B) {
	for _, engines := range []int{9, 94, 670} {
		for _, needed := range []release.ID{release.Unknown, v1} {
			b.Run(fmt.Sprintf("engines=%d,constrained=%t", engines, needed != release.Unknown), func(b *testing.B) {
				releases := make([]release.ID, engines)
				for i := range releases {
					releases[i] = []release.ID{v1, v2}[i%2]
				}
				d := newFleetOf(false, releases...)
				now := start
				b.ReportAllocs()
				for b.Loop() {
					now = now.Add(200 * time.Millisecond)
					r := newRequest(now, "w", 2000, time.Second, Part{ID: 7, Tokens: 500})
					r.Release = needed
					d.Admit(now, r)
					d.RecordEvent(now, r)
					d.RecordOutcome(now, r, Completed)
				}
			})
		}
	}
}
