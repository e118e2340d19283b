package replica

import "github.com/rcrowley/go-metrics"

const batchSamples = 1028

// replicaMetrics are registered under names that begin with "raft.".
type replicaMetrics struct {
	commits   metrics.Meter     // entries applied
	batch     metrics.Histogram // proposals per write
	sync      metrics.Timer     // write and sync of one batch
	sent      metrics.Counter   // messages
	dropped   metrics.Counter   // messages that found a full queue or a broken link
	elections metrics.Counter   // won by this host
	snapshots metrics.Counter   // taken
	restored  metrics.Counter   // received from another member
	term      metrics.Gauge
	applied   metrics.Gauge
}

func newMetrics(r metrics.Registry) *replicaMetrics {
	return &replicaMetrics{
		commits:   metrics.GetOrRegisterMeter("raft.commits", r),
		batch:     metrics.GetOrRegisterHistogram("raft.batch", r, metrics.NewUniformSample(batchSamples)),
		sync:      metrics.GetOrRegisterTimer("raft.sync", r),
		sent:      metrics.GetOrRegisterCounter("raft.sent", r),
		dropped:   metrics.GetOrRegisterCounter("raft.dropped", r),
		elections: metrics.GetOrRegisterCounter("raft.elections", r),
		snapshots: metrics.GetOrRegisterCounter("raft.snapshots", r),
		restored:  metrics.GetOrRegisterCounter("raft.restored", r),
		term:      metrics.GetOrRegisterGauge("raft.term", r),
		applied:   metrics.GetOrRegisterGauge("raft.applied", r),
	}
}
