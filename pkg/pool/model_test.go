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

// model checks the outputs of one owner against the state of the servers, the
// asks and the grants that it tracks itself.
type model struct {
	t              *rapid.T
	o              *Owner
	ledger         *fairshare.Ledger
	epoch          uint64
	now            time.Time
	nextID         uint64
	pending        map[requestKey]Ask
	open           map[requestKey]Grant
	bootIDs        map[string]uint64
	state          map[string]backend.State
	announcedAt    map[string]time.Time
	connectionLost map[string]bool
	requestTotal   map[string]int64
	departed       map[string]bool
	out            bool
}

var serverNames = []string{"s0", "s1", "s2"}

func newModel(t *rapid.T) *model {
	w := &model{
		t: t, ledger: fairshare.NewLedger(fairshare.Origin{Name: "a"}), now: start, epoch: 1,
		pending: map[requestKey]Ask{}, open: map[requestKey]Grant{}, bootIDs: map[string]uint64{},
		state: map[string]backend.State{}, announcedAt: map[string]time.Time{}, connectionLost: map[string]bool{},
		requestTotal: map[string]int64{}, departed: map[string]bool{},
	}
	w.o = NewOwner(shardA, w.epoch, DefaultConfig(), w.ledger, w.now)
	for _, s := range serverNames {
		w.bootIDs[s], w.state[s] = 1, backend.Ready
		w.announce(s)
	}
	return w
}

func (w *model) announce(s string) {
	w.sendAnnouncement(s)
	w.check()
}

// sendAnnouncement announces a server with its running requests.
func (w *model) sendAnnouncement(s string) {
	running := 0
	for _, g := range w.open {
		if g.Server == s && g.BootID == w.bootIDs[s] {
			running++
		}
	}
	a := announce(s, w.requestTotal[s])
	a.BootID, a.State, a.Load.Running = w.bootIDs[s], w.state[s], running
	w.announcedAt[s], w.connectionLost[s] = w.now, false
	w.o.HandleAnnouncement(w.now, a)
}

// check takes the outputs: each ask gets one grant or refusal, and no grant is
// for a server that may not receive requests or has no free slot.
func (w *model) check() {
	out := w.o.TakeOutput()
	for _, g := range out.Grants {
		key := requestKey{g.Router, g.RequestID}
		if _, ok := w.pending[key]; !ok {
			w.t.Fatalf("grant for ask %v, which is not waiting", key)
		}
		w.checkGrant(g)
		delete(w.pending, key)
		w.open[key] = g
		w.requestTotal[g.Server]++
	}
	for _, f := range out.Refusals {
		key := requestKey{f.Router, f.RequestID}
		if _, ok := w.pending[key]; !ok {
			w.t.Fatalf("refusal of ask %v, which is not waiting", key)
		}
		if f.RetryAfter <= 0 {
			w.t.Fatalf("refusal without RetryAfter")
		}
		delete(w.pending, key)
	}
	for _, s := range w.o.Snapshot().Servers {
		if n := w.running(s.Name); s.InFlight < n {
			w.t.Fatalf("server %s: %d requests counted in flight, %d running", s.Name, s.InFlight, n)
		}
	}
}

func (w *model) running(s string) int {
	n := 0
	for _, g := range w.open {
		if g.Server == s {
			n++
		}
	}
	return n
}

// checkGrant fails if the server of a grant may not receive requests or is over
// its limit.
func (w *model) checkGrant(g Grant) {
	s := g.Server
	if w.out || w.departed[s] || w.connectionLost[s] || w.state[s] != backend.Ready || w.now.Sub(w.announcedAt[s]) >= backend.AnnouncementTimeout {
		w.t.Fatalf("grant on server %s: data centre out %v, departed %v, connection lost %v, state %s, silent for %s", s, w.out, w.departed[s], w.connectionLost[s], w.state[s], w.now.Sub(w.announcedAt[s]))
	}
	if w.now.Sub(w.o.startedAt) < 0 || g.BootID != w.bootIDs[s] {
		w.t.Fatalf("grant on server %s for boot id %d, present boot id %d", s, g.BootID, w.bootIDs[s])
	}
	for _, v := range w.o.Snapshot().Servers {
		if v.Name == s && v.InFlight > v.Limit {
			w.t.Fatalf("server %s has %d requests in flight after a grant, limit %d", s, v.InFlight, v.Limit)
		}
	}
}

func (w *model) ask(t *rapid.T) {
	w.nextID++
	c := rapid.SampledFrom([]string{"chat", "draft"}).Draw(t, "class")
	a := ask(w.nextID, fmt.Sprintf("w%d", rapid.IntRange(0, 3).Draw(t, "workspace")), chat, w.now)
	if c == "draft" {
		a.Class = draft
	}
	a.Router.Name = fmt.Sprintf("r%d", rapid.IntRange(0, 2).Draw(t, "router"))
	a.PrefixHash = rapid.Uint64Range(0, 5).Draw(t, "prefix")
	a.TakesUp = rapid.IntRange(0, 2).Draw(t, "takes up") == 0
	if rapid.IntRange(0, 9).Draw(t, "retry") == 0 {
		a.Avoid = []string{"s0"}
	}
	w.pending[requestKey{a.Router, a.RequestID}] = a
	w.o.Ask(w.now, a)
	w.check()
}

func (w *model) server(t *rapid.T) string { return rapid.SampledFrom(serverNames).Draw(t, "server") }

