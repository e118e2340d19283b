package replica

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/test/bufconn"
	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/wal"
)

const (
	testTick     = 20 * time.Millisecond
	testDeadline = 60 * time.Second // generous: the machine may be busy
	pipeBytes    = 1 << 20
)

var errUnreachable = errors.New("host is not reachable")

// network connects the members of a test in memory. A cut host reaches no
// other; its open connections go silent and stay so after the cut.
type network struct {
	mu        sync.Mutex
	listeners map[string]*bufconn.Listener
	cut       map[string]bool
	conns     []*silentConn
	bytes     atomic.Int64 // written by clients and servers
}

func newNetwork() *network {
	return &network{listeners: map[string]*bufconn.Listener{}, cut: map[string]bool{}}
}

func (n *network) dialer(from string) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, to string) (net.Conn, error) {
		n.mu.Lock()
		l, cut := n.listeners[to], n.cut[from] || n.cut[to]
		n.mu.Unlock()
		if l == nil || cut {
			return nil, errUnreachable
		}
		c, err := l.DialContext(ctx)
		if err != nil {
			return nil, err
		}
		s := &silentConn{Conn: c, bytes: &n.bytes, from: from, to: to, silent: make(chan struct{}), closed: make(chan struct{})}
		n.mu.Lock()
		defer n.mu.Unlock()
		n.conns = append(n.conns, s)
		return s, nil
	}
}

// silence makes the open connections of the host go silent for good.
func (n *network) silence(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		if c.from == address || c.to == address {
			c.silenceOnce.Do(func() { close(c.silent) })
		}
	}
}

func (n *network) setCut(address string, cut bool) {
	n.mu.Lock()
	n.cut[address] = cut
	n.mu.Unlock()
	if cut {
		n.silence(address)
	}
}

// silentConn accepts writes and returns no data once it is silent.
type silentConn struct {
	net.Conn
	bytes                  *atomic.Int64
	from, to               string
	silent, closed         chan struct{}
	silenceOnce, closeOnce sync.Once
}

func (c *silentConn) isSilent() bool {
	select {
	case <-c.silent:
		return true
	default:
		return false
	}
}

func (c *silentConn) Write(b []byte) (int, error) {
	if c.isSilent() {
		return len(b), nil
	}
	c.bytes.Add(int64(len(b)))
	return c.Conn.Write(b)
}

func (c *silentConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	if c.isSilent() {
		<-c.closed
		return 0, io.EOF
	}
	return n, err
}

func (c *silentConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// listMachine appends each command to a list and returns its position.
type listMachine struct {
	mu       sync.Mutex
	commands []string
}

func (m *listMachine) Apply(_ uint64, command []byte) any {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.commands = append(m.commands, string(command))
	return len(m.commands)
}

func (m *listMachine) Snapshot() ([]byte, error) {
	return []byte(strings.Join(m.list(), "\n")), nil
}

func (m *listMachine) Restore(data []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.commands = nil
	if len(data) > 0 {
		m.commands = strings.Split(string(data), "\n")
	}
	return nil
}

func (m *listMachine) list() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.commands)
}

// member is one running host of a test.
type member struct {
	*Replica
	machine *listMachine
	server  *grpc.Server
}

// group is a set of hosts with their folders.
type group struct {
	t       testing.TB
	net     *network
	dir     string
	size    int
	fs      map[uint64]wal.FS
	log     int64 // SnapshotBytes
	adjust  func(*Config)
	members map[uint64]*member
	discs   map[uint64]int // number of the folder of each host
}

func newGroup(t testing.TB, size int) *group {
	g := &group{t: t, net: newNetwork(), dir: t.TempDir(), size: size, fs: map[uint64]wal.FS{}, members: map[uint64]*member{}, discs: map[uint64]int{}}
	t.Cleanup(g.stopAll)
	return g
}

func (g *group) stopAll() {
	for id := range g.members {
		g.stop(id)
	}
}

func address(id uint64) string { return fmt.Sprintf("127.0.0.1:%d", 7000+id) }

func (g *group) config(id uint64) Config {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	c := Config{
		ID: id, Address: address(id), Folder: filepath.Join(g.dir, fmt.Sprint(id, "-", g.discs[id])),
		Dial: g.net.dialer(address(id)), Tick: testTick, FS: g.fs[id], SnapshotBytes: g.log,
		Seed: 1, Registry: metrics.NewRegistry(), Logger: logrus.NewEntry(logger),
	}
	for i := uint64(1); i <= uint64(g.size); i++ {
		c.Bootstrap = append(c.Bootstrap, Member{ID: i, Address: address(i)})
	}
	if g.adjust != nil {
		g.adjust(&c)
	}
	return c
}

func (g *group) start(id uint64) *member {
	m := &member{machine: &listMachine{}}
	r, err := Open(g.config(id), m.machine)
	assert.NilError(g.t, err)
	m.Replica = r
	m.server = grpc.NewServer(ServerOptions()...)
	r.Register(m.server)
	l := bufconn.Listen(pipeBytes)
	g.net.mu.Lock()
	g.net.listeners[address(id)] = l
	g.net.mu.Unlock()
	go m.server.Serve(l)
	g.members[id] = m
	return m
}

func (g *group) startAll() {
	for id := uint64(1); id <= uint64(g.size); id++ {
		g.start(id)
	}
}

func (g *group) stop(id uint64) {
	m := g.members[id]
	if m == nil {
		return
	}
	g.net.mu.Lock()
	delete(g.net.listeners, address(id))
	g.net.mu.Unlock()
	m.server.Stop()
	m.Close()
	delete(g.members, id)
}

// wipe starts the host again with an empty folder.
func (g *group) wipe(id uint64) *member {
	g.stop(id)
	g.discs[id]++
	return g.start(id)
}

func (g *group) context() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testDeadline)
	g.t.Cleanup(cancel)
	return ctx
}

// leader waits until one of the hosts is the leader and has a majority.
func (g *group) leader(ids ...uint64) *member {
	if len(ids) == 0 {
		for id := range g.members {
			ids = append(ids, id)
		}
	}
	ctx, cancel := context.WithCancel(g.context())
	defer cancel()
	found := make(chan *member, len(ids))
	for _, id := range ids {
		m := g.members[id]
		go func() {
			for ctx.Err() == nil {
				_, err := m.Wait(ctx, func(s Status) bool { return s.Role == "leader" })
				if err == nil && m.ReadBarrier(ctx) == nil {
					found <- m
					return
				}
			}
		}()
	}
	select {
	case m := <-found:
		return m
	case <-ctx.Done():
		g.t.Fatal("no leader")
		return nil
	}
}

// propose resends the command to the present leader until it is applied.
func (g *group) propose(command string, ids ...uint64) any {
	for range 100 {
		v, err := g.leader(ids...).Propose(g.context(), []byte(command))
		if err == nil {
			return v
		}
	}
	g.t.Errorf("command %q was not accepted", command)
	return nil
}

// waitApplied waits until the host has applied what the leader has.
func (g *group) waitApplied(m *member, index uint64) {
	_, err := m.Wait(g.context(), func(s Status) bool { return s.Applied >= index })
	assert.NilError(g.t, err)
}
