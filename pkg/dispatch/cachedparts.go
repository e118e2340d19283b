package dispatch

import (
	"container/list"
	"time"
)

// keptUse is the part of an engine's memory in which parts are assumed to stay.
// The rest holds what is generated.
const keptUse = 0.85

// tellAgain is how often other edge hosts are told that an engine still uses a
// part. They forget the parts that were used least recently, which takes
// seconds even on an engine whose memory is short.
const tellAgain = 2 * time.Second

// kept is what an engine is assumed to keep of prompts: the parts that were
// sent there last, as far as its memory reaches.
type kept struct {
	parts  map[uint64]*list.Element
	recent *list.List // of keptPart, most recent first
	tokens int
}

// keptPart is a part with the predicted time at which the engine has read it.
// Until then the engine serves later requests from it, because it reads in
// order of arrival, but other engines cannot fetch it.
type keptPart struct {
	Part
	read time.Time
	told time.Time // when an edge host last told the others
}

func newKept() kept { return kept{parts: map[uint64]*list.Element{}, recent: list.New()} }

// use notes that the parts were sent now and will be read at the time.
// capacity is in tokens.
func (k *kept) use(parts []Part, read time.Time, capacity int) {
	for i := len(parts) - 1; i >= 0; i-- {
		k.touch(keptPart{Part: parts[i], read: read})
	}
	for k.tokens > capacity && k.recent.Len() > 0 {
		last := k.recent.Back()
		k.tokens -= last.Value.(keptPart).Tokens
		delete(k.parts, last.Value.(keptPart).ID)
		k.recent.Remove(last)
	}
}

func (k *kept) touch(p keptPart) {
	if e := k.parts[p.ID]; e != nil {
		before := e.Value.(keptPart)
		if before.read.Before(p.read) {
			p.read = before.read
		}
		if before.told.After(p.told) {
			p.told = before.told
		}
		k.tokens += p.Tokens - before.Tokens
		e.Value = p
		k.recent.MoveToFront(e)
		return
	}
	k.parts[p.ID] = k.recent.PushFront(p)
	k.tokens += p.Tokens
}

// tell reports whether the other edge hosts should be told of the part, and
// notes that they are.
func (k *kept) tell(now time.Time, id uint64) bool {
	e := k.parts[id]
	if e == nil {
		return false
	}
	held := e.Value.(keptPart)
	if now.Sub(held.told) < tellAgain {
		return false
	}
	held.told = now
	e.Value = held
	return true
}

// wereRead notes that the parts that are kept have been read by now.
func (k *kept) wereRead(now time.Time, parts []Part) {
	for _, p := range parts {
		if e := k.parts[p.ID]; e != nil {
			if held := e.Value.(keptPart); held.read.After(now) {
				held.read = now
				e.Value = held
			}
		}
	}
}

// cached returns the tokens of the leading parts that are kept, and of those
// that have been read.
func (k *kept) cached(now time.Time, parts []Part) (all, read int) {
	unread := false
	for _, p := range parts {
		e := k.parts[p.ID]
		if e == nil {
			break
		}
		all += p.Tokens
		unread = unread || e.Value.(keptPart).read.After(now)
		if !unread {
			read += p.Tokens
		}
	}
	return all, read
}
