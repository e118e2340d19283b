package feed

import (
	"time"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/registry"
)

// Vouched keeps what each core host vouches for on its stream: the backend
// servers that it hears itself and the edge hosts that are connected to it. It
// takes the place of messages that renew each of them, which would grow with
// servers and hosts times streams. It is not safe for concurrent use.
type Vouched struct {
	sources map[string]*vouchedBy
}

type vouchedBy struct {
	servers map[string]int64 // start of the server, Unix milliseconds
	edges   map[string]bool
}

// NewVouched returns a Vouched of no core host.
func NewVouched() *Vouched { return &Vouched{sources: map[string]*vouchedBy{}} }

// Take notes what an event of the core host at the address changes, and renews
// what the host vouches for in it: in servers, and by calls of seen for edge
// hosts. It reports whether any server was renewed.
func (v *Vouched) Take(now time.Time, address string, e *apiv1.FleetEvent, servers *registry.Registry, seen func(edge string)) bool {
	by := v.sources[address]
	if by == nil {
		by = &vouchedBy{servers: map[string]int64{}, edges: map[string]bool{}}
		v.sources[address] = by
	}
	by.note(e)
	for name := range by.edges {
		seen(name)
	}
	if e.GetHeardWithinMs() <= 0 {
		return false
	}
	heard := now.Add(-time.Duration(e.GetHeardWithinMs()) * time.Millisecond)
	for id, born := range by.servers {
		servers.Renew(id, born, heard)
	}
	return len(by.servers) > 0
}

func (by *vouchedBy) note(e *apiv1.FleetEvent) {
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

// Lost ends what the core host at the address vouches for, with its stream.
// The next stream begins with all that it knows.
func (v *Vouched) Lost(address string) { delete(v.sources, address) }
