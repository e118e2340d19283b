package core

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/replica"
)

const longSilence = 10 * time.Second

func voter(id uint64, dataCentre string) memberState {
	return memberState{id: id, dataCentre: dataCentre, caughtUp: true}
}
func learner(id uint64, dataCentre string) memberState {
	return memberState{id: id, dataCentre: dataCentre, caughtUp: true, learner: true}
}

func silent(m memberState) memberState {
	m.silent, m.caughtUp = longSilence, false
	return m
}

func asSelf(m memberState) memberState {
	m.self = true
	return m
}

func leaving(m memberState) memberState {
	m.leaving = true
	return m
}

func notCaughtUp(m memberState) memberState {
	m.caughtUp = false
	return m
}

// Guards against a core that does not replace a lost voter, loses its quorum by a
// premature demotion, or puts its voters into one data centre.
func TestPlanMembership(t *testing.T) {
	lost := learner(9, "d")
	lost.silent, lost.caughtUp = learnerSilenceLimit+time.Second, false
	for _, c := range []struct {
		name    string
		members []memberState
		voters  int
		want    replica.Action // 0: no change
		id      uint64
	}{
		{"complete", []memberState{asSelf(voter(1, "a")), voter(2, "b"), voter(3, "c"), learner(4, "d")}, 3, 0, 0},
		{"one too few", []memberState{asSelf(voter(1, "a")), voter(2, "b"), learner(3, "c")}, 3, replica.PromoteLearner, 3},
		{"learner that has not caught up", []memberState{asSelf(voter(1, "a")), voter(2, "b"), notCaughtUp(learner(3, "c"))}, 3, 0, 0},
		{"learner that is silent", []memberState{asSelf(voter(1, "a")), voter(2, "b"), silent(learner(3, "c"))}, 3, 0, 0},
		{"spread over data centres", []memberState{asSelf(voter(1, "a")), voter(2, "b"), voter(3, "b"), learner(4, "b"), learner(5, "c")}, 5, replica.PromoteLearner, 5},
		{"silent voter is replaced before it is demoted", []memberState{asSelf(voter(1, "a")), voter(2, "b"), silent(voter(3, "c")), learner(4, "d")}, 3, replica.PromoteLearner, 4},
		{"silent voter without a replacement keeps its vote", []memberState{asSelf(voter(1, "a")), voter(2, "b"), silent(voter(3, "c"))}, 3, 0, 0},
		{"replaced voter is demoted", []memberState{asSelf(voter(1, "a")), voter(2, "b"), silent(voter(3, "c")), voter(4, "d")}, 3, replica.DemoteVoter, 3},
		{"one voter too many, none has responded to a new leader", []memberState{asSelf(voter(1, "a")), notCaughtUp(voter(2, "b")), voter(3, "c"), voter(4, "c")}, 3, 0, 0},
		{"voter that shuts down", []memberState{asSelf(voter(1, "a")), voter(2, "b"), leaving(voter(3, "c")), learner(4, "d")}, 3, replica.PromoteLearner, 4},
		{"voter that shuts down without a replacement", []memberState{asSelf(voter(1, "a")), voter(2, "b"), leaving(voter(3, "c")), leaving(learner(4, "d"))}, 3, 0, 0},
		{"leader that shuts down was replaced", []memberState{asSelf(leaving(voter(1, "a"))), voter(2, "b"), voter(3, "c"), voter(4, "d")}, 3, replica.DemoteVoter, 1},
		{"leader that shuts down demotes a silent voter first", []memberState{asSelf(leaving(voter(1, "a"))), voter(2, "b"), silent(voter(3, "c")), voter(4, "d")}, 3, replica.DemoteVoter, 3},
		{"voter that came back in between", []memberState{asSelf(voter(1, "a")), voter(2, "b"), voter(3, "c"), voter(4, "c")}, 3, replica.DemoteVoter, 3},
		{"learner that is gone for good", []memberState{asSelf(voter(1, "a")), voter(2, "b"), voter(3, "c"), lost}, 3, replica.RemoveMember, 9},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, ok := planMembership(c.members, c.voters)
			assert.Equal(t, ok, c.want != 0)
			assert.Equal(t, s.action, c.want)
			assert.Equal(t, s.id, c.id)
		})
	}
}

// Guards against two hosts with the same id.
func TestID(t *testing.T) {
	a, err := ID("10.1.0.3:7400")
	assert.NilError(t, err)
	b, err := ID("10.1.0.4:7400")
	assert.NilError(t, err)
	c, err := ID("10.1.0.3:7401")
	assert.NilError(t, err)
	assert.Assert(t, a != b && a != c && b != c)
	_, err = ID("here:1")
	assert.Assert(t, err != nil)
}
