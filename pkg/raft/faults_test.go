package raft

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const (
	ciSeeds        = 60
	ciSteps        = 1500
	firstSeed      = 20260101
	recoveryRounds = 120
)

// seeds returns the number of runs: JACKDAWTRACK_SOAK_SEEDS if it is set, else
// ciSeeds.
func seeds(t *testing.T) int {
	if v := os.Getenv("JACKDAWTRACK_SOAK_SEEDS"); v != "" {
		n, err := strconv.Atoi(v)
		assert.NilError(t, err)
		return n
	}
	return ciSeeds
}

func configureRapid(t *testing.T, seed, checks int) {
	assert.NilError(t, flag.Set("rapid.seed", fmt.Sprint(seed)))
	assert.NilError(t, flag.Set("rapid.checks", fmt.Sprint(checks)))
	assert.NilError(t, flag.Set("rapid.steps", fmt.Sprint(ciSteps)))
	assert.NilError(t, flag.Set("rapid.nofailfile", "true"))
	t.Logf("rapid seed %d, %d runs of about %d steps", seed, checks, ciSteps)
}

// faultScenario is the model that rapid drives with random actions.
type faultScenario struct {
	*sim
	wipedHostID    uint64 // last wiped host, 0 if none
	promotionIndex uint64 // index of the entry that promotes the wiped host again, 0 if not proposed
	hostsLeave     bool   // hosts announce that they shut down, and leaders demote voters, also themselves
}

func (c *faultScenario) drawHost(t *rapid.T) *host {
	return c.hosts[rapid.SampledFrom(c.hostIDs).Draw(t, "host")]
}

func (c *faultScenario) drawRunningHost(t *rapid.T) *host {
	h := c.drawHost(t)
	if h.node == nil {
		t.Skip()
	}
	return h
}

// actions returns the actions by name. Names that differ only in a number give
// an action more weight, so that the group makes progress between faults.
func (c *faultScenario) actions() map[string]func(*rapid.T) {
	actions := map[string]func(*rapid.T){
		"": func(t *rapid.T) {
			c.steps++
			if c.violation != nil {
				t.Fatal(c.violation)
			}
		},
		"tick":      func(t *rapid.T) { h := c.drawRunningHost(t); h.node.Tick(); c.processReady(h, noCrash) },
		"run1":      c.runRandomRounds,
		"run2":      c.runRandomRounds,
		"run3":      c.runRandomRounds,
		"run4":      c.runRandomRounds,
		"run5":      c.runRandomRounds,
		"run6":      c.runRandomRounds,
		"deliver":   func(t *rapid.T) { c.deliverOne(t, false) },
		"deliver20": c.deliverMany,
		"duplicate": func(t *rapid.T) { c.deliverOne(t, true) },
		"lose":      c.loseMessage,
		"cutHost":   c.isolateHost,
		"cutLink": func(t *rapid.T) {
			a, b := c.drawHost(t), c.drawHost(t)
			c.blockedLinks[[2]uint64{a.id, b.id}] = rapid.Bool().Draw(t, "cut")
		},
		"heal1":    func(t *rapid.T) { clear(c.blockedLinks) },
		"heal2":    func(t *rapid.T) { clear(c.blockedLinks) },
		"propose1": func(t *rapid.T) { h := c.drawRunningHost(t); c.propose(h); c.processReady(h, noCrash) },
		"propose2": c.proposeToLeaders,
		"read1":    func(t *rapid.T) { h := c.drawRunningHost(t); c.read(h); c.processReady(h, noCrash) },
		"read2":    c.readFromLeaders,
		"power": func(t *rapid.T) {
			h := c.drawRunningHost(t)
			c.propose(h)
			h.node.Tick()
			c.processReady(h, rapid.SampledFrom([]crashPoint{beforeSync, afterSync, afterSend}).Draw(t, "stop"))
			c.crashHost(h)
		},
		"restart1": c.restartHosts,
		"restart2": c.restartHosts,
		"diskFull": func(t *rapid.T) { h := c.drawHost(t); h.diskFull = rapid.IntRange(0, 3).Draw(t, "full") == 0 },
		"pause":    func(t *rapid.T) { h := c.drawHost(t); h.paused = !h.paused },
		"resume1":  c.resumeHosts,
		"resume2":  c.resumeHosts,
		"resume3":  c.resumeHosts,
		"compact":  func(t *rapid.T) { c.compact(c.drawHost(t)) },
		"wipe":     c.wipeHost,
		"repair1":  c.replaceHost,
		"repair2":  c.replaceHost,
		"member":   c.changeMember,
	}
	if c.hostsLeave {
		actions["leave"] = func(t *rapid.T) { h := c.drawRunningHost(t); h.node.Leave(); c.processReady(h, noCrash) }
		actions["demote"] = c.demoteVoter
	}
	return actions
}

