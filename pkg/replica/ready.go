package replica

import (
	"time"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/raft"
	"jackdawtrack.example/jackdawtrack/pkg/result"
	"jackdawtrack.example/jackdawtrack/pkg/wal"
)

const chunkKeep = 10 * time.Second // snapshot data stays in memory after its last use

// process does all the work that the node has.
func (w *worker) process() error {
	for {
		rd := w.node.Ready()
		if rd.Empty() {
			break
		}
		err := w.persist(rd)
		if code, _ := result.CodeOf(err); code == result.DiskFull {
			w.onDiskFull(err)
			continue
		}
		if err != nil {
			return err
		}
		w.send(rd.Messages)
		if err := w.apply(rd); err != nil {
			return err
		}
		w.node.Advance()
		w.noteRole()
	}
	w.noteRole()
	err := w.maybeSnapshot()
	w.publish()
	return err
}

// persist makes the work durable with one sync.
func (w *worker) persist(rd raft.Ready) error {
	if rd.Snapshot != nil {
		s, err := toSnapshot(rd.Snapshot.Meta, rd.Snapshot.Data)
		if err != nil {
			return err
		}
		if err := w.log.SaveSnapshot(s); err != nil {
			return err
		}
		w.log.Append(wal.Record{Kind: wal.KindReset, Index: s.Index, Term: s.Term})
	}
	for _, e := range rd.Entries {
		record, err := entryRecord(e)
		if err != nil {
			return err
		}
		w.log.Append(record)
	}
	if rd.State != nil {
		record, err := stateRecord(*rd.State)
		if err != nil {
			return err
		}
		w.log.Append(record)
	}
	if rd.Snapshot == nil && len(rd.Entries) == 0 && rd.State == nil {
		return nil
	}
	return w.sync()
}

func (w *worker) sync() error {
	start := time.Now()
	if err := w.log.Sync(); err != nil {
		return err
	}
	w.metrics.sync.UpdateSince(start)
	w.diskFull = false
	return nil
}

// onDiskFull refuses the commands that are in no log. Commands that were sent
// to other members before have an unknown fate, because this host stops
// leading.
func (w *worker) onDiskFull(cause error) {
	if !w.diskFull {
		w.logger.WithError(cause).Error("the disk is full, new changes are refused")
	}
	w.diskFull = true
	w.node.Rollback()
	last := w.node.Status().LastIndex
	for index, p := range w.pending {
		if index > last {
			delete(w.pending, index)
			p.done <- outcome{err: result.Wrap(result.DiskFull, cause, "the command was not accepted")}
		}
	}
	w.failPending(cause)
	w.failReads()
	w.noteRole()
}

func (w *worker) send(messages []raft.Message) {
	for _, m := range messages {
		if m.Kind == raft.MsgSnapshotChunk && !w.fillChunk(&m) {
			continue
		}
		address := w.addressOf(m)
		if address == "" {
			continue
		}
		b, err := encodeMessage(m, w.ownAddress(m))
		if err != nil {
			w.logger.WithError(err).Error("a message cannot be encoded")
			continue
		}
		w.transport.send(address, &apiv1.RaftEnvelope{From: m.From, To: m.To, Message: b})
	}
}

// addressOf prefers the membership; a new member answers a leader that its
// own membership does not name yet.
func (w *worker) addressOf(m raft.Message) string {
	for _, member := range w.node.Members() {
		if member.ID == m.To && member.Identity == m.ToIdentity {
			return member.Address
		}
	}
	return w.addresses[m.ToIdentity]
}

// ownAddress is left out of answers to heartbeats: a leader knows its members.
// A new member may know the leader from a heartbeat only, when the first
// append was lost.
func (w *worker) ownAddress(m raft.Message) string {
	if m.Kind == raft.MsgHeartbeatAnswer {
		return ""
	}
	return w.config.Address
}

func (w *worker) fillChunk(m *raft.Message) bool {
	if w.chunkIndex != m.Snapshot.Index {
		s, err := w.log.ReadSnapshot(m.Snapshot.Index)
		if err != nil {
			w.logger.WithError(err).Warnf("snapshot %d cannot be read", m.Snapshot.Index)
			return false
		}
		w.chunkIndex, w.chunkData = s.Index, s.Data
		w.logger.Infof("sending snapshot %d to member %d", s.Index, m.To)
	}
	w.chunkUsed = time.Now()
	raft.FillChunk(m, w.chunkData)
	return true
}

func (w *worker) dropChunk() {
	if w.chunkData != nil && time.Since(w.chunkUsed) > chunkKeep {
		w.chunkIndex, w.chunkData = 0, nil
	}
}

