package raft

import "slices"

// isSelf reports whether m is this node. A member with the same ID and another
// identity belongs to another disk of this host.
func (n *Node) isSelf(m Member) bool {
	return m.ID == n.cfg.ID && m.Identity == n.cfg.Identity
}

// isVoter reports whether this node is a voter in the latest membership. It is
// not if it is a learner, no member, or a member with another identity.
func (n *Node) isVoter() bool {
	return n.isVoterIn(n.log.members())
}

func (n *Node) isVoterIn(members []Member) bool {
	m, ok := findMember(members, n.cfg.ID)
	return ok && n.isSelf(m) && !m.Learner
}

// canCampaign reports whether this node may start an election: it is a voter, or
// was one before an uncommitted membership change. In the second case it may be
// the only node whose log is up to date enough to win.
func (n *Node) canCampaign() bool {
	memberships := n.log.memberships
	last := len(memberships) - 1
	pending := last > 0 && memberships[last].index > n.log.commitIndex
	return n.isVoter() || pending && n.isVoterIn(memberships[last-1].members)
}

// electionDelay returns the ticks without a leader after which this node starts an election. A
// host that was demoted does not know after a restart that this is committed, and would be
// elected only to step down, so the voters of the latest membership come first.
func (n *Node) electionDelay() int {
	if n.isVoter() {
		return n.electionTimeout
	}
	return 2 * n.electionTimeout
}

// quorumSize returns the number of voters that form a majority.
func quorumSize(members []Member) int {
	voters := 0
	for _, m := range members {
		if !m.Learner {
			voters++
		}
	}
	return voters/2 + 1
}

// hasQuorum reports whether predicate is true for a majority of the voters.
func (n *Node) hasQuorum(predicate func(Member) bool) bool {
	members := n.log.members()
	count := 0
	for _, m := range members {
		if !m.Learner && predicate(m) {
			count++
		}
	}
	return count >= quorumSize(members)
}

// Campaign starts an election without waiting for the election timeout, for
// example in a group with a single voter.
func (n *Node) Campaign() {
	if n.role != Leader && n.canCampaign() {
		n.startPreVote()
	}
}

// startPreVote starts a pre-vote. The term is raised only after a majority would
// grant its vote, so that a host that returns from a long partition does not
// depose the leader.
func (n *Node) startPreVote() {
	n.role, n.leaderID = PreCandidate, 0
	n.resetVotes()
	if n.hasVoteQuorum() {
		n.startElection()
		return
	}
	n.requestVotes(MsgPreVote, n.hardState.Term+1)
}

// startElection raises the term, votes for itself and requests votes.
func (n *Node) startElection() {
	n.role, n.leaderID = Candidate, 0
	n.hardState = HardState{Term: n.hardState.Term + 1, Vote: n.cfg.Identity}
	n.resetVotes()
	if n.hasVoteQuorum() {
		n.becomeLeader()
		return
	}
	n.requestVotes(MsgVote, n.hardState.Term)
}

func (n *Node) resetVotes() {
	n.grantedVotes = make(map[uint64]bool)
	n.electionElapsed = 0
	n.electionTimeout = n.retryTimeout()
}

// retryTimeout returns the ticks after which a candidate tries again, chosen at random from
// the second half of ElectionTicks. A first try fails without a fault if the other voters
// heard the leader a little later; the pre-vote keeps further ones from disturbing a leader.
func (n *Node) retryTimeout() int {
	least := n.cfg.ElectionTicks/2 + 1
	return least + n.cfg.Rand(n.cfg.ElectionTicks+1-least)
}

func (n *Node) hasVoteQuorum() bool {
	return n.hasQuorum(func(m Member) bool { return n.isSelf(m) || n.grantedVotes[m.ID] })
}

func (n *Node) requestVotes(kind MessageKind, term uint64) {
	for _, m := range n.log.members() {
		if n.isSelf(m) || m.Learner {
			continue
		}
		n.send(m, Message{Kind: kind, Term: term, Index: n.log.last(), LogTerm: n.log.lastTerm()})
	}
}

