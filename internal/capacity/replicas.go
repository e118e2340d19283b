package capacity

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/grpc"

	"jackdawtrack.example/jackdawtrack/pkg/controlclient"
	"jackdawtrack.example/jackdawtrack/pkg/replica"
)

const (
	tcpFraming  = 40 // IP and TCP headers of one write
	idleSpan    = 5 * time.Second
	electionMax = 30 * time.Second
)

// countingConn counts what one host writes.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Write(p []byte) (int, error) {
	c.bytes.Add(int64(len(p)) + tcpFraming)
	return c.Conn.Write(p)
}

// emptyMachine is a replicated machine without state.
type emptyMachine struct{}

func (emptyMachine) Apply(uint64, []byte) any  { return nil }
func (emptyMachine) Snapshot() ([]byte, error) { return nil, nil }
func (emptyMachine) Restore([]byte) error      { return nil }

type controlGroup struct {
	replicas []*replica.Replica
	servers  []*grpc.Server
	sent     []*atomic.Int64
	folders  []string
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

func startGroup(n int) *controlGroup {
	g := &controlGroup{}
	var members []replica.Member
	var listeners []net.Listener
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		must(err)
		listeners = append(listeners, l)
		members = append(members, replica.Member{ID: uint64(i + 1), Address: l.Addr().String()})
	}
	for i, l := range listeners {
		g.add(members, i, l)
	}
	return g
}

func (g *controlGroup) add(members []replica.Member, i int, l net.Listener) {
	folder, err := os.MkdirTemp("", "capacity")
	must(err)
	sent := new(atomic.Int64)
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		return countingConn{conn, sent}, nil
	}
	r, err := replica.Open(replica.Config{
		ID: members[i].ID, Folder: folder, Address: members[i].Address, Bootstrap: members, Dial: dial, Registry: metrics.NewRegistry(),
	}, emptyMachine{})
	must(err)
	server := grpc.NewServer(controlclient.ServerOptions()...)
	r.Register(server)
	go func() { _ = server.Serve(l) }()
	g.replicas = append(g.replicas, r)
	g.servers = append(g.servers, server)
	g.sent = append(g.sent, sent)
	g.folders = append(g.folders, folder)
}

func (g *controlGroup) stop() {
	for i, r := range g.replicas {
		g.servers[i].Stop()
		_ = r.Close()
		must(os.RemoveAll(g.folders[i]))
	}
}

// awaitLeader returns when a read of the first host is confirmed.
func (g *controlGroup) awaitLeader() {
	ctx, cancel := context.WithTimeout(context.Background(), electionMax)
	defer cancel()
	for g.replicas[0].ReadBarrier(ctx) != nil {
		if ctx.Err() != nil {
			panic(fmt.Sprintf("%d control hosts found no leader", len(g.replicas)))
		}
	}
}

// ControlIdleTraffic measures the bytes a second that the busiest control host
// sends to the others while nothing is proposed.
func ControlIdleTraffic() Slope {
	s := Slope{Role: "leader", Name: "control log without changes", XName: "control host", Unit: "B/s", At: designHosts, Budget: controlBytesPerSecond}
	for _, n := range []int{2, 3, 5, 7} {
		g := startGroup(n)
		g.awaitLeader()
		before := make([]int64, n)
		for i, sent := range g.sent {
			before[i] = sent.Load()
		}
		time.Sleep(idleSpan)
		busiest := 0.0
		for i, sent := range g.sent {
			busiest = max(busiest, float64(sent.Load()-before[i])/idleSpan.Seconds())
		}
		g.stop()
		s.Points = append(s.Points, Point{float64(n), busiest})
	}
	return s
}
