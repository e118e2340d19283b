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
	// testDeadline bounds each wait. It is long because the machine may be busy.
	testDeadline = 60 * time.Second
	// operatorTimeout bounds one call of an operator to one host.
	operatorTimeout = 900 * time.Millisecond
)

var errBlocked = errors.New("the link is blocked")

// network holds the connections among the core hosts of a test, by the numbers of
// the hosts, and can block links between them.
type network struct {
	mu      sync.Mutex
	blocked map[[2]int]bool
	conns   map[net.Conn][2]int
}

func (l *network) dialer(c *testCore, from int) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		pair := [2]int{from, c.hostNumber(address)}
		l.mu.Lock()
		blocked := l.blocked[pair]
		l.mu.Unlock()
		if blocked {
			return nil, errBlocked
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

// partition blocks all links between the two sides and closes their connections.
func (l *network) partition(a, b []int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, x := range a {
		for _, y := range b {
			l.blocked[[2]int{x, y}], l.blocked[[2]int{y, x}] = true, true
		}
	}
	for conn, pair := range l.conns {
		if l.blocked[pair] {
			_ = conn.Close()
			delete(l.conns, conn)
		}
	}
}

func (l *network) heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.blocked)
}

// testCore is a group of core hosts, each on a loopback address of its own.
type testCore struct {
	t       *testing.T
	port    int
	seeds   []string
	network network
	hosts   map[int]*Host
	folders map[int]string
	disks   map[int]wal.FS
	version uint64
}

