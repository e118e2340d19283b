package capacity

import (
	"encoding/json"
	"fmt"

	"google.golang.org/protobuf/proto"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/fairshare"
	"jackdawtrack.example/jackdawtrack/pkg/peer"
	"jackdawtrack.example/jackdawtrack/pkg/pool"
)

const (
	// busySummaries and busyAnnouncements are messages a second.
	busySummaries     = 4
	busyAnnouncements = 1
	sessionsPerSecond = 0.5

	designServersPerRouter = float64(designServers) / designRouters
	designShardsPerRouter  = float64(designShards) / designRouters
)

// messageBytes is what one message costs that travels alone.
func messageBytes(e *apiv1.Envelope) int {
	return framing + proto.Size(&apiv1.Batch{Items: []*apiv1.Envelope{e}})
}

// SlotTraffic measures the control bytes a second of one router for asks,
// grants and settles against its request rate, one message each.
func SlotTraffic() Slope {
	s := Slope{Role: "router", Name: "asks, grants and settles", XName: "request/s", Unit: "B/s", At: requestsPerNode, Budget: controlBytesPerSecond}
	now := start
	ask := peer.AskToEnvelope(shard1, newAsk(1<<30, 39_999, now), now)
	grant := &apiv1.Envelope{Item: &apiv1.Envelope_Grant{Grant: peer.GrantToProto(shard1, pool.Grant{
		RequestID: 1 << 30, GrantID: 1 << 30, Epoch: 1 << 40, Server: "server-001", Address: "127.100.100.100:9000", BootID: 1 << 60,
		Abilities: backend.Abilities{Resume: true, Cancel: true, RepeatsID: true}, EstimateUnits: 4_000,
	})}}
	settle := &apiv1.Envelope{Item: &apiv1.Envelope_Settle{Settle: &apiv1.Settle{
		Shard: peer.ShardToProto(shard1), GrantId: 1 << 30, Epoch: 1 << 40, Outcome: 1, CostUnits: 4_000, FirstTokenUs: 100_000, TokenIntervalUs: 30_000}}}
	one := messageBytes(ask) + messageBytes(grant) + messageBytes(settle)
	for _, rate := range []float64{2, 5, 10, 20} {
		s.Points = append(s.Points, Point{rate, rate * float64(one)})
	}
	return s
}

// TotalsTraffic measures the bytes a second that one router sends for service
// totals to every other router, at the request rate of one node.
func TotalsTraffic() Slope {
	s := Slope{Role: "router", Name: "service totals to every router", XName: "router", Unit: "B/s", At: designRouters, Budget: controlBytesPerSecond}
	interval := fairshare.TotalsExchangeInterval.Seconds()
	changed := int(requestsPerNode * interval)
	totals := &apiv1.Totals{Origin: peer.RouterToProto(router1)}
	for i := range changed {
		totals.Totals = append(totals.Totals, &apiv1.WorkspaceTotal{Workspace: workspaceName(i), Units: 1 << 32})
	}
	one := float64(messageBytes(&apiv1.Envelope{Item: &apiv1.Envelope_Totals{Totals: totals}})) / interval
	for _, n := range []int{5, 50, 150, 380} {
		s.Points = append(s.Points, Point{float64(n), one * float64(n-1)})
	}
	return s
}

// AnnouncementTraffic measures the bytes a second that a router sends to the
// owners of pools for the servers that announce themselves to it.
func AnnouncementTraffic() Slope {
	s := Slope{Role: "router", Name: "announcements passed to owners", XName: "server", Unit: "B/s", At: designServersPerRouter, Budget: controlBytesPerSecond}
	a := announcement(1, 1<<20)
	a.Models = []string{"model-01", "model-01-support", "model-01-drafts"}
	a.Abilities = backend.Abilities{Resume: true, Cancel: true, RepeatsID: true, CacheEvents: true}
	text, err := json.Marshal(a)
	must(err)
	one := messageBytes(&apiv1.Envelope{Item: &apiv1.Envelope_Announcement{Announcement: &apiv1.Announcement{Json: text}}})
	for _, n := range []float64{1, 2, 4, 8} {
		s.Points = append(s.Points, Point{n, n * busyAnnouncements * float64(one)})
	}
	return s
}

// SummaryTraffic measures the bytes a second that the owners at one router
// send to the owners in other data centres while all of them have a backlog.
func SummaryTraffic() Slope {
	s := Slope{Role: "owner", Name: "summaries at full backlog", XName: "data centre", Unit: "B/s", At: designDataCentres, Budget: controlBytesPerSecond}
	summary := pool.Summary{From: shard1, Epoch: 1 << 40, Waiting: 500, Floor: 1 << 30}
	for i := range 4 {
		summary.Lowest = append(summary.Lowest, pool.WaitingValue{Value: 1<<30 + int64(i), Count: 100})
	}
	one := messageBytes(&apiv1.Envelope{Item: &apiv1.Envelope_Summary{Summary: peer.SummaryToProto(summary)}})
	for _, n := range []float64{3, 4, 8, 16} {
		s.Points = append(s.Points, Point{n, (n - 1) * designShardsPerRouter * busySummaries * float64(one)})
	}
	return s
}

// SessionTraffic measures the bytes a second that the leader receives for the
// sessions of routers.
func SessionTraffic() Slope {
	s := Slope{Role: "leader", Name: "sessions of routers, received", XName: "router", Unit: "B/s", At: designRouters}
	one := framing + proto.Size(&apiv1.RenewSessionRequest{Router: fmt.Sprintf("router-%03d", 1), Incarnation: 1 << 60})
	for _, n := range []float64{5, 50, 150, 380} {
		s.Points = append(s.Points, Point{n, n * sessionsPerSecond * float64(one)})
	}
	return s
}
