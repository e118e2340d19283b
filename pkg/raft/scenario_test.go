package raft

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"
)

const scenarioSeed = 7

// newSimWithLeader returns a group with an elected leader, which is also
// returned, and 10 applied commands.
func newSimWithLeader(t *testing.T, size int) (*sim, *host) {
	s := newSim(size, scenarioSeed)
	s.healAndRun(30)
	l := s.leader()
	assert.Assert(t, l != nil)
	for range 10 {
		s.propose(l)
	}
	s.runRounds(20)
	assert.Equal(t, len(l.applied), 10)
	return s, l
}

// hostExcept returns the host with the lowest ID that is not excluded.
func (s *sim) hostExcept(excluded ...*host) *host {
next:
	for _, id := range s.hostIDs {
		for _, h := range excluded {
			if h.id == id {
				continue next
			}
		}
		return s.hosts[id]
	}
	return nil
}

// replaceWipedHost adds the wiped host as a learner under its new identity and
// promotes it as soon as the leader allows.
func (s *sim) replaceWipedHost(t *testing.T, h *host) {
	m := Member{ID: h.id, Identity: h.identity, Address: "new"}
	_, _, err := s.leader().node.ProposeMembershipChange(AddLearner, m)
	assert.NilError(t, err)
	for range 100 {
		s.runRounds(1)
		index, _, err := s.leader().node.ProposeMembershipChange(PromoteLearner, m)
		if err != nil {
			assert.Assert(t, errors.Is(err, ErrNotCaughtUp) || errors.Is(err, ErrChangePending), "%v", err)
			continue
		}
		for uint64(len(s.committed)) < index {
			s.runRounds(1)
		}
		return
	}
	t.Fatal("the learner was not promoted")
}

// A host that returns from a long partition must not depose the leader. Without
// pre-vote, its raised term would (F5).
func TestReturningHostDoesNotDisturbLeader(t *testing.T) {
	s, l := newSimWithLeader(t, 3)
	term := l.node.hardState.Term
	isolated := s.hostExcept(l)
	for _, id := range s.hostIDs {
		s.blockedLinks[[2]uint64{isolated.id, id}], s.blockedLinks[[2]uint64{id, isolated.id}] = true, true
	}
	for range 150 {
		s.propose(l)
		s.runRounds(1)
	}
	clear(s.blockedLinks)
	s.runRounds(400)
	assert.NilError(t, s.violation)
	assert.Assert(t, s.leader() == l)
	assert.Equal(t, l.node.hardState.Term, term)
	assert.Equal(t, len(isolated.applied), len(l.applied))
}

// A replaced host must hold all committed entries by the time it is promoted: if
// a second host is lost right after the promotion, no entry may be missing (F7).
func TestSecondHostLostRightAfterRepair(t *testing.T) {
	s, l := newSimWithLeader(t, 3)
	first := s.hostExcept(l)
	second := s.hostExcept(l, first)
	s.compact(l)
	s.wipe(first)
	s.replaceWipedHost(t, first)
	s.crashHost(second)
	s.crashHost(l)
	s.startHost(l)
	s.runRounds(100)
	assert.NilError(t, s.violation)
	assert.Assert(t, s.leader() != nil)
	assert.Equal(t, len(first.applied), 10)
	assert.Equal(t, len(l.applied), 10)
}

// A host with a wiped disk must not vote under its old identity. One intact host
// of three and a wiped one are not a majority.
func TestWipedDiskDoesNotVote(t *testing.T) {
	s, l := newSimWithLeader(t, 3)
	wiped := s.hostExcept(l)
	s.crashHost(s.hostExcept(l, wiped))
	s.wipe(wiped)
	s.propose(l)
	s.runRounds(2)
	s.crashHost(l)
	s.startHost(l)
	s.runRounds(200)
	assert.Assert(t, s.leader() == nil, "a leader was elected with the vote of a wiped host")
	assert.Assert(t, wiped.node.IsNew())
}

