package capacity

import (
	"fmt"
	"slices"
	"syscall"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/class"
	"jackdawtrack.example/jackdawtrack/pkg/fairshare"
	"jackdawtrack.example/jackdawtrack/pkg/pool"
)

const (
	draftMaxWait               = time.Hour
	slotsPerServer             = 64
	designShards               = designDataCentres * designModels
	backloggedPerShard         = designBackloggedWorkspaces * designDataCentres / designShards // each workspace waits in every data centre
	requestsPerSecondPerRouter = float64(designRequestsPerSecond) / designRouters
	requestRounds              = 50_000
	nanosPerCorePercent        = 1e7 // processor time per second
)

var (
	draftClass = class.Class{Name: "draft", FirstToken: 30 * time.Second, MayWait: true, MaxWait: draftMaxWait}.WithDefaults()
	router1    = pool.RouterID{Name: "router-001", DataCentre: "dc1", Incarnation: 1}
	shard1     = pool.ShardID{DataCentre: "dc1", Pool: "model-01"}
)

func processorTime() time.Duration {
	var u syscall.Rusage
	// Getrusage does not fail for RUSAGE_SELF.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func newAnnouncement(i int, total int64) backend.Announcement {
	return backend.Announcement{
		Name: fmt.Sprintf("server-%03d", i), DataCentre: "dc1", Address: "127.0.0.1:9000", Pool: "model-01",
		Kind: backend.Engine, BootID: 1, Slots: slotsPerServer, ColdSlots: slotsPerServer, State: backend.Ready,
		Load: backend.Load{TotalRequests: total},
	}
}

func newOwner(servers int) (*pool.Owner, time.Time) {
	ledger := fairshare.NewLedger(fairshare.Origin{Name: "router-001", DataCentre: "dc1", Incarnation: 1})
	cfg := pool.DefaultConfig()
	cfg.MaxWaitingPerWorkspace = 1 << 20
	cfg.MaxWaitingTotal = 1 << 20
	o := pool.NewOwner(shard1, 1, cfg, ledger, startTime)
	now := startTime.Add(pool.DefaultRecoveryWait)
	for i := range servers {
		o.HandleAnnouncement(now, newAnnouncement(i, 0))
	}
	o.Tick(now)
	o.TakeOutput()
	return o, now
}

func newAsk(id uint64, workspace int, now time.Time) pool.Ask {
	return pool.Ask{Router: router1, RequestID: id, Workspace: workspaceName(workspace), Class: draftClass, Arrived: now, PrefixHash: uint64(workspace)}
}

// newBackloggedOwner returns an owner without servers and with n waiting asks of
// n workspaces.
func newBackloggedOwner(n int) *pool.Owner {
	o, now := newOwner(0)
	for i := range n {
		o.Ask(now, newAsk(uint64(i+1), i, now))
	}
	return o
}

// QueueMemory measures the heap of waiting asks, each of a different workspace.
func QueueMemory() Slope {
	s := Slope{Role: "owner", Name: "queue memory", SizeName: "waiting ask", Unit: "B", DesignSize: backloggedPerShard * 8, Budget: controlMemoryBytes}
	for _, n := range []int{1_000, 4_000, 16_000, 64_000} {
		s.Points = append(s.Points, Point{float64(n), retainedHeapBytes(func() any { return newBackloggedOwner(n) })})
	}
	return s
}

// ServerMemory measures the heap of a pool's server table.
func ServerMemory() Slope {
	s := Slope{Role: "owner", Name: "server table memory", SizeName: "server", Unit: "B", DesignSize: designServers, Budget: controlMemoryBytes}
	for _, n := range []int{50, 100, 300, 670} {
		bytes := retainedHeapBytes(func() any { o, _ := newOwner(n); return o })
		s.Points = append(s.Points, Point{float64(n), bytes})
	}
	return s
}

// requestLoop keeps a pool at its limit: it settles the oldest open grant and
// sends a new ask, in turn.
type requestLoop struct {
	owner         *pool.Owner
	now           time.Time
	lastRequestID uint64
	openGrants    []pool.Grant // those before nextGrant are settled
	nextGrant     int
	output        pool.Output
}

