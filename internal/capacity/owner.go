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
	draftWait       = time.Hour
	slotsPerServer  = 64
	designShards    = designDataCentres * designModels
	backloggedShard = designBacklogged * designDataCentres / designShards // a workspace waits in every data centre
	requestsPerNode = float64(designRequests) / designRouters
	decisionRounds  = 50_000
	nanosPerPercent = 1e7 // processor nanoseconds a second in one percent of a core
)

var (
	draft   = class.Class{Name: "draft", FirstToken: 30 * time.Second, MayWait: true, MaxWait: draftWait}.WithDefaults()
	router1 = pool.RouterID{Name: "router-001", DataCentre: "dc1", Incarnation: 1}
	shard1  = pool.ShardID{DataCentre: "dc1", Pool: "model-01"}
)

func processorTime() time.Duration {
	var u syscall.Rusage
	// Getrusage of the own process fails for no argument used here.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func announcement(i int, total int64) backend.Announcement {
	return backend.Announcement{
		Name: fmt.Sprintf("server-%03d", i), DataCentre: "dc1", Address: "127.0.0.1:9000", Pool: "model-01",
		Kind: backend.Engine, BootID: 1, Slots: slotsPerServer, ColdSlots: slotsPerServer, State: backend.Ready,
		Load: backend.Load{Total: total},
	}
}

func newOwner(servers int) (*pool.Owner, time.Time) {
	ledger := fairshare.NewLedger(fairshare.Origin{Name: "router-001", DataCentre: "dc1", Incarnation: 1})
	cfg := pool.DefaultConfig()
	cfg.MaxWaitingPerWorkspace = 1 << 20
	cfg.MaxWaitingTotal = 1 << 20
	o := pool.NewOwner(shard1, 1, cfg, ledger, start)
	now := start.Add(pool.DefaultRecoveryWait)
	for i := range servers {
		o.HandleAnnouncement(now, announcement(i, 0))
	}
	o.Tick(now)
	o.TakeOutput()
	return o, now
}

func newAsk(id uint64, workspace int, now time.Time) pool.Ask {
	return pool.Ask{Router: router1, RequestID: id, Workspace: workspaceName(workspace), Class: draft, Arrived: now, PrefixHash: uint64(workspace)}
}

// backlog queues n asks of n workspaces at an owner without servers.
func backlog(n int) *pool.Owner {
	o, now := newOwner(0)
	for i := range n {
		o.Ask(now, newAsk(uint64(i+1), i, now))
	}
	return o
}

// QueueMemory measures the heap of waiting asks, each of its own workspace.
func QueueMemory() Slope {
	s := Slope{Role: "owner", Name: "queue memory", XName: "waiting ask", Unit: "B", At: backloggedShard * 8, Budget: controlMemory}
	for _, n := range []int{1_000, 4_000, 16_000, 64_000} {
		s.Points = append(s.Points, Point{float64(n), heapOf(func() any { return backlog(n) })})
	}
	return s
}

// ServerMemory measures the heap of the server table of a pool.
func ServerMemory() Slope {
	s := Slope{Role: "owner", Name: "server table memory", XName: "server", Unit: "B", At: designServers, Budget: controlMemory}
	for _, n := range []int{50, 100, 300, 670} {
		bytes := heapOf(func() any { o, _ := newOwner(n); return o })
		s.Points = append(s.Points, Point{float64(n), bytes})
	}
	return s
}

// loop runs requests at a full pool, one ask and one settle at a time.
type loop struct {
	owner *pool.Owner
	now   time.Time
	id    uint64
	open  []pool.Grant // from next on
	next  int
	out   pool.Output
}

func newLoop(backlogged, servers int) *loop {
	l := &loop{}
	l.owner, l.now = newOwner(servers)
	const asksPerWorkspace = 2
	for range asksPerWorkspace {
		for i := range backlogged {
			l.ask(i)
		}
	}
	return l
}

func (l *loop) ask(workspace int) {
	l.id++
	l.owner.Ask(l.now, newAsk(l.id, workspace, l.now))
	l.out.Grants = l.out.Grants[:0]
	l.owner.TakeOutputInto(&l.out)
	l.open = append(l.open, l.out.Grants...)
}

func (l *loop) settle() {
	g := l.open[l.next]
	l.next++
	// The servers announce themselves once; the loop ends before they count as
	// silent.
	l.now = l.now.Add(time.Microsecond)
	l.owner.Settle(l.now, pool.Settle{
		GrantID: g.GrantID, Epoch: g.Epoch, Outcome: pool.OutcomeOK, CostUnits: 900,
		FirstToken: 50 * time.Millisecond, TokenInterval: 20 * time.Millisecond,
	})
}

// cycle returns the processor nanoseconds of the decisions on one request.
func cycle(backlogged, servers, rounds int) float64 {
	l := newLoop(backlogged, servers)
	l.open = slices.Grow(l.open, 2*rounds)
	before := processorTime()
	for r := range rounds {
		l.settle()
		l.ask(r % backlogged)
	}
	return float64(processorTime()-before) / float64(rounds)
}

// DecisionTime measures the processor time of the decisions on one request
// against the number of backlogged workspaces, as percent of a core at the
// request rate of one hot shard.
func DecisionTime() Slope {
	s := Slope{Role: "owner", Name: "decisions at 20 requests/s", XName: "backlogged workspace", Unit: "% of a core", At: designBacklogged, Budget: controlCorePercent}
	for _, n := range []int{16, 400, 1_600, 4_000} {
		s.Points = append(s.Points, Point{float64(n), cycle(n, 8, decisionRounds) * hotShardRequests / nanosPerPercent})
	}
	return s
}

// ServerChoiceTime measures the same against the number of servers of the
// pool.
func ServerChoiceTime() Slope {
	s := Slope{Role: "owner", Name: "server choice at 20 requests/s", XName: "server", Unit: "% of a core", At: designServers, Budget: controlCorePercent}
	for _, n := range []int{8, 84, 300, 670} {
		s.Points = append(s.Points, Point{float64(n), cycle(400, n, decisionRounds) * hotShardRequests / nanosPerPercent})
	}
	return s
}

// LedgerMemory measures the heap of a ledger against the number of origins,
// each of which has served the workspaces of one shard.
func LedgerMemory() Slope {
	s := Slope{Role: "owner", Name: "ledger memory", XName: "origin", Unit: "B", At: designRouters, Budget: controlMemory}
	for _, n := range []int{5, 50, 150, 380} {
		s.Points = append(s.Points, Point{float64(n), heapOf(func() any { return mergedLedger(n) })})
	}
	return s
}

// workspacesPerOrigin is the number of workspaces that one router dispatches
// for: all workspaces spread over the routers, each served by ten of them.
const workspacesPerOrigin = designWorkspaces * 10 / designRouters

func mergedLedger(origins int) *fairshare.Ledger {
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
