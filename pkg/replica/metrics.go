package replica

import "github.com/rcrowley/go-metrics"

// batchSamples is the reservoir size of the batch histogram.
const batchSamples = 1028

// replicaMetrics holds the metrics, which are registered with the prefix "raft.".
type replicaMetrics struct {
	commits      metrics.Meter     // committed entries applied
	batch        metrics.Histogram // proposals per write
	sync         metrics.Timer     // duration of the write and sync of one batch
	sent         metrics.Counter   // messages sent
	dropped      metrics.Counter   // messages dropped by a full queue or a broken connection
	elections    metrics.Counter   // elections won by this host
	snapshots    metrics.Counter   // snapshots taken
	restored     metrics.Counter   // snapshots restored from another member
	diskFull     metrics.Gauge     // 1 while the last write failed for lack of space
	fullWrites   metrics.Counter   // writes of the log that failed for lack of space
	fullSnaps    metrics.Counter   // own snapshots that failed for lack of space
	term         metrics.Gauge
	appliedIndex metrics.Gauge
}

func newMetrics(r metrics.Registry) *replicaMetrics {
	return &replicaMetrics{
		commits:      metrics.GetOrRegisterMeter("raft.commits", r),
		batch:        metrics.GetOrRegisterHistogram("raft.batch", r, metrics.NewUniformSample(batchSamples)),
		sync:         metrics.GetOrRegisterTimer("raft.sync", r),
		sent:         metrics.GetOrRegisterCounter("raft.sent", r),
		dropped:      metrics.GetOrRegisterCounter("raft.dropped", r),
		elections:    metrics.GetOrRegisterCounter("raft.elections", r),
		snapshots:    metrics.GetOrRegisterCounter("raft.snapshots", r),
		restored:     metrics.GetOrRegisterCounter("raft.restored", r),
		diskFull:     metrics.GetOrRegisterGauge("raft.disk_full", r),
		fullWrites:   metrics.GetOrRegisterCounter("raft.disk_full.writes", r),
		fullSnaps:    metrics.GetOrRegisterCounter("raft.disk_full.snapshots", r),
		term:         metrics.GetOrRegisterGauge("raft.term", r),
		appliedIndex: metrics.GetOrRegisterGauge("raft.applied", r),
	}
}
