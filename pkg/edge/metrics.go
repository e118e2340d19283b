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
}

func newMetrics(r metrics.Registry) *edgeMetrics {
	return &edgeMetrics{
		registry: r,
		first:    metrics.GetOrRegisterTimer("edge.first_answer", r),
		wait:     metrics.GetOrRegisterTimer("edge.wait", r),
	}
}

func (m *edgeMetrics) ended(outcome string, first time.Duration) {
	metrics.GetOrRegisterCounter("edge.requests."+outcome, m.registry).Inc(1)
	if first > 0 {
		m.first.Update(first)
	}
}
