package raft

import "errors"

// Errors of Propose, ProposeMembershipChange and ReadIndex.
var (
	ErrNotLeader     = errors.New("raft: not the leader")
	ErrChangePending = errors.New("raft: a membership change is in progress")
	ErrNotCaughtUp   = errors.New("raft: the learner has not caught up")
	ErrNotMember     = errors.New("raft: no member has this id")
	ErrInvalidChange = errors.New("raft: invalid membership change")
)

// progress is the leader's replication state for one other member.
type progress struct {
	identity   uint64
	matchIndex uint64 // highest index known to be durable on the member and equal to the leader's entry
	nextIndex  uint64 // index of the next entry to send
	// probing is set until an append at nextIndex is accepted. Meanwhile only one
	// append is outstanding at a time; probeSent is set while it is.
	probing            bool
	probeSent          bool
	inflightIndexes    []uint64 // last index of each unacknowledged append
	activeThisInterval bool     // responded since the last quorum check
	activeLastInterval bool     // responded in the interval before it
	silentTicks        int      // ticks since the last response
	leavingTicks       int      // ticks for which the announced shutdown of the member still counts, 0 if there is none

	sendingSnapshot       bool
	snapshot              SnapshotMeta // snapshot being sent
	snapshotOffset        uint64       // bytes acknowledged by the member
	chunkAcknowledged     bool         // a chunk was acknowledged since the last heartbeat response
	acknowledgedReadRound uint64       // highest read round in a heartbeat response
}

// Propose appends commands to the leader's log and returns the index of the
// first one and their term. It returns ErrNotLeader on other nodes.
func (n *Node) Propose(commands ...[]byte) (first, term uint64, err error) {
	if n.role != Leader {
		return 0, 0, ErrNotLeader
	}
	first = n.log.last() + 1
	for _, c := range commands {
		n.appendAsLeader(Entry{Kind: EntryCommand, Data: c})
	}
	n.broadcastAppend()
	return first, n.hardState.Term, nil
}

// appendAsLeader appends e with the next index and the current term.
func (n *Node) appendAsLeader(e Entry) uint64 {
	e.Index, e.Term = n.log.last()+1, n.hardState.Term
	n.log.append(e)
	return e.Index
}

func (n *Node) broadcastAppend() {
	for _, m := range n.log.members() {
		if !n.isSelf(m) {
			n.sendAppends(m)
		}
	}
}

// sendAppends sends appends until the log is sent or the in-flight limit is
// reached. The first one is sent even without entries, to carry the commit index.
func (n *Node) sendAppends(m Member) {
	p := n.progress[m.ID]
	for first := true; ; first = false {
		if p.sendingSnapshot || p.probing && p.probeSent || len(p.inflightIndexes) >= n.cfg.MaxInflightAppends {
			return
		}
		if !first && p.nextIndex > n.log.last() {
			return
		}
		n.sendAppend(m, p)
	}
}

func (n *Node) sendAppend(m Member, p *progress) {
	term, ok := n.log.term(p.nextIndex - 1)
	if !ok {
		n.startSnapshotTransfer(m, p)
		return
	}
	entries := n.log.entriesWithinBytes(p.nextIndex, n.cfg.MaxMessageBytes)
	n.send(m, Message{
		Kind: MsgAppend, Index: p.nextIndex - 1, LogTerm: term, Entries: entries, Commit: n.log.commitIndex,
	})
	if p.probing {
		p.probeSent = true
		return
	}
	if len(entries) > 0 {
		p.nextIndex = entries[len(entries)-1].Index + 1
		p.inflightIndexes = append(p.inflightIndexes, p.nextIndex-1)
	}
}

func (n *Node) broadcastHeartbeat() {
	n.heartbeatElapsed = 0
	for _, m := range n.log.members() {
		if n.isSelf(m) {
			continue
		}
		commitIndex := min(n.progress[m.ID].matchIndex, n.log.commitIndex)
		n.send(m, Message{Kind: MsgHeartbeat, Commit: commitIndex, Read: n.reads.lastRound})
	}
}

// handleLeaderMessage handles a message from the leader of the current term.
func (n *Node) handleLeaderMessage(m Message) {
	if n.role != Follower {
		n.becomeFollower(n.hardState.Term, m.From)
	}
	n.leaderID, n.electionElapsed = m.From, 0
	switch m.Kind {
	case MsgAppend:
		n.handleAppend(m)
	case MsgHeartbeat:
		n.commitTo(m.Commit)
		n.respond(m, Message{Kind: MsgHeartbeatResponse, Read: m.Read})
	case MsgSnapshotChunk:
		n.handleSnapshotChunk(m)
	}
}

