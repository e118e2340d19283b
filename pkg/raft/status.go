package raft

// Status describes a node. Progress is known on the leader only, except for the node
// itself.
type Status struct {
	Role           Role
	State          HardState
	Leader         uint64 // ID of the leader, 0 if unknown
	Commit         uint64 // commit index
	Applied        uint64 // index of the last applied entry
	LastIndex      uint64 // index of the last log entry
	Snapshot       uint64 // last included index of the newest snapshot
	Members        []Member
	MembersPending bool                // Members is not known to be committed
	Progress       map[uint64]Progress // by member ID
}

// Progress is the leader's view of a member.
type Progress struct {
	Match       uint64 // match index
	SilentTicks int    // ticks of the leader since the last response, or since it became the leader or the member was added
	CaughtUp    bool   // a learner that may be promoted, see ProposeMembershipChange
	Leaving     bool   // the member has announced its shutdown, see Leave
}

// Status returns the current state.
func (n *Node) Status() Status {
	s := Status{
		Role: n.role, State: n.hardState, Leader: n.leaderID,
		Commit: n.log.commitIndex, Applied: n.log.appliedIndex, LastIndex: n.log.last(),
		Snapshot: n.snapshot.Index, Members: n.log.members(), MembersPending: n.isMembershipPending(),
		Progress: map[uint64]Progress{n.cfg.ID: {Match: n.log.durableIndex}},
	}
	for id, p := range n.progress {
		s.Progress[id] = Progress{Match: p.matchIndex, SilentTicks: p.silentTicks, CaughtUp: n.isCaughtUp(p), Leaving: p.leavingTicks > 0}
	}
	return s
}

// Members returns the latest membership in the log, committed or not.
func (n *Node) Members() []Member { return n.log.members() }

// IsNew reports whether the data folder has never belonged to a group.
func (n *Node) IsNew() bool {
	return n.hardState == HardState{} && n.log.last() == 0
}

// IsOnlyVoter reports whether this node is the only voter.
func (n *Node) IsOnlyVoter() bool {
	return n.isVoter() && quorumSize(n.log.members()) == 1 && n.hasQuorum(n.isSelf)
}
