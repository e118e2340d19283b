package standin

import (
	"container/list"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	cacheBlockBytes = 256  // prompt bytes of one cached block
	bytesPerToken   = 4    // rough size of a prompt token
	maxCacheEvents  = 4096 // events kept for readers
)

// cacheEvent tells of stored and evicted prefix blocks.
type cacheEvent struct {
	Sequence uint64   `json:"sequence"` // a gap shows a lost event
	Stored   []uint64 `json:"stored,omitempty"`
	Evicted  []uint64 `json:"evicted,omitempty"`
	taken    time.Time
}

// prefixCache holds the hashes of prompt prefixes, least recently used last.
// Its caller holds the server lock.
type prefixCache struct {
	size      int
	lossEvery int
	entries   map[uint64]*list.Element
	recent    *list.List
	sequence  uint64
	events    []cacheEvent
}

func newPrefixCache(size, lossEvery int) *prefixCache {
	return &prefixCache{size: size, lossEvery: lossEvery, entries: map[uint64]*list.Element{}, recent: list.New()}
}

// use stores all whole blocks of the prompt and returns how many leading
// tokens were cached before.
func (c *prefixCache) use(now time.Time, prompt string) int {
	cached := 0
	e := cacheEvent{taken: now}
	for end := cacheBlockBytes; end <= len(prompt); end += cacheBlockBytes {
		hash := xxhash.Sum64String(prompt[:end])
		if at, ok := c.entries[hash]; ok {
			c.recent.MoveToFront(at)
			if len(e.Stored) == 0 {
				cached = end / bytesPerToken
			}
			continue
		}
		c.entries[hash] = c.recent.PushFront(hash)
		e.Stored = append(e.Stored, hash)
	}
	for c.recent.Len() > c.size {
		old := c.recent.Remove(c.recent.Back()).(uint64)
		delete(c.entries, old)
		e.Evicted = append(e.Evicted, old)
	}
	if len(e.Stored) > 0 {
		c.publish(e)
	}
	return cached
}

func (c *prefixCache) publish(e cacheEvent) {
	c.sequence++
	e.Sequence = c.sequence
	if c.lossEvery > 0 && c.sequence%uint64(c.lossEvery) == 0 {
		return
	}
	c.events = append(c.events, e)
	if len(c.events) > maxCacheEvents {
		c.events = c.events[1:]
	}
}

// after returns the events later than the sequence and older than the lag.
func (c *prefixCache) after(now time.Time, sequence uint64, lag time.Duration) []cacheEvent {
	found := []cacheEvent{}
	for _, e := range c.events {
		if e.Sequence > sequence && now.Sub(e.taken) >= lag {
			found = append(found, e)
		}
	}
	return found
}
