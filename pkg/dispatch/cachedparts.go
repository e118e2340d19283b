package dispatch

import "time"

// cacheFraction is the fraction of the KV cache of an engine in which parts are
// assumed to stay cached. The rest holds generated tokens.
const cacheFraction = 0.85

// republishInterval is the interval at which other edge hosts are told that an
// engine still uses a part. They evict the least recently used parts of their
// estimate, which takes seconds even for an engine with little memory.
const republishInterval = 2 * time.Second

// cachedParts estimates the prefix cache of an engine as an LRU cache: the
// parts that were last sent to the engine, up to its capacity in tokens and up to a
// number of parts that bounds the memory of this host.
type cachedParts struct {
	parts          map[uint64]*cachedPart
	newest, oldest *cachedPart // ends of the list in the order of use
	tokens         int
	maxParts       int
}

// cachedPart is a prompt part with the predicted end of its prefill. Until then
// the engine can reuse the part for later requests, because it prefills in
// order of arrival, but other engines cannot fetch it.
type cachedPart struct {
	Part
	prefilled    time.Time
	publishedAt  time.Time // last time that an edge host published it to the others
	newer, older *cachedPart
}

func newCached() cachedParts {
	return cachedParts{parts: map[uint64]*cachedPart{}, maxParts: minCachedParts}
}

// recordUse records that the parts were sent to the engine and are prefilled at
// the given time, and evicts parts beyond the capacity in tokens and in parts. It
// returns the number of parts evicted by their number alone.
func (c *cachedParts) recordUse(parts []Part, prefilled time.Time, capacity int) (surplus uint64) {
	for i := len(parts) - 1; i >= 0; i-- {
		c.touch(parts[i], prefilled)
	}
	for c.oldest != nil && (c.tokens > capacity || len(c.parts) > c.maxParts) {
		if c.tokens <= capacity {
			surplus++
		}
		c.tokens -= c.oldest.Tokens
		delete(c.parts, c.oldest.ID)
		c.unlink(c.oldest)
	}
	return surplus
}

// touch inserts or updates a part as the most recently used one.
func (c *cachedParts) touch(p Part, prefilled time.Time) {
	e := c.parts[p.ID]
	if e == nil {
		e = &cachedPart{prefilled: prefilled}
		c.parts[p.ID] = e
	} else {
		c.unlink(e)
	}
	c.tokens += p.Tokens - e.Tokens
	e.Part = p
	if prefilled.Before(e.prefilled) {
		e.prefilled = prefilled
	}
	e.older = c.newest
	if c.newest != nil {
		c.newest.newer = e
	} else {
		c.oldest = e
	}
	c.newest = e
}

// unlink removes a part from the list.
func (c *cachedParts) unlink(e *cachedPart) {
	if e.newer != nil {
		e.newer.older = e.older
	} else {
		c.newest = e.older
	}
	if e.older != nil {
		e.older.newer = e.newer
	} else {
		c.oldest = e.newer
	}
	e.newer, e.older = nil, nil
}

// publishDue reports whether the other edge hosts should be told of the part,
// and if so records that they are.
func (c *cachedParts) publishDue(now time.Time, id uint64) bool {
	e := c.parts[id]
	if e == nil || now.Sub(e.publishedAt) < republishInterval {
		return false
	}
	e.publishedAt = now
	return true
}

// markPrefilled records that the cached ones of the parts have been prefilled.
func (c *cachedParts) markPrefilled(now time.Time, parts []Part) {
	for _, p := range parts {
		if e := c.parts[p.ID]; e != nil && e.prefilled.After(now) {
			e.prefilled = now
		}
	}
}

// prefixTokens returns the tokens of the cached prefix, and of the part of it
// that has been prefilled.
func (c *cachedParts) prefixTokens(now time.Time, parts []Part) (total, prefilled int) {
	pending := false
	for _, p := range parts {
		e := c.parts[p.ID]
		if e == nil {
			break
		}
		total += p.Tokens
		pending = pending || e.prefilled.After(now)
		if !pending {
			prefilled += p.Tokens
		}
	}
	return total, prefilled
}
