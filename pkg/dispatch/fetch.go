package dispatch

import (
	"slices"
	"time"
)

// fetchWeight is the weight of the time of a fetch in the choice of a server:
// moved memory is work for two engines and their links.
const fetchWeight = 3

// holder is an engine that is assumed to keep the first tokens of a prompt.
type holder struct {
	server *server
	tokens int
}

// fetch is what an engine gets from another one instead of reading it.
type fetch struct {
	from   string // address
	tokens int
}

// findHolders notes which engines keep parts of the prompt.
func (d *Dispatcher) findHolders(r *Request, g *service) {
	r.holders = r.holders[:0]
	for _, s := range g.servers {
		if !s.info.Ready || s.wrong || !s.downSince.IsZero() {
			continue
		}
		if n := s.kept.cached(r.Parts); n > 0 {
			r.holders = append(r.holders, holder{s, n})
		}
	}
	slices.SortFunc(r.holders, func(a, b holder) int { return b.tokens - a.tokens })
}

// toRead returns the prompt tokens that the engine has to read itself, and what
// it fetches. With a service the holders are looked up anew.
func (d *Dispatcher) toRead(r *Request, g *service, s *server) (int, fetch) {
	if g != nil {
		d.findHolders(r, g)
	}
	own := s.kept.cached(r.Parts)
	if s.info.FetchRate <= 0 {
		return r.PromptTokens - own, fetch{}
	}
	f := bestFetch(r.holders, s, own)
	return r.PromptTokens - own - f.tokens, f
}

// bestFetch takes the engine that keeps most, one of the same data centre
// first: between data centres a move takes twice as long.
func bestFetch(holders []holder, s *server, own int) fetch {
	best := fetch{}
	near := false
	for _, h := range holders {
		gain := h.tokens - own
		if gain < leastFetch || gain < best.tokens {
			break
		}
		isNear := h.server.info.DataCentre == s.info.DataCentre
		if h.server != s && (best.tokens == 0 || isNear && !near) {
			best, near = fetch{h.server.info.Address, gain}, isNear
		}
	}
	return best
}

// fetchTime predicts how long a fetch takes.
func fetchTime(s *server, f fetch) time.Duration {
	if f.tokens == 0 {
		return 0
	}
	return fetchSetup + time.Duration(float64(f.tokens)/s.info.FetchRate*float64(time.Second))
}
