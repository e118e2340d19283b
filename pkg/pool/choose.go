package pool

import (
	"math"
	"slices"
	"time"
)

// serverHeap is a binary min-heap of the servers that serve one model, ordered
// by lessLoaded. All requests for a model can use the same servers.
type serverHeap struct {
	modelIndex int
	servers    []*server
}

// modelPosition returns the position of the model in s.modelIndexes, -1 if the
// server does not serve it.
func (s *server) modelPosition(modelIndex int) int { return slices.Index(s.modelIndexes, modelIndex) }

// lessLoaded reports whether a is preferred over b: the lower load key, then
// the least recently used. It is a total order, so the first server does not
// depend on the history of the heap.
func lessLoaded(a, b *server) bool {
	if a.loadKey != b.loadKey {
		return a.loadKey < b.loadKey
	}
	if a.lastUse != b.lastUse {
		return a.lastUse < b.lastUse
	}
	return a.number < b.number
}

// set stores the server at index i and records the index in the server.
func (h *serverHeap) set(i int, s *server) {
	h.servers[i] = s
	s.heapIndexes[s.modelPosition(h.modelIndex)] = i
}

func (h *serverHeap) swap(i, j int) {
	a, b := h.servers[i], h.servers[j]
	h.set(i, b)
	h.set(j, a)
}

// reposition restores the heap order after the load key at index i changed.
func (h *serverHeap) reposition(i int) {
	for i > 0 && lessLoaded(h.servers[i], h.servers[(i-1)/2]) {
		h.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
	for {
		c := 2*i + 1
		if c >= len(h.servers) {
			return
		}
		if c+1 < len(h.servers) && lessLoaded(h.servers[c+1], h.servers[c]) {
			c++
		}
		if !lessLoaded(h.servers[c], h.servers[i]) {
			return
		}
		h.swap(i, c)
		i = c
	}
}

func (h *serverHeap) add(s *server) {
	h.servers = append(h.servers, s)
	i := len(h.servers) - 1
	h.set(i, s)
	h.reposition(i)
}

func (h *serverHeap) remove(i int) {
	last := len(h.servers) - 1
	h.swap(i, last)
	h.servers[last] = nil
	h.servers = h.servers[:last]
	if i < last {
		h.reposition(i)
	}
}

// leastLoaded returns the least loaded server in the subtree at index i that
// has a free slot and is not in avoid, nil if there is none. It visits only
// avoided servers and their children.
func (h *serverHeap) leastLoaded(i int, avoid []string) *server {
	if i >= len(h.servers) || math.IsInf(h.servers[i].loadKey, 1) {
		return nil
	}
	s := h.servers[i]
	if !slices.Contains(avoid, s.announcement.Name) {
		return s
	}
	a, b := h.leastLoaded(2*i+1, avoid), h.leastLoaded(2*i+2, avoid)
	if a == nil || b != nil && lessLoaded(b, a) {
		return b
	}
	return a
}

// modelIndex returns the index of a model and adds the model if it is unknown.
// It returns false if it is unknown and maxModels indexes are in use.
func (o *Owner) modelIndex(model string) (int, bool) {
	if modelIndex, ok := o.indexByModel[model]; ok {
		return modelIndex, true
	}
	modelIndex := len(o.heapsByModel)
	if modelIndex >= maxModels {
		return 0, false
	}
	o.slotsByModel = append(o.slotsByModel, 0)
	o.indexByModel[model] = modelIndex
	o.heapsByModel = append(o.heapsByModel, serverHeap{modelIndex: modelIndex})
	for _, s := range o.servers {
		if s.announcement.ServesModel(model) {
			o.assignModels(s)
		}
	}
	return modelIndex, true
}

// assignModels puts a server into the heaps of the models that it serves and
// removes it from all others.
func (o *Owner) assignModels(s *server) {
	for i, modelIndex := range s.modelIndexes {
		o.heapsByModel[modelIndex].remove(s.heapIndexes[i])
		o.slotsByModel[modelIndex] -= s.countedSlots
	}
	s.countedSlots = 0
	s.modelIndexes, s.heapIndexes = s.modelIndexes[:0], s.heapIndexes[:0]
	s.loadKey = o.serverLoadKey(s)
	for model, modelIndex := range o.indexByModel {
		if s.announcement.ServesModel(model) && !slices.Contains(s.modelIndexes, modelIndex) {
			s.modelIndexes = append(s.modelIndexes, modelIndex)
			s.heapIndexes = append(s.heapIndexes, 0)
		}
	}
	for _, modelIndex := range s.modelIndexes {
		o.heapsByModel[modelIndex].add(s)
	}
	o.reposition(s)
}

// hasFreeSlot reports whether a server of the model has a free slot. It moves
// servers that became unusable since the last tick away from the heap root.
func (o *Owner) hasFreeSlot(modelIndex int) bool {
	if modelIndex >= len(o.heapsByModel) {
		return false
	}
	h := &o.heapsByModel[modelIndex]
	for len(h.servers) > 0 && !math.IsInf(h.servers[0].loadKey, 1) {
		s := h.servers[0]
		if o.isUsable(s) {
			return true
		}
		o.reposition(s)
	}
	return false
}

// chooseServer returns the server for an ask: the least loaded one that caches
// its prefix and is not above the affinity load bound, otherwise the least
// loaded one. It returns nil if no server with a free slot may take the ask.
func (o *Owner) chooseServer(w *waitingAsk) *server {
	for o.hasFreeSlot(w.ModelIndex) {
		s := o.leastLoadedWithPrefix(w)
		if s == nil {
			s = o.heapsByModel[w.ModelIndex].leastLoaded(0, w.ask.Avoid)
		}
		if s == nil || o.isUsable(s) {
			return s
		}
		o.reposition(s)
	}
	return nil
}

// leastLoadedWithPrefix returns the least loaded server that caches the prefix
// of the ask and may take it, nil if there is none.
func (o *Owner) leastLoadedWithPrefix(w *waitingAsk) *server {
	var best *server
	for _, number := range o.prefixes.holders(w.ask.PrefixHash) {
		if number == 0 {
			continue
		}
		s := o.serversByNumber[number-1]
		if math.IsInf(s.loadKey, 1) || !o.isUsable(s) || o.aboveAffinityBound(s) || s.modelPosition(w.ModelIndex) < 0 || slices.Contains(w.ask.Avoid, s.announcement.Name) {
			continue
		}
		if best == nil || lessLoaded(s, best) {
			best = s
		}
	}
	return best
}

// aboveAffinityBound reports whether one more request would put the server
// above affinityLoadBound times the mean number of requests per server.
func (o *Owner) aboveAffinityBound(s *server) bool {
	mean := float64(o.inFlight+1) / float64(len(o.servers))
	return float64(s.limit.State().InFlight+1) > math.Ceil(affinityLoadBound*mean)
}

// UpdatePrefixes updates the prefix table with the prefix hashes that a server
// stored in and evicted from its cache. Late or missing events only cost cache
// hits.
func (o *Owner) UpdatePrefixes(now time.Time, name string, stored, evicted []uint64) {
	o.now = now
	s := o.servers[name]
	if s == nil {
		return
	}
	for _, hash := range evicted {
		o.prefixes.removeHolder(hash, s.number)
	}
	for _, hash := range stored {
		o.prefixes.addHolder(hash, s.number)
	}
}
