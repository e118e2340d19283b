package replica

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"
	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/raft"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

func codeOf(err error) result.Code {
	code, _ := result.CodeOf(err)
	return code
}

// Guards against changes that are lost by a restart (F8).
func TestRestartAfterHundredsOfChanges(t *testing.T) {
	const changes = 300
	g := newGroup(t, 1)
	m := g.start(1)
	for i := range changes {
		got, err := m.Propose(g.context(), fmt.Appendf(nil, "change %d", i))
		assert.NilError(t, err)
		assert.Equal(t, got, i+1)
	}
	g.stop(1)
	m = g.start(1)
	assert.NilError(t, m.ReadBarrier(g.context()))
	list := m.machine.list()
	assert.Equal(t, len(list), changes)
	assert.Equal(t, list[changes-1], fmt.Sprintf("change %d", changes-1))
}

// Guards against two processes that write to one folder.
func TestTwoProcessesOnOneFolder(t *testing.T) {
	g := newGroup(t, 1)
	g.start(1)
	_, err := Open(g.config(1), &listMachine{})
	assert.Equal(t, codeOf(err), result.FolderLocked)
}

// Guards against members that apply different changes, results that go to
// another proposer, and changes lost when all hosts restart.
func TestGroupAgreesAndRestarts(t *testing.T) {
	const clients, each = 8, 20
	g := newGroup(t, 3)
	g.startAll()
	var wait sync.WaitGroup
	var positions [clients][each]any
	for c := range clients {
		wait.Go(func() {
			for i := range each {
				positions[c][i] = g.propose(fmt.Sprintf("%d/%d", c, i))
			}
		})
	}
	wait.Wait()
	want := g.leader().machine.list()
	for c := range clients {
		for i, at := range positions[c] {
			assert.Equal(t, want[at.(int)-1], fmt.Sprintf("%d/%d", c, i))
		}
	}
	for id := range uint64(3) {
		g.stop(id + 1)
	}
	g.startAll()
	l := g.leader()
	for _, m := range g.members {
		g.waitApplied(m, l.Status().Commit)
		assert.DeepEqual(t, m.machine.list(), want)
	}
}

// Guards against a refusal that does not say where to go.
func TestFollowerNamesLeader(t *testing.T) {
	g := newGroup(t, 3)
	g.startAll()
	l := g.leader()
	for id, m := range g.members {
		for m != l {
			// Another election may come in between; then no leader is known.
			_, err := m.Wait(g.context(), func(s Status) bool { return s.Leader != 0 && s.Leader != id })
			assert.NilError(t, err)
			_, err = m.Propose(g.context(), []byte("x"))
			if codeOf(err) == result.NoQuorum {
				continue
			}
			if err == nil {
				break
			}
			assert.Equal(t, codeOf(err), result.NotLeader)
			assert.Assert(t, g.net.listeners[LeaderOf(err)] != nil && LeaderOf(err) != address(id), "%v", err)
			break
		}
	}
}

// Guards against a leader without majority that confirms a command or a read.
func TestCutOffLeaderConfirmsNothing(t *testing.T) {
	g := newGroup(t, 3)
	g.startAll()
	l := g.leader()
	g.propose("before")
	g.net.setCut(l.config.Address, true)
	_, err := l.Propose(g.context(), []byte("cut off"))
	assert.Equal(t, codeOf(err), result.NoQuorum)
	assert.ErrorContains(t, err, "resend it with the same command id")
	assert.Assert(t, !errors.Is(err, context.DeadlineExceeded), "the leader did not notice that it is cut off")
	var others []uint64
	for id := range g.members {
		if g.members[id] != l {
			others = append(others, id)
		}
	}
	g.propose("after", others...)
	assert.Equal(t, codeOf(l.ReadBarrier(g.context())), result.NoQuorum)
	g.net.setCut(l.config.Address, false)
	g.waitApplied(l, g.leader(others...).Status().Commit)
	list := l.machine.list()
	assert.Assert(t, slices.Contains(list, "after") && !slices.Contains(list, "cut off"), "%v", list)
}

// Guards against a stale read from a leader that was replaced and does not
// know it yet.
func TestReplacedLeaderConfirmsNoRead(t *testing.T) {
	const founder, longTicks, shortTicks, readTimeout = 1, 10000, 50, time.Second
	g := newGroup(t, 3)
	g.adjust = func(c *Config) {
		c.ElectionTicks = shortTicks
		if c.ID == founder {
			c.ElectionTicks = longTicks // it does not step down by itself
		}
	}
	g.startAll()
	g.propose("before", founder)
	old := g.members[founder]
	g.net.setCut(address(founder), true)
	g.propose("after", 2, 3)
	assert.Equal(t, old.Status().Role, "leader")
	ctx, cancel := context.WithTimeout(g.context(), readTimeout)
	defer cancel()
	assert.Equal(t, codeOf(old.ReadBarrier(ctx)), result.NoQuorum)
}

