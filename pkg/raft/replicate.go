package raft

import "errors"

// Errors of Propose and ProposeMembership.
var (
	ErrNotLeader   = errors.New("raft: not the leader")
	ErrPending     = errors.New("raft: another membership change is not finished")
	ErrNotCaughtUp = errors.New("raft: the learner does not hold every committed entry")
	ErrNotMember   = errors.New("raft: not a member")
	ErrInvalid     = errors.New("raft: the change is not valid")
)

// progress is what the leader knows of one other member.
type progress struct {
	identity uint64
	match    uint64 // last index known to be durable there and equal to ours
	next     uint64 // first index to send
	// probing is set until an append at next is accepted. Meanwhile one
	// append is outstanding at a time; sent marks it.
	probing  bool
	sent     bool
	inflight []uint64 // last index of each unanswered append
	active   bool     // answered since the last quorum check
	recent   bool     // answered in the interval before

	sending  bool // a snapshot
	snapshot SnapshotMeta
	offset   uint64
	moved    bool // a chunk was answered since the last heartbeat answer
	readAck  uint64
}

// Propose appends commands and returns the index of the first one.
func (n *Node) Propose(commands ...[]byte) (first, term uint64, err error) {
	if n.role != Leader {
		return 0, 0, ErrNotLeader
	}
	first = n.log.last() + 1
	for _, c := range commands {
		n.appendAsLeader(Entry{Kind: EntryCommand, Data: c})
	}
	n.broadcastAppend()
	return first, n.state.Term, nil
}

func (n *Node) appendAsLeader(e Entry) uint64 {
	e.Index, e.Term = n.log.last()+1, n.state.Term
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

// sendAppends sends as many appends as the window allows, at least one that
// carries the commit index.
func (n *Node) sendAppends(m Member) {
	p := n.progress[m.ID]
	for first := true; ; first = false {
		if p.sending || p.probing && p.sent || len(p.inflight) >= n.cfg.MaxInflight {
			return
		}
		if !first && p.next > n.log.last() {
			return
		}
		n.sendAppend(m, p)
	}
}

func (n *Node) sendAppend(m Member, p *progress) {
	term, ok := n.log.term(p.next - 1)
	if !ok {
		n.startSnapshot(m, p)
		return
	}
	entries := n.log.bounded(p.next, n.cfg.MaxMessageBytes)
	n.send(m, Message{
		Kind: MsgAppend, Index: p.next - 1, LogTerm: term, Entries: entries, Commit: n.log.commit,
	})
	if p.probing {
		p.sent = true
		return
	}
	if len(entries) > 0 {
		p.next = entries[len(entries)-1].Index + 1
		p.inflight = append(p.inflight, p.next-1)
	}
}

func (n *Node) broadcastHeartbeat() {
	n.heartbeat = 0
	for _, m := range n.log.members() {
		if n.isSelf(m) {
			continue
		}
		commit := min(n.progress[m.ID].match, n.log.commit)
		n.send(m, Message{Kind: MsgHeartbeat, Commit: commit, Read: n.reads.last})
	}
}

// onLeaderMessage is called with messages of the leader of this term.
func (n *Node) onLeaderMessage(m Message) {
	if n.role != Follower {
		n.becomeFollower(n.state.Term, m.From)
	}
	n.leader, n.elapsed = m.From, 0
	switch m.Kind {
	case MsgAppend:
		n.onAppend(m)
	case MsgHeartbeat:
		n.commitTo(m.Commit)
		n.answer(m, Message{Kind: MsgHeartbeatAnswer, Read: m.Read})
	case MsgSnapshotChunk:
		n.onSnapshotChunk(m)
	}
}

func (n *Node) commitTo(index uint64) {
	n.log.commit = max(n.log.commit, min(index, n.log.last()))
}

func (n *Node) onAppend(m Message) {
	if m.Index < n.log.commit {
		n.answer(m, Message{Kind: MsgAppendAnswer, Index: n.log.commit})
		return
	}
	if !n.log.matches(m.Index, m.LogTerm) {
		index, term := n.log.hint(m.Index, m.LogTerm)
		n.answer(m, Message{Kind: MsgAppendAnswer, Reject: true, Probe: m.Index, Index: index, LogTerm: term})
		return
	}
	last := n.log.merge(m.Index, m.Entries)
	n.commitTo(min(m.Commit, last))
	n.answer(m, Message{Kind: MsgAppendAnswer, Index: last})
}

// onFollowerAnswer is called with answers of this term.
func (n *Node) onFollowerAnswer(m Message) {
	if n.role != Leader {
		return
	}
	p := n.progress[m.From]
	if p == nil {
		return
	}
	member, _ := findMember(n.log.members(), m.From)
	p.active = true
	switch m.Kind {
	case MsgAppendAnswer:
		n.onAppendAnswer(member, p, m)
	case MsgHeartbeatAnswer:
		n.onHeartbeatAnswer(member, p, m)
	case MsgSnapshotAnswer:
		n.onSnapshotAnswer(member, p, m)
	}
}

func (n *Node) onAppendAnswer(member Member, p *progress, m Message) {
	if m.Reject {
		n.onRejection(member, p, m)
		return
	}
	if p.sending && m.Index >= p.snapshot.Index {
		p.sending = false
		p.probing = true
	}
	advanced := m.Index > p.match
	p.match = max(p.match, m.Index)
	p.next = max(p.next, p.match+1)
	for len(p.inflight) > 0 && p.inflight[0] <= p.match {
		p.inflight = p.inflight[1:]
	}
	if p.probing {
		p.probing, p.sent = false, false
		p.next = p.match + 1
	}
	if advanced {
		n.maybeCommit()
	}
	if n.role == Leader && p.next <= n.log.last() {
		n.sendAppends(member)
	}
}

// onRejection moves next back to the newest entry that may match. An old or
// repeated rejection is dropped.
func (n *Node) onRejection(member Member, p *progress, m Message) {
	stale := m.Probe <= p.match
	if p.probing {
		stale = stale || m.Probe != p.next-1
	}
	if stale || p.sending {
		return
	}
	index, _ := n.log.hint(m.Index, m.LogTerm)
	p.next = max(p.match, min(index, m.Probe-1)) + 1
	p.probing, p.sent = true, false
	p.inflight = nil
	n.sendAppends(member)
}

// onHeartbeatAnswer repeats what may have been lost: the probe, a chunk, or
// an append, whose rejection then shows the gap.
func (n *Node) onHeartbeatAnswer(member Member, p *progress, m Message) {
	p.readAck = max(p.readAck, m.Read)
	n.releaseReads()
	if p.sending {
		if !p.moved {
			n.sendChunk(member, p)
		}
		p.moved = false
		return
	}
	if p.match >= n.log.last() {
		return
	}
	p.sent = false
	if len(p.inflight) >= n.cfg.MaxInflight {
		p.inflight = p.inflight[1:]
	}
	n.sendAppends(member)
}
