package pool

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/fairshare"
)

// rateSim is a simulation in virtual time of owners, of servers that state limits in their
// answers, and of workspaces that always wait.
type rateSim struct {
	t       *testing.T
	rng     *rand.Rand
	now     time.Time
	owners  []*Owner
	silent  []bool // by owner: it gets no asks and is not ticked
	events  []simEvent
	servers map[string]*simServer
	slot    time.Duration // time of a request at its server
	unused  float64       // part of the grants whose request is not sent
	lastID  uint64
	served  map[string]int // requests that reached a server, by workspace
	refused int
}

type simEvent struct {
	at time.Time
	do func()
}

type simServer struct {
	name     string
	boot     uint64
	total    int64
	running  int
	owners   []int    // which owners get its announcements
	limit    *float64 // stated in answers, nil for none
	arrivals []time.Time
}

func newRateSim(t *testing.T, seed uint64, owners ...*Owner) *rateSim {
	t.Helper()
	t.Logf("seed %d", seed)
	return &rateSim{t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: start, owners: owners, silent: make([]bool, len(owners)),
		servers: map[string]*simServer{}, slot: 300 * time.Millisecond, served: map[string]int{}}
}

// simOwner returns an owner with warm servers of 64 slots.
func simOwner(t *testing.T, id ShardID, epoch uint64, servers ...string) *Owner {
	t.Helper()
	o := NewOwner(id, epoch, DefaultConfig(), fairshare.NewLedger(fairshare.Origin{Name: id.DataCentre}), start)
	h := Handover{Shard: id, Epoch: epoch - 1}
	for _, name := range servers {
		text, err := json.Marshal(simAnnouncement(name, 1))
		assert.NilError(t, err)
		h.Servers = append(h.Servers, ServerState{Announcement: text, Limit: 64})
	}
	o.AcceptHandover(start, h)
	o.TakeOutput()
	return o
}

func simAnnouncement(name string, boot uint64) backend.Announcement {
	a := announce(name, 0)
	a.Slots, a.BootID = 64, boot
	return a
}

func (s *rateSim) addServer(name string, owners ...int) *simServer {
	v := &simServer{name: name, boot: 1, owners: owners}
	s.servers[name] = v
	return v
}

func (s *rateSim) after(d time.Duration, do func()) {
	s.events = append(s.events, simEvent{s.now.Add(d), do})
}

// run lets time pass in steps of 10 ms. Each workspace has the given number of asks waiting
// at each owner that is not silent.
func (s *rateSim) run(d time.Duration, asks map[string]int, c func() Ask) {
	end := s.now.Add(d)
	for s.now.Before(end) {
		s.now = s.now.Add(10 * time.Millisecond)
		s.runEvents()
		for i, o := range s.owners {
			if s.silent[i] {
				continue
			}
			if s.now.Sub(start)%time.Second == 0 {
				s.announce(i)
			}
			for workspace, n := range asks {
				for tries := 0; s.waiting(o, workspace) < n && tries < 2*n; tries++ {
					s.lastID++
					a := c()
					a.Router.Name = fmt.Sprintf("r%d", s.lastID%3)
					a.RequestID, a.Workspace, a.Arrived = s.lastID, workspace, s.now
					o.Ask(s.now, a)
					s.deliver(i)
				}
			}
			o.Tick(s.now)
			s.deliver(i)
		}
	}
}

func (s *rateSim) waiting(o *Owner, workspace string) int { return o.queue.Flow(workspace).Waiting() }

func (s *rateSim) announce(i int) {
	for _, v := range s.servers {
		for _, owner := range v.owners {
			if owner == i {
				a := simAnnouncement(v.name, v.boot)
				a.Load = backend.Load{Running: v.running, TotalRequests: v.total}
				s.owners[i].HandleAnnouncement(s.now, a)
				s.deliver(i)
			}
		}
	}
}

func (s *rateSim) runEvents() {
	for {
		first := -1
		for i, e := range s.events {
			if !e.at.After(s.now) && (first < 0 || e.at.Before(s.events[first].at)) {
				first = i
			}
		}
		if first < 0 {
			return
		}
		e := s.events[first]
		s.events = append(s.events[:first], s.events[first+1:]...)
		e.do()
	}
}

