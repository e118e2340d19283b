// Package raft implements the Raft consensus algorithm for the control hosts,
// with pre-vote, learners, single-server membership changes, snapshots and
// ReadIndex reads. It is deterministic: it uses no clock, disk, network or
// goroutine, and its source of randomness is injected. Events enter through
// Tick, Step, Propose, ProposeMembershipChange and ReadIndex; Ready returns what
// to write, send and apply.
package raft

import "slices"

// EntryKind is the type of a log entry.
type EntryKind uint8

const (
	// EntryNoOp carries nothing. Each new leader appends one first.
	EntryNoOp EntryKind = 0
	// EntryCommand holds a command for the replicated state machine in Data.
	EntryCommand EntryKind = 1
	// EntryMembership holds the complete new membership in Members.
	EntryMembership EntryKind = 2
)

// Entry is one entry of the replicated log.
type Entry struct {
	Index   uint64
	Term    uint64
	Kind    EntryKind
	Data    []byte
	Members []Member
}

// Member is one host of the group.
type Member struct {
	ID uint64
	// Identity is the random identity of the data folder that the host
	// joined with. Messages to another identity and responses from another
	// identity under the same ID are dropped, so a host with a wiped disk
	// cannot vote twice in a term.
	Identity uint64
	Address  string
	Learner  bool // receives the log but does not vote
}

// HardState is the state that must be durable before messages are sent.
type HardState struct {
	Term uint64
	// Vote is the identity of the candidate that received the vote in Term, 0
	// if none. It is not an ID, because the old and the new disk of one host may
	// both request a vote.
	Vote uint64
}

// SnapshotMeta describes a snapshot of the state machine.
type SnapshotMeta struct {
	Index   uint64   // last included index, 0 if there is no snapshot
	Term    uint64   // last included term
	Members []Member // membership at Index
}

// Snapshot is a complete snapshot received from a leader.
type Snapshot struct {
	Meta SnapshotMeta
	Data []byte
}

// Role is the role of a node in its current term.
type Role uint8

// The roles of a node.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the name of the role in lower case.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// MessageKind is the type of a message.
type MessageKind uint8

// The kinds of messages. Each request is followed by its response; MsgLeave has none.
const (
	MsgPreVote MessageKind = iota + 1
	MsgPreVoteResponse
	MsgVote
	MsgVoteResponse
	MsgAppend
	MsgAppendResponse
	MsgHeartbeat
	MsgHeartbeatResponse
	MsgSnapshotChunk
	MsgSnapshotChunkResponse
	MsgLeave
)

// Message is a request or response between two nodes. Fields that a kind does
// not use are zero.
type Message struct {
	Kind         MessageKind
	From, To     uint64
	FromIdentity uint64
	ToIdentity   uint64 // identity that the sender expects at To
	Term         uint64

	// Index and LogTerm are the index and term of: the candidate's last entry in
	// a vote request, the entry before Entries in an append, the matching entry
	// in a response (Index only), or the conflict hint in a rejection.
	Index   uint64
	LogTerm uint64
	Entries []Entry
	Commit  uint64 // commit index of the leader
	Reject  bool
	// Probe is the Index of the append that a rejection answers.
	Probe uint64
	// Read is the last read round that a heartbeat or its response confirms.
	Read uint64

	// Snapshot, Offset, Data and Last describe a snapshot chunk. Ready leaves
	// Data and Last empty; the driver sets them from its newest snapshot with
	// FillSnapshotChunk. In a response, Offset is the number of bytes received.
	Snapshot SnapshotMeta
	Offset   uint64
	Data     []byte
	Last     bool
}

// MaxSnapshotChunkBytes is the maximum size of Data in a snapshot chunk.
const MaxSnapshotChunkBytes = 64 << 10

// FillSnapshotChunk sets Data and Last of a MsgSnapshotChunk message to the
// chunk of the snapshot data at Offset.
func FillSnapshotChunk(m *Message, data []byte) {
	from := min(m.Offset, uint64(len(data)))
	to := min(from+MaxSnapshotChunkBytes, uint64(len(data)))
	m.Data = data[from:to]
	m.Last = to == uint64(len(data))
}

// ReadState is the result of the ReadIndex call with the same ID. The read may
// be served once the state machine has applied Index.
type ReadState struct {
	ID    uint64
	Index uint64
	// Failed is set if the node lost its leadership before a majority
	// confirmed the read.
	Failed bool
}

// Ready is the pending work of a node. The driver must do it in this order:
// make Snapshot (which replaces the log), State and Entries durable; send
// Messages; restore Snapshot and apply CommittedEntries; call Advance.
type Ready struct {
	State            *HardState // nil if unchanged
	Entries          []Entry
	Snapshot         *Snapshot
	Messages         []Message
	CommittedEntries []Entry
	ReadStates       []ReadState
}

// IsEmpty reports whether there is no work to do.
func (r Ready) IsEmpty() bool {
	return r.State == nil && r.Snapshot == nil && len(r.Entries) == 0 &&
		len(r.Messages) == 0 && len(r.CommittedEntries) == 0 && len(r.ReadStates) == 0
}

func findMember(members []Member, id uint64) (Member, bool) {
	i := slices.IndexFunc(members, func(m Member) bool { return m.ID == id })
	if i < 0 {
		return Member{}, false
	}
	return members[i], true
}
