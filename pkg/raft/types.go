// Package raft is the consensus state machine of the control hosts. It is
// pure: it has no clock, disk, network or goroutine, and its randomness is
// injected. Events go in through Tick, Step, Propose, ProposeMembership and
// ReadIndex; Ready returns what to write, send and apply.
package raft

import "slices"

// EntryKind tells what an entry holds.
type EntryKind uint8

const (
	// EntryEmpty is the first entry of each leader.
	EntryEmpty EntryKind = 0
	// EntryCommand holds a command of the replicated machine in Data.
	EntryCommand EntryKind = 1
	// EntryMembership holds the whole new membership in Members.
	EntryMembership EntryKind = 2
)

// Entry is one item of the replicated log.
type Entry struct {
	Index   uint64
	Term    uint64
	Kind    EntryKind
	Data    []byte
	Members []Member
}

// Member is one host of the membership.
type Member struct {
	ID uint64
	// Identity is the random identity of the data folder that the host
	// joined with. Messages of another identity under the same ID are
	// dropped, so a host with a wiped disk does not vote again.
	Identity uint64
	Address  string
	Learner  bool // receives the log but does not vote
}

// HardState must be durable before messages are sent.
type HardState struct {
	Term uint64
	// Vote is the identity that got the vote in Term, 0 if none. An identity
	// and not an ID, because an old and a new disk of one host may both ask.
	Vote uint64
}

// SnapshotMeta describes a snapshot of the machine.
type SnapshotMeta struct {
	Index   uint64 // last entry that the snapshot covers, 0 means none
	Term    uint64
	Members []Member
}

// Snapshot is a whole snapshot received from a leader.
type Snapshot struct {
	Meta SnapshotMeta
	Data []byte
}

// Role of a node.
type Role uint8

// Values of Role.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role in lower case.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// MessageKind tells what a message asks or answers.
type MessageKind uint8

// Values of MessageKind.
const (
	MsgPreVote MessageKind = iota + 1
	MsgPreVoteAnswer
	MsgVote
	MsgVoteAnswer
	MsgAppend
	MsgAppendAnswer
	MsgHeartbeat
	MsgHeartbeatAnswer
	MsgSnapshotChunk
	MsgSnapshotAnswer
)

// Message is sent between nodes. Fields not listed for a kind are zero.
type Message struct {
	Kind         MessageKind
	From, To     uint64
	FromIdentity uint64
	ToIdentity   uint64 // identity the sender expects at To
	Term         uint64

	// Index and LogTerm are the last entry of a candidate, the entry before
	// Entries, the match of an answer, or the conflict hint of a rejection.
	Index   uint64
	LogTerm uint64
	Entries []Entry
	Commit  uint64
	Reject  bool
	// Probe is the Index of the rejected append.
	Probe uint64
	// Read is the number of the last read request that a heartbeat confirms.
	Read uint64

	// Snapshot, Offset, Data and Last describe a chunk. Ready leaves Data and
	// Last empty; the driver fills them from its newest snapshot with
	// FillChunk. An answer holds in Offset the bytes received so far.
	Snapshot SnapshotMeta
	Offset   uint64
	Data     []byte
	Last     bool
}

// SnapshotChunkBytes is the largest Data of a chunk.
const SnapshotChunkBytes = 64 << 10

// FillChunk sets Data and Last of a chunk message from the snapshot data.
func FillChunk(m *Message, data []byte) {
	from := min(m.Offset, uint64(len(data)))
	to := min(from+SnapshotChunkBytes, uint64(len(data)))
	m.Data = data[from:to]
	m.Last = to == uint64(len(data))
}

// ReadState releases the read request with number ID once the machine has
// applied Index.
type ReadState struct {
	ID    uint64
	Index uint64
	// Failed means that the node lost its leadership before a majority
	// confirmed the read.
	Failed bool
}

// Ready is the work that a node asks its driver to do, in this order: make
// Snapshot (replacing the log), State and Entries durable; send Messages;
// restore Snapshot and apply Committed; call Advance.
type Ready struct {
	State     *HardState // nil if unchanged
	Entries   []Entry
	Snapshot  *Snapshot
	Messages  []Message
	Committed []Entry
	Reads     []ReadState
}

// Empty tells that there is nothing to do.
func (r Ready) Empty() bool {
	return r.State == nil && r.Snapshot == nil && len(r.Entries) == 0 &&
		len(r.Messages) == 0 && len(r.Committed) == 0 && len(r.Reads) == 0
}

func findMember(members []Member, id uint64) (Member, bool) {
	i := slices.IndexFunc(members, func(m Member) bool { return m.ID == id })
	if i < 0 {
		return Member{}, false
	}
	return members[i], true
}