// deliver passes the outputs of an owner on.
func (s *rateSim) deliver(i int) {
	out := s.owners[i].TakeOutput()
	s.refused += len(out.Refusals)
	for _, g := range out.Grants {
		s.send(i, g)
	}
	for _, l := range out.Loans {
		s.toOwnerOf(l.To, func(o *Owner) { o.HandleLoan(s.now, l) })
	}
	for _, l := range out.LoanReturns {
		s.toOwnerOf(l.To, func(o *Owner) { o.HandleLoanReturn(s.now, l) })
	}
	for _, f := range out.ForwardedLimits {
		s.toOwnerOf(f.To, func(o *Owner) { o.HandleLimitStatement(s.now, f.Statement) })
	}
	for _, sum := range out.Summaries {
		for _, o := range s.owners {
			if o.id != sum.From {
				s.toOwnerOf(o.id, func(o *Owner) { o.HandleSummary(s.now, sum) })
			}
		}
	}
}

func (s *rateSim) toOwnerOf(id ShardID, do func(*Owner)) {
	s.after(time.Millisecond, func() {
		for i, o := range s.owners {
			if o.id == id && !s.silent[i] {
				do(o)
				s.deliver(i)
			}
		}
	})
}

// send sends the request of a grant to its server, which answers with the limit that it
// states then.
func (s *rateSim) send(owner int, g Grant) {
	workspace := ""
	if held := s.owners[owner].grants[grantKey{g.Epoch, g.GrantID}]; held != nil {
		workspace = held.flow.Name
	}
	settle := func(outcome Outcome) {
		for i, o := range s.owners {
			if i >= owner && !s.silent[i] && o.id == s.owners[owner].id {
				o.Settle(s.now, Settle{GrantID: g.GrantID, Epoch: g.Epoch, Outcome: outcome, CostUnits: 1000, FirstToken: 50 * time.Millisecond})
				s.deliver(i)
			}
		}
	}
	if s.rng.Float64() < s.unused {
		s.after(time.Millisecond, func() { settle(OutcomeUnused) })
		return
	}
	s.after(time.Duration(s.rng.IntN(20))*time.Millisecond, func() {
		v, sentAt := s.servers[g.Server], s.now
		v.arrivals = append(v.arrivals, s.now)
		v.total++
		v.running++
		s.served[workspace]++
		s.after(time.Duration(10+s.rng.IntN(40))*time.Millisecond, func() {
			st := LimitStatement{Server: v.name, BootID: v.boot, GrantID: g.GrantID, Epoch: g.Epoch, SentAge: s.now.Sub(sentAt)}
			if v.limit != nil {
				st.Limited, st.PerSecond = true, *v.limit
			}
			for i, o := range s.owners {
				if !s.silent[i] && (i == owner || o.id == s.owners[owner].id) {
					o.HandleLimitStatement(s.now, st)
					s.deliver(i)
				}
			}
		})
		s.after(s.slot, func() { v.running--; settle(OutcomeOK) })
	})
}

// arrivalsBetween counts the requests that a server got in [from, to).
func (v *simServer) arrivalsBetween(from, to time.Time) int {
	n := 0
	for _, at := range v.arrivals {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// checkWindows fails if a server got in some 4 s between from and to more than one and a half
// times what the limit allows, and 5 requests.
func (v *simServer) checkWindows(t *testing.T, from, to time.Time, limit float64) {
	t.Helper()
	const window = 4 * time.Second
	for _, at := range v.arrivals {
		if at.Before(from) || at.After(to) {
			continue
		}
		end := at.Add(window)
		if end.After(to) {
			end = to
		}
		if n := v.arrivalsBetween(at, end); float64(n) > 1.5*limit*window.Seconds()+5 {
			t.Fatalf("server %s got %d requests in the 4 s from %s on, limit %g a second", v.name, n, at.Sub(start), limit)
		}
	}
}
