package dispatch

import "container/list"

// keptUse is the part of an engine's memory, less what runs, in which parts
// are assumed to stay.
const keptUse = 0.85

// kept is what an engine is assumed to keep of prompts: the parts that were
// sent there last, as far as its memory reaches.
type kept struct {
	parts  map[uint64]*list.Element
	recent *list.List // of Part, most recent first
	tokens int
}

func newKept() kept { return kept{parts: map[uint64]*list.Element{}, recent: list.New()} }

// use notes that the parts were read or used now. capacity is in tokens.
func (k *kept) use(parts []Part, capacity int) {
	for i := len(parts) - 1; i >= 0; i-- {
		k.touch(parts[i])
	}
	for k.tokens > capacity && k.recent.Len() > 0 {
		last := k.recent.Back()
		k.tokens -= last.Value.(Part).Tokens
		delete(k.parts, last.Value.(Part).ID)
		k.recent.Remove(last)
	}
}

func (k *kept) touch(p Part) {
	if e := k.parts[p.ID]; e != nil {
		k.tokens += p.Tokens - e.Value.(Part).Tokens
		e.Value = p
		k.recent.MoveToFront(e)
		return
	}
	k.parts[p.ID] = k.recent.PushFront(p)
	k.tokens += p.Tokens
}

// cached returns the tokens of the leading parts that are kept.
func (k *kept) cached(parts []Part) int {
	tokens := 0
	for _, p := range parts {
		if k.parts[p.ID] == nil {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}
