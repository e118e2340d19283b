package measure

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/fairshare"
	"jackdawtrack.example/jackdawtrack/pkg/pool"
)

const exchangeInterval = fairshare.TotalsExchangeInterval

// policy chooses the decision code.
type policy string

const (
	present   policy = "present"
	localFair policy = "local-fair" // fair queues without exchange or loans
	firstCome policy = "first-come" // first come, least connections
)

// deployment is the shape of one fleet.
type deployment struct {
	name     string
	centres  []centre
	link     time.Duration // one way between data centres
	classes  []workClass
	services string // name of the service pool
}

type centre struct{ routers, engines, services int }

// fleet is one run: fakes around the decision code.
type fleet struct {
	*loop
	d        deployment
	policy   policy
	rnd      *rand.Rand
	routers  []*router
	servers  map[string]*backendServer
	names    []string
	pools    []string
	channels map[route]*channel
	epoch    uint64
	revision uint64          // of the configuration
	cut      map[[2]int]bool // data centres that cannot reach each other
	split    map[route]bool  // routers that cannot reach each other
	m        *metrics
	ids      uint64
	spaces   []*workspace
	usedAt   time.Time
}

func dcName(i int) string { return string(rune('a' + i)) }

func newFleet(d deployment, p policy, seed int64) *fleet {
	f := &fleet{
		loop: newLoop(), d: d, policy: p, rnd: rand.New(rand.NewSource(seed)),
		servers: map[string]*backendServer{}, pools: []string{"model", d.services}, channels: map[route]*channel{},
		cut: map[[2]int]bool{}, split: map[route]bool{}, m: newMetrics(),
	}
	for dc, c := range d.centres {
		for i := range c.routers {
			r := &router{f: f, dc: dc, id: pool.RouterID{Name: fmt.Sprintf("router-%s%d", dcName(dc), i), DataCentre: dcName(dc)}}
			f.routers = append(f.routers, r)
		}
		for i := range c.engines {
			slots := engineKnee
			if i == 1 {
				slots = 0 // the limit has to be found
			}
			f.addServer(fmt.Sprintf("engine-%s%d", dcName(dc), i), dc, "model", backend.Engine, slots)
		}
		for i := range c.services {
			f.addServer(fmt.Sprintf("%s-%s%d", d.services, dcName(dc), i), dc, d.services, backend.Service, serviceSlots)
		}
	}
	for _, r := range f.routers {
		r.start()
	}
	for _, r := range f.routers {
		r.view(f.routersOf(r.dc))
	}
	for _, name := range f.names {
		f.servers[name].start(false)
	}
	f.usedAt = f.now
	return f
}

func (f *fleet) addServer(name string, dc int, p string, kind backend.Kind, slots int) {
	f.servers[name] = &backendServer{f: f, name: name, dc: dc, pool: p, kind: kind, slots: slots}
	f.names = append(f.names, name)
}

func (f *fleet) newDecider(id pool.ShardID, epoch uint64, ledger *fairshare.Ledger) decider {
	cfg := pool.DefaultConfig()
	switch f.policy {
	case firstCome:
		return newFirstCome(id, epoch, f.now)
	case localFair:
		cfg.LendingEnabled = false
	}
	return pool.NewOwner(id, epoch, cfg, ledger, f.now)
}

func (f *fleet) jitter(d time.Duration) time.Duration {
	return time.Duration(f.rnd.Int63n(int64(d)))
}

// delay is the time one way between two data centres.
func (f *fleet) delay(a, b int) time.Duration {
	if a == b {
		return 200 * time.Microsecond
	}
	return f.d.link*3/4 + f.jitter(f.d.link/4)
}

func (f *fleet) reach(a, b int) bool { return !f.cut[[2]int{min(a, b), max(a, b)}] }

func (f *fleet) linked(a, b *router) bool {
	return a.up && b.up && f.reach(a.dc, b.dc) && !f.split[route{a, b}] && !f.split[route{b, a}]
}

func (f *fleet) routersOf(dc int) []*router {
	var list []*router
	for _, r := range f.routers {
		if r.dc == dc {
			list = append(list, r)
		}
	}
	return list
}

// owner returns the live router with the greatest hash for the pool.
func (f *fleet) owner(live []*router, p string) *router {
	return slices.MaxFunc(live, func(a, b *router) int {
		return cmp.Compare(xxhash.Sum64String(a.id.Name+p), xxhash.Sum64String(b.id.Name+p))
	})
}

