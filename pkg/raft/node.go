package raft

// Defaults of Config.
const (
	DefaultMaxMessageBytes = 256 << 10
	DefaultMaxInflight     = 64 // appends without an answer per member
)

// Config of a node. State, Snapshot and Entries are what the disk holds.
type Config struct {
	ID       uint64
	Identity uint64 // of the data folder, not 0
	// ElectionTicks is the shortest time without a leader before an election;
	// the actual time is random between one and two times this value.
	ElectionTicks   int
	HeartbeatTicks  int
	MaxMessageBytes int             // DefaultMaxMessageBytes if 0
	MaxInflight     int             // DefaultMaxInflight if 0
	Rand            func(n int) int // uniform in [0, n)

	State    HardState
	Snapshot SnapshotMeta
	Entries  []Entry // follow the snapshot without a gap
}

// Node is one member. It is used by one goroutine, which calls Ready and then
// Advance or Rollback before the next event.
type Node struct {
	cfg      Config
	log      raftLog
	snapshot SnapshotMeta // newest one that the driver holds

	state  HardState
	saved  HardState // durable
	role   Role
	leader uint64

	elapsed   int // ticks since the last sign of a leader, or quorum check
	timeout   int // ticks, random per election
	heartbeat int // ticks since the last heartbeat sent

	votes    map[uint64]bool
	progress map[uint64]*progress

	reads    readQueue
	incoming incomingSnapshot
	// installing is a received snapshot that is not durable yet; replaced and
	// replacedSnapshot are what it replaces.
	installing       *Snapshot
	replaced         *raftLog
	replacedSnapshot SnapshotMeta

	messages []Message
	released []ReadState
}

// New returns a node with the durable state of its disk.
func New(c Config) *Node {
	if c.MaxMessageBytes == 0 {
		c.MaxMessageBytes = DefaultMaxMessageBytes
	}
	if c.MaxInflight == 0 {
		c.MaxInflight = DefaultMaxInflight
	}
	n := &Node{cfg: c, snapshot: c.Snapshot, state: c.State, saved: c.State}
	n.log = newLog(c.Snapshot, c.Entries)
	n.becomeFollower(n.state.Term, 0)
	return n
}

// FoundingEntry is the first entry of a new group. Exactly one host may
// write it, and only after every member has told that its folder is new.
func FoundingEntry(members []Member) Entry {
	return Entry{Index: 1, Term: 1, Kind: EntryMembership, Members: members}
}

// Tick advances the time by one tick.
func (n *Node) Tick() {
	n.elapsed++
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.elapsed >= n.timeout && n.mayCampaign() {
		n.preCampaign()
	}
}

func (n *Node) tickLeader() {
	if n.elapsed >= n.cfg.ElectionTicks {
		n.elapsed = 0
		if !n.hasActiveQuorum() {
			n.becomeFollower(n.state.Term, 0)
			return
		}
	}
	n.heartbeat++
	if n.heartbeat >= n.cfg.HeartbeatTicks {
		n.broadcastHeartbeat()
	}
}

// Step handles a message of another node.
func (n *Node) Step(m Message) {
	if !n.accepts(m) {
		return
	}
	switch {
	case m.Term > n.state.Term:
		if !n.stepNewer(m) {
			return
		}
	case m.Term < n.state.Term:
		n.stepOlder(m)
		return
	}
	n.dispatch(m)
}

// accepts drops messages meant for another identity under this ID, and
// answers of an identity that is not the member of that ID.
func (n *Node) accepts(m Message) bool {
	if m.To != n.cfg.ID || m.ToIdentity != n.cfg.Identity {
		return false
	}
	switch m.Kind {
	case MsgPreVoteAnswer, MsgVoteAnswer, MsgAppendAnswer, MsgHeartbeatAnswer, MsgSnapshotAnswer:
		from, ok := findMember(n.log.members(), m.From)
		return ok && from.Identity == m.FromIdentity
	}
	return true
}

// stepNewer raises the term where the message proves that it is in use. A
// pre-vote proves nothing, and a vote request is ignored while a leader is
// heard, so that a returning host does not disturb it.
func (n *Node) stepNewer(m Message) bool {
	switch {
	case m.Kind == MsgPreVote, m.Kind == MsgPreVoteAnswer && !m.Reject:
		return true
	case m.Kind == MsgVote && n.hearsLeader():
		return false
	}
	n.becomeFollower(m.Term, 0)
	return true
}

