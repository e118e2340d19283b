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
	// Message rates of one shard, one server and one router.
	summariesPerSecond       = 4
	announcementsPerSecond   = 1
	sessionRenewalsPerSecond = 0.5

	designServersPerRouter = float64(designServers) / designRouters
	designShardsPerRouter  = float64(designShards) / designRouters
)

// messageBytes returns the size on the network of a message that is sent in a
// batch of its own.
func messageBytes(e *apiv1.Envelope) int {
	return grpcMessageOverheadBytes + proto.Size(&apiv1.Batch{Items: []*apiv1.Envelope{e}})
}

// SlotTraffic measures the bytes per second of one router for asks, grants and
// settles by its request rate, with one message each per request.
func SlotTraffic() Slope {
	s := Slope{Role: "router", Name: "asks, grants and settles", SizeName: "request/s", Unit: "B/s", DesignSize: requestsPerSecondPerRouter, Budget: controlBytesPerSecond}
	now := startTime
	ask := peer.AskToEnvelope(shard1, newAsk(1<<30, 39_999, now), now)
	grant := &apiv1.Envelope{Item: &apiv1.Envelope_Grant{Grant: peer.GrantToProto(shard1, pool.Grant{
		RequestID: 1 << 30, GrantID: 1 << 30, Epoch: 1 << 40, Server: "server-001", Address: "127.100.100.100:9000", BootID: 1 << 60,
		Abilities: backend.Abilities{Resume: true, Cancel: true, RepeatsID: true}, EstimateUnits: 4_000,
	})}}
	settle := &apiv1.Envelope{Item: &apiv1.Envelope_Settle{Settle: &apiv1.Settle{
		Shard: peer.ShardToProto(shard1), GrantId: 1 << 30, Epoch: 1 << 40, Outcome: 1, CostUnits: 4_000, FirstTokenUs: 100_000, TokenIntervalUs: 30_000}}}
	bytesPerRequest := messageBytes(ask) + messageBytes(grant) + messageBytes(settle)
	for _, rate := range []float64{2, 5, 10, 20} {
		s.Points = append(s.Points, Point{rate, rate * float64(bytesPerRequest)})
	}
	return s
}

// TotalsTraffic measures the bytes per second with which one router sends its
// service totals to every other router, at the mean request rate of a router.
func TotalsTraffic() Slope {
	s := Slope{Role: "router", Name: "service totals to every router", SizeName: "router", Unit: "B/s", DesignSize: designRouters, Budget: controlBytesPerSecond}
	interval := fairshare.TotalsExchangeInterval.Seconds()
	changed := int(requestsPerSecondPerRouter * interval)
	totals := &apiv1.Totals{Origin: peer.RouterToProto(router1)}
	for i := range changed {
		totals.Totals = append(totals.Totals, &apiv1.WorkspaceTotal{Workspace: workspaceName(i), Units: 1 << 32})
	}
	bytesPerSecond := float64(messageBytes(&apiv1.Envelope{Item: &apiv1.Envelope_Totals{Totals: totals}})) / interval
	for _, n := range []int{5, 50, 150, 380} {
		s.Points = append(s.Points, Point{float64(n), bytesPerSecond * float64(n-1)})
	}
	return s
}

// AnnouncementTraffic measures the bytes per second with which a router forwards
// the announcements of servers to the owners of their pools.
func AnnouncementTraffic() Slope {
	s := Slope{Role: "router", Name: "announcements passed to owners", SizeName: "server", Unit: "B/s", DesignSize: designServersPerRouter, Budget: controlBytesPerSecond}
	a := newAnnouncement(1, 1<<20)
	a.Models = []string{"model-01", "model-01-support", "model-01-drafts"}
	a.Abilities = backend.Abilities{Resume: true, Cancel: true, RepeatsID: true, CacheEvents: true}
	text, err := json.Marshal(a)
	must(err)
	announcementBytes := messageBytes(&apiv1.Envelope{Item: &apiv1.Envelope_Announcement{Announcement: &apiv1.Announcement{Json: text}}})
	for _, n := range []float64{1, 2, 4, 8} {
		s.Points = append(s.Points, Point{n, n * announcementsPerSecond * float64(announcementBytes)})
	}
	return s
}

// SummaryTraffic measures the bytes per second that the owners on one router send
// to the owners in other data centres while all of them have a backlog.
func SummaryTraffic() Slope {
	s := Slope{Role: "owner", Name: "summaries at full backlog", SizeName: "data centre", Unit: "B/s", DesignSize: designDataCentres, Budget: controlBytesPerSecond}
	summary := pool.Summary{From: shard1, Epoch: 1 << 40, Waiting: 500, Floor: 1 << 30}
	for i := range 4 {
		summary.Lowest = append(summary.Lowest, pool.WaitingValue{Value: 1<<30 + int64(i), Count: 100})
	}
	summaryBytes := messageBytes(&apiv1.Envelope{Item: &apiv1.Envelope_Summary{Summary: peer.SummaryToProto(summary)}})
	for _, n := range []float64{3, 4, 8, 16} {
		s.Points = append(s.Points, Point{n, (n - 1) * designShardsPerRouter * summariesPerSecond * float64(summaryBytes)})
	}
	return s
}

// SessionTraffic measures the bytes per second that the leader receives as
// session renewals of routers.
func SessionTraffic() Slope {
	s := Slope{Role: "leader", Name: "sessions of routers, received", SizeName: "router", Unit: "B/s", DesignSize: designRouters}
	renewalBytes := grpcMessageOverheadBytes + proto.Size(&apiv1.RenewSessionRequest{Router: fmt.Sprintf("router-%03d", 1), Incarnation: 1 << 60})
	for _, n := range []float64{5, 50, 150, 380} {
		s.Points = append(s.Points, Point{n, n * sessionRenewalsPerSecond * float64(renewalBytes)})
	}
	return s
}
