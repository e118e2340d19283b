package core

import (
	"fmt"
	"testing"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/registry"
	"jackdawtrack.example/jackdawtrack/pkg/release"
)

// BenchmarkObserveReleases measures one check of the announced releases, which runs with
// the lock of the host held.
func BenchmarkObserveReleases(b *testing.B) {
	const servers, services, versions = 3000, 20, 2
	h := newTestHost()
	now := time.Now()
	for n := range servers {
		h.servers.Merge(registry.Entry{
			ID: fmt.Sprint(n), Service: fmt.Sprint("s", n%services), Address: fmt.Sprint(n), State: registry.Ready,
			Sequence: 1, Heard: now, HeardDirectly: true, Release: release.ID(n%versions + 1),
		})
	}
	for b.Loop() {
		h.observeReleases(now)
	}
}
