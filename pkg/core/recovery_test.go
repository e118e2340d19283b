package core

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/internal/testport"
	"jackdawtrack.example/jackdawtrack/pkg/feed"
	"jackdawtrack.example/jackdawtrack/pkg/replica"
	"jackdawtrack.example/jackdawtrack/pkg/wal"
	"jackdawtrack.example/jackdawtrack/pkg/wal/waltest"
)

const (
	// testDeadline bounds each wait; the machine may be busy.
	testDeadline = 60 * time.Second
	// operatorPatience is how long an operator waits at one host.
	operatorPatience = 900 * time.Millisecond
)

var errCut = errors.New("the link is cut")

// links are the connections among the core hosts of a test, by the numbers of
// the hosts.
type links struct {
	mu    sync.Mutex
	cut   map[[2]int]bool
	conns map[net.Conn][2]int
}

func (l *links) dialer(c *testCore, from int) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		pair := [2]int{from, c.number(address)}
		l.mu.Lock()
		cut := l.cut[pair]
		l.mu.Unlock()
		if cut {
			return nil, errCut
		}
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		l.conns[conn] = pair
		return conn, nil
	}
}

// split cuts all links between the two sides and resets their connections.
func (l *links) split(a, b []int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, x := range a {
		for _, y := range b {
			l.cut[[2]int{x, y}], l.cut[[2]int{y, x}] = true, true
		}
	}
	for conn, pair := range l.conns {
		if l.cut[pair] {
			_ = conn.Close()
			delete(l.conns, conn)
		}
	}
}

func (l *links) heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.cut)
}

// testCore is a core of hosts on loopback addresses of their own.
type testCore struct {
	t       *testing.T
	port    int
	seeds   []string
	links   links
	hosts   map[int]*Host
	folders map[int]string
	disks   map[int]wal.FS
	version uint64
}

func newTestCore(t *testing.T, founders int) *testCore {
	ports, err := testport.Free(1)
	assert.NilError(t, err)
	c := &testCore{
		t: t, port: ports[0], hosts: map[int]*Host{}, folders: map[int]string{}, disks: map[int]wal.FS{},
		links: links{cut: map[[2]int]bool{}, conns: map[net.Conn][2]int{}},
	}
	for n := 1; n <= founders; n++ {
		c.seeds = append(c.seeds, c.address(n))
	}
	t.Cleanup(func() {
		for _, h := range c.hosts {
			_ = h.Close()
		}
	})
	return c
}

func (c *testCore) address(n int) string { return fmt.Sprintf("127.0.7.%d:%d", n, c.port) }

func (c *testCore) number(address string) int {
	for n := 1; n < 10; n++ {
		if c.address(n) == address {
			return n
		}
	}
	return 0
}

// start starts a host at its folder, a new one if it has none.
func (c *testCore) start(n int, seeds []string, bootstrap bool) *Host {
	if c.folders[n] == "" {
		c.folders[n] = c.t.TempDir()
	}
	h, err := Open(Config{
		Name: fmt.Sprint("core-", n), DataCentre: fmt.Sprint("dc-", n), Address: c.address(n), Folder: c.folders[n],
		Seeds: seeds, Bootstrap: bootstrap, Voters: 3, Registry: metrics.NewRegistry(), Dial: c.links.dialer(c, n),
		Replica: func(r *replica.Config) { r.FS = c.disks[n] },
	})
	assert.NilError(c.t, err)
	c.hosts[n] = h
	return h
}

func (c *testCore) startAll(hosts int) {
	for n := 1; n <= hosts; n++ {
		c.start(n, c.seeds, true)
	}
}

// stop ends a host as a lost process does: without a word to the others.
func (c *testCore) stop(n int) {
	_ = c.hosts[n].Close()
	delete(c.hosts, n)
}

