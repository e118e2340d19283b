package pool

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"jackdawtrack.example/jackdawtrack/pkg/fairshare"
)

// twin is one of two owners of one cold server that cannot reach each other.
type twin struct {
	o      *Owner
	router RouterID
	open   []Grant
	next   uint64
}

func newTwin(name string, rank int, epoch uint64) *twin {
	w := &twin{router: RouterID{Name: name, DataCentre: "a", Incarnation: 1}}
	w.o = NewOwner(shardA, epoch, DefaultConfig(), fairshare.NewLedger(fairshare.Origin{Name: name}), start)
	w.o.SetKnownRouters(start, 2, 1, rank)
	return w
}

func (w *twin) ask(now time.Time) {
	w.next++
	a := ask(w.next, "w", draft, now)
	a.Router = w.router
	w.o.Ask(now, a)
	w.open = append(w.open, w.o.Take().Grants...)
}

func (w *twin) settle(now time.Time) {
	if len(w.open) == 0 {
		return
	}
	g := w.open[0]
	w.open = w.open[1:]
	w.o.Settle(now, Settle{GrantID: g.GrantID, Epoch: g.Epoch, Outcome: OutcomeOK, CostUnits: 100, TokenInterval: 10 * time.Millisecond})
	w.open = append(w.open, w.o.Take().Grants...)
}

func (w *twin) full() (limit int, cold bool) {
	for _, s := range w.o.Snapshot().Servers {
		return s.Full, s.Cold
	}
	return 0, true
}

// Guards against two routers that cannot see each other and together give a
// cold server more than its limit, also while their load reports are late.
func TestTwoOwnersShareColdLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		twins := []*twin{newTwin("r0", 0, 1), newTwin("r1", 1, 2)}
		now := start
		late := 0 // running requests at the last report
		running := func() int { return len(twins[0].open) + len(twins[1].open) }
		step := func(t *rapid.T) *twin { return twins[rapid.IntRange(0, 1).Draw(t, "owner")] }
		t.Repeat(map[string]func(*rapid.T){
			"ask":    func(t *rapid.T) { step(t).ask(now) },
			"settle": func(t *rapid.T) { step(t).settle(now) },
			"second": func(t *rapid.T) {
				now = now.Add(time.Second)
				for _, w := range twins {
					a := announce("s", 10)
					a.Load.Running, a.Load.AgeMS = late, 500
					w.o.Announce(now, a)
					w.o.Tick(now)
					w.open = append(w.open, w.o.Take().Grants...)
				}
				late = running()
			},
			"": func(t *rapid.T) {
				a, coldA := twins[0].full()
				b, coldB := twins[1].full()
				if coldA && coldB && running() > max(a, b) {
					t.Fatalf("%d requests run on a cold server with limits %d and %d", running(), a, b)
				}
			},
		})
	})
}

// Guards against a cold server that the owner of a lost router fills again
// while the requests of that router may still run.
func TestLostRouterKeepsColdSlots(t *testing.T) {
	o, now := open("s1")
	o.Ask(now, ask(1, "w", draft, now))
	o.Ask(now, ask(2, "w", draft, now))
	other := ask(3, "w", draft, now)
	other.Router.Name = "r2"
	o.Ask(now, other)
	o.Take()
	o.RouterGone(now, router)
	if n := len(o.Take().Grants); n != 0 {
		t.Fatalf("%d grants while two requests may run", n)
	}
	now = now.Add(time.Second)
	o.Announce(now, announce("s1", 2)) // reports nothing running
	if n := len(o.Take().Grants); n != 1 {
		t.Fatalf("%d grants after the report showed free slots", n)
	}
}