// A learner must not be promoted before it holds durably what was committed two quorum checks
// ago, and a second membership change must wait until the first is committed.
func TestPromotionNeedsDurableCatchUp(t *testing.T) {
	s, l := newSimWithLeader(t, 3)
	wiped := s.hostExcept(l)
	s.wipe(wiped)
	m := Member{ID: wiped.id, Identity: wiped.identity, Address: "new"}
	_, _, err := l.node.ProposeMembershipChange(AddLearner, m)
	assert.NilError(t, err)
	_, _, err = l.node.ProposeMembershipChange(PromoteLearner, m)
	assert.Equal(t, err, ErrChangePending)
	s.runRounds(50)
	// With a full disk, the learner responds to heartbeats but stores nothing.
	wiped.diskFull = true
	s.propose(l)
	s.runRounds(10)
	assert.Equal(t, len(l.applied), 11)
	_, _, err = l.node.ProposeMembershipChange(PromoteLearner, m)
	assert.Equal(t, err, ErrNotCaughtUp)
	wiped.diskFull = false
	s.runRounds(10)
	_, _, err = l.node.ProposeMembershipChange(PromoteLearner, m)
	assert.NilError(t, err)
}

// A group must elect a leader after the uncommitted removal of its leader.
// The remaining host cannot win, because the log of the removed host is longer;
// so the removed host must still be allowed to campaign. Found by
// TestFiveMembersUnderFaults with seed 20260102.
func TestRemovedLeaderWithLongerLog(t *testing.T) {
	s, l := newSimWithLeader(t, 2)
	_, _, err := l.node.ProposeMembershipChange(RemoveMember, Member{ID: l.id})
	assert.NilError(t, err)
	s.processReady(l, afterSync)
	s.startHost(l)
	s.runRounds(100)
	assert.NilError(t, s.violation)
	assert.Assert(t, s.leader() == s.hostExcept(l), "%s", s.describe())
}

var threeMembers = []Member{{ID: 1, Identity: 11}, {ID: 2, Identity: 12}, {ID: 3, Identity: 13}}

// newTestNode returns node 1 of threeMembers. Its log holds the bootstrap entry
// and the given ones.
func newTestNode(term uint64, entries ...Entry) *Node {
	return New(Config{
		ID: 1, Identity: 11, ElectionTicks: 10, HeartbeatTicks: 1, Rand: func(int) int { return 0 },
		State: HardState{Term: term}, Entries: append([]Entry{BootstrapEntry(threeMembers)}, entries...),
	})
}

// stepFrom delivers m to node 1 with this sender and term.
func (n *Node) stepFrom(id, identity, term uint64, m Message) {
	m.From, m.FromIdentity, m.To, m.ToIdentity, m.Term = id, identity, 1, 11, term
	n.Step(m)
}

// newTestLeader returns node 1 as the leader of term 3. Its last entry of an
// earlier term has index 2.
func newTestLeader(t *testing.T) *Node {
	n := newTestNode(2, Entry{Index: 2, Term: 2})
	n.Campaign()
	n.stepFrom(2, 12, 3, Message{Kind: MsgPreVoteResponse})
	n.stepFrom(2, 12, 3, Message{Kind: MsgVoteResponse})
	n.Advance()
	assert.Equal(t, n.role, Leader)
	return n
}

// A late response of a lost disk must not count for the new disk of the same
// host.
func TestAnswersOfLostDiskDoNotCount(t *testing.T) {
	n := newTestLeader(t)
	n.stepFrom(2, 12, 3, Message{Kind: MsgAppendResponse, Index: 3})
	index, _, err := n.ProposeMembershipChange(AddLearner, Member{ID: 2, Identity: 99, Address: "new"})
	assert.NilError(t, err)
	n.stepFrom(2, 12, 3, Message{Kind: MsgAppendResponse, Index: index})
	assert.Equal(t, n.Status().Progress[2].Match, uint64(0))
}

// An entry of an earlier term must not be committed because a majority holds
// it: a leader of a term in between may still overwrite it (Raft paper, figure 8).
func TestEntryOfEarlierTermIsNotCommittedAlone(t *testing.T) {
	n := newTestLeader(t)
	n.stepFrom(2, 12, 3, Message{Kind: MsgAppendResponse, Index: 2})
	assert.Equal(t, n.log.commitIndex, uint64(0))
	n.stepFrom(2, 12, 3, Message{Kind: MsgAppendResponse, Index: 3})
	assert.Equal(t, n.log.commitIndex, uint64(3))
}

