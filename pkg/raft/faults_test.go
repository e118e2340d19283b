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
	ciSeeds      = 60
	ciSteps      = 1500
	firstSeed    = 20260101
	settleRounds = 120
)

// seeds returns the number of runs: JACKDAWTRACK_SOAK_SEEDS or a short fixed
// number.
func seeds(t *testing.T) int {
	if v := os.Getenv("JACKDAWTRACK_SOAK_SEEDS"); v != "" {
		n, err := strconv.Atoi(v)
		assert.NilError(t, err)
		return n
	}
	return ciSeeds
}

func setRapid(t *testing.T, seed, checks int) {
	assert.NilError(t, flag.Set("rapid.seed", fmt.Sprint(seed)))
	assert.NilError(t, flag.Set("rapid.checks", fmt.Sprint(checks)))
	assert.NilError(t, flag.Set("rapid.steps", fmt.Sprint(ciSteps)))
	assert.NilError(t, flag.Set("rapid.nofailfile", "true"))
	t.Logf("rapid seed %d, %d runs of about %d steps", seed, checks, ciSteps)
}

// chaos is the state machine that rapid drives.
type chaos struct {
	*sim
	repairing uint64 // host whose wiped disk is not replaced yet, 0 if none
	promoted  uint64 // index of the entry that completes the repair
}

func (c *chaos) pick(t *rapid.T) *host {
	return c.hosts[rapid.SampledFrom(c.ids).Draw(t, "host")]
}

func (c *chaos) running(t *rapid.T) *host {
	h := c.pick(t)
	if h.node == nil {
		t.Skip()
	}
	return h
}

// actions lists the events. Names that differ only in a number give the same
// event more weight, so that the group makes progress between faults.
func (c *chaos) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"": func(t *rapid.T) {
			c.steps++
			if c.fault != nil {
				t.Fatal(c.fault)
			}
		},
		"tick":      func(t *rapid.T) { h := c.running(t); h.node.Tick(); c.ready(h, runAll) },
		"run1":      c.runRounds,
		"run2":      c.runRounds,
		"run3":      c.runRounds,
		"run4":      c.runRounds,
		"run5":      c.runRounds,
		"run6":      c.runRounds,
		"deliver":   func(t *rapid.T) { c.deliverOne(t, false) },
		"deliver20": c.deliverMany,
		"duplicate": func(t *rapid.T) { c.deliverOne(t, true) },
		"lose":      c.lose,
		"cutHost":   c.cutHost,
		"cutLink": func(t *rapid.T) {
			a, b := c.pick(t), c.pick(t)
			c.cut[[2]uint64{a.id, b.id}] = rapid.Bool().Draw(t, "cut")
		},
		"heal1":    func(t *rapid.T) { clear(c.cut) },
		"heal2":    func(t *rapid.T) { clear(c.cut) },
		"propose1": func(t *rapid.T) { h := c.running(t); c.propose(h); c.ready(h, runAll) },
		"propose2": c.proposeToLeaders,
		"read1":    func(t *rapid.T) { h := c.running(t); c.read(h); c.ready(h, runAll) },
		"read2":    c.readFromLeaders,
		"power": func(t *rapid.T) {
			h := c.running(t)
			c.propose(h)
			h.node.Tick()
			c.ready(h, rapid.SampledFrom([]stopAt{beforeSync, afterSync, afterSend}).Draw(t, "stop"))
			c.crash(h)
		},
		"restart1": c.restart,
		"restart2": c.restart,
		"diskFull": func(t *rapid.T) { h := c.pick(t); h.noSpace = rapid.IntRange(0, 3).Draw(t, "full") == 0 },
		"pause":    func(t *rapid.T) { h := c.pick(t); h.paused = !h.paused },
		"resume1":  c.resume,
		"resume2":  c.resume,
		"resume3":  c.resume,
		"compact":  func(t *rapid.T) { c.compact(c.pick(t)) },
		"wipe":     c.wipeOne,
		"repair1":  c.repair,
		"repair2":  c.repair,
		"member":   c.changeMember,
	}
}

// runRounds runs the group in order with the faults that are in force.
func (c *chaos) runRounds(t *rapid.T) {
	c.run(rapid.IntRange(1, 4*simElectionTicks).Draw(t, "rounds"))
}

// leadersDo calls f for every host that believes to lead, the old ones too.
func (c *chaos) leadersDo(t *rapid.T, f func(*host)) {
	some := false
	for _, id := range c.ids {
		if h := c.hosts[id]; h.node != nil && h.node.role == Leader {
			f(h)
			c.ready(h, runAll)
			some = true
		}
	}
	if !some {
		t.Skip()
	}
}

func (c *chaos) proposeToLeaders(t *rapid.T) { c.leadersDo(t, c.propose) }
func (c *chaos) readFromLeaders(t *rapid.T)  { c.leadersDo(t, c.read) }

func (c *chaos) resume(*rapid.T) {
	for _, id := range c.ids {
		c.hosts[id].paused = false
	}
}

func (c *chaos) restart(*rapid.T) {
	for _, id := range c.ids {
		if h := c.hosts[id]; h.node == nil {
			c.start(h)
		}
	}
}

func (c *chaos) deliverOne(t *rapid.T, keep bool) {
	if len(c.net) == 0 {
		t.Skip()
	}
	i := rapid.IntRange(0, len(c.net)-1).Draw(t, "message")
	to := c.net[i].To
	c.deliver(i, keep)
	if h := c.hosts[to]; h != nil {
		c.ready(h, runAll)
	}
}

