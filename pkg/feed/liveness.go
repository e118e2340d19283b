package feed

import (
	"time"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/registry"
)

// Liveness tracks, for each core host, which backend servers and edge hosts its
// stream currently reports as alive: the servers that it hears directly and the
// edge hosts that are connected to it. While a stream lasts, each of its events
// renews all of them. Messages that renew each one would grow in number with
// servers and hosts times streams. It is not safe for concurrent use.
type Liveness struct {
	sources map[string]*reportedBy
}

// reportedBy holds what one core host reports as alive.
type reportedBy struct {
	servers map[string]int64 // by id: start of the server, Unix milliseconds
	edges   map[string]bool  // by name
}

// NewLiveness returns a Liveness without core hosts.
func NewLiveness() *Liveness { return &Liveness{sources: map[string]*reportedBy{}} }

// Apply applies an event of the core host at the address and renews what that
// host reports as alive: servers in the registry, and edge hosts by calls of
// seen. It reports whether any server was renewed.
func (v *Liveness) Apply(now time.Time, address string, e *apiv1.FleetEvent, servers *registry.Registry, seen func(edge string)) bool {
	by := v.sources[address]
	if by == nil {
		by = &reportedBy{servers: map[string]int64{}, edges: map[string]bool{}}
		v.sources[address] = by
	}
	by.applyEvent(e)
	for name := range by.edges {
		seen(name)
	}
	if e.GetHeardWithinMs() <= 0 {
		return false
	}
	heard := now.Add(-registry.DurationOfAge(e.GetHeardWithinMs()))
	for id, startMS := range by.servers {
		servers.Renew(id, startMS, heard)
	}
	return len(by.servers) > 0
}

// applyEvent applies the changes in an event to the reported servers and edge hosts.
func (by *reportedBy) applyEvent(e *apiv1.FleetEvent) {
	for _, m := range e.GetServers() {
		delete(by.servers, m.GetId())
		if m.GetVouched() {
			by.servers[m.GetId()] = m.GetBornMs()
		}
	}
	for _, m := range e.GetEdges() {
		delete(by.edges, m.GetName())
		if m.GetConnected() {
			by.edges[m.GetName()] = true
		}
	}
}

// HandleDisconnect removes what the core host at the address reports, after its
// stream has ended. The next stream begins with its complete state.
func (v *Liveness) HandleDisconnect(address string) { delete(v.sources, address) }
