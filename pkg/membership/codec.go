package membership

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
)

// tagBytes of a SHA-256 HMAC end each datagram when a key is set.
const tagBytes = 16

var errTag = errors.New("datagram without a valid authentication tag")

// Packet is one datagram to send.
type Packet struct {
	To   string // IP and UDP port
	Data []byte
}

func encode(key []byte, p *apiv1.SwimPacket) []byte {
	data, err := proto.Marshal(p)
	if err != nil {
		return nil // only for strings that are not UTF-8, which settings refuse
	}
	if len(key) == 0 {
		return data
	}
	return append(data, tag(key, data)...)
}

func decode(key, data []byte) (*apiv1.SwimPacket, error) {
	if len(key) > 0 {
		cut := len(data) - tagBytes
		if cut < 0 || !hmac.Equal(data[cut:], tag(key, data[:cut])) {
			return nil, errTag
		}
		data = data[:cut]
	}
	p := &apiv1.SwimPacket{}
	return p, proto.Unmarshal(data, p)
}

func tag(key, data []byte) []byte {
	m := hmac.New(sha256.New, key)
	m.Write(data)
	return m.Sum(nil)[:tagBytes]
}

// shortRecord updates a member that the receiver knows.
func shortRecord(e *entry) *apiv1.MemberRecord {
	return &apiv1.MemberRecord{
		Name: e.Name, Incarnation: e.Incarnation, Version: e.version,
		Status: apiv1.MemberStatus(e.Status), Draining: e.Draining,
	}
}

func fullRecord(now time.Time, e *entry) *apiv1.MemberRecord {
	r := shortRecord(e)
	r.DataCentre, r.Role = e.DataCentre, e.Role
	r.GossipAddress, r.PeerAddress, r.AdminAddress = e.GossipAddress, e.PeerAddress, e.AdminAddress
	if !e.Live() {
		r.AgeS = uint32(now.Sub(e.Since) / time.Second)
	}
	return r
}

func isShort(r *apiv1.MemberRecord) bool { return r.GossipAddress == "" }

func newEntry(now time.Time, r *apiv1.MemberRecord) *entry {
	return &entry{version: r.Version, Member: Member{
		Name: r.Name, DataCentre: r.DataCentre, Role: r.Role, Incarnation: r.Incarnation,
		GossipAddress: r.GossipAddress, PeerAddress: r.PeerAddress, AdminAddress: r.AdminAddress,
		Draining: r.Draining, Status: Alive, Since: now,
	}}
}
