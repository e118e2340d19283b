package raft

import (
	"fmt"
	"os"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

const (
	// fullRounds is how long a disk is full, two of the longest election timeouts: 3.6 s
	// with the timing of a core host.
	fullRounds = 2 * 2 * simElectionTicks
	// trafficRounds is the interval of commands while a disk is full.
	trafficRounds = 3
	// ciOrders is how many orders of five disks run in CI. All 120 and all kinds of full
	// disks run if JACKDAWTRACK_SOAK_SEEDS is set.
	ciOrders = 3
	// sparseLogChecks keeps the many runs short. The number is prime, so that each host
	// is checked in turn.
	sparseLogChecks = 61
	// maxRoundsToCommit bounds the rounds from the end of the last fault to the next
	// committed command, five of the longest election timeouts: 9 s with the timing of a
	// core host.
	maxRoundsToCommit = 5 * 2 * simElectionTicks
)

// fullDiskEvent is what happens while the disk of full has no space.
type fullDiskEvent func(s *sim, full *host)

var fullDiskEvents = map[string]fullDiskEvent{
	"nothing else": func(*sim, *host) {},
	// The full host misses more than the leader keeps, so it needs the snapshot, and the
	// install fails.
	"snapshot": func(s *sim, _ *host) {
		for _, id := range s.hostIDs {
			s.compact(s.hosts[id])
		}
	},
	"kill of the full host":  func(s *sim, full *host) { s.crashHost(full); s.startHost(full) },
	"kill of the leader":     func(s *sim, _ *host) { s.restartRunning(s.leader()) },
	"kill of another host":   func(s *sim, full *host) { s.restartRunning(s.follower(full)) },
	"change of the members":  func(s *sim, full *host) { s.toggleLearner(s.follower(full)) },
	"change of the full one": func(s *sim, full *host) { s.toggleLearner(full) },
	"snapshot and kill": func(s *sim, full *host) {
		for _, id := range s.hostIDs {
			s.compact(s.hosts[id])
		}
		s.restartRunning(s.follower(full))
	},
}

// follower returns a host that is neither full nor the leader, nil if there is none.
func (s *sim) follower(full *host) *host {
	l := s.leader()
	if l == nil {
		l = full
	}
	return s.hostExcept(full, l)
}

func (s *sim) restartRunning(h *host) {
	if h != nil {
		s.crashHost(h)
		s.startHost(h)
	}
}

// toggleLearner makes a voter a learner if there is none, or else the learner a voter, if
// there is a leader that accepts it.
func (s *sim) toggleLearner(h *host) {
	l := s.leader()
	if l == nil || h == nil {
		return
	}
	kind, id := DemoteVoter, h.id
	for _, m := range l.node.log.members() {
		if m.Learner {
			kind, id = PromoteLearner, m.ID
		}
	}
	l.node.ProposeMembershipChange(kind, Member{ID: id})
	s.processReady(l, noCrash)
}

// fillDisk leaves the disk of a host without space for fullRounds. With traffic, the
// leader is offered a command each trafficRounds, else only in the first round.
func (s *sim) fillDisk(h *host, traffic bool, during fullDiskEvent) {
	h.diskFull = true
	for round := range fullRounds {
		if l := s.leader(); l != nil && (round == 0 || traffic && round%trafficRounds == 0) {
			s.propose(l)
			s.processReady(l, noCrash)
		}
		if round == fullRounds/2 {
			during(s, h)
		}
		s.runRounds(1)
	}
	h.diskFull = false
}

// roundsToCommit offers a command to the leader in each round until one is committed, and
// returns the number of rounds.
func (s *sim) roundsToCommit(t *testing.T) int {
	first := s.lastCommand
	for round := range maxRoundsToCommit {
		if l := s.leader(); l != nil {
			s.propose(l)
			s.processReady(l, noCrash)
		}
		s.runRounds(1)
		for _, id := range s.hostIDs {
			if a := s.hosts[id].applied; len(a) > 0 && a[len(a)-1] > first {
				return round + 1
			}
		}
	}
	t.Fatalf("no command was committed in %d rounds\n%s", maxRoundsToCommit, s.describe())
	return 0
}

func runsAllOrders() bool { return os.Getenv("JACKDAWTRACK_SOAK_SEEDS") != "" }

// permutations returns all orders of the numbers.
func permutations(numbers []uint64) [][]uint64 {
	if len(numbers) == 0 {
		return [][]uint64{nil}
	}
	var out [][]uint64
	for i, n := range numbers {
		rest := slices.Concat(numbers[:i:i], numbers[i+1:])
		for _, p := range permutations(rest) {
			out = append(out, append([]uint64{n}, p...))
		}
	}
	return out
}

// Guards against a group that commits nothing after the disks of its members were full
// one after another, in any order, with traffic or without, also if small writes still
// fit on a full disk, and beside snapshots, kills and changes of the membership.
func TestGroupCommitsAfterFullDisksInAnyOrder(t *testing.T) {
	for _, size := range []int{3, 5} {
		for name, during := range fullDiskEvents {
			for _, traffic := range []bool{true, false} {
				for _, stateFits := range []bool{false, true} {
					if size == 5 && stateFits != traffic && !runsAllOrders() {
						continue
					}
					t.Run(fmt.Sprintf("%d members/%s/traffic %t/state fits %t", size, name, traffic, stateFits), func(t *testing.T) {
						worst := 0
						first, _ := newSimWithLeader(t, size)
						for i, order := range permutations(first.hostIDs) {
							if size == 5 && i%(120/ciOrders) != 0 && !runsAllOrders() {
								continue
							}
							s, _ := newSimWithLeader(t, size)
							s.logCheckInterval = sparseLogChecks
							for _, id := range order {
								s.hosts[id].stateFits = stateFits
								s.fillDisk(s.hosts[id], traffic, during)
							}
							worst = max(worst, s.roundsToCommit(t))
							s.healAndRun(maxRoundsToCommit)
							assert.NilError(t, s.violation, "order %v", order)
							for _, m := range s.leader().node.log.members() {
								h := s.hosts[m.ID]
								assert.Equal(t, h.applied[len(h.applied)-1], s.lastCommand, "host %d, order %v\n%s", h.id, order, s.describe())
							}
						}
						t.Logf("at most %d rounds", worst)
					})
				}
			}
		}
	}
}

// Guards against the same if the disk that fills is always that of the leader.
func TestGroupCommitsAfterFullDisksOfLeaders(t *testing.T) {
	for _, size := range []int{1, 3, 5} {
		for name, during := range fullDiskEvents {
			t.Run(fmt.Sprintf("%d members/%s", size, name), func(t *testing.T) {
				s, _ := newSimWithLeader(t, size)
				s.logCheckInterval = sparseLogChecks
				worst := 0
				for range 20 {
					if l := s.leader(); l != nil {
						s.fillDisk(l, true, during)
					}
					worst = max(worst, s.roundsToCommit(t))
				}
				assert.NilError(t, s.violation)
				t.Logf("at most %d rounds", worst)
			})
		}
	}
}

// Guards against a host with a full disk that cannot pass calls on, because it forgets the
// leader with each write that fails: a follower, and one that gave up the lead and cannot
// write the term of the next leader.
func TestHostWithFullDiskKnowsTheLeader(t *testing.T) {
	s, full := newSimWithLeader(t, 3)
	for range 2 {
		full.diskFull = true
		s.propose(full)
		s.processReady(full, noCrash)
		s.runRounds(maxRoundsToCommit)
		l := s.leader()
		assert.Assert(t, l != nil && l != full)
		for range maxRoundsToCommit {
			s.propose(l)
			s.processReady(l, noCrash)
			s.runRounds(1)
			assert.Equal(t, full.node.Status().Leader, l.id)
		}
		full.diskFull = false
		s.runRounds(maxRoundsToCommit)
		full = l
	}
	assert.NilError(t, s.violation)
}
