package dispatch

import (
	"google.golang.org/protobuf/proto"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
)

// serversPerPart and placementsPerPart bound one datagram to about 16 KB. One
// that names 3,000 servers has 100 KB, more than UDP carries.
const (
	serversPerPart    = 200
	placementsPerPart = 300
)

// parts returns the number of datagrams that a digest takes.
func parts(servers, placements int) int {
	n := max((servers+serversPerPart-1)/serversPerPart, (placements+placementsPerPart-1)/placementsPerPart)
	return max(n, 1)
}

// Split cuts a digest into parts that a datagram holds each. The digest bears
// the number of the last one.
func Split(m *apiv1.LoadDigest) []*apiv1.LoadDigest {
	n := parts(len(m.GetServers()), len(m.GetPlacements()))
	if n == 1 {
		return []*apiv1.LoadDigest{m}
	}
	servers, placements := m.GetServers(), m.GetPlacements()
	out := make([]*apiv1.LoadDigest, 0, n)
	for i := range n {
		part := &apiv1.LoadDigest{
			Router: m.GetRouter(), DataCentre: m.GetDataCentre(), Incarnation: m.GetIncarnation(), Capacity: m.GetCapacity(),
			Summary: m.GetSummary(), Relay: m.GetRelay(), Number: m.GetNumber() - uint64(n-1-i),
		}
		part.Servers, servers = cut(servers, serversPerPart)
		part.Placements, placements = cut(placements, placementsPerPart)
		if i == n-1 {
			part.Uses, part.Leaving, part.Complete, part.Parts = m.GetUses(), m.GetLeaving(), m.GetComplete(), uint32(n)
		}
		out = append(out, part)
	}
	return out
}

func cut[T proto.Message](all []T, n int) (first, rest []T) {
	n = min(n, len(all))
	return all[:n], all[n:]
}

// follows notes the number of a digest, and reports whether all parts that it
// is complete with have come.
func (p *peer) follows(m *apiv1.LoadDigest) bool {
	if p.run++; m.GetNumber() != p.number+1 {
		p.run = 1
	}
	p.number = m.GetNumber()
	return p.run >= m.GetParts()
}
