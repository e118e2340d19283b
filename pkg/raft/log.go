package raft

import (
	"fmt"
	"slices"
)

// maxApplyEntries limits the committed entries of one Ready, so that a long
// replay does not delay heartbeats.
const maxApplyEntries = 1024

// membershipRecord is the membership that is in force from the entry at index
// until the next membership entry.
type membershipRecord struct {
	index   uint64
	members []Member
}

// raftLog is the log in memory. entries[0] has the index compactedIndex+1.
type raftLog struct {
	compactedIndex uint64 // index of the last entry removed by compaction
	compactedTerm  uint64 // term of that entry
	entries        []Entry
	durableIndex   uint64 // index of the last durable entry
	commitIndex    uint64
	appliedIndex   uint64
	// memberships starts with the membership at compactedIndex and holds every
	// later one in ascending order.
	memberships []membershipRecord
}

func newLog(snapshot SnapshotMeta, entries []Entry) raftLog {
	l := raftLog{
		compactedIndex: snapshot.Index, compactedTerm: snapshot.Term,
		durableIndex: snapshot.Index, commitIndex: snapshot.Index, appliedIndex: snapshot.Index,
		memberships: []membershipRecord{{index: snapshot.Index, members: snapshot.Members}},
	}
	for _, e := range entries {
		l.append(e)
	}
	l.durableIndex = l.last()
	return l
}

// last returns the index of the last entry.
func (l *raftLog) last() uint64 { return l.compactedIndex + uint64(len(l.entries)) }

func (l *raftLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of the entry at index. It returns false for an index
// before compactedIndex or after the last entry.
func (l *raftLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.compactedIndex:
		return l.compactedTerm, true
	case index < l.compactedIndex || index > l.last():
		return 0, false
	}
	return l.entries[index-l.compactedIndex-1].Term, true
}

// matchesTerm reports whether the log holds an entry with this index and term.
func (l *raftLog) matchesTerm(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// entriesBetween returns the entries from first to last, inclusive.
func (l *raftLog) entriesBetween(first, last uint64) []Entry {
	if first > last {
		return nil
	}
	return l.entries[first-l.compactedIndex-1 : last-l.compactedIndex : last-l.compactedIndex]
}

// entriesWithinBytes returns the entries from first on up to an approximate
// total size of maxBytes, and at least one if there is any.
func (l *raftLog) entriesWithinBytes(first uint64, maxBytes int) []Entry {
	rest := l.entriesBetween(first, l.last())
	size := 0
	for i, e := range rest {
		size += approxEntryBytes(e)
		if size > maxBytes && i > 0 {
			return rest[:i:i]
		}
	}
	return rest
}

// approxEntryBytes returns the approximate encoded size of an entry.
func approxEntryBytes(e Entry) int {
	const overheadBytes, memberBytes = 24, 48
	return overheadBytes + len(e.Data) + memberBytes*len(e.Members)
}

// append adds the entry that follows the last one. It panics on a gap.
func (l *raftLog) append(e Entry) {
	if e.Index != l.last()+1 {
		panic(fmt.Sprintf("raft: append of entry %d to a log that ends at %d", e.Index, l.last()))
	}
	l.entries = append(l.entries, e)
	if e.Kind == EntryMembership {
		l.memberships = append(l.memberships, membershipRecord{e.Index, e.Members})
	}
}

// truncateFrom removes the entries from index on. It panics for a committed
// entry: two leaders then have different entries at a committed index.
func (l *raftLog) truncateFrom(index uint64) {
	if index <= l.commitIndex {
		panic(fmt.Sprintf("raft: truncation from index %d, but the commit index is %d", index, l.commitIndex))
	}
	// Queued messages share the backing array. Clip forces the next append to
	// allocate a new one.
	l.entries = slices.Clip(l.entries[:index-l.compactedIndex-1])
	l.durableIndex = min(l.durableIndex, index-1)
	for l.memberships[len(l.memberships)-1].index >= index {
		l.memberships = l.memberships[:len(l.memberships)-1]
	}
}

// mergeLeaderEntries appends the entries of an append message whose previous
// entry matches, and replaces conflicting ones. Entries that are already present
// are kept. It returns the last index that is known to match the leader's log.
func (l *raftLog) mergeLeaderEntries(previous uint64, entries []Entry) uint64 {
	for i, e := range entries {
		if l.matchesTerm(e.Index, e.Term) {
			continue
		}
		if e.Index <= l.last() {
			l.truncateFrom(e.Index)
		}
		for _, fresh := range entries[i:] {
			l.append(fresh)
		}
		break
	}
	return previous + uint64(len(entries))
}

// findConflictByTerm returns the greatest index up to maxIndex whose entry has
// at most the given term, with the term of that entry.
func (l *raftLog) findConflictByTerm(maxIndex, term uint64) (uint64, uint64) {
	for i := min(maxIndex, l.last()); ; i-- {
		t, ok := l.term(i)
		if !ok || t <= term || i == 0 {
			return i, t
		}
	}
}

// nextCommittedEntries returns the committed entries that are not yet applied,
// at most maxApplyEntries.
func (l *raftLog) nextCommittedEntries() []Entry {
	last := min(l.commitIndex, l.appliedIndex+maxApplyEntries)
	return l.entriesBetween(l.appliedIndex+1, last)
}

// members returns the latest membership in the log, committed or not.
func (l *raftLog) members() []Member { return l.memberships[len(l.memberships)-1].members }

// membersAt returns the membership that is in force at index.
func (l *raftLog) membersAt(index uint64) []Member {
	for i := len(l.memberships) - 1; i > 0; i-- {
		if l.memberships[i].index <= index {
			return l.memberships[i].members
		}
	}
	return l.memberships[0].members
}

// compact removes the entries up to index. It does nothing if index is not
// applied or already compacted.
func (l *raftLog) compact(index uint64) {
	if index <= l.compactedIndex || index > l.appliedIndex {
		return
	}
	term, _ := l.term(index)
	members := l.membersAt(index)
	l.entries = slices.Clone(l.entries[index-l.compactedIndex:])
	l.compactedIndex, l.compactedTerm = index, term
	later := slices.DeleteFunc(slices.Clone(l.memberships), func(c membershipRecord) bool { return c.index <= index })
	l.memberships = append([]membershipRecord{{index, members}}, later...)
}
