package dispatch

import "time"

// fetchWeight is the weight of the time of a fetch in the choice of a server:
// moved memory is work for two engines and their links.
const fetchWeight = 3

// holder is an engine that is assumed to have read the first tokens of a prompt
// and to keep them.
type holder struct {
	server *server
	tokens int
}

// fetch is what an engine gets from another one instead of reading it.
type fetch struct {
	from   string // address
	tokens int
}

// findHolders notes the engine of each data centre that keeps most of the
// prompt, and what each engine keeps itself. It is called once for a decision:
// the cost of a decision must not grow with the square of the engines.
func (d *Dispatcher) findHolders(now time.Time, r *Request, g *service) {
	r.holders = r.holders[:0]
	for _, s := range g.servers {
		var read int
		s.keeps, read = s.kept.cached(now, r.Parts)
		if read > 0 && s.info.Ready && !s.wrong && s.downSince.IsZero() {
			r.addHolder(holder{s, read})
		}
	}
}

func (r *Request) addHolder(h holder) {
	for i := range r.holders {
		if r.holders[i].server.info.DataCentre == h.server.info.DataCentre {
			if h.tokens > r.holders[i].tokens {
				r.holders[i] = h
			}
			return
		}
	}
	r.holders = append(r.holders, h)
}

// toRead returns the prompt tokens that the engine has to read itself, and what
// it fetches. findHolders must have been called for the request.
func (r *Request) toRead(s *server) (int, fetch) {
	if s.info.FetchRate <= 0 {
		return r.PromptTokens - s.keeps, fetch{}
	}
	f := r.bestFetch(s)
	return r.PromptTokens - s.keeps - f.tokens, f
}

// bestFetch takes the engine that keeps most, one of the same data centre
// first: between data centres a move takes twice as long.
func (r *Request) bestFetch(s *server) fetch {
	best := fetch{}
	for _, h := range r.holders {
		gain := h.tokens - s.keeps
		if h.server == s || gain < leastFetch {
			continue
		}
		near := h.server.info.DataCentre == s.info.DataCentre
		if gain > best.tokens || near && gain == best.tokens {
			best = fetch{h.server.info.Address, gain}
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
