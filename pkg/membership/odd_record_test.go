package membership

import (
	"math"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
)

// soundRecord returns the record of the last host of the network with a change.
func soundRecord(n *network, change func(r *apiv1.MemberRecord)) *apiv1.MemberRecord {
	r := fullRecord(n.now, n.hosts[len(n.hosts)-1].swim.self)
	change(r)
	return r
}

// oddRecords are records that no member sends, with the field that is out of range.
var oddRecords = map[string]func(r *apiv1.MemberRecord){
	"incarnation":       func(r *apiv1.MemberRecord) { r.Incarnation = math.MaxUint64 },
	"version":           func(r *apiv1.MemberRecord) { r.Version, r.Status = math.MaxUint32, apiv1.MemberStatus(Dead) },
	"status":            func(r *apiv1.MemberRecord) { r.Version, r.Status = 1, 7 },
	"negative status":   func(r *apiv1.MemberRecord) { r.Version, r.Status = 1, -1 },
	"name":              func(r *apiv1.MemberRecord) { r.Name = strings.Repeat("n", 2*MaxPacketBytes) },
	"name with a slash": func(r *apiv1.MemberRecord) { r.Name = "a/b" },
	"no name":           func(r *apiv1.MemberRecord) { r.Name = "" },
	"role":              func(r *apiv1.MemberRecord) { r.Incarnation++; r.Role = strings.Repeat("r", 2*MaxPacketBytes) },
	"port 0":            func(r *apiv1.MemberRecord) { r.Incarnation++; r.GossipAddress = "10.0.0.4:0" },
	"port out of range": func(r *apiv1.MemberRecord) { r.Incarnation++; r.GossipAddress = "10.0.0.4:65536" },
	"host name":         func(r *apiv1.MemberRecord) { r.Incarnation++; r.GossipAddress = "router:7946" },
	"peer port":         func(r *apiv1.MemberRecord) { r.Incarnation++; r.PeerAddress = "10.0.0.4:99999" },
}

// Guards against one odd record that ends a process, shuts a member out for good or
// stops the updates on the others.
func TestOddRecordIsDroppedAlone(t *testing.T) {
	for name, change := range oddRecords {
		t.Run(name, func(t *testing.T) {
			n := newNetwork(4, 5)
			n.introduceAll()
			n.run(faultFreeTime, nil)
			receiver, sender, member := n.hosts[0], n.hosts[1], n.hosts[3]
			p := sender.swim.newPacket(apiv1.SwimKind_SWIM_GOSSIP, 1)
			p.Records = append(p.Records, soundRecord(n, change))
			n.send(receiver, receiver.swim.Receive(n.now, sender.address, encode([]byte("key"), p)))
			assert.Assert(t, receiver.swim.TakeInvalid() != "", "the record was not reported")
			n.hosts[2].swim = nil // the other hosts must still learn of this
			n.run(faultFreeTime, func() {
				for _, m := range receiver.swim.Members() {
					_ = m.Status.String()
				}
				m := receiver.swim.table[member.name]
				assert.Assert(t, m.IsLive(), "the member is %s", m.Status)
			})
			assert.Assert(t, n.converged(), n.disagreements())
			assert.Equal(t, receiver.swim.table[member.name].GossipAddress, member.address)
		})
	}
}

// Guards against packets that cause a panic or leave a member in the table that
// cannot be sent to others.
func FuzzReceive(f *testing.F) {
	n := newNetwork(4, 5)
	for _, change := range oddRecords {
		for _, kind := range []apiv1.SwimKind{apiv1.SwimKind_SWIM_PING, apiv1.SwimKind_SWIM_GOSSIP, apiv1.SwimKind_SWIM_SYNC_ANSWER} {
			p := n.hosts[1].swim.newPacket(kind, math.MaxUint64)
			p.Records = append(p.Records, soundRecord(n, change), soundRecord(n, func(*apiv1.MemberRecord) {}))
			f.Add(encode(nil, p))
		}
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		n := newNetwork(4, 5)
		n.introduceAll()
		s := n.hosts[0].swim
		s.Receive(n.now, n.hosts[1].address, append(data, authTag([]byte("key"), data)...))
		for range 20 {
			n.now = n.now.Add(ProbeInterval / 2)
			for _, p := range s.Tick(n.now) {
				if len(p.Data) > MaxPacketBytes {
					t.Fatalf("datagram of %d bytes", len(p.Data))
				}
			}
		}
		for _, e := range s.table {
			if r := fullRecord(n.now, e); e != s.self && invalidRecord(r) != "" || proto.Size(r) > MaxPacketBytes/2 {
				t.Fatalf("kept %+v", r)
			}
			_ = e.Status.String()
		}
	})
}
