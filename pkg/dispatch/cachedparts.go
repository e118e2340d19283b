package dispatch

import (
	"container/list"
	"time"
)

// cacheFraction is the fraction of the KV cache of an engine in which parts are
// assumed to stay cached. The rest holds generated tokens.
const cacheFraction = 0.85

// republishInterval is the interval at which other edge hosts are told that an
// engine still uses a part. They evict the least recently used parts of their
// estimate, which takes seconds even for an engine with little memory.
const republishInterval = 2 * time.Second

// cachedParts estimates the prefix cache of an engine as an LRU cache: the
// parts that were last sent to the engine, up to its capacity.
type cachedParts struct {
	parts  map[uint64]*list.Element
	lru    *list.List // of cachedPart, most recently used first
	tokens int
}

// cachedPart is a prompt part with the predicted end of its prefill. Until then
// the engine can reuse the part for later requests, because it prefills in
// order of arrival, but other engines cannot fetch it.
type cachedPart struct {
	Part
	prefilled   time.Time
	publishedAt time.Time // last time that an edge host published it to the others
}

func newCached() cachedParts { return cachedParts{parts: map[uint64]*list.Element{}, lru: list.New()} }

// recordUse records that the parts were sent to the engine and are prefilled at
// the given time, and evicts parts beyond the capacity in tokens.
func (c *cachedParts) recordUse(parts []Part, prefilled time.Time, capacity int) {
	for i := len(parts) - 1; i >= 0; i-- {
		c.touch(cachedPart{Part: parts[i], prefilled: prefilled})
	}
	for c.tokens > capacity && c.lru.Len() > 0 {
		last := c.lru.Back()
		c.tokens -= last.Value.(cachedPart).Tokens
		delete(c.parts, last.Value.(cachedPart).ID)
		c.lru.Remove(last)
	}
}

// touch inserts or updates a part as the most recently used one.
func (c *cachedParts) touch(p cachedPart) {
	if e := c.parts[p.ID]; e != nil {
		previous := e.Value.(cachedPart)
		if previous.prefilled.Before(p.prefilled) {
			p.prefilled = previous.prefilled
		}
		if previous.publishedAt.After(p.publishedAt) {
			p.publishedAt = previous.publishedAt
		}
		c.tokens += p.Tokens - previous.Tokens
		e.Value = p
		c.lru.MoveToFront(e)
		return
	}
	c.parts[p.ID] = c.lru.PushFront(p)
	c.tokens += p.Tokens
}

// publishDue reports whether the other edge hosts should be told of the part,
// and if so records that they are.
func (c *cachedParts) publishDue(now time.Time, id uint64) bool {
	e := c.parts[id]
	if e == nil {
		return false
	}
	entry := e.Value.(cachedPart)
	if now.Sub(entry.publishedAt) < republishInterval {
		return false
	}
	entry.publishedAt = now
	e.Value = entry
	return true
}

// markPrefilled records that the cached ones of the parts have been prefilled.
func (c *cachedParts) markPrefilled(now time.Time, parts []Part) {
	for _, p := range parts {
		if e := c.parts[p.ID]; e != nil {
			if entry := e.Value.(cachedPart); entry.prefilled.After(now) {
				entry.prefilled = now
				e.Value = entry
			}
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
		pending = pending || e.Value.(cachedPart).prefilled.After(now)
		if !pending {
			prefilled += p.Tokens
		}
	}
	return total, prefilled
}
