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

// A restart must not lose commands (F8).
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

// A data folder must not be opened by two processes at once.
func TestTwoProcessesOnOneFolder(t *testing.T) {
	g := newGroup(t, 1)
	g.start(1)
	_, err := Open(g.config(1), &listMachine{})
	assert.Equal(t, codeOf(err), result.FolderLocked)
}

// All members must apply the same commands, each proposer must get the result of
// its own command, and a restart of all hosts must not lose commands.
func TestGroupAgreesAndRestarts(t *testing.T) {
	const clients, perClient = 8, 20
	g := newGroup(t, 3)
	g.startAll()
	var wait sync.WaitGroup
	var positions [clients][perClient]any
	for c := range clients {
		wait.Go(func() {
			for i := range perClient {
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

// A follower must return the leader's address with NotLeader.
func TestFollowerNamesLeader(t *testing.T) {
	g := newGroup(t, 3)
	g.startAll()
	l := g.leader()
	for id, m := range g.members {
		for m != l {
			// If another election starts in between, no leader is known.
			_, err := m.WaitForStatus(g.context(), func(s Status) bool { return s.Leader != 0 && s.Leader != id })
			assert.NilError(t, err)
			_, err = m.Propose(g.context(), []byte("x"))
			if codeOf(err) == result.NoQuorum {
				continue
			}
			if err == nil {
				break
			}
			assert.Equal(t, codeOf(err), result.NotLeader)
			assert.Assert(t, g.net.listeners[LeaderAddress(err)] != nil && LeaderAddress(err) != address(id), "%v", err)
			break
		}
	}
}

// A leader without a majority must not confirm a command or a read.
func TestCutOffLeaderConfirmsNothing(t *testing.T) {
	g := newGroup(t, 3)
	g.startAll()
	l := g.leader()
	g.propose("before")
	g.net.setIsolated(l.config.Address, true)
	_, err := l.Propose(g.context(), []byte("cut off"))
	assert.Equal(t, codeOf(err), result.NoQuorum)
	assert.ErrorContains(t, err, "resend it with the same command id")
	assert.Assert(t, !errors.Is(err, context.DeadlineExceeded), "the isolated leader did not step down")
	var others []uint64
	for id := range g.members {
		if g.members[id] != l {
			others = append(others, id)
		}
	}
	g.propose("after", others...)
	assert.Equal(t, codeOf(l.ReadBarrier(g.context())), result.NoQuorum)
	g.net.setIsolated(l.config.Address, false)
	g.waitApplied(l, g.leader(others...).Status().Commit)
	list := l.machine.list()
	assert.Assert(t, slices.Contains(list, "after") && !slices.Contains(list, "cut off"), "%v", list)
}

// A leader that was replaced and has not stepped down yet must not confirm a read.
func TestReplacedLeaderConfirmsNoRead(t *testing.T) {
	const oldLeaderID, longTicks, shortTicks, readTimeout = 1, 10000, 50, time.Second
	g := newGroup(t, 3)
	g.modifyConfig = func(c *Config) {
		c.ElectionTicks = shortTicks
		if c.ID == oldLeaderID {
			c.ElectionTicks = longTicks // too long for its quorum check to make it step down
		}
	}
	g.startAll()
	g.propose("before", oldLeaderID)
	old := g.members[oldLeaderID]
	g.net.setIsolated(address(oldLeaderID), true)
	g.propose("after", 2, 3)
	assert.Equal(t, old.Status().Role, "leader")
	ctx, cancel := context.WithTimeout(g.context(), readTimeout)
	defer cancel()
	assert.Equal(t, codeOf(old.ReadBarrier(ctx)), result.NoQuorum)
}

// A connection that carries no data any more must be replaced, if new connections
// work (F9).
func TestSilentConnectionsAreReplaced(t *testing.T) {
	g := newGroup(t, 3)
	// The gRPC keepalive would also replace the connections, after 12 s.
	g.modifyConfig = func(c *Config) {
		c.DialOptions = []grpc.DialOption{grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: time.Hour})}
	}
	g.startAll()
	g.propose("before")
	for id := range g.members {
		g.net.silenceConnections(address(id))
	}
	g.propose("after")
	l := g.leader()
	for _, m := range g.members {
		g.waitApplied(m, l.Status().Commit)
		assert.DeepEqual(t, m.machine.list(), []string{"before", "after"})
	}
}

// replaceWipedHost adds a wiped host as a learner and promotes it as soon as the
// leader allows.
func (g *group) replaceWipedHost(id uint64) {
	l := g.leader()
	assert.NilError(g.t, l.ChangeMember(g.context(), AddLearner, Member{ID: id, Address: address(id)}))
	for {
		err := l.ChangeMember(g.context(), PromoteLearner, Member{ID: id})
		if err == nil {
			return
		}
		assert.Assert(g.t, codeOf(err) == result.NotCaughtUp || codeOf(err) == result.MemberPending, "%v", err)
		_, err = l.WaitForStatus(g.context(), func(s Status) bool {
			i := slices.IndexFunc(s.Members, func(m MemberStatus) bool { return m.ID == id })
			return s.Members[i].Match >= s.Commit
		})
		assert.NilError(g.t, err)
	}
}

// A wiped host with the lowest ID must not bootstrap a second group, a learner must
// not be promoted before it has the snapshot, and no command may be lost when a
// second host is lost right after the promotion (F7).
func TestSecondHostLostRightAfterRepair(t *testing.T) {
	const changes = 200
	g := newGroup(t, 3)
	g.snapshotThresholdBytes = 32 << 10
	g.startAll()
	var want []string
	for i := range changes {
		// The padding makes the snapshot larger than one chunk.
		want = append(want, fmt.Sprintf("%d %s", i, strings.Repeat("x", 1000)))
		g.propose(want[i])
	}
	wiped := g.wipe(1)
	g.replaceWipedHost(1)
	assert.Assert(t, wiped.metrics.restored.Count() > 0, "the learner caught up without a snapshot")
	g.wipe(2)
	l := g.leader(1, 3)
	assert.NilError(t, l.ReadBarrier(g.context()))
	assert.DeepEqual(t, l.machine.list(), want)
	assert.Assert(t, g.members[2].Status().IsNew)
	g.replaceWipedHost(2)
	assert.NilError(t, g.leader().ChangeMember(g.context(), RemoveMember, Member{ID: 3}))
	g.stop(3)
	g.propose("last", 1, 2)
	assert.DeepEqual(t, g.leader(1, 2).machine.list(), append(want, "last"))
}

// A new member must respond to a heartbeat of a leader that is not in its
// membership. Otherwise it never catches up if its first append was lost.
func TestNewMemberAnswersHeartbeat(t *testing.T) {
	g := newGroup(t, 1)
	leader := g.start(1)
	dialled := make(chan string, 10)
	g.size = 0
	g.modifyConfig = func(c *Config) {
		c.Dial = func(_ context.Context, to string) (net.Conn, error) {
			dialled <- to
			return nil, errUnreachable
		}
	}
	learner := g.start(2)
	m := raft.Message{Kind: raft.MsgHeartbeat, From: 1, FromIdentity: leader.Status().Identity, To: 2, ToIdentity: learner.Status().Identity, Term: 1}
	b, err := encodeMessage(m, leader.worker.replyAddress(m))
	assert.NilError(t, err)
	got, from, err := decodeMessage(b)
	assert.NilError(t, err)
	learner.inbox <- receivedMessage{got, from}
	select {
	case to := <-dialled:
		assert.Equal(t, to, address(1))
	case <-g.context().Done():
		t.Fatal("the member did not respond")
	}
}

// A host whose data folder belongs to a group must not join another one.
func TestUsedFolderCannotJoin(t *testing.T) {
	g := newGroup(t, 1)
	g.start(1)
	g.size = 0
	newHost := g.start(2)
	assert.Assert(t, newHost.Status().IsNew)
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
