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
	tcpOverheadBytes = 40 // IP and TCP headers of one segment per write
	idleMeasureTime  = 5 * time.Second
	electionTimeout  = 30 * time.Second
)

// countingConn counts the bytes that a host writes, with packet headers.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Write(p []byte) (int, error) {
	c.bytes.Add(int64(len(p)) + tcpOverheadBytes)
	return c.Conn.Write(p)
}

// emptyStateMachine is a replicated state machine without state.
type emptyStateMachine struct{}

func (emptyStateMachine) Apply(uint64, []byte) any  { return nil }
func (emptyStateMachine) Snapshot() ([]byte, error) { return nil, nil }
func (emptyStateMachine) Restore([]byte) error      { return nil }

type controlGroup struct {
	replicas  []*replica.Replica
	servers   []*grpc.Server
	sentBytes []*atomic.Int64
	folders   []string
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

func startControlGroup(n int) *controlGroup {
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
	sentBytes := new(atomic.Int64)
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		return countingConn{conn, sentBytes}, nil
	}
	r, err := replica.Open(replica.Config{
		ID: members[i].ID, Folder: folder, Address: members[i].Address, Bootstrap: members, Dial: dial, Registry: metrics.NewRegistry(),
	}, emptyStateMachine{})
	must(err)
	server := grpc.NewServer(controlclient.ServerOptions()...)
	r.Register(server)
	go func() { _ = server.Serve(l) }()
	g.replicas = append(g.replicas, r)
	g.servers = append(g.servers, server)
	g.sentBytes = append(g.sentBytes, sentBytes)
	g.folders = append(g.folders, folder)
}

func (g *controlGroup) stop() {
	for i, r := range g.replicas {
		g.servers[i].Stop()
		_ = r.Close()
		must(os.RemoveAll(g.folders[i]))
	}
}

// waitForLeader waits until the first host confirms a linearizable read, which
// needs a leader.
func (g *controlGroup) waitForLeader() {
	ctx, cancel := context.WithTimeout(context.Background(), electionTimeout)
	defer cancel()
	for g.replicas[0].ReadBarrier(ctx) != nil {
		if ctx.Err() != nil {
			panic(fmt.Sprintf("%d control hosts elected no leader in time", len(g.replicas)))
		}
	}
}

// ControlIdleTraffic measures the bytes per second that the busiest control host
// sends to the others while no change is proposed.
func ControlIdleTraffic() Slope {
	s := Slope{Role: "leader", Name: "control log without changes", SizeName: "control host", Unit: "B/s", DesignSize: designControlHosts, Budget: controlBytesPerSecond}
	for _, n := range []int{2, 3, 5, 7} {
		g := startControlGroup(n)
		g.waitForLeader()
		before := make([]int64, n)
		for i, sentBytes := range g.sentBytes {
			before[i] = sentBytes.Load()
		}
		time.Sleep(idleMeasureTime)
		busiest := 0.0
		for i, sentBytes := range g.sentBytes {
			busiest = max(busiest, float64(sentBytes.Load()-before[i])/idleMeasureTime.Seconds())
		}
		g.stop()
		s.Points = append(s.Points, Point{float64(n), busiest})
	}
	return s
}
