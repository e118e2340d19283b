package raft

import "slices"

// isSelf compares ID and identity: an entry with this ID and another identity
// is another disk.
func (n *Node) isSelf(m Member) bool {
	return m.ID == n.cfg.ID && m.Identity == n.cfg.Identity
}

// isVoter is false for a learner, for a host that is not a member and for a
// host whose membership entry names another identity.
func (n *Node) isVoter() bool {
	return n.votesIn(n.log.members())
}

func (n *Node) votesIn(members []Member) bool {
	m, ok := findMember(members, n.cfg.ID)
	return ok && n.isSelf(m) && !m.Learner
}

// mayCampaign also allows a voter whose own removal is not committed: it may
// be the only one with the log that the others need.
func (n *Node) mayCampaign() bool {
	changes := n.log.changes
	last := len(changes) - 1
	pending := last > 0 && changes[last].index > n.log.commit
	return n.isVoter() || pending && n.votesIn(changes[last-1].members)
}

func majority(members []Member) int {
	voters := 0
	for _, m := range members {
		if !m.Learner {
			voters++
		}
	}
	return voters/2 + 1
}

// hasQuorum counts the voters for which holds is true.
func (n *Node) hasQuorum(holds func(Member) bool) bool {
	members := n.log.members()
	count := 0
	for _, m := range members {
		if !m.Learner && holds(m) {
			count++
		}
	}
	return count >= majority(members)
}

// Campaign starts an election at once. A group with one voter needs no wait.
func (n *Node) Campaign() {
	if n.role != Leader && n.mayCampaign() {
		n.preCampaign()
	}
}

// preCampaign asks whether an election could be won before it raises the
// term, so that a host that was cut off for long does not depose the leader.
func (n *Node) preCampaign() {
	n.role, n.leader = PreCandidate, 0
	n.startVotes()
	if n.wonVotes() {
		n.campaign()
		return
	}
	n.requestVotes(MsgPreVote, n.state.Term+1)
}

func (n *Node) campaign() {
	n.role, n.leader = Candidate, 0
	n.state = HardState{Term: n.state.Term + 1, Vote: n.cfg.Identity}
	n.startVotes()
	if n.wonVotes() {
		n.becomeLeader()
		return
	}
	n.requestVotes(MsgVote, n.state.Term)
}

func (n *Node) startVotes() {
	n.votes = make(map[uint64]bool)
	n.resetElection()
}

func (n *Node) wonVotes() bool {
	return n.hasQuorum(func(m Member) bool { return n.isSelf(m) || n.votes[m.ID] })
}

func (n *Node) requestVotes(kind MessageKind, term uint64) {
	for _, m := range n.log.members() {
		if n.isSelf(m) || m.Learner {
			continue
		}
		n.send(m, Message{Kind: kind, Term: term, Index: n.log.last(), LogTerm: n.log.lastTerm()})
	}
}

// onVoteRequest handles pre-votes of any term and votes of the present term.
// The vote is granted to an identity whether or not it is a member here: this
// node's membership may be behind the candidate's.
func (n *Node) onVoteRequest(m Message) {
	if n.hearsLeader() {
		return
	}
	kind, term := MsgVoteAnswer, n.state.Term
	granted := n.state.Vote == 0 || n.state.Vote == m.FromIdentity
	if m.Kind == MsgPreVote {
		kind = MsgPreVoteAnswer
		granted = m.Term > n.state.Term
	}
	granted = granted && n.isUpToDate(m.Index, m.LogTerm)
	if granted && m.Kind == MsgPreVote {
		term = m.Term
	}
	if granted && m.Kind == MsgVote {
		n.state.Vote = m.FromIdentity
		n.elapsed = 0
	}
	n.answer(m, Message{Kind: kind, Term: term, Reject: !granted})
}

func (n *Node) isUpToDate(index, term uint64) bool {
	last := n.log.lastTerm()
	return term > last || term == last && index >= n.log.last()
}

func (n *Node) onVoteAnswer(m Message) {
	switch {
	case m.Reject:
		return
	case m.Kind == MsgPreVoteAnswer && n.role == PreCandidate && m.Term == n.state.Term+1:
		n.votes[m.From] = true
		if n.wonVotes() {
			n.campaign()
		}
	case m.Kind == MsgVoteAnswer && n.role == Candidate:
		n.votes[m.From] = true
		if n.wonVotes() {
			n.becomeLeader()
		}
	}
}

// becomeLeader appends an empty entry: entries of earlier terms are committed
// only together with one of the leader's own term.
func (n *Node) becomeLeader() {
	n.role, n.leader = Leader, n.cfg.ID
	n.elapsed, n.heartbeat = 0, 0
	n.votes = nil
	n.progress = make(map[uint64]*progress)
	n.syncProgress()
	n.appendAsLeader(Entry{Kind: EntryEmpty})
	n.broadcastAppend()
}

// hasActiveQuorum tells whether a majority answered since the last check.
func (n *Node) hasActiveQuorum() bool {
	ok := n.hasQuorum(func(m Member) bool {
		return n.isSelf(m) || n.progress[m.ID].active
	})
	for _, p := range n.progress {
		p.recent = p.active
		p.active = false
	}
	return ok
}

func (n *Node) committedInTerm() bool {
	term, _ := n.log.term(n.log.commit)
	return term == n.state.Term
}

// maybeCommit commits the greatest index that a majority holds durably and
// that is of the present term.
func (n *Node) maybeCommit() {
	members := n.log.members()
	var durable []uint64
	for _, m := range members {
		if m.Learner {
			continue
		}
		if n.isSelf(m) {
			durable = append(durable, n.log.stable)
			continue
		}
		durable = append(durable, n.progress[m.ID].match)
	}
	slices.Sort(durable)
	index := durable[len(durable)-majority(members)]
	if index <= n.log.commit || !n.log.matches(index, n.state.Term) {
		return
	}
	n.log.commit = index
	n.startWaitingReads()
	n.broadcastAppend()
	if !n.isVoter() && n.log.changes[len(n.log.changes)-1].index <= n.log.commit {
		n.becomeFollower(n.state.Term, 0)
	}
}
