package dispatch

import (
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/release"
)

// fetchTimeWeight is the weight of fetch time in the cost of a server. Moving
// KV cache occupies two engines and the network between them.
const fetchTimeWeight = 3

// prefixHolder is an engine that has probably prefilled the first tokens of a
// prompt and still caches them.
type prefixHolder struct {
	server *server
	tokens int
}

// fetch describes the part of a prompt that an engine fetches from the KV cache
// of another engine instead of prefilling it.
type fetch struct {
	sourceAddress string // of the engine that caches the tokens, "" for none
	tokens        int
}

// findPrefixHolders finds the engine of each data centre and release that caches the
// longest prefix of the prompt, and the prefix that each engine caches itself. Engines
// of unknown release hold nothing that another one could use. It is called once per
// decision, so that the cost of a decision does not grow with the square of the number
// of engines.
func (d *Dispatcher) findPrefixHolders(now time.Time, r *Request, svc *service) {
	r.prefixHolders = r.prefixHolders[:0]
	for _, s := range svc.serversOf(r) {
		var prefilled int
		s.cachedTokens, prefilled = s.cachedParts.prefixTokens(now, r.Parts)
		if prefilled > 0 && s.info.Release != release.Unknown && s.info.Ready && !s.misdirected && s.downSince.IsZero() {
			r.addPrefixHolder(prefixHolder{s, prefilled})
		}
	}
}

// addPrefixHolder keeps the engine if it caches the longest prefix of its release in its
// data centre so far.
func (r *Request) addPrefixHolder(h prefixHolder) {
	for i := range r.prefixHolders {
		if other := &r.prefixHolders[i].server.info; other.DataCentre == h.server.info.DataCentre && other.Release == h.server.info.Release {
			if h.tokens > r.prefixHolders[i].tokens {
				r.prefixHolders[i] = h
			}
			return
		}
	}
	r.prefixHolders = append(r.prefixHolders, h)
}

// planPrefill returns the prompt tokens that the engine has to prefill and the
// fetch from another engine. findPrefixHolders must have been called for the
// request.
func (r *Request) planPrefill(s *server) (int, fetch) {
	if s.info.FetchTokensPerSecond <= 0 {
		return r.PromptTokens - s.cachedTokens, fetch{}
	}
	f := r.bestFetch(s)
	return r.PromptTokens - s.cachedTokens - f.tokens, f
}

// bestFetch selects the engine of the same release that caches the longest prefix, and
// of equal ones that of the same data centre: a fetch between data centres takes twice
// as long.
func (r *Request) bestFetch(s *server) fetch {
	best := fetch{}
	for _, h := range r.prefixHolders {
		extraTokens := h.tokens - s.cachedTokens
		if h.server == s || h.server.info.Release != s.info.Release || extraTokens < minFetchTokens {
			continue
		}
		sameDataCentre := h.server.info.DataCentre == s.info.DataCentre
		if extraTokens > best.tokens || sameDataCentre && extraTokens == best.tokens {
			best = fetch{h.server.info.Address, extraTokens}
		}
	}
	return best
}

// fetchTime predicts the duration of a fetch.
func fetchTime(s *server, f fetch) time.Duration {
	if f.tokens == 0 {
		return 0
	}
	return fetchSetupTime + time.Duration(float64(f.tokens)/s.info.FetchTokensPerSecond*float64(time.Second))
}