func newTestCore(t *testing.T, founders int) *testCore {
	ports, err := testport.FreePorts(1)
	assert.NilError(t, err)
	c := &testCore{
		t: t, port: ports[0], hosts: map[int]*Host{}, folders: map[int]string{}, disks: map[int]wal.FS{},
		network: network{blocked: map[[2]int]bool{}, conns: map[net.Conn][2]int{}},
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

func (c *testCore) address(n int) string { return fmt.Sprintf("%s:%d", testport.IP(n), c.port) }

func (c *testCore) hostNumber(address string) int {
	for n := 1; n < 10; n++ {
		if c.address(n) == address {
			return n
		}
	}
	return 0
}

// start starts a host with its folder, or with a new one if it has none.
func (c *testCore) start(n int, seeds []string, bootstrap bool) *Host {
	if c.folders[n] == "" {
		c.folders[n] = c.t.TempDir()
	}
	h, err := Open(Config{
		Name: fmt.Sprint("core-", n), DataCentre: fmt.Sprint("dc-", n), Address: c.address(n), DataFolder: c.folders[n],
		Seeds: seeds, Bootstrap: bootstrap, VoterCount: 3, Registry: metrics.NewRegistry(), Dial: c.network.dialer(c, n),
		ConfigureReplica: func(r *replica.Config) { r.FS = c.disks[n] },
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

// stop ends a host without notice to the others, as the loss of its process does.
func (c *testCore) stop(n int) {
	_ = c.hosts[n].Close()
	delete(c.hosts, n)
}

func (c *testCore) waitFor(what string, ok func() bool) {
	c.t.Helper()
	limit := time.Now().Add(testDeadline)
	for !ok() {
		if time.Now().After(limit) {
			c.t.Fatalf("%s did not happen in %s", what, testDeadline)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// submit sends a new version to one host and reports whether it was committed.
func (c *testCore) submit(n int) bool {
	c.version++
	ctx, cancel := context.WithTimeout(c.t.Context(), operatorTimeout)
	defer cancel()
	return c.hosts[n].SubmitDocument(ctx, &apiv1.FleetDocument{Version: c.version, Data: fmt.Append(nil, "document ", c.version)}) == nil
}

// submitUntilAgreed submits new versions to the hosts in turn until one is
// committed, and returns that version.
func (c *testCore) submitUntilAgreed(hosts ...int) uint64 {
	c.t.Helper()
	next := 0
	c.waitFor("a committed version", func() bool {
		next++
		return c.submit(hosts[next%len(hosts)])
	})
	return c.version
}

// read returns the version that a host reads with the confirmation of a majority.
func (c *testCore) read(n int) (uint64, bool) {
	ctx, cancel := context.WithTimeout(c.t.Context(), operatorTimeout)
	defer cancel()
	d, err := c.hosts[n].ReadDocument(ctx)
	return d.GetVersion(), err == nil
}

// waitRead waits until a read at the host succeeds, and checks that the version is
// at least minVersion.
func (c *testCore) waitRead(n int, minVersion uint64) {
	c.t.Helper()
	c.waitFor(fmt.Sprintf("a read at host %d", n), func() bool {
		v, ok := c.read(n)
		assert.Assert(c.t, !ok || v >= minVersion, "host %d reads version %d, %d was committed", n, v, minVersion)
		return ok
	})
}

// voters returns the numbers of the voting members in the view of a host.
func (c *testCore) voters(n int) []int {
	var out []int
	for _, m := range c.hosts[n].Status().Members {
		if !m.Learner {
			out = append(out, c.hostNumber(m.Address))
		}
	}
	slices.Sort(out)
	return out
}

// Guards against two halves of a partitioned core that both commit, against a core
// that does not commit although one half has the majority of the voters, and against
// a committed version that is lost when the partition heals.
func TestEvenCoreSplitInHalf(t *testing.T) {
	c := newTestCore(t, 3)
	c.startAll(4)
	c.submitUntilAgreed(1)
	c.waitFor("a fourth member", func() bool { return len(c.hosts[1].Status().Members) == 4 })
	a, b := []int{1, 2}, []int{3, 4}
	c.network.partition(a, b)
	agreed := c.submitUntilAgreed(a...)
	for _, n := range b {
		assert.Assert(t, !c.submit(n), "host %d commits without a majority", n)
		_, ok := c.read(n)
		assert.Assert(t, !ok, "host %d reads without a majority", n)
	}
	agreed = max(agreed, c.submitUntilAgreed(a...))
	c.network.heal()
	for n := 1; n <= 4; n++ {
		c.waitRead(n, agreed)
	}
	assert.Assert(t, c.submitUntilAgreed(1, 2, 3, 4) > agreed)
}

// Guards against a replacement host at another address that never becomes a voter,
// votes before it has caught up, or does not count for the quorum when another host
// is lost.
func TestHostReplacedAtAnotherAddress(t *testing.T) {
	c := newTestCore(t, 3)
	c.startAll(3)
	c.submitUntilAgreed(1)
	c.stop(3)
	agreed := c.submitUntilAgreed(1, 2)
	c.start(4, []string{c.address(1), c.address(2)}, false)
	c.waitFor("the vote of the new host", func() bool {
		return slices.Equal(c.voters(1), []int{1, 2, 4}) && slices.Equal(c.voters(2), []int{1, 2, 4})
	})
	c.stop(1)
	c.waitRead(4, agreed)
	c.waitRead(2, agreed)
	agreed = c.submitUntilAgreed(2, 4)
	c.start(1, c.seeds, false)
	c.waitRead(1, agreed)
}

// Guards against a host with a wiped disk that bootstraps a group of its own or
// serves an empty state because it is started with the settings of the first start.
func TestWipedHostComesBack(t *testing.T) {
	c := newTestCore(t, 3)
	c.startAll(3)
	agreed := c.submitUntilAgreed(1)
	for _, n := range []int{1, 2, 3} {
		c.stop(n)
		assert.NilError(t, os.RemoveAll(c.folders[n]))
		c.folders[n] = ""
		c.start(n, c.seeds, true)
		c.waitRead(n, agreed)
		others := []int{n%3 + 1, (n+1)%3 + 1}
		c.waitFor("the vote of the wiped host", func() bool { return slices.Equal(c.voters(others[0]), []int{1, 2, 3}) })
		agreed = c.submitUntilAgreed(1, 2, 3)
	}
}

// Guards against hosts that keep using the seeds of the first start after the seeds
// were replaced, and against a new host that knows only the new seeds and cannot
// join.
func TestSeedsAreExchanged(t *testing.T) {
	c := newTestCore(t, 3)
	c.startAll(4)
	c.submitUntilAgreed(1)
	now := []string{c.address(4)}
	for n := 1; n <= 4; n++ {
		c.hosts[n].SetSeeds(now)
	}
	c.start(5, now, false)
	agreed := c.submitUntilAgreed(1)
	c.waitRead(5, agreed)
	c.waitFor("five members", func() bool { return len(c.hosts[5].Status().Members) == 5 })
}

// Guards against a committed version that is lost by a restart of all hosts.
func TestAllHostsRestart(t *testing.T) {
	c := newTestCore(t, 3)
	c.startAll(3)
	for range 3 {
		agreed := c.submitUntilAgreed(1, 2, 3)
		for n := 1; n <= 3; n++ {
			c.stop(n)
		}
		for n := 1; n <= 3; n++ {
			c.start(n, c.seeds, false)
		}
		for n := 1; n <= 3; n++ {
			c.waitRead(n, agreed)
		}
	}
}

// newTestCoreWithFaultyDisks returns a running core of three hosts and their disks.
func newTestCoreWithFaultyDisks(t *testing.T) (*testCore, map[int]*waltest.FaultyDisk) {
	c := newTestCore(t, 3)
	disks := map[int]*waltest.FaultyDisk{}
	for n := 1; n <= 3; n++ {
		disks[n] = &waltest.FaultyDisk{}
		c.disks[n] = disks[n]
	}
	c.startAll(3)
	return c, disks
}

// waitLeader waits for a leader and returns its number.
func (c *testCore) waitLeader() int {
	c.t.Helper()
	leader := 0
	c.waitFor("a leader", func() bool {
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

// Guards against a leader with a stalled disk that keeps the others from committing.
// An operator waits 5 s for an acknowledgement.
func TestLeaderWithStalledDisk(t *testing.T) {
	const stall = 8 * time.Second
	c, disks := newTestCoreWithFaultyDisks(t)
	agreed := c.submitUntilAgreed(1)
	leader := c.waitLeader()
	disks[leader].StallSyncs.Lock()
	release := time.AfterFunc(stall, disks[leader].StallSyncs.Unlock)
	begun := time.Now()
	agreed = max(agreed, c.submitUntilAgreed(1, 2, 3))
	assert.Assert(t, release.Stop(), "the others waited for the disk, %s", time.Since(begun))
	disks[leader].StallSyncs.Unlock()
	for n := 1; n <= 3; n++ {
		c.waitRead(n, agreed)
	}
}

// Guards against a host with a full disk that loses committed data or keeps the
// others from committing.
func TestHostsWithFullDisks(t *testing.T) {
	c, disks := newTestCoreWithFaultyDisks(t)
	agreed := c.submitUntilAgreed(1)
	for n := 1; n <= 3; n++ {
		disks[n].FailWrites.Store(true)
		agreed = max(agreed, c.submitUntilAgreed(1, 2, 3))
		disks[n].FailWrites.Store(false)
		c.waitRead(n, agreed)
	}
}

// Guards against a host with a full disk that refuses changes and reads although it knows
// from its messages which host leads: a follower, and one that has just given up the lead.
func TestHostWithFullDiskPassesCallsOn(t *testing.T) {
	const calls = 10
	c, disks := newTestCoreWithFaultyDisks(t)
	agreed := c.submitUntilAgreed(1)
	for range 2 {
		full := c.waitLeader()
		disks[full].Full.Store(true)
		agreed = max(agreed, c.submitUntilAgreed(1, 2, 3))
		accepted, read := 0, 0
		for range calls {
			if c.submit(full) {
				accepted++
				agreed = c.version
			}
			if v, ok := c.read(full); ok {
				read++
				assert.Assert(t, v >= agreed, "read version %d, %d was committed", v, agreed)
			}
		}
		assert.Assert(t, accepted > calls/2 && read > calls/2, "host %d: of %d each, %d changes accepted, %d reads answered", full, calls, accepted, read)
		disks[full].Full.Store(false)
	}
}

// eventRecorder is a feed.Handler that records the events of a core host.
type eventRecorder struct{ events chan *apiv1.FleetEvent }

func (w eventRecorder) HandleEvent(_ string, e *apiv1.FleetEvent) { w.events <- e }
func (eventRecorder) HandleDisconnect(string, error)              {}

// Guards against a core host that marks its state as confirmed without asking the
// leader: an edge host that restarted at a partitioned core host went back to an
// older version.
func TestStateIsConfirmedByAMajority(t *testing.T) {
	c := newTestCore(t, 3)
	c.startAll(3)
	agreed := c.submitUntilAgreed(1)
	c.waitRead(3, agreed)
	c.network.partition([]int{1, 2}, []int{3})
	newer := c.submitUntilAgreed(1, 2)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w := eventRecorder{make(chan *apiv1.FleetEvent, 100)}
	feed.New(ctx, &apiv1.FleetWatcher{Name: "edge", Address: "127.0.9.1:1", Incarnation: 1}, "", nil, w).SetSeeds([]string{c.address(3)})
	for range 8 { // heartbeats; they span several times confirmRetryDelay
		assert.Assert(t, !(<-w.events).GetConfirmed(), "confirmed by a host without a majority")
	}
	c.network.heal()
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
	assert.Assert(t, version >= newer, "confirmed %d, committed %d", version, newer)
}
