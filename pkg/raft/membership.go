package raft

import (
	"cmp"
	"slices"
)

// ChangeKind is a membership change.
type ChangeKind uint8

const (
	// AddLearner adds a member without a vote. For an ID that is a member
	// under another identity it replaces that entry, which also takes the
	// vote of the old identity away.
	AddLearner ChangeKind = iota + 1
	// Promote gives a learner its vote.
	Promote
	// Remove takes a member out.
	Remove
	// Demote takes the vote of a member away. It stays as a learner, so a
	// host that was only cut off catches up and can be promoted again.
	Demote
)

// ProposeMembership changes the membership by one member and returns the
// index of its entry. The change is in force when it is in the log, and the
// next one may start when it is committed.
func (n *Node) ProposeMembership(kind ChangeKind, m Member) (index, term uint64, err error) {
	if n.role != Leader {
		return 0, 0, ErrNotLeader
	}
	// A leader that has not committed in its own term may not know of an
	// uncommitted change of its predecessor whose majority differs by one
	// member already; a second change could then elect two leaders.
	if !n.committedInTerm() || n.log.changes[len(n.log.changes)-1].index > n.log.commit {
		return 0, 0, ErrPending
	}
	members, err := n.changed(kind, m)
	if err != nil {
		return 0, 0, err
	}
	index = n.appendAsLeader(Entry{Kind: EntryMembership, Members: members})
	n.syncProgress()
	n.broadcastAppend()
	return index, n.state.Term, nil
}

func (n *Node) changed(kind ChangeKind, m Member) ([]Member, error) {
	members := slices.Clone(n.log.members())
	i := slices.IndexFunc(members, func(o Member) bool { return o.ID == m.ID })
	switch kind {
	case AddLearner:
		if m.ID == n.cfg.ID {
			return nil, ErrInvalid
		}
		return addLearner(members, i, m)
	case Promote:
		if i < 0 {
			return nil, ErrNotMember
		}
		if !members[i].Learner {
			return nil, ErrInvalid
		}
		if !n.isCaughtUp(members[i]) {
			return nil, ErrNotCaughtUp
		}
		members[i].Learner = false
		return members, nil
	case Remove:
		if i < 0 {
			return nil, ErrNotMember
		}
		members = slices.Delete(members, i, i+1)
	case Demote:
		if i < 0 {
			return nil, ErrNotMember
		}
		if members[i].Learner || n.isSelf(members[i]) {
			return nil, ErrInvalid
		}
		members[i].Learner = true
	default:
		return nil, ErrInvalid
	}
	return members, checkVoters(members)
}

func addLearner(members []Member, i int, m Member) ([]Member, error) {
	m.Learner = true
	if m.ID == 0 || m.Identity == 0 || m.Address == "" {
		return nil, ErrInvalid
	}
	if i < 0 {
		members = append(members, m)
		slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
		return members, nil
	}
	if members[i].Identity == m.Identity {
		return nil, ErrInvalid
	}
	members[i] = m
	return members, checkVoters(members)
}

func checkVoters(members []Member) error {
	if slices.ContainsFunc(members, func(m Member) bool { return !m.Learner }) {
		return nil
	}
	return ErrInvalid
}

// isCaughtUp requires every committed entry on the learner's disk and an
// answer in the last two election times.
func (n *Node) isCaughtUp(m Member) bool {
	p := n.progress[m.ID]
	return p.match >= n.log.commit && (p.active || p.recent)
}

// syncProgress makes the leader's table follow the newest membership.
func (n *Node) syncProgress() {
	table := make(map[uint64]*progress)
	for _, m := range n.log.members() {
		if n.isSelf(m) {
			continue
		}
		if p := n.progress[m.ID]; p != nil && p.identity == m.Identity {
			table[m.ID] = p
			continue
		}
		table[m.ID] = &progress{identity: m.Identity, next: n.log.last() + 1, probing: true, active: true}
	}
	n.progress = table
}