// A follower must not raise its commit index past the last entry that an append
// has matched with the leader's log.
func TestFollowerCommitsOnlyWhatMatches(t *testing.T) {
	n := newTestNode(2, Entry{Index: 2, Term: 1}, Entry{Index: 3, Term: 2})
	n.stepFrom(2, 12, 4, Message{Kind: MsgAppend, Index: 1, LogTerm: 1, Entries: []Entry{{Index: 2, Term: 1}}, Commit: 3})
	assert.Equal(t, n.log.commitIndex, uint64(2))
}

// A node must not vote twice in a term: the vote must be durable before it is
// sent, and it must not be given to two identities of one host.
func TestVoteIsDurableAndForOneIdentity(t *testing.T) {
	n := newTestNode(5)
	n.stepFrom(3, 13, 5, Message{Kind: MsgVote, Index: 1, LogTerm: 1})
	r := n.Ready()
	assert.Assert(t, r.State != nil && *r.State == HardState{Term: 5, Vote: 13})
	assert.Assert(t, !r.Messages[0].Reject)
	n.Advance()
	n.stepFrom(3, 99, 5, Message{Kind: MsgVote, Index: 1, LogTerm: 1})
	assert.Assert(t, n.Ready().Messages[0].Reject)
}

// Guards against a leader that cannot give up its vote before it shuts down, and so leaves the
// group with a voter less: without it, the other two still commit.
func TestLeaderDemotesItself(t *testing.T) {
	s, l := newSimWithLeader(t, 4)
	_, _, err := l.node.ProposeMembershipChange(DemoteVoter, Member{ID: l.id})
	assert.NilError(t, err)
	s.processReady(l, noCrash)
	s.runRounds(3)
	assert.Assert(t, l.node.role == Follower && !l.node.isVoter())
	s.crashHost(l)
	s.crashHost(s.hostExcept(l))
	s.runRounds(20 * simElectionTicks)
	s.propose(s.leader())
	s.runRounds(5)
	assert.NilError(t, s.violation)
	assert.Assert(t, len(s.leader().applied) > len(l.applied))
}

// Guards against a shutdown that is announced to the leader and not noticed, or that counts
// for good although the host has come back.
func TestAnnouncedShutdownEnds(t *testing.T) {
	s, l := newSimWithLeader(t, 3)
	h := s.hostExcept(l)
	h.node.Leave()
	s.processReady(h, noCrash)
	s.runRounds(1)
	assert.Assert(t, l.node.Status().Progress[h.id].Leaving)
	s.runRounds(simElectionTicks)
	assert.Assert(t, !l.node.Status().Progress[h.id].Leaving)
}

// Guards against elections that fail again and again because two members whose clocks tick
// together become candidates at the same time and vote for themselves.
func TestTwoCandidatesAtOnceElectALeader(t *testing.T) {
	s, l := newSimWithLeader(t, 3)
	s.crashHost(l)
	a := s.hostExcept(l)
	b := s.hostExcept(l, a)
	s.network = nil
	for _, h := range []*host{a, b} {
		h.node.becomeFollower(h.node.hardState.Term, 0)
		h.node.startPreVote()
		s.processReady(h, noCrash)
	}
	s.runRounds(simElectionTicks + 1)
	assert.Assert(t, s.leader() != nil, "%s", s.describe())
}

// Guards against a second election after a restart of all hosts: a host that was demoted before
// it was elected first, and stepped down once it had committed its demotion.
func TestDemotedHostIsNotElectedAfterARestart(t *testing.T) {
	s, l := newSimWithLeader(t, 4)
	demoted := s.hostExcept(l)
	_, _, err := l.node.ProposeMembershipChange(DemoteVoter, Member{ID: demoted.id})
	assert.NilError(t, err)
	s.processReady(l, noCrash)
	s.runRounds(5)
	assert.Assert(t, !demoted.node.isVoter())
	for _, id := range s.hostIDs {
		s.crashHost(s.hosts[id])
		s.startHost(s.hosts[id])
		s.hosts[id].node.electionTimeout = 2*simElectionTicks - 1
	}
	demoted.node.electionTimeout = simElectionTicks
	for s.leader() == nil {
		s.runRounds(1)
	}
	assert.Assert(t, s.leader() != demoted, "%s", s.describe())
}
