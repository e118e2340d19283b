package pool

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/fairshare"
)

// world is a simple oracle around one owner: it knows the true state of the
// servers and every ask, and checks each output.
type world struct {
	t       *rapid.T
	o       *Owner
	ledger  *fairshare.Ledger
	epoch   uint64
	now     time.Time
	nextID  uint64
	pending map[requestKey]Ask
	open    map[requestKey]Grant
	boots   map[string]uint64
	state   map[string]backend.State
	heard   map[string]time.Time
	failed  map[string]bool
	total   map[string]int64
	gone    map[string]bool
	out     bool
}

var serverNames = []string{"s0", "s1", "s2"}

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, ledger: fairshare.NewLedger(fairshare.Origin{Name: "a"}), now: start, epoch: 1,
		pending: map[requestKey]Ask{}, open: map[requestKey]Grant{}, boots: map[string]uint64{},
		state: map[string]backend.State{}, heard: map[string]time.Time{}, failed: map[string]bool{},
		total: map[string]int64{}, gone: map[string]bool{},
	}
	w.o = NewOwner(shardA, w.epoch, DefaultConfig(), w.ledger, w.now)
	for _, s := range serverNames {
		w.boots[s], w.state[s] = 1, backend.Ready
		w.announce(s)
	}
	return w
}

func (w *world) announce(s string) {
	w.tell(s)
	w.check()
}

func (w *world) tell(s string) {
	running := 0
	for _, g := range w.open {
		if g.Server == s && g.BootID == w.boots[s] {
			running++
		}
	}
	a := announce(s, w.total[s])
	a.BootID, a.State, a.Load.Running = w.boots[s], w.state[s], running
	w.heard[s], w.failed[s] = w.now, false
	w.o.Announce(w.now, a)
}

// check takes the outputs: every ask gets one grant or refusal, and no grant
// names a server that may not receive work or has no free slot.
func (w *world) check() {
	out := w.o.Take()
	for _, g := range out.Grants {
		key := requestKey{g.Router, g.RequestID}
		if _, ok := w.pending[key]; !ok {
			w.t.Fatalf("grant for %v, which does not wait", key)
		}
		w.mayReceive(g)
		delete(w.pending, key)
		w.open[key] = g
		w.total[g.Server]++
	}
	for _, f := range out.Refusals {
		key := requestKey{f.Router, f.RequestID}
		if _, ok := w.pending[key]; !ok {
			w.t.Fatalf("refusal of %v, which does not wait", key)
		}
		if f.RetryAfter <= 0 {
			w.t.Fatalf("refusal without a time after which to come back")
		}
		delete(w.pending, key)
	}
	for _, s := range w.o.Snapshot().Servers {
		if n := w.running(s.Name); s.InFlight < n {
			w.t.Fatalf("%s counts %d in flight, %d run", s.Name, s.InFlight, n)
		}
	}
}

func (w *world) running(s string) int {
	n := 0
	for _, g := range w.open {
		if g.Server == s {
			n++
		}
	}
	return n
}

func (w *world) mayReceive(g Grant) {
	s := g.Server
	if w.out || w.gone[s] || w.failed[s] || w.state[s] != backend.Ready || w.now.Sub(w.heard[s]) >= backend.SilenceLimit {
		w.t.Fatalf("grant to %s: out %v departed %v failed %v state %s silent %s", s, w.out, w.gone[s], w.failed[s], w.state[s], w.now.Sub(w.heard[s]))
	}
	if w.now.Sub(w.o.started) < 0 || g.BootID != w.boots[s] {
		w.t.Fatalf("grant to %s for boot %d, present boot %d", s, g.BootID, w.boots[s])
	}
	for _, v := range w.o.Snapshot().Servers {
		if v.Name == s && v.InFlight > v.Limit {
			w.t.Fatalf("%s has %d in flight with limit %d after a grant", s, v.InFlight, v.Limit)
		}
	}
}

func (w *world) ask(t *rapid.T) {
	w.nextID++
	c := rapid.SampledFrom([]string{"chat", "draft"}).Draw(t, "class")
	a := ask(w.nextID, fmt.Sprintf("w%d", rapid.IntRange(0, 3).Draw(t, "workspace")), chat, w.now)
	if c == "draft" {
		a.Class = draft
	}
	a.Router.Name = fmt.Sprintf("r%d", rapid.IntRange(0, 2).Draw(t, "router"))
	a.PrefixHash = rapid.Uint64Range(0, 5).Draw(t, "prefix")
	if rapid.IntRange(0, 9).Draw(t, "retry") == 0 {
		a.Avoid = []string{"s0"}
	}
	w.pending[requestKey{a.Router, a.RequestID}] = a
	w.o.Ask(w.now, a)
	w.check()
}

func (w *world) server(t *rapid.T) string { return rapid.SampledFrom(serverNames).Draw(t, "server") }

// pick returns an open grant in a fixed order.
func (w *world) pick(t *rapid.T) (requestKey, Grant, bool) {
	keys := make([]requestKey, 0, len(w.open))
	for id := uint64(1); id <= w.nextID; id++ {
		for r := range 3 {
			key := requestKey{RouterID{Name: fmt.Sprintf("r%d", r), DataCentre: "a", Incarnation: 1}, id}
			if _, ok := w.open[key]; ok {
				keys = append(keys, key)
			}
		}
	}
	if len(keys) == 0 {
		return requestKey{}, Grant{}, false
	}
	key := keys[rapid.IntRange(0, len(keys)-1).Draw(t, "grant")]
	return key, w.open[key], true
}

