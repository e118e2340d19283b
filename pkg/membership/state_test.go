package membership

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
	"pgregory.net/rapid"

	_ "jackdawtrack.example/jackdawtrack/internal/fixedseed" // same verdict on every run
)

const (
	convergeLimit = 60 * time.Second // after the last fault
	quietSpan     = 20 * time.Second // without faults nothing may change
	longestFault  = 30 * time.Second // between two faults, in virtual time

	// suspicionEnd is the longest suspicion of this test. One that began
	// during a fault may end after it before the suspect is asked once more.
	suspicionEnd = suspicionBase
)

// Guards against views that stay wrong after loss, duplication, reordering,
// partitions, stops, crashes and restarts, and against live members that are
// dropped for good (F1, F2, F9, F10).
func TestViewsConvergeAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(rapid.IntRange(2, 9).Draw(t, "members"), rapid.Uint64().Draw(t, "seed"))
		n.acquaint()
		any := func(t *rapid.T) *host { return rapid.SampledFrom(n.hosts).Draw(t, "host") }
		pass := func(t *rapid.T) {
			n.run(time.Duration(rapid.Int64Range(0, int64(longestFault)).Draw(t, "for")).Truncate(step), nil)
		}
		t.Repeat(map[string]func(*rapid.T){
			"pass": pass,
			"loss": func(t *rapid.T) {
				n.loss = rapid.Float64Range(0, 0.3).Draw(t, "loss")
				n.copy = rapid.Float64Range(0, 0.3).Draw(t, "copy")
			},
			"crash":   func(t *rapid.T) { any(t).swim = nil },
			"stop":    func(t *rapid.T) { any(t).stopped = true },
			"cont":    func(t *rapid.T) { any(t).stopped = false },
			"restart": func(t *rapid.T) { n.start(any(t), n.hosts[0].address, n.hosts[1].address) },
			"restart with a clock that went back": func(t *rapid.T) {
				h := any(t)
				h.incarnation -= 10
				n.start(h, n.hosts[0].address, n.hosts[1].address)
			},
			"leave": func(t *rapid.T) {
				if h := any(t); h.running() {
					h.swim.Leave(n.now)
					n.run(LeaveTime, nil)
					h.swim = nil
				}
			},
			"split": func(t *rapid.T) {
				for _, h := range n.hosts {
					h.side = rapid.IntRange(0, 1).Draw(t, "side")
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
		n.run(suspicionEnd, nil)
		if _, ok := n.runUntil(convergeLimit, n.agreed); !ok {
			t.Fatalf("views differ %s after the last fault: %s", convergeLimit, n.disagreements())
		}
		n.run(quietSpan, func() {
			if problem := n.disagreements(); problem != "" {
				t.Fatalf("a view changed without a fault: %s", problem)
			}
		})
	})
}

func (n *network) heal() {
	n.loss, n.copy = 0, 0
	for _, h := range n.hosts {
		h.side = 0
	}
}

// Guards against two sides of a long partition that never merge again, here
// without any seed.
func TestHealedPartitionMergesWithoutSeeds(t *testing.T) {
	n := newNetwork(50, 5)
	n.acquaint()
	for i, h := range n.hosts {
		h.swim.cfg.Seeds = nil
		h.side = i % 2
	}
	_, ok := n.runUntil(convergeLimit, n.agreed)
	assert.Assert(t, ok, n.disagreements())
	n.run(KnownFor/2, nil)
	n.heal()
	flaps := 0
	own := func(h *host) int { // live members of the host's own former side
		count := 0
		for _, m := range h.swim.Members() {
			if m.Live() && n.byAddress[m.GossipAddress].swim.cfg.Seed%2 == h.swim.cfg.Seed%2 {
				count++
			}
		}
		return count
	}
	before := make([]int, len(n.hosts))
	for i, h := range n.hosts {
		before[i] = own(h)
	}
	took, ok := n.runUntil(convergeLimit, func() bool {
		for i, h := range n.hosts {
			if own(h) < before[i] {
				flaps++
			}
		}
		return n.agreed()
	})
	assert.Assert(t, ok, n.disagreements())
	t.Logf("50 members agree %s after the partition", took)
	assert.Equal(t, flaps, 0, "a member lost one of its own side while the sides merged")
}

// Guards against a process that was stopped (SIGSTOP) and then declares all
// others dead, because it saw no answers while it could not read them.
func TestStoppedProcessDropsNobody(t *testing.T) {
	n := newNetwork(5, 3)
	n.acquaint()
	n.run(quietSpan, nil)
	h := n.hosts[2]
	h.swim.suspect(n.now, h.swim.table["router-003"]) // the refutation arrives while it is stopped
	h.stopped = true
	n.run(quietSpan, nil)
	h.stopped = false
	n.run(quietSpan, func() {
		for _, m := range h.swim.Members() {
			assert.Assert(t, m.Live(), "%s is %s", m.Name, m.Status)
		}
	})
	assert.Assert(t, n.agreed(), n.disagreements())
}

// Guards against the datagrams of others: without the shared key nothing may
// change the table.
func TestDatagramWithoutKeyIsDropped(t *testing.T) {
	n := newNetwork(2, 1)
	n.acquaint()
	stranger := NewSwim(Config{Key: []byte("other"), Self: Member{Name: "router-001", Incarnation: 1 << 60, GossipAddress: "10.9.9.9:1"}}, n.now)
	stranger.merge(n.now, fullRecord(n.now, n.hosts[0].swim.self))
	n.now = n.now.Add(ProbeInterval)
	packets := stranger.Tick(n.now)
	assert.Assert(t, len(packets) > 0)
	for _, p := range packets {
		assert.Equal(t, len(n.hosts[0].swim.Receive(n.now, "10.9.9.9:1", p.Data)), 0)
	}
	assert.Assert(t, n.agreed(), n.disagreements())
}

// Guards against dead members that stay listed, or a forgotten one that comes
// back through an exchange of tables.
func TestDeadMembersAreForgotten(t *testing.T) {
	n := newNetwork(4, 9)
	n.acquaint()
	dead, late := n.hosts[2], n.hosts[3]
	dead.swim, late.swim = nil, nil
	n.run(KnownFor-time.Minute, nil)
	n.start(late, n.hosts[0].address)
	n.run(quietSpan, nil)
	assert.Equal(t, len(late.swim.Members()), 4)
	n.run(2*time.Minute, nil)
	old := fullRecord(n.now, &entry{Member: Member{Name: dead.name, GossipAddress: dead.address, Status: Dead, Since: n.now.Add(-KnownFor)}})
	for _, h := range n.hosts {
		if h != dead {
			h.swim.merge(n.now, old)
			assert.Equal(t, len(h.swim.Members()), 3)
		}
	}
}

// Guards against a UDP driver that does not join, drain and leave.
func TestNodesOverUDP(t *testing.T) {
	first, err := New(Config{Key: []byte("k"), Self: Member{Name: "a", GossipAddress: "127.0.0.1:0"}})
	assert.NilError(t, err)
	defer first.Close()
	second, err := New(Config{Key: []byte("k"), Self: Member{Name: "b", GossipAddress: "127.0.0.1:0"}, Seeds: []string{first.Self().GossipAddress}})
	assert.NilError(t, err)
	changed := first.Subscribe()
	waitFor(t, changed, first, func(m []Member) bool { return len(m) == 2 && m[1].Live() })
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