// commitTo raises the commit index to index, at most to the last entry.
func (n *Node) commitTo(index uint64) {
	n.log.commitIndex = max(n.log.commitIndex, min(index, n.log.last()))
}

func (n *Node) handleAppend(m Message) {
	if m.Index < n.log.commitIndex {
		n.respond(m, Message{Kind: MsgAppendResponse, Index: n.log.commitIndex})
		return
	}
	if !n.log.matchesTerm(m.Index, m.LogTerm) {
		index, term := n.log.findConflictByTerm(m.Index, m.LogTerm)
		n.respond(m, Message{Kind: MsgAppendResponse, Reject: true, Probe: m.Index, Index: index, LogTerm: term})
		return
	}
	last := n.log.mergeLeaderEntries(m.Index, m.Entries)
	n.commitTo(min(m.Commit, last))
	n.respond(m, Message{Kind: MsgAppendResponse, Index: last})
}

// handleFollowerResponse handles a response of the current term to an append,
// heartbeat or snapshot chunk.
func (n *Node) handleFollowerResponse(m Message) {
	if n.role != Leader {
		return
	}
	p := n.progress[m.From]
	if p == nil {
		return
	}
	member, _ := findMember(n.log.members(), m.From)
	p.activeThisInterval, p.silentTicks = true, 0
	switch m.Kind {
	case MsgAppendResponse:
		n.handleAppendResponse(member, p, m)
	case MsgHeartbeatResponse:
		n.handleHeartbeatResponse(member, p, m)
	case MsgSnapshotChunkResponse:
		n.handleSnapshotChunkResponse(member, p, m)
	}
}

func (n *Node) handleAppendResponse(member Member, p *progress, m Message) {
	if m.Reject {
		n.handleAppendRejection(member, p, m)
		return
	}
	if p.sendingSnapshot && m.Index >= p.snapshot.Index {
		p.sendingSnapshot = false
		p.probing = true
	}
	advanced := m.Index > p.matchIndex
	p.matchIndex = max(p.matchIndex, m.Index)
	p.nextIndex = max(p.nextIndex, p.matchIndex+1)
	for len(p.inflightIndexes) > 0 && p.inflightIndexes[0] <= p.matchIndex {
		p.inflightIndexes = p.inflightIndexes[1:]
	}
	if p.probing {
		p.probing, p.probeSent = false, false
		p.nextIndex = p.matchIndex + 1
	}
	if advanced {
		n.advanceCommitIndex()
	}
	if n.role == Leader && p.nextIndex <= n.log.last() {
		n.sendAppends(member)
	}
}

// handleAppendRejection moves nextIndex back to the newest entry that may match.
// A stale or duplicate rejection is ignored.
func (n *Node) handleAppendRejection(member Member, p *progress, m Message) {
	stale := m.Probe <= p.matchIndex
	if p.probing {
		stale = stale || m.Probe != p.nextIndex-1
	}
	if stale || p.sendingSnapshot {
		return
	}
	index, _ := n.log.findConflictByTerm(m.Index, m.LogTerm)
	p.nextIndex = max(p.matchIndex, min(index, m.Probe-1)) + 1
	p.probing, p.probeSent = true, false
	p.inflightIndexes = nil
	n.sendAppends(member)
}

// handleHeartbeatResponse resends what may have been lost: the probe, a snapshot
// chunk, or an append. The rejection of that append shows which entries are
// missing.
func (n *Node) handleHeartbeatResponse(member Member, p *progress, m Message) {
	p.acknowledgedReadRound = max(p.acknowledgedReadRound, m.Read)
	n.completeConfirmedReads()
	if p.sendingSnapshot {
		if !p.chunkAcknowledged {
			n.sendSnapshotChunk(member, p)
		}
		p.chunkAcknowledged = false
		return
	}
	if p.matchIndex >= n.log.last() {
		return
	}
	p.probeSent = false
	if len(p.inflightIndexes) >= n.cfg.MaxInflightAppends {
		p.inflightIndexes = p.inflightIndexes[1:]
	}
	n.sendAppends(member)
}
