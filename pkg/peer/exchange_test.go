package peer

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/controlclient"
	"jackdawtrack.example/jackdawtrack/pkg/pool"
)

const testPatience = 20 * time.Second

// node is a router that records what it receives.
type node struct {
	exchange  *Exchange
	address   string
	connected chan pool.RouterID
	received  chan *apiv1.Envelope
	batches   atomic.Int64
}

func (n *node) Connected(to pool.RouterID) { n.connected <- to }

func (n *node) Receive(_ pool.RouterID, items []*apiv1.Envelope) {
	n.batches.Add(1)
	for _, e := range items {
		n.received <- e
	}
}

func newNode(t *testing.T, name string) *node {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	n := &node{address: l.Addr().String(), connected: make(chan pool.RouterID, 16), received: make(chan *apiv1.Envelope, 1<<14)}
	n.exchange = New(pool.RouterID{Name: name, DataCentre: "north", Incarnation: 1}, n)
	server := grpc.NewServer(controlclient.ServerOptions()...)
	apiv1.RegisterPeerServer(server, n.exchange)
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() {
		n.exchange.Close()
		server.Stop()
	})
	return n
}

func (n *node) knows(name, address string) {
	n.exchange.SetPeers([]Peer{{ID: pool.RouterID{Name: name}, Address: address}})
}

func await[T any](t *testing.T, from <-chan T) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(testPatience):
		t.Fatal("nothing arrived")
		panic("unreachable")
	}
}

// freezer passes TCP connections on until it is told to hold the present ones.
// Later connections pass.
type freezer struct {
	target string
	mu     sync.Mutex
	frozen []chan struct{}
}

func newFreezer(t *testing.T, target string) (*freezer, string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	f := &freezer{target: target}
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", target)
			if err != nil {
				in.Close()
				continue
			}
			hold := make(chan struct{})
			f.mu.Lock()
			f.frozen = append(f.frozen, hold)
			f.mu.Unlock()
			go pass(in, out, hold)
			go pass(out, in, hold)
		}
	}()
	return f, l.Addr().String()
}

func pass(to, from net.Conn, hold chan struct{}) {
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		select {
		case <-hold:
			_, _ = io.Copy(io.Discard, from)
			return
		default:
		}
		if err != nil {
			to.Close()
			return
		}
		_, _ = to.Write(buf[:n])
	}
}

func (f *freezer) freeze() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, hold := range f.frozen {
		close(hold)
	}
	f.frozen = nil
}

func message(id uint64) *apiv1.Envelope {
	return &apiv1.Envelope{Item: &apiv1.Envelope_Cancel{Cancel: &apiv1.Cancel{RequestId: id}}}
}

// Guards against lost, doubled or reordered messages of one stream, and
// against a packet for each message.
func TestMessagesKeepOrderInBatches(t *testing.T) {
	a, b := newNode(t, "a"), newNode(t, "b")
	b.knows("a", a.address)
	a.knows("b", b.address)
	assert.Equal(t, await(t, a.connected).Name, "b")
	assert.Equal(t, await(t, b.connected).Name, "a")
	const count = 5000
	for _, from := range []*node{a, b} {
		to, name := b, "b"
		if from == b {
			to, name = a, "a"
		}
		for i := range uint64(count) {
			assert.Assert(t, from.exchange.Send(name, message(i)))
		}
		for i := range uint64(count) {
			assert.Equal(t, await(t, to.received).GetCancel().RequestId, i)
		}
		assert.Assert(t, to.batches.Load() < count/2, "%d batches", to.batches.Load())
	}
	const paced = 200
	before, began := b.batches.Load(), time.Now()
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for i := range uint64(paced) {
		<-tick.C
		assert.Assert(t, a.exchange.Send("b", message(i)))
	}
	for range paced {
		await(t, b.received)
	}
	most := int64(time.Since(began)/BatchInterval) + 1
	assert.Assert(t, b.batches.Load()-before <= most, "%d batches, at most %d", b.batches.Load()-before, most)
}

// Guards against F9: a connection that goes silent for good while new ones
// work must be replaced.
func TestSilentConnectionIsReplaced(t *testing.T) {
	a, b := newNode(t, "a"), newNode(t, "b")
	f, address := newFreezer(t, b.address)
	b.knows("a", a.address)
	a.knows("b", address)
	await(t, a.connected)
	await(t, b.connected)
	began := time.Now()
	f.freeze()
	await(t, a.connected)
	await(t, b.connected)
	assert.Assert(t, time.Since(began) < 2*SilenceLimit+2*redialMax, "replaced after %s", time.Since(began))
	assert.Assert(t, a.exchange.Send("b", message(7)))
	assert.Equal(t, await(t, b.received).GetCancel().RequestId, uint64(7))
}

// Guards against a router that was taken for dead and is not told what the
// other still needs.
func TestResetConnectsAnew(t *testing.T) {
	a, b := newNode(t, "a"), newNode(t, "b")
	b.knows("a", a.address)
	a.knows("b", b.address)
	for range 2 {
		await(t, a.connected)
		await(t, b.connected)
		b.exchange.Reset("a")
	}
	await(t, a.connected)
}

// Guards against messages of a process that is no member.
func TestUnknownRouterIsRefused(t *testing.T) {
	a, b := newNode(t, "a"), newNode(t, "b")
	a.knows("b", b.address) // b does not list a
	select {
	case id := <-b.connected:
		t.Fatalf("%s was accepted", id.Name)
	case <-time.After(5 * redialMin):
	}
	assert.Assert(t, !b.exchange.Connected("a"))
}
