package raft

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"
)

const namedSeed = 7

func settled(t *testing.T, size int) (*sim, *host) {
	s := newSim(size, namedSeed)
	s.settle(30)
	l := s.leader()
	assert.Assert(t, l != nil)
	for range 10 {
		s.propose(l)
	}
	s.run(20)
	assert.Equal(t, len(l.applied), 10)
	return s, l
}

func (s *sim) other(not ...*host) *host {
next:
	for _, id := range s.ids {
		for _, h := range not {
			if h.id == id {
				continue next
			}
		}
		return s.hosts[id]
	}
	return nil
}

// repairAll replaces the wiped host and promotes it as early as allowed.
func (s *sim) repairAll(t *testing.T, h *host) {
	m := Member{ID: h.id, Identity: h.identity, Address: "new"}
	_, _, err := s.leader().node.ProposeMembership(AddLearner, m)
	assert.NilError(t, err)
	for range 100 {
		s.run(1)
		index, _, err := s.leader().node.ProposeMembership(Promote, m)
		if err != nil {
			assert.Assert(t, errors.Is(err, ErrNotCaughtUp) || errors.Is(err, ErrPending), "%v", err)
			continue
		}
		for uint64(len(s.committed)) < index {
			s.run(1)
		}
		return
	}
	t.Fatal("the learner was not promoted")
}

// Guards against a host that deposes the leader when it returns after a long
// partition (F5).
func TestReturningHostDoesNotDisturbLeader(t *testing.T) {
	s, l := settled(t, 3)
	term := l.node.state.Term
	away := s.other(l)
	for _, id := range s.ids {
		s.cut[[2]uint64{away.id, id}], s.cut[[2]uint64{id, away.id}] = true, true
	}
	for range 150 {
		s.propose(l)
		s.run(1)
	}
	clear(s.cut)
	s.run(400)
	assert.NilError(t, s.fault)
	assert.Assert(t, s.leader() == l)
	assert.Equal(t, l.node.state.Term, term)
	assert.Equal(t, len(away.applied), len(l.applied))
}

// Guards against lost entries when a second host is lost right after the
// repair of the first one (F7).
func TestSecondHostLostRightAfterRepair(t *testing.T) {
	s, l := settled(t, 3)
	first := s.other(l)
	second := s.other(l, first)
	s.compact(l)
	s.wipe(first)
	s.repairAll(t, first)
	s.crash(second)
	s.crash(l)
	s.start(l)
	s.run(100)
	assert.NilError(t, s.fault)
	assert.Assert(t, s.leader() != nil)
	assert.Equal(t, len(first.applied), 10)
	assert.Equal(t, len(l.applied), 10)
}

// Guards against a wiped disk that votes under the old identity: host 1 alone
// and a wiped host are no majority of three.
func TestWipedDiskDoesNotVote(t *testing.T) {
	s, l := settled(t, 3)
	wiped := s.other(l)
	s.crash(s.other(l, wiped))
	s.wipe(wiped)
	s.propose(l)
	s.run(2)
	s.crash(l)
	s.start(l)
	s.run(200)
	assert.Assert(t, s.leader() == nil, "a leader was elected by a wiped disk")
	assert.Assert(t, wiped.node.IsNew())
}

// Guards against a vote for a learner that does not hold the committed
// entries, and against two membership changes at a time.
func TestPromotionNeedsDurableCatchUp(t *testing.T) {
	s, l := settled(t, 3)
	gone := s.other(l)
	s.wipe(gone)
	m := Member{ID: gone.id, Identity: gone.identity, Address: "new"}
	_, _, err := l.node.ProposeMembership(AddLearner, m)
	assert.NilError(t, err)
	_, _, err = l.node.ProposeMembership(Promote, m)
	assert.Equal(t, err, ErrPending)
	s.run(50)
	// With a full disk the learner answers heartbeats but stores nothing.
	gone.noSpace = true
	s.propose(l)
	s.run(10)
	assert.Equal(t, len(l.applied), 11)
	_, _, err = l.node.ProposeMembership(Promote, m)
	assert.Equal(t, err, ErrNotCaughtUp)
	gone.noSpace = false
	s.run(10)
	_, _, err = l.node.ProposeMembership(Promote, m)
	assert.NilError(t, err)
}

