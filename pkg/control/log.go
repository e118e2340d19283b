package control

import "context"

// Log keeps the machines of all control hosts in agreement.
type Log interface {
	// Propose replicates a command and returns what Apply returned for it.
	// After NoQuorum the command may still be applied.
	Propose(ctx context.Context, command []byte) (any, error)
	// ReadBarrier returns after this host has applied every command that was
	// applied anywhere before the call.
	ReadBarrier(ctx context.Context) error
	// ChangeMember changes the membership by one member.
	ChangeMember(ctx context.Context, change MemberChange) error
	// Status describes this host and its view of the others.
	Status() LogStatus
}

// MemberAction is a kind of membership change.
type MemberAction uint8

// Membership changes.
const (
	AddLearner MemberAction = 1
	Promote    MemberAction = 2
	Remove     MemberAction = 3
)

// MemberChange names a control host and what to do with it.
type MemberChange struct {
	Action  MemberAction
	ID      uint64
	Address string
}

// LogMember is one control host.
type LogMember struct {
	ID      uint64
	Address string
	Voter   bool
	Match   uint64 // durable log index as far as the leader knows
}

// LogStatus describes a control host and its view of the others.
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

// member returns the member of that id.
func (s LogStatus) member(id uint64) (LogMember, bool) {
	for _, m := range s.Members {
		if m.ID == id {
			return m, true
		}
	}
	return LogMember{}, false
}
