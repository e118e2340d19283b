package capacity

import (
	"fmt"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/membership"
)

const (
	udpOverheadBytes      = 28 // IP and UDP headers
	membershipTick        = 50 * time.Millisecond
	membershipWarmUp      = 4 * time.Minute
	membershipMeasureTime = 30 * time.Second
)

// simulatedMembership runs the membership state machines of a number of routers
// over a network without loss or delay.
type simulatedMembership struct {
	now           time.Time
	nodeByAddress map[string]*membership.Swim
	addresses     []string
	sentBytes     int
	// partitionOf returns the network partition of an address. It is nil while
	// the network is not partitioned.
	partitionOf func(address string) int
}

func newSimulatedMembership(n int) *simulatedMembership {
	w := &simulatedMembership{now: startTime, nodeByAddress: map[string]*membership.Swim{}}
	for i := range n {
		address := fmt.Sprintf("127.0.%d.%d:7000", i/250, i%250+1)
		w.addresses = append(w.addresses, address)
		w.nodeByAddress[address] = membership.NewSwim(membership.Config{
			Self: membership.Member{
				Name: fmt.Sprintf("router-%03d", i), DataCentre: fmt.Sprintf("dc%d", i%designDataCentres), Role: "router",
				Incarnation: 1, GossipAddress: address, PeerAddress: address, AdminAddress: address,
			},
			Seeds:      w.addresses[:1],
			RandomSeed: uint64(i + 1),
		}, w.now)
	}
	return w
}

// run advances the simulated time by span and delivers every datagram
// immediately.
func (w *simulatedMembership) run(span time.Duration) {
	for end := w.now.Add(span); w.now.Before(end); {
		w.now = w.now.Add(membershipTick)
		for _, address := range w.addresses {
			w.deliver(address, w.nodeByAddress[address].Tick(w.now))
		}
	}
}

// deliver delivers packets, and the packets sent in reply, until none is left.
func (w *simulatedMembership) deliver(from string, packets []membership.Packet) {
	type datagram struct {
		from string
		membership.Packet
	}
	var queue []datagram
	enqueue := func(from string, packets []membership.Packet) {
		for _, p := range packets {
			w.sentBytes += len(p.Data) + udpOverheadBytes
			queue = append(queue, datagram{from, p})
		}
	}
	enqueue(from, packets)
	for len(queue) > 0 {
		d := queue[0]
		queue = queue[1:]
		if to := w.nodeByAddress[d.To]; to != nil && w.connected(d.from, d.To) {
			enqueue(d.To, to.Receive(w.now, d.from, d.Data))
		}
	}
}

var routerCounts = []int{5, 50, 150, 380}

// MembershipTraffic measures the bytes per second that one router sends for
// membership while it does not change.
func MembershipTraffic() Slope {
	s := Slope{Role: "router", Name: "membership", SizeName: "router", Unit: "B/s", DesignSize: designRouters, Budget: controlBytesPerSecond}
	for _, n := range routerCounts {
		w := newSimulatedMembership(n)
		w.run(membershipWarmUp)
		w.sentBytes = 0
		w.run(membershipMeasureTime)
		s.Points = append(s.Points, Point{float64(n), float64(w.sentBytes) / membershipMeasureTime.Seconds() / float64(n)})
	}
	return s
}

// MembershipTime measures the processor time of one router for membership while
// it does not change.
func MembershipTime() Slope {
	s := Slope{Role: "router", Name: "membership processor time", SizeName: "router", Unit: "% of a core", DesignSize: designRouters, Budget: controlCorePercent}
	for _, n := range routerCounts {
		w := newSimulatedMembership(n)
		w.run(membershipWarmUp)
		before := processorTime()
		w.run(membershipMeasureTime)
		perSecond := float64(processorTime()-before) / membershipMeasureTime.Seconds() / float64(n)
		s.Points = append(s.Points, Point{float64(n), perSecond / nanosPerCorePercent})
	}
	return s
}

// MembershipMemory measures the heap of one router's member table.
func MembershipMemory() Slope {
	s := Slope{Role: "router", Name: "member table memory", SizeName: "router", Unit: "B", DesignSize: designRouters, Budget: controlMemoryBytes}
	for _, n := range routerCounts {
		totalBytes := retainedHeapBytes(func() any {
			w := newSimulatedMembership(n)
			w.run(membershipWarmUp)
			return w
		})
		s.Points = append(s.Points, Point{float64(n), totalBytes / float64(n)})
	}
	return s
}

func (w *simulatedMembership) connected(a, b string) bool {
	return w.partitionOf == nil || w.partitionOf(a) == w.partitionOf(b)
}

// converged reports whether every router lists all routers as live.
func (w *simulatedMembership) converged() bool {
	for _, s := range w.nodeByAddress {
		live := 0
		for _, m := range s.Members() {
			if m.IsLive() {
				live++
			}
		}
		if live != len(w.addresses) {
			return false
		}
	}
	return true
}

// RejoinTime measures the time from the end of a network partition between two
// halves of the fleet until every router lists all others as live again.
func RejoinTime() Slope {
	s := Slope{Role: "router", Name: "membership whole after a cut of 2 minutes", SizeName: "router", Unit: "s", DesignSize: designRouters}
	const cut, limit = 2 * time.Minute, 5 * time.Minute
	for _, n := range routerCounts {
		w := newSimulatedMembership(n)
		w.run(membershipWarmUp)
		partition := map[string]int{}
		for i, address := range w.addresses {
			partition[address] = 2 * i / n
		}
		w.partitionOf = func(address string) int { return partition[address] }
		w.run(cut)
		w.partitionOf = nil
		healed := w.now
		for !w.converged() && w.now.Sub(healed) < limit {
			w.run(membershipTick)
		}
		s.Points = append(s.Points, Point{float64(n), w.now.Sub(healed).Seconds()})
	}
	return s
}
