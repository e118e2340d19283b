// Package replica replicates a state machine among the control hosts. It drives
// pkg/raft with the write-ahead log of pkg/wal, a gRPC transport and a ticker.
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

// Member is one host of the group.
type Member = raft.Member

// StateMachine is the replicated state machine. Its methods are called from one
// goroutine.
type StateMachine interface {
	// Apply executes a committed command. It must be deterministic. The returned
	// value is passed to the proposer if the command was proposed on this host.
	// Apply must not retain the command's bytes.
	Apply(index uint64, command []byte) any
	// Snapshot returns the complete state after the last applied command.
	Snapshot() ([]byte, error)
	// Restore replaces the state by that of a snapshot.
	Restore(data []byte) error
}

// Default values of Config.
const (
	DefaultTick = 100 * time.Millisecond
	// DefaultHeartbeatTicks is the heartbeat interval in ticks. With it, the
	// leader of an idle group of three sends about 1.2 KB/s. A heartbeat on each
	// tick would take 3.6 KB/s, most of a host's 4 KB/s for control traffic.
	DefaultHeartbeatTicks         = 3
	DefaultElectionTicks          = 15      // election timeout of 15 to 30 ticks, 1.5 to 3 s
	DefaultSnapshotThresholdBytes = 8 << 20 // log growth that triggers a snapshot
)

// Config configures a replica. ID, Folder and Address must be set.
type Config struct {
	ID      uint64 // member ID, not 0
	Folder  string // data folder
	Address string // IP and port at which the other members reach this host
	// Bootstrap lists ID and Address of all members of a new group, including
	// this one. The member with the lowest ID bootstraps the group once every
	// listed member reports that its data folder is new. A host whose folder
	// already belongs to a group ignores the list. Leave it empty to join an
	// existing group as a learner through ChangeMember.
	Bootstrap []Member

	// Dial opens a connection to a member. If nil, TCP is used.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// DialOptions are appended to the transport's own options, for example
	// transport credentials. Without credentials, connections are not encrypted.
	DialOptions []grpc.DialOption

	Tick                   time.Duration // tick interval, DefaultTick if 0
	HeartbeatTicks         int           // heartbeat interval, DefaultHeartbeatTicks if 0
	ElectionTicks          int           // minimum election timeout, DefaultElectionTicks if 0
	SnapshotThresholdBytes int64         // log growth that triggers a snapshot, DefaultSnapshotThresholdBytes if 0
	SegmentBytes           int64         // size at which a new log segment is started, wal.DefaultSegmentBytes if 0
	ElectionSeed           uint64        // seed of the random election timeouts, random if 0

	FS       wal.FS           // wal.OS if nil
	Registry metrics.Registry // metrics.DefaultRegistry if nil
	Logger   *logrus.Entry    // part "raft" if nil
}

func (c *Config) setDefaults() error {
	if c.ID == 0 || c.Folder == "" || c.Address == "" {
		return result.New(result.InvalidSettings, "id, data folder and address of the control host must be set")
	}
	setDefault(&c.Tick, DefaultTick)
	setDefault(&c.HeartbeatTicks, DefaultHeartbeatTicks)
	setDefault(&c.ElectionTicks, DefaultElectionTicks)
	setDefault(&c.SnapshotThresholdBytes, DefaultSnapshotThresholdBytes)
	if c.ElectionTicks <= c.HeartbeatTicks {
		return result.New(result.InvalidSettings, "election ticks must be greater than heartbeat ticks")
	}
	if c.Registry == nil {
		c.Registry = metrics.DefaultRegistry
	}
	if c.Logger == nil {
		c.Logger = logging.ForComponent("raft")
	}
	return nil
}

// setDefault sets *v to value if it is the zero value.
func setDefault[T comparable](v *T, value T) {
	var zero T
	if *v == zero {
		*v = value
	}
}

// Action is the kind of a membership change.
type Action uint8

const (
	// AddLearner adds a member that receives the log but does not vote. For a
	// member whose disk was wiped, it replaces the old identity by the new one.
	AddLearner Action = 1
	// PromoteLearner makes a learner a voter. It returns NotCaughtUp until the
	// learner holds every entry durably that was committed one to two election timeouts
	// ago.
	PromoteLearner Action = 2
	// RemoveMember removes a member from the group.
	RemoveMember Action = 3
	// DemoteVoter makes a voter a learner. A leader may demote itself.
	DemoteVoter Action = 4
)

// MemberStatus is one member as this host sees it.
type MemberStatus struct {
	Member
	// The leader's view of the member; zero on other hosts.
	Match    uint64        // match index
	Silent   time.Duration // time since its last response, or since the leader was elected or added it, to a Tick
	CaughtUp bool          // a learner that can be promoted
	Leaving  bool          // has announced its shutdown with Leave
}

// Status describes this host and its view of the group.
type Status struct {
	ID            uint64
	Identity      uint64 // identity of the data folder
	IsNew         bool   // the folder has never belonged to a group
	Role          string // follower, pre-candidate, candidate or leader
	Leader        uint64 // ID of the leader, 0 if unknown
	LeaderAddress string // "" if unknown
	Term          uint64
	Commit        uint64 // commit index
	Applied       uint64 // index of the last applied entry
	LastIndex     uint64 // index of the last log entry
	SnapshotIndex uint64 // last included index of the newest snapshot
	DiskFull      bool   // the last write failed for lack of space
	Members       []MemberStatus
	// MembersPending is set while Members is not known to be committed.
	MembersPending bool
}
