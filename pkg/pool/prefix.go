package pool

const (
	// prefixSets times prefixWays is the capacity of the table: 32,768
	// prefixes in 1 MB, about twenty full engine caches.
	prefixSets = 8192
	prefixWays = 4
	// prefixHolders is the number of servers recorded for one prefix.
	prefixHolders = 4
)

// prefixTable records which servers cache a prompt prefix. It is a
// set-associative table of fixed size: it evicts the least recently used prefix
// of a full set and allocates only at its first use.
type prefixTable struct {
	sets     []prefixSet
	useClock uint32 // number of calls of addHolder
}

type prefixSet [prefixWays]prefixEntry

// prefixEntry is one prefix and the servers that cache it, newest first.
type prefixEntry struct {
	hash    uint64
	lastUse uint32                // value of useClock
	holders [prefixHolders]uint32 // server number plus 1, 0 if empty
}

// entry returns the entry of a prefix, nil if there is none.
func (t *prefixTable) entry(hash uint64) *prefixEntry {
	if t.sets == nil || hash == 0 {
		return nil
	}
	set := &t.sets[hash%prefixSets]
	for i := range set {
		if set[i].hash == hash {
			return &set[i]
		}
	}
	return nil
}

// holders returns the servers that cache a prefix, as server numbers plus 1 and
// 0 for an unused element.
func (t *prefixTable) holders(hash uint64) [prefixHolders]uint32 {
	if e := t.entry(hash); e != nil {
		return e.holders
	}
	return [prefixHolders]uint32{}
}

// addHolder records that a server caches a prefix. If the entry is full, the
// oldest server is dropped from it.
func (t *prefixTable) addHolder(hash uint64, server uint32) {
	if hash == 0 {
		return
	}
	if t.sets == nil {
		t.sets = make([]prefixSet, prefixSets)
	}
	t.useClock++
	e := t.entry(hash)
	if e == nil {
		e = t.leastRecentlyUsed(hash)
		*e = prefixEntry{hash: hash}
	}
	e.lastUse = t.useClock
	for _, h := range e.holders {
		if h == server+1 {
			return
		}
	}
	copy(e.holders[1:], e.holders[:prefixHolders-1])
	e.holders[0] = server + 1
}

// leastRecentlyUsed returns the entry to replace in the set of the hash.
func (t *prefixTable) leastRecentlyUsed(hash uint64) *prefixEntry {
	set := &t.sets[hash%prefixSets]
	e := &set[0]
	for i := range set {
		if set[i].lastUse < e.lastUse {
			e = &set[i]
		}
	}
	return e
}

// removeHolder records that a server no longer caches a prefix.
func (t *prefixTable) removeHolder(hash uint64, server uint32) {
	e := t.entry(hash)
	if e == nil {
		return
	}
	for i, h := range e.holders {
		if h == server+1 {
			e.holders[i] = 0
		}
	}
}

// removeServer removes a server from all entries, because it lost its cache.
func (t *prefixTable) removeServer(server uint32) {
	for i := range t.sets {
		for j := range t.sets[i] {
			e := &t.sets[i][j]
			for k, h := range e.holders {
				if h == server+1 {
					e.holders[k] = 0
				}
			}
		}
	}
}
