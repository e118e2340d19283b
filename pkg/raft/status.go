package raft

// Status describes a node. Match and Answers are known on the leader only.
type Status struct {
	Role      Role
	State     HardState
	Leader    uint64
	Commit    uint64
	Applied   uint64
	LastIndex uint64
	Snapshot  uint64
	Members   []Member
	Match     map[uint64]uint64
	Answers   map[uint64]bool // answered in the last two election times
}

// Status returns the present state.
func (n *Node) Status() Status {
	s := Status{
		Role: n.role, State: n.state, Leader: n.leader,
		Commit: n.log.commit, Applied: n.log.applied, LastIndex: n.log.last(),
		Snapshot: n.snapshot.Index, Members: n.log.members(),
		Match:   map[uint64]uint64{n.cfg.ID: n.log.stable},
		Answers: map[uint64]bool{n.cfg.ID: true},
	}
	for id, p := range n.progress {
		s.Match[id] = p.match
		s.Answers[id] = p.active || p.recent
	}
	return s
}

// Members returns the newest membership, committed or not.
func (n *Node) Members() []Member { return n.log.members() }

// IsNew tells that the folder has never belonged to a group.
func (n *Node) IsNew() bool {
	return n.state == HardState{} && n.log.last() == 0
}

// IsOnlyVoter tells that this node is a majority by itself.
func (n *Node) IsOnlyVoter() bool {
	return n.isVoter() && majority(n.log.members()) == 1 && n.hasQuorum(n.isSelf)
}
