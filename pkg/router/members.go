package router

import (
	"jackdawtrack.example/jackdawtrack/pkg/membership"
	"jackdawtrack.example/jackdawtrack/pkg/ownership"
	"jackdawtrack.example/jackdawtrack/pkg/peer"
	"jackdawtrack.example/jackdawtrack/pkg/pool"
)

// memberRole is the role of routers in the membership.
const memberRole = ownership.RoleRouter

// exchangePeers returns the routers to connect to. Dead routers stay listed, so
// that both sides of a partition connect again after it has healed.
func exchangePeers(members []membership.Member, self string) []peer.Peer {
	var out []peer.Peer
	for _, m := range members {
		if m.Name == self || m.Role != memberRole || m.Status == membership.Left || m.PeerAddress == "" {
			continue
		}
		id := pool.RouterID{Name: m.Name, DataCentre: m.DataCentre, Incarnation: m.Incarnation}
		out = append(out, peer.Peer{ID: id, Address: m.PeerAddress})
	}
	return out
}
