package raft

// Status describes a node. For other members, Match and RecentlyActive are
// known on the leader only.
type Status struct {
	Role           Role
	State          HardState
	Leader         uint64 // ID of the leader, 0 if unknown
	Commit         uint64 // commit index
	Applied        uint64 // index of the last applied entry
	LastIndex      uint64 // index of the last log entry
	Snapshot       uint64 // last included index of the newest snapshot
	Members        []Member
	Match          map[uint64]uint64 // match index by member ID
	RecentlyActive map[uint64]bool   // by member ID: responded in the last two quorum check intervals of ElectionTicks each
}

// Status returns the current state.
func (n *Node) Status() Status {
	s := Status{
		Role: n.role, State: n.hardState, Leader: n.leaderID,
		Commit: n.log.commitIndex, Applied: n.log.appliedIndex, LastIndex: n.log.last(),
		Snapshot: n.snapshot.Index, Members: n.log.members(),
		Match:          map[uint64]uint64{n.cfg.ID: n.log.durableIndex},
		RecentlyActive: map[uint64]bool{n.cfg.ID: true},
	}
	for id, p := range n.progress {
		s.Match[id] = p.matchIndex
		s.RecentlyActive[id] = p.activeThisInterval || p.activeLastInterval
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
