package edge

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

// edgeMetrics counts requests by end and their times.
type edgeMetrics struct {
	registry metrics.Registry
	first    metrics.Timer // arrival to first event or answer
	wait     metrics.Timer // arrival to the first send
	version  metrics.Gauge // configuration in force
}

func newMetrics(r metrics.Registry) *edgeMetrics {
	return &edgeMetrics{
		registry: r,
		first:    metrics.GetOrRegisterTimer("edge.first_answer", r),
		wait:     metrics.GetOrRegisterTimer("edge.wait", r),
		version:  metrics.GetOrRegisterGauge("edge.config_version", r),
	}
}

func (m *edgeMetrics) ended(outcome string, first time.Duration) {
	metrics.GetOrRegisterCounter("edge.requests."+outcome, m.registry).Inc(1)
	if first > 0 {
		m.first.Update(first)
	}
}
