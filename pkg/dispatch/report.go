package dispatch

import (
	"math"
	"time"
)

// ServerReport is the state of one server as estimated by the Dispatcher.
type ServerReport struct {
	Server          string  `json:"server"`
	Ready           bool    `json:"ready"`
	Down            bool    `json:"down"`
	Cold            bool    `json:"cold"`
	BacklogMS       int64   `json:"backlog_ms"`
	TokensPerMS     int64   `json:"rate"` // prompt tokens per millisecond
	DelayMS         int64   `json:"delay_ms"`
	RunningRequests int     `json:"running"` // of all edge hosts
	OwnRequests     int     `json:"own"`
	KVTokens        int     `json:"kv"`
	FailureRate     float64 `json:"failures"`
	LatencyMS       int64   `json:"latency_ms"`
	// Limit is the requests per second that the server states to take, nil if it states none.
	Limit *float64 `json:"limit,omitempty"`
	// LimitTokens is the number of requests that the limit allows the fleet at once, negative
	// after too many.
	LimitTokens float64 `json:"limit_tokens,omitempty"`
}

// Report is a snapshot of the state of the Dispatcher.
type Report struct {
	Pressure    time.Duration // median backlog or slot pressure of the engines
	Capacity    float64       // estimated service tokens per second of all engines
	FairShare   float64
	QueueLength int
	EdgeHosts   int
	Dropped     Dropped
	Servers     []ServerReport
}

// Report returns the current state for logs and metrics.
func (d *Dispatcher) Report(now time.Time) Report {
	out := Report{
		Pressure: d.shares.pressure, Capacity: d.shares.capacity, FairShare: d.shares.fairShare,
		QueueLength: len(d.queue), EdgeHosts: d.edges, Dropped: d.dropped,
	}
	for _, s := range d.servers {
		s.advance(now)
		s.decayFailureRate(now)
		running, kvTokens := s.load()
		limit, tokens := (*float64)(nil), 0.0
		if perSecond := s.limit.rate(now); perSecond != noLimit {
			rounded := math.Round(1000*perSecond) / 1000
			limit = &rounded
			d.advanceTokens(now, s)
			tokens = math.Round(10*s.limit.tokens) / 10
		}
		out.Servers = append(out.Servers, ServerReport{
			Limit: limit, LimitTokens: tokens,

			Server: s.info.ID, Ready: s.info.Ready, Down: !s.downSince.IsZero(), Cold: d.isCold(now, s),
			BacklogMS: s.prefillTime(0).Milliseconds(), TokensPerMS: int64(s.prefillRate / 1000), DelayMS: s.firstEventDelay.Milliseconds(),
			RunningRequests: running, OwnRequests: s.running, KVTokens: kvTokens, FailureRate: float64(int(s.failureRate*100)) / 100, LatencyMS: s.latency.Milliseconds(),
		})
	}
	return out
}