// demoteVoter lets the leader demote a voter that leaves, or any one; it may be the leader
// itself.
func (c *faultScenario) demoteVoter(t *rapid.T) {
	l := c.leader()
	if l == nil || c.wipedHostID != 0 && c.promotionIndex == 0 {
		t.Skip()
	}
	h := c.drawHost(t)
	for id, p := range l.node.Status().Progress {
		if p.Leaving {
			h = c.hosts[id]
		}
	}
	l.node.ProposeMembershipChange(DemoteVoter, Member{ID: h.id})
	c.processReady(l, noCrash)
}

// runRandomRounds runs a random number of rounds under the current faults.
func (c *faultScenario) runRandomRounds(t *rapid.T) {
	c.runRounds(rapid.IntRange(1, 4*simElectionTicks).Draw(t, "rounds"))
}

// forEachLeader calls f for every host in the leader role, including stale
// leaders.
func (c *faultScenario) forEachLeader(t *rapid.T, f func(*host)) {
	some := false
	for _, id := range c.hostIDs {
		if h := c.hosts[id]; h.node != nil && h.node.role == Leader {
			f(h)
			c.processReady(h, noCrash)
			some = true
		}
	}
	if !some {
		t.Skip()
	}
}

func (c *faultScenario) proposeToLeaders(t *rapid.T) { c.forEachLeader(t, c.propose) }
func (c *faultScenario) readFromLeaders(t *rapid.T)  { c.forEachLeader(t, c.read) }

func (c *faultScenario) resumeHosts(*rapid.T) {
	for _, id := range c.hostIDs {
		c.hosts[id].paused = false
	}
}

func (c *faultScenario) restartHosts(*rapid.T) {
	for _, id := range c.hostIDs {
		if h := c.hosts[id]; h.node == nil {
			c.startHost(h)
		}
	}
}

func (c *faultScenario) deliverOne(t *rapid.T, keep bool) {
	if len(c.network) == 0 {
		t.Skip()
	}
	i := rapid.IntRange(0, len(c.network)-1).Draw(t, "message")
	to := c.network[i].To
	c.deliver(i, keep)
	if h := c.hosts[to]; h != nil {
		c.processReady(h, noCrash)
	}
}

func (c *faultScenario) deliverMany(t *rapid.T) {
	for range 20 {
		if len(c.network) == 0 {
			return
		}
		c.deliverOne(t, false)
	}
}

func (c *faultScenario) loseMessage(t *rapid.T) {
	if len(c.network) == 0 {
		t.Skip()
	}
	i := rapid.IntRange(0, len(c.network)-1).Draw(t, "message")
	c.network = append(c.network[:i:i], c.network[i+1:]...)
}

func (c *faultScenario) isolateHost(t *rapid.T) {
	h := c.drawHost(t)
	for _, id := range c.hostIDs {
		c.blockedLinks[[2]uint64{h.id, id}], c.blockedLinks[[2]uint64{id, h.id}] = true, true
	}
}

// wipeHost wipes the disk of a host. The next disk may be lost once the promotion
// of the replaced host is committed; losing more at a time can lose committed
// entries in any majority-based design.
func (c *faultScenario) wipeHost(t *rapid.T) {
	if c.wipedHostID != 0 && (c.promotionIndex == 0 || uint64(len(c.committed)) < c.promotionIndex) || len(c.committed) == 0 {
		t.Skip()
	}
	h := c.drawHost(t)
	if !c.keepsQuorumWithout(h) {
		t.Skip()
	}
	c.wipe(h)
	c.wipedHostID, c.promotionIndex = h.id, 0
}

// keepsQuorumWithout reports whether, without the lost host, a majority keeps its
// disks in the membership of every host.
func (c *faultScenario) keepsQuorumWithout(lost *host) bool {
	for _, id := range c.hostIDs {
		h := c.hosts[id]
		log := newLog(h.snapshot, h.entries)
		members := log.members()
		intact := 0
		for _, m := range members {
			if o := c.hosts[m.ID]; !m.Learner && o != lost && o.identity == m.Identity {
				intact++
			}
		}
		if len(members) > 0 && intact < quorumSize(members) {
			return false
		}
	}
	return true
}

