// Package replica keeps one machine in agreement with the other control
// hosts: it drives the consensus of pkg/raft with the log of pkg/wal, a gRPC
// transport and the clock.
package replica

import (
	"context"
	"net"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"

	"jackdawtrack.example/jackdawtrack/pkg/logging"
	"jackdawtrack.example/jackdawtrack/pkg/raft"
	"jackdawtrack.example/jackdawtrack/pkg/result"
	"jackdawtrack.example/jackdawtrack/pkg/wal"
)

// Member is one host of the membership.
type Member = raft.Member

// Machine is the replicated state. Its methods are called from one goroutine.
type Machine interface {
	// Apply executes a committed command. It must be deterministic. The
	// returned value goes to the proposer on this host only. The machine must
	// not keep the command's bytes after it returns.
	Apply(index uint64, command []byte) any
	// Snapshot returns the whole state after the last applied command.
	Snapshot() ([]byte, error)
	// Restore replaces the state by a snapshot.
	Restore(data []byte) error
}

// Defaults of Config.
const (
	DefaultTick = 100 * time.Millisecond
	// DefaultHeartbeatTicks keeps a leader of three hosts near 1.2 KB/s; with
	// a heartbeat each tick it sends 3.6 KB/s, most of the 4 KB/s that a host
	// has for control.
	DefaultHeartbeatTicks = 3
	DefaultElectionTicks  = 15      // the timeout is 15 to 30 ticks, 1.5 to 3 s
	DefaultSnapshotBytes  = 8 << 20 // log size that triggers a snapshot
)

// Config of a replica. ID, Folder and Address must be set.
type Config struct {
	ID      uint64
	Folder  string
	Address string // IP and port at which the other members reach this host
	// Bootstrap lists ID and Address of all members of a new group, this one
	// included. The member with the lowest ID founds the group when every
	// listed member answers that its folder is new. It is ignored by a folder
	// that already belongs to a group. Leave it empty to join a group as a
	// learner through ChangeMember.
	Bootstrap []Member

	// Dial opens a connection to a member, TCP if nil.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// DialOptions are added to those of the transport, for example transport
	// credentials. Without any, connections are not encrypted.
	DialOptions []grpc.DialOption

	Tick           time.Duration // DefaultTick if 0
	HeartbeatTicks int           // DefaultHeartbeatTicks if 0
	ElectionTicks  int           // DefaultElectionTicks if 0
	SnapshotBytes  int64         // DefaultSnapshotBytes if 0
	SegmentBytes   int64         // wal.DefaultSegmentBytes if 0
	Seed           uint64        // of election timeouts, random if 0

	FS       wal.FS           // the operating system's if nil
	Registry metrics.Registry // metrics.DefaultRegistry if nil
	Logger   *logrus.Entry    // part "raft" if nil
}

func (c *Config) setDefaults() error {
	if c.ID == 0 || c.Folder == "" || c.Address == "" {
		return result.New(result.InvalidSettings, "id, folder and address of the control host must be set")
	}
	setDefault(&c.Tick, DefaultTick)
	setDefault(&c.HeartbeatTicks, DefaultHeartbeatTicks)
	setDefault(&c.ElectionTicks, DefaultElectionTicks)
	setDefault(&c.SnapshotBytes, DefaultSnapshotBytes)
	if c.ElectionTicks <= c.HeartbeatTicks {
		return result.New(result.InvalidSettings, "election time must be greater than heartbeat time")
	}
	if c.Registry == nil {
		c.Registry = metrics.DefaultRegistry
	}
	if c.Logger == nil {
		c.Logger = logging.For("raft")
	}
	return nil
}

func setDefault[T comparable](v *T, value T) {
	var zero T
	if *v == zero {
		*v = value
	}
}

// Action is a membership change.
type Action uint8

const (
	// AddLearner adds a member that receives the log without a vote. For a
	// member whose disk was wiped it replaces the old identity by the new one.
	AddLearner Action = 1
	// Promote gives a learner its vote. NotCaughtUp is returned until the
	// learner has every committed entry on its disk.
	Promote Action = 2
	// Remove takes a member out of the group.
	Remove Action = 3
	// Demote takes the vote of a member away; it stays as a learner.
	Demote Action = 4
)

// MemberStatus is one member as this host sees it.
type MemberStatus struct {
	Member
	Match   uint64 // durable log index, known on the leader only
	Answers bool   // in the last two election times, known on the leader only
}

// Status describes this host and its view of the group.
type Status struct {
	ID            uint64
	Identity      uint64 // of the data folder
	IsNew         bool   // the folder has never belonged to a group
	Role          string
	Leader        uint64 // 0 if unknown
	LeaderAddress string
	Term          uint64
	Commit        uint64
	Applied       uint64
	LastIndex     uint64
	SnapshotIndex uint64
	DiskFull      bool
	Members       []MemberStatus
}
