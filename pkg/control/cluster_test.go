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

// group is a log in memory that several servers share. mu guards all fields.
type group struct {
	t       *testing.T
	mu      sync.Mutex
	entries [][]byte
	late    [][]byte // proposals that reach the log after later ones
	members map[uint64]*member
	leader  uint64
	random  *rand.Rand // nil: no faults
	faults  int
}

// member is one control host of a group.
type member struct {
	group    *group
	id       uint64
	state    *State
	server   *Server
	grpc     *grpc.Server
	listener *bufconn.Listener
	applied  int
	cut      bool // applies nothing, confirms nothing
	era      int  // connections of an earlier era carry nothing any more
	loseNext bool // the next answer is lost, and the member stops leading
}

func newGroup(t *testing.T, size uint64) *group {
	g := &group{t: t, members: map[uint64]*member{}, leader: 1}
	for id := uint64(1); id <= size; id++ {
		g.start(id)
	}
	return g
}

func address(id uint64) string { return fmt.Sprintf("127.0.0.%d:1", id) }

func quiet() *logrus.Entry {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return logrus.NewEntry(l)
}

// start runs a member with an empty state, which then applies the whole log.
func (g *group) start(id uint64) *member {
	m := &member{group: g, id: id, state: NewState(), listener: bufconn.Listen(1 << 16)}
	config := Config{FirstOperator: firstOperator(), Registry: metrics.NewRegistry(), Logger: quiet(), Audit: quiet()}
	m.server = NewServer(config, m, m.state)
	m.grpc = grpc.NewServer(controlclient.ServerOptions()...)
	apiv1.RegisterControlServer(m.grpc, m.server)
	go func() { _ = m.grpc.Serve(m.listener) }()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members[id] = m
	m.catchUp()
	return m
}

func (g *group) stop(id uint64) {
	g.mu.Lock()
	m := g.members[id]
	delete(g.members, id)
	g.mu.Unlock()
	m.server.Stop()
	m.grpc.Stop()
}

func (g *group) stopAll() {
	for id := range uint64(9) {
		if _, ok := g.members[id]; ok {
			g.stop(id)
		}
	}
}

// bootstrap creates the first operator as the server's loop does.
func (g *group) bootstrap() { g.members[1].server.tick(context.Background()) }

func (g *group) setCut(id uint64, cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members[id].cut = cut
	g.members[id].catchUp()
}

// catchUp applies the log. The caller holds the group's mu.
func (m *member) catchUp() {
	for ; !m.cut && m.applied < len(m.group.entries); m.applied++ {
		m.state.Apply(uint64(m.applied+1), m.group.entries[m.applied])
	}
}

// append adds a command and returns what the member's machine answered.
func (g *group) append(m *member, data []byte) any {
	m.catchUp()
	g.entries = append(g.entries, data)
	m.applied++
	out := m.state.Apply(uint64(m.applied), data)
	for _, other := range g.members {
		other.catchUp()
	}
	return out
}

var errFate = result.New(result.NoQuorum, "the fate of the command is unknown")

func (m *member) Propose(_ context.Context, data []byte) (any, error) {
	g := m.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if m.cut || g.leader != m.id {
		return nil, result.New(result.NotLeader, "not the leader")
	}
	if m.loseNext {
		m.loseNext = false
		g.append(m, data)
		g.leader = m.id%uint64(len(g.members)) + 1
		return nil, errFate
	}
	if g.random == nil {
		return g.append(m, data), nil
	}
	return g.withFaults(m, data)
}

// withFaults loses commands and answers, delays commands beyond later ones and
// moves the leader. The caller holds mu.
func (g *group) withFaults(m *member, data []byte) (any, error) {
	if len(g.late) > 0 && g.random.IntN(3) == 0 {
		i := g.random.IntN(len(g.late))
		g.append(m, g.late[i])
		g.late = append(g.late[:i], g.late[i+1:]...)
	}
	fault := g.random.IntN(8)
	if fault < 4 {
		g.faults++
	}
	if fault == 0 || fault == 1 {
		g.leader = 1 + g.random.Uint64N(uint64(len(g.members)))
	}
	switch fault {
	case 1, 2:
		g.append(m, data)
		return nil, errFate
	case 3:
		g.late = append(g.late, data)
		return nil, errFate
	}
	return g.append(m, data), nil
}

func (m *member) ReadBarrier(ctx context.Context) error {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	if m.cut {
		return result.New(result.NoQuorum, "cut off")
	}
	m.catchUp()
	return ctx.Err()
}

func (m *member) ChangeMember(context.Context, MemberChange) error { return nil }

func (m *member) Status() LogStatus {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	s := LogStatus{ID: m.id, Leader: m.group.leader, LeaderAddress: address(m.group.leader)}
	for id := range m.group.members {
		s.Members = append(s.Members, LogMember{ID: id, Address: address(id), Voter: true})
	}
	return s
}

// client returns a client that knows the given members.
func (g *group) client(router string, ids ...uint64) *controlclient.Client {
	config := controlclient.Config{Router: router, Logger: quiet(), DialOptions: []grpc.DialOption{grpc.WithContextDialer(g.dial)}}
	for _, id := range ids {
		config.Addresses = append(config.Addresses, address(id))
	}
	c, err := controlclient.New(config)
	assert.NilError(g.t, err)
	return c
}

func (g *group) dial(ctx context.Context, target string) (net.Conn, error) {
	for id := range uint64(9) {
		g.mu.Lock()
		m := g.members[id]
		g.mu.Unlock()
		if m != nil && address(id) == target {
			conn, err := m.listener.DialContext(ctx)
			return &silentConn{Conn: conn, member: m, era: m.era, closed: make(chan struct{})}, err
		}
	}
	return nil, fmt.Errorf("%s refuses connections", target)
}

// silentConn loses everything once its era has passed.
type silentConn struct {
	net.Conn
	member *member
	era    int
	once   sync.Once
	closed chan struct{}
}

func (c *silentConn) silent() bool {
	c.member.group.mu.Lock()
	defer c.member.group.mu.Unlock()
	return c.era < c.member.era
}

func (c *silentConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.silent() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *silentConn) Write(b []byte) (int, error) {
	if c.silent() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (c *silentConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// within returns a context for one call.
func within(d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), d)
}
