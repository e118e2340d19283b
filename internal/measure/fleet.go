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

// policy selects the request scheduling code under measurement.
type policy string

const (
	policyCurrent   policy = "present"
	policyLocalFair policy = "local-fair" // fair queues per data centre, without exchange of totals or loans
	policyFCFS      policy = "first-come" // first come, first served, fewest requests in flight
)

// deployment describes the size, the links and the workload of a fleet.
type deployment struct {
	name        string
	dataCentres []dataCentre
	linkDelay   time.Duration // longest delay between data centres, one way
	classes     []workloadClass
	services    string // name of the pool of plain services
}

// dataCentre holds the numbers of routers, engines and plain services.
type dataCentre struct{ routers, engines, services int }

// fleet is one simulation run: simulated servers, routers and links around the
// real pool owners and service ledgers.
type fleet struct {
	*eventLoop
	spec                 deployment
	policy               policy
	rnd                  *rand.Rand
	routers              []*router
	servers              map[string]*backendServer
	serverNames          []string // in the order of creation, for repeatable iteration
	pools                []string
	batchQueues          map[routerPair]*batchQueue
	lastEpoch            uint64              // given to an owner
	revision             uint64              // of the configuration
	disconnected         map[[2]int]bool     // pairs of data centres without a connection, lower index first
	partitioned          map[routerPair]bool // pairs of routers without a connection
	metrics              *metricsRecorder
	lastRequestID        uint64
	workspaces           []*workspace
	utilisationUpdatedAt time.Time
}

// dataCentreName returns the name of the data centre with index i: a, b, c and
// so on.
func dataCentreName(i int) string { return string(rune('a' + i)) }

// newFleet starts a fleet with all routers up and all servers warm.
func newFleet(spec deployment, p policy, seed int64) *fleet {
	f := &fleet{
		eventLoop: newEventLoop(), spec: spec, policy: p, rnd: rand.New(rand.NewSource(seed)),
		servers: map[string]*backendServer{}, pools: []string{"model", spec.services}, batchQueues: map[routerPair]*batchQueue{},
		disconnected: map[[2]int]bool{}, partitioned: map[routerPair]bool{}, metrics: newMetricsRecorder(),
	}
	for dc, c := range spec.dataCentres {
		for i := range c.routers {
			r := &router{f: f, dc: dc, id: pool.RouterID{Name: fmt.Sprintf("router-%s%d", dataCentreName(dc), i), DataCentre: dataCentreName(dc)}}
			f.routers = append(f.routers, r)
		}
		for i := range c.engines {
			slots := engineKnee
			if i == 1 {
				slots = 0 // not advertised, so the owner must find the limit
			}
			f.addServer(fmt.Sprintf("engine-%s%d", dataCentreName(dc), i), dc, "model", backend.Engine, slots)
		}
		for i := range c.services {
			f.addServer(fmt.Sprintf("%s-%s%d", spec.services, dataCentreName(dc), i), dc, spec.services, backend.Service, serviceSlots)
		}
	}
	for _, r := range f.routers {
		r.start()
	}
	for _, r := range f.routers {
		r.setLiveRouters(f.routersIn(r.dc))
	}
	for _, name := range f.serverNames {
		f.servers[name].start(false)
	}
	f.utilisationUpdatedAt = f.now
	return f
}

func (f *fleet) addServer(name string, dc int, p string, kind backend.Kind, slots int) {
	f.servers[name] = &backendServer{f: f, name: name, dc: dc, pool: p, kind: kind, slots: slots}
	f.serverNames = append(f.serverNames, name)
}

// newPoolOwner returns a pool owner for the policy of the run.
func (f *fleet) newPoolOwner(id pool.ShardID, epoch uint64, ledger *fairshare.Ledger) poolOwner {
	cfg := pool.DefaultConfig()
	switch f.policy {
	case policyFCFS:
		return newFCFSOwner(id, epoch, f.now)
	case policyLocalFair:
		cfg.LendingEnabled = false
	}
	return pool.NewOwner(id, epoch, cfg, ledger, f.now)
}

// jitter returns a random duration from 0 up to, but not including, d.
func (f *fleet) jitter(d time.Duration) time.Duration {
	return time.Duration(f.rnd.Int63n(int64(d)))
}

// networkDelay returns the one-way delay between two data centres, with random
// jitter if they differ.
func (f *fleet) networkDelay(a, b int) time.Duration {
	if a == b {
		return 200 * time.Microsecond
	}
	return f.spec.linkDelay*3/4 + f.jitter(f.spec.linkDelay/4)
}

// reachable reports whether two data centres have a connection.
func (f *fleet) reachable(a, b int) bool { return !f.disconnected[[2]int{min(a, b), max(a, b)}] }

// connected reports whether two routers are up and can reach each other.
func (f *fleet) connected(a, b *router) bool {
	return a.up && b.up && f.reachable(a.dc, b.dc) && !f.partitioned[routerPair{a, b}] && !f.partitioned[routerPair{b, a}]
}

func (f *fleet) routersIn(dc int) []*router {
	var list []*router
	for _, r := range f.routers {
		if r.dc == dc {
			list = append(list, r)
		}
	}
	return list
}

// owner returns the live router with the highest rendezvous hash for the pool.
func (f *fleet) owner(live []*router, p string) *router {
	return slices.MaxFunc(live, func(a, b *router) int {
		return cmp.Compare(xxhash.Sum64String(a.id.Name+p), xxhash.Sum64String(b.id.Name+p))
	})
}