func (w *world) settle(key requestKey, g Grant, outcome Outcome) {
	delete(w.open, key)
	if (outcome == OutcomeBroken || outcome == OutcomeConnectFailed || outcome == OutcomeSilent) && g.BootID == w.boots[g.Server] {
		w.failed[g.Server] = true
	}
	w.o.Settle(w.now, Settle{GrantID: g.GrantID, Epoch: g.Epoch, Outcome: outcome, CostUnits: 500,
		FirstToken: 100 * time.Millisecond, TokenInterval: 20 * time.Millisecond})
	w.check()
}

func (w *world) pass(d time.Duration, silent string) {
	end := w.now.Add(d)
	for w.now.Before(end) {
		w.now = w.now.Add(min(end.Sub(w.now), 500*time.Millisecond))
		for _, s := range serverNames {
			if s != silent && w.now.Sub(w.heard[s]) >= backend.AnnounceInterval {
				w.announce(s)
			}
		}
		w.o.Tick(w.now)
		w.check()
	}
}

// replace starts a new owner, with a hand-over or without one; the routers
// re-report what they hold and ask again.
func (w *world) replace(planned bool) {
	old := w.o
	w.epoch++
	h := old.Handover()
	w.check()
	old.Ask(w.now, ask(w.nextID+1, "late", draft, w.now))
	assert.Equal(w.t, len(old.Take().Grants), 0) // it stopped granting
	w.o = NewOwner(shardA, w.epoch, DefaultConfig(), w.ledger, w.now)
	w.o.SetDataCentreOut(w.now, w.out)
	for s := range w.gone {
		w.o.SetDeparted(w.now, s, true)
	}
	if planned {
		w.o.Accept(w.now, h)
		w.check()
	}
	first := rapid.Bool().Draw(w.t, "announced before the reports")
	if first {
		w.announceAll()
	}
	for r := range 3 {
		id := RouterID{Name: fmt.Sprintf("r%d", r), DataCentre: "a", Incarnation: 1}
		var held []HeldGrant
		for key, g := range w.open {
			if key.router == id {
				held = append(held, HeldGrant{Router: id, GrantID: g.GrantID, Epoch: g.Epoch, RequestID: key.id, Server: g.Server, Workspace: "w0", Class: "draft"})
			}
		}
		w.o.Held(w.now, id, held)
	}
	if !first {
		w.announceAll()
	}
	w.check()
	for _, a := range w.pending {
		w.o.Ask(w.now, a)
	}
	w.check()
}

func (w *world) announceAll() {
	for _, s := range serverNames {
		w.tell(s)
	}
}

// drain ends all open work with healthy servers; after that nothing waits.
func (w *world) drain() {
	w.o.SetDataCentreOut(w.now, false)
	w.out = false
	for _, s := range serverNames {
		w.o.SetDeparted(w.now, s, false)
		delete(w.gone, s)
		w.state[s] = backend.Ready
		w.announce(s)
	}
	for range 400 {
		for key, g := range w.open {
			w.settle(key, g, OutcomeOK)
		}
		w.pass(time.Second, "")
	}
	if len(w.pending) > 0 || len(w.open) > 0 {
		w.t.Fatalf("%d asks and %d grants are left after 400 s with free servers", len(w.pending), len(w.open))
	}
	v := w.o.Snapshot()
	assert.Equal(w.t, v.Grants+v.Waiting, 0)
	for _, s := range v.Servers {
		assert.Equal(w.t, s.InFlight, 0)
	}
}

// Guards against an ask that is lost or answered twice, a grant above a limit
// or to a leaving, silent, departed, failed or taken out server, a slot lost in
// a hand-over, and starvation.
func TestOwnerAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(map[string]func(*rapid.T){
			"ask":  w.ask,
			"ask2": w.ask,
			"settle": func(t *rapid.T) {
				if key, g, ok := w.pick(t); ok {
					w.settle(key, g, Outcome(rapid.IntRange(int(OutcomeOK), int(OutcomeServerError)).Draw(t, "outcome")))
				}
			},
			"cancel": func(t *rapid.T) {
				if key, _, ok := w.pick(t); ok {
					delete(w.open, key)
					w.o.Cancel(w.now, key.router, key.id)
					w.check()
				}
			},
			"time": func(t *rapid.T) {
				w.pass(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms"))*time.Millisecond, rapid.SampledFrom([]string{"", "s0", "s1"}).Draw(t, "silent"))
			},
			"state": func(t *rapid.T) {
				s := w.server(t)
				w.state[s] = rapid.SampledFrom([]backend.State{backend.Ready, backend.Leaving, backend.Starting}).Draw(t, "state")
				w.announce(s)
			},
			"boot": func(t *rapid.T) {
				s := w.server(t)
				w.boots[s]++
				w.total[s] = 0
				w.announce(s)
			},
			"depart": func(t *rapid.T) {
				s := w.server(t)
				w.gone[s] = !w.gone[s]
				w.o.SetDeparted(w.now, s, w.gone[s])
				w.check()
			},
			"out": func(t *rapid.T) {
				w.out = !w.out
				w.o.SetDataCentreOut(w.now, w.out)
				w.check()
			},
			"handover": func(t *rapid.T) { w.replace(true) },
			"restart":  func(t *rapid.T) { w.replace(false) },
		})
		w.drain()
	})
}