// Guards against connections that go silent for good while new ones work (F9).
func TestSilentConnectionsAreReplaced(t *testing.T) {
	g := newGroup(t, 3)
	// The pings of gRPC would replace the connections too, but only after 12 s.
	g.adjust = func(c *Config) {
		c.DialOptions = []grpc.DialOption{grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: time.Hour})}
	}
	g.startAll()
	g.propose("before")
	for id := range g.members {
		g.net.silence(address(id))
	}
	g.propose("after")
	l := g.leader()
	for _, m := range g.members {
		g.waitApplied(m, l.Status().Commit)
		assert.DeepEqual(t, m.machine.list(), []string{"before", "after"})
	}
}

// repair replaces a wiped host and promotes it as soon as that is allowed.
func (g *group) repair(id uint64) {
	l := g.leader()
	assert.NilError(g.t, l.ChangeMember(g.context(), AddLearner, Member{ID: id, Address: address(id)}))
	for {
		err := l.ChangeMember(g.context(), Promote, Member{ID: id})
		if err == nil {
			return
		}
		assert.Assert(g.t, codeOf(err) == result.NotCaughtUp || codeOf(err) == result.MemberPending, "%v", err)
		_, err = l.Wait(g.context(), func(s Status) bool {
			i := slices.IndexFunc(s.Members, func(m MemberStatus) bool { return m.ID == id })
			return s.Members[i].Match >= s.Commit
		})
		assert.NilError(g.t, err)
	}
}

// Guards against a wiped founder that founds a second group, a learner that
// counts before it has the snapshot, and changes lost when a second host is
// lost right after the repair (F7).
func TestSecondHostLostRightAfterRepair(t *testing.T) {
	const changes = 200
	g := newGroup(t, 3)
	g.log = 32 << 10
	g.startAll()
	var want []string
	for i := range changes {
		// The padding makes the snapshot larger than one chunk.
		want = append(want, fmt.Sprintf("%d %s", i, strings.Repeat("x", 1000)))
		g.propose(want[i])
	}
	wiped := g.wipe(1)
	g.repair(1)
	assert.Assert(t, wiped.metrics.restored.Count() > 0, "the log alone brought the learner up to date")
	g.wipe(2)
	l := g.leader(1, 3)
	assert.NilError(t, l.ReadBarrier(g.context()))
	assert.DeepEqual(t, l.machine.list(), want)
	assert.Assert(t, g.members[2].Status().IsNew)
	g.repair(2)
	assert.NilError(t, g.leader().ChangeMember(g.context(), Remove, Member{ID: 3}))
	g.stop(3)
	g.propose("last", 1, 2)
	assert.DeepEqual(t, g.leader(1, 2).machine.list(), append(want, "last"))
}

// Guards against a new member that never catches up because its first append
// was lost: it must answer a heartbeat of a leader that it does not know.
func TestNewMemberAnswersHeartbeat(t *testing.T) {
	g := newGroup(t, 1)
	leader := g.start(1)
	dialled := make(chan string, 10)
	g.size = 0
	g.adjust = func(c *Config) {
		c.Dial = func(_ context.Context, to string) (net.Conn, error) {
			dialled <- to
			return nil, errUnreachable
		}
	}
	learner := g.start(2)
	m := raft.Message{Kind: raft.MsgHeartbeat, From: 1, FromIdentity: leader.Status().Identity, To: 2, ToIdentity: learner.Status().Identity, Term: 1}
	b, err := encodeMessage(m, leader.worker.ownAddress(m))
	assert.NilError(t, err)
	got, from, err := decodeMessage(b)
	assert.NilError(t, err)
	learner.inbox <- received{got, from}
	select {
	case to := <-dialled:
		assert.Equal(t, to, address(1))
	case <-g.context().Done():
		t.Fatal("the member did not answer")
	}
}

// Guards against a host with a folder in use that joins another group.
func TestUsedFolderCannotJoin(t *testing.T) {
	g := newGroup(t, 1)
	g.start(1)
	g.size = 0
	stranger := g.start(2)
	assert.Assert(t, stranger.Status().IsNew)
	g.stop(2)
	c := g.config(2)
	c.Bootstrap = []Member{{ID: 2, Address: address(2)}}
	r, err := Open(c, &listMachine{})
	assert.NilError(t, err)
	r.Close()
	g.start(2)
	err = g.members[1].ChangeMember(g.context(), AddLearner, Member{ID: 2, Address: address(2)})
	assert.Equal(t, codeOf(err), result.InvalidCommand)
	assert.ErrorContains(t, err, "empty it first")
}
