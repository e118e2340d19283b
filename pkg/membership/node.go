package membership

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"jackdawtrack.example/jackdawtrack/pkg/class"
	"jackdawtrack.example/jackdawtrack/pkg/logging"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// tickInterval is the resolution of the protocol's timers.
const tickInterval = 50 * time.Millisecond

// receiveBuffer holds the largest UDP datagram.
const receiveBuffer = 64 << 10

// Node runs the membership of one router over UDP. All methods are safe for
// concurrent use.
type Node struct {
	log  *logrus.Entry
	conn *net.UDPConn
	done chan struct{}
	stop sync.Once
	work sync.WaitGroup

	mu          sync.Mutex // guards all below
	swim        *Swim
	subscribers []chan struct{}
}

// New opens the UDP socket at cfg.Self.GossipAddress, whose port may be 0, and
// starts the protocol. An incarnation of 0 is replaced by the time in
// milliseconds, so that it rises with each restart.
func New(cfg Config) (*Node, error) {
	if !class.ValidName(cfg.Self.Name) {
		return nil, result.New(result.InvalidSettings, "member name %q is not valid", cfg.Self.Name)
	}
	address, err := netip.ParseAddrPort(cfg.Self.GossipAddress)
	if err != nil {
		return nil, result.Wrap(result.InvalidSettings, err, "gossip address %q is not IP and port", cfg.Self.GossipAddress)
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, result.Wrap(result.InvalidSettings, err, "gossip address %s cannot be used", address)
	}
	cfg.Self.GossipAddress = conn.LocalAddr().String()
	now := time.Now()
	if cfg.Self.Incarnation == 0 {
		cfg.Self.Incarnation = uint64(now.UnixMilli())
	}
	n := &Node{log: logging.For("membership"), conn: conn, done: make(chan struct{}), swim: NewSwim(cfg, now)}
	n.work.Go(n.receiveLoop)
	n.work.Go(n.tickLoop)
	return n, nil
}

// Members returns all members of the last KnownFor in order of names, with
// this router itself, and with those that died or left.
func (n *Node) Members() []Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.swim.Members()
}

// Self returns the record of this router.
func (n *Node) Self() Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.swim.Self()
}

// Subscribe returns a channel that gets a value after Members changed. Changes
// that come before the value is read give one value. It is never closed.
func (n *Node) Subscribe() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := make(chan struct{}, 1)
	n.subscribers = append(n.subscribers, c)
	return c
}

// SetDraining tells all members whether this router takes new work.
func (n *Node) SetDraining(draining bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.swim.SetDraining(draining)
	n.notify()
}

// Leave tells the members that this router ends, which takes LeaveTime, and
// closes the node.
func (n *Node) Leave(ctx context.Context) {
	n.mu.Lock()
	n.swim.Leave(time.Now())
	n.mu.Unlock()
	timer := time.NewTimer(LeaveTime)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	case <-n.done:
	}
	n.Close()
}

// Close ends the protocol without telling anybody.
func (n *Node) Close() {
	n.stop.Do(func() {
		close(n.done)
		n.conn.Close()
	})
	n.work.Wait()
}

func (n *Node) tickLoop() {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		n.step(func(now time.Time) []Packet { return n.swim.Tick(now) })
		select {
		case <-tick.C:
		case <-n.done:
			return
		}
	}
}

func (n *Node) receiveLoop() {
	buffer := make([]byte, receiveBuffer)
	for {
		count, from, err := n.conn.ReadFromUDPAddrPort(buffer)
		select {
		case <-n.done:
			return
		default:
		}
		if err != nil {
			n.log.Debugf("receive failed: %v", err)
			continue
		}
		sender := netip.AddrPortFrom(from.Addr().Unmap(), from.Port()).String()
		n.step(func(now time.Time) []Packet { return n.swim.Receive(now, sender, buffer[:count]) })
	}
}

// step runs one input of the state machine and sends its packets without the
// lock.
func (n *Node) step(input func(now time.Time) []Packet) {
	n.mu.Lock()
	before := n.swim.Self().Incarnation
	packets := input(time.Now())
	after := n.swim.Self().Incarnation
	n.notify()
	n.mu.Unlock()
	if before != after {
		n.log.Warnf("another process used the name of this router, or the clock went back: incarnation %d becomes %d", before, after)
	}
	for _, p := range packets {
		to, err := netip.ParseAddrPort(p.To)
		if err != nil {
			continue // a member with an unusable address is found dead
		}
		if _, err := n.conn.WriteToUDPAddrPort(p.Data, to); err != nil {
			n.log.Debugf("send to %s failed: %v", p.To, err)
		}
	}
}

// notify tells the subscribers of a change. Its caller holds the lock.
func (n *Node) notify() {
	if !n.swim.TakeChanged() {
		return
	}
	for _, c := range n.subscribers {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}
