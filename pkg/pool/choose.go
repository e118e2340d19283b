package pool

import (
	"math"
	"slices"
	"time"
)

// serverHeap is a binary heap of the servers of one lane, least loaded first.
// A lane is a model: all its requests can use the same servers.
type serverHeap struct {
	lane int
	list []*server
}

func (s *server) place(lane int) int { return slices.Index(s.lanes, lane) }

// less is a total order, so that the first server does not depend on the
// history of the heap. Among equals the longest unused goes first.
func less(a, b *server) bool {
	if a.key != b.key {
		return a.key < b.key
	}
	if a.last != b.last {
		return a.last < b.last
	}
	return a.number < b.number
}

func (h *serverHeap) set(i int, s *server) {
	h.list[i] = s
	s.places[s.place(h.lane)] = i
}

func (h *serverHeap) swap(i, j int) {
	a, b := h.list[i], h.list[j]
	h.set(i, b)
	h.set(j, a)
}

func (h *serverHeap) fix(i int) {
	for i > 0 && less(h.list[i], h.list[(i-1)/2]) {
		h.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
	for {
		c := 2*i + 1
		if c >= len(h.list) {
			return
		}
		if c+1 < len(h.list) && less(h.list[c+1], h.list[c]) {
			c++
		}
		if !less(h.list[c], h.list[i]) {
			return
		}
		h.swap(i, c)
		i = c
	}
}

func (h *serverHeap) add(s *server) {
	h.list = append(h.list, s)
	i := len(h.list) - 1
	h.set(i, s)
	h.fix(i)
}

func (h *serverHeap) remove(i int) {
	last := len(h.list) - 1
	h.swap(i, last)
	h.list[last] = nil
	h.list = h.list[:last]
	if i < last {
		h.fix(i)
	}
}

// best returns the first server at or below index i with a free slot that is
// not avoided. It visits only avoided servers and their children.
func (h *serverHeap) best(i int, avoid []string) *server {
	if i >= len(h.list) || math.IsInf(h.list[i].key, 1) {
		return nil
	}
	s := h.list[i]
	if !slices.Contains(avoid, s.ann.Name) {
		return s
	}
	a, b := h.best(2*i+1, avoid), h.best(2*i+2, avoid)
	if a == nil || b != nil && less(b, a) {
		return b
	}
	return a
}

// lane returns the number of the lane of a model and creates it if needed.
func (o *Owner) lane(model string) (int, bool) {
	if l, ok := o.laneOf[model]; ok {
		return l, true
	}
	l := len(o.lanes)
	if l >= maxLanes {
		return 0, false
	}
	o.laneSlots = append(o.laneSlots, 0)
	o.laneOf[model] = l
	o.lanes = append(o.lanes, serverHeap{lane: l})
	for _, s := range o.servers {
		if s.ann.Serves(model) {
			o.place(s)
		}
	}
	return l, true
}

// place puts a server into the heaps of exactly the lanes that it serves.
func (o *Owner) place(s *server) {
	for i, l := range s.lanes {
		o.lanes[l].remove(s.places[i])
		o.laneSlots[l] -= s.counted
	}
	s.counted = 0
	s.lanes, s.places = s.lanes[:0], s.places[:0]
	s.key = o.serverKey(s)
	for model, l := range o.laneOf {
		if s.ann.Serves(model) && !slices.Contains(s.lanes, l) {
			s.lanes = append(s.lanes, l)
			s.places = append(s.places, 0)
		}
	}
	for _, l := range s.lanes {
		o.lanes[l].add(s)
	}
	o.fix(s)
}

// laneFree reports whether a server of the lane has a free slot. A server that
// went silent leaves the front of the heap here, not only at the next tick.
func (o *Owner) laneFree(l int) bool {
	if l >= len(o.lanes) {
		return false
	}
	h := &o.lanes[l]
	for len(h.list) > 0 && !math.IsInf(h.list[0].key, 1) {
		s := h.list[0]
		if o.usable(s) {
			return true
		}
		o.fix(s)
	}
	return false
}

// choose returns the server for an ask: one that holds its prefix, unless that
// one is loaded more than the pool on average, then the least loaded one.
func (o *Owner) choose(w *waiting) *server {
	for o.laneFree(w.Lane) {
		s := o.cached(w)
		if s == nil {
			s = o.lanes[w.Lane].best(0, w.ask.Avoid)
		}
		if s == nil || o.usable(s) {
			return s
		}
		o.fix(s)
	}
	return nil
}

// cached returns the least loaded server that holds the prefix of the ask and
// may take it.
func (o *Owner) cached(w *waiting) *server {
	var best *server
	for _, number := range o.prefixes.holders(w.ask.PrefixHash) {
		if number == 0 {
			continue
		}
		s := o.numbered[number-1]
		if math.IsInf(s.key, 1) || !o.usable(s) || o.crowded(s) || s.place(w.Lane) < 0 || slices.Contains(w.ask.Avoid, s.ann.Name) {
			continue
		}
		if best == nil || less(s, best) {
			best = s
		}
	}
	return best
}

// crowded reports whether one more request would put the server above
// affinityLoadBound times the mean load of the pool.
func (o *Owner) crowded(s *server) bool {
	mean := float64(o.inFlight+1) / float64(len(o.servers))
	return float64(s.limit.State().InFlight+1) > math.Ceil(affinityLoadBound*mean)
}

// CacheEvents corrects the prefix table. Late or missing events cost cache
// hits only.
func (o *Owner) CacheEvents(now time.Time, name string, stored, evicted []uint64) {
	o.now = now
	s := o.servers[name]
	if s == nil {
		return
	}
	for _, hash := range evicted {
		o.prefixes.evict(hash, s.number)
	}
	for _, hash := range stored {
		o.prefixes.add(hash, s.number)
	}
}
