package membership

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"jackdawtrack.example/jackdawtrack/pkg/class"
	"jackdawtrack.example/jackdawtrack/pkg/logging"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// tickInterval is the resolution of the protocol timers.
const tickInterval = 50 * time.Millisecond

// receiveBufferBytes is the maximum size of a UDP datagram.
const receiveBufferBytes = 64 << 10

// Node runs the membership protocol of one router over UDP. All methods are safe
// for concurrent use.
type Node struct {
	log        *logrus.Entry
	conn       *net.UDPConn
	done       chan struct{}
	closeOnce  sync.Once
	goroutines sync.WaitGroup
	// invalidLogLimit limits the log lines on invalid datagrams.
	invalidLogLimit *rate.Limiter

	mu          sync.Mutex // guards the fields below
	swim        *Swim
	subscribers []chan struct{}
}

// New opens a UDP socket on cfg.Self.GossipAddress, whose port may be 0, and starts
// the protocol. An incarnation of 0 is replaced by the Unix time in milliseconds,
// so that it rises with each restart. It returns InvalidSettings if the name or the
// address cannot be used.
func New(cfg Config) (*Node, error) {
	if !class.ValidName(cfg.Self.Name) {
		return nil, result.New(result.InvalidSettings, "member name %q is not valid", cfg.Self.Name)
	}
	address, err := netip.ParseAddrPort(cfg.Self.GossipAddress)
	if err != nil {
		return nil, result.Wrap(result.InvalidSettings, err, "gossip address %q is not an IP address and port", cfg.Self.GossipAddress)
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, result.Wrap(result.InvalidSettings, err, "cannot listen on gossip address %s", address)
	}
	cfg.Self.GossipAddress = conn.LocalAddr().String()
	now := time.Now()
	if cfg.Self.Incarnation == 0 {
		cfg.Self.Incarnation = uint64(now.UnixMilli())
	}
	n := &Node{log: logging.ForComponent("membership"), conn: conn, done: make(chan struct{}), swim: NewSwim(cfg, now), invalidLogLimit: rate.NewLimiter(1, 5)}
	n.goroutines.Go(n.receiveLoop)
	n.goroutines.Go(n.tickLoop)
	return n, nil
}

// Members returns all members in the table, sorted by name: this router, the live
// members, and those that died or left within DeadMemberRetention.
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

// Subscribe returns a channel that receives a value after Members has changed.
// Changes until the value is read are combined into one value. The channel is never
// closed.
func (n *Node) Subscribe() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := make(chan struct{}, 1)
	n.subscribers = append(n.subscribers, c)
	return c
}

// SetDraining announces to all members whether this router is draining, that is,
// accepts no new work.
func (n *Node) SetDraining(draining bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.swim.SetDraining(draining)
	n.notifySubscribers()
}

// Leave announces to the members that this router shuts down, waits for
// LeavePropagationTime or the end of ctx, and closes the node.
func (n *Node) Leave(ctx context.Context) {
	n.mu.Lock()
	n.swim.Leave(time.Now())
	n.mu.Unlock()
	timer := time.NewTimer(LeavePropagationTime)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	case <-n.done:
	}
	n.Close()
}

// Close stops the protocol and closes the socket without an announcement.
func (n *Node) Close() {
	n.closeOnce.Do(func() {
		close(n.done)
		n.conn.Close()
	})
	n.goroutines.Wait()
}

// tickLoop runs the protocol timers until Close.
func (n *Node) tickLoop() {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		n.applyInput(func(now time.Time) []Packet { return n.swim.Tick(now) })
		select {
		case <-tick.C:
		case <-n.done:
			return
		}
	}
}

// receiveLoop handles received datagrams until Close.
func (n *Node) receiveLoop() {
	buffer := make([]byte, receiveBufferBytes)
	for {
		count, from, err := n.conn.ReadFromUDPAddrPort(buffer)
		select {
		case <-n.done:
			return
		default:
		}
		if err != nil {
			n.log.Debugf("receiving a datagram failed: %v", err)
			continue
		}
		sender := netip.AddrPortFrom(from.Addr().Unmap(), from.Port()).String()
		n.applyInput(func(now time.Time) []Packet { return n.swim.Receive(now, sender, buffer[:count]) })
	}
}

// applyInput passes one input to the state machine, notifies the subscribers, and
// sends the resulting packets without holding mu.
func (n *Node) applyInput(input func(now time.Time) []Packet) {
	n.mu.Lock()
	before := n.swim.Self().Incarnation
	packets := input(time.Now())
	after := n.swim.Self().Incarnation
	invalid := n.swim.TakeInvalid()
	n.notifySubscribers()
	n.mu.Unlock()
	if before != after {
		n.log.Warnf("another process used the name of this router, or the clock went back: incarnation %d raised to %d", before, after)
	}
	if invalid != "" && n.invalidLogLimit.Allow() {
		n.log.Warnf("member record ignored: %s", invalid)
	}
	for _, p := range packets {
		to, err := netip.ParseAddrPort(p.To)
		if err != nil {
			continue // the probes of this member fail, and it is declared dead
		}
		if _, err := n.conn.WriteToUDPAddrPort(p.Data, to); err != nil {
			n.log.Debugf("sending a datagram to %s failed: %v", p.To, err)
		}
	}
}

// notifySubscribers notifies the subscribers if Members has changed. It requires mu.
func (n *Node) notifySubscribers() {
	if !n.swim.PollChanged() {
		return
	}
	for _, c := range n.subscribers {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}
