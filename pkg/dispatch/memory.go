package dispatch

import "time"

const (
	// cachedPartBytes is the memory of one cached part: 80 bytes, and its place in a map
	// that may be half empty.
	cachedPartBytes = 128
	// cachedPartsDivisor is the part of the memory of the host that cached parts may take.
	// With the settings of the collector the heap grows to four times what is in use, so
	// they stay below half of the memory. It is enough for the parts of 256 engines, each
	// with 370,000 tokens in parts of 300 tokens, on a host with 420 MB.
	cachedPartsDivisor = 10
	// defaultMemory is assumed if the memory of the host is not known.
	defaultMemory = 256 << 20
	// minCachedParts is the smallest bound of one engine.
	minCachedParts = 64
	// maxPendingPlacements bounds the placements that wait for a digest, 40 bytes each.
	// Digests carry them within 3 s; engines have most parts for longer.
	maxPendingPlacements = 20 * maxDigestPlacements
	// MaxParts is the number of parts of a prompt that decisions look at, from the first
	// one. It bounds the memory and time of a request in the queue.
	MaxParts = 128
)

// Dropped counts what was given up to bound the memory of this host.
type Dropped struct {
	CachedParts uint64 // parts that engines may still cache
	Placements  uint64 // placements that other edge hosts were not told of
}

// Dropped returns what was dropped since the start.
func (d *Dispatcher) Dropped() Dropped { return d.dropped }

// SetMemory sets the memory of this host in bytes, 0 if it is not known.
func (d *Dispatcher) SetMemory(bytes int64) {
	d.memory = bytes
	d.boundCachedParts()
}

// boundCachedParts divides the memory for cached parts among the engines.
func (d *Dispatcher) boundCachedParts() {
	memory := d.memory
	if memory <= 0 {
		memory = defaultMemory
	}
	engines := 0
	for _, s := range d.servers {
		if s.isEngine() {
			engines++
		}
	}
	limit := int(memory / cachedPartsDivisor / cachedPartBytes / int64(max(engines, 1)))
	for _, s := range d.servers {
		s.cachedParts.maxParts = max(limit, minCachedParts)
	}
}

// useParts records that an engine caches the parts once they are prefilled.
func (d *Dispatcher) useParts(s *server, parts []Part, prefilled time.Time) {
	d.dropped.CachedParts += s.cachedParts.recordUse(parts, prefilled, s.cacheCapacity())
}

// publish adds a placement to the next digests, unless too many wait. A part that is used
// again is published again after republishInterval.
func (d *Dispatcher) publish(p placement) {
	if len(d.pendingPlacements) < maxPendingPlacements {
		d.pendingPlacements = append(d.pendingPlacements, p)
	} else {
		d.dropped.Placements++
	}
	d.addToSummary(p)
}
