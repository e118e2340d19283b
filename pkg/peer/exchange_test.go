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

const testTimeout = 20 * time.Second

// testRouter is the exchange of one router; it records what it receives.
type testRouter struct {
	exchange  *Exchange
	address   string
	connected chan pool.RouterID
	received  chan *apiv1.Envelope
	batches   atomic.Int64
}

func (n *testRouter) HandleConnect(to pool.RouterID) { n.connected <- to }

func (n *testRouter) HandleMessages(_ pool.RouterID, items []*apiv1.Envelope) {
	n.batches.Add(1)
	for _, e := range items {
		n.received <- e
	}
}

func newTestRouter(t *testing.T, name string) *testRouter {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	n := &testRouter{address: l.Addr().String(), connected: make(chan pool.RouterID, 16), received: make(chan *apiv1.Envelope, 1<<14)}
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

func (n *testRouter) setPeer(name, address string) {
	n.exchange.SetPeers([]Peer{{ID: pool.RouterID{Name: name}, Address: address}})
}

func receiveValue[T any](t *testing.T, from <-chan T) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(testTimeout):
		t.Fatal("nothing was received")
		panic("unreachable")
	}
}

// freezableProxy forwards TCP connections until freeze makes it stop delivering on
// the present ones. Later connections are forwarded.
type freezableProxy struct {
	target        string
	mu            sync.Mutex
	freezeSignals []chan struct{}
}

func newFreezableProxy(t *testing.T, target string) (*freezableProxy, string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	f := &freezableProxy{target: target}
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
			frozen := make(chan struct{})
			f.mu.Lock()
			f.freezeSignals = append(f.freezeSignals, frozen)
			f.mu.Unlock()
			go forwardUntilFrozen(in, out, frozen)
			go forwardUntilFrozen(out, in, frozen)
		}
	}()
	return f, l.Addr().String()
}

// forwardUntilFrozen copies data until frozen is closed and discards it after that.
func forwardUntilFrozen(to, from net.Conn, frozen chan struct{}) {
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		select {
		case <-frozen:
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

func (f *freezableProxy) freeze() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, frozen := range f.freezeSignals {
		close(frozen)
	}
	f.freezeSignals = nil
}

func cancelMessage(id uint64) *apiv1.Envelope {
	return &apiv1.Envelope{Item: &apiv1.Envelope_Cancel{Cancel: &apiv1.Cancel{RequestId: id}}}
}

// Guards against lost, duplicated or reordered messages on a stream, and against
// one batch per message under load.
func TestMessagesKeepOrderInBatches(t *testing.T) {
	a, b := newTestRouter(t, "a"), newTestRouter(t, "b")
	b.setPeer("a", a.address)
	a.setPeer("b", b.address)
	assert.Equal(t, receiveValue(t, a.connected).Name, "b")
	assert.Equal(t, receiveValue(t, b.connected).Name, "a")
	const count = 5000
	for _, from := range []*testRouter{a, b} {
		to, name := b, "b"
		if from == b {
			to, name = a, "a"
		}
		for i := range uint64(count) {
			assert.Assert(t, from.exchange.Send(name, cancelMessage(i)))
		}
		for i := range uint64(count) {
			assert.Equal(t, receiveValue(t, to.received).GetCancel().RequestId, i)
		}
		assert.Assert(t, to.batches.Load() < count/2, "%d batches", to.batches.Load())
	}
	const paced = 200
	before, began := b.batches.Load(), time.Now()
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for i := range uint64(paced) {
		<-tick.C
		assert.Assert(t, a.exchange.Send("b", cancelMessage(i)))
	}
	for range paced {
		receiveValue(t, b.received)
	}
	maxBatches := int64(time.Since(began)/BatchInterval) + 1
	assert.Assert(t, b.batches.Load()-before <= maxBatches, "%d batches, at most %d", b.batches.Load()-before, maxBatches)
}

// Guards against a stream that is never replaced although its connection stopped
// delivering for good while new connections work (F9).
func TestSilentConnectionIsReplaced(t *testing.T) {
	a, b := newTestRouter(t, "a"), newTestRouter(t, "b")
	f, address := newFreezableProxy(t, b.address)
	b.setPeer("a", a.address)
	a.setPeer("b", address)
	receiveValue(t, a.connected)
	receiveValue(t, b.connected)
	began := time.Now()
	f.freeze()
	receiveValue(t, a.connected)
	receiveValue(t, b.connected)
	assert.Assert(t, time.Since(began) < 2*StreamIdleTimeout+2*maxRedialDelay, "replaced after %s", time.Since(began))
	assert.Assert(t, a.exchange.Send("b", cancelMessage(7)))
	assert.Equal(t, receiveValue(t, b.received).GetCancel().RequestId, uint64(7))
}

// Guards against a router that was taken for dead and to which the other one does
// not resend what it still needs.
func TestResetOpensNewStream(t *testing.T) {
	a, b := newTestRouter(t, "a"), newTestRouter(t, "b")
	b.setPeer("a", a.address)
	a.setPeer("b", b.address)
	for range 2 {
		receiveValue(t, a.connected)
		receiveValue(t, b.connected)
		b.exchange.ResetStream("a")
	}
	receiveValue(t, a.connected)
}

// Guards against messages from a process that is not a peer.
func TestUnknownRouterIsRefused(t *testing.T) {
	a, b := newTestRouter(t, "a"), newTestRouter(t, "b")
	a.setPeer("b", b.address) // b does not list a
	select {
	case id := <-b.connected:
		t.Fatalf("%s was accepted", id.Name)
	case <-time.After(5 * minRedialDelay):
	}
	assert.Assert(t, !b.exchange.Connected("a"))
}
