package standin

import (
	"container/list"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	cacheBlockBytes     = 256  // prompt bytes of one cache block
	promptBytesPerToken = 4    // approximate size of a prompt token
	maxCacheEvents      = 4096 // most recent events that can be read
)

// cacheEvent lists the hashes of stored and evicted prefix blocks.
type cacheEvent struct {
	Sequence uint64   `json:"sequence"` // a gap means that an event was lost
	Stored   []uint64 `json:"stored,omitempty"`
	Evicted  []uint64 `json:"evicted,omitempty"`
	taken    time.Time
}

// prefixCache is an LRU cache of the hashes of prompt prefixes. Its callers hold
// the server lock.
type prefixCache struct {
	maxBlocks    int
	dropEvery    int
	entries      map[uint64]*list.Element
	recentlyUsed *list.List
	sequence     uint64
	events       []cacheEvent
}

func newPrefixCache(maxBlocks, dropEvery int) *prefixCache {
	return &prefixCache{maxBlocks: maxBlocks, dropEvery: dropEvery, entries: map[uint64]*list.Element{}, recentlyUsed: list.New()}
}

// storePrompt stores all complete blocks of the prompt, evicts the least
// recently used blocks and returns how many leading tokens were cached before.
func (c *prefixCache) storePrompt(now time.Time, prompt string) int {
	cached := 0
	event := cacheEvent{taken: now}
	for end := cacheBlockBytes; end <= len(prompt); end += cacheBlockBytes {
		hash := xxhash.Sum64String(prompt[:end])
		if element, ok := c.entries[hash]; ok {
			c.recentlyUsed.MoveToFront(element)
			if len(event.Stored) == 0 {
				cached = end / promptBytesPerToken
			}
			continue
		}
		c.entries[hash] = c.recentlyUsed.PushFront(hash)
		event.Stored = append(event.Stored, hash)
	}
	for c.recentlyUsed.Len() > c.maxBlocks {
		evicted := c.recentlyUsed.Remove(c.recentlyUsed.Back()).(uint64)
		delete(c.entries, evicted)
		event.Evicted = append(event.Evicted, evicted)
	}
	if len(event.Stored) > 0 {
		c.publish(event)
	}
	return cached
}

// publish numbers an event and keeps it for readers. Every dropEvery-th event is
// lost, which its readers detect by the gap in the sequence.
func (c *prefixCache) publish(e cacheEvent) {
	c.sequence++
	e.Sequence = c.sequence
	if c.dropEvery > 0 && c.sequence%uint64(c.dropEvery) == 0 {
		return
	}
	c.events = append(c.events, e)
	if len(c.events) > maxCacheEvents {
		c.events = c.events[1:]
	}
}

// after returns the events with a higher sequence number that are at least as
// old as lag.
func (c *prefixCache) after(now time.Time, sequence uint64, lag time.Duration) []cacheEvent {
	found := []cacheEvent{}
	for _, e := range c.events {
		if e.Sequence > sequence && now.Sub(e.taken) >= lag {
			found = append(found, e)
		}
	}
	return found
}
