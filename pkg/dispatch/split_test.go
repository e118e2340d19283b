package dispatch

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
)

const (
	manyServers = 3000
	maxUDP      = 65_507 // bytes that one datagram carries
)

// Guards against a digest that no datagram holds: with the 3,002 servers of the
// sweep at 300 machines none of the complete ones left the host.
func TestDigestOfManyServersFitsDatagrams(t *testing.T) {
	fleet := newFleet(2, manyServers)
	a, b := fleet[0], fleet[1]
	for _, s := range a.servers {
		s.running, s.tokens = 3, 123_456
		for i := range 2 {
			a.placed = append(a.placed, placement{server: s.hash, part: Part{ID: s.hash + uint64(i), Tokens: 4000}})
		}
	}
	m := digest(a, start)
	all := Split(m)
	assert.Assert(t, len(all) > 1)
	for _, part := range all {
		data, err := proto.Marshal(part)
		assert.NilError(t, err)
		assert.Assert(t, len(data) <= maxUDP, "%d bytes", len(data))
		assert.Assert(t, b.Take(start, part))
	}
	for _, s := range b.servers {
		running, _ := s.load()
		assert.Equal(t, running, 3)
	}
	assert.Assert(t, b.peers[a.self].complete)
	assert.Assert(t, b.Take(start, digest(a, start.Add(time.Second))), "the next number is newer")
}

// Guards against earlier work that counts as new after a part was lost: its
// servers were not named before.
func TestPartsAreCompleteTogether(t *testing.T) {
	fleet := newFleet(2, manyServers)
	a, b := fleet[0], fleet[1]
	for _, s := range a.servers {
		s.running, s.tokens = 3, 1_000_000
	}
	all := Split(digest(a, start))
	for i, part := range all {
		if i != 1 {
			b.Take(start, part)
		}
	}
	assert.Assert(t, !b.peers[a.self].complete)
	for _, part := range Split(digest(a, start.Add(time.Second))) {
		b.Take(start, part)
	}
	assert.Assert(t, b.peers[a.self].complete)
	for _, s := range b.servers {
		assert.Assert(t, s.backlog < 1_000_000, "%s", s.info.ID)
	}
}

// Guards against parts that lose what the digest says beside its servers.
func TestSplitKeepsAll(t *testing.T) {
	m := &apiv1.LoadDigest{
		Router: "r", DataCentre: "z", Incarnation: 7, Number: 20, Capacity: 3, Summary: true, Relay: true, Complete: true,
		Uses: []*apiv1.WorkspaceUse{{Workspace: "w"}}, Leaving: []*apiv1.LeavingServer{{Id: "i"}},
	}
	for i := range 2*serversPerPart + 1 {
		m.Servers = append(m.Servers, &apiv1.ServerLoad{Server: uint64(i)})
	}
	for i := range placementsPerPart + 1 {
		m.Placements = append(m.Placements, &apiv1.Placement{Part: uint64(i)})
	}
	joined := &apiv1.LoadDigest{}
	for i, part := range Split(m) {
		assert.Equal(t, part.GetNumber(), uint64(18+i))
		proto.Merge(joined, part)
	}
	joined.Parts = 0
	assert.Assert(t, proto.Equal(joined, m))
}
