package membership

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	timeStep    = 10 * time.Millisecond // resolution of the simulated time
	minDelay    = time.Millisecond
	delaySpread = 20 * time.Millisecond // reorders packets
	headerBytes = 28                    // IPv4 and UDP
)

// host is a simulated host with one router process, or none after a crash.
type host struct {
	name          string
	address       string
	swim          *Swim // nil if the process is not running
	stopped       bool  // by SIGSTOP
	partitionSide int   // of a partition
	incarnation   uint64
	bytes         int // sent
}

type delivery struct {
	at   time.Time
	id   int
	from string
	packet
}

type packet = Packet

// network simulates a network in virtual time, with loss, duplication, reordering
// and partitions.
type network struct {
	now               time.Time
	random            *rand.Rand
	hosts             []*host
	byAddress         map[string]*host
	queue             []delivery
	sent              int
	loss, duplication float64
	largestPacket     int
}

func (n *network) Len() int { return len(n.queue) }
func (n *network) Less(i, j int) bool {
	a, b := n.queue[i], n.queue[j]
	return a.at.Before(b.at) || a.at.Equal(b.at) && a.id < b.id
}
func (n *network) Swap(i, j int) { n.queue[i], n.queue[j] = n.queue[j], n.queue[i] }
func (n *network) Push(x any)    { n.queue = append(n.queue, x.(delivery)) }
func (n *network) Pop() any {
	last := n.queue[len(n.queue)-1]
	n.queue = n.queue[:len(n.queue)-1]
	return last
}

func newNetwork(count int, seed uint64) *network {
	n := &network{
		now: time.Unix(1_700_000_000, 0), random: rand.New(rand.NewPCG(seed, 1)), byAddress: map[string]*host{},
	}
	for i := range count {
		h := &host{name: fmt.Sprintf("router-%03d", i), address: fmt.Sprintf("10.0.%d.%d:7946", i/200, i%200+1), incarnation: 1_700_000_000_000}
		n.hosts = append(n.hosts, h)
		n.byAddress[h.address] = h
		n.start(h, n.hosts[0].address, n.hosts[min(i, 1)].address)
	}
	return n
}

// start starts a new process under the name of the host.
func (n *network) start(h *host, seeds ...string) {
	h.incarnation++
	h.stopped = false
	h.swim = NewSwim(Config{Seeds: seeds, Key: []byte("key"), RandomSeed: n.random.Uint64(), Self: Member{
		Name: h.name, DataCentre: "dc-1", Role: "router", Incarnation: h.incarnation,
		GossipAddress: h.address, PeerAddress: h.address, AdminAddress: h.address,
	}}, n.now)
}

// introduceAll adds all hosts to the tables of all others without any traffic.
func (n *network) introduceAll() {
	for _, h := range n.hosts {
		for _, other := range n.hosts {
			if other != h {
				h.swim.mergeRecord(n.now, fullRecord(n.now, other.swim.self))
			}
		}
		clear(h.swim.transmitsLeft)
	}
}

func (n *network) send(from *host, packets []Packet) {
	for _, p := range packets {
		from.bytes += len(p.Data) + headerBytes
		n.largestPacket = max(n.largestPacket, len(p.Data))
		copies := 1
		if n.random.Float64() < n.duplication {
			copies = 2
		}
		for range copies {
			if n.random.Float64() < n.loss {
				continue
			}
			n.sent++
			delay := minDelay + time.Duration(n.random.Int64N(int64(delaySpread)))
			heap.Push(n, delivery{at: n.now.Add(delay), id: n.sent, from: from.address, packet: p})
		}
	}
}

// run advances the time by d. check, if not nil, is called after each step.
func (n *network) run(d time.Duration, check func()) {
	for end := n.now.Add(d); n.now.Before(end); {
		n.now = n.now.Add(timeStep)
		for len(n.queue) > 0 && !n.queue[0].at.After(n.now) {
			p := heap.Pop(n).(delivery)
			to, from := n.byAddress[p.To], n.byAddress[p.from]
			if to != nil && to.swim != nil && !to.stopped && to.partitionSide == from.partitionSide {
				n.send(to, to.swim.Receive(n.now, p.from, p.Data))
			}
		}
		for i, h := range n.hosts {
			if h.swim != nil && !h.stopped && (n.now.UnixMilli()/10+int64(i))%5 == 0 {
				n.send(h, h.swim.Tick(n.now))
			}
		}
		if check != nil {
			check()
		}
	}
}

// runUntil advances the time until the condition holds, for at most d.
func (n *network) runUntil(d time.Duration, condition func() bool) (took time.Duration, ok bool) {
	start := n.now
	for n.now.Sub(start) < d {
		if condition() {
			return n.now.Sub(start), true
		}
		n.run(timeStep*5, nil)
	}
	return d, condition()
}

func (h *host) running() bool { return h.swim != nil && !h.stopped }

// converged reports whether each running host lists exactly the running hosts of its
// side of the partition as live, with their current incarnations.
func (n *network) converged() bool {
	for _, h := range n.hosts {
		if h.running() && n.disagreement(h) != "" {
			return false
		}
	}
	return true
}

// disagreement describes a difference between the members that a host lists as live
// and those that it should list, "" if there is none.
func (n *network) disagreement(h *host) string {
	live := map[string]uint64{}
	for _, m := range h.swim.Members() {
		if m.IsLive() {
			live[m.Name] = m.Incarnation
		}
	}
	for _, other := range n.hosts {
		expected := other.running() && other.partitionSide == h.partitionSide && other.swim.Self().Status != Left
		incarnation, listed := live[other.name]
		if expected != listed || listed && incarnation != other.swim.Self().Incarnation {
			return fmt.Sprintf("%s sees %s: live %t incarnation %d, want live %t", h.name, other.name, listed, incarnation, expected)
		}
	}
	return ""
}

// disagreements returns the first disagreement of a running host, "" if there is
// none.
func (n *network) disagreements() (first string) {
	for _, h := range n.hosts {
		if h.running() && first == "" {
			first = n.disagreement(h)
		}
	}
	return first
}
