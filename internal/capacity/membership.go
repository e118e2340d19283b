package capacity

import (
	"fmt"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/membership"
)

const (
	udpFraming     = 28 // IP and UDP headers
	memberTick     = 50 * time.Millisecond
	memberSettling = 4 * time.Minute
	memberSpan     = 30 * time.Second
)

// swarm is a number of membership state machines without loss or delay.
type swarm struct {
	now    time.Time
	byAddr map[string]*membership.Swim
	order  []string
	bytes  int
	// region returns the side of an address while the regions are cut off from
	// each other, nil otherwise.
	region func(address string) int
}

func newSwarm(n int) *swarm {
	w := &swarm{now: start, byAddr: map[string]*membership.Swim{}}
	for i := range n {
		address := fmt.Sprintf("127.0.%d.%d:7000", i/250, i%250+1)
		w.order = append(w.order, address)
		w.byAddr[address] = membership.NewSwim(membership.Config{
			Self: membership.Member{
				Name: fmt.Sprintf("router-%03d", i), DataCentre: fmt.Sprintf("dc%d", i%designDataCentres), Role: "router",
				Incarnation: 1, GossipAddress: address, PeerAddress: address, AdminAddress: address,
			},
			Seeds:      w.order[:1],
			RandomSeed: uint64(i + 1),
		}, w.now)
	}
	return w
}

// run advances the time and delivers every datagram at once.
func (w *swarm) run(span time.Duration) {
	for end := w.now.Add(span); w.now.Before(end); {
		w.now = w.now.Add(memberTick)
		for _, address := range w.order {
			w.deliver(address, w.byAddr[address].Tick(w.now))
		}
	}
}

func (w *swarm) deliver(from string, packets []membership.Packet) {
	type datagram struct {
		from string
		membership.Packet
	}
	var queue []datagram
	push := func(from string, packets []membership.Packet) {
		for _, p := range packets {
			w.bytes += len(p.Data) + udpFraming
			queue = append(queue, datagram{from, p})
		}
	}
	push(from, packets)
	for len(queue) > 0 {
		d := queue[0]
		queue = queue[1:]
		if to := w.byAddr[d.To]; to != nil && w.linked(d.from, d.To) {
			push(d.To, to.Receive(w.now, d.from, d.Data))
		}
	}
}

var memberSizes = []int{5, 50, 150, 380}

// MembershipTraffic measures the bytes a second that one router sends for
// membership while nothing changes.
func MembershipTraffic() Slope {
	s := Slope{Role: "router", Name: "membership", XName: "router", Unit: "B/s", At: designRouters, Budget: controlBytesPerSecond}
	for _, n := range memberSizes {
		w := newSwarm(n)
		w.run(memberSettling)
		w.bytes = 0
		w.run(memberSpan)
		s.Points = append(s.Points, Point{float64(n), float64(w.bytes) / memberSpan.Seconds() / float64(n)})
	}
	return s
}

// MembershipTime measures the processor time of membership at one router.
func MembershipTime() Slope {
	s := Slope{Role: "router", Name: "membership processor time", XName: "router", Unit: "% of a core", At: designRouters, Budget: controlCorePercent}
	for _, n := range memberSizes {
		w := newSwarm(n)
		w.run(memberSettling)
		before := processorTime()
		w.run(memberSpan)
		perSecond := float64(processorTime()-before) / memberSpan.Seconds() / float64(n)
		s.Points = append(s.Points, Point{float64(n), perSecond / nanosPerPercent})
	}
	return s
}

// MembershipMemory measures the heap of the member table.
func MembershipMemory() Slope {
	s := Slope{Role: "router", Name: "member table memory", XName: "router", Unit: "B", At: designRouters, Budget: controlMemory}
	for _, n := range memberSizes {
		all := heapOf(func() any {
			w := newSwarm(n)
			w.run(memberSettling)
			return w
		})
		s.Points = append(s.Points, Point{float64(n), all / float64(n)})
	}
	return s
}

func (w *swarm) linked(a, b string) bool {
	return w.region == nil || w.region(a) == w.region(b)
}

// agreed reports whether every router lists all routers as live.
func (w *swarm) agreed() bool {
	for _, s := range w.byAddr {
		live := 0
		for _, m := range s.Members() {
			if m.IsLive() {
				live++
			}
		}
		if live != len(w.order) {
			return false
		}
	}
	return true
}

// RejoinTime measures how long it takes after a cut between two halves of the
// fleet until every router lists all others again.
func RejoinTime() Slope {
	s := Slope{Role: "router", Name: "membership whole after a cut of 2 minutes", XName: "router", Unit: "s", At: designRouters}
	const cut, limit = 2 * time.Minute, 5 * time.Minute
	for _, n := range memberSizes {
		w := newSwarm(n)
		w.run(memberSettling)
		side := map[string]int{}
		for i, address := range w.order {
			side[address] = 2 * i / n
		}
		w.region = func(address string) int { return side[address] }
		w.run(cut)
		w.region = nil
		healed := w.now
		for !w.agreed() && w.now.Sub(healed) < limit {
			w.run(memberTick)
		}
		s.Points = append(s.Points, Point{float64(n), w.now.Sub(healed).Seconds()})
	}
	return s
}