// scheduleMembershipUpdate updates the membership views of all routers of a
// data centre after a delay.
func (f *fleet) scheduleMembershipUpdate(dc int, after time.Duration) {
	f.after(after, func() {
		for _, r := range f.routersIn(dc) {
			if !r.up {
				continue
			}
			var live []*router
			for _, x := range f.routersIn(dc) {
				if x == r && !r.draining || f.connected(r, x) && !x.draining {
					live = append(live, x)
				}
			}
			if len(live) == 0 {
				live = []*router{r} // no other router can own the shards
			}
			r.setLiveRouters(live)
		}
	})
}

// endPartition reconnects two routers. As in pkg/router, each router reports
// its held grants and waiting asks for shards that the other owns when a new
// stream between them opens.
func (f *fleet) endPartition(pair routerPair) {
	delete(f.partitioned, pair)
	f.scheduleMembershipUpdate(0, membershipSpreadTime)
	for _, r := range []*router{pair.from, pair.to} {
		for _, p := range slices.Sorted(maps.Keys(r.currentOwners)) {
			if r.up && (r.currentOwners[p] == pair.from || r.currentOwners[p] == pair.to) {
				r.reportToOwner(p)
			}
		}
	}
}

// forwardAnnouncement sends an announcement to a random router of the data
// centre, which forwards it to the pool owner.
func (f *fleet) forwardAnnouncement(s *backendServer, a backend.Announcement) {
	text, err := json.Marshal(a)
	if err != nil {
		panic(err) // cannot fail: all fields of the type can be encoded
	}
	f.sendThroughRandomRouter(s, toEnvelope(&apiv1.Announcement{Json: text}), func(d poolOwner) { d.HandleAnnouncement(f.now, a) })
}

// forwardCacheEvents sends prefix cache events to a random router of the data
// centre, which forwards them to the pool owner.
func (f *fleet) forwardCacheEvents(s *backendServer, stored, evicted []uint64) {
	m := &apiv1.CacheEvents{Shard: &apiv1.ShardID{DataCentre: dataCentreName(s.dc), Pool: s.pool}, Server: s.name, Stored: stored, Evicted: evicted}
	f.sendThroughRandomRouter(s, toEnvelope(m), func(d poolOwner) { d.UpdatePrefixes(f.now, s.name, stored, evicted) })
}

func (f *fleet) sendThroughRandomRouter(s *backendServer, env *apiv1.Envelope, input func(poolOwner)) {
	if up := f.acceptingRouters(s.dc); len(up) > 0 {
		up[f.rnd.Intn(len(up))].sendToOwner(s.pool, env, input)
	}
}

// acceptingRouters returns the routers of a data centre that receive requests:
// those that are up and not draining.
func (f *fleet) acceptingRouters(dc int) []*router {
	return slices.DeleteFunc(f.routersIn(dc), func(r *router) bool { return !r.up || r.draining })
}

// knownRouters returns the routers of a data centre that have not left
// gracefully.
func (f *fleet) knownRouters(dc int) []*router {
	return slices.DeleteFunc(f.routersIn(dc), func(r *router) bool { return r.draining })
}

// setDataCentreOut applies an operator's command to each router of the data
// centre within 2 s, the time that a configuration change takes to spread.
func (f *fleet) setDataCentreOut(dc int, out bool) {
	f.metrics.outDataCentre, f.metrics.anyDataCentreOut = dc, out
	for name, s := range f.servers {
		if s.dc == dc && out {
			f.metrics.noNewWorkSince[name] = f.now
		} else if s.dc == dc {
			delete(f.metrics.noNewWorkSince, name)
		}
	}
	f.revision++
	revision := f.revision
	for _, r := range f.routersIn(dc) {
		f.after(f.jitter(2*time.Second), func() {
			if revision < r.revision {
				return // an older configuration never replaces a newer one
			}
			r.out, r.revision = out, revision
			for _, p := range f.pools {
				r.withOwner(p, func(d poolOwner) { d.SetDataCentreOut(f.now, out) })
			}
		})
	}
}

// returnDataCentre ends the removal of a data centre. Its engines are cold.
func (f *fleet) returnDataCentre(dc int) {
	f.setDataCentreOut(dc, false)
	for _, name := range f.serverNames {
		if s := f.servers[name]; s.dc == dc && s.up {
			s.makeCold()
		}
	}
}

// updateUtilisation accounts the engine use since the last call. The time
// counts towards the utilisation only if requests for the model pool waited.
func (f *fleet) updateUtilisation() {
	d := f.now.Sub(f.utilisationUpdatedAt).Seconds()
	f.utilisationUpdatedAt = f.now
	if d == 0 || !f.metrics.measuring {
		return
	}
	var used, available float64
	for _, name := range f.serverNames {
		s := f.servers[name]
		if s.kind != backend.Engine || !s.up || f.metrics.anyDataCentreOut && s.dc == f.metrics.outDataCentre {
			continue
		}
		usableSlots := engineKnee
		if s.coldCapacity > 0 {
			usableSlots = s.coldCapacity
		}
		s.slotSeconds += d * float64(len(s.running))
		used += min(tokenRate(len(s.running)), tokenRate(usableSlots))
		available += tokenRate(usableSlots)
	}
	if f.metrics.waiting["model"] > 0 {
		f.metrics.used += used * d
		f.metrics.available += available * d
	}
}