func newRequestLoop(backlogged, servers int) *requestLoop {
	l := &requestLoop{}
	l.owner, l.now = newOwner(servers)
	const asksPerWorkspace = 2
	for range asksPerWorkspace {
		for i := range backlogged {
			l.sendAsk(i)
		}
	}
	return l
}

func (l *requestLoop) sendAsk(workspace int) {
	l.lastRequestID++
	l.owner.Ask(l.now, newAsk(l.lastRequestID, workspace, l.now))
	l.output.Grants = l.output.Grants[:0]
	l.owner.TakeOutputInto(&l.output)
	l.openGrants = append(l.openGrants, l.output.Grants...)
}

func (l *requestLoop) settleNext() {
	g := l.openGrants[l.nextGrant]
	l.nextGrant++
	// The servers announce themselves only once, so the simulated time must stay
	// below backend.AnnouncementTimeout.
	l.now = l.now.Add(time.Microsecond)
	l.owner.Settle(l.now, pool.Settle{
		GrantID: g.GrantID, Epoch: g.Epoch, Outcome: pool.OutcomeOK, CostUnits: 900,
		FirstToken: 50 * time.Millisecond, TokenInterval: 20 * time.Millisecond,
	})
}

// nanosPerRequest returns the processor time in nanoseconds of an owner's
// decisions on one request, as the mean of rounds requests.
func nanosPerRequest(backlogged, servers, rounds int) float64 {
	l := newRequestLoop(backlogged, servers)
	l.openGrants = slices.Grow(l.openGrants, 2*rounds)
	before := processorTime()
	for r := range rounds {
		l.settleNext()
		l.sendAsk(r % backlogged)
	}
	return float64(processorTime()-before) / float64(rounds)
}

// DecisionTime measures the processor time of an owner's decisions by the number
// of backlogged workspaces, in percent of a core at the request rate of one hot
// shard.
func DecisionTime() Slope {
	s := Slope{Role: "owner", Name: "decisions at 20 requests/s", SizeName: "backlogged workspace", Unit: "% of a core", DesignSize: designBackloggedWorkspaces, Budget: controlCorePercent}
	for _, n := range []int{16, 400, 1_600, 4_000} {
		s.Points = append(s.Points, Point{float64(n), nanosPerRequest(n, 8, requestRounds) * hotShardRequestsPerSecond / nanosPerCorePercent})
	}
	return s
}

// ServerChoiceTime measures the processor time of an owner's decisions by the
// number of servers of the pool, in percent of a core at the request rate of one
// hot shard.
func ServerChoiceTime() Slope {
	s := Slope{Role: "owner", Name: "server choice at 20 requests/s", SizeName: "server", Unit: "% of a core", DesignSize: designServers, Budget: controlCorePercent}
	for _, n := range []int{8, 84, 300, 670} {
		s.Points = append(s.Points, Point{float64(n), nanosPerRequest(400, n, requestRounds) * hotShardRequestsPerSecond / nanosPerCorePercent})
	}
	return s
}

// LedgerMemory measures the heap of a ledger by the number of origins, each with
// the totals of workspacesPerOrigin workspaces.
func LedgerMemory() Slope {
	s := Slope{Role: "owner", Name: "ledger memory", SizeName: "origin", Unit: "B", DesignSize: designRouters, Budget: controlMemoryBytes}
	for _, n := range []int{5, 50, 150, 380} {
		s.Points = append(s.Points, Point{float64(n), retainedHeapBytes(func() any { return newMergedLedger(n) })})
	}
	return s
}

// workspacesPerOrigin is the number of workspaces that one router dispatches for
// if the workspaces are spread over the routers and ten routers serve each.
const workspacesPerOrigin = designWorkspaces * 10 / designRouters

func newMergedLedger(origins int) *fairshare.Ledger {
	l := fairshare.NewLedger(fairshare.Origin{Name: "self"})
	for o := range origins {
		totals := make([]fairshare.ServiceTotal, workspacesPerOrigin)
		for i := range totals {
			totals[i] = fairshare.ServiceTotal{Workspace: workspaceName((o*workspacesPerOrigin/10 + i) % designWorkspaces), Units: 1000}
		}
		l.Merge(fairshare.Origin{Name: fmt.Sprintf("router-%03d", o), Incarnation: 1}, totals, true)
	}
	return l
}
