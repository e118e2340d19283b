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
	testDeadline = 60 * time.Second // long enough for a busy machine
	pipeBytes    = 1 << 20
)

var errUnreachable = errors.New("host is not reachable")

// network connects the members of a test in memory. An isolated host reaches no
// other. Its open connections stop carrying data, also after the isolation ends.
type network struct {
	mu        sync.Mutex
	listeners map[string]*bufconn.Listener
	isolated  map[string]bool // by address
	conns     []*silentConn
	bytes     atomic.Int64 // written by clients and servers
}

func newNetwork() *network {
	return &network{listeners: map[string]*bufconn.Listener{}, isolated: map[string]bool{}}
}

func (n *network) dialer(from string) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, to string) (net.Conn, error) {
		n.mu.Lock()
		l, isolated := n.listeners[to], n.isolated[from] || n.isolated[to]
		n.mu.Unlock()
		if l == nil || isolated {
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

// silenceConnections permanently stops the data on the open connections of a host,
// without closing them.
func (n *network) silenceConnections(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		if c.from == address || c.to == address {
			c.silenceOnce.Do(func() { close(c.silent) })
		}
	}
}

func (n *network) setIsolated(address string, isolated bool) {
	n.mu.Lock()
	n.isolated[address] = isolated
	n.mu.Unlock()
	if isolated {
		n.silenceConnections(address)
	}
}

// silentConn is a connection that can be silenced: writes then succeed and are
// discarded, and reads block until Close.
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

// listMachine is a state machine that appends each command to a list and returns
// the command's position, counted from 1.
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

// member is one running replica of a test.
type member struct {
	*Replica
	machine *listMachine
	server  *grpc.Server
}

// group is a set of hosts with their data folders.
type group struct {
	t                      testing.TB
	net                    *network
	dir                    string
	size                   int
	fs                     map[uint64]wal.FS
	snapshotThresholdBytes int64 // SnapshotThresholdBytes of the configurations
	modifyConfig           func(*Config)
	members                map[uint64]*member
	folderNumbers          map[uint64]int // by host ID; a wiped host gets the next one
}

func newGroup(t testing.TB, size int) *group {
	g := &group{t: t, net: newNetwork(), dir: t.TempDir(), size: size, fs: map[uint64]wal.FS{}, members: map[uint64]*member{}, folderNumbers: map[uint64]int{}}
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
		ID: id, Address: address(id), Folder: filepath.Join(g.dir, fmt.Sprint(id, "-", g.folderNumbers[id])),
		Dial: g.net.dialer(address(id)), Tick: testTick, FS: g.fs[id], SnapshotThresholdBytes: g.snapshotThresholdBytes,
		ElectionSeed: 1, Registry: metrics.NewRegistry(), Logger: logrus.NewEntry(logger),
	}
	for i := uint64(1); i <= uint64(g.size); i++ {
		c.Bootstrap = append(c.Bootstrap, Member{ID: i, Address: address(i)})
	}
	if g.modifyConfig != nil {
		g.modifyConfig(&c)
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

// wipe restarts the host with an empty data folder.
func (g *group) wipe(id uint64) *member {
	g.stop(id)
	g.folderNumbers[id]++
	return g.start(id)
}

func (g *group) context() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testDeadline)
	g.t.Cleanup(cancel)
	return ctx
}

// leader waits until one of the hosts, by default of all, is the leader and a
// majority has confirmed a read.
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
				_, err := m.WaitForStatus(ctx, func(s Status) bool { return s.Role == "leader" })
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

// propose proposes the command to the current leader until it is applied, at most
// 100 times.
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

// waitApplied waits until the member has applied the entry at index.
func (g *group) waitApplied(m *member, index uint64) {
	_, err := m.WaitForStatus(g.context(), func(s Status) bool { return s.Applied >= index })
	assert.NilError(g.t, err)
}
