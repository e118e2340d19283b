package dispatch

import (
	"google.golang.org/protobuf/proto"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
)

// serversPerDatagram and placementsPerDatagram limit a datagram to about 16 KB.
// A digest of 3,000 servers takes 100 KB, more than fits into one UDP datagram.
const (
	serversPerDatagram    = 200
	placementsPerDatagram = 300
)

// datagramCount returns the number of datagrams that a digest takes.
func datagramCount(servers, placements int) int {
	n := max((servers+serversPerDatagram-1)/serversPerDatagram, (placements+placementsPerDatagram-1)/placementsPerDatagram)
	return max(n, 1)
}

// SplitDigest splits a digest into datagrams of bounded size. The last one has
// the number of the digest, the others the numbers before it.
func SplitDigest(m *apiv1.LoadDigest) []*apiv1.LoadDigest {
	n := datagramCount(len(m.GetServers()), len(m.GetPlacements()))
	if n == 1 {
		return []*apiv1.LoadDigest{m}
	}
	servers, placements := m.GetServers(), m.GetPlacements()
	out := make([]*apiv1.LoadDigest, 0, n)
	for i := range n {
		datagram := &apiv1.LoadDigest{
			Router: m.GetRouter(), DataCentre: m.GetDataCentre(), Incarnation: m.GetIncarnation(), Capacity: m.GetCapacity(),
			Summary: m.GetSummary(), Relay: m.GetRelay(), Number: m.GetNumber() - uint64(n-1-i),
		}
		datagram.Servers, servers = splitAt(servers, serversPerDatagram)
		datagram.Placements, placements = splitAt(placements, placementsPerDatagram)
		if i == n-1 {
			datagram.Uses, datagram.Leaving, datagram.Complete, datagram.Parts = m.GetUses(), m.GetLeaving(), m.GetComplete(), uint32(n)
			datagram.Quarantine = m.GetQuarantine()
		}
		out = append(out, datagram)
	}
	return out
}

// splitAt splits a slice after at most n items.
func splitAt[T proto.Message](all []T, n int) (first, rest []T) {
	n = min(n, len(all))
	return all[:n], all[n:]
}

// recordNumber records the number of a datagram and reports whether all
// datagrams of its digest have been received in order.
func (p *peer) recordNumber(m *apiv1.LoadDigest) bool {
	if p.consecutive++; m.GetNumber() != p.lastNumber+1 {
		p.consecutive = 1
	}
	p.lastNumber = m.GetNumber()
	return p.consecutive >= m.GetParts()
}
