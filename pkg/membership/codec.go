package membership

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
)

// authTagBytes is the length of the truncated HMAC-SHA-256 that ends each datagram
// when a key is set.
const authTagBytes = 16

var errAuthTag = errors.New("datagram without a valid authentication tag")

// Packet is one datagram to send.
type Packet struct {
	To   string // IP and UDP port
	Data []byte
}

// encode marshals a packet and appends its authentication tag if a key is set.
func encode(key []byte, p *apiv1.SwimPacket) []byte {
	data, err := proto.Marshal(p)
	if err != nil {
		return nil // only for strings that are not UTF-8, which the settings reject
	}
	if len(key) == 0 {
		return data
	}
	return append(data, authTag(key, data)...)
}

// decode verifies the authentication tag if a key is set and unmarshals the packet.
func decode(key, data []byte) (*apiv1.SwimPacket, error) {
	if len(key) > 0 {
		payloadBytes := len(data) - authTagBytes
		if payloadBytes < 0 || !hmac.Equal(data[payloadBytes:], authTag(key, data[:payloadBytes])) {
			return nil, errAuthTag
		}
		data = data[:payloadBytes]
	}
	p := &apiv1.SwimPacket{}
	return p, proto.Unmarshal(data, p)
}

// authTag returns the truncated HMAC-SHA-256 of data.
func authTag(key, data []byte) []byte {
	m := hmac.New(sha256.New, key)
	m.Write(data)
	return m.Sum(nil)[:authTagBytes]
}

// shortRecord returns a record without addresses, for receivers that know the
// member.
func shortRecord(e *entry) *apiv1.MemberRecord {
	return &apiv1.MemberRecord{
		Name: e.Name, Incarnation: e.Incarnation, Version: e.version,
		Status: apiv1.MemberStatus(e.Status), Draining: e.Draining,
	}
}

// fullRecord returns a record with all fields, which introduces the member. For a
// dead or left member it includes the age of that status.
func fullRecord(now time.Time, e *entry) *apiv1.MemberRecord {
	r := shortRecord(e)
	r.DataCentre, r.Role = e.DataCentre, e.Role
	r.GossipAddress, r.PeerAddress, r.AdminAddress = e.GossipAddress, e.PeerAddress, e.AdminAddress
	if !e.IsLive() {
		r.AgeS = uint32(now.Sub(e.StatusSince) / time.Second)
	}
	return r
}

// isShortRecord reports whether the record has no addresses.
func isShortRecord(r *apiv1.MemberRecord) bool { return r.GossipAddress == "" }

// newEntry returns an alive member from a full record.
func newEntry(now time.Time, r *apiv1.MemberRecord) *entry {
	return &entry{version: r.Version, Member: Member{
		Name: r.Name, DataCentre: r.DataCentre, Role: r.Role, Incarnation: r.Incarnation,
		GossipAddress: r.GossipAddress, PeerAddress: r.PeerAddress, AdminAddress: r.AdminAddress,
		Draining: r.Draining, Status: Alive, StatusSince: now,
	}}
}
