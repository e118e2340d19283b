package raft

import (
	"cmp"
	"slices"
)

// MembershipChange is the kind of a single-server membership change.
type MembershipChange uint8

const (
	// AddLearner adds a learner. If the ID is already a member with another
	// identity, the new learner replaces that member, which also revokes the
	// vote of the old identity.
	AddLearner MembershipChange = iota + 1
	// PromoteLearner makes a learner a voter.
	PromoteLearner
	// RemoveMember removes a member.
	RemoveMember
	// DemoteVoter makes a voter a learner. A host that was only partitioned can
	// catch up and be promoted again. A leader that demotes itself steps down once the
	// change is committed.
	DemoteVoter
)

// ProposeMembershipChange appends a membership entry that changes one member and
// returns its index and term. The new membership is in force as soon as the
// entry is in the log; the next change is accepted once the entry is committed.
// It returns ErrNotLeader, ErrChangePending, ErrNotMember, ErrNotCaughtUp or
// ErrInvalidChange.
func (n *Node) ProposeMembershipChange(kind MembershipChange, m Member) (index, term uint64, err error) {
	if n.role != Leader {
		return 0, 0, ErrNotLeader
	}
	// A leader that has not committed an entry of its own term may not know of
	// an uncommitted change of its predecessor. The majorities of two such
	// changes need not overlap, so two leaders could be elected.
	if !n.hasCommittedInTerm() || n.isMembershipPending() {
		return 0, 0, ErrChangePending
	}
	members, err := n.membershipAfterChange(kind, m)
	if err != nil {
		return 0, 0, err
	}
	index = n.appendAsLeader(Entry{Kind: EntryMembership, Members: members})
	n.rebuildProgress()
	n.broadcastAppend()
	return index, n.hardState.Term, nil
}

// isMembershipPending reports whether the latest membership is not known to be committed.
func (n *Node) isMembershipPending() bool {
	return n.log.memberships[len(n.log.memberships)-1].index > n.log.commitIndex
}

// membershipAfterChange returns the latest membership with the change applied.
func (n *Node) membershipAfterChange(kind MembershipChange, m Member) ([]Member, error) {
	members := slices.Clone(n.log.members())
	i := slices.IndexFunc(members, func(o Member) bool { return o.ID == m.ID })
	switch kind {
	case AddLearner:
		if m.ID == n.cfg.ID {
			return nil, ErrInvalidChange
		}
		return membershipWithLearner(members, i, m)
	case PromoteLearner:
		if i < 0 {
			return nil, ErrNotMember
		}
		if !members[i].Learner {
			return nil, ErrInvalidChange
		}
		if p := n.progress[m.ID]; p == nil || !n.isCaughtUp(p) {
			return nil, ErrNotCaughtUp
		}
		members[i].Learner = false
		return members, nil
	case RemoveMember:
		if i < 0 {
			return nil, ErrNotMember
		}
		members = slices.Delete(members, i, i+1)
	case DemoteVoter:
		if i < 0 {
			return nil, ErrNotMember
		}
		if members[i].Learner {
			return nil, ErrInvalidChange
		}
		members[i].Learner = true
	default:
		return nil, ErrInvalidChange
	}
	return members, requireVoter(members)
}

// membershipWithLearner adds the learner m, or replaces members[i] if i >= 0.
func membershipWithLearner(members []Member, i int, m Member) ([]Member, error) {
	m.Learner = true
	if m.ID == 0 || m.Identity == 0 || m.Address == "" {
		return nil, ErrInvalidChange
	}
	if i < 0 {
		members = append(members, m)
		slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
		return members, nil
	}
	if members[i].Identity == m.Identity {
		return nil, ErrInvalidChange
	}
	members[i] = m
	return members, requireVoter(members)
}

// requireVoter returns ErrInvalidChange if no member is a voter.
func requireVoter(members []Member) error {
	if slices.ContainsFunc(members, func(m Member) bool { return !m.Learner }) {
		return nil
	}
	return ErrInvalidChange
}

// isCaughtUp reports whether the member holds every entry durably that was committed two
// quorum checks ago, and responded since the last quorum check but one; a quorum check comes
// every ElectionTicks. While commands are committed faster than packets travel, a sound
// learner never holds every committed entry, and the group would go without its vote for
// good. The promotion commits only with the entries before it, so that nothing rests on the
// learner that it does not hold.
func (n *Node) isCaughtUp(p *progress) bool {
	return p.matchIndex >= n.commitAtPreviousCheck && (p.activeThisInterval || p.activeLastInterval)
}

// Leave announces to the leader that this host shuts down, so that another member takes
// its vote before it is gone. The announcement counts for ElectionTicks; repeat it until
// the host ends. It does nothing if no leader is known or this node is the leader.
func (n *Node) Leave() {
	if leader, ok := findMember(n.log.members(), n.leaderID); ok && n.role == Follower {
		n.send(leader, Message{Kind: MsgLeave})
	}
}

func (n *Node) handleLeave(m Message) {
	if p := n.progress[m.From]; n.role == Leader && p != nil {
		p.leavingTicks = n.cfg.ElectionTicks
	}
}

// rebuildProgress updates the leader's progress table to the latest membership.
// Members that keep their identity keep their progress.
func (n *Node) rebuildProgress() {
	rebuilt := make(map[uint64]*progress)
	for _, m := range n.log.members() {
		if n.isSelf(m) {
			continue
		}
		if p := n.progress[m.ID]; p != nil && p.identity == m.Identity {
			rebuilt[m.ID] = p
			continue
		}
		rebuilt[m.ID] = &progress{identity: m.Identity, nextIndex: n.log.last() + 1, probing: true, activeThisInterval: true}
	}
	n.progress = rebuilt
}
