package replica

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/wal"
)

const (
	benchClients         = 64
	benchCommits         = 4000
	benchSingleCommits   = 400
	benchCommandBytes    = 200
	benchBaselineEntries = 10
)

// commitCommands commits n commands from benchClients clients and returns the
// duration.
func commitCommands(b *testing.B, m *member, n int) time.Duration {
	start := time.Now()
	var wait sync.WaitGroup
	for c := range benchClients {
		wait.Go(func() {
			for i := c; i < n; i += benchClients {
				_, err := m.Propose(b.Context(), fmt.Appendf(make([]byte, benchCommandBytes), "%d", i))
				assert.Check(b, err)
			}
		})
	}
	wait.Wait()
	return time.Since(start)
}

// syncEach writes n records with one sync each and returns the duration.
func syncEach(b *testing.B, n int) time.Duration {
	l, _, err := wal.Open(b.TempDir(), wal.Options{})
	assert.NilError(b, err)
	defer l.Close()
	start := time.Now()
	for i := range uint64(n) {
		l.Append(wal.Record{Kind: wal.KindEntry, Index: i + 1, Term: 1, Data: make([]byte, benchCommandBytes)})
		assert.NilError(b, l.Sync())
	}
	return time.Since(start)
}

// BenchmarkGroupCommit reports the commit throughput of 64 clients divided by that
// of a log with one sync per record, and the commands per write.
func BenchmarkGroupCommit(b *testing.B) {
	for _, size := range []int{1, 3} {
		b.Run(fmt.Sprint("members=", size), func(b *testing.B) {
			var groupCommitTime, singleCommitTime time.Duration
			batch := 0.0
			for b.Loop() {
				g := newGroup(b, size)
				g.startAll()
				l := g.leader()
				groupCommitTime += commitCommands(b, l, benchCommits) / benchCommits
				singleCommitTime += syncEach(b, benchSingleCommits) / benchSingleCommits
				batch += l.metrics.batch.Mean()
				g.stopAll()
			}
			b.ReportMetric(float64(singleCommitTime)/float64(groupCommitTime), "x-one-sync-each")
			b.ReportMetric(batch/float64(b.N), "commands/write")
		})
	}
}

// BenchmarkRestart reports the time from Open to a confirmed read, divided by the
// same time for a log with 10 entries.
func BenchmarkRestart(b *testing.B) {
	baseline := newGroupWithEntries(b, benchBaselineEntries, 0)
	for _, c := range []struct {
		entries                int
		snapshotThresholdBytes int64
	}{{10, 0}, {100, 0}, {1000, 0}, {10000, 0}, {10000, 256 << 10}} {
		name := fmt.Sprint("entries=", c.entries)
		if c.snapshotThresholdBytes > 0 {
			name += ",snapshots"
		}
		b.Run(name, func(b *testing.B) {
			g := newGroupWithEntries(b, c.entries, c.snapshotThresholdBytes)
			var base, total time.Duration
			for b.Loop() {
				base += baseline.measureRestart()
				total += g.measureRestart()
			}
			b.ReportMetric(float64(total)/float64(base), "x-10-entries")
		})
	}
}

func newGroupWithEntries(b *testing.B, entries int, snapshotThresholdBytes int64) *group {
	g := newGroup(b, 1)
	g.snapshotThresholdBytes = snapshotThresholdBytes
	commitCommands(b, g.start(1), entries)
	return g
}

func (g *group) measureRestart() time.Duration {
	g.stop(1)
	start := time.Now()
	m := g.start(1)
	assert.NilError(g.t, m.ReadBarrier(g.context()))
	return time.Since(start)
}

// BenchmarkCatchUp reports the time that a restarted follower takes to receive the
// entries it missed, divided by the time in which they were committed.
func BenchmarkCatchUp(b *testing.B) {
	for _, c := range []struct {
		name                   string
		snapshotThresholdBytes int64
	}{{"entries", 0}, {"snapshot", 128 << 10}} {
		b.Run(c.name, func(b *testing.B) {
			var commit, catchUp time.Duration
			snapshots := int64(0)
			for b.Loop() {
				g := newGroup(b, 3)
				g.snapshotThresholdBytes = c.snapshotThresholdBytes
				g.startAll()
				g.leader()
				g.stop(3)
				l := g.leader(1, 2)
				commit += commitCommands(b, l, benchCommits)
				start := time.Now()
				m := g.start(3)
				g.waitApplied(m, l.Status().Commit)
				catchUp += time.Since(start)
				snapshots += m.metrics.restored.Count()
				g.stopAll()
			}
			b.ReportMetric(float64(catchUp)/float64(commit), "x-commit-time")
			b.ReportMetric(float64(snapshots)/float64(b.N), "snapshots")
		})
	}
}

// BenchmarkIdleTraffic reports the bytes per message on the connections of an idle
// group, including gRPC framing and connection checks but not TCP headers.
func BenchmarkIdleTraffic(b *testing.B) {
	const idleMessages = 400
	g := newGroup(b, 3)
	g.modifyConfig = func(c *Config) { c.Tick = DefaultTick }
	g.startAll()
	l := g.leader()
	sent := func() int64 {
		total := int64(0)
		for _, m := range g.members {
			total += m.metrics.sent.Count()
		}
		return total
	}
	for b.Loop() {
		bytes, messages := g.net.bytes.Load(), sent()
		_, err := l.WaitForStatus(b.Context(), func(Status) bool { return sent() >= messages+idleMessages })
		assert.NilError(b, err)
		b.ReportMetric(float64(g.net.bytes.Load()-bytes)/float64(sent()-messages), "bytes/message")
	}
}