func (c *chaos) deliverMany(t *rapid.T) {
	for range 20 {
		if len(c.net) == 0 {
			return
		}
		c.deliverOne(t, false)
	}
}

func (c *chaos) lose(t *rapid.T) {
	if len(c.net) == 0 {
		t.Skip()
	}
	i := rapid.IntRange(0, len(c.net)-1).Draw(t, "message")
	c.net = append(c.net[:i:i], c.net[i+1:]...)
}

func (c *chaos) cutHost(t *rapid.T) {
	h := c.pick(t)
	for _, id := range c.ids {
		c.cut[[2]uint64{h.id, id}], c.cut[[2]uint64{id, h.id}] = true, true
	}
}

// wipeOne loses a disk. The next one may be lost as soon as the repair is
// committed; more at a time may lose entries in any design of this kind.
func (c *chaos) wipeOne(t *rapid.T) {
	if c.repairing != 0 && (c.promoted == 0 || uint64(len(c.committed)) < c.promoted) || len(c.committed) == 0 {
		t.Skip()
	}
	h := c.pick(t)
	if !c.survives(h) {
		t.Skip()
	}
	c.wipe(h)
	c.repairing, c.promoted = h.id, 0
}

// survives tells that a majority keeps its disks in every membership in use.
func (c *chaos) survives(lost *host) bool {
	for _, id := range c.ids {
		h := c.hosts[id]
		log := newLog(h.snapshot, h.entries)
		members := log.members()
		intact := 0
		for _, m := range members {
			if o := c.hosts[m.ID]; !m.Learner && o != lost && o.identity == m.Identity {
				intact++
			}
		}
		if len(members) > 0 && intact < majority(members) {
			return false
		}
	}
	return true
}

// repair lets the leader replace the wiped host, then promote it.
func (c *chaos) repair(t *rapid.T) {
	l := c.leader()
	if l == nil || c.repairing == 0 || c.promoted != 0 {
		t.Skip()
	}
	h := c.hosts[c.repairing]
	m := Member{ID: h.id, Identity: h.identity, Address: "new"}
	present, ok := findMember(l.node.log.members(), h.id)
	if !ok || present.Identity != h.identity {
		l.node.ProposeMembership(AddLearner, m)
	} else if index, _, err := l.node.ProposeMembership(Promote, m); err == nil {
		c.promoted = index
	}
	c.ready(l, runAll)
	c.confirmPromotion()
}

// confirmPromotion forgets a promotion that was dropped with its leader.
func (c *chaos) confirmPromotion() {
	if c.promoted == 0 || uint64(len(c.committed)) < c.promoted {
		return
	}
	if c.committed[c.promoted-1].Kind != EntryMembership {
		c.promoted = 0
	}
}

func (c *chaos) changeMember(t *rapid.T) {
	l := c.leader()
	if l == nil || c.repairing != 0 && c.promoted == 0 {
		t.Skip()
	}
	h := c.pick(t)
	m := Member{ID: h.id, Identity: h.identity, Address: "same"}
	present, ok := findMember(l.node.log.members(), h.id)
	switch {
	case !ok:
		l.node.ProposeMembership(AddLearner, m)
	case present.Learner:
		l.node.ProposeMembership(Promote, m)
	case len(l.node.log.members()) > 2:
		l.node.ProposeMembership(Remove, m)
	}
	c.ready(l, runAll)
}

func chaosRun(size int, total *counts) func(*rapid.T) {
	return func(t *rapid.T) {
		c := &chaos{sim: newSim(size, uint64(rapid.IntRange(1, 1<<30).Draw(t, "seed")))}
		defer total.add(c.sim)
		c.settle(20)
		t.Repeat(c.actions())
		c.settle(settleRounds)
		c.actions()[""](t)
		if c.leader() == nil {
			t.Fatalf("no leader %d rounds after all faults ended\n%s", settleRounds, c.describe())
		}
		c.propose(c.leader())
		c.settle(20)
		c.actions()[""](t)
		want := c.command
		for _, m := range c.leader().node.log.members() {
			h := c.hosts[m.ID]
			if h.identity == m.Identity && (len(h.applied) == 0 || h.applied[len(h.applied)-1] != want) {
				t.Fatalf("host %d did not apply command %d: %v", h.id, want, h.applied)
			}
		}
	}
}

func checkChaos(t *testing.T, size int) {
	var total counts
	rapid.Check(t, chaosRun(size, &total))
	t.Logf("runs, and events in them: %+v", total)
	// A run in which nothing happens proves nothing.
	assert.Assert(t, total.committed > 10*total.runs && total.reads > total.runs)
	assert.Assert(t, total.wipes > 0 && total.installs > 0 && total.memberships > 0)
}

// Guards against two leaders of a term, differing logs, lost committed
// entries, stale reads and a group that stays without a leader, under message
// loss, duplication, reordering, partitions, power failures, full disks,
// membership changes and wiped disks (F1, F5, F7, F10).
func TestThreeMembersUnderFaults(t *testing.T) {
	setRapid(t, firstSeed, seeds(t))
	checkChaos(t, 3)
}

// Guards against the same faults where two hosts may be away.
func TestFiveMembersUnderFaults(t *testing.T) {
	setRapid(t, firstSeed+1, seeds(t))
	checkChaos(t, 5)
}
