package raft

// Default values of Config.
const (
	DefaultMaxMessageBytes    = 256 << 10
	DefaultMaxInflightAppends = 64 // unacknowledged appends per member
)

// Config configures a node. State, Snapshot and Entries are the durable state
// read from disk.
type Config struct {
	ID       uint64
	Identity uint64 // identity of the data folder, not 0
	// ElectionTicks is the minimum election timeout in ticks. Each timeout is
	// chosen at random from [ElectionTicks, 2*ElectionTicks).
	ElectionTicks      int
	HeartbeatTicks     int
	MaxMessageBytes    int             // approximate limit of the entries in one append, DefaultMaxMessageBytes if 0
	MaxInflightAppends int             // limit of unacknowledged appends per member, DefaultMaxInflightAppends if 0
	Rand               func(n int) int // uniform in [0, n)

	State    HardState
	Snapshot SnapshotMeta
	Entries  []Entry // must follow the snapshot without a gap
}

// Node is one member of the group. It is not safe for concurrent use. After each
// Ready, the caller must call Advance or Rollback before the next event.
type Node struct {
	cfg      Config
	log      raftLog
	snapshot SnapshotMeta // newest snapshot that the driver holds

	hardState        HardState
	durableHardState HardState // last hard state made durable
	role             Role
	leaderID         uint64 // 0 if unknown

	electionElapsed  int // ticks since the last leader message or granted vote; on a leader, since the last quorum check
	electionTimeout  int // ticks, chosen at random for each election
	heartbeatElapsed int // ticks since the last heartbeat was sent

	grantedVotes map[uint64]bool
	progress     map[uint64]*progress
	// commitAtCheck and commitAtPreviousCheck are the commit indexes at the last two
	// quorum checks of a leader, or its last index when it became the leader.
	commitAtCheck, commitAtPreviousCheck uint64

	reads    readQueue
	incoming incomingSnapshot
	// installingSnapshot is a received snapshot that is not durable yet.
	// Rollback restores logBeforeInstall and snapshotBeforeInstall.
	installingSnapshot    *Snapshot
	logBeforeInstall      *raftLog
	snapshotBeforeInstall SnapshotMeta

	outgoingMessages []Message
	completedReads   []ReadState
}

// New returns a follower with the durable state in c.
func New(c Config) *Node {
	if c.MaxMessageBytes == 0 {
		c.MaxMessageBytes = DefaultMaxMessageBytes
	}
	if c.MaxInflightAppends == 0 {
		c.MaxInflightAppends = DefaultMaxInflightAppends
	}
	n := &Node{cfg: c, snapshot: c.Snapshot, hardState: c.State, durableHardState: c.State}
	n.log = newLog(c.Snapshot, c.Entries)
	n.becomeFollower(n.hardState.Term, 0)
	return n
}

// BootstrapEntry returns the first log entry of a new group. Exactly one host
// may write it, and only after every member has reported that its data folder
// is new.
func BootstrapEntry(members []Member) Entry {
	return Entry{Index: 1, Term: 1, Kind: EntryMembership, Members: members}
}

// Tick advances the logical clock by one tick.
func (n *Node) Tick() {
	n.electionElapsed++
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.electionElapsed >= n.electionDelay() && n.canCampaign() {
		n.startPreVote()
	}
}

func (n *Node) tickLeader() {
	for _, p := range n.progress {
		p.silentTicks++
		p.leavingTicks = max(0, p.leavingTicks-1)
	}
	if n.electionElapsed >= n.cfg.ElectionTicks {
		n.electionElapsed = 0
		if !n.checkQuorumActive() {
			n.becomeFollower(n.hardState.Term, 0)
			return
		}
	}
	n.heartbeatElapsed++
	if n.heartbeatElapsed >= n.cfg.HeartbeatTicks {
		n.broadcastHeartbeat()
	}
}

// Step processes a message from another node.
func (n *Node) Step(m Message) {
	if !n.acceptsMessage(m) {
		return
	}
	switch {
	case m.Term > n.hardState.Term:
		if !n.handleHigherTerm(m) {
			return
		}
	case m.Term < n.hardState.Term:
		n.handleLowerTerm(m)
		return
	}
	n.handleMessage(m)
}

// acceptsMessage reports whether m is addressed to this node's ID and identity
// and, for a response, whether it comes from the identity that the membership
// lists for its sender.
func (n *Node) acceptsMessage(m Message) bool {
	if m.To != n.cfg.ID || m.ToIdentity != n.cfg.Identity {
		return false
	}
	switch m.Kind {
	case MsgPreVoteResponse, MsgVoteResponse, MsgAppendResponse, MsgHeartbeatResponse, MsgSnapshotChunkResponse, MsgLeave:
		from, ok := findMember(n.log.members(), m.From)
		return ok && from.Identity == m.FromIdentity
	}
	return true
}

// handleHigherTerm adopts the higher term of a message and reports whether to
// process the message. A pre-vote request or a granted pre-vote does not change
// the term. A vote request is ignored while a leader is active, so that a host
// that returns after a partition does not depose it.
func (n *Node) handleHigherTerm(m Message) bool {
	switch {
	case m.Kind == MsgPreVote, m.Kind == MsgPreVoteResponse && !m.Reject:
		return true
	case m.Kind == MsgVote && n.hasRecentLeaderContact():
		return false
	}
	n.becomeFollower(m.Term, 0)
	return true
}