// membership renews the views of a data centre after the detection time.
func (f *fleet) membership(dc int, after time.Duration) {
	f.after(after, func() {
		for _, r := range f.routersOf(dc) {
			if !r.up {
				continue
			}
			var live []*router
			for _, x := range f.routersOf(dc) {
				if x == r && !r.draining || f.linked(r, x) && !x.draining {
					live = append(live, x)
				}
			}
			if len(live) == 0 {
				live = []*router{r} // nobody else can own the shards
			}
			r.view(live)
		}
	})
}

// heal ends a split. As in pkg/router, a new stream between two routers makes
// each report what it holds and what waits at shards that the other owns.
func (f *fleet) heal(pair route) {
	delete(f.split, pair)
	f.membership(0, gossip)
	for _, r := range []*router{pair.from, pair.to} {
		for _, p := range slices.Sorted(maps.Keys(r.current)) {
			if r.up && (r.current[p] == pair.from || r.current[p] == pair.to) {
				r.reportTo(p)
			}
		}
	}
}

// forward brings an announcement to a random router of the data centre, which
// passes it on to the owner.
func (f *fleet) forward(s *backendServer, a backend.Announcement) {
	text, err := json.Marshal(a)
	if err != nil {
		panic(err) // a fixed type always encodes
	}
	f.via(s, wrap(&apiv1.Announcement{Json: text}), func(d decider) { d.HandleAnnouncement(f.now, a) })
}

func (f *fleet) forwardEvents(s *backendServer, stored, evicted []uint64) {
	m := &apiv1.CacheEvents{Shard: &apiv1.ShardID{DataCentre: dcName(s.dc), Pool: s.pool}, Server: s.name, Stored: stored, Evicted: evicted}
	f.via(s, wrap(m), func(d decider) { d.UpdatePrefixes(f.now, s.name, stored, evicted) })
}

func (f *fleet) via(s *backendServer, env *apiv1.Envelope, input func(decider)) {
	if up := f.upOf(s.dc); len(up) > 0 {
		up[f.rnd.Intn(len(up))].toOwner(s.pool, env, input)
	}
}

// upOf returns the routers that the platform's balancer sends to.
func (f *fleet) upOf(dc int) []*router {
	return slices.DeleteFunc(f.routersOf(dc), func(r *router) bool { return !r.up || r.draining })
}

// knownOf returns the routers that did not leave gracefully.
func (f *fleet) knownOf(dc int) []*router {
	return slices.DeleteFunc(f.routersOf(dc), func(r *router) bool { return r.draining })
}

// setOut gives the operator's command to every router within the time that a
// configuration change takes to spread.
func (f *fleet) setOut(dc int, out bool) {
	f.m.outDC, f.m.isOut = dc, out
	for name, s := range f.servers {
		if s.dc == dc && out {
			f.m.leftAt[name] = f.now
		} else if s.dc == dc {
			delete(f.m.leftAt, name)
		}
	}
	f.revision++
	revision := f.revision
	for _, r := range f.routersOf(dc) {
		f.after(f.jitter(2*time.Second), func() {
			if revision < r.revision {
				return // a configuration never goes back
			}
			r.out, r.revision = out, revision
			for _, p := range f.pools {
				r.with(p, func(d decider) { d.SetDataCentreOut(f.now, out) })
			}
		})
	}
}

// bringBack ends the time out of a data centre; its engines come back cold.
func (f *fleet) bringBack(dc int) {
	f.setOut(dc, false)
	for _, name := range f.names {
		if s := f.servers[name]; s.dc == dc && s.up {
			s.chill()
		}
	}
}

// accountUse adds the time since the last change to the utilisation, if work
// waited at any owner.
func (f *fleet) accountUse() {
	d := f.now.Sub(f.usedAt).Seconds()
	f.usedAt = f.now
	if d == 0 || !f.m.measuring {
		return
	}
	var used, most float64
	for _, name := range f.names {
		s := f.servers[name]
		if s.kind != backend.Engine || !s.up || f.m.isOut && s.dc == f.m.outDC {
			continue
		}
		bears := engineKnee
		if s.coldCap > 0 {
			bears = s.coldCap
		}
		s.inUse += d * float64(len(s.running))
		used += min(rate(len(s.running)), rate(bears))
		most += rate(bears)
	}
	if f.m.waiting["model"] > 0 {
		f.m.used += used * d
		f.m.most += most * d
	}
}
