package raft

// incomingSnapshot collects the chunks of one snapshot of one sender. The
// bytes of two senders may differ, so they are never mixed.
type incomingSnapshot struct {
	sender uint64 // identity
	meta   SnapshotMeta
	data   []byte
}

func (s *incomingSnapshot) isFor(m Message) bool {
	return s.sender == m.FromIdentity && s.meta.Index == m.Snapshot.Index && s.meta.Term == m.Snapshot.Term
}

func (n *Node) startSnapshot(member Member, p *progress) {
	p.sending, p.moved = true, true
	p.snapshot, p.offset = n.snapshot, 0
	p.inflight = nil
	n.sendChunk(member, p)
}

// sendChunk restarts the transfer when the driver holds a newer snapshot. The
// driver fills in the data.
func (n *Node) sendChunk(member Member, p *progress) {
	if p.snapshot.Index != n.snapshot.Index {
		p.snapshot, p.offset = n.snapshot, 0
	}
	n.send(member, Message{
		Kind: MsgSnapshotChunk, Snapshot: p.snapshot, Offset: p.offset, Commit: n.log.commit,
	})
}

func (n *Node) onSnapshotAnswer(member Member, p *progress, m Message) {
	if !p.sending || m.Snapshot.Index != p.snapshot.Index || m.Offset == p.offset {
		return
	}
	p.offset, p.moved = m.Offset, true
	n.sendChunk(member, p)
}

func (n *Node) onSnapshotChunk(m Message) {
	if m.Snapshot.Index <= n.log.commit {
		n.answer(m, Message{Kind: MsgAppendAnswer, Index: n.log.commit})
		return
	}
	s := &n.incoming
	if m.Offset == 0 && !s.isFor(m) {
		*s = incomingSnapshot{sender: m.FromIdentity, meta: m.Snapshot}
	}
	if !s.isFor(m) {
		n.answerChunk(m, 0)
		return
	}
	if m.Offset != uint64(len(s.data)) {
		n.answerChunk(m, uint64(len(s.data)))
		return
	}
	s.data = append(s.data, m.Data...)
	if !m.Last {
		n.answerChunk(m, uint64(len(s.data)))
		return
	}
	n.install()
	n.answer(m, Message{Kind: MsgAppendAnswer, Index: n.log.commit})
}

func (n *Node) answerChunk(m Message, offset uint64) {
	n.answer(m, Message{
		Kind: MsgSnapshotAnswer, Snapshot: SnapshotMeta{Index: m.Snapshot.Index}, Offset: offset,
	})
}

// install replaces the log by the collected snapshot. If the log holds the
// snapshot's last entry, everything up to it is committed and the log stays.
func (n *Node) install() {
	meta, data := n.incoming.meta, n.incoming.data
	n.incoming = incomingSnapshot{}
	if n.log.matches(meta.Index, meta.Term) {
		n.commitTo(meta.Index)
		return
	}
	if n.replaced == nil {
		old := n.log
		n.replaced, n.replacedSnapshot = &old, n.snapshot
	}
	n.installing = &Snapshot{Meta: meta, Data: data}
	n.log = newLog(meta, nil)
	n.snapshot = meta
}
