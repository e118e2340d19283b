package router

import (
	"encoding/json"
	"math"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/pool"
)

func testAnnouncement(t testing.TB, change func(a *backend.Announcement)) *apiv1.Envelope {
	a := backend.Announcement{Name: "s1", DataCentre: "north", Address: "10.0.0.1:80", Pool: "p", Kind: backend.Engine, BootID: 1, Slots: 8, State: backend.Ready}
	change(&a)
	data, err := json.Marshal(a)
	assert.NilError(t, err)
	return &apiv1.Envelope{Item: &apiv1.Envelope_Announcement{Announcement: &apiv1.Announcement{Json: data}}}
}

// Guards against an odd announcement in a batch of another router that replaces a
// server or stops the messages after it.
func TestOddAnnouncementInBatchIsIgnoredAlone(t *testing.T) {
	other := pool.RouterID{Name: "rt-2", DataCentre: "north", Incarnation: 9}
	r, _ := newUnstartedRouter(other)
	sound := testAnnouncement(t, func(*backend.Announcement) {})
	odd := &apiv1.Envelope{Item: &apiv1.Envelope_Announcement{Announcement: &apiv1.Announcement{Json: []byte("[[[")}}}
	huge := testAnnouncement(t, func(a *backend.Announcement) { a.Load.Running, a.Load.AgeMS = math.MaxInt64, math.MaxInt64 })
	port := testAnnouncement(t, func(a *backend.Announcement) { a.Name, a.Address = "s2", "10.0.0.2:0" })
	stranger := testAnnouncement(t, func(a *backend.Announcement) { a.Address = "10.0.0.3:80" })
	r.HandleMessages(other, []*apiv1.Envelope{sound, odd, huge, port, stranger, testAnnouncement(t, func(a *backend.Announcement) { a.Name, a.Address = "s3", "10.0.0.4:80" })})
	all := r.servers.all()
	assert.Equal(t, len(all), 2)
	assert.Equal(t, all[0].announcement.Address, "10.0.0.1:80")
	assert.Equal(t, all[0].announcement.Load.Running, 0)
	assert.Equal(t, all[1].announcement.Name, "s3")
}

// Guards against a total of another router that overflows: the workspace then seems
// to have had less service than none and is served before all others.
func TestOddTotalIsIgnoredAlone(t *testing.T) {
	other := pool.RouterID{Name: "rt-2", DataCentre: "south", Incarnation: 9}
	r, _ := newUnstartedRouter(other)
	r.HandleMessages(other, []*apiv1.Envelope{{Item: &apiv1.Envelope_Totals{Totals: &apiv1.Totals{
		Origin: &apiv1.RouterID{Name: other.Name, DataCentre: other.DataCentre, Incarnation: other.Incarnation},
		Totals: []*apiv1.WorkspaceTotal{{Workspace: "a", Units: 5}, {Workspace: "a", Units: math.MaxUint64}, {Workspace: "b", Units: 7}},
	}}}})
	assert.Equal(t, r.ledger.FleetTotal("a"), int64(5))
	assert.Equal(t, r.ledger.FleetTotal("b"), int64(7))
}

// Guards against a batch of another router that causes a panic or an endless loop, or
// after which an announcement is not taken.
func FuzzHandleMessages(f *testing.F) {
	shard := &apiv1.ShardID{DataCentre: "north", Pool: "p"}
	for _, e := range []*apiv1.Envelope{
		testAnnouncement(f, func(*backend.Announcement) {}),
		{Item: &apiv1.Envelope_Ask{Ask: &apiv1.Ask{Shard: shard, Workspace: "w", AgeMs: math.MaxInt64, HintUnits: math.MaxUint64, PromptUnits: math.MaxUint32}}},
		{Item: &apiv1.Envelope_Settle{Settle: &apiv1.Settle{Shard: shard, GrantId: 1, Outcome: 99, CostUnits: math.MaxUint64, FirstTokenUs: math.MaxUint32}}},
		{Item: &apiv1.Envelope_Loan{Loan: &apiv1.Loan{From: &apiv1.ShardID{DataCentre: "south", Pool: "p"}, To: shard, Slots: math.MaxUint32, TtlMs: math.MaxUint32}}},
		{Item: &apiv1.Envelope_LoanReturn{LoanReturn: &apiv1.LoanReturn{To: shard, LoanId: 1, Epoch: 1, Unused: math.MaxUint32}}},
		{Item: &apiv1.Envelope_Summary{Summary: &apiv1.Summary{Shard: &apiv1.ShardID{DataCentre: "south", Pool: "p"}, FreeSlots: math.MaxUint32, Waiting: math.MaxUint32, Floor: math.MinInt64, Epoch: math.MaxUint64, Lowest: []*apiv1.WaitingValue{{Value: math.MinInt64}}}}},
		{Item: &apiv1.Envelope_HeldGrants{HeldGrants: &apiv1.HeldGrants{Shard: shard, Grants: []*apiv1.HeldGrant{{GrantId: math.MaxUint64, Server: "s1", EstimateUnits: math.MaxUint64}}}}},
		{Item: &apiv1.Envelope_Handover{Handover: &apiv1.Handover{Shard: shard, Epoch: math.MaxUint64, Servers: []*apiv1.ServerState{{AnnouncementJson: []byte("[["), Limit: math.MaxUint32, Unsettled: math.MaxUint32}}}}},
		{Item: &apiv1.Envelope_Totals{Totals: &apiv1.Totals{}}},
		{Item: &apiv1.Envelope_Grant{Grant: &apiv1.Grant{}}},
		{Item: &apiv1.Envelope_CacheEvents{CacheEvents: &apiv1.CacheEvents{Shard: shard, Server: "s1"}}},
		{},
	} {
		data, err := proto.Marshal(&apiv1.Batch{Items: []*apiv1.Envelope{testAnnouncement(f, func(*backend.Announcement) {}), e}})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		batch := &apiv1.Batch{}
		if proto.Unmarshal(data, batch) != nil {
			return
		}
		other := pool.RouterID{Name: "rt-2", DataCentre: "north", Incarnation: 9}
		r, _ := newUnstartedRouter(other)
		r.SetPeers(peersFunc(func(_ string, e *apiv1.Envelope) {
			if _, err := proto.Marshal(e); err != nil {
				t.Fatal(err)
			}
		}))
		r.HandleMessages(other, batch.GetItems())
		r.reconcile(time.Now())
		r.HandleMessages(other, []*apiv1.Envelope{testAnnouncement(t, func(a *backend.Announcement) { a.Name, a.Address = "s-rest", "10.9.9.9:80" })})
		for _, s := range r.servers.all() {
			if s.announcement.Name == "s-rest" {
				return
			}
		}
		t.Fatal("the announcement after the batch was not taken")
	})
}
