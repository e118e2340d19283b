package raft

// incomingSnapshot collects the chunks of one snapshot from one sender. Two
// senders may encode the same state differently, so their chunks are not mixed.
type incomingSnapshot struct {
	senderIdentity uint64
	meta           SnapshotMeta
	data           []byte
}

// matchesTransfer reports whether the chunk m belongs to this snapshot and
// sender.
func (s *incomingSnapshot) matchesTransfer(m Message) bool {
	return s.senderIdentity == m.FromIdentity && s.meta.Index == m.Snapshot.Index && s.meta.Term == m.Snapshot.Term
}

// startSnapshotTransfer sends the newest snapshot to a member that needs entries
// that are compacted.
func (n *Node) startSnapshotTransfer(member Member, p *progress) {
	p.sendingSnapshot, p.chunkAcknowledged = true, true
	p.snapshot, p.snapshotOffset = n.snapshot, 0
	p.inflightIndexes = nil
	n.sendSnapshotChunk(member, p)
}

// sendSnapshotChunk sends the chunk at the acknowledged offset; the driver adds
// its data. The transfer restarts if the driver holds a newer snapshot.
func (n *Node) sendSnapshotChunk(member Member, p *progress) {
	if p.snapshot.Index != n.snapshot.Index {
		p.snapshot, p.snapshotOffset = n.snapshot, 0
	}
	n.send(member, Message{
		Kind: MsgSnapshotChunk, Snapshot: p.snapshot, Offset: p.snapshotOffset, Commit: n.log.commitIndex,
	})
}

func (n *Node) handleSnapshotChunkResponse(member Member, p *progress, m Message) {
	if !p.sendingSnapshot || m.Snapshot.Index != p.snapshot.Index || m.Offset == p.snapshotOffset {
		return
	}
	p.snapshotOffset, p.chunkAcknowledged = m.Offset, true
	n.sendSnapshotChunk(member, p)
}

func (n *Node) handleSnapshotChunk(m Message) {
	if m.Snapshot.Index <= n.log.commitIndex {
		n.respond(m, Message{Kind: MsgAppendResponse, Index: n.log.commitIndex})
		return
	}
	s := &n.incoming
	if m.Offset == 0 && !s.matchesTransfer(m) {
		*s = incomingSnapshot{senderIdentity: m.FromIdentity, meta: m.Snapshot}
	}
	if !s.matchesTransfer(m) {
		n.respondToSnapshotChunk(m, 0)
		return
	}
	if m.Offset != uint64(len(s.data)) {
		n.respondToSnapshotChunk(m, uint64(len(s.data)))
		return
	}
	s.data = append(s.data, m.Data...)
	if !m.Last {
		n.respondToSnapshotChunk(m, uint64(len(s.data)))
		return
	}
	n.installSnapshot()
	n.respond(m, Message{Kind: MsgAppendResponse, Index: n.log.commitIndex})
}

func (n *Node) respondToSnapshotChunk(m Message, offset uint64) {
	n.respond(m, Message{
		Kind: MsgSnapshotChunkResponse, Snapshot: SnapshotMeta{Index: m.Snapshot.Index}, Offset: offset,
	})
}

// installSnapshot replaces the log by the received snapshot. If the log holds
// the snapshot's last entry, the log is kept and committed up to that entry.
func (n *Node) installSnapshot() {
	meta, data := n.incoming.meta, n.incoming.data
	n.incoming = incomingSnapshot{}
	if n.log.matchesTerm(meta.Index, meta.Term) {
		n.commitTo(meta.Index)
		return
	}
	if n.logBeforeInstall == nil {
		old := n.log
		n.logBeforeInstall, n.snapshotBeforeInstall = &old, n.snapshot
	}
	n.installingSnapshot = &Snapshot{Meta: meta, Data: data}
	n.log = newLog(meta, nil)
	n.snapshot = meta
}