func (c *testCore) until(what string, ok func() bool) {
	c.t.Helper()
	limit := time.Now().Add(testDeadline)
	for !ok() {
		if time.Now().After(limit) {
			c.t.Fatalf("%s did not happen in %s", what, testDeadline)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// submit sends a new version to one host and reports whether it was agreed.
func (c *testCore) submit(n int) bool {
	c.version++
	ctx, cancel := context.WithTimeout(c.t.Context(), operatorPatience)
	defer cancel()
	return c.hosts[n].SubmitDocument(ctx, c.version, []byte(fmt.Sprint("document ", c.version))) == nil
}

// agree submits new versions until one is agreed, and returns it.
func (c *testCore) agree(hosts ...int) uint64 {
	c.t.Helper()
	next := 0
	c.until("an agreed version", func() bool {
		next++
		return c.submit(hosts[next%len(hosts)])
	})
	return c.version
}

// read returns the version that a host reads with the consent of a majority.
func (c *testCore) read(n int) (uint64, bool) {
	ctx, cancel := context.WithTimeout(c.t.Context(), operatorPatience)
	defer cancel()
	d, err := c.hosts[n].ReadDocument(ctx)
	return d.GetVersion(), err == nil
}

// reads waits until the host reads, and checks that it is not older.
func (c *testCore) reads(n int, least uint64) {
	c.t.Helper()
	c.until(fmt.Sprintf("a read at host %d", n), func() bool {
		v, ok := c.read(n)
		assert.Assert(c.t, !ok || v >= least, "host %d reads version %d, %d was agreed", n, v, least)
		return ok
	})
}

// voters returns the numbers of the voting members as a host sees them.
func (c *testCore) voters(n int) []int {
	var out []int
	for _, m := range c.hosts[n].Status().Members {
		if !m.Learner {
			out = append(out, c.number(m.Address))
		}
	}
	slices.Sort(out)
	return out
}

// Guards against two sides of an even core that both go on, against a core
// that stands still although one side has the majority of the voters, and
// against an agreed version that is lost when the sides meet again.
func TestEvenCoreSplitInHalf(t *testing.T) {
	c := newTestCore(t, 3)
	c.startAll(4)
	c.agree(1)
	c.until("a fourth member", func() bool { return len(c.hosts[1].Status().Members) == 4 })
	a, b := []int{1, 2}, []int{3, 4}
	c.links.split(a, b)
	agreed := c.agree(a...)
	for _, n := range b {
		assert.Assert(t, !c.submit(n), "host %d agrees without a majority", n)
		_, ok := c.read(n)
		assert.Assert(t, !ok, "host %d reads without a majority", n)
	}
	agreed = max(agreed, c.agree(a...))
	c.links.heal()
	for n := 1; n <= 4; n++ {
		c.reads(n, agreed)
	}
	assert.Assert(t, c.agree(1, 2, 3, 4) > agreed)
}

// Guards against a host that is replaced at another address and never votes,
// votes before it has everything, or is not counted when another one is lost.
func TestHostReplacedAtAnotherAddress(t *testing.T) {
	c := newTestCore(t, 3)
	c.startAll(3)
	c.agree(1)
	c.stop(3)
	agreed := c.agree(1, 2)
	c.start(4, []string{c.address(1), c.address(2)}, false)
	c.until("the vote of the new host", func() bool {
		return slices.Equal(c.voters(1), []int{1, 2, 4}) && slices.Equal(c.voters(2), []int{1, 2, 4})
	})
	c.stop(1)
	c.reads(4, agreed)
	c.reads(2, agreed)
	agreed = c.agree(2, 4)
	c.start(1, c.seeds, false)
	c.reads(1, agreed)
}

// Guards against a wiped host that founds a group of its own or answers with
// nothing, although it was started with the settings of the first start.
func TestWipedHostComesBack(t *testing.T) {
	c := newTestCore(t, 3)
	c.startAll(3)
	agreed := c.agree(1)
	for _, n := range []int{1, 2, 3} {
		c.stop(n)
		assert.NilError(t, os.RemoveAll(c.folders[n]))
		c.folders[n] = ""
		c.start(n, c.seeds, true)
		c.reads(n, agreed)
		others := []int{n%3 + 1, (n+1)%3 + 1}
		c.until("the vote of the wiped host", func() bool { return slices.Equal(c.voters(others[0]), []int{1, 2, 3}) })
		agreed = c.agree(1, 2, 3)
	}
}

// Guards against hosts that call the seeds of the first start for ever, and a
// new host that only knows the seeds of now.
func TestSeedsAreExchanged(t *testing.T) {
	c := newTestCore(t, 3)
	c.startAll(4)
	c.agree(1)
	now := []string{c.address(4)}
	for n := 1; n <= 4; n++ {
		c.hosts[n].SetSeeds(now)
	}
	c.start(5, now, false)
	agreed := c.agree(1)
	c.reads(5, agreed)
	c.until("five members", func() bool { return len(c.hosts[5].Status().Members) == 5 })
}

// Guards against an agreed version that a restart of all hosts forgets.
func TestAllHostsRestart(t *testing.T) {
	c := newTestCore(t, 3)
	c.startAll(3)
	for range 3 {
		agreed := c.agree(1, 2, 3)
		for n := 1; n <= 3; n++ {
			c.stop(n)
		}
		for n := 1; n <= 3; n++ {
			c.start(n, c.seeds, false)
		}
		for n := 1; n <= 3; n++ {
			c.reads(n, agreed)
		}
	}
}

// newTestCoreWithFaultyDisks returns a running core of three.
func newTestCoreWithFaultyDisks(t *testing.T) (*testCore, map[int]*waltest.Disk) {
	c := newTestCore(t, 3)
	disks := map[int]*waltest.Disk{}
	for n := 1; n <= 3; n++ {
		disks[n] = &waltest.Disk{}
		c.disks[n] = disks[n]
	}
	c.startAll(3)
	return c, disks
}

// leads returns the number of the host that leads.
func (c *testCore) leads() int {
	c.t.Helper()
	leader := 0
	c.until("a leader", func() bool {
		for n, h := range c.hosts {
			if s := h.Status(); s.Leader == s.ID {
				leader = n
				return true
			}
		}
		return false
	})
	return leader
}

// Guards against a leader with a disk that stalls and that still keeps the
// others from going on: an operator waits 5 s for an acknowledgement.
func TestLeaderWithStalledDisk(t *testing.T) {
	const stall = 8 * time.Second
	c, disks := newTestCoreWithFaultyDisks(t)
	agreed := c.agree(1)
	leader := c.leads()
	disks[leader].Stall.Lock()
	release := time.AfterFunc(stall, disks[leader].Stall.Unlock)
	begun := time.Now()
	agreed = max(agreed, c.agree(1, 2, 3))
	assert.Assert(t, release.Stop(), "the others waited for the disk, %s", time.Since(begun))
	disks[leader].Stall.Unlock()
	for n := 1; n <= 3; n++ {
		c.reads(n, agreed)
	}
}

// Guards against a host with a full disk that loses what was agreed, or keeps
// the others from going on.
func TestHostsWithFullDisks(t *testing.T) {
	c, disks := newTestCoreWithFaultyDisks(t)
	agreed := c.agree(1)
	for n := 1; n <= 3; n++ {
		disks[n].Full.Store(true)
		agreed = max(agreed, c.agree(1, 2, 3))
		disks[n].Full.Store(false)
		c.reads(n, agreed)
	}
}

// told collects what a core host streams to an edge host.
type told struct{ events chan *apiv1.FleetEvent }

func (w told) Event(_ string, e *apiv1.FleetEvent) { w.events <- e }
func (told) Lost(string, error)                    {}

// Guards against a core host that calls its state confirmed without asking the
// leader: an edge host that restarts at a host that is cut off went back.
func TestStateIsConfirmedByAMajority(t *testing.T) {
	c := newTestCore(t, 3)
	c.startAll(3)
	agreed := c.agree(1)
	c.reads(3, agreed)
	c.links.split([]int{1, 2}, []int{3})
	newer := c.agree(1, 2)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w := told{make(chan *apiv1.FleetEvent, 100)}
	feed.New(ctx, &apiv1.FleetWatcher{Name: "edge", Address: "127.0.9.1:1", Incarnation: 1}, "", nil, w).SetSeeds([]string{c.address(3)})
	for range 8 { // heartbeats, several times the pause between two attempts
		assert.Assert(t, !(<-w.events).GetConfirmed(), "a host without a majority")
	}
	c.links.heal()
	version := uint64(0)
	for {
		e := <-w.events
		if v := e.GetState().GetDocument().GetVersion(); v > 0 {
			version = v
		}
		if e.GetConfirmed() {
			break
		}
	}
	assert.Assert(t, version >= newer, "confirmed %d, agreed %d", version, newer)
}
