package pool

const (
	// prefixSets times prefixWays is the number of prefixes that an owner
	// remembers: 32,768 in 1 MB, about twenty full caches of an engine.
	prefixSets = 8192
	prefixWays = 4
	// prefixHolders is the number of servers remembered for one prefix.
	prefixHolders = 4
)

// prefixTable remembers which servers hold a prompt prefix. It is a set
// associative table of fixed size: it forgets old prefixes and does not
// allocate once it is in use.
type prefixTable struct {
	sets []prefixSet
	tick uint32
}

type prefixSet [prefixWays]prefixEntry

type prefixEntry struct {
	hash    uint64
	used    uint32
	holders [prefixHolders]uint32 // server number plus 1, 0 if empty
}

func (t *prefixTable) find(hash uint64) *prefixEntry {
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

// holders returns the server numbers plus 1 that hold a prefix.
func (t *prefixTable) holders(hash uint64) [prefixHolders]uint32 {
	if e := t.find(hash); e != nil {
		return e.holders
	}
	return [prefixHolders]uint32{}
}

// add records that a server holds a prefix.
func (t *prefixTable) add(hash uint64, server uint32) {
	if hash == 0 {
		return
	}
	if t.sets == nil {
		t.sets = make([]prefixSet, prefixSets)
	}
	t.tick++
	e := t.find(hash)
	if e == nil {
		e = t.oldest(hash)
		*e = prefixEntry{hash: hash}
	}
	e.used = t.tick
	for _, h := range e.holders {
		if h == server+1 {
			return
		}
	}
	copy(e.holders[1:], e.holders[:prefixHolders-1])
	e.holders[0] = server + 1
}

func (t *prefixTable) oldest(hash uint64) *prefixEntry {
	set := &t.sets[hash%prefixSets]
	e := &set[0]
	for i := range set {
		if set[i].used < e.used {
			e = &set[i]
		}
	}
	return e
}

// evict records that a server no longer holds a prefix.
func (t *prefixTable) evict(hash uint64, server uint32) {
	e := t.find(hash)
	if e == nil {
		return
	}
	for i, h := range e.holders {
		if h == server+1 {
			e.holders[i] = 0
		}
	}
}

// forget records that a server lost its whole cache.
func (t *prefixTable) forget(server uint32) {
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
