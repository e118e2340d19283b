package control

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/test/bufconn"
	"gotest.tools/v3/assert"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/controlclient"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// cluster is an in-memory log that several servers share. mu guards all fields.
type cluster struct {
	t          *testing.T
	mu         sync.Mutex
	entries    [][]byte
	delayed    [][]byte // proposals that are appended after later ones
	members    map[uint64]*member
	leader     uint64
	random     *rand.Rand // nil disables faults
	faultCount int
	delayNext  bool // the next proposal is delayed
}

// member is one control host of a group.
type member struct {
	cluster        *cluster
	id             uint64
	state          *ReplicatedState
	server         *Server
	grpc           *grpc.Server
	listener       *bufconn.Listener
	applied        int
	partitioned    bool // applies and confirms nothing
	connEpoch      int  // connections of an earlier epoch lose all data
	loseNextAnswer bool // the next response is lost and the member loses leadership
}

func newCluster(t *testing.T, size uint64) *cluster {
	g := &cluster{t: t, members: map[uint64]*member{}, leader: 1}
	for id := uint64(1); id <= size; id++ {
		g.start(id)
	}
	return g
}

func address(id uint64) string { return fmt.Sprintf("127.0.0.%d:1", id) }

func discardLogger() *logrus.Entry {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return logrus.NewEntry(l)
}

// start runs a member with an empty state, to which it applies the whole log.
func (g *cluster) start(id uint64) *member {
	m := &member{cluster: g, id: id, state: NewReplicatedState(), listener: bufconn.Listen(1 << 16)}
	config := Config{FirstOperator: firstOperator(), Registry: metrics.NewRegistry(), Logger: discardLogger(), AuditLogger: discardLogger()}
	m.server = NewServer(config, m, m.state)
	m.grpc = grpc.NewServer(controlclient.ServerOptions()...)
	apiv1.RegisterControlServer(m.grpc, m.server)
	go func() { _ = m.grpc.Serve(m.listener) }()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members[id] = m
	m.applyLog()
	return m
}

func (g *cluster) stop(id uint64) {
	g.mu.Lock()
	m := g.members[id]
	delete(g.members, id)
	g.mu.Unlock()
	m.server.Stop()
	m.grpc.Stop()
}

func (g *cluster) stopAll() {
	for id := range uint64(9) {
		if _, ok := g.members[id]; ok {
			g.stop(id)
		}
	}
}

// bootstrap creates the first operator, as Server.Run does.
func (g *cluster) bootstrap() { g.members[1].server.tick(context.Background()) }

func (g *cluster) setPartitioned(id uint64, partitioned bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members[id].partitioned = partitioned
	g.members[id].applyLog()
}

// applyLog applies the outstanding entries. The caller holds the cluster's mu.
func (m *member) applyLog() {
	for ; !m.partitioned && m.applied < len(m.cluster.entries); m.applied++ {
		m.state.Apply(uint64(m.applied+1), m.cluster.entries[m.applied])
	}
}

// append adds a command to the log and returns the result of the member's state
// machine.
func (g *cluster) append(m *member, data []byte) any {
	m.applyLog()
	g.entries = append(g.entries, data)
	m.applied++
	out := m.state.Apply(uint64(m.applied), data)
	for _, other := range g.members {
		other.applyLog()
	}
	return out
}

var errOutcomeUnknown = result.New(result.NoQuorum, "the outcome of the command is unknown")

func (m *member) Propose(_ context.Context, data []byte) (any, error) {
	g := m.cluster
	g.mu.Lock()
	defer g.mu.Unlock()
	if m.partitioned || g.leader != m.id {
		return nil, result.New(result.NotLeader, "not the leader")
	}
	if m.loseNextAnswer {
		m.loseNextAnswer = false
		g.append(m, data)
		g.leader = m.id%uint64(len(g.members)) + 1
		return nil, errOutcomeUnknown
	}
	if g.delayNext {
		g.delayNext = false
		g.delayed = append(g.delayed, data)
		return nil, errOutcomeUnknown
	}
	if g.random == nil {
		return g.append(m, data), nil
	}
	return g.appendWithFaults(m, data)
}

// appendWithFaults loses commands and responses, delays commands past later
// ones and changes the leader. The caller holds mu.
func (g *cluster) appendWithFaults(m *member, data []byte) (any, error) {
	if len(g.delayed) > 0 && g.random.IntN(3) == 0 {
		i := g.random.IntN(len(g.delayed))
		g.append(m, g.delayed[i])
		g.delayed = append(g.delayed[:i], g.delayed[i+1:]...)
	}
	fault := g.random.IntN(8)
	if fault < 4 {
		g.faultCount++
	}
	if fault == 0 || fault == 1 {
		g.leader = 1 + g.random.Uint64N(uint64(len(g.members)))
	}
	switch fault {
	case 1, 2:
		g.append(m, data)
		return nil, errOutcomeUnknown
	case 3:
		g.delayed = append(g.delayed, data)
		return nil, errOutcomeUnknown
	}
	return g.append(m, data), nil
}

// endFaults appends the delayed commands and injects no further faults.
func (g *cluster) endFaults() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, data := range g.delayed {
		g.append(g.members[g.leader], data)
	}
	g.delayed, g.random = nil, nil
}

func (m *member) ReadBarrier(ctx context.Context) error {
	m.cluster.mu.Lock()
	defer m.cluster.mu.Unlock()
	if m.partitioned {
		return result.New(result.NoQuorum, "partitioned")
	}
	m.applyLog()
	return ctx.Err()
}

func (m *member) ChangeMember(context.Context, MemberChange) error { return nil }

func (m *member) Status() LogStatus {
	m.cluster.mu.Lock()
	defer m.cluster.mu.Unlock()
	s := LogStatus{ID: m.id, Leader: m.cluster.leader, LeaderAddress: address(m.cluster.leader)}
	for id := range m.cluster.members {
		s.Members = append(s.Members, LogMember{ID: id, Address: address(id), Voter: true})
	}
	return s
}

// client returns a client with the addresses of the given members.
func (g *cluster) client(router string, ids ...uint64) *controlclient.Client {
	config := controlclient.Config{Router: router, Logger: discardLogger(), DialOptions: []grpc.DialOption{grpc.WithContextDialer(g.dial)}}
	for _, id := range ids {
		config.Addresses = append(config.Addresses, address(id))
	}
	c, err := controlclient.New(config)
	assert.NilError(g.t, err)
	return c
}

func (g *cluster) dial(ctx context.Context, target string) (net.Conn, error) {
	for id := range uint64(9) {
		g.mu.Lock()
		m := g.members[id]
		g.mu.Unlock()
		if m != nil && address(id) == target {
			conn, err := m.listener.DialContext(ctx)
			return &blackholeConn{Conn: conn, member: m, connEpoch: m.connEpoch, closed: make(chan struct{})}, err
		}
	}
	return nil, fmt.Errorf("connection to %s refused", target)
}

// blackholeConn loses all data once the member's epoch has increased.
type blackholeConn struct {
	net.Conn
	member    *member
	connEpoch int
	closeOnce sync.Once
	closed    chan struct{}
}

func (c *blackholeConn) isBlackholed() bool {
	c.member.cluster.mu.Lock()
	defer c.member.cluster.mu.Unlock()
	return c.connEpoch < c.member.connEpoch
}

func (c *blackholeConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.isBlackholed() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *blackholeConn) Write(b []byte) (int, error) {
	if c.isBlackholed() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (c *blackholeConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// timeoutContext returns a context with a timeout for one call.
func timeoutContext(d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), d)
}
