package membership

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
	"pgregory.net/rapid"

	_ "jackdawtrack.example/jackdawtrack/internal/fixedseed" // same result in every run
)

const (
	convergeLimit = 60 * time.Second // after the last fault
	faultFreeTime = 20 * time.Second // no view may change in this time
	longestFault  = 30 * time.Second // between two faults, in virtual time

	// longestSuspicion is the longest suspicion timeout of this test. A suspicion
	// that began during a fault may time out after it before the suspect is
	// pinged again.
	longestSuspicion = suspicionTimeoutBase
)

// Guards against member lists that stay wrong after loss, duplication, reordering,
// partitions, stops, crashes and restarts, and against live members that are
// removed for good (F1, F2, F9, F10).
func TestViewsConvergeAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(rapid.IntRange(2, 9).Draw(t, "members"), rapid.Uint64().Draw(t, "seed"))
		n.introduceAll()
		randomHost := func(t *rapid.T) *host { return rapid.SampledFrom(n.hosts).Draw(t, "host") }
		runForRandomTime := func(t *rapid.T) {
			n.run(time.Duration(rapid.Int64Range(0, int64(longestFault)).Draw(t, "for")).Truncate(timeStep), nil)
		}
		t.Repeat(map[string]func(*rapid.T){
			"pass": runForRandomTime,
			"loss": func(t *rapid.T) {
				n.loss = rapid.Float64Range(0, 0.3).Draw(t, "loss")
				n.duplication = rapid.Float64Range(0, 0.3).Draw(t, "copy")
			},
			"crash":   func(t *rapid.T) { randomHost(t).swim = nil },
			"stop":    func(t *rapid.T) { randomHost(t).stopped = true },
			"cont":    func(t *rapid.T) { randomHost(t).stopped = false },
			"restart": func(t *rapid.T) { n.start(randomHost(t), n.hosts[0].address, n.hosts[1].address) },
			"restart with a clock that went back": func(t *rapid.T) {
				h := randomHost(t)
				h.incarnation -= 10
				n.start(h, n.hosts[0].address, n.hosts[1].address)
			},
			"leave": func(t *rapid.T) {
				if h := randomHost(t); h.running() {
					h.swim.Leave(n.now)
					n.run(LeavePropagationTime, nil)
					h.swim = nil
				}
			},
			"split": func(t *rapid.T) {
				for _, h := range n.hosts {
					h.partitionSide = rapid.IntRange(0, 1).Draw(t, "side")
				}
			},
			"heal": func(*rapid.T) { n.heal() },
		})
		n.heal()
		for i, h := range n.hosts {
			h.stopped = false
			if h.swim == nil && i < 2 {
				n.start(h, n.hosts[0].address, n.hosts[1].address)
			}
		}
		n.run(longestSuspicion, nil)
		if _, ok := n.runUntil(convergeLimit, n.converged); !ok {
			t.Fatalf("member lists differ %s after the last fault: %s", convergeLimit, n.disagreements())
		}
		n.run(faultFreeTime, func() {
			if problem := n.disagreements(); problem != "" {
				t.Fatalf("a member list changed without a fault: %s", problem)
			}
		})
	})
}

// heal ends loss, duplication and partitions.
func (n *network) heal() {
	n.loss, n.duplication = 0, 0
	for _, h := range n.hosts {
		h.partitionSide = 0
	}
}

// Guards against two sides of a long partition that do not merge after it heals if
// there are no seeds.
func TestHealedPartitionMergesWithoutSeeds(t *testing.T) {
	n := newNetwork(50, 5)
	n.introduceAll()
	for i, h := range n.hosts {
		h.swim.cfg.Seeds = nil
		h.partitionSide = i % 2
	}
	_, ok := n.runUntil(convergeLimit, n.converged)
	assert.Assert(t, ok, n.disagreements())
	n.run(DeadMemberRetention/2, nil)
	n.heal()
	flaps := 0
	liveOnOwnSide := func(h *host) int { // live members of the host's side of the former partition
		count := 0
		for _, m := range h.swim.Members() {
			if m.IsLive() && n.byAddress[m.GossipAddress].swim.cfg.RandomSeed%2 == h.swim.cfg.RandomSeed%2 {
				count++
			}
		}
		return count
	}
	before := make([]int, len(n.hosts))
	for i, h := range n.hosts {
		before[i] = liveOnOwnSide(h)
	}
	took, ok := n.runUntil(convergeLimit, func() bool {
		for i, h := range n.hosts {
			if liveOnOwnSide(h) < before[i] {
				flaps++
			}
		}
		return n.converged()
	})
	assert.Assert(t, ok, n.disagreements())
	t.Logf("50 members agree %s after the partition", took)
	assert.Equal(t, flaps, 0, "a member dropped one of its own side while the sides merged")
}

