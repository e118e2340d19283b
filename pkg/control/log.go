package control

import "context"

// Log replicates commands to the state machines of all control hosts.
type Log interface {
	// Propose replicates a command and returns the result of Apply. After a
	// NoQuorum error the command may still be applied.
	Propose(ctx context.Context, command []byte) (any, error)
	// ReadBarrier returns once this host has applied every command that any
	// host had applied before the call.
	ReadBarrier(ctx context.Context) error
	// ChangeMember adds, promotes or removes one member.
	ChangeMember(ctx context.Context, change MemberChange) error
	// Status returns this host's view of the group.
	Status() LogStatus
}

// MemberAction is the kind of a membership change.
type MemberAction uint8

// Kinds of membership changes.
const (
	AddLearner     MemberAction = 1
	PromoteLearner MemberAction = 2
	RemoveMember   MemberAction = 3
)

// MemberChange is a change of the membership of one control host.
type MemberChange struct {
	Action  MemberAction
	ID      uint64
	Address string
}

// LogMember describes one control host of the group.
type LogMember struct {
	ID      uint64
	Address string
	Voter   bool
	Match   uint64 // last durable log index known to the leader
}

// LogStatus describes a control host and its view of the group.
type LogStatus struct {
	ID            uint64
	Leader        uint64 // 0 if unknown
	LeaderAddress string
	Term          uint64
	Commit        uint64
	Applied       uint64
	DiskFull      bool
	Members       []LogMember
}

// Leading reports whether the host considers itself the leader.
func (s LogStatus) Leading() bool { return s.Leader != 0 && s.Leader == s.ID }

// member returns the member with the given id.
func (s LogStatus) member(id uint64) (LogMember, bool) {
	for _, m := range s.Members {
		if m.ID == id {
			return m, true
		}
	}
	return LogMember{}, false
}
