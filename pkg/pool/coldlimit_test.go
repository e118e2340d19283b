package pool

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"jackdawtrack.example/jackdawtrack/pkg/fairshare"
)

// isolatedOwner is one of two owners of the same cold server that cannot reach
// each other.
type isolatedOwner struct {
	o             *Owner
	router        RouterID
	open          []Grant
	lastRequestID uint64
}

func newIsolatedOwner(name string, rank int, epoch uint64) *isolatedOwner {
	w := &isolatedOwner{router: RouterID{Name: name, DataCentre: "a", Incarnation: 1}}
	w.o = NewOwner(shardA, epoch, DefaultConfig(), fairshare.NewLedger(fairshare.Origin{Name: name}), start)
	w.o.SetKnownRouters(start, 2, 1, rank)
	return w
}

func (w *isolatedOwner) ask(now time.Time) {
	w.lastRequestID++
	a := ask(w.lastRequestID, "w", draft, now)
	a.Router = w.router
	w.o.Ask(now, a)
	w.open = append(w.open, w.o.TakeOutput().Grants...)
}

func (w *isolatedOwner) settle(now time.Time) {
	if len(w.open) == 0 {
		return
	}
	g := w.open[0]
	w.open = w.open[1:]
	w.o.Settle(now, Settle{GrantID: g.GrantID, Epoch: g.Epoch, Outcome: OutcomeOK, CostUnits: 100, TokenInterval: 10 * time.Millisecond})
	w.open = append(w.open, w.o.TakeOutput().Grants...)
}

// fullLimit returns the limit of the server over all routers, and whether the
// server is cold.
func (w *isolatedOwner) fullLimit() (limit int, cold bool) {
	for _, s := range w.o.Snapshot().Servers {
		return s.Full, s.Cold
	}
	return 0, true
}

// Guards against two partitioned routers that together exceed the limit of a
// cold server, also while their load reports are late.
func TestTwoOwnersShareColdLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		owners := []*isolatedOwner{newIsolatedOwner("r0", 0, 1), newIsolatedOwner("r1", 1, 2)}
		now := start
		lastReported := 0 // running requests at the last load report
		running := func() int { return len(owners[0].open) + len(owners[1].open) }
		drawOwner := func(t *rapid.T) *isolatedOwner { return owners[rapid.IntRange(0, 1).Draw(t, "owner")] }
		t.Repeat(map[string]func(*rapid.T){
			"ask":    func(t *rapid.T) { drawOwner(t).ask(now) },
			"settle": func(t *rapid.T) { drawOwner(t).settle(now) },
			"second": func(t *rapid.T) {
				now = now.Add(time.Second)
				for _, w := range owners {
					a := announce("s", 10)
					a.Load.Running, a.Load.AgeMS = lastReported, 500
					w.o.HandleAnnouncement(now, a)
					w.o.Tick(now)
					w.open = append(w.open, w.o.TakeOutput().Grants...)
				}
				lastReported = running()
			},
			"": func(t *rapid.T) {
				a, coldA := owners[0].fullLimit()
				b, coldB := owners[1].fullLimit()
				if coldA && coldB && running() > max(a, b) {
					t.Fatalf("%d requests run on a cold server with limits %d and %d", running(), a, b)
				}
			},
		})
	})
}

// Guards against overload of a cold server after the loss of a router: its
// slots must stay in use while its requests may still run.
func TestLostRouterKeepsColdSlots(t *testing.T) {
	o, now := newGrantingOwner("s1")
	o.Ask(now, ask(1, "w", draft, now))
	o.Ask(now, ask(2, "w", draft, now))
	other := ask(3, "w", draft, now)
	other.Router.Name = "r2"
	o.Ask(now, other)
	o.TakeOutput()
	o.RemoveRouter(now, router)
	if n := len(o.TakeOutput().Grants); n != 0 {
		t.Fatalf("%d grants while two requests of the lost router may run, want 0", n)
	}
	now = now.Add(time.Second)
	o.HandleAnnouncement(now, announce("s1", 2)) // the load report shows no requests
	if n := len(o.TakeOutput().Grants); n != 1 {
		t.Fatalf("%d grants after the load report showed free slots, want 1", n)
	}
}
