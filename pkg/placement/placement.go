// Package placement decides which BackendServer of a data centre should serve
// which pool, from the demand for each pool and the kind of its targets. The plan
// follows the requests of callers; operators assign no servers.
package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// capacityHeadroom is the capacity that a pool requires, as a multiple of its
	// demand. It lets the pool meet its targets while a move is carried out.
	capacityHeadroom = 1.2

	// maxDonorUtilisation is the greatest utilisation that a pool may have after
	// one of its servers is moved to another pool. It is well below
	// 1/capacityHeadroom, so that a server does not move back and forth.
	maxDonorUtilisation = 0.65

	// minTimeInPool is how long a server serves a pool before it may move again.
	// Loading a model takes tens of seconds and empties the prefix cache.
	minTimeInPool = 5 * time.Minute
)

// Demand is the load of one pool in one data centre, as measured by its owner.
type Demand struct {
	Pool       string
	UnitsPerS  float64 // offered service units per second, moving average
	Waiting    int     // waiting requests
	MustAnswer bool    // some requests belong to a class that may not wait
}

// Server is a model engine and the pool that it serves.
type Server struct {
	Name              string
	Pool              string    // that it serves
	CapacityUnitsPerS float64   // service units per second that it can serve within the targets
	InPoolSince       time.Time // when it began to serve Pool
	LoadablePools     []string  // pools whose model it can load
	Unavailable       bool      // it has an order to move that is not finished, or is not ready
}

// Move is an order to a server to load the model of another pool.
type Move struct {
	Server string
	From   string
	To     string
}

// poolState is the demand and the capacity of a pool during planning.
type poolState struct {
	demand   Demand
	servers  []int   // indexes into the list of servers, before the moves
	capacity float64 // service units per second
}

// requiredCapacity returns the demand with headroom in service units per second.
func (p *poolState) requiredCapacity() float64 { return p.demand.UnitsPerS * capacityHeadroom }

// shortage returns the missing capacity in service units per second, negative if
// there is enough.
func (p *poolState) shortage() float64 { return p.requiredCapacity() - p.capacity }

// Plan returns at most maxMoves moves that reduce the shortage of capacity in
// pools. Pools with requests that may not wait come first, then those with the
// largest relative shortage. The result depends only on the arguments. Plan
// updates servers to the state after the moves.
func Plan(now time.Time, demands []Demand, servers []Server, maxMoves int) []Move {
	pools := groupByPool(demands, servers)
	var moves []Move
	for _, name := range poolsByUrgency(pools) {
		pool := pools[name]
		for pool.shortage() > 0 && len(moves) < maxMoves {
			i, ok := findDonor(now, pools, servers, name)
			if !ok {
				break
			}
			moves = append(moves, Move{Server: servers[i].Name, From: servers[i].Pool, To: name})
			applyMove(pools, servers, i, name)
		}
	}
	return moves
}

// groupByPool returns the state of every pool that has demand or servers, by name.
func groupByPool(demands []Demand, servers []Server) map[string]*poolState {
	pools := make(map[string]*poolState)
	stateOf := func(name string) *poolState {
		if pools[name] == nil {
			pools[name] = &poolState{demand: Demand{Pool: name}}
		}
		return pools[name]
	}
	for _, d := range demands {
		stateOf(d.Pool).demand = d
	}
	for i, s := range servers {
		p := stateOf(s.Pool)
		p.servers = append(p.servers, i)
		p.capacity += s.CapacityUnitsPerS
	}
	return pools
}

// poolsByUrgency returns the names of the pools with a shortage in the order in
// which Plan serves them.
func poolsByUrgency(pools map[string]*poolState) []string {
	var names []string
	for name, p := range pools {
		if p.shortage() > 0 {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		x, y := pools[a], pools[b]
		if x.demand.MustAnswer != y.demand.MustAnswer {
			if x.demand.MustAnswer {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(y.relativeShortage(), x.relativeShortage()), cmp.Compare(a, b))
	})
	return names
}

// relativeShortage returns the shortage as a fraction of the required capacity.
func (p *poolState) relativeShortage() float64 {
	if p.requiredCapacity() == 0 {
		return 0
	}
	return p.shortage() / p.requiredCapacity()
}

// findDonor returns the index of the server to move to a pool, and false if there
// is none. It selects the server whose pool has the lowest utilisation without
// it; server names break ties. A pool with demand keeps at least one server.
func findDonor(now time.Time, pools map[string]*poolState, servers []Server, to string) (int, bool) {
	best, lowest := -1, math.Inf(1)
	for i, s := range servers {
		if !canMove(now, s, to) {
			continue
		}
		utilisation, ok := utilisationAfterRemoval(pools[s.Pool], s)
		if !ok {
			continue
		}
		if utilisation < lowest || (utilisation == lowest && s.Name < servers[best].Name) {
			best, lowest = i, utilisation
		}
	}
	return best, best >= 0
}

// canMove reports whether a server may be ordered to load the model of a pool.
func canMove(now time.Time, s Server, to string) bool {
	if s.Unavailable || s.Pool == to || now.Sub(s.InPoolSince) < minTimeInPool {
		return false
	}
	return slices.Contains(s.LoadablePools, to)
}

// utilisationAfterRemoval returns the utilisation of a pool without a server, and
// whether it permits moving the server.
func utilisationAfterRemoval(p *poolState, s Server) (float64, bool) {
	if p.demand.UnitsPerS == 0 && p.demand.Waiting == 0 {
		return 0, true
	}
	remaining := p.capacity - s.CapacityUnitsPerS
	if remaining <= 0 {
		return 0, false
	}
	utilisation := p.demand.UnitsPerS / remaining
	return utilisation, utilisation <= maxDonorUtilisation
}

// applyMove updates the pools and the server at index i as if it had moved.
func applyMove(pools map[string]*poolState, servers []Server, i int, to string) {
	from := pools[servers[i].Pool]
	from.capacity -= servers[i].CapacityUnitsPerS
	pools[to].capacity += servers[i].CapacityUnitsPerS
	servers[i].Pool = to
	servers[i].Unavailable = true
}