// pickOpenGrant draws one of the open grants, which it lists in a fixed order so
// that a seed repeats the run. It returns false if there is none.
func (w *model) pickOpenGrant(t *rapid.T) (requestKey, Grant, bool) {
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

func (w *model) settle(key requestKey, g Grant, outcome Outcome) {
	delete(w.open, key)
	if (outcome == OutcomeBroken || outcome == OutcomeConnectFailed || outcome == OutcomeSilent) && g.BootID == w.bootIDs[g.Server] {
		w.connectionLost[g.Server] = true
	}
	w.o.Settle(w.now, Settle{GrantID: g.GrantID, Epoch: g.Epoch, Outcome: outcome, CostUnits: 500,
		FirstToken: 100 * time.Millisecond, TokenInterval: 20 * time.Millisecond})
	w.check()
}

// advance lets time pass in steps of at most 500 ms. All servers but the silent
// one announce themselves.
func (w *model) advance(d time.Duration, silent string) {
	end := w.now.Add(d)
	for w.now.Before(end) {
		w.now = w.now.Add(min(end.Sub(w.now), 500*time.Millisecond))
		for _, s := range serverNames {
			if s != silent && w.now.Sub(w.announcedAt[s]) >= backend.AnnounceInterval {
				w.announce(s)
			}
		}
		w.o.Tick(w.now)
		w.check()
	}
}

// replaceOwner starts a new owner, with a handover if planned. The routers
// report their held grants to it and repeat their waiting asks.
func (w *model) replaceOwner(planned bool) {
	old := w.o
	w.epoch++
	h := old.Handover()
	w.check()
	old.Ask(w.now, ask(w.nextID+1, "late", draft, w.now))
	assert.Equal(w.t, len(old.TakeOutput().Grants), 0) // it grants nothing after the handover
	w.o = NewOwner(shardA, w.epoch, DefaultConfig(), w.ledger, w.now)
	w.o.SetDataCentreOut(w.now, w.out)
	for s := range w.departed {
		w.o.SetDeparted(w.now, s, true)
	}
	if planned {
		w.o.AcceptHandover(w.now, h)
		w.check()
	}
	announceFirst := rapid.Bool().Draw(w.t, "announced before the reports")
	if announceFirst {
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
		w.o.HandleHeldGrants(w.now, id, held)
	}
	if !announceFirst {
		w.announceAll()
	}
	w.check()
	for _, a := range w.pending {
		w.o.Ask(w.now, a)
	}
	w.check()
}

func (w *model) announceAll() {
	for _, s := range serverNames {
		w.sendAnnouncement(s)
	}
}

// settleAll brings all servers back into service and settles all grants for
// 400 s. After that nothing may wait or be in flight.
func (w *model) settleAll() {
	w.o.SetDataCentreOut(w.now, false)
	w.out = false
	for _, s := range serverNames {
		w.o.SetDeparted(w.now, s, false)
		delete(w.departed, s)
		w.state[s] = backend.Ready
		w.announce(s)
	}
	for range 400 {
		for key, g := range w.open {
			w.settle(key, g, OutcomeOK)
		}
		w.advance(time.Second, "")
	}
	if len(w.pending) > 0 || len(w.open) > 0 {
		w.t.Fatalf("%d asks and %d grants are left after 400 s with usable servers", len(w.pending), len(w.open))
	}
	v := w.o.Snapshot()
	assert.Equal(w.t, v.Grants+v.Waiting, 0)
	for _, s := range v.Servers {
		assert.Equal(w.t, s.InFlight, 0)
	}
}

// Guards against an ask that is lost or answered twice, a grant above the limit
// of a server or on one that is leaving, silent, departed, disconnected or in a
// data centre that is out, a slot lost in a handover, and starvation.
func TestOwnerAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"ask":  w.ask,
			"ask2": w.ask,
			"settle": func(t *rapid.T) {
				if key, g, ok := w.pickOpenGrant(t); ok {
					w.settle(key, g, Outcome(rapid.IntRange(int(OutcomeOK), int(OutcomeServerError)).Draw(t, "outcome")))
				}
			},
			"cancel": func(t *rapid.T) {
				if key, _, ok := w.pickOpenGrant(t); ok {
					delete(w.open, key)
					w.o.Cancel(w.now, key.router, key.id)
					w.check()
				}
			},
			"time": func(t *rapid.T) {
				w.advance(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms"))*time.Millisecond, rapid.SampledFrom([]string{"", "s0", "s1"}).Draw(t, "silent"))
			},
			"state": func(t *rapid.T) {
				s := w.server(t)
				w.state[s] = rapid.SampledFrom([]backend.State{backend.Ready, backend.Leaving, backend.Starting}).Draw(t, "state")
				w.announce(s)
			},
			"boot": func(t *rapid.T) {
				s := w.server(t)
				w.bootIDs[s]++
				w.requestTotal[s] = 0
				w.announce(s)
			},
			"depart": func(t *rapid.T) {
				s := w.server(t)
				w.departed[s] = !w.departed[s]
				w.o.SetDeparted(w.now, s, w.departed[s])
				w.check()
			},
			"out": func(t *rapid.T) {
				w.out = !w.out
				w.o.SetDataCentreOut(w.now, w.out)
				w.check()
			},
			"handover": func(t *rapid.T) { w.replaceOwner(true) },
			"restart":  func(t *rapid.T) { w.replaceOwner(false) },
		})
		w.settleAll()
	})
}