// Guards against a group that stays without a leader after the leader's
// uncommitted removal: host 1 needs the vote of the removed host 2, whose log
// is longer (found by TestFiveMembersUnderFaults, seed 20260102).
func TestRemovedLeaderWithLongerLog(t *testing.T) {
	s, l := settled(t, 2)
	_, _, err := l.node.ProposeMembership(Remove, Member{ID: l.id})
	assert.NilError(t, err)
	s.ready(l, afterSync)
	s.start(l)
	s.run(100)
	assert.NilError(t, s.fault)
	assert.Assert(t, s.leader() == s.other(l), "%s", s.describe())
}

var threeMembers = []Member{{ID: 1, Identity: 11}, {ID: 2, Identity: 12}, {ID: 3, Identity: 13}}

// newHostOne returns host 1 of three members with the entries after the first.
func newHostOne(term uint64, entries ...Entry) *Node {
	return New(Config{
		ID: 1, Identity: 11, ElectionTicks: 10, HeartbeatTicks: 1, Rand: func(int) int { return 0 },
		State: HardState{Term: term}, Entries: append([]Entry{FoundingEntry(threeMembers)}, entries...),
	})
}

func (n *Node) stepFrom(id, identity, term uint64, m Message) {
	m.From, m.FromIdentity, m.To, m.ToIdentity, m.Term = id, identity, 1, 11, term
	n.Step(m)
}

// leadingHostOne is the leader of term 3. Its last entry of an earlier term
// has the index 2.
func leadingHostOne(t *testing.T) *Node {
	n := newHostOne(2, Entry{Index: 2, Term: 2})
	n.Campaign()
	n.stepFrom(2, 12, 3, Message{Kind: MsgPreVoteAnswer})
	n.stepFrom(2, 12, 3, Message{Kind: MsgVoteAnswer})
	n.Advance()
	assert.Equal(t, n.role, Leader)
	return n
}

// Guards against late answers of a lost disk that count for the new disk of
// the same host.
func TestAnswersOfLostDiskDoNotCount(t *testing.T) {
	n := leadingHostOne(t)
	n.stepFrom(2, 12, 3, Message{Kind: MsgAppendAnswer, Index: 3})
	index, _, err := n.ProposeMembership(AddLearner, Member{ID: 2, Identity: 99, Address: "new"})
	assert.NilError(t, err)
	n.stepFrom(2, 12, 3, Message{Kind: MsgAppendAnswer, Index: index})
	assert.Equal(t, n.Status().Match[2], uint64(0))
}

// Guards against an entry of an earlier term that counts as committed because
// a majority holds it: a leader of a term in between may still replace it.
func TestEntryOfEarlierTermIsNotCommittedAlone(t *testing.T) {
	n := leadingHostOne(t)
	n.stepFrom(2, 12, 3, Message{Kind: MsgAppendAnswer, Index: 2})
	assert.Equal(t, n.log.commit, uint64(0))
	n.stepFrom(2, 12, 3, Message{Kind: MsgAppendAnswer, Index: 3})
	assert.Equal(t, n.log.commit, uint64(3))
}

// Guards against a follower that commits an old entry behind those that an
// append has compared with the leader's.
func TestFollowerCommitsOnlyWhatMatches(t *testing.T) {
	n := newHostOne(2, Entry{Index: 2, Term: 1}, Entry{Index: 3, Term: 2})
	n.stepFrom(2, 12, 4, Message{Kind: MsgAppend, Index: 1, LogTerm: 1, Entries: []Entry{{Index: 2, Term: 1}}, Commit: 3})
	assert.Equal(t, n.log.commit, uint64(2))
}

// Guards against two votes in one term, through a vote that is sent before it
// is durable or through the old disk of a host that was replaced.
func TestVoteIsDurableAndForOneIdentity(t *testing.T) {
	n := newHostOne(5)
	n.stepFrom(3, 13, 5, Message{Kind: MsgVote, Index: 1, LogTerm: 1})
	r := n.Ready()
	assert.Assert(t, r.State != nil && *r.State == HardState{Term: 5, Vote: 13})
	assert.Assert(t, !r.Messages[0].Reject)
	n.Advance()
	n.stepFrom(3, 99, 5, Message{Kind: MsgVote, Index: 1, LogTerm: 1})
	assert.Assert(t, n.Ready().Messages[0].Reject)
}