// stepOlder tells the sender the newer term, so that a leader or candidate
// that lags behind in terms does not stay stuck.
func (n *Node) stepOlder(m Message) {
	switch m.Kind {
	case MsgAppend, MsgHeartbeat, MsgSnapshotChunk:
		n.answer(m, Message{Kind: MsgAppendAnswer, Reject: true})
	case MsgPreVote:
		n.answer(m, Message{Kind: MsgPreVoteAnswer, Reject: true})
	}
}

func (n *Node) dispatch(m Message) {
	switch m.Kind {
	case MsgPreVote, MsgVote:
		n.onVoteRequest(m)
	case MsgPreVoteAnswer, MsgVoteAnswer:
		n.onVoteAnswer(m)
	case MsgAppend, MsgHeartbeat, MsgSnapshotChunk:
		n.onLeaderMessage(m)
	case MsgAppendAnswer, MsgHeartbeatAnswer, MsgSnapshotAnswer:
		n.onFollowerAnswer(m)
	}
}

// Ready returns the work to do. Committed entries never go beyond what is
// durable after Entries and Snapshot are.
func (n *Node) Ready() Ready {
	r := Ready{
		Entries:   n.log.slice(n.log.stable+1, n.log.last()),
		Snapshot:  n.installing,
		Messages:  n.messages,
		Committed: n.log.toApply(),
		Reads:     n.released,
	}
	if n.state != n.saved {
		state := n.state
		r.State = &state
	}
	return r
}

// Advance confirms that the work of the last Ready is done.
func (n *Node) Advance() {
	n.log.applied += uint64(len(n.log.toApply()))
	n.log.stable = n.log.last()
	n.saved = n.state
	n.installing, n.replaced = nil, nil
	n.messages, n.released = nil, nil
	if n.role == Leader {
		n.maybeCommit()
	}
}

// Rollback is called instead of Advance when nothing of the last Ready could
// be made durable (full disk) and none of its messages were sent. The node
// continues as after a restart. The driver must treat all reads as failed.
func (n *Node) Rollback() {
	if n.replaced != nil {
		n.log, n.snapshot = *n.replaced, n.replacedSnapshot
	}
	if n.log.last() > n.log.stable {
		n.log.commit = min(n.log.commit, n.log.stable)
		n.log.truncate(n.log.stable + 1)
	}
	n.installing, n.replaced = nil, nil
	n.state = n.saved
	n.becomeFollower(n.state.Term, 0)
	n.messages, n.released = nil, nil
}

// Compact tells that the driver holds a durable snapshot of all entries up to
// index, which must be applied, and that entries up to keepAfter may go.
func (n *Node) Compact(index, keepAfter uint64) {
	n.snapshot = n.SnapshotMeta(index)
	n.log.compact(min(index, keepAfter))
}

// SnapshotMeta describes a snapshot of the machine at an applied index.
func (n *Node) SnapshotMeta(index uint64) SnapshotMeta {
	term, _ := n.log.term(index)
	return SnapshotMeta{Index: index, Term: term, Members: n.log.membersAt(index)}
}

// becomeFollower also raises the term. A new term has no vote yet.
func (n *Node) becomeFollower(term, leader uint64) {
	if term > n.state.Term {
		n.state = HardState{Term: term}
	}
	n.role, n.leader = Follower, leader
	n.votes, n.progress = nil, nil
	n.failReads()
	n.resetElection()
}

func (n *Node) resetElection() {
	n.elapsed = 0
	n.timeout = n.cfg.ElectionTicks + n.cfg.Rand(n.cfg.ElectionTicks)
}

// hearsLeader is true while a leader was heard within the shortest election
// time.
func (n *Node) hearsLeader() bool {
	return n.leader != 0 && n.elapsed < n.cfg.ElectionTicks
}

func (n *Node) send(to Member, m Message) {
	m.From, m.FromIdentity = n.cfg.ID, n.cfg.Identity
	m.To, m.ToIdentity = to.ID, to.Identity
	if m.Term == 0 {
		m.Term = n.state.Term
	}
	n.messages = append(n.messages, m)
}

func (n *Node) answer(request, m Message) {
	n.send(Member{ID: request.From, Identity: request.FromIdentity}, m)
}
