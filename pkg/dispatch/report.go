package dispatch

import "time"

// ServerReport is what the decisions believe of one server.
type ServerReport struct {
	Server    string  `json:"server"`
	Ready     bool    `json:"ready"`
	Down      bool    `json:"down"`
	Cold      bool    `json:"cold"`
	Backlog   int64   `json:"backlog_ms"`
	Rate      int64   `json:"rate"` // prompt tokens per ms
	Delay     int64   `json:"delay_ms"`
	Running   int     `json:"running"` // of all edge hosts
	Own       int     `json:"own"`
	KV        int     `json:"kv"`
	Failures  float64 `json:"failures"`
	LatencyMS int64   `json:"latency_ms"`
}

// Report is what the decisions believe.
type Report struct {
	Pressure time.Duration // median backlog of the engines
	Capacity float64       // service tokens per second
	Level    float64
	Waiting  int
	Edges    int
	Servers  []ServerReport
}

// Report returns the present beliefs for logs and metrics.
func (d *Dispatcher) Report(now time.Time) Report {
	out := Report{
		Pressure: d.shares.pressure, Capacity: d.shares.capacity, Level: d.shares.level,
		Waiting: len(d.queue), Edges: d.edges,
	}
	for _, s := range d.servers {
		s.advance(now)
		s.decayFail(now)
		running, kv := s.load()
		out.Servers = append(out.Servers, ServerReport{
			Server: s.info.ID, Ready: s.info.Ready, Down: !s.downSince.IsZero(), Cold: d.isCold(now, s),
			Backlog: s.wait(0).Milliseconds(), Rate: int64(s.rate / 1000), Delay: s.delay.Milliseconds(),
			Running: running, Own: s.running, KV: kv, Failures: float64(int(s.fail*100)) / 100, LatencyMS: s.latency.Milliseconds(),
		})
	}
	return out
}
