// Package placement decides which BackendServer of a data centre should serve
// which pool, from the demand for each pool and the targets behind it.
// Operators name no servers; the plan follows what callers ask for.
package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// headroom is the capacity kept above the demand, so that a pool keeps its
	// targets while one order is carried out.
	headroom = 1.2

	// releaseBelow is the utilisation that a pool must have without the
	// server before the server may be taken from it. The distance to
	// 1/headroom keeps a server from moving back and forth.
	releaseBelow = 0.65

	// minStay is how long a server serves a pool before it may move again; a
	// load takes tens of seconds and empties the prefix cache.
	minStay = 5 * time.Minute
)

// Demand is the load of one pool in one data centre, as its owner measures it.
type Demand struct {
	Pool       string
	UnitsPerS  float64 // offered service units a second, smoothed
	Waiting    int     // waiting requests
	MustAnswer bool    // some class of the demand may not wait
}

// Server is one engine that can serve any pool whose model it can load.
type Server struct {
	Name     string
	Pool     string
	UnitsPer float64 // service units a second that it bears within targets
	Since    time.Time
	Loadable []string // pools that it can serve
	Busy     bool     // an order is under way
}

// Move is an order to load the model of another pool.
type Move struct {
	Server string
	From   string
	To     string
}

type poolState struct {
	demand   Demand
	servers  []int // indices into the server list
	capacity float64
}

func (p *poolState) needed() float64   { return p.demand.UnitsPerS * headroom }
func (p *poolState) shortage() float64 { return p.needed() - p.capacity }

// Plan returns at most maxMoves moves that reduce the shortage of pools. Pools
// whose classes may not wait come first, then the largest relative shortage.
// The result depends on the input alone. servers is updated to the state after
// the moves.
func Plan(now time.Time, demands []Demand, servers []Server, maxMoves int) []Move {
	pools := group(demands, servers)
	var moves []Move
	for _, name := range byUrgency(pools) {
		short := pools[name]
		for short.shortage() > 0 && len(moves) < maxMoves {
			i, ok := donor(now, pools, servers, name)
			if !ok {
				break
			}
			moves = append(moves, Move{Server: servers[i].Name, From: servers[i].Pool, To: name})
			move(pools, servers, i, name)
		}
	}
	return moves
}

func group(demands []Demand, servers []Server) map[string]*poolState {
	pools := make(map[string]*poolState)
	at := func(name string) *poolState {
		if pools[name] == nil {
			pools[name] = &poolState{demand: Demand{Pool: name}}
		}
		return pools[name]
	}
	for _, d := range demands {
		at(d.Pool).demand = d
	}
	for i, s := range servers {
		p := at(s.Pool)
		p.servers = append(p.servers, i)
		p.capacity += s.UnitsPer
	}
	return pools
}

func byUrgency(pools map[string]*poolState) []string {
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

func (p *poolState) relativeShortage() float64 {
	if p.needed() == 0 {
		return 0
	}
	return p.shortage() / p.needed()
}

// donor returns the movable server whose pool is left with the lowest
// utilisation. A pool with demand keeps at least one server.
func donor(now time.Time, pools map[string]*poolState, servers []Server, to string) (int, bool) {
	best, lowest := -1, math.Inf(1)
	for i, s := range servers {
		if !movable(now, s, to) {
			continue
		}
		left, ok := utilisationWithout(pools[s.Pool], s)
		if !ok {
			continue
		}
		if left < lowest || (left == lowest && s.Name < servers[best].Name) {
			best, lowest = i, left
		}
	}
	return best, best >= 0
}

func movable(now time.Time, s Server, to string) bool {
	if s.Busy || s.Pool == to || now.Sub(s.Since) < minStay {
		return false
	}
	return slices.Contains(s.Loadable, to)
}

func utilisationWithout(p *poolState, s Server) (float64, bool) {
	if p.demand.UnitsPerS == 0 && p.demand.Waiting == 0 {
		return 0, true
	}
	left := p.capacity - s.UnitsPer
	if left <= 0 {
		return 0, false
	}
	u := p.demand.UnitsPerS / left
	return u, u <= releaseBelow
}

func move(pools map[string]*poolState, servers []Server, i int, to string) {
	from := pools[servers[i].Pool]
	from.capacity -= servers[i].UnitsPer
	pools[to].capacity += servers[i].UnitsPer
	servers[i].Pool = to
	servers[i].Busy = true
}