func (w *worker) apply(rd raft.Ready) error {
	if rd.Snapshot != nil {
		if err := w.restore(rd.Snapshot); err != nil {
			return err
		}
	}
	for _, e := range rd.Committed {
		var value any
		if e.Kind == raft.EntryCommand {
			value = w.machine.Apply(e.Index, e.Data)
		}
		w.applied = e.Index
		w.answer(e, value)
	}
	w.metrics.commits.Mark(int64(len(rd.Committed)))
	w.releaseReads(rd.Reads)
	return nil
}

func (w *worker) restore(s *raft.Snapshot) error {
	if err := w.machine.Restore(s.Data); err != nil {
		return result.Wrap(result.LogDamaged, err, "snapshot %d of another host cannot be restored", s.Meta.Index)
	}
	w.applied, w.snapshotIndex = s.Meta.Index, s.Meta.Index
	w.snapshotAt = w.log.Written()
	w.metrics.restored.Inc(1)
	w.logger.Infof("restored snapshot %d of another member", s.Meta.Index)
	return w.log.Compact(s.Meta.Index)
}

// answer gives the result to the proposer if the entry is still its own.
func (w *worker) answer(e raft.Entry, value any) {
	p := w.pending[e.Index]
	if p == nil {
		return
	}
	delete(w.pending, e.Index)
	if p.term != e.Term {
		p.done <- outcome{err: errUnknown(nil)}
		return
	}
	p.done <- outcome{value: value}
}

func (w *worker) releaseReads(states []raft.ReadState) {
	for _, s := range states {
		readers := w.reading[s.ID]
		delete(w.reading, s.ID)
		if s.Failed {
			for _, done := range readers {
				done <- outcome{err: result.New(result.NoQuorum, "the leader changed during the read")}
			}
			continue
		}
		w.unapplied = append(w.unapplied, appliedWait{s.Index, readers})
	}
	for len(w.unapplied) > 0 && w.unapplied[0].index <= w.applied {
		for _, done := range w.unapplied[0].readers {
			done <- outcome{}
		}
		w.unapplied = w.unapplied[1:]
	}
}

// noteRole answers the proposers when this host stops leading: their commands
// may or may not be in the log of the next leader.
func (w *worker) noteRole() {
	s := w.node.Status()
	if s.Role == w.role && s.State.Term == w.term {
		return
	}
	if w.role == raft.Leader {
		w.failPending(nil)
	}
	switch {
	case s.Role == raft.Leader:
		w.metrics.elections.Inc(1)
		w.logger.Infof("became leader of term %d", s.State.Term)
	case w.role == raft.Leader:
		w.logger.Infof("stopped leading in term %d", s.State.Term)
	}
	w.role, w.term = s.Role, s.State.Term
}

// maybeSnapshot takes a snapshot when the log has grown enough. A full disk
// or a machine that fails keeps the log; the next try is after the same
// growth.
func (w *worker) maybeSnapshot() error {
	if w.log.Written()-w.snapshotAt < w.config.SnapshotBytes || w.applied <= w.snapshotIndex {
		return nil
	}
	w.snapshotAt = w.log.Written()
	data, err := w.machine.Snapshot()
	if err != nil {
		w.logger.WithError(err).Error("the machine gave no snapshot")
		return nil
	}
	s, err := toSnapshot(w.node.SnapshotMeta(w.applied), data)
	if err != nil {
		return err
	}
	err = w.log.SaveSnapshot(s)
	if code, _ := result.CodeOf(err); code == result.DiskFull {
		w.logger.WithError(err).Error("the disk is too full for a snapshot")
		return nil
	}
	if err != nil {
		return err
	}
	// The entries since the snapshot before stay in memory, so that a member
	// that is a little behind does not need the snapshot.
	w.node.Compact(w.applied, w.snapshotIndex)
	w.snapshotIndex = w.applied
	w.metrics.snapshots.Inc(1)
	return w.log.Compact(w.applied)
}

func (w *worker) publish() {
	s := w.node.Status()
	out := Status{
		ID: w.config.ID, Identity: w.identity, IsNew: w.node.IsNew(), Role: s.Role.String(),
		Leader: s.Leader, LeaderAddress: w.leaderAddress(s), Term: s.State.Term,
		Commit: s.Commit, Applied: w.applied, LastIndex: s.LastIndex, SnapshotIndex: w.snapshotIndex,
		DiskFull: w.diskFull,
	}
	for _, m := range s.Members {
		out.Members = append(out.Members, MemberStatus{Member: m, Match: s.Match[m.ID], Answers: s.Answers[m.ID]})
	}
	w.metrics.term.Update(int64(out.Term))
	w.metrics.applied.Update(int64(out.Applied))
	w.setStatus(out)
}
