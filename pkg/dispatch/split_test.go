package dispatch

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
)

const (
	testServers      = 3000
	maxDatagramBytes = 65_507 // maximum payload of a UDP datagram
)

// Guards against a digest that exceeds one UDP datagram. With 3,002 servers on
// 300 machines, no complete digest could be sent.
func TestDigestOfManyServersFitsDatagrams(t *testing.T) {
	fleet := newFleet(2, testServers)
	a, b := fleet[0], fleet[1]
	for _, s := range a.servers {
		s.running, s.sentTokens = 3, 123_456
		for i := range 2 {
			a.pendingPlacements = append(a.pendingPlacements, placement{server: s.hash, part: Part{ID: s.hash + uint64(i), Tokens: 4000}})
		}
	}
	m := nextDigest(a, start)
	all := SplitDigest(m)
	assert.Assert(t, len(all) > 1)
	for _, part := range all {
		data, err := proto.Marshal(part)
		assert.NilError(t, err)
		assert.Assert(t, len(data) <= maxDatagramBytes, "%d bytes", len(data))
		assert.Assert(t, b.MergeDigest(start, part))
	}
	for _, s := range b.servers {
		running, _ := s.load()
		assert.Equal(t, running, 3)
	}
	assert.Assert(t, b.peers[a.self].synced)
	assert.Assert(t, b.MergeDigest(start, nextDigest(a, start.Add(time.Second))), "a digest with the next number is accepted")
}

// Guards against counting earlier work as new after a datagram was lost:
// servers in the lost datagram appear for the first time in a later one.
func TestLostDatagramLeavesPeerUnsynced(t *testing.T) {
	fleet := newFleet(2, testServers)
	a, b := fleet[0], fleet[1]
	for _, s := range a.servers {
		s.running, s.sentTokens = 3, 1_000_000
	}
	all := SplitDigest(nextDigest(a, start))
	for i, part := range all {
		if i != 1 {
			b.MergeDigest(start, part)
		}
	}
	assert.Assert(t, !b.peers[a.self].synced)
	for _, part := range SplitDigest(nextDigest(a, start.Add(time.Second))) {
		b.MergeDigest(start, part)
	}
	assert.Assert(t, b.peers[a.self].synced)
	for _, s := range b.servers {
		assert.Assert(t, s.backlogTokens < 1_000_000, "%s", s.info.ID)
	}
}

// Guards against fields of a digest that are lost when it is split.
func TestSplitKeepsAllFields(t *testing.T) {
	m := &apiv1.LoadDigest{
		Router: "r", DataCentre: "z", Incarnation: 7, Number: 20, Capacity: 3, Summary: true, Relay: true, Complete: true,
		Uses: []*apiv1.WorkspaceUse{{Workspace: "w"}}, Leaving: []*apiv1.LeavingServer{{Id: "i"}},
	}
	for i := range 2*serversPerDatagram + 1 {
		m.Servers = append(m.Servers, &apiv1.ServerLoad{Server: uint64(i)})
	}
	for i := range placementsPerDatagram + 1 {
		m.Placements = append(m.Placements, &apiv1.Placement{Part: uint64(i)})
	}
	joined := &apiv1.LoadDigest{}
	for i, part := range SplitDigest(m) {
		assert.Equal(t, part.GetNumber(), uint64(18+i))
		proto.Merge(joined, part)
	}
	joined.Parts = 0
	assert.Assert(t, proto.Equal(joined, m))
}