// Guards against a process that was stopped (SIGSTOP) and then declares all others
// dead, because it received no acks while it was stopped.
func TestStoppedProcessKeepsLiveMembers(t *testing.T) {
	n := newNetwork(5, 3)
	n.introduceAll()
	n.run(faultFreeTime, nil)
	h := n.hosts[2]
	h.swim.suspect(n.now, h.swim.table["router-003"]) // the refutation arrives while the process is stopped
	h.stopped = true
	n.run(faultFreeTime, nil)
	h.stopped = false
	n.run(faultFreeTime, func() {
		for _, m := range h.swim.Members() {
			assert.Assert(t, m.IsLive(), "%s is %s", m.Name, m.Status)
		}
	})
	assert.Assert(t, n.converged(), n.disagreements())
}

// Guards against a datagram of a process without the shared key that changes the
// table.
func TestDatagramWithoutKeyIsDropped(t *testing.T) {
	n := newNetwork(2, 1)
	n.introduceAll()
	stranger := NewSwim(Config{Key: []byte("other"), Self: Member{Name: "router-001", Incarnation: 1 << 60, GossipAddress: "10.9.9.9:1"}}, n.now)
	stranger.mergeRecord(n.now, fullRecord(n.now, n.hosts[0].swim.self))
	n.now = n.now.Add(ProbeInterval)
	packets := stranger.Tick(n.now)
	assert.Assert(t, len(packets) > 0)
	for _, p := range packets {
		assert.Equal(t, len(n.hosts[0].swim.Receive(n.now, "10.9.9.9:1", p.Data)), 0)
	}
	assert.Assert(t, n.converged(), n.disagreements())
}

// Guards against dead members that are never removed, and against a removed one that
// is added again by an exchange of tables.
func TestDeadMembersAreForgotten(t *testing.T) {
	n := newNetwork(4, 9)
	n.introduceAll()
	dead, late := n.hosts[2], n.hosts[3]
	dead.swim, late.swim = nil, nil
	n.run(DeadMemberRetention-time.Minute, nil)
	n.start(late, n.hosts[0].address)
	n.run(faultFreeTime, nil)
	assert.Equal(t, len(late.swim.Members()), 4)
	n.run(2*time.Minute, nil)
	old := fullRecord(n.now, &entry{Member: Member{Name: dead.name, GossipAddress: dead.address, Status: Dead, StatusSince: n.now.Add(-DeadMemberRetention)}})
	for _, h := range n.hosts {
		if h != dead {
			h.swim.mergeRecord(n.now, old)
			assert.Equal(t, len(h.swim.Members()), 3)
		}
	}
}

// Guards against a Node that does not join, drain or leave over UDP.
func TestNodesOverUDP(t *testing.T) {
	first, err := New(Config{Key: []byte("k"), Self: Member{Name: "a", GossipAddress: "127.0.0.1:0"}})
	assert.NilError(t, err)
	defer first.Close()
	second, err := New(Config{Key: []byte("k"), Self: Member{Name: "b", GossipAddress: "127.0.0.1:0"}, Seeds: []string{first.Self().GossipAddress}})
	assert.NilError(t, err)
	changed := first.Subscribe()
	waitFor(t, changed, first, func(m []Member) bool { return len(m) == 2 && m[1].IsLive() })
	second.SetDraining(true)
	waitFor(t, changed, first, func(m []Member) bool { return m[1].Draining })
	second.Leave(context.Background())
	waitFor(t, changed, first, func(m []Member) bool { return m[1].Status == Left })
}

func waitFor(t *testing.T, changed <-chan struct{}, n *Node, condition func([]Member) bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		select {
		case <-changed:
		default:
		}
		if condition(n.Members()) {
			return poll.Success()
		}
		return poll.Continue("members: %+v", n.Members())
	}, poll.WithTimeout(convergeLimit))
}