// replaceHost lets the leader add the wiped host as a learner, or promote it if
// it is one.
func (c *faultScenario) replaceHost(t *rapid.T) {
	l := c.leader()
	if l == nil || c.wipedHostID == 0 || c.promotionIndex != 0 {
		t.Skip()
	}
	h := c.hosts[c.wipedHostID]
	m := Member{ID: h.id, Identity: h.identity, Address: "new"}
	present, ok := findMember(l.node.log.members(), h.id)
	if !ok || present.Identity != h.identity {
		l.node.ProposeMembershipChange(AddLearner, m)
	} else if index, _, err := l.node.ProposeMembershipChange(PromoteLearner, m); err == nil {
		c.promotionIndex = index
	}
	c.processReady(l, noCrash)
	c.confirmPromotion()
}

// confirmPromotion resets promotionIndex if a later leader overwrote the entry.
func (c *faultScenario) confirmPromotion() {
	if c.promotionIndex == 0 || uint64(len(c.committed)) < c.promotionIndex {
		return
	}
	if c.committed[c.promotionIndex-1].Kind != EntryMembership {
		c.promotionIndex = 0
	}
}

func (c *faultScenario) changeMember(t *rapid.T) {
	l := c.leader()
	if l == nil || c.wipedHostID != 0 && c.promotionIndex == 0 {
		t.Skip()
	}
	h := c.drawHost(t)
	m := Member{ID: h.id, Identity: h.identity, Address: "same"}
	present, ok := findMember(l.node.log.members(), h.id)
	switch {
	case !ok:
		l.node.ProposeMembershipChange(AddLearner, m)
	case present.Learner:
		l.node.ProposeMembershipChange(PromoteLearner, m)
	case len(l.node.log.members()) > 2:
		l.node.ProposeMembershipChange(RemoveMember, m)
	}
	c.processReady(l, noCrash)
}

// runFaultScenario returns a property: after random faults end, the group elects
// a leader and every member applies a new command.
func runFaultScenario(size int, hostsLeave bool, total *eventCounts) func(*rapid.T) {
	return func(t *rapid.T) {
		c := &faultScenario{sim: newSim(size, uint64(rapid.IntRange(1, 1<<30).Draw(t, "seed"))), hostsLeave: hostsLeave}
		defer total.add(c.sim)
		c.healAndRun(20)
		t.Repeat(c.actions())
		c.healAndRun(recoveryRounds)
		c.actions()[""](t)
		if c.leader() == nil {
			t.Fatalf("no leader %d rounds after the faults ended\n%s", recoveryRounds, c.describe())
		}
		c.propose(c.leader())
		c.healAndRun(20)
		c.actions()[""](t)
		want := c.lastCommand
		for _, m := range c.leader().node.log.members() {
			h := c.hosts[m.ID]
			if h.identity == m.Identity && (len(h.applied) == 0 || h.applied[len(h.applied)-1] != want) {
				t.Fatalf("host %d did not apply command %d: %v", h.id, want, h.applied)
			}
		}
	}
}

func checkUnderFaults(t *testing.T, size int, hostsLeave bool) {
	var total eventCounts
	rapid.Check(t, runFaultScenario(size, hostsLeave, &total))
	t.Logf("event counts: %+v", total)
	// The runs are meaningful only if commits, reads and faults occurred.
	assert.Assert(t, total.committed > 10*total.runs && total.reads > total.runs)
	assert.Assert(t, total.wipes > 0 && total.installs > 0 && total.memberships > 0)
}

// Checks that a term has one leader, logs match, committed entries survive, reads
// are linearizable and a leader is elected after the faults, under message loss,
// duplication, reordering, partitions, power failures, full disks, membership
// changes and wiped disks (F1, F5, F7, F10).
func TestThreeMembersUnderFaults(t *testing.T) {
	configureRapid(t, firstSeed, seeds(t))
	checkUnderFaults(t, 3, false)
}

// Checks the same with five members, of which two may be down.
func TestFiveMembersUnderFaults(t *testing.T) {
	configureRapid(t, firstSeed+1, seeds(t))
	checkUnderFaults(t, 5, false)
}

// Checks the same with hosts that announce their shutdown and leaders that demote voters and
// themselves.
func TestLeavingMembersUnderFaults(t *testing.T) {
	configureRapid(t, firstSeed+2, seeds(t))
	checkUnderFaults(t, 5, true)
}