// handleLowerTerm responds to a message of an earlier term with the current
// term, so that a stale leader or candidate updates its term.
func (n *Node) handleLowerTerm(m Message) {
	switch m.Kind {
	case MsgAppend, MsgHeartbeat, MsgSnapshotChunk:
		n.respond(m, Message{Kind: MsgAppendResponse, Reject: true})
	case MsgPreVote:
		n.respond(m, Message{Kind: MsgPreVoteResponse, Reject: true})
	}
}

func (n *Node) handleMessage(m Message) {
	switch m.Kind {
	case MsgPreVote, MsgVote:
		n.handleVoteRequest(m)
	case MsgPreVoteResponse, MsgVoteResponse:
		n.handleVoteResponse(m)
	case MsgAppend, MsgHeartbeat, MsgSnapshotChunk:
		n.handleLeaderMessage(m)
	case MsgAppendResponse, MsgHeartbeatResponse, MsgSnapshotChunkResponse:
		n.handleFollowerResponse(m)
	case MsgLeave:
		n.handleLeave(m)
	}
}

// Ready returns the pending work. CommittedEntries contains only entries that
// are durable once Entries and Snapshot have been written.
func (n *Node) Ready() Ready {
	r := Ready{
		Entries:          n.log.entriesBetween(n.log.durableIndex+1, n.log.last()),
		Snapshot:         n.installingSnapshot,
		Messages:         n.outgoingMessages,
		CommittedEntries: n.log.nextCommittedEntries(),
		ReadStates:       n.completedReads,
	}
	if n.hardState != n.durableHardState {
		hardState := n.hardState
		r.State = &hardState
	}
	return r
}

// Advance confirms that the work of the last Ready has been done.
func (n *Node) Advance() {
	n.log.appliedIndex += uint64(len(n.log.nextCommittedEntries()))
	n.log.durableIndex = n.log.last()
	n.durableHardState = n.hardState
	n.installingSnapshot, n.logBeforeInstall = nil, nil
	n.outgoingMessages, n.completedReads = nil, nil
	if n.role == Leader {
		n.advanceCommitIndex()
	}
}

// Rollback must be called instead of Advance when nothing of the last Ready
// could be made durable, for example on a full disk, and none of its messages
// were sent. The node returns to its durable state as a follower. The driver must
// treat all reads as failed. A follower keeps the leader of its last message, also of a
// term that is not durable, because it can pass calls on to it.
func (n *Node) Rollback() {
	leaderID := uint64(0)
	if n.role == Follower {
		leaderID = n.leaderID
	}
	if n.logBeforeInstall != nil {
		n.log, n.snapshot = *n.logBeforeInstall, n.snapshotBeforeInstall
	}
	if n.log.last() > n.log.durableIndex {
		n.log.commitIndex = min(n.log.commitIndex, n.log.durableIndex)
		n.log.truncateFrom(n.log.durableIndex + 1)
	}
	n.installingSnapshot, n.logBeforeInstall = nil, nil
	n.hardState = n.durableHardState
	n.becomeFollower(n.hardState.Term, leaderID)
	n.outgoingMessages, n.completedReads = nil, nil
}

// Compact records that the driver holds a durable snapshot at snapshotIndex,
// which must be applied, and removes the log entries up to discardIndex that the
// snapshot covers.
func (n *Node) Compact(snapshotIndex, discardIndex uint64) {
	n.snapshot = n.SnapshotMeta(snapshotIndex)
	n.log.compact(min(snapshotIndex, discardIndex))
}

// SnapshotMeta returns the metadata of a state machine snapshot at an applied
// index.
func (n *Node) SnapshotMeta(index uint64) SnapshotMeta {
	term, _ := n.log.term(index)
	return SnapshotMeta{Index: index, Term: term, Members: n.log.membersAt(index)}
}

// becomeFollower makes the node a follower and fails its reads. A higher term is
// adopted and starts without a vote.
func (n *Node) becomeFollower(term, leaderID uint64) {
	if term > n.hardState.Term {
		n.hardState = HardState{Term: term}
	}
	n.role, n.leaderID = Follower, leaderID
	n.grantedVotes, n.progress = nil, nil
	n.commitAtCheck, n.commitAtPreviousCheck = 0, 0
	n.failReads()
	n.resetElectionTimer()
}

func (n *Node) resetElectionTimer() {
	n.electionElapsed = 0
	n.electionTimeout = n.cfg.ElectionTicks + n.cfg.Rand(n.cfg.ElectionTicks)
}

// hasRecentLeaderContact reports whether a leader is known and sent a message
// within the minimum election timeout.
func (n *Node) hasRecentLeaderContact() bool {
	return n.leaderID != 0 && n.electionElapsed < n.cfg.ElectionTicks
}

func (n *Node) send(to Member, m Message) {
	m.From, m.FromIdentity = n.cfg.ID, n.cfg.Identity
	m.To, m.ToIdentity = to.ID, to.Identity
	if m.Term == 0 {
		m.Term = n.hardState.Term
	}
	n.outgoingMessages = append(n.outgoingMessages, m)
}

// respond sends m to the sender of the request.
func (n *Node) respond(request, m Message) {
	n.send(Member{ID: request.From, Identity: request.FromIdentity}, m)
}
