package membership

import (
	"fmt"
	"net/netip"

	"google.golang.org/protobuf/proto"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/class"
)

const (
	// maxRecordBytes bounds a record, so that a datagram has room for any of them.
	maxRecordBytes = MaxPacketBytes / 2
	// maxIncarnation and maxVersion leave room for refutations, which raise them by
	// one. Incarnations are start times in Unix nanoseconds.
	maxIncarnation = 1 << 62
	maxVersion     = 1 << 31
)

// invalidRecord returns why a received record must not be merged, "" if it may.
func invalidRecord(r *apiv1.MemberRecord) string {
	switch {
	case !class.ValidName(r.Name):
		return fmt.Sprintf("invalid name %.64q", r.Name)
	case r.Incarnation > maxIncarnation || r.Version > maxVersion:
		return fmt.Sprintf("%s: incarnation %d or version %d is too large", r.Name, r.Incarnation, r.Version)
	case Status(r.Status) < Alive || Status(r.Status) > Left:
		return fmt.Sprintf("%s: unknown status %d", r.Name, r.Status)
	case proto.Size(r) > maxRecordBytes:
		return fmt.Sprintf("%s: record of %d bytes", r.Name, proto.Size(r))
	case isShortRecord(r):
		return ""
	}
	for _, address := range []string{r.GossipAddress, r.PeerAddress, r.AdminAddress} {
		if at, err := netip.ParseAddrPort(address); address != "" && (err != nil || at.Port() == 0) {
			return fmt.Sprintf("%s: invalid address %.64q", r.Name, address)
		}
	}
	return ""
}

// isValidHeader reports whether the names in a packet are short enough to be sent on.
func isValidHeader(p *apiv1.SwimPacket) bool {
	return class.ValidName(p.From) && len(p.Target) <= class.MaxNameLength && len(p.TargetAddress) <= class.MaxNameLength
}