// handleVoteRequest handles pre-vote requests of any term and vote requests of
// the current term. The candidate need not be a member in this node's
// membership, which may be older than the candidate's.
func (n *Node) handleVoteRequest(m Message) {
	if n.hasRecentLeaderContact() {
		return
	}
	kind, term := MsgVoteResponse, n.hardState.Term
	granted := n.hardState.Vote == 0 || n.hardState.Vote == m.FromIdentity
	if m.Kind == MsgPreVote {
		kind = MsgPreVoteResponse
		granted = m.Term > n.hardState.Term
	}
	granted = granted && n.isLogUpToDate(m.Index, m.LogTerm)
	if granted && m.Kind == MsgPreVote {
		term = m.Term
		n.yieldTo(m.From)
	}
	if granted && m.Kind == MsgVote {
		n.hardState.Vote = m.FromIdentity
		n.electionElapsed = 0
	}
	n.respond(m, Message{Kind: kind, Term: term, Reject: !granted})
}

// yieldTo ends the own pre-vote for one of a member with a higher ID. Two members that become
// candidates at the same time would both vote for themselves, again and again if their clocks
// tick together.
func (n *Node) yieldTo(id uint64) {
	if n.role == PreCandidate && id > n.cfg.ID {
		n.role = Follower
		n.resetVotes()
	}
}

// isLogUpToDate reports whether a log that ends with this index and term is at
// least as up to date as this node's log.
func (n *Node) isLogUpToDate(index, term uint64) bool {
	last := n.log.lastTerm()
	return term > last || term == last && index >= n.log.last()
}

func (n *Node) handleVoteResponse(m Message) {
	switch {
	case m.Reject:
		return
	case m.Kind == MsgPreVoteResponse && n.role == PreCandidate && m.Term == n.hardState.Term+1:
		n.grantedVotes[m.From] = true
		if n.hasVoteQuorum() {
			n.startElection()
		}
	case m.Kind == MsgVoteResponse && n.role == Candidate:
		n.grantedVotes[m.From] = true
		if n.hasVoteQuorum() {
			n.becomeLeader()
		}
	}
}

// becomeLeader makes the node leader and appends a no-op entry, because entries
// of earlier terms are committed only through an entry of the leader's own term.
func (n *Node) becomeLeader() {
	n.role, n.leaderID = Leader, n.cfg.ID
	n.electionElapsed, n.heartbeatElapsed = 0, 0
	n.grantedVotes = nil
	n.progress = make(map[uint64]*progress)
	n.rebuildProgress()
	n.appendAsLeader(Entry{Kind: EntryNoOp})
	n.commitAtCheck, n.commitAtPreviousCheck = n.log.last(), n.log.last()
	n.broadcastAppend()
}

// checkQuorumActive reports whether a majority responded since the last check
// and starts a new interval.
func (n *Node) checkQuorumActive() bool {
	ok := n.hasQuorum(func(m Member) bool {
		return n.isSelf(m) || n.progress[m.ID].activeThisInterval
	})
	for _, p := range n.progress {
		p.activeLastInterval = p.activeThisInterval
		p.activeThisInterval = false
	}
	n.commitAtPreviousCheck, n.commitAtCheck = n.commitAtCheck, max(n.commitAtCheck, n.log.commitIndex)
	return ok
}

// hasCommittedInTerm reports whether the entry at the commit index is of the
// current term.
func (n *Node) hasCommittedInTerm() bool {
	term, _ := n.log.term(n.log.commitIndex)
	return term == n.hardState.Term
}

// advanceCommitIndex sets the commit index to the greatest index that is durable
// on a majority, if its entry is of the current term. A leader that is no longer
// a voter steps down once the membership change is committed.
func (n *Node) advanceCommitIndex() {
	members := n.log.members()
	var voterMatchIndexes []uint64
	for _, m := range members {
		if m.Learner {
			continue
		}
		if n.isSelf(m) {
			voterMatchIndexes = append(voterMatchIndexes, n.log.durableIndex)
			continue
		}
		voterMatchIndexes = append(voterMatchIndexes, n.progress[m.ID].matchIndex)
	}
	slices.Sort(voterMatchIndexes)
	index := voterMatchIndexes[len(voterMatchIndexes)-quorumSize(members)]
	if index <= n.log.commitIndex || !n.log.matchesTerm(index, n.hardState.Term) {
		return
	}
	n.log.commitIndex = index
	n.startDeferredReads()
	n.broadcastAppend()
	if !n.isVoter() && !n.isMembershipPending() {
		n.becomeFollower(n.hardState.Term, 0)
	}
}
