package edge

import (
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"
)

// edgeMetrics counts requests by outcome and measures their latencies.
type edgeMetrics struct {
	registry      metrics.Registry
	firstResponse metrics.Timer // from arrival to the first event or the complete response
	queueWait     metrics.Timer // from arrival to the first attempt
	configVersion metrics.Gauge // version of the configuration in force

	otherProcess metrics.Counter // attempts that were not sent, because another process answered on the connection

	responsesTooLarge  metrics.Counter // responses and events that exceeded their maximum size
	responseMemoryFull metrics.Counter // responses for which the memory of all was used up

	takeUpLog *takeUpLog
}

func newMetrics(r metrics.Registry) *edgeMetrics {
	return &edgeMetrics{
		registry:      r,
		firstResponse: metrics.GetOrRegisterTimer("edge.first_answer", r),
		queueWait:     metrics.GetOrRegisterTimer("edge.wait", r),
		configVersion: metrics.GetOrRegisterGauge("edge.config_version", r),

		otherProcess: metrics.GetOrRegisterCounter("edge.other_process", r),

		responsesTooLarge:  metrics.GetOrRegisterCounter("edge.responses_too_large", r),
		responseMemoryFull: metrics.GetOrRegisterCounter("edge.response_memory_full", r),

		takeUpLog: &takeUpLog{limiter: rate.NewLimiter(takeUpLogRate, takeUpLogBurst)},
	}
}

// recordOutcome counts a request and, if firstResponse is positive, its latency.
func (m *edgeMetrics) recordOutcome(outcome string, firstResponse time.Duration) {
	metrics.GetOrRegisterCounter("edge.requests."+outcome, m.registry).Inc(1)
	if firstResponse > 0 {
		m.firstResponse.Update(firstResponse)
	}
}
