package raft

import (
	"fmt"
	"slices"
)

// maxApplyEntries bounds the committed entries of one Ready, so that a long
// replay does not delay heartbeats.
const maxApplyEntries = 1024

// membershipAt is the membership from the entry index on.
type membershipAt struct {
	index   uint64
	members []Member
}

// raftLog is the log in memory. entries[0] has the index base+1.
type raftLog struct {
	base     uint64 // last entry that is no longer in entries
	baseTerm uint64
	entries  []Entry
	stable   uint64 // last durable entry
	commit   uint64
	applied  uint64
	// changes starts with the membership at base and lists every later one.
	changes []membershipAt
}

func newLog(snapshot SnapshotMeta, entries []Entry) raftLog {
	l := raftLog{
		base: snapshot.Index, baseTerm: snapshot.Term,
		stable: snapshot.Index, commit: snapshot.Index, applied: snapshot.Index,
		changes: []membershipAt{{index: snapshot.Index, members: snapshot.Members}},
	}
	for _, e := range entries {
		l.append(e)
	}
	l.stable = l.last()
	return l
}

func (l *raftLog) last() uint64 { return l.base + uint64(len(l.entries)) }

func (l *raftLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// term returns false for entries before base and after the last one.
func (l *raftLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.base:
		return l.baseTerm, true
	case index < l.base || index > l.last():
		return 0, false
	}
	return l.entries[index-l.base-1].Term, true
}

func (l *raftLog) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// slice returns the entries from first to last, both included.
func (l *raftLog) slice(first, last uint64) []Entry {
	if first > last {
		return nil
	}
	return l.entries[first-l.base-1 : last-l.base : last-l.base]
}

// bounded returns entries from first on with at most about limit bytes, and
// at least one if there is one.
func (l *raftLog) bounded(first uint64, limit int) []Entry {
	rest := l.slice(first, l.last())
	size := 0
	for i, e := range rest {
		size += entryBytes(e)
		if size > limit && i > 0 {
			return rest[:i:i]
		}
	}
	return rest
}

func entryBytes(e Entry) int {
	const overheadBytes, memberBytes = 24, 48
	return overheadBytes + len(e.Data) + memberBytes*len(e.Members)
}

func (l *raftLog) append(e Entry) {
	if e.Index != l.last()+1 {
		panic(fmt.Sprintf("raft: entry %d after entry %d", e.Index, l.last()))
	}
	l.entries = append(l.entries, e)
	if e.Kind == EntryMembership {
		l.changes = append(l.changes, membershipAt{e.Index, e.Members})
	}
}

// truncate drops the entries from index on. Committed entries are never
// dropped; an attempt means that two leaders disagreed on a committed entry.
func (l *raftLog) truncate(index uint64) {
	if index <= l.commit {
		panic(fmt.Sprintf("raft: truncation at %d of a log committed to %d", index, l.commit))
	}
	// Clip makes the next append allocate: messages share the old array.
	l.entries = slices.Clip(l.entries[:index-l.base-1])
	l.stable = min(l.stable, index-1)
	for l.changes[len(l.changes)-1].index >= index {
		l.changes = l.changes[:len(l.changes)-1]
	}
}

// merge appends the entries of a leader and returns the last index that
// matches the leader's log. Entries that are already present are kept.
func (l *raftLog) merge(previous uint64, entries []Entry) uint64 {
	for i, e := range entries {
		if l.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= l.last() {
			l.truncate(e.Index)
		}
		for _, fresh := range entries[i:] {
			l.append(fresh)
		}
		break
	}
	return previous + uint64(len(entries))
}

// hint returns the greatest index up to limit whose term is at most term.
func (l *raftLog) hint(limit, term uint64) (uint64, uint64) {
	for i := min(limit, l.last()); ; i-- {
		t, ok := l.term(i)
		if !ok || t <= term || i == 0 {
			return i, t
		}
	}
}

func (l *raftLog) toApply() []Entry {
	last := min(l.commit, l.applied+maxApplyEntries)
	return l.slice(l.applied+1, last)
}

// members returns the newest membership, committed or not.
func (l *raftLog) members() []Member { return l.changes[len(l.changes)-1].members }

func (l *raftLog) membersAt(index uint64) []Member {
	for i := len(l.changes) - 1; i > 0; i-- {
		if l.changes[i].index <= index {
			return l.changes[i].members
		}
	}
	return l.changes[0].members
}

// compact drops the entries up to index, which must be applied.
func (l *raftLog) compact(index uint64) {
	if index <= l.base || index > l.applied {
		return
	}
	term, _ := l.term(index)
	members := l.membersAt(index)
	l.entries = slices.Clone(l.entries[index-l.base:])
	l.base, l.baseTerm = index, term
	later := slices.DeleteFunc(slices.Clone(l.changes), func(c membershipAt) bool { return c.index <= index })
	l.changes = append([]membershipAt{{index, members}}, later...)
}
